"""Client that speaks the statement protocol of the users' platform."""

import asyncio
import itertools
from typing import ClassVar

from standins.lines import STREAM_LIMIT_BYTES, encode_lines, read_line, to_text
from standins.platform import KEY

# Generous, since CI machines may be busy.
LINE_TIMEOUT_S = 30.0


class StatementClient:
    """Session on one connection.

    Texts have one character for each byte (`standins.lines`).

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Connection to a daemon.
    timeout_s : float
        Timeout of the wait for a line, in seconds.

    Attributes
    ----------
    greeting : str
        First line of the daemon; empty until the session is started.
    """

    numbers = itertools.count(1)
    opened: ClassVar[set["StatementClient"]] = set()

    def __init__(self, *, reader, writer, timeout_s: float) -> None:
        self.opened.add(self)
        self.reader = reader
        self.writer = writer
        self.timeout_s = timeout_s
        self.greeting = ""

    @classmethod
    async def open(
        cls, address: str, *, timeout_s: float = LINE_TIMEOUT_S, **options
    ) -> "StatementClient":
        """Open a connection without starting a session.

        The options are passed to the class.
        """
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=STREAM_LIMIT_BYTES
        )
        return cls(reader=reader, writer=writer, timeout_s=timeout_s, **options)

    @classmethod
    async def connect(
        cls, address: str, database: str, key: str = KEY
    ) -> "StatementClient":
        """Open a connection and start a session on it."""
        client = await cls.open(address)
        await client.start(database, key)
        return client

    @classmethod
    async def close_all(cls) -> None:
        """Close all connections before their event loop ends.

        A stream that is finalized later raises an error at any place of the program.
        """
        while cls.opened:
            cls.opened.pop().writer.close()
        await asyncio.sleep(0)

    async def start(self, database: str, key: str = KEY) -> str:
        """Start a session and return the greeting."""
        self.writer.write(encode_lines(f"STARTUP {database} {key}"))
        self.greeting = await self.read_line()
        return self.greeting

    async def read_line(self) -> str:
        """Return the next complete line; empty if the connection has ended."""
        async with asyncio.timeout(self.timeout_s):
            return await read_line(self.reader) or ""

    async def query(self, text: str | bytes, *, id: str = "") -> list[str]:
        """Send one query and return the lines of its answer.

        Parameters
        ----------
        text : str or bytes
            Text of the query, without a line end.
        id : str
            Id of the query; the next unused one if it is empty.
        """
        if isinstance(text, bytes):
            text = to_text(text)
        id = id or self.next_id()
        await self.send(encode_lines(f"QUERY {id} {text}"))
        lines = []
        while line := await self.read_line():
            lines.append(line)
            if line.split(" ", 1)[0] == "READY":
                break
        return lines

    async def send(self, data: bytes) -> None:
        """Send the line of a query."""
        self.writer.write(data)

    @classmethod
    def next_id(cls) -> str:
        """Return an id that no other query of this process has."""
        return f"q{next(cls.numbers)}"

    def close(self) -> None:
        """Close the connection without a TERMINATE message."""
        self.opened.discard(self)
        self.writer.close()
