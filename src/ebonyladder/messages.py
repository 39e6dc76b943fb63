"""Messages between VMs; ``_codec`` turns them into frames."""

from enum import Enum

import msgspec

from ebonyladder.request_trace import TraceEntry
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    GroupId,
    HopId,
    Incarnation,
    OrganisationId,
    Position,
    Role,
    ServiceId,
    Statement,
    Term,
    TransactionId,
    VmId,
    VmState,
    ZoneId,
)


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base class of all messages; fields unknown to the reader are ignored."""


class Hello(Message, tag="hello"):
    """First message of a link, sent by the VM that opened it."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    address: Address
    nonce: bytes


class Welcome(Message, tag="welcome"):
    """Answer to Hello; ``proof`` covers the opener's nonce."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    nonce: bytes
    proof: bytes


class Proof(Message, tag="proof"):
    """Opener's proof over the accepting side's nonce."""

    proof: bytes


class Failure(Message, tag="failure"):
    """Failure of the call that carries the same number."""

    code: str
    outcome: str
    step: str
    peer: str
    message: str
    retry_after_s: float | None = None


class Forward(Message, tag="forward"):
    """Run one statement at an endpoint that the receiver owns.

    Attributes
    ----------
    hop : HopId
        Identity of this delivery; a repeated one is not run again.
    deadline_left_s : float
        Seconds that the sender still waits.
    required : Position, optional
        Position that the session has seen in the group.
    max_age_s : float, optional
        Greatest accepted age of the data of a read, in seconds.
    key_digest : str
        Digest of the caller's key, for the check before execution.
    replica_wait_s : float, optional
        Seconds that a read may wait for a replica; the policy's if absent.
    """

    hop: HopId
    organisation: OrganisationId
    service: ServiceId
    group: GroupId
    endpoint: EndpointId
    statement: Statement
    deadline_left_s: float
    required: Position | None = None
    max_age_s: float | None = None
    key_digest: str = ""
    attempt: int = 1
    request_id: str = ""
    replica_wait_s: float | None = None


class ForwardAnswer(Message, tag="forward-answer"):
    """Whole answer to Forward or to a step of a transaction."""

    rows: list
    at: Position
    endpoint: EndpointId
    role: Role
    lag_s: float = 0.0


class TransactionAction(Enum):
    """Step of an interactive transaction."""

    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class TransactionStep(Message, tag="transaction-step"):
    """One step of an interactive transaction at its primary's owner."""

    hop: HopId
    organisation: OrganisationId
    group: GroupId
    endpoint: EndpointId
    transaction: TransactionId
    action: TransactionAction
    deadline_left_s: float
    statement: Statement | None = None
    required: Position | None = None
    key_digest: str = ""
    request_id: str = ""


class SubtreeReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a VM's subtree of the relay tree has in force.

    Attributes
    ----------
    count : int
        VMs of the subtree, the sender included, that have the sender's version.
    checksum : int
        Sum of a hash of their names, modulo 2**32.
    behind : list of VmId
        Some of the VMs of the subtree that have an older version.
    """

    count: int
    checksum: int
    behind: list[VmId] = []


class Sync(Message, tag="sync"):
    """Ask for the configuration above ``version``; the answer may wait.

    Attributes
    ----------
    subtree : SubtreeReport, optional
        Sent to the first parent only, so that no VM is counted twice.
    step_s : float
        Answer early once the receiver's evidence is newer by this.
    """

    version: ConfigurationVersion
    wait_s: float
    step_s: float = 0.25
    subtree: SubtreeReport | None = None


class SyncAnswer(Message, tag="sync-answer"):
    """Configuration, or its unchanged version, with the age of the evidence.

    Attributes
    ----------
    text : str, optional
        Whole configuration text where the asker's version is unknown.
    changes : bytes, optional
        Changes since the asker's version.
    age_s : float, optional
        Seconds from the sender's evidence that the version was current to the
        arrival of the question; negative for newer evidence, absent without.
    outage_s : float, optional
        The same for the evidence that most relay roots cannot reach the store.
    is_store_lost : bool
        The sender's last call on the store failed.
    roots : list of VmId
        Relay roots as the sender knows them; sent along with a whole text.
    """

    version: ConfigurationVersion
    age_s: float | None = None
    text: str | None = None
    changes: bytes | None = None
    outage_s: float | None = None
    is_store_lost: bool = False
    roots: list[VmId] = []


class ConfirmationRequest(Message, tag="confirmation-request"):
    """Ask a relay root how much of its subtree has a version in force."""

    version: ConfigurationVersion


class ConfirmationAnswer(Message, tag="confirmation"):
    """VMs of a root's subtree that have the version, and some that do not."""

    subtree: SubtreeReport


class GrantRequest(Message, tag="grant-request"):
    """Ask a limit holder for tokens of an organisation.

    Attributes
    ----------
    reserve : bool
        Only tokens of the receiver's own reserve leases are asked for.
    collect : bool
        The receiver collects from the reserve holders even if it knows of
        another holder of the main lease, which the sender cannot reach.
    wait_s : float
        Longest time that a request still waits on the sender. The receiver
        keeps the sender's place in the order for no longer.
    """

    organisation: OrganisationId
    wanted: float
    reserve: bool = False
    collect: bool = False
    wait_s: float = 0.0


class Grant(Message, tag="grant"):
    """Tokens granted; may be fewer than wanted, or a fraction.

    Attributes
    ----------
    retry_after_s : float
        Seconds after which the next token may be had.
    holder : VmId, optional
        Holder of the lease that was asked for, as far as the sender knows.
    valid_s : float, optional
        Seconds after the request was sent at which the grant is void, where
        that is sooner than usual.
    reserves : int
        Reserve leases of the organisation that the sender holds.
    """

    granted: float
    retry_after_s: float = 0.0
    holder: VmId | None = None
    valid_s: float | None = None
    reserves: int = 0


class MinuteCounts(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, omit_defaults=True
):
    """What callers of one service got in one minute since the epoch."""

    service: ServiceId
    minute: int
    served: int = 0
    failed: int = 0
    refused: int = 0


class MinuteMask(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Minutes of one hour, one bit each, of one service."""

    service: ServiceId
    hour: int
    minutes: int


class Observations(Message, tag="observations"):
    """Counts of what callers got, for the status writer and its backup.

    Attributes
    ----------
    vm, incarnation : VmId, Incarnation
        Observer; differs from the sender where a VM hands over.
    counts : list of MinuteCounts
        Minutes that the receiver does not hold yet.
    pending : list of MinuteMask
        Minutes whose state the sender asks for.
    written : list of MinuteMask
        Minutes that the store has; the receiver can drop them.
    """

    vm: VmId
    incarnation: Incarnation
    counts: list[MinuteCounts] = []
    pending: list[MinuteMask] = []
    written: list[MinuteMask] = []


class ObservationsAck(Message, tag="observations-ack"):
    """Confirm that observations are held and tell which are written.

    Attributes
    ----------
    incarnation : Incarnation
        Incarnation of the holder; what an earlier one held is gone.
    written : list of MinuteMask
        Those of the minutes asked for that the store has.
    """

    incarnation: Incarnation = Incarnation(0)
    written: list[MinuteMask] = []


class StatusRequest(Message, tag="status-request"):
    """Ask for the snapshot of the public status."""


class StatusAnswer(Message, tag="status-answer"):
    """Snapshot of the public status, compressed."""

    snapshot: bytes


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a VM knows of another one; an array on the wire, which is compact.

    Attributes
    ----------
    heard_ago_s : float
        Seconds since somebody heard from the VM, as far as the sender knows.
    is_silent : bool
        The VM has not answered those that ping it.
    """

    vm: VmId
    zone: ZoneId
    address: Address
    incarnation: Incarnation
    state: VmState
    heard_ago_s: float
    is_silent: bool = False


class Ping(Message, tag="ping"):
    """Check of a peer; carries some of the sender's records.

    Attributes
    ----------
    is_whole : bool
        Ask for all records; set by a VM that has just started.
    """

    sender: PeerRecord
    records: list[PeerRecord]
    is_whole: bool = False


class Pong(Message, tag="pong"):
    """Answer to Ping."""

    sender: PeerRecord
    records: list[PeerRecord]


class GroupStateRequest(Message, tag="group-state-request"):
    """Ask a VM that watches a group for the group's state."""

    group: GroupId
    wait_s: float = 0.0


class EndpointSummary(msgspec.Struct, frozen=True, kw_only=True):
    """State of one endpoint in brief.

    Attributes
    ----------
    lag_s : float
        Estimated seconds until the endpoint has applied what is committed.
    """

    endpoint: EndpointId
    role: Role | None
    reachable: bool
    lag_s: float


class GroupStateAnswer(Message, tag="group-state"):
    """State of a group; ``primary`` is None while none is known."""

    group: GroupId
    term: Term
    primary: EndpointId | None
    endpoints: list[EndpointSummary]


class HoldWrites(Message, tag="hold-writes"):
    """Hold back writes of a group during a switchover; answered by WritesHeld.

    Attributes
    ----------
    limit_s : float
        Time for writes and transactions under way to end, in seconds; 0 admits
        writes again.
    """

    group: GroupId
    limit_s: float


class WritesHeld(Message, tag="writes-held"):
    """Tell whether all writes and transactions under way have ended."""

    ended: bool


class LeaseShare(msgspec.Struct, frozen=True, kw_only=True):
    """Limit lease that a VM holds and the tokens in it.

    Attributes
    ----------
    lease : str
        Key of the lease in the store.
    left_s : float
        Seconds until it ends unless it is renewed.
    tokens : dict of OrganisationId to float
        Tokens that can be granted now.
    """

    lease: str
    left_s: float
    tokens: dict[OrganisationId, float]


class LocalRequest(Message, tag="local-request"):
    """Ask a VM what it holds, or for its journal of one request."""

    request_id: str = ""


class LocalReport(Message, tag="local-report"):
    """What a VM holds.

    Attributes
    ----------
    transactions, sockets : dict of OrganisationId to int
        Open transactions that it owns and WebSockets of its callers.
    leases : list of LeaseShare
        Limit leases with tokens of at least one organisation.
    used_slots : dict of GroupId to float
        Slots in use or waited for at the endpoints that it owns.
    entries : list of TraceEntry
        Journal of the request that was asked for.
    """

    transactions: dict[OrganisationId, int] = {}
    sockets: dict[OrganisationId, int] = {}
    leases: list[LeaseShare] = []
    used_slots: dict[GroupId, float] = {}
    entries: list[TraceEntry] = []


class Done(Message, tag="done"):
    """Plain confirmation."""
