"""Clients of a soak; they use open connections until the process is gone."""

import asyncio
import itertools
import random

from soak.fleet import SoakFleet
from soak.history import History
from standins.platform import KEY

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

    ids = itertools.count(1)

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
            host, port = address.split(":")
            writer = None
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                await self._session(reader, writer)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.history.counts["broken sessions"] += 1
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(PAUSE_S)

    async def _session(self, reader, writer) -> None:
        route = self.random.choice(["pay", "book"])
        writer.write(f"STARTUP {route} {KEY}\r\n".encode())
        if not (await self._line(reader)).startswith("READY"):
            return
        own = 0
        for _ in range(self.random.randint(1, 40)):
            if self.is_stopping:
                return
            if self.random.random() < 0.4:
                own = await self._write(reader, writer) or own
            else:
                await self._read(reader, writer, route, own)
            await asyncio.sleep(PAUSE_S)

    async def _write(self, reader, writer) -> int | None:
        self.value += 1
        value = self.value
        self.history.attempted[self.name] = value
        if self.random.random() < 0.3:
            await self._query(reader, writer, "BEGIN")
            first = await self._query(reader, writer, f"WRITE {self.name} {value}")
            if first[0].startswith("ERROR"):
                await self._query(reader, writer, "ROLLBACK")
                self.history.promised_not_kept.add(f"{self.name}={value}")
                return None
            answer = await self._query(reader, writer, "COMMIT")
        else:
            answer = await self._query(reader, writer, f"WRITE {self.name} {value}")
        word, _, rest = answer[0].partition(" ")
        if word == "COMPLETE":
            self.history.acknowledged[self.name] = value
            self.history.counts["writes"] += 1
            return value
        self.history.counts[rest.split(" ")[0]] += 1
        if rest.split(" ")[0] in PROMISES:
            self.history.promised_not_kept.add(f"{self.name}={value}")
        return None

    async def _read(self, reader, writer, route: str, own: int) -> None:
        key = self.name
        least = own
        if route == "pay":
            key = self.random.choice(list(self.history.attempted) or [self.name])
            least = self.history.acknowledged.get(key, 0)
        answer = await self._query(reader, writer, f"READ {key}")
        if answer[0].startswith("ROW"):
            self.history.counts["reads"] += 1
            self.history.check_read(route, key, answer[0][4:], least)

    async def _query(self, reader, writer, text: str) -> list[str]:
        writer.write(f"QUERY s{next(self.ids)} {text}\r\n".encode())
        lines = []
        while True:
            line = await self._line(reader)
            lines.append(line)
            if line.startswith("READY"):
                return lines

    async def _line(self, reader) -> str:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionResetError("the connection ended")
        return line.decode().rstrip()
