"""Messages between VMs, sent as CBOR."""

import zlib
from typing import TypeVar

import cbor2
import msgspec

from ebonyladder.kernel.error import EndpointError, Outcome, error_code
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import Catalog
from ebonyladder.sessions.cluster_view import EndpointEntry, GroupState, Owner
from ebonyladder.sessions.command import Answer, Command, Prepared
from ebonyladder.sessions.connection import ReadBound
from ebonyladder.sessions.quota import PermitGrant
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    Position,
    ServiceId,
    VmId,
    ZoneId,
)

T = TypeVar("T")

# Larger messages are compressed, in bytes; smaller ones gain little.
COMPRESS_ABOVE = 512
PLAIN, COMPRESSED = b"\0", b"\1"


class Report(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a VM tells the leader.

    Attributes
    ----------
    sent_s : float
        Time on the sender's clock, which the answer repeats.
    heard_s : float or None
        ``at_s`` of the last orders that the sender got on this link.
    version : ConfigurationVersion
        Version of the sender's catalog.
    endpoints_version : int
        The leader's version of the endpoints that the sender has.
    wants : dict of OrganisationId to int
        Turns that the sender asks for.
    shares : dict of OrganisationId to float, or None
        Shares that the sender holds, in its first report on a link.
    silent : tuple of EndpointId
        Endpoints that don't answer the sender.
    stalled : tuple of EndpointId
        Endpoints that don't answer the sender's commits.
    epochs : dict of ServiceId to int
        Epoch of each group that the sender acts on.
    catalog : Catalog or None
        The sender's catalog, where the leader's is older.
    """

    vm: VmId
    incarnation: Incarnation
    sent_s: float
    version: ConfigurationVersion
    heard_s: float | None = None
    endpoints_version: int = -1
    wants: dict[OrganisationId, int] = {}
    shares: dict[OrganisationId, float] | None = None
    silent: tuple[EndpointId, ...] = ()
    stalled: tuple[EndpointId, ...] = ()
    epochs: dict[ServiceId, int] = {}
    catalog: Catalog | None = None


class ClusterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints, zones and owners, at one version of the leader.

    Attributes
    ----------
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
    """What the leader tells a VM.

    Attributes
    ----------
    is_leader : bool
        Whether the sender was certain of its duty.
    has_store : bool
        Whether the sender's watches of the store are working.
    at_s : float
        Time on the leader's clock at which the orders were made.
    version : ConfigurationVersion
        Version of the leader's catalog.
    asked_s : float or None
        ``sent_s`` of the report that is answered; None for an order unasked.
    groups : tuple of GroupState
        Groups whose epoch the VM doesn't have.
    loans : dict of OrganisationId to PermitGrant
        Turns that the VM asked for.
    shares : dict of OrganisationId to float
        Changed shares of rates, for the time without a leader.
    is_listed : bool
        Whether the leader has the VM in its list.
    lends : bool
        Whether a sender that isn't certain lends ``loans`` all the same, from the
        parts of rates of the VMs that report to it.
    """

    is_leader: bool
    at_s: float
    version: ConfigurationVersion
    has_store: bool = True
    asked_s: float | None = None
    groups: tuple[GroupState, ...] = ()
    loans: dict[OrganisationId, PermitGrant] = {}
    shares: dict[OrganisationId, float] = {}
    is_listed: bool = True
    lends: bool = False
    state: ClusterSnapshot | None = None
    catalog: Catalog | None = None


class ForwardedStatement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Statement for an endpoint that the receiver owns.

    Attributes
    ----------
    handle : int
        Transaction of the sender that the statement belongs to; 0 for none.
    is_begin : bool
        Whether the statement opens that transaction.
    needs_primary : bool
        Whether the endpoint must be the primary that may be used now.
    left_s : float
        Time until the sender stops waiting, in seconds.
    """

    id: int
    endpoint: EndpointId
    organisation: OrganisationId
    command: Command
    left_s: float
    values: dict[str, str] = {}
    handle: int = 0
    is_begin: bool = False
    needs_primary: bool = False
    after: ReadBound | None = None
    prepared: Prepared | None = None


class StatementFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Error of a statement that got no answer."""

    code: str
    step: Step
    peer: str
    outcome: Outcome
    message: str

    @classmethod
    def of(cls, error: EndpointError) -> "StatementFailure":
        """Return the failure that an error stands for."""
        return cls(
            code=error.code.value.code,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome,
            message=error.message,
        )

    def error(self) -> EndpointError:
        """Return the error that the failure stands for."""
        return EndpointError(
            code=error_code(self.code),
            step=self.step,
            peer=self.peer,
            outcome=self.outcome,
            message=self.message,
        )


class ReleaseTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """End of a transaction whose sender is gone; it is rolled back."""

    handle: int


class PositionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Question for a recent log position of a service's primary."""

    id: int
    service: ServiceId


class ForwardReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a ForwardedStatement or PositionRequest.

    Attributes
    ----------
    load : float
        Statements at the endpoint or waiting for it, for each slot.
    age_s : float
        Age of ``position``, in seconds, in the answer to a PositionRequest.
    """

    id: int
    answer: Answer | None = None
    failure: StatementFailure | None = None
    load: float = 0.0
    position: Position | None = None
    age_s: float = 0.0


class Envelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One message to the owner of an endpoint."""

    forward: ForwardedStatement | None = None
    release: ReleaseTransaction | None = None
    sample: PositionRequest | None = None


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as CBOR, compressed if it is large."""
    data = cbor2.dumps(msgspec.to_builtins(message))
    if len(data) <= COMPRESS_ABOVE:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, 1)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the message in ``data``.

    Raises
    ------
    ValueError
        If the data isn't a message of this kind.
    """
    try:
        body = zlib.decompress(data[1:]) if data[:1] == COMPRESSED else data[1:]
        return msgspec.convert(cbor2.loads(body), kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, zlib.error) as error:
        raise ValueError(f"not a {kind.__name__}: {error}") from error
