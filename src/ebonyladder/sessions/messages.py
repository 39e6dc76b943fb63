"""Messages between VMs, encoded as CBOR."""

import zlib
from typing import TypeVar

import cbor2
import msgspec

from ebonyladder.kernel.error import EndpointError, Outcome, error_code
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import Catalog
from ebonyladder.sessions.cluster_view import (
    AcknowledgedRange,
    EndpointEntry,
    GroupState,
    Owner,
)
from ebonyladder.sessions.command import Answer, Command, CommandKind, Prepared
from ebonyladder.sessions.connection import ReadBound
from ebonyladder.sessions.objects import StoreEra
from ebonyladder.sessions.quota import PermitGrant
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    Position,
    RequestKind,
    ServiceId,
    VmId,
    ZoneId,
)

T = TypeVar("T")

# Largest message before compression, in bytes: a catalog with 10,000 routes takes 2 MB;
# a statement of 1 MiB without ASCII characters takes 4 MiB with its argument, and its
# shape takes another 2 MiB.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Largest message as it is sent, with its first byte.
MAX_ENCODED_BYTES = MAX_MESSAGE_BYTES + 1

# Messages above this size are compressed, in bytes; smaller ones gain little.
COMPRESSION_THRESHOLD_BYTES = 512
# Compression levels of messages that are sent once, and of those that are encoded once
# and sent to many VMs.
FAST_LEVEL, SMALL_LEVEL = 1, 6
# First byte of an encoded message.
PLAIN, COMPRESSED = b"\0", b"\1"


class MessageTooLargeError(ValueError):
    """Message that exceeds the size limit; the receiver would end the connection."""


class StoreListing(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints and closed zones as the store lists them."""

    endpoints: tuple[EndpointEntry, ...]
    closed_zones: tuple[ZoneId, ...]


class Report(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Report of a VM to the leader or a standby.

    Attributes
    ----------
    sent_at_s : float
        Time on the sender's clock, which the answer repeats.
    acknowledged_at_s : float or None
        ``made_at_s`` of the last update that the sender received on this connection.
    version : ConfigurationVersion
        Version of the sender's catalog.
    endpoints_version : int
        Version of the last cluster snapshot that the sender received.
    requests : dict of OrganisationId to int
        Permits that the sender requests.
    shares : dict of OrganisationId to float, or None
        Rate shares of the sender, in its first report on a connection.
    unresponsive : tuple of EndpointId
        Endpoints that don't answer the sender.
    stalled : tuple of EndpointId
        Endpoints that don't answer the sender's commits.
    epochs : dict of ServiceId to int
        Epoch of each group state that the sender has applied.
    catalog : Catalog or None
        The sender's catalog, if the leader's is older and lacks it.
    accepts_changes : bool
        Whether the sender reads ``change_data`` and ``catalog_data`` of updates.
    has_working_watches : bool
        Whether the sender's own watches of the store are working.
    listing : StoreListing or None
        What the sender's watches list, if the leader asked for it.
    acknowledged : dict of ServiceId to AcknowledgedRange or None
        Last commit that was acknowledged to the sender's callers, None for no commit,
        for each service that is changing its primary.
    is_draining : bool
        Whether the sender is stopping, so that it should own no endpoint.
    has_ended : bool
        Whether the sender serves nobody any more: its last report, before its end.
    era : StoreEra or None
        Latest era of the store that the sender knows.
    """

    vm: VmId
    incarnation: Incarnation
    sent_at_s: float = msgspec.field(name="sent_s")
    version: ConfigurationVersion
    acknowledged_at_s: float | None = msgspec.field(default=None, name="heard_s")
    endpoints_version: int = -1
    requests: dict[OrganisationId, int] = msgspec.field(default={}, name="wants")
    shares: dict[OrganisationId, float] | None = None
    unresponsive: tuple[EndpointId, ...] = msgspec.field(default=(), name="silent")
    stalled: tuple[EndpointId, ...] = ()
    epochs: dict[ServiceId, int] = {}
    catalog: Catalog | None = None
    accepts_changes: bool = False
    has_working_watches: bool = False
    listing: StoreListing | None = None
    acknowledged: dict[ServiceId, AcknowledgedRange | None] = {}
    is_draining: bool = False
    has_ended: bool = False
    era: StoreEra | None = None


class ClusterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints, zones, owners and standbys, as the leader sends them to VMs.

    Attributes
    ----------
    version : int
        Grows with each change of the other fields; each leader counts separately.
    fleet : dict of ZoneId to int
        Number of VMs in each zone.
    standbys : dict of VmId to Address
        VMs that grant permits while the leader is unreachable, in the order in which
        other VMs report to them.
    """

    version: int
    endpoints: tuple[EndpointEntry, ...]
    closed_zones: tuple[ZoneId, ...]
    fleet: dict[ZoneId, int]
    owners: dict[EndpointId, Owner]
    standbys: dict[VmId, Address] = msgspec.field(default={}, name="deputies")


class LeaderUpdate(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Update of the leader or a standby for a VM.

    Attributes
    ----------
    is_leader : bool
        Whether the sender had a valid leader lease.
    has_working_watches : bool
        Whether the sender's watches of the store are working.
    made_at_s : float
        Time on the sender's clock at which the update was made.
    version : ConfigurationVersion
        Version of the sender's catalog.
    requested_at_s : float or None
        ``sent_at_s`` of the report that is answered; None if the update is pushed
        without one.
    groups : tuple of GroupState
        Groups of which the VM has an older epoch.
    grants : dict of OrganisationId to PermitGrant
        Permits granted for the VM's requests.
    shares : dict of OrganisationId to float
        Changed rate shares, for the time without a leader.
    is_registered : bool
        Whether the sender has the VM in its list.
    grants_permits : bool
        Whether a sender without a valid leader lease still grants permits. It then
        grants only from the fractions of rates of the VMs that report to it.
    catalog : Catalog or None
        The sender's catalog, for a VM that doesn't accept changes.
    catalog_data : bytes or None
        The sender's encoded catalog, for a VM whose version is unknown.
    change_data : bytes or None
        Encoded ``CatalogChange`` since the VM's version.
    wants_catalog : bool
        Whether the VM should send its catalog, which is newer.
    should_watch : bool
        Whether the VM should watch the store for the leader.
    era : StoreEra or None
        Latest era of the store that the sender knows.
    """

    is_leader: bool
    made_at_s: float = msgspec.field(name="at_s")
    version: ConfigurationVersion
    has_working_watches: bool = msgspec.field(default=True, name="has_store")
    requested_at_s: float | None = msgspec.field(default=None, name="asked_s")
    groups: tuple[GroupState, ...] = ()
    grants: dict[OrganisationId, PermitGrant] = msgspec.field(default={}, name="loans")
    shares: dict[OrganisationId, float] = {}
    is_registered: bool = msgspec.field(default=True, name="is_listed")
    grants_permits: bool = msgspec.field(default=False, name="lends")
    snapshot: ClusterSnapshot | None = msgspec.field(default=None, name="state")
    catalog: Catalog | None = None
    catalog_data: bytes | None = None
    change_data: bytes | None = None
    wants_catalog: bool = False
    should_watch: bool = False
    era: StoreEra | None = None


class ForwardedStatement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Statement for an endpoint that the receiver owns.

    Attributes
    ----------
    remaining_s : float
        Time until the sender's deadline, in seconds.
    values : dict of str to str
        Session variables.
    handle : int
        Id of the transaction that the statement belongs to, unique at the sender; 0
        for none.
    is_begin : bool
        Whether the statement opens that transaction.
    needs_primary : bool
        Whether the endpoint must be the primary that may be used now.
    read_bound : ReadBound or None
        Requirements of a read that a replica may serve.
    """

    id: int
    endpoint: EndpointId
    organisation: OrganisationId
    command: Command
    remaining_s: float = msgspec.field(name="left_s")
    values: dict[str, str] = {}
    handle: int = 0
    is_begin: bool = False
    needs_primary: bool = False
    read_bound: ReadBound | None = msgspec.field(default=None, name="after")
    prepared: Prepared | None = None

    @property
    def is_write(self) -> bool:
        """Whether the statement may change data."""
        is_prepared_write = (
            self.prepared is not None and self.prepared.access is RequestKind.WRITE
        )
        return self.command.kind is CommandKind.WRITE or is_prepared_write


class StatementFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Error of a forwarded statement that got no answer from the endpoint."""

    code: str
    step: Step
    peer: str
    outcome: Outcome
    message: str

    @classmethod
    def from_error(cls, error: EndpointError) -> "StatementFailure":
        """Return the message for an error."""
        return cls(
            code=error.code.value.code,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome,
            message=error.message,
        )

    def to_error(self) -> EndpointError:
        """Return the error to raise at the sender of the statement."""
        return EndpointError(
            code=error_code(self.code),
            step=self.step,
            peer=self.peer,
            outcome=self.outcome,
            message=self.message,
        )


class ReleaseTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """Request to roll back a transaction and to release its connection."""

    handle: int


class PositionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a recent log position of a service's primary."""

    id: int
    service: ServiceId


class ForwardReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Reply to a ForwardedStatement or PositionRequest.

    Attributes
    ----------
    load : float
        Statements at the endpoint or waiting for it, per slot.
    age_s : float
        Age of ``position``, in seconds, in the reply to a PositionRequest.
    """

    id: int
    answer: Answer | None = None
    failure: StatementFailure | None = None
    load: float = 0.0
    position: Position | None = None
    age_s: float = 0.0


class Envelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Message to the owner of an endpoint; exactly one field is set."""

    forward: ForwardedStatement | None = None
    release: ReleaseTransaction | None = None
    sample: PositionRequest | None = None

    def __post_init__(self) -> None:
        """Check that exactly one field is set."""
        if sum(f is not None for f in (self.forward, self.release, self.sample)) != 1:
            raise ValueError("exactly one field of an envelope must be set")


def encode(message: msgspec.Struct, *, level: int = FAST_LEVEL) -> bytes:
    """Return a message as CBOR, compressed if it is large.

    Parameters
    ----------
    level : int
        Compression level of zlib.
    """
    return _compress(_dump(message), level)


def encode_bounded(message: msgspec.Struct) -> bytes:
    """Return a message as CBOR, if the receiver accepts its size.

    Raises
    ------
    MessageTooLargeError
        If the message exceeds the size limit.
    """
    data = _dump(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageTooLargeError(
            f"{len(data)} bytes, {MAX_MESSAGE_BYTES} bytes allowed"
        )
    return _compress(data, FAST_LEVEL)


def _dump(message: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def _compress(data: bytes, level: int) -> bytes:
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return PLAIN + data
    compressed = zlib.compress(data, level)
    # Data without patterns grow when they are compressed.
    return COMPRESSED + compressed if len(compressed) < len(data) else PLAIN + data


def decode(data: bytes, kind: type[T]) -> T:
    """Return the message in ``data``.

    Raises
    ------
    ValueError
        If the data isn't a message of this kind.
    """
    try:
        body = _decompress(data[1:]) if data[:1] == COMPRESSED else data[1:]
        return msgspec.convert(cbor2.loads(body), kind, builtin_types=(bytes,))
    except Exception as error:
        # The decoders raise errors of many types for invalid data, among them
        # ``RecursionError``, ``OverflowError`` and ``TypeError``.
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError("the message is truncated or exceeds the size limit")
    return body
