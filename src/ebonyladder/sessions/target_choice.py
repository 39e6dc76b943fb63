"""Choice of a statement's endpoint, and the wait until one is eligible."""

import asyncio

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.endpoint_selector import EndpointSelector, NoTarget, Target
from ebonyladder.sessions.statement_request import StatementRequest
from ebonyladder.sessions.target_wait import TargetWait
from ebonyladder.types import EndpointId

# Without an eligible endpoint, the choice is repeated at least this often, in seconds.
PRIMARY_POLL_INTERVAL_S = 0.1


class TargetChoice:
    """Chooses the endpoints of statements.

    Parameters
    ----------
    cluster : ClusterView
        Tells of changes.
    selector : EndpointSelector
        Chooses from what is eligible now.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self, *, cluster: ClusterView, selector: EndpointSelector, clock: Clock
    ) -> None:
        self.selector = selector
        self.clock = clock
        self.target_wait = TargetWait(clock=clock)
        self.cluster_changed = asyncio.Event()
        cluster.listeners.append(self.cluster_changed.set)

    async def choose(
        self, request: StatementRequest, tried: set[EndpointId]
    ) -> Target | NoTarget:
        """Choose an endpoint, waiting until one is eligible or the wait times out."""
        started_at_s = self.clock.now_s()
        while True:
            self.cluster_changed.clear()
            target = self._choose_now(request, tried)
            service = request.route.service
            if isinstance(target, Target):
                if target.is_primary:
                    self.target_wait.record_primary(service)
                return target
            wait_until_s = self.target_wait.end_s(
                target,
                service,
                started_at_s=started_at_s,
                deadline_s=request.deadline_s,
            )
            if wait_until_s - self.clock.now_s() <= PRIMARY_POLL_INTERVAL_S:
                return target
            try:
                async with asyncio.timeout(PRIMARY_POLL_INTERVAL_S):
                    await self.cluster_changed.wait()
            except TimeoutError:
                continue

    def require(
        self, request: StatementRequest, target: Target, tried: set[EndpointId]
    ) -> None:
        """Raise ``EndpointError``, not run, if a target isn't valid any more.

        Answers the load of an endpoint with a queue that is withdrawn: its statements
        would reach it up to their timeouts later.
        """
        if target.is_primary and target.min_position is None:
            is_valid = self._choose_now(request, tried) == target
            code, problem = ErrorCode.NO_PRIMARY, "the primary changed during the wait"
        else:
            is_valid = self.selector.may_read_at(
                target.entry, request.route, request.organisation
            )
            code = ErrorCode.NO_ENDPOINT
            problem = "the endpoint was withdrawn during the wait"
        if not is_valid:
            raise EndpointError(
                code=code,
                step=Step.ROUTE,
                peer=target.entry.id,
                message=problem,
                outcome=Outcome.NOT_RUN,
            )

    def _choose_now(
        self, request: StatementRequest, tried: set[EndpointId]
    ) -> Target | NoTarget:
        return self.selector.choose(
            route=request.route,
            organisation=request.organisation,
            access=request.access,
            last_commit=request.last_commit,
            tried=frozenset(tried),
            is_transaction=request.is_transaction,
        )
