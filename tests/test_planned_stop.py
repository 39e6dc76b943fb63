"""Requests of callers while their VM stops, on endpoints that are slow."""

import asyncio

import msgspec
import pytest

from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.fleet.watchers import VM_REPORT_TIMEOUT_S
from ebonyladder.sessions.plugins.sessions import SessionFactory
from standins.platform import configuration
from standins.statement_client import StatementClient
from tests.platform_fleet import Fleet, running_fleet, until

pytestmark = pytest.mark.xdist_group("processes")

GRACE_S = 3.0
# Longer than what is left of the grace period when new sessions are refused.
STATEMENT_S = 2.0
CALLER_INTERVAL_S = 0.1
# A BEGIN and a read end 2.5 s after the signal, and a rollback after it is given up.
ROLLBACK_S = 1.2


class TestSlowRequests:
    """Guards against requests that were taken and end by a close of the connection."""

    @pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
    def test_request_during_the_grace_period_is_answered(self, text):
        async def scenario() -> list[list[str]]:
            async with running_fleet() as fleet:
                self.slow_down(fleet)
                kernel = fleet.kernels[1]
                kernel.reload(msgspec.structs.replace(kernel.settings, grace_s=GRACE_S))
                loop = asyncio.get_running_loop()
                started_at_s = loop.time()
                stopping = asyncio.create_task(self.stop(kernel))
                callers = []
                while loop.time() < started_at_s + GRACE_S:
                    call = self.call(fleet.address(1), text)
                    callers.append(asyncio.create_task(call))
                    await asyncio.sleep(CALLER_INTERVAL_S)
                await stopping
                return [a for a in await asyncio.gather(*callers) if a is not None]

        answers = asyncio.run(scenario())
        assert len(answers) >= GRACE_S / 3 / CALLER_INTERVAL_S
        cut = [a for a in answers if not a or not a[-1].startswith("READY")]
        assert cut == []

    def test_commit_that_arrives_during_the_rollback_of_a_drain_is_answered(self):
        # Guards against a connection on which nothing is read while the endpoint rolls
        # back, until the process has ended.
        async def scenario() -> list[str]:
            async with running_fleet() as fleet:
                self.slow_down(fleet, statement_s=ROLLBACK_S)
                kernel = fleet.kernels[1]
                kernel.reload(msgspec.structs.replace(kernel.settings, grace_s=GRACE_S))
                client = await StatementClient.connect(fleet.address(1), "book")
                stopping = asyncio.create_task(self.stop(kernel))
                await asyncio.sleep(0.1)
                await client.query("BEGIN")
                # Until after the time at which open transactions are aborted, with
                # less than a rollback left.
                lines = await client.query("READ a")
                assert lines[-1].startswith("READY T")
                answer = await client.query("COMMIT")
                await stopping
                return answer

        answer = asyncio.run(scenario())
        assert [line.split(" ")[:2] for line in answer] == [
            ["ERROR", "ABORTED"],
            ["READY", "I"],
        ]

    def test_shorter_grace_period_ends_the_requests_that_run(self):
        # Guards against requests that still run when the process is killed.
        async def scenario() -> tuple[list[str] | None, float]:
            async with running_fleet() as fleet:
                self.slow_down(fleet, statement_s=20.0)
                await until(lambda: fleet.cluster(1).version == 2, "the timeouts")
                kernel = fleet.kernels[1]
                kernel.reload(msgspec.structs.replace(kernel.settings, grace_s=30.0))
                call = asyncio.create_task(self.call(fleet.address(1), "WRITE a 1"))
                accepted = kernel.get(SessionFactory).executor.accepted
                await until(lambda: accepted.count, "the request")
                started_at_s = kernel.clock.now_s()
                stopping = asyncio.create_task(self.stop(kernel))
                await until(lambda: accepted.drain is not None, "the drain")
                shorter = msgspec.structs.replace(kernel.settings, grace_s=GRACE_S)
                kernel.reload(shorter)
                answer = await call
                await stopping
                return answer, kernel.clock.now_s() - started_at_s

        answer, took_s = asyncio.run(scenario())
        assert "the VM is stopping" in answer[0]
        assert answer[-1].startswith("READY")
        assert took_s < 2 * GRACE_S

    @staticmethod
    def slow_down(fleet: Fleet, statement_s: float = STATEMENT_S) -> None:
        """Let statements take long, and give them the time."""
        content = configuration(2)
        for route in content["routes"]:
            route["timeout_ms"] = 30_000
        fleet.platform.store.put("config", "main", content)
        for database in fleet.platform.service.databases.values():
            database.statement_s = statement_s

    @staticmethod
    async def stop(kernel) -> None:
        await kernel.drain()
        await kernel.stop()

    @staticmethod
    async def call(address: str, text: str) -> list[str] | None:
        """Return the answer to one statement, None if no session was opened."""
        try:
            client = await StatementClient.connect(address, "book")
        except OSError:
            return None
        if not client.greeting.startswith("READY"):
            return None
        return await client.query(text)


class TestStoppingLeader:
    """Guards against callers that wait in vain for a leader that stops.

    Between its release of the leadership and the first update of the next leader,
    nobody grants permits, and nobody confirms the group states that commits and reads
    of the primary need.
    """

    @pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
    def test_callers_of_the_leader_are_served_while_it_stops(self, text):
        async def scenario() -> list[list[str]]:
            async with running_fleet() as fleet:
                kernel = next(
                    k
                    for k in fleet.kernels
                    if k.get(FailoverCoordination).fencing_token() is not None
                )
                kernel.reload(msgspec.structs.replace(kernel.settings, grace_s=GRACE_S))
                stopping = asyncio.create_task(TestSlowRequests.stop(kernel))
                callers = []
                while not stopping.done():
                    call = self.call(kernel.settings.callers, text)
                    callers.append(asyncio.create_task(call))
                    await asyncio.sleep(0.02)
                return [a for a in await asyncio.gather(*callers) if a is not None]

        answers = asyncio.run(scenario())
        assert len(answers) >= 10
        assert [a for a in answers if not a or a[0].startswith("ERROR")] == []

    @staticmethod
    async def call(address: str, text: str) -> list[str] | None:
        """Return the answer to one statement that needs the primary."""
        try:
            client = await StatementClient.connect(address, "pay")
        except OSError:
            return None
        if not client.greeting.startswith("READY"):
            return None
        return await client.query(text)


class TestEndOfVm:
    """Guards against a leader that takes a VM that was stopped for a silent one."""

    def test_stopped_vm_is_removed_from_the_list_at_once(self):
        async def scenario() -> None:
            async with running_fleet() as fleet:
                stopped = next(
                    k
                    for k in fleet.kernels
                    if k.get(FailoverCoordination).fencing_token() is None
                )
                stopped.reload(
                    msgspec.structs.replace(stopped.settings, grace_s=GRACE_S)
                )
                await TestSlowRequests.stop(stopped)
                ended_at_s = stopped.clock.now_s()
                entries = fleet.platform.store.objects["ebonyladder-vms"]
                await until(lambda: stopped.settings.vm not in entries, "the removal")
                assert stopped.clock.now_s() - ended_at_s < VM_REPORT_TIMEOUT_S / 2

        asyncio.run(scenario())
