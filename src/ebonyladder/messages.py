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
    """Base class of all messages; the receiver ignores fields that it does not know."""


class Hello(Message, tag="hello"):
    """First message on a peer connection, sent by the VM that opened it."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    address: Address
    nonce: bytes


class Welcome(Message, tag="welcome"):
    """Answer to Hello; ``proof`` covers the nonce of the Hello."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    nonce: bytes
    proof: bytes


class Proof(Message, tag="proof"):
    """Answer to Welcome; ``proof`` covers the nonce of the Welcome."""

    proof: bytes


class Failure(Message, tag="failure"):
    """Error answer to the call with the same number."""

    code: str
    outcome: str
    step: str
    peer: str
    message: str
    retry_after_s: float | None = None


class Forward(Message, tag="forward"):
    """Request to run one statement at an endpoint that the receiver owns.

    Attributes
    ----------
    hop : HopId
        Identity of this delivery; a retransmission is not run again.
    remaining_s : float
        Seconds for which the sender still waits.
    required_position : Position, optional
        Latest position of the group that the session has seen.
    max_age_s : float, optional
        Maximum age of the data of a read, in seconds.
    key_digest : str
        Digest of the caller's key, which is checked again before execution.
    replica_wait_s : float, optional
        Seconds for which a read may wait for a replica; the policy's value if
        absent.
    """

    hop: HopId
    organisation: OrganisationId
    service: ServiceId
    group: GroupId
    endpoint: EndpointId
    statement: Statement
    remaining_s: float = msgspec.field(name="deadline_left_s")
    required_position: Position | None = msgspec.field(name="required", default=None)
    max_age_s: float | None = None
    key_digest: str = ""
    attempt: int = 1
    request_id: str = ""
    replica_wait_s: float | None = None


class ForwardAnswer(Message, tag="forward-answer"):
    """Complete answer to Forward or TransactionStep."""

    rows: list
    at: Position
    endpoint: EndpointId
    role: Role
    lag_s: float = 0.0


class TransactionAction(Enum):
    """Kind of a step of an interactive transaction."""

    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class TransactionStep(Message, tag="transaction-step"):
    """Request to run one step of an interactive transaction, to the primary's owner."""

    hop: HopId
    organisation: OrganisationId
    group: GroupId
    endpoint: EndpointId
    transaction: TransactionId
    action: TransactionAction
    remaining_s: float = msgspec.field(name="deadline_left_s")
    statement: Statement | None = None
    required_position: Position | None = msgspec.field(name="required", default=None)
    key_digest: str = ""
    request_id: str = ""


class SubtreeReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Which VMs of a subtree of the relay tree have applied a version.

    Attributes
    ----------
    count : int
        Number of VMs of the subtree, the sender included, with the sender's version.
    checksum : int
        Sum of a hash of their names, modulo 2**32.
    behind : list of VmId
        Some of the VMs of the subtree that have an older version.
    """

    count: int
    checksum: int
    behind: list[VmId] = []


class Sync(Message, tag="sync"):
    """Long poll for a configuration later than ``version``.

    Attributes
    ----------
    wait_s : float
        Maximum time, in seconds, until the receiver answers.
    confirmation_step_s : float
        The receiver answers earlier once its confirmation that the version is
        current is newer by this, in seconds.
    subtree : SubtreeReport, optional
        Sent to the first parent only, so that no VM is counted twice.
    """

    version: ConfigurationVersion
    wait_s: float
    confirmation_step_s: float = msgspec.field(name="step_s", default=0.25)
    subtree: SubtreeReport | None = None


class SyncAnswer(Message, tag="sync-answer"):
    """Configuration, or its unchanged version, with the age of the confirmation.

    Attributes
    ----------
    age_s : float, optional
        Seconds from the sender's latest confirmation that the version is current
        to the arrival of the request; negative for a later confirmation, absent
        without one.
    text : str, optional
        Full configuration text, if the requester's version is unknown.
    changes : bytes, optional
        Delta from the requester's version.
    outage_age_s : float, optional
        As ``age_s``, for the confirmation that most relay roots cannot reach the
        store.
    is_store_unreachable : bool
        True if the sender's last call to the store failed.
    roots : list of VmId
        Relay roots that the sender uses; sent with a full text.
    """

    version: ConfigurationVersion
    age_s: float | None = None
    text: str | None = None
    changes: bytes | None = None
    outage_age_s: float | None = msgspec.field(name="outage_s", default=None)
    is_store_unreachable: bool = msgspec.field(name="is_store_lost", default=False)
    roots: list[VmId] = []


class ConfirmationRequest(Message, tag="confirmation-request"):
    """Request to a relay root: which VMs of its subtree have applied a version."""

    version: ConfigurationVersion


class ConfirmationAnswer(Message, tag="confirmation"):
    """VMs of a relay root's subtree with the version, and some without it."""

    subtree: SubtreeReport


class GrantRequest(Message, tag="grant-request"):
    """Request for tokens of an organisation, to a holder of a rate-limit lease.

    Attributes
    ----------
    requested : float
        Number of tokens.
    reserve_only : bool
        True if only tokens of the receiver's own reserve leases are requested.
    collect_reserves : bool
        True if the receiver collects from the holders of reserve leases even if
        it knows of another holder of the main lease, which the sender cannot
        reach.
    wait_s : float
        Longest remaining wait of a request at the sender, in seconds. The receiver
        keeps the sender's position in its queue for no longer.
    """

    organisation: OrganisationId
    requested: float = msgspec.field(name="wanted")
    reserve_only: bool = msgspec.field(name="reserve", default=False)
    collect_reserves: bool = msgspec.field(name="collect", default=False)
    wait_s: float = 0.0


class Grant(Message, tag="grant"):
    """Tokens granted; may be fewer than requested, or a fraction.

    Attributes
    ----------
    retry_after_s : float
        Seconds until the next token is expected.
    lease_holder : VmId, optional
        Holder of the requested lease, as far as the sender knows.
    ttl_s : float, optional
        Seconds from the sending of the request to the expiry of the grant, if
        that is sooner than usual.
    reserves : int
        Number of reserve leases of the organisation that the sender holds.
    """

    granted: float
    retry_after_s: float = 0.0
    lease_holder: VmId | None = msgspec.field(name="holder", default=None)
    ttl_s: float | None = msgspec.field(name="valid_s", default=None)
    reserves: int = 0


class MinuteCounts(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, omit_defaults=True
):
    """Results that callers of one service got in one minute.

    Attributes
    ----------
    minute : int
        Minutes since the Unix epoch.
    """

    service: ServiceId
    minute: int
    served: int = 0
    failed: int = 0
    refused: int = 0


class MinuteMask(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Set of minutes of one hour for one service, as a bit mask."""

    service: ServiceId
    hour: int
    minutes: int


class Observations(Message, tag="observations"):
    """Result counts of one observer, for the aggregators of the public status.

    Attributes
    ----------
    vm, incarnation : VmId, Incarnation
        Observer; differs from the sender in a handover.
    counts : list of MinuteCounts
        Minutes that the receiver has not acknowledged yet.
    pending : list of MinuteMask
        Minutes for which the sender asks whether they are written.
    written : list of MinuteMask
        Minutes that are in the store; the receiver can remove them.
    """

    vm: VmId
    incarnation: Incarnation
    counts: list[MinuteCounts] = []
    pending: list[MinuteMask] = []
    written: list[MinuteMask] = []


class ObservationsAck(Message, tag="observations-ack"):
    """Acknowledgement of observations, with the minutes that are written.

    Attributes
    ----------
    incarnation : Incarnation
        Incarnation of the aggregator; the buffer of an earlier one is lost.
    written : list of MinuteMask
        Those of the pending minutes that are in the store.
    """

    incarnation: Incarnation = Incarnation(0)
    written: list[MinuteMask] = []


class StatusRequest(Message, tag="status-request"):
    """Request for the snapshot of the public status."""


class StatusAnswer(Message, tag="status-answer"):
    """Snapshot of the public status, compressed."""

    snapshot: bytes


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Membership record of one VM; encoded as an array, which is compact.

    Attributes
    ----------
    last_contact_ago_s : float
        Seconds since the last contact of any VM with this one, as far as the
        sender knows.
    is_unresponsive : bool
        True if the VM has not answered the VMs that ping it.
    """

    vm: VmId
    zone: ZoneId
    address: Address
    incarnation: Incarnation
    state: VmState
    last_contact_ago_s: float = msgspec.field(name="heard_ago_s")
    is_unresponsive: bool = msgspec.field(name="is_silent", default=False)


class Ping(Message, tag="ping"):
    """Liveness check of a peer, with some of the sender's membership records.

    Attributes
    ----------
    is_full_sync : bool
        True to request all records, as a VM does that has just started.
    """

    sender: PeerRecord
    records: list[PeerRecord]
    is_full_sync: bool = msgspec.field(name="is_whole", default=False)


class Pong(Message, tag="pong"):
    """Answer to Ping, with membership records for the sender of the Ping."""

    sender: PeerRecord
    records: list[PeerRecord]


class GroupStateRequest(Message, tag="group-state-request"):
    """Request for a group's state, to a VM that monitors the group."""

    group: GroupId
    wait_s: float = 0.0


class EndpointSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of the state of one endpoint.

    Attributes
    ----------
    lag_s : float
        Estimated seconds until the endpoint has applied all committed entries.
    """

    endpoint: EndpointId
    role: Role | None
    reachable: bool
    lag_s: float


class GroupStateAnswer(Message, tag="group-state"):
    """State of a group; ``primary`` is None while the group has no known primary."""

    group: GroupId
    term: Term
    primary: EndpointId | None
    endpoints: list[EndpointSummary]


class HoldWrites(Message, tag="hold-writes"):
    """Request to hold writes of a group during a switchover.

    Attributes
    ----------
    timeout_s : float
        Time for writes and transactions in flight to end, in seconds; 0 requests
        that writes are admitted again.
    """

    group: GroupId
    timeout_s: float = msgspec.field(name="limit_s")


class WritesHeld(Message, tag="writes-held"):
    """Answer to HoldWrites: whether all writes and transactions in flight ended."""

    ended: bool


class LeaseTokens(msgspec.Struct, frozen=True, kw_only=True):
    """Rate-limit lease that a VM holds, with its tokens.

    Attributes
    ----------
    lease : str
        Key of the lease in the store.
    remaining_s : float
        Seconds until the lease expires unless it is renewed.
    tokens : dict of OrganisationId to float
        Tokens that can be granted now.
    """

    lease: str
    remaining_s: float = msgspec.field(name="left_s")
    tokens: dict[OrganisationId, float]


class LocalRequest(Message, tag="local-request"):
    """Request for the resources in use on a VM, or for its trace of one request."""

    request_id: str = ""


class LocalReport(Message, tag="local-report"):
    """Resources in use on a VM, or its trace of one request.

    Attributes
    ----------
    transactions, sockets : dict of OrganisationId to int
        Open transactions that it owns and open WebSockets of its callers.
    leases : list of LeaseTokens
        Rate-limit leases with tokens of at least one organisation.
    used_slots : dict of GroupId to float
        Slots in use or waited for at the endpoints that it owns.
    entries : list of TraceEntry
        Trace of the requested request id.
    """

    transactions: dict[OrganisationId, int] = {}
    sockets: dict[OrganisationId, int] = {}
    leases: list[LeaseTokens] = []
    used_slots: dict[GroupId, float] = {}
    entries: list[TraceEntry] = []


class Done(Message, tag="done"):
    """Acknowledgement without content."""
