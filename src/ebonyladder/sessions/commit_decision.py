"""Why an acknowledged commit counts as durable or not, for logs and metrics."""

from enum import Enum

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.cluster_view import GroupPhase
from ebonyladder.sessions.command import CommandId
from ebonyladder.types import (
    EndpointId,
    EndpointProcess,
    Position,
    ServiceId,
    Term,
)

# Lines a second about commits of one reason; a failover decides many commits at once.
LINES_PER_S = 5


class CommitStatus(Enum):
    """What this VM knows of an acknowledged commit."""

    DURABLE = "durable"
    UNCONFIRMED = "unconfirmed"
    IN_DOUBT = "in-doubt"


class CommitReason(Enum):
    """What decided the status of an acknowledged commit.

    GROUP_CONFIRMED: the group state under which it was sent was confirmed lately.
    ANSWERED_BEFORE_FAILOVER: this VM applied the state of a failover just before the
    answer. FAILOVER_GIVEN_UP: the endpoint leads again in the same term. INHERITED and
    NOT_INHERITED: the next primary's log has it, or may lack it. REPLICA_HOLDS: a
    replica said so. NONE: nothing confirmed it before the deadline.
    """

    GROUP_CONFIRMED = "group-confirmed"
    ANSWERED_BEFORE_FAILOVER = "answered-before-failover"
    FAILOVER_GIVEN_UP = "failover-given-up"
    INHERITED = "inherited"
    NOT_INHERITED = "not-inherited"
    REPLICA_HOLDS = "replica-holds"
    NONE = "none"


class SentCommit(msgspec.Struct, frozen=True, kw_only=True):
    """Group state under which a commit was sent.

    Attributes
    ----------
    epoch : int
        Epoch of the group; 0 if it has no state.
    sent_at_s : float
        Time at which it was sent, in seconds.
    seen : Position or None
        Last position of the endpoint's log that was seen before.
    is_direct : bool
        Whether this VM itself sent it to the endpoint, and so asks replicas for it. The
        endpoint may get another owner before the answer.
    """

    service: ServiceId
    endpoint: EndpointId
    epoch: int
    term: Term
    sent_at_s: float
    seen: Position | None = None
    is_direct: bool = True


class ReplicaProof(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a replica whose log holds a commit."""

    replica: EndpointProcess
    received: Position
    answered_at_s: float


class CommitDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an acknowledged commit, and what decided it.

    Attributes
    ----------
    epoch, phase : int and GroupPhase or None
        Group state that was used.
    confirmed_ago_s : float
        Age of the last confirmation of the group states at the answer, in seconds;
        below 0 if they were confirmed after it.
    moving_ago_s : float
        Age of the last failover's group state at the answer, in seconds.
    inherited : Position or None
        Last position that the primary has inherited.
    proof : ReplicaProof or None
        Answer of the replica that holds the commit.
    """

    status: CommitStatus
    reason: CommitReason
    epoch: int
    phase: GroupPhase | None
    confirmed_ago_s: float
    moving_ago_s: float
    needs_proof: bool
    inherited: Position | None = None
    proof: ReplicaProof | None = None

    @property
    def is_durable(self) -> bool:
        """Whether the commit is known to be in the log for good."""
        return self.status is CommitStatus.DURABLE


class CommitReporter:
    """Counts decisions, and logs those that no fresh confirmation has made.

    Parameters
    ----------
    metrics : Metrics
        Receives the number of commits by reason.
    clock : Clock
        Clock of the limit of lines and of the ages.
    """

    def __init__(self, *, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock
        self.second = 0
        self.lines: dict[CommitReason, int] = {}
        self.suppressed: dict[CommitReason, int] = {}

    def report(
        self,
        request: CommandId,
        sent: SentCommit,
        position: Position | None,
        decision: CommitDecision,
    ) -> None:
        """Count a decision; log it unless it is routine or there are too many."""
        reason = decision.reason
        self.metrics.count(
            "commit_decisions", status=decision.status.value, reason=reason.value
        )
        if reason is CommitReason.GROUP_CONFIRMED:
            return
        if decision.is_durable and not self._may_log(reason):
            self.suppressed[reason] = self.suppressed.get(reason, 0) + 1
            return
        now_s = self.clock.now_s()
        proof = decision.proof
        logging.info(
            "[executor] Acknowledged commit is %s. request=%s service=%s endpoint=%s "
            "position=%s reason=%s sent_epoch=%d epoch=%d phase=%s "
            "confirmed_ago_s=%.3f moving_ago_s=%.3f took_s=%.3f needs_proof=%s "
            "inherited=%s replica=%s replica_received=%s replica_answered_ago_s=%s "
            "suppressed=%d",
            "durable" if decision.is_durable else "in doubt",
            request,
            sent.service,
            sent.endpoint,
            position or "-",
            reason.value,
            sent.epoch,
            decision.epoch,
            decision.phase.value if decision.phase else "-",
            decision.confirmed_ago_s,
            decision.moving_ago_s,
            now_s - sent.sent_at_s,
            decision.needs_proof,
            decision.inherited or "-",
            proof.replica if proof else "-",
            proof.received if proof else "-",
            f"{now_s - proof.answered_at_s:.3f}" if proof else "-",
            self.suppressed.pop(reason, 0),
        )

    def _may_log(self, reason: CommitReason) -> bool:
        second = int(self.clock.now_s())
        if second != self.second:
            self.second = second
            self.lines.clear()
        self.lines[reason] = self.lines.get(reason, 0) + 1
        return self.lines[reason] <= LINES_PER_S
