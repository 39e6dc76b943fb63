"""View of the cluster at one VM: endpoints, VMs and replication groups."""

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
    EndpointProcess,
    EndpointState,
    Incarnation,
    Position,
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
        Statements that the endpoint runs concurrently.
    process_started_at_ms : int
        Wall-clock time at which the endpoint's process started, in milliseconds.
    """

    id: EndpointId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: EndpointState
    role: Role
    process_started_at_ms: int = msgspec.field(default=0, name="born_ms")

    @property
    def process(self) -> EndpointProcess:
        """Process of the endpoint; one that starts again has lost its log."""
        return EndpointProcess(f"{self.id}@{self.process_started_at_ms}")


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of a VM, which the VM registers in the store.

    Attributes
    ----------
    address : Address
        Address for connections of other VMs.
    cores : float
        Processor cores that the VM may use.
    """

    vm: VmId
    address: Address
    zone: ZoneId
    incarnation: Incarnation
    cores: float = 1.0


def zone_sizes(vms: Iterable[VmEntry]) -> dict[ZoneId, int]:
    """Return the number of VMs in each zone, sorted by the zones' names."""
    return dict(sorted(Counter(entry.zone for entry in vms).items()))


class Owner(msgspec.Struct, frozen=True, kw_only=True):
    """VM that holds the connections to an endpoint on behalf of all VMs."""

    vm: VmId
    address: Address


class GroupPhase(Enum):
    """Whether a group has a primary that may be used."""

    STABLE = "stable"
    MOVING = "moving"


class GroupState(msgspec.Struct, frozen=True, kw_only=True):
    """Primary of a service as agreed by all VMs, kept in the store.

    Attributes
    ----------
    epoch : int
        Version of the group state; grows with each change.
    primary : EndpointId
        Current primary while STABLE, former primary while MOVING.
    term : Term
        Term of that primary; 0 before the first failover.
    successor : EndpointProcess or None
        Endpoint whose promotion was requested while MOVING. The request may still
        take effect, so no other endpoint is promoted while that one is listed.
    inherited : Position or None
        Last position in the primary's log when it was promoted. Commits of earlier
        terms after this position are not in its log. None if it isn't known.
    is_incomplete : bool
        Whether the store has lost what came before, while MOVING: another endpoint may
        have been promoted, so the endpoints themselves must show which one led last.
    """

    service: ServiceId
    epoch: int
    phase: GroupPhase
    primary: EndpointId
    term: Term = Term(0)
    successor: EndpointProcess | None = None
    inherited: Position | None = None
    is_incomplete: bool = False


class AcknowledgedRange(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the last commit that was acknowledged to callers.

    The position in an answer may lie after the commit, since the endpoint's log goes
    on; the commit lies after all positions that were seen before it was sent.

    Attributes
    ----------
    lower, upper : Position
        The commit's position is at least, and at most, this.
    """

    lower: Position
    upper: Position

    def merge(self, other: "AcknowledgedRange | None") -> "AcknowledgedRange":
        """Return the bounds of the later one of two commits."""
        if other is None:
            return self
        return AcknowledgedRange(
            lower=max(self.lower, other.lower), upper=max(self.upper, other.upper)
        )


class ClusterView:
    """Current catalog, endpoints, VMs and groups as known to one VM.

    Parameters
    ----------
    vm : VmId
        This VM.
    zone : ZoneId
        Its availability zone.
    regions : dict of ZoneId to RegionId
        Region of each zone.
    clock : Clock
        Clock of ``groups_confirmed_at_s``.
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
        # Number of VMs in each zone; only the leader has their entries.
        self.fleet: dict[ZoneId, int] = {}
        self.owners: dict[EndpointId, Owner] = {}
        self.standbys: dict[VmId, Address] = {}
        self.endpoints_version = 0
        # Time at which each leaving endpoint was first seen as leaving.
        self.leaving_since_s: dict[EndpointProcess, float] = {}
        self.groups: dict[ServiceId, GroupState] = {}
        # Number below the epochs of the store's present era.
        self.era_start = 0
        # Last commit of each service that was acknowledged to a caller of this VM.
        self.acknowledged: dict[ServiceId, AcknowledgedRange] = {}
        # Newest position of each endpoint's log that this VM has seen.
        self.seen: dict[EndpointProcess, Position] = {}
        # Last time at which each service's primary ceased to be usable.
        self.moving_since_s: dict[ServiceId, float] = {}
        # Time at which the group states had last been confirmed by then.
        self.confirmed_before_moving_s: dict[ServiceId, float] = {}
        # Last time at which the group states were confirmed to be the latest ones.
        self.groups_confirmed_at_s = float("-inf")
        # Endpoints that were listed at that time.
        self.endpoints_when_confirmed = self.endpoints
        self.listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> ConfigurationVersion:
        """Version of the active catalog, 0 before the first."""
        return self.catalog.version if self.catalog else ConfigurationVersion(0)

    def apply_catalog(self, catalog: Catalog) -> bool:
        """Replace the catalog by a newer one; False if it isn't newer."""
        if catalog.version <= self.version:
            return False
        self.catalog = catalog
        self.notify()
        return True

    def apply_group(self, group: GroupState) -> bool:
        """Replace a group state by a newer one; False if it isn't newer."""
        known = self.groups.get(group.service)
        if known is not None and known.epoch >= group.epoch:
            return False
        was_stable = known is None or known.phase is GroupPhase.STABLE
        if group.phase is GroupPhase.MOVING and was_stable:
            self.moving_since_s[group.service] = self.clock.now_s()
            self.confirmed_before_moving_s[group.service] = self.groups_confirmed_at_s
        self.groups[group.service] = group
        self.notify()
        return True

    def record_era(self, era_start: int) -> None:
        """Record the start of the store's present era."""
        self.era_start = era_start

    def next_epoch(self, service: ServiceId) -> int:
        """Return the epoch of the next group state of a service.

        It is above those of all earlier eras, also of states that the store has lost
        and that this VM doesn't know.
        """
        known = self.groups.get(service)
        return max(self.era_start, known.epoch if known else 0) + 1

    @property
    def has_only_restored_groups(self) -> bool:
        """Whether all known group states were written in the present era.

        A write of an earlier era that runs late can put one of that era back.
        """
        return all(self.is_restored(service) for service in self.groups)

    def is_restored(self, service: ServiceId) -> bool:
        """Tell whether the known group state was written in the present era."""
        known = self.groups.get(service)
        return known is not None and known.epoch > self.era_start

    def apply_endpoints(
        self,
        entries: dict[EndpointId, EndpointEntry],
        closed_zones: frozenset[ZoneId] | None = None,
    ) -> None:
        """Replace the listed endpoints and the zones that take no work."""
        closed = self.closed_zones if closed_zones is None else closed_zones
        if (entries, closed) == (self.endpoints, self.closed_zones):
            return
        self.endpoints = entries
        self.closed_zones = closed
        now_s = self.clock.now_s()
        self.leaving_since_s = {
            entry.process: self.leaving_since_s.get(entry.process, now_s)
            for entry in entries.values()
            if entry.state is EndpointState.LEAVING
        }
        self.endpoints_version += 1
        self.notify()

    def apply_fleet(
        self, fleet: dict[ZoneId, int], owners: dict[EndpointId, Owner]
    ) -> None:
        """Replace the numbers of VMs in the zones and the owners of endpoints."""
        if (fleet, owners) == (self.fleet, self.owners):
            return
        self.fleet = fleet
        self.owners = owners
        self.notify()

    def record_acknowledged(
        self, service: ServiceId, acknowledged: AcknowledgedRange
    ) -> None:
        """Record that a caller of this VM gets a success for a commit."""
        known = self.acknowledged.get(service)
        self.acknowledged[service] = acknowledged.merge(known)

    def record_seen(self, process: EndpointProcess, position: Position | None) -> None:
        """Record a position of an endpoint's log."""
        known = self.seen.get(process)
        if position is not None and (known is None or position > known):
            self.seen[process] = position

    def set_standbys(self, standbys: dict[VmId, Address]) -> None:
        """Replace the VMs that grant permits while the leader is unreachable."""
        self.standbys = standbys

    @property
    def vm_count(self) -> int:
        """Number of VMs in the fleet; at least 1, for this VM."""
        return max(sum(self.fleet.values()), 1)

    def record_groups_confirmed(self, at_s: float) -> None:
        """Record that the group states were confirmed as current at ``at_s``."""
        if at_s >= self.groups_confirmed_at_s:
            self.groups_confirmed_at_s = at_s
            self.endpoints_when_confirmed = self.endpoints

    def notify(self) -> None:
        """Notify the listeners of a change."""
        for listener in self.listeners:
            listener()

    def members(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the listed endpoints of a service."""
        return [e for e in self.endpoints.values() if e.service == service]

    def primary(self, service: ServiceId) -> EndpointEntry | None:
        """Return the primary that may be used now, None during a failover."""
        group = self.groups.get(service)
        if group is not None:
            if group.phase is GroupPhase.MOVING:
                return None
            return self.endpoints.get(group.primary)
        primaries = [e for e in self.members(service) if e.role is Role.PRIMARY]
        return primaries[0] if len(primaries) == 1 else None

    def region(self, zone: ZoneId) -> RegionId:
        """Return the region of a zone; a zone that isn't listed is its own region."""
        return self.regions.get(zone, RegionId(zone))
