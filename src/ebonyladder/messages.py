"""Messages between VMs; ``_codec`` turns them into frames."""

from enum import Enum

import msgspec

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


class Message(msgspec.Struct, frozen=True, kw_only=True):
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


class Sync(Message, tag="sync"):
    """Ask for the configuration above ``version``; the answer may wait."""

    version: ConfigurationVersion
    wait_s: float


class SyncAnswer(Message, tag="sync-answer"):
    """Configuration, or its unchanged version, with the age of the evidence.

    Attributes
    ----------
    text : str, optional
        Whole configuration text where the asker's version is unknown.
    changes : bytes, optional
        Changes since the asker's version.
    age_s : float
        Seconds since the sender's evidence that the version was current.
    outage_s : float, optional
        Seconds since the sender's evidence that most relay roots cannot
        reach the store; absent if there is none.
    """

    version: ConfigurationVersion
    age_s: float
    text: str | None = None
    changes: bytes | None = None
    outage_s: float | None = None


class GrantRequest(Message, tag="grant-request"):
    """Ask a limit holder for tokens of an organisation."""

    organisation: OrganisationId
    wanted: float
    reserve: bool = False


class Grant(Message, tag="grant"):
    """Tokens granted; may be fewer than wanted, or a fraction."""

    granted: float
    retry_after_s: float = 0.0


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


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM knows of another one.

    Attributes
    ----------
    heard_ago_s : float
        Seconds since somebody heard from the VM, as far as the sender knows.
    """

    vm: VmId
    zone: ZoneId
    address: Address
    incarnation: Incarnation
    state: VmState
    heard_ago_s: float


class Ping(Message, tag="ping"):
    """Check of a peer; carries some of the sender's records."""

    sender: PeerRecord
    records: list[PeerRecord]


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


class Done(Message, tag="done"):
    """Plain confirmation."""
