"""Control calls: what an answer shows when endpoints send earlier answers again."""

import asyncio
from collections.abc import Coroutine
from unittest.mock import patch

import pytest

from ebonyladder.kernel.error import EndpointError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import EndpointGoneError
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.types import EndpointProcess, Role, Term
from tests.session_fakes import (
    FakeConnection,
    FakeConnector,
    FakeEndpoint,
    entry,
    fake_endpoints,
    position,
)

PRIMARY = EndpointProcess("primary@0")
FAR = EndpointProcess("far@0")
TERM = Term(2)


class ControlTest:
    """Control connections to a primary and a replica."""

    def setup_method(self):
        self.primary, _, self.far = fake_endpoints()
        self.connector = FakeConnector(self.primary, self.far)
        self.control = EndpointControl(connector=self.connector)

    async def probe(self) -> None:
        """Connect to both endpoints."""
        await self.control.probe([entry("primary", role=Role.PRIMARY), entry("far")])

    def run(self, scenario: Coroutine) -> None:
        """Run a scenario, and check that no connection is left open."""

        async def run() -> None:
            await scenario
            self.control.close()

        asyncio.run(run())
        assert not any(c.is_open for c in self.connector.connections)


class TestRepeatedAnswers(ControlTest):
    """Guards against taking a copy of an earlier answer for that of the next call."""

    def test_pause_that_was_refused_is_not_acknowledged_by_a_status(self):
        async def scenario():
            self.far.repeated_answers = 1
            self.far.refuses_pauses = True
            await self.probe()
            assert await self.control.pause([FAR], TERM) == {}

        self.run(scenario())

    def test_step_down_returns_the_final_position(self):
        async def scenario():
            self.primary.repeated_answers = 1
            await self.probe()
            self.primary.set_received(position(1, 12))
            status = await self.control.step_down(PRIMARY, TERM)
            assert status.role is Role.REPLICA
            assert status.received == position(1, 12)

        self.run(scenario())

    def test_refreshed_status_is_a_current_one(self):
        async def scenario():
            self.far.repeated_answers = 1
            await self.probe()
            self.far.set_received(position(1, 12))
            await self.control.refresh()
            assert self.control.endpoints[FAR].status.received == position(1, 12)

        self.run(scenario())

    def test_status_after_a_pause_is_not_from_before_it(self):
        async def scenario():
            self.far.repeated_answers = 2
            await self.probe()
            await self.control.statuses()
            self.far.set_received(position(1, 12))
            await self.control.pause([FAR], TERM)
            status = await self.control.status(FAR)
            assert status.received == position(1, 12)

        self.run(scenario())

    def test_resume_leaves_no_call_that_may_run_after_a_later_pause(self):
        # A copy of BUSY answers the second RESUME, and the third one is outstanding.
        async def scenario():
            await self.probe()
            self.far.busy_resumes = 1
            self.far.repeated_answers = 1
            await self.control.resume([FAR])
            resumed = self.control.endpoints[FAR].connection
            assert not resumed.unread
            assert resumed.is_open

        self.run(scenario())


class TestReplacedConnection(ControlTest):
    """Guards against taking a new process for the one that was probed."""

    def test_pause_of_a_process_that_has_started_again_does_not_count(self):
        def restart(peer: FakeEndpoint) -> None:
            for connection in self.connector.connections:
                connection.close()

        async def scenario():
            await self.probe()
            self.connector.before_open = restart
            assert await self.control.pause([FAR], TERM) == {}
            assert FAR not in self.control.endpoints

        self.run(scenario())

    def test_running_process_that_refuses_connections_is_not_gone(self):
        def refuse(peer: FakeEndpoint) -> None:
            raise EndpointGoneError(
                code=ErrorCode.CONNECT_FAILED, step=Step.CONNECT, peer=peer.name
            )

        async def scenario():
            await self.probe()
            self.connector.before_open = refuse
            assert await self.control.pause([FAR], TERM) == {}
            assert FAR not in self.control.gone

        self.run(scenario())

    def test_new_connection_is_tried_again_while_there_are_too_many(self):
        refusals = [1, 2, 3]

        def refuse(peer: FakeEndpoint) -> None:
            if refusals:
                refusals.pop()
                raise EndpointError(
                    code=ErrorCode.OVERLOADED, step=Step.CONNECT, peer=peer.name
                )

        async def scenario():
            await self.probe()
            self.connector.before_open = refuse
            assert (await self.control.pause([FAR], TERM)).keys() == {FAR}

        self.run(scenario())

    def test_busy_endpoint_keeps_its_status_when_all_are_refreshed(self):
        # Guards against a failover that loses a replica for want of a slot.
        async def scenario():
            await self.probe()
            self.far.busy_calls = 100
            await self.control.refresh()
            assert self.control.endpoints[FAR].connection.is_open
            assert await self.control.current_statuses([FAR]) == {}

        self.run(scenario())

    @pytest.mark.parametrize("call", ["pause", "current_statuses"])
    def test_endpoint_without_an_answer_is_dropped(self, call):
        # Its answer may come later, and its call may run later.
        async def scenario():
            await self.probe()
            self.far.is_unresponsive = True
            arguments = ([FAR], TERM) if call == "pause" else ([FAR],)
            assert await getattr(self.control, call)(*arguments) == {}
            assert FAR not in self.control.endpoints

        self.run(scenario())

    def test_connection_with_an_outstanding_status_is_not_used_again(self):
        async def scenario():
            await self.probe()
            self.far.is_unresponsive = True
            assert await self.control.status(FAR) is None
            self.far.is_unresponsive = False
            assert FAR not in await self.control.statuses()

        self.run(scenario())

    def test_cancelled_probe_leaves_no_connection_open(self):
        # Guards against connections that take slots for good.
        async def wait_for_ever(connection):
            await asyncio.Event().wait()

        async def scenario():
            with patch.object(FakeConnection, "status", wait_for_ever):
                probing = asyncio.create_task(self.probe())
                await asyncio.sleep(0.05)
                probing.cancel()
                await asyncio.wait([probing])

        self.run(scenario())
