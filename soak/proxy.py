"""Loopback proxy that delays, blocks or resets connections."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
# Sent to a daemon once its destination is connected.
CONNECTED = b"+"


class Mode(Enum):
    """Treatment of the bytes that the proxy forwards.

    BLACKHOLE blocks all bytes and ONE_WAY those of answers until the mode changes;
    connections stay open. RESET aborts all connections.
    """

    PASS = "pass"
    DELAY = "delay"
    BLACKHOLE = "silent"
    ONE_WAY = "one-way"
    RESET = "reset"


class FaultProxy:
    """Forwards connections to one address.

    Parameters
    ----------
    target : str
        Address to connect to, ``ip:port``.
    greeting : bytes
        Sent to each connection once the target is connected.
    """

    def __init__(self, *, target: str, greeting: bytes = b"") -> None:
        self.target = target
        self.greeting = greeting
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.changed = asyncio.Event()
        # Whether it holds up bytes now.
        self.is_holding = False

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; RESET aborts the current connections."""
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()
        if mode is Mode.RESET:
            for writer in list(self.writers):
                writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.server.close()
        self.set_mode(Mode.RESET)

    def _is_blocked(self, *, is_answer: bool) -> bool:
        return self.mode is Mode.BLACKHOLE or (self.mode is Mode.ONE_WAY and is_answer)

    async def serve(self, reader, writer) -> None:
        """Forward one connection until one of its ends closes it."""
        self.writers.add(writer)
        upstream = None
        try:
            if self.mode is Mode.RESET:
                return
            host, port = self.target.split(":")
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            self.writers.add(upstream)
            if self.greeting:
                await self._wait_unblocked(is_answer=True)
                writer.write(self.greeting)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, upstream, is_answer=False))
                group.create_task(self._copy(upstream_reader, writer, is_answer=True))
        except* OSError:
            pass
        finally:
            for each in (writer, upstream):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()

    async def _wait_unblocked(self, *, is_answer: bool) -> None:
        while self._is_blocked(is_answer=is_answer):
            self.is_holding = True
            await self.changed.wait()
        self.is_holding = False

    async def _copy(self, reader, writer, *, is_answer: bool) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            await self._wait_unblocked(is_answer=is_answer)
            if reader.exception() is not None:
                # What a partition holds up is lost if its sender resets the connection.
                raise reader.exception()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("the connection was closed")


class VmProxy:
    """Forwards the connections of one VM, each to the address in its first line.

    Attributes
    ----------
    links : dict of str to FaultProxy
        Proxy of each address; its mode concerns this VM only.
    """

    def __init__(self) -> None:
        self.links: dict[str, FaultProxy] = {}
        self.address = ""

    def link(self, target: str) -> FaultProxy:
        """Return the proxy between the VM and an address."""
        return self.links.setdefault(
            target, FaultProxy(target=target, greeting=CONNECTED)
        )

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.server.close()
        for link in self.links.values():
            link.set_mode(Mode.RESET)

    async def _serve(self, reader, writer) -> None:
        try:
            target = (await reader.readline()).decode().strip()
        except ConnectionError:
            target = ""
        if target:
            await self.link(target).serve(reader, writer)
        else:
            writer.close()
