"""A replica leaves while the primary is partitioned from the other one."""

import asyncio
import os
import sys
from pathlib import Path

from review.lib.client import Client
from review.lib.databases import Database
from review.lib.fleet import Fleet, Record

HERE = Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The leaving replica exits this long after its report was accepted.
DRAIN_S = 8.0
# The partition begins this long before that exit.
CUT_BEFORE_EXIT_S = 1.5
CUT_S = 5.0
WRITE_INTERVAL_S = 0.05


class Load:
    """Clients that write and read all the while.

    Attributes
    ----------
    acknowledged : dict of str to str
        Items of the acknowledged writes, by their ids.
    """

    def __init__(self, *, fleet: Fleet, record: Record) -> None:
        self.acknowledged: dict[str, str] = {}
        self.tasks = []
        for index, daemon in enumerate(fleet.daemons):
            for route in ("pay", "book"):
                client = Client(address=daemon.address, database=route, record=record)
                name = f"{route}{index}"
                self.tasks.append(asyncio.create_task(self._write(client, name)))
            reader = Client(
                address=daemon.address, database="pay", record=lambda line: None
            )
            self.tasks.append(asyncio.create_task(self._read(reader)))

    async def _write(self, client: Client, name: str) -> None:
        number = 0
        while True:
            number += 1
            item = f"{name}n{number}"
            id, answer = await client.query(f"WRITE {item} {item}data")
            if answer.startswith("COMPLETE"):
                self.acknowledged[id] = item
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _read(self, client: Client) -> None:
        while True:
            await client.query("READ pay0n1")
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Stop all clients."""
        for task in self.tasks:
            task.cancel()


async def leave(fleet: Fleet, database: Database, record: Record) -> None:
    """Drain and exit, as a planned shutdown."""
    database.state = "draining"
    fleet.platform.beat(database)
    record(f"{database.name}: reports draining")
    await asyncio.sleep(DRAIN_S)
    database.crash()
    fleet.platform.beaten_at_s.pop(database.name)
    fleet.platform.store.remove("servers", database.name)
    record(f"{database.name}: has left, its log is gone")


async def run(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    fleet = Fleet(size=3, promote_s=0.3, record=record)
    load = None
    try:
        await fleet.start()
        _, leaving, replica = fleet.service.databases.values()
        load = Load(fleet=fleet, record=record)
        await asyncio.sleep(3.0)
        exiting = asyncio.create_task(leave(fleet, leaving, record))
        await asyncio.sleep(DRAIN_S - CUT_BEFORE_EXIT_S)
        if HAS_TROUBLE:
            replica.is_deaf = True
            record(f"{replica.name}: is partitioned from the primary")
        await asyncio.sleep(CUT_S)
        replica.is_deaf = False
        record(f"{replica.name}: the partition ends")
        await exiting
        await asyncio.sleep(8.0)
        return check(fleet, load, record)
    finally:
        if load is not None:
            load.stop()
        await Client.close_all()
        await fleet.stop()


def check(fleet: Fleet, load: Load, record: Record) -> bool:
    """LOST: commits acknowledged before a promotion are in the promoted log."""
    lost: list[str] = []
    for promotion in fleet.service.promotions:
        held = {id for entry in promotion.log for id in entry.ids}
        # Terms grow with each promotion.
        earlier = {
            id
            for entry in fleet.service.acknowledged
            if entry.term < promotion.term
            for id in entry.ids
        }
        missing = sorted((earlier & load.acknowledged.keys()) - held)
        if missing:
            lost += missing
            record(
                f"LOST: {promotion.name} was promoted without {len(missing)} "
                f"acknowledged writes: {' '.join(missing)}"
            )
    record(f"acknowledged writes: {len(load.acknowledged)}, lost: {len(lost)}")
    return not lost


if __name__ == "__main__":
    result = asyncio.run(run(Record(HERE / "record.txt")))
    sys.exit(0 if result else 1)
