"""Client that speaks the statement protocol of the users' platform."""

import asyncio
import itertools

from standins.platform import KEY

# Bound on the wait for a line, in seconds; generous, since CI may be busy.
PATIENCE_S = 30.0


class StatementClient:
    """One session on one connection.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Connection to a daemon.
    patience_s : float
        Longest wait for a line, in seconds.

    Attributes
    ----------
    greeting : str
        First line of the daemon, empty before the session is started.
    """

    numbers = itertools.count(1)

    def __init__(self, *, reader, writer, patience_s: float) -> None:
        self.reader = reader
        self.writer = writer
        self.patience_s = patience_s
        self.greeting = ""

    @classmethod
    async def open(
        cls, address: str, *, patience_s: float = PATIENCE_S
    ) -> "StatementClient":
        """Open a connection without starting a session."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader=reader, writer=writer, patience_s=patience_s)

    @classmethod
    async def connect(
        cls, address: str, database: str, key: str = KEY
    ) -> "StatementClient":
        """Open a connection and start a session on it."""
        client = await cls.open(address)
        await client.start(database, key)
        return client

    async def start(self, database: str, key: str = KEY) -> str:
        """Start a session; returns the greeting."""
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        self.greeting = await self.line()
        return self.greeting

    async def line(self) -> str:
        """Return the next whole line, empty at the end."""
        async with asyncio.timeout(self.patience_s):
            line = await self.reader.readline()
        return line.decode().rstrip() if line.endswith(b"\r\n") else ""

    async def query(self, text: str) -> list[str]:
        """Send one query and return the lines of its answer."""
        self.writer.write(f"QUERY q{next(self.numbers)} {text}\r\n".encode())
        lines = []
        while line := await self.line():
            lines.append(line)
            if line.startswith("READY"):
                break
        return lines

    def close(self) -> None:
        """Leave without a word."""
        self.writer.close()
