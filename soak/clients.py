"""Clients of a soak test; they keep using a connection until its daemon has ended."""

import asyncio
import random
from typing import ClassVar

from soak.fleet import SoakFleet, SoakVm
from soak.history import History
from soak.statements import PROMISES, RecordedClient
from standins.platform import route_suffix

ANSWER_TIMEOUT_S = 6.0
THINK_TIME_S = 0.03


class SoakClient:
    """Client that writes one key and reads the keys of all clients.

    Parameters
    ----------
    name : str
        Name of the client and of the key that it writes.
    fleet : SoakFleet
        Fleet to connect to.
    history : History
        Records the results of the client's statements.
    seed : int
        Seed of the random choices.
    service : int
        Index of the service that it uses.
    """

    client_type: ClassVar[type[RecordedClient]] = RecordedClient

    def __init__(
        self,
        *,
        name: str,
        fleet: SoakFleet,
        history: History,
        seed: int,
        service: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.fleet = fleet
        self.history = history
        self.random = random.Random(seed)
        self.is_stopping = False
        self.value = 0

    async def run(self) -> None:
        """Run sessions one after the other until ``is_stopping`` is set."""
        while not self.is_stopping:
            await self.connect(self.random.choice(self.fleet.vms))
            await asyncio.sleep(THINK_TIME_S)

    async def connect(self, vm: SoakVm) -> None:
        """Run one session on a VM."""
        client = None
        try:
            client = await self.client_type.open(
                vm.address, timeout_s=ANSWER_TIMEOUT_S, sent=self.history.sent, vm=vm
            )
            await self._run_session(client)
        except (OSError, TimeoutError):
            self.history.counts["broken sessions"] += 1
        finally:
            if client is not None:
                client.close()

    async def _run_session(self, client: RecordedClient) -> None:
        route = self.random.choice(["pay", "book"])
        greeting = await client.start(route + route_suffix(self.service))
        if not greeting:
            raise ConnectionResetError("the daemon closed the connection")
        if not greeting.startswith("READY"):
            return
        last_written = 0
        for _ in range(self.random.randint(1, 40)):
            if self.is_stopping:
                return
            if self.random.random() < 0.4:
                last_written = await self._write(client) or last_written
            else:
                await self._read(client, route, last_written)
            await asyncio.sleep(THINK_TIME_S)

    async def _write(self, client: RecordedClient) -> int | None:
        self.value += 1
        value = self.value
        self.history.attempted[self.name] = value
        if self.random.random() < 0.3:
            first = await query(client, "BEGIN")
            if not first[0].startswith("ERROR"):
                first = await query(client, f"WRITE {self.name} {value}")
            if first[0].startswith("ERROR"):
                await query(client, "ROLLBACK")
                self.history.reported_not_applied.add(f"{self.name}={value}")
                return None
            answer = await query(client, "COMMIT")
        else:
            answer = await query(client, f"WRITE {self.name} {value}")
        word, _, rest = answer[0].partition(" ")
        if word == "COMPLETE":
            self.history.record_acknowledged(self.name, value)
            return value
        code = rest.split(" ")[0] if word == "ERROR" else "odd answers to writes"
        self.history.counts[code] += 1
        if code in PROMISES:
            self.history.reported_not_applied.add(f"{self.name}={value}")
        return None

    async def _read(
        self, client: RecordedClient, route: str, last_written: int
    ) -> None:
        key = self.name
        min_value = last_written
        if route == "pay":
            prefix = self.name.partition("-")[0]
            keys = [k for k in self.history.attempted if k.startswith(f"{prefix}-")]
            key = self.random.choice(keys or [self.name])
            min_value = self.history.acknowledged.get(key, 0)
        answer = await query(client, f"READ {key}")
        if answer[0].startswith("ROW"):
            self.history.counts["reads"] += 1
            self.history.check_read(route, key, answer[0][4:], min_value)


async def query(client: RecordedClient, text: str) -> list[str]:
    """Return the answer; raise ``ConnectionResetError`` if it is incomplete."""
    lines = await client.query(text)
    if not lines or not lines[-1].startswith("READY"):
        raise ConnectionResetError("the daemon closed the connection")
    return lines
