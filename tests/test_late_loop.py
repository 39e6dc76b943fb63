"""Requests at the end of a drain while the event loop is late."""

import asyncio
import time

import pytest

from ebonyladder.sessions.drain import DrainPlan
from standins.statement_client import StatementClient
from tests.platform_fleet import until
from tests.test_texts import Vm

GRACE_S = 0.6
REQUESTS = 5


async def serve_silently(reader, writer) -> None:
    """Greet as a database, and answer no query."""
    await reader.readline()
    writer.write(b"READY I 1.10\r\n")
    await reader.read()
    writer.close()


class TestLateLoop:
    """Guards against an exit that overtakes the answers when both are late."""

    @pytest.mark.parametrize("text", ["READ a", "WRITE a b"])
    def test_requests_are_answered_although_the_loop_is_late(self, text):
        async def scenario() -> list[list[str]]:
            server = await asyncio.start_server(serve_silently, "127.0.0.1", 0)
            vm = Vm(server.sockets[0].getsockname()[1])
            await vm.front_end.start()
            host, port = vm.front_end.server.sockets[0].getsockname()
            clients = [
                await StatementClient.connect(f"{host}:{port}", "primary", "key-1")
                for _ in range(REQUESTS)
            ]
            calls = [asyncio.create_task(c.query(text)) for c in clients]
            accepted = vm.executor.accepted
            await until(lambda: accepted.count == REQUESTS, "the requests")
            plan = DrainPlan(grace_s=GRACE_S, started_at_s=vm.clock.now_s())
            accepted.begin_drain(plan)
            # From before the end of the requests until after the end of the process.
            remaining_s = plan.answer_by_s - vm.clock.now_s()
            late_s = plan.exit_by_s - plan.answer_by_s + 0.1
            loop = asyncio.get_running_loop()
            loop.call_later(remaining_s - 0.05, time.sleep, late_s)
            await vm.front_end.drain()
            await vm.front_end.stop()
            answers = await asyncio.gather(*calls)
            vm.pools.close()
            await StatementClient.close_all()
            server.close()
            return answers

        answers = asyncio.run(scenario())
        assert [a[-1:] for a in answers] == [["READY I -"]] * REQUESTS
