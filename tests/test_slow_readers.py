"""Callers that read their answers slowly, or never, while their VM stops."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.drain import MIN_WORK_S, DrainPlan
from tests.platform_fleet import until
from tests.test_texts import ByteDatabase, Vm

GRACE_S = 6.0
# One answer for whose rest the connection's task waits, and one that it leaves to the
# transport, which takes 64 KiB.
ROW_SIZES = (300_000, 60_000)
# So small that most of the answer stays in the process.
BUFFER_BYTES = 4_096
# All reads of an answer take longer than the interval of the drain's checks.
TURN_S = 0.01


class StoppingVm:
    """VM with one caller, whose answer has not been read when the VM stops.

    Attributes
    ----------
    caller : socket.socket
        The caller's end of the connection.
    clock : ManualClock
        Clock of the drain.
    unsent_bytes_at_end : int or None
        Bytes of the answer that were left in the process after the drain.
    """

    def __init__(self, *, vm: Vm, row: bytes) -> None:
        self.vm = vm
        self.row = row
        self.clock = ManualClock()
        vm.executor.accepted.clock = self.clock
        vm.front_end.kernel.clock = self.clock
        self.caller = socket.socket()
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.caller.setblocking(False)
        self.unsent_bytes_at_end: int | None = None

    async def request(self) -> None:
        """Send a read, and wait until its answer is stuck in the process."""
        loop = asyncio.get_running_loop()
        front_end = self.vm.front_end
        address = front_end.server.sockets[0].getsockname()
        await loop.sock_connect(self.caller, address)
        await until(lambda: front_end.connections, "the connection")
        (connection,) = front_end.connections
        accepted = connection.writer.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        data = b"STARTUP primary key-1\r\nQUERY 1 READ a\r\n"
        await loop.sock_sendall(self.caller, data)
        await until(lambda: connection.unsent_bytes > len(self.row) / 2, "the answer")

    def begin_drain(self) -> tuple[DrainPlan, asyncio.Task[None]]:
        """Begin to stop; return the schedule and the task that stops."""
        plan = DrainPlan(grace_s=GRACE_S, started_at_s=self.clock.now_s())
        self.vm.executor.accepted.begin_drain(plan)
        return plan, asyncio.create_task(self._stop())

    async def _stop(self) -> None:
        (connection,) = self.vm.front_end.connections
        await self.vm.front_end.drain()
        self.unsent_bytes_at_end = connection.unsent_bytes
        await self.vm.front_end.stop()


@asynccontextmanager
async def stopping_vm(row_size: int):
    """Run a VM with a caller whose answer has one row."""
    row = b"ROW " + b"x" * row_size
    database = ByteDatabase()
    database.result = [row, b"COMPLETE 7.1"]
    server = await asyncio.start_server(database.serve, "127.0.0.1", 0)
    vm = Vm(server.sockets[0].getsockname()[1])
    await vm.front_end.start()
    stopping = StoppingVm(vm=vm, row=row)
    try:
        yield stopping
    finally:
        stopping.caller.close()
        await vm.front_end.stop()
        vm.pools.close()
        server.close()


class TestSlowReader:
    """Guards against an answer that is cut off, and a stop that waits for ever."""

    @pytest.mark.parametrize("row_size", ROW_SIZES)
    def test_stop_waits_until_the_whole_answer_is_read(self, row_size):
        async def scenario() -> bytes:
            loop = asyncio.get_running_loop()
            async with stopping_vm(row_size) as stopping:
                await stopping.request()
                plan, stop = stopping.begin_drain()
                stopping.clock.monotonic_s = plan.answer_by_s
                received = b""
                while data := await loop.sock_recv(stopping.caller, BUFFER_BYTES):
                    received += data
                    await asyncio.sleep(TURN_S)
                await stop
                assert stopping.unsent_bytes_at_end == 0
                return received

        greeting, row, *end = asyncio.run(scenario()).split(b"\r\n")
        assert (greeting, len(row)) == (b"READY I -", len(b"ROW ") + row_size)
        assert end == [b"COMPLETE 7.1", b"READY I 1.10", b""]

    def test_stop_ends_although_the_answer_is_never_read(self, caplog):
        async def scenario() -> None:
            async with stopping_vm(ROW_SIZES[0]) as stopping:
                await stopping.request()
                plan, stop = stopping.begin_drain()
                stopping.clock.monotonic_s = plan.exit_by_s - 0.01
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await asyncio.shield(stop)
                stopping.clock.monotonic_s = plan.exit_by_s
                await until(stop.done, "the end of the stop")

        asyncio.run(scenario())
        assert "count=1 unsent_bytes=" in caplog.text


class TestListener:
    """Guards against a caller that is accepted as the listener closes, and cut off."""

    @pytest.mark.parametrize("turns", [0, 5])
    def test_connection_that_was_just_accepted_is_served(self, monkeypatch, turns):
        # Other plug-ins drain for some turns of the loop after the front end.
        accepted = asyncio.Event()
        connection_made = asyncio.StreamReaderProtocol.connection_made

        def record(protocol, transport) -> None:
            # The drain's turn comes before the first one of the connection's task.
            accepted.set()
            connection_made(protocol, transport)

        async def scenario() -> bytes:
            loop = asyncio.get_running_loop()
            async with stopping_vm(10) as stopping:
                front_end = stopping.vm.front_end
                stopping.clock.monotonic_s = stopping.vm.executor.clock.now_s()
                monkeypatch.setattr(
                    asyncio.StreamReaderProtocol, "connection_made", record
                )
                plan = DrainPlan(grace_s=GRACE_S, started_at_s=stopping.clock.now_s())
                front_end.accepted.begin_drain(plan)
                stopping.clock.monotonic_s = plan.answer_by_s - MIN_WORK_S
                await loop.sock_connect(
                    stopping.caller, front_end.server.sockets[0].getsockname()
                )
                data = b"STARTUP primary key-1\r\nQUERY 1 READ a\r\n"
                await loop.sock_sendall(stopping.caller, data)
                await accepted.wait()
                await front_end.drain()
                for _ in range(turns):
                    await asyncio.sleep(0)
                await front_end.stop()
                received = b""
                while data := await loop.sock_recv(stopping.caller, BUFFER_BYTES):
                    received += data
                return received

        received = asyncio.run(scenario())
        assert received.endswith(b"COMPLETE 7.1\r\nREADY I 1.10\r\n")
