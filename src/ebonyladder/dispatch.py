"""Routing of a caller's statement to an endpoint and its owner, with retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from itertools import count
from typing import TypeVar

from ebonyladder.choice import EndpointChoice, PreviousAttempts, RoutedStatement
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.directory import GroupDirectory
from ebonyladder.execution import StatementExecutor
from ebonyladder.hop import HopSender
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    Forward,
    ForwardAnswer,
    TransactionStep,
)
from ebonyladder.ownership import Ownership
from ebonyladder.peer import PeerConnections
from ebonyladder.replica_read_ratio import ReplicaReadRatio
from ebonyladder.request_trace import RequestTrace
from ebonyladder.retry import RetryBudget, RetryDecision
from ebonyladder.slow_start import SlowStart
from ebonyladder.types import (
    EndpointId,
    GroupId,
    RequestKind,
    Role,
    VmId,
    ZoneId,
)

T = TypeVar("T")

MAX_ATTEMPTS = 8
REROUTE_BACKOFF_S = 0.02
# VMs activate a change of the configuration within 2 s of each other, so a refused
# request is retried, with at most this backoff, until its deadline.
MAX_REROUTE_BACKOFF_S = 0.25

# Refusals that leave nothing in a queue, so that another attempt adds no load.
REROUTABLE_REFUSALS = frozenset(
    {
        ErrorCode.NO_PRIMARY,
        ErrorCode.NOT_OWNER,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.PEER_REPLACED,
        ErrorCode.DRAINING,
        ErrorCode.REPLICA_BEHIND,
        ErrorCode.NO_ENDPOINT,
        # A failed primary refuses connections until another one is promoted.
        ErrorCode.CONNECT_FAILED,
    }
)
PEER_FAILURES = frozenset(
    {ErrorCode.PEER_UNREACHABLE, ErrorCode.PEER_REPLACED, ErrorCode.PEER_LOST}
)


class Dispatcher:
    """Send statements to the owners of their endpoints.

    Parameters
    ----------
    vm, zone : VmId, ZoneId
        This VM and its zone.
    executor : StatementExecutor
        Runs statements at endpoints that this VM owns.
    peers : PeerConnections
        Connections to other owners.
    membership, configuration : Membership, ConfigurationSource
        Live VMs and the configuration.
    clock : Clock
        Clock for deadlines.
    rng : random.Random
        Source of the backoff's jitter and of the choice among equal replicas.
    trace : RequestTrace, optional
        Trace of recent requests, for operators.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        zone: ZoneId,
        executor: StatementExecutor,
        peers: PeerConnections,
        membership: Membership,
        configuration: ConfigurationSource,
        clock: Clock,
        rng: random.Random,
        trace: RequestTrace | None = None,
    ) -> None:
        self.vm = vm
        self.executor = executor
        self.peers = peers
        self.membership = membership
        self.configuration = configuration
        self.clock = clock
        self.rng = rng
        self.trace = trace
        self.ownership = Ownership(
            vm=vm, membership=membership, configuration=configuration, clock=clock
        )
        self.choice = EndpointChoice(
            zone=zone,
            configuration=configuration,
            slow_start=SlowStart(configuration=configuration, clock=clock),
            rng=rng,
        )
        self.directory = GroupDirectory(
            executor=executor,
            peers=peers,
            membership=membership,
            ownership=self.ownership,
            clock=clock,
        )
        self.hop_sender = HopSender(peers=peers, membership=membership, clock=clock)
        self.replica_read_ratio = ReplicaReadRatio()
        self.retry_budget = RetryBudget(clock=clock)

    async def run(self, routed: RoutedStatement) -> ForwardAnswer:
        """Run one statement; retry it where it was refused or failed.

        Raises
        ------
        EbonyladderError
            The last attempt's error.
        """
        self.retry_budget.record_request(routed.organisation)
        previous = PreviousAttempts()
        for attempt in count(1):
            try:
                answer = await self._attempt(routed, previous, attempt)
                if (
                    routed.statement.kind is RequestKind.READ
                    and routed.required_position
                ):
                    self.replica_read_ratio.record(
                        is_replica=answer.role is Role.REPLICA
                    )
                return answer
            except EbonyladderError as error:
                self._invalidate_caches(routed.group, error)
                self._trace_attempt(routed, attempt, error=error)
                backoff_s = self._backoff_s(attempt)
                if not self._may_retry(routed, error, attempt, backoff_s):
                    raise
                if error.code is ErrorCode.REPLICA_BEHIND:
                    previous.is_replica_behind = True
                    continue
                await asyncio.sleep(backoff_s)
        raise AssertionError("the last attempt returns or raises")

    def _trace_attempt(
        self,
        routed: RoutedStatement,
        attempt: int,
        endpoint: EndpointId | str = "",
        error: EbonyladderError | None = None,
    ) -> None:
        if self.trace is None:
            return
        owner = self.ownership.owner_of(EndpointId(endpoint)) if endpoint else None
        self.trace.record(
            routed.request_id,
            Step.ROUTE,
            endpoint=endpoint,
            owner=owner or "",
            attempt=attempt,
            error=error,
        )

    async def reroute(
        self, group: GroupId, deadline_s: float, attempt: Callable[[], Awaitable[T]]
    ) -> T:
        """Run an attempt; until the deadline, repeat it after a reroutable refusal."""
        for attempt_number in count(1):
            try:
                return await attempt()
            except EbonyladderError as error:
                self._invalidate_caches(group, error)
                backoff_s = self._backoff_s(attempt_number)
                is_late = self._remaining_s(deadline_s) <= backoff_s
                if is_late or not _is_reroutable(error):
                    raise
                await asyncio.sleep(backoff_s)
        raise AssertionError("the last attempt returns or raises")

    def _backoff_s(self, attempt: int) -> float:
        exponential_s = REROUTE_BACKOFF_S * 2.0 ** min(attempt - 1, MAX_ATTEMPTS)
        max_backoff_s = min(exponential_s, MAX_REROUTE_BACKOFF_S)
        return max_backoff_s * self.rng.uniform(0.5, 1.0)

    async def _attempt(
        self, routed: RoutedStatement, previous: PreviousAttempts, attempt: int
    ) -> ForwardAnswer:
        state = await self.directory.state_of(routed.group, routed.deadline_s)
        endpoint = self.choice.choose(routed, state, previous)
        previous.endpoints.add(endpoint)
        self._trace_attempt(routed, attempt, endpoint)
        forward = Forward(
            hop=self.peers.next_hop(),
            organisation=routed.organisation,
            service=routed.service,
            group=routed.group,
            endpoint=endpoint,
            statement=routed.statement,
            remaining_s=self._remaining_s(routed.deadline_s),
            required_position=routed.required_position,
            max_age_s=routed.max_age_s,
            key_digest=routed.key_digest,
            attempt=attempt,
            request_id=routed.request_id,
            replica_wait_s=self.replica_read_ratio.wait_s(
                self.configuration.current.policy.replica_wait_ms / 1000
            ),
        )
        is_read = routed.statement.kind is RequestKind.READ
        return await self.send(
            endpoint,
            forward,
            lambda: self.executor.run(forward),
            is_idempotent=is_read or routed.idempotent,
        )

    async def send(
        self,
        endpoint: EndpointId,
        message: Forward | TransactionStep,
        run_here: Callable[[], Awaitable[ForwardAnswer]],
        *,
        is_idempotent: bool = False,
    ) -> ForwardAnswer:
        """Run a message at the endpoint's owner, here or over a peer connection."""
        owner = self.ownership.owner_of(endpoint)
        if owner is None:
            raise RequestError(
                code=ErrorCode.NO_ENDPOINT, step=Step.ROUTE, peer=endpoint
            )
        return await self.send_to(owner, message, run_here, is_idempotent=is_idempotent)

    async def send_to(
        self,
        owner: VmId,
        message: Forward | TransactionStep,
        run_here: Callable[[], Awaitable[ForwardAnswer]],
        *,
        is_idempotent: bool = False,
    ) -> ForwardAnswer:
        """Run a message at a given VM, here or over a peer connection."""
        if owner == self.vm:
            return await run_here()
        try:
            return await self.hop_sender.send(
                owner, message, is_idempotent=is_idempotent
            )
        except EbonyladderError as error:
            if error.code in PEER_FAILURES:
                self.membership.suspect(owner)
                self.ownership.invalidate()
            elif error.code is ErrorCode.DRAINING:
                self.membership.record_draining(owner)
                self.ownership.invalidate()
            raise

    def _may_retry(
        self,
        routed: RoutedStatement,
        error: EbonyladderError,
        attempt: int,
        backoff_s: float,
    ) -> bool:
        remaining_s = self._remaining_s(routed.deadline_s)
        if remaining_s <= backoff_s:
            return False
        if _is_reroutable(error):
            return True
        if attempt >= MAX_ATTEMPTS:
            return False
        is_read = routed.statement.kind is RequestKind.READ
        decision = self.retry_budget.decide(
            error,
            organisation=routed.organisation,
            idempotent=routed.idempotent or is_read,
            remaining_s=remaining_s,
        )
        return decision is RetryDecision.RETRY

    def _invalidate_caches(self, group: GroupId, error: EbonyladderError) -> None:
        """Invalidate the cached group state and owners that may have changed."""
        if error.code is not ErrorCode.REPLICA_BEHIND:
            self.directory.invalidate(group)
        if error.code is ErrorCode.NOT_OWNER:
            self.ownership.invalidate()

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self.clock.now_s())


def _is_reroutable(error: EbonyladderError) -> bool:
    return error.outcome is Outcome.NOT_RUN and error.code in REROUTABLE_REFUSALS
