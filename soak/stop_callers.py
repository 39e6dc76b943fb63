"""Callers of a VM that is about to stop; each runs one session on it."""

import asyncio
import socket
from abc import ABC, abstractmethod
from typing import ClassVar

from soak.clients import SoakClient, query
from soak.statements import RecordedClient
from standins.platform import route_suffix

# Longest pause between two statements of a session, in seconds.
MAX_PAUSE_S = 0.3
LARGE_ITEM_BYTES = 400_000
# Size of the receive buffer of a caller that reads slowly, and its pause between two
# receipts, in seconds.
RECEIVE_BYTES = 32_768
RECEIVE_INTERVAL_S = 0.02
LONG_TEXT_BYTES = 200_000
PIECE_BYTES = 16_384
# Longest time for which a long statement is sent, in seconds.
MAX_SENDING_S = 1.5


class StopCaller(SoakClient, ABC):
    """Caller with one session."""

    async def _run_session(self, client: RecordedClient) -> None:
        route = self.random.choice(["pay", "book"])
        greeting = await client.start(route + route_suffix(self.service))
        if greeting.startswith("READY"):
            await self.use(client, route)

    @abstractmethod
    async def use(self, client: RecordedClient, route: str) -> None:
        """Send the statements of the session."""

    async def run_operation(self, client: RecordedClient, route: str) -> None:
        """Run a read, a write or a transaction, at times after a SET."""
        if self.random.random() < 0.3:
            await query(client, f"SET zone {self.random.getrandbits(16)}")
            await self.pause()
        draw = self.random.random()
        if draw < 0.4:
            await self._read(client, route, 0)
        elif draw < 0.7:
            await self._write(client)
        else:
            await self._run_transaction(client)

    async def _run_transaction(self, client: RecordedClient) -> None:
        """Run a transaction with pauses between its statements."""
        begin = self.random.choice(["BEGIN", "BEGIN READ"])
        answer = await query(client, begin)
        for _ in range(self.random.randint(0, 3)):
            if not answer[-1].startswith("READY T"):
                break
            await self.pause()
            self.value += 1
            is_write = begin == "BEGIN" and self.random.random() < 0.5
            text = f"WRITE {self.name}.t {self.value}" if is_write else "READ k"
            answer = await query(client, text)
        if not answer[-1].startswith("READY I"):
            await query(client, self.random.choice(["COMMIT", "COMMIT", "ROLLBACK"]))

    async def pause(self) -> None:
        """Wait between two statements."""
        await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))


class SingleCaller(StopCaller):
    """Caller that leaves after one operation."""

    async def use(self, client: RecordedClient, route: str) -> None:
        """Run one operation."""
        await self.run_operation(client, route)


class LastingCaller(StopCaller):
    """Caller that uses its connection until it ends."""

    async def use(self, client: RecordedClient, route: str) -> None:
        """Run operations one after the other."""
        while True:
            await self.run_operation(client, route)
            await self.pause()


class SlowReader(StopCaller):
    """Caller that reads large answers slowly."""

    async def use(self, client: RecordedClient, route: str) -> None:
        """Write a large item and read it again and again."""
        opened = client.writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        slowing = asyncio.create_task(self._slow_down(client))
        try:
            await query(client, f"WRITE {self.name}.large {'x' * LARGE_ITEM_BYTES}")
            while True:
                await query(client, f"READ {self.name}.large")
        finally:
            slowing.cancel()

    @staticmethod
    async def _slow_down(client: RecordedClient) -> None:
        """Receive at intervals only."""
        transport = client.writer.transport
        while not transport.is_closing():
            transport.pause_reading()
            await asyncio.sleep(RECEIVE_INTERVAL_S)
            transport.resume_reading()
            await asyncio.sleep(0)
            await asyncio.sleep(0)


class PiecewiseClient(RecordedClient):
    """Session whose statements are sent in pieces.

    Parameters
    ----------
    options : dict
        Passed to `RecordedClient`.

    Attributes
    ----------
    sending_s : float
        Time for which a long statement is sent, in seconds.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        # Each piece has left the process before the next one is sent.
        self.writer.transport.set_write_buffer_limits(0)
        self.sending_s = 0.0

    async def send(self, data: bytes) -> None:
        """Send the line of a query; it is recorded as sent with its last piece."""
        pieces = [data[i : i + PIECE_BYTES] for i in range(0, len(data), PIECE_BYTES)]
        for piece in pieces[:-1]:
            self.writer.write(piece)
            await self.writer.drain()
            await asyncio.sleep(self.sending_s / len(pieces))
        await super().send(pieces[-1])


class PiecewiseWriter(StopCaller):
    """Caller that sends long statements in pieces."""

    client_type: ClassVar[type[RecordedClient]] = PiecewiseClient

    async def use(self, client: RecordedClient, route: str) -> None:
        """Send long writes one after the other."""
        while True:
            client.sending_s = self.random.uniform(0.0, MAX_SENDING_S)
            self.value += 1
            text = "y" * self.random.randint(1, LONG_TEXT_BYTES)
            await query(client, f"WRITE {self.name}.long {self.value}{text}")
            await self.pause()
