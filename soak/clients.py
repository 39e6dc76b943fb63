"""Clients of a soak; they use open connections until the process is gone."""

import asyncio
import random

from soak.fleet import SoakFleet
from soak.history import History
from standins.statement_client import StatementClient

ANSWER_LIMIT_S = 6.0
PAUSE_S = 0.03
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


class SoakClient:
    """Client that writes one key and reads all.

    Parameters
    ----------
    name : str
        Its key.
    fleet : SoakFleet
        Fleet to connect to.
    history : History
        Receives what the client sees.
    seed : int
        Seed of its choices.
    """

    def __init__(
        self, *, name: str, fleet: SoakFleet, history: History, seed: int
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.history = history
        self.random = random.Random(seed)
        self.is_stopping = False
        self.value = 0

    async def run(self) -> None:
        """Hold sessions, one after the other, until told to stop."""
        while not self.is_stopping:
            address = self.random.choice(self.fleet.vms).address
            client = None
            try:
                client = await StatementClient.open(address, patience_s=ANSWER_LIMIT_S)
                await self._session(client)
            except (OSError, TimeoutError):
                self.history.counts["broken sessions"] += 1
            finally:
                if client is not None:
                    client.close()
            await asyncio.sleep(PAUSE_S)

    async def _session(self, client: StatementClient) -> None:
        route = self.random.choice(["pay", "book"])
        greeting = await client.start(route)
        if not greeting:
            raise ConnectionResetError("the connection ended")
        if not greeting.startswith("READY"):
            return
        own = 0
        for _ in range(self.random.randint(1, 40)):
            if self.is_stopping:
                return
            if self.random.random() < 0.4:
                own = await self._write(client) or own
            else:
                await self._read(client, route, own)
            await asyncio.sleep(PAUSE_S)

    async def _write(self, client: StatementClient) -> int | None:
        self.value += 1
        value = self.value
        self.history.attempted[self.name] = value
        if self.random.random() < 0.3:
            await _answer(client, "BEGIN")
            first = await _answer(client, f"WRITE {self.name} {value}")
            if first[0].startswith("ERROR"):
                await _answer(client, "ROLLBACK")
                self.history.promised_not_kept.add(f"{self.name}={value}")
                return None
            answer = await _answer(client, "COMMIT")
        else:
            answer = await _answer(client, f"WRITE {self.name} {value}")
        word, _, rest = answer[0].partition(" ")
        if word == "COMPLETE":
            self.history.acknowledged[self.name] = value
            self.history.counts["writes"] += 1
            return value
        self.history.counts[rest.split(" ")[0]] += 1
        if rest.split(" ")[0] in PROMISES:
            self.history.promised_not_kept.add(f"{self.name}={value}")
        return None

    async def _read(self, client: StatementClient, route: str, own: int) -> None:
        key = self.name
        least = own
        if route == "pay":
            key = self.random.choice(list(self.history.attempted) or [self.name])
            least = self.history.acknowledged.get(key, 0)
        answer = await _answer(client, f"READ {key}")
        if answer[0].startswith("ROW"):
            self.history.counts["reads"] += 1
            self.history.check_read(route, key, answer[0][4:], least)


async def _answer(client: StatementClient, text: str) -> list[str]:
    """Return an answer; raises ``ConnectionResetError`` if it isn't whole."""
    lines = await client.query(text)
    if not lines or not lines[-1].startswith("READY"):
        raise ConnectionResetError("the connection ended")
    return lines
