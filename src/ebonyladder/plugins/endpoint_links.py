"""Plug-in that runs statements at the endpoints that this VM owns."""

import asyncio
from collections import Counter
from typing import ClassVar, cast

from absl import logging

from ebonyladder._owned_endpoints import OwnedEndpoint, OwnedEndpoints
from ebonyladder._owner_context import OwnerContext
from ebonyladder._transaction_runner import ACTION_STEPS, TransactionRunner
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.dedup import DeduplicationTable
from ebonyladder.endpoint import EndpointAnswer, EndpointConnection, EndpointDriver
from ebonyladder.execution import StatementExecutor
from ebonyladder.gate import OwnerWriteGate
from ebonyladder.group import GroupMonitor, GroupView
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    EndpointSummary,
    Forward,
    ForwardAnswer,
    GroupStateAnswer,
    GroupStateRequest,
    Message,
    TransactionStep,
)
from ebonyladder.ownership import Ownership
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.request_trace import RequestTrace
from ebonyladder.types import EndpointId, GroupId, OrganisationId, RequestKind

# A report stream sends at least ten reports a second.
REACHABLE_TIMEOUT_S = 0.5
CLOSE_UNUSED_INTERVAL_S = 1.0


@register
class OwnedEndpointExecutor(Plugin, StatementExecutor):
    """Queue, run and confirm statements at owned endpoints."""

    name: ClassVar[str] = "endpoint-links"
    provides: ClassVar[tuple[type, ...]] = (StatementExecutor,)
    requires: ClassVar[tuple[type, ...]] = (
        EndpointDriver,
        GroupMonitor,
        PeerConnections,
        Membership,
        ConfigurationSource,
        KeyRing,
        OwnerWriteGate,
        RequestTrace,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.duplicates = DeduplicationTable(clock=kernel.clock)

    async def start(self) -> None:
        """Register the handlers for calls of other VMs."""
        get = self.kernel.get
        self.configuration = get(ConfigurationSource)
        ownership = Ownership(
            vm=self.kernel.settings.vm,
            membership=get(Membership),
            configuration=self.configuration,
            clock=self.kernel.clock,
        )
        self.owned = OwnedEndpoints(
            ownership=ownership,
            configuration=self.configuration,
            driver=get(EndpointDriver),
            clock=self.kernel.clock,
        )
        self.context = OwnerContext(
            kernel=self.kernel,
            owned=self.owned,
            groups=get(GroupMonitor),
            keys=get(KeyRing),
            write_gate=get(OwnerWriteGate),
        )
        self.transactions = TransactionRunner(context=self.context)
        self.trace = get(RequestTrace)
        peers = get(PeerConnections)
        peers.handle(Forward, self._answer_forward)
        peers.handle(TransactionStep, self._answer_step)
        peers.handle(GroupStateRequest, self._answer_group_state)
        self.kernel.supervise(self._close_unused, name="close-unused")

    async def _close_unused(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_UNUSED_INTERVAL_S)
            await self.owned.close_unused()

    async def drain(self) -> None:
        """Wait for open transactions and queued statements to end."""
        timeout_s = self.context.policy.transaction_limit_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self.transactions.table.empty.wait()
                await self.duplicates.drain()
        except TimeoutError:
            logging.warning(
                "[endpoints] Drain timed out with open transactions or statements."
            )

    async def stop(self) -> None:
        """Close all connections."""
        await self.owned.close()

    # Calls of other VMs.

    async def _answer_forward(self, _peer: PeerIdentity, message: Message) -> Message:
        forward = cast(Forward, message)
        return await self.duplicates.run(forward.hop, lambda: self.run(forward))

    async def _answer_step(self, _peer: PeerIdentity, message: Message) -> Message:
        step = cast(TransactionStep, message)
        return await self.duplicates.run(step.hop, lambda: self.run_step(step))

    async def _answer_group_state(
        self, _peer: PeerIdentity, message: Message
    ) -> Message:
        request = cast(GroupStateRequest, message)
        return await self.group_state(request.group, wait_s=request.wait_s)

    # Group state.

    async def group_state(self, group: GroupId, *, wait_s: float) -> GroupStateAnswer:
        """Return the state of a group that this VM monitors."""
        view = self.context.view(group)
        await view.wait_until(lambda: view.primary is not None, wait_s)
        now_s = self.kernel.clock.now_s()
        return GroupStateAnswer(
            group=group,
            term=view.term,
            primary=view.primary,
            endpoints=[self._summary(view, name, now_s) for name in view.endpoints],
        )

    @staticmethod
    def _summary(view: GroupView, name: EndpointId, now_s: float) -> EndpointSummary:
        latest = view.latest_reports.get(name)
        return EndpointSummary(
            endpoint=name,
            role=latest.report.role if latest else None,
            reachable=latest is not None and now_s - latest.at_s < REACHABLE_TIMEOUT_S,
            lag_s=view.staleness_s(name, now_s),
        )

    def open_transactions(self) -> dict[OrganisationId, int]:
        """Return the number of open transactions by organisation."""
        return Counter(t.organisation for t in self.transactions.table.open.values())

    def used_slots(self) -> dict[GroupId, float]:
        """Return the number of slots in use or waited for at this VM, by group."""
        used: dict[GroupId, float] = {}
        for name, owned in self.owned.endpoints.items():
            group = self.configuration.current.group_of_endpoint(name)
            if group is not None:
                load = owned.queue.running + owned.queue.waiting
                used[group] = used.get(group, 0.0) + load
        return used

    # Statements.

    async def run_step(self, step: TransactionStep) -> ForwardAnswer:
        """Run one step of an interactive transaction."""
        request_id, endpoint = step.request_id, step.endpoint
        try:
            answer = await self.transactions.run(step)
        except EbonyladderError as error:
            self.trace.record(request_id, Step.EXECUTE, endpoint=endpoint, error=error)
            raise
        self.trace.record(request_id, ACTION_STEPS[step.action], endpoint=endpoint)
        return answer

    async def run(self, forward: Forward) -> ForwardAnswer:
        """Run one statement at an owned endpoint."""
        request_id, endpoint = forward.request_id, forward.endpoint
        attempt = forward.attempt
        try:
            answer = await self._run(forward)
        except EbonyladderError as error:
            self.trace.record(
                request_id, Step.QUEUE, endpoint=endpoint, attempt=attempt, error=error
            )
            raise
        self.trace.record(request_id, Step.CONFIRM, endpoint=endpoint, attempt=attempt)
        return answer

    async def _run(self, forward: Forward) -> ForwardAnswer:
        context = self.context
        deadline_s = context.clock.now_s() + forward.remaining_s
        context.require_not_draining()
        view = context.view(forward.group)
        with view.use():
            if forward.statement.kind is RequestKind.READ:
                return await self._read(view, forward, deadline_s)
            await context.require_primary(view, forward.endpoint, deadline_s)
            remaining_s = context.remaining_s(deadline_s)
            async with context.write_gate.write(forward.group, remaining_s):
                return await self._write(view, forward, deadline_s)

    async def _read(
        self, view: GroupView, forward: Forward, deadline_s: float
    ) -> ForwardAnswer:
        owned = self.owned.require(forward.endpoint, RequestKind.READ)
        wait_s = forward.replica_wait_s
        if wait_s is None:
            wait_s = self.context.policy.replica_wait_ms / 1000
        wait_s = min(wait_s, forward.remaining_s)
        await self.context.confirmer(view).require_readable(forward, wait_s)
        return await self._run_at(owned, view, forward, deadline_s)

    async def _write(
        self, view: GroupView, forward: Forward, deadline_s: float
    ) -> ForwardAnswer:
        """Run a write that has passed the write gate.

        The checks are repeated, since the state may have changed while it waited.
        """
        self.context.require_not_draining()
        await self.context.require_primary(view, forward.endpoint, deadline_s)
        owned = self.owned.require(forward.endpoint, RequestKind.WRITE)
        return await self._run_at(owned, view, forward, deadline_s)

    async def _run_at(
        self,
        owned: OwnedEndpoint,
        view: GroupView,
        forward: Forward,
        deadline_s: float,
    ) -> ForwardAnswer:
        """Queue and run a statement, then confirm its answer."""
        context = self.context
        async with owned.queue.slot(
            organisation=forward.organisation, deadline_s=deadline_s
        ):
            connection = await owned.pool.acquire(context.remaining_s(deadline_s))
            try:
                context.require_key(forward.key_digest, Step.EXECUTE)
                answer = await self._execute(connection, forward, deadline_s)
                self.trace.record(
                    forward.request_id,
                    Step.EXECUTE,
                    endpoint=forward.endpoint,
                    attempt=forward.attempt,
                )
            finally:
                owned.pool.release(connection)
        await context.confirmer(view).confirm(
            forward.endpoint, answer, context.remaining_s(deadline_s)
        )
        return ForwardAnswer(
            rows=answer.rows, at=answer.at, endpoint=forward.endpoint, role=answer.role
        )

    async def _execute(
        self, connection: EndpointConnection, forward: Forward, deadline_s: float
    ) -> EndpointAnswer:
        async with self.context.until(deadline_s, Step.EXECUTE, forward.endpoint):
            return await connection.execute(
                organisation=forward.organisation, statement=forward.statement
            )
