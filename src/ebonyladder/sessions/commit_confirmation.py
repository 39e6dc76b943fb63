"""Whether a commit that an endpoint has acknowledged is in the service's log for good.

A primary that has been replaced goes on for a while. If a replica joins it that the
failover didn't know, it acknowledges commits that the next primary lacks.
"""

import asyncio

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import (
    AcknowledgedRange,
    ClusterView,
    EndpointEntry,
    GroupPhase,
    GroupState,
)
from ebonyladder.sessions.commit_decision import (
    CommitDecision,
    CommitReason,
    CommitStatus,
    ReplicaProof,
    SentCommit,
)
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.types import EndpointProcess, LogPosition, Position, Term

# A commit is confirmed by group states that were confirmed within this time before its
# answer, in seconds: the interval of a large fleet's reports, and a round trip. A
# replica that joins a primary in a partitioned zone acknowledges commits that no other
# database has, so older group states don't suffice.
CONFIRMATION_TTL_S = 1.0
# An answer is from before a promotion for this long after this VM applied the group
# state of the failover, in seconds: the platform takes some hundred milliseconds to
# promote an endpoint.
ANSWER_GRACE_S = 0.25
# A commit that took this long may have waited for a replica, in seconds, and so may
# have been acknowledged by one that has just joined.
STALL_S = 0.4
# So may the first commit after a pause of this length, in seconds: another VM's commits
# may have waited meanwhile.
IDLE_S = 1.0
POLL_INTERVAL_S = 0.05
# Longest wait for the answers of replicas before the group states are looked at again,
# in seconds: two round trips between regions, and the wait for a slot.
PROOF_WAIT_S = 0.2


class CommitFlow(msgspec.Struct, kw_only=True):
    """Commits of this VM at one primary.

    Attributes
    ----------
    needs_proof : bool
        Whether it isn't known that a listed replica receives them.
    """

    last_answered_at_s: float = float("-inf")
    needs_proof: bool = True


class CommitConfirmation:
    """Decides from group states whether acknowledged commits are durable.

    Answers the load of a failover: commits that wait at the former primary for a
    replica while another endpoint is promoted.

    Parameters
    ----------
    cluster : ClusterView
        Groups, and the time at which they were confirmed last.
    replica_check : ReplicaCheck
        Asks replicas for commits that the group states don't confirm.
    clock : Clock
        Clock of these times.
    """

    def __init__(
        self, *, cluster: ClusterView, replica_check: ReplicaCheck, clock: Clock
    ) -> None:
        self.cluster = cluster
        self.replica_check = replica_check
        self.clock = clock
        self.flows: dict[EndpointProcess, CommitFlow] = {}
        self.cluster_changed = asyncio.Event()
        cluster.listeners.append(self.cluster_changed.set)

    def sent(self, entry: EndpointEntry, *, is_direct: bool = True) -> SentCommit:
        """Return the present group state for a commit that is sent now.

        Parameters
        ----------
        is_direct : bool
            Whether this VM itself sends it to the endpoint.
        """
        group = self.cluster.groups.get(entry.service)
        return SentCommit(
            service=entry.service,
            endpoint=entry.id,
            epoch=group.epoch if group else 0,
            term=group.term if group else Term(0),
            sent_at_s=self.clock.now_s(),
            seen=self.cluster.seen.get(entry.process),
            is_direct=is_direct,
        )

    async def wait(
        self, sent: SentCommit, position: Position | None, deadline_s: float
    ) -> CommitDecision:
        """Wait until a commit answered now is durable or in doubt, or to the deadline.

        Parameters
        ----------
        position : Position or None
            Position of the endpoint's log in its answer, at or after the commit.
        deadline_s : float
            Deadline on the clock, in seconds.
        """
        answered_at_s = self.clock.now_s()
        flow = self._record_answer(sent, answered_at_s)
        while True:
            self.cluster_changed.clear()
            decision = self.decide(
                sent, position, answered_at_s, needs_proof=flow.needs_proof
            )
            remaining_s = deadline_s - self.clock.now_s()
            if decision.status is CommitStatus.UNCONFIRMED and remaining_s > 0:
                wait_s = min(remaining_s, PROOF_WAIT_S)
                proof = await self._find_proof(sent, position, wait_s)
                if proof is not None:
                    flow.needs_proof = False
                    decision = msgspec.structs.replace(
                        decision,
                        status=CommitStatus.DURABLE,
                        reason=CommitReason.REPLICA_HOLDS,
                        proof=proof,
                    )
            if decision.is_durable and position is not None:
                self.cluster.record_acknowledged(
                    sent.service, self._range(sent, position)
                )
            if decision.status is not CommitStatus.UNCONFIRMED or remaining_s <= 0:
                return decision
            try:
                async with asyncio.timeout(min(remaining_s, POLL_INTERVAL_S)):
                    await self.cluster_changed.wait()
            except TimeoutError:
                continue

    @staticmethod
    def _range(sent: SentCommit, position: Position) -> AcknowledgedRange:
        """Return the bounds of a commit that was answered with a position."""
        first = Position(term=position.term, position=LogPosition(1))
        if sent.seen is None or sent.seen.term != position.term:
            return AcknowledgedRange(lower=first, upper=position)
        next_number = LogPosition(sent.seen.position + 1)
        lower = Position(term=position.term, position=next_number)
        return AcknowledgedRange(lower=min(lower, position), upper=position)

    async def prove(
        self, sent: SentCommit, position: Position | None, deadline_s: float
    ) -> bool:
        """Wait until a listed replica is known to hold a commit answered now.

        For the owner of a primary, whose callers are other VMs; these confirm the group
        states themselves.
        """
        flow = self._record_answer(sent, self.clock.now_s())
        while flow.needs_proof and self.clock.now_s() < deadline_s:
            proof = await self._find_proof(sent, position, PROOF_WAIT_S)
            if proof is not None:
                flow.needs_proof = False
            else:
                await asyncio.sleep(POLL_INTERVAL_S)
        return not flow.needs_proof

    async def _find_proof(
        self, sent: SentCommit, position: Position | None, timeout_s: float
    ) -> ReplicaProof | None:
        """Ask replicas for a commit, unless the endpoint's owner does."""
        if not sent.is_direct:
            return None
        return await self.replica_check.find_proof(sent.endpoint, position, timeout_s)

    def _record_answer(self, sent: SentCommit, answered_at_s: float) -> CommitFlow:
        """Return the flow of a commit; it needs proof after a stall or a pause."""
        if not sent.is_direct or not self.replica_check.can_ask(sent.endpoint):
            return CommitFlow(needs_proof=False)
        process = self.cluster.endpoints_when_confirmed[sent.endpoint].process
        flow = self.flows.setdefault(process, CommitFlow())
        if (
            answered_at_s - sent.sent_at_s >= STALL_S
            or sent.sent_at_s - flow.last_answered_at_s >= IDLE_S
        ):
            flow.needs_proof = True
        flow.last_answered_at_s = answered_at_s
        return flow

    def decide(
        self,
        sent: SentCommit,
        position: Position | None,
        answered_at_s: float,
        *,
        needs_proof: bool = False,
    ) -> CommitDecision:
        """Return the status of a commit whose answer arrived at ``answered_at_s``.

        With ``needs_proof`` group states don't suffice.
        """
        group = self.cluster.groups.get(sent.service)
        confirmed_ago_s = answered_at_s - self.cluster.groups_confirmed_at_s
        moving_since_s = self.cluster.moving_since_s.get(sent.service, float("-inf"))
        moving_ago_s = answered_at_s - moving_since_s
        confirmed_before_s = self.cluster.confirmed_before_moving_s.get(
            sent.service, float("-inf")
        )
        status, reason = CommitStatus.UNCONFIRMED, CommitReason.NONE
        if group is None or group.epoch == sent.epoch:
            if confirmed_ago_s < CONFIRMATION_TTL_S and not needs_proof:
                status, reason = CommitStatus.DURABLE, CommitReason.GROUP_CONFIRMED
        elif (
            moving_ago_s < ANSWER_GRACE_S
            and answered_at_s - confirmed_before_s < CONFIRMATION_TTL_S + ANSWER_GRACE_S
            and not needs_proof
        ):
            status = CommitStatus.DURABLE
            reason = CommitReason.ANSWERED_BEFORE_FAILOVER
        elif group.phase is not GroupPhase.MOVING:
            status, reason = self._decide_after_failover(
                sent, group, position, needs_proof=needs_proof
            )
        return CommitDecision(
            status=status,
            reason=reason,
            epoch=group.epoch if group else 0,
            phase=group.phase if group else None,
            confirmed_ago_s=confirmed_ago_s,
            moving_ago_s=moving_ago_s,
            needs_proof=needs_proof,
            inherited=group.inherited if group else None,
        )

    @staticmethod
    def _decide_after_failover(
        sent: SentCommit,
        group: GroupState,
        position: Position | None,
        *,
        needs_proof: bool,
    ) -> tuple[CommitStatus, CommitReason]:
        if (group.primary, group.term) == (sent.endpoint, sent.term):
            if needs_proof:
                return CommitStatus.UNCONFIRMED, CommitReason.NONE
            return CommitStatus.DURABLE, CommitReason.FAILOVER_GIVEN_UP
        if (
            position is not None
            and group.inherited is not None
            and position.term == group.inherited.term
            and position <= group.inherited
        ):
            return CommitStatus.DURABLE, CommitReason.INHERITED
        return CommitStatus.IN_DOUBT, CommitReason.NOT_INHERITED
