"""Route a caller's statement to an endpoint and its owner, with retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from itertools import count
from typing import TypeVar

from ebonyladder.choice import EndpointChoice, RoutedStatement, Tried
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.directory import GroupDirectory
from ebonyladder.execution import StatementExecutor
from ebonyladder.hop import HopSender
from ebonyladder.journal import RequestJournal
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
from ebonyladder.peer import PeerLinks
from ebonyladder.ramp import ServiceChanges
from ebonyladder.replica_share import ReplicaShare
from ebonyladder.retry import RetryBudget, RetryDecision
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
REROUTE_PAUSE_S = 0.02
# VMs learn of a change within 2 s of each other, so a refused request tries
# again at this interval until its deadline.
REROUTE_PAUSE_LIMIT_S = 0.25

# Refusals by which nothing was queued anywhere; another attempt adds no load.
REROUTED = frozenset(
    {
        ErrorCode.NO_PRIMARY,
        ErrorCode.NOT_OWNER,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.PEER_REPLACED,
        ErrorCode.DRAINING,
        ErrorCode.REPLICA_BEHIND,
        ErrorCode.NO_ENDPOINT,
        # A primary that has died refuses connections until the promotion.
        ErrorCode.CONNECT_FAILED,
    }
)
LINK_FAILURES = frozenset(
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
    peers : PeerLinks
        Links to other owners.
    membership, configuration : Membership, ConfigurationSource
        Views of VMs and of the configuration.
    clock : Clock
        Clock for deadlines.
    source : random.Random
        Source for the choice among equal replicas.
    journal : RequestJournal, optional
        Journal of requests, for operators.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        zone: ZoneId,
        executor: StatementExecutor,
        peers: PeerLinks,
        membership: Membership,
        configuration: ConfigurationSource,
        clock: Clock,
        source: random.Random,
        journal: RequestJournal | None = None,
    ) -> None:
        self.vm = vm
        self.executor = executor
        self.peers = peers
        self.membership = membership
        self.configuration = configuration
        self.clock = clock
        self.source = source
        self.journal = journal
        self.ownership = Ownership(
            vm=vm, membership=membership, configuration=configuration, clock=clock
        )
        self.choice = EndpointChoice(
            zone=zone,
            configuration=configuration,
            changes=ServiceChanges(configuration=configuration, clock=clock),
            source=source,
        )
        self.directory = GroupDirectory(
            executor=executor,
            peers=peers,
            membership=membership,
            ownership=self.ownership,
            clock=clock,
        )
        self.hops = HopSender(peers=peers, membership=membership, clock=clock)
        self.replicas = ReplicaShare()
        self.retries = RetryBudget(clock=clock)

    async def run(self, routed: RoutedStatement) -> ForwardAnswer:
        """Run one statement, on another endpoint where the first refuses it.

        Raises
        ------
        EbonyladderError
            The last attempt's error.
        """
        self.retries.note_request(routed.organisation)
        tried = Tried()
        for attempt in count(1):
            try:
                answer = await self._attempt(routed, tried, attempt)
                if routed.statement.kind is RequestKind.READ and routed.required:
                    self.replicas.note(is_replica=answer.role is Role.REPLICA)
                return answer
            except EbonyladderError as error:
                self._note_failure(routed.group, error)
                self._note_attempt(routed, attempt, error=error)
                pause_s = self._pause_s(attempt)
                if not self._may_retry(routed, error, attempt, pause_s):
                    raise
                if error.code is ErrorCode.REPLICA_BEHIND:
                    tried.is_replica_behind = True
                    continue
                await asyncio.sleep(pause_s)
        raise AssertionError("the last attempt returns or raises")

    def _note_attempt(
        self,
        routed: RoutedStatement,
        attempt: int,
        endpoint: EndpointId | str = "",
        error: EbonyladderError | None = None,
    ) -> None:
        if self.journal is None:
            return
        owner = self.ownership.owner_of(EndpointId(endpoint)) if endpoint else None
        self.journal.note(
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
        """Repeat an attempt that is refused not-run because its place is wrong."""
        for number in count(1):
            try:
                return await attempt()
            except EbonyladderError as error:
                self._note_failure(group, error)
                pause_s = self._pause_s(number)
                is_late = self._left_s(deadline_s) <= pause_s
                if is_late or not _is_rerouted(error):
                    raise
                await asyncio.sleep(pause_s)
        raise AssertionError("the last attempt returns or raises")

    def _pause_s(self, attempt: int) -> float:
        doubled_s = REROUTE_PAUSE_S * 2.0 ** min(attempt - 1, MAX_ATTEMPTS)
        limit_s = min(doubled_s, REROUTE_PAUSE_LIMIT_S)
        return limit_s * self.source.uniform(0.5, 1.0)

    async def _attempt(
        self, routed: RoutedStatement, tried: Tried, attempt: int
    ) -> ForwardAnswer:
        state = await self.directory.state_of(routed.group, routed.deadline_s)
        endpoint = self.choice.choose(routed, state, tried)
        tried.endpoints.add(endpoint)
        self._note_attempt(routed, attempt, endpoint)
        forward = Forward(
            hop=self.peers.next_hop(),
            organisation=routed.organisation,
            service=routed.service,
            group=routed.group,
            endpoint=endpoint,
            statement=routed.statement,
            deadline_left_s=self._left_s(routed.deadline_s),
            required=routed.required,
            max_age_s=routed.max_age_s,
            key_digest=routed.key_digest,
            attempt=attempt,
            request_id=routed.request_id,
            replica_wait_s=self.replicas.wait_s(
                self.configuration.current.policy.replica_wait_ms / 1000
            ),
        )
        is_read = routed.statement.kind is RequestKind.READ
        return await self.send(
            endpoint,
            forward,
            lambda: self.executor.run(forward),
            is_repeatable=is_read or routed.idempotent,
        )

    async def send(
        self,
        endpoint: EndpointId,
        message: Forward | TransactionStep,
        run_here: Callable[[], Awaitable[ForwardAnswer]],
        *,
        is_repeatable: bool = False,
    ) -> ForwardAnswer:
        """Run a message at the endpoint's owner, here or over a peer link."""
        owner = self.ownership.owner_of(endpoint)
        if owner is None:
            raise RequestError(
                code=ErrorCode.NO_ENDPOINT, step=Step.ROUTE, peer=endpoint
            )
        return await self.send_to(owner, message, run_here, is_repeatable=is_repeatable)

    async def send_to(
        self,
        owner: VmId,
        message: Forward | TransactionStep,
        run_here: Callable[[], Awaitable[ForwardAnswer]],
        *,
        is_repeatable: bool = False,
    ) -> ForwardAnswer:
        """Run a message at a given VM, here or over a peer link."""
        if owner == self.vm:
            return await run_here()
        try:
            return await self.hops.send(owner, message, is_repeatable=is_repeatable)
        except EbonyladderError as error:
            if error.code in LINK_FAILURES:
                self.membership.suspect(owner)
                self.ownership.invalidate()
            elif error.code is ErrorCode.DRAINING:
                self.membership.note_draining(owner)
                self.ownership.invalidate()
            raise

    def _may_retry(
        self,
        routed: RoutedStatement,
        error: EbonyladderError,
        attempt: int,
        pause_s: float,
    ) -> bool:
        left_s = self._left_s(routed.deadline_s)
        if left_s <= pause_s:
            return False
        if _is_rerouted(error):
            return True
        if attempt >= MAX_ATTEMPTS:
            return False
        is_read = routed.statement.kind is RequestKind.READ
        decision = self.retries.decide(
            error,
            organisation=routed.organisation,
            idempotent=routed.idempotent or is_read,
            deadline_left_s=left_s,
        )
        return decision is RetryDecision.RETRY

    def _note_failure(self, group: GroupId, error: EbonyladderError) -> None:
        """Look up the group's state again where it may have changed."""
        if error.code is not ErrorCode.REPLICA_BEHIND:
            self.directory.forget(group)
        if error.code is ErrorCode.NOT_OWNER:
            self.ownership.invalidate()

    def _left_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self.clock.now_s())


def _is_rerouted(error: EbonyladderError) -> bool:
    return error.outcome is Outcome.NOT_RUN and error.code in REROUTED
