"""Endpoints, VMs and replication groups as one VM knows them."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.catalog import Catalog
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    EndpointState,
    Incarnation,
    RegionId,
    Role,
    ServiceId,
    Term,
    VmId,
    ZoneId,
)


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint as listed by the platform.

    Attributes
    ----------
    slots : int
        Statements that the endpoint runs at once.
    born_ms : int
        Wall-clock start of the endpoint's process, in milliseconds.
    """

    id: EndpointId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: EndpointState
    role: Role
    born_ms: int = 0


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """VM of the fleet, as it registers itself in the store.

    Attributes
    ----------
    address : Address
        Address for other VMs.
    cores : float
        Processor that the VM may use.
    """

    vm: VmId
    address: Address
    zone: ZoneId
    incarnation: Incarnation
    cores: float = 1.0


def zone_sizes(vms: Iterable[VmEntry]) -> dict[ZoneId, int]:
    """Return how many of the VMs are in each zone, in the order of the names."""
    return dict(sorted(Counter(entry.zone for entry in vms).items()))


class Owner(msgspec.Struct, frozen=True, kw_only=True):
    """VM that holds the connections to an endpoint, for all VMs."""

    vm: VmId
    address: Address


class GroupPhase(Enum):
    """Whether a group has a primary that may be used."""

    STABLE = "stable"
    MOVING = "moving"


class GroupState(msgspec.Struct, frozen=True, kw_only=True):
    """Agreed primary of a service, kept in the store.

    Attributes
    ----------
    epoch : int
        Grows with each change of the group state.
    primary : EndpointId
        Primary while STABLE; the former one while MOVING.
    term : Term
        Term of that primary; 0 where no change of primary has been made.
    """

    service: ServiceId
    epoch: int
    phase: GroupPhase
    primary: EndpointId
    term: Term = Term(0)


class ClusterView:
    """Current catalog, endpoints, VMs and groups of one VM.

    Parameters
    ----------
    vm : VmId
        This VM.
    zone : ZoneId
        Its availability zone.
    regions : dict of ZoneId to RegionId
        Region of each zone.
    clock : Clock
        Clock of the evidence.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        zone: ZoneId,
        regions: dict[ZoneId, RegionId],
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.regions = regions
        self.clock = clock
        self.catalog: Catalog | None = None
        self.endpoints: dict[EndpointId, EndpointEntry] = {}
        self.closed_zones: frozenset[ZoneId] = frozenset()
        # VMs of each zone; the entries themselves are known to the leader only.
        self.fleet: dict[ZoneId, int] = {}
        self.owners: dict[EndpointId, Owner] = {}
        self.deputies: dict[VmId, Address] = {}
        self.endpoints_version = 0
        self.groups: dict[ServiceId, GroupState] = {}
        # Time at which it was certain that no group had a newer epoch.
        self.evidence_s = float("-inf")
        self.listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> ConfigurationVersion:
        """Version of the catalog in force, 0 before the first."""
        return self.catalog.version if self.catalog else ConfigurationVersion(0)

    def adopt_catalog(self, catalog: Catalog) -> bool:
        """Put a newer catalog in force; False for one that isn't newer."""
        if catalog.version <= self.version:
            return False
        self.catalog = catalog
        self.notify()
        return True

    def adopt_group(self, group: GroupState) -> bool:
        """Take over a newer group state; False for one that isn't newer."""
        known = self.groups.get(group.service)
        if known is not None and known.epoch >= group.epoch:
            return False
        self.groups[group.service] = group
        self.notify()
        return True

    def adopt_endpoints(
        self,
        entries: dict[EndpointId, EndpointEntry],
        closed_zones: frozenset[ZoneId] | None = None,
    ) -> None:
        """Replace the listed endpoints, and the zones that take no work."""
        closed = self.closed_zones if closed_zones is None else closed_zones
        if (entries, closed) == (self.endpoints, self.closed_zones):
            return
        self.endpoints = entries
        self.closed_zones = closed
        self.endpoints_version += 1
        self.notify()

    def adopt_fleet(
        self, fleet: dict[ZoneId, int], owners: dict[EndpointId, Owner]
    ) -> None:
        """Replace the sizes of the zones and the owners of endpoints."""
        if (fleet, owners) == (self.fleet, self.owners):
            return
        self.fleet = fleet
        self.owners = owners
        self.notify()

    def adopt_deputies(self, deputies: dict[VmId, Address]) -> None:
        """Replace the VMs that lend while the leader can't be reached."""
        self.deputies = deputies

    @property
    def vm_count(self) -> int:
        """Number of VMs in the fleet, this one at least."""
        return max(sum(self.fleet.values()), 1)

    def note_evidence(self, at_s: float) -> None:
        """Record that the group states were complete at ``at_s``."""
        self.evidence_s = max(self.evidence_s, at_s)

    def notify(self) -> None:
        """Tell the listeners that something has changed."""
        for listener in self.listeners:
            listener()

    def members(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the listed endpoints of a service."""
        return [e for e in self.endpoints.values() if e.service == service]

    def primary(self, service: ServiceId) -> EndpointEntry | None:
        """Return the primary that may be used now, None during a change."""
        group = self.groups.get(service)
        if group is not None:
            if group.phase is GroupPhase.MOVING:
                return None
            return self.endpoints.get(group.primary)
        claims = [e for e in self.members(service) if e.role is Role.PRIMARY]
        return claims[0] if len(claims) == 1 else None

    def region(self, zone: ZoneId) -> RegionId:
        """Return the region of a zone; a zone not listed is its own region."""
        return self.regions.get(zone, RegionId(zone))
