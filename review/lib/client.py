"""Client of the statement protocol that records what it sends and is answered."""

import asyncio
import itertools
from collections.abc import Callable
from typing import ClassVar

from review.lib.fleet import KEY


class Client:
    """Session with one daemon; it connects again after its connection has ended."""

    numbers = itertools.count(1)
    opened: ClassVar[list["Client"]] = []

    def __init__(
        self,
        *,
        address: tuple[str, int],
        database: str,
        record: Callable[[str], None],
        key: str = KEY,
    ) -> None:
        self.address = address
        self.database = database
        self.record = record
        self.key = key
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.opened.append(self)

    @classmethod
    async def close_all(cls) -> None:
        """Close all clients before their event loop ends."""
        for client in cls.opened:
            client.close()
        await asyncio.sleep(0.05)

    async def open(self) -> str:
        """Open a session; return the first line of the answer."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
        return (await self.reader.readline()).decode().rstrip("\r\n")

    async def query(self, text: str, *, timeout_s: float = 5.0) -> tuple[str, str]:
        """Run one statement; return its id, and the answer without its rows.

        The answer is empty if none arrived.
        """
        id = f"{next(self.numbers):016x}"
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    opening = await self.open()
                    if not opening.startswith("READY"):
                        self.close()
                        return id, opening
                self.writer.write(f"QUERY {id} {text}\r\n".encode())
                lines = []
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line:
                        raise ConnectionResetError
                    lines.append(line.decode().rstrip("\r\n"))
        except (OSError, TimeoutError) as error:
            self.record(f"client: {id} {text} got no answer, {error!r}")
            self.close()
            return id, ""
        self.record(f"client: {id} {text} -> {' | '.join(lines)}")
        return id, lines[-2]

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
