"""Messages between the leader and the other VMs, sent as CBOR."""

from typing import TypeVar

import cbor2
import msgspec

from ebonyladder.sessions.catalog import Catalog
from ebonyladder.sessions.roster import GroupState
from ebonyladder.types import (
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    ServiceId,
    VmId,
)

T = TypeVar("T")


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM tells the leader.

    Attributes
    ----------
    sent_s : float
        Time on the sender's clock, which the answer repeats.
    heard_s : float or None
        ``at_s`` of the last orders that the sender got on this link.
    version : ConfigurationVersion
        Version of the sender's catalog.
    demands : dict of OrganisationId to float
        Operations per second that are asked for at the sender.
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
    demands: dict[OrganisationId, float] = {}
    silent: tuple[EndpointId, ...] = ()
    stalled: tuple[EndpointId, ...] = ()
    epochs: dict[ServiceId, int] = {}
    catalog: Catalog | None = None


class Orders(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader tells a VM.

    Attributes
    ----------
    is_leader : bool
        Whether the sender was certain of its duty.
    at_s : float
        Time on the leader's clock at which the orders were made.
    asked_s : float or None
        ``sent_s`` of the report that is answered; None for an order unasked.
    grants : dict of OrganisationId to float
        Rates that the VM may use, in operations per second.
    """

    is_leader: bool
    at_s: float
    version: ConfigurationVersion
    asked_s: float | None = None
    groups: tuple[GroupState, ...] = ()
    grants: dict[OrganisationId, float] = {}
    catalog: Catalog | None = None


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(data: bytes, kind: type[T]) -> T:
    """Return the message in ``data``.

    Raises
    ------
    ValueError
        If the data isn't a message of this kind.
    """
    try:
        return msgspec.convert(cbor2.loads(data), kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"not a {kind.__name__}: {error}") from error
