"""Owner VM of the connections to each endpoint."""

from typing import NamedTuple

from ebonyladder.configuration import (
    Configuration,
    ConfigurationSource,
    ZoneSpec,
)
from ebonyladder.kernel.clock import Clock
from ebonyladder.membership import Membership
from ebonyladder.messages import PeerRecord
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import EndpointId, GroupId, VmId, ZoneId

# Rendezvous hashing over hundreds of VMs is too slow for each statement, and over
# all endpoints too slow for each check of the owned groups. The membership view is
# compared with the cached one at this interval.
CACHE_TTL_S = 0.2


class _CachedOwner(NamedTuple):
    zone: ZoneId
    owner: VmId | None


class _OwnedGroups(NamedTuple):
    configuration: Configuration
    owned: frozenset[GroupId]


class Ownership:
    """Owners of endpoints by the current view, cached until the view changes.

    Parameters
    ----------
    vm : VmId
        This VM.
    membership : Membership
        View of the VMs.
    configuration : ConfigurationSource
        Endpoints, groups and zones.
    clock : Clock
        Clock for the cache.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        membership: Membership,
        configuration: ConfigurationSource,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.membership = membership
        self.configuration = configuration
        self.clock = clock
        self.cache: dict[EndpointId, _CachedOwner] = {}
        # A change of zones or endpoints takes effect here immediately.
        configuration.subscribe(lambda _: self.invalidate())
        self.groups: _OwnedGroups | None = None
        self.members: list[PeerRecord] | None = None
        self.zones: dict[ZoneId, ZoneSpec] | None = None
        self.active_vms: list[tuple[VmId, ZoneId]] = []
        self.active_vms_by_zone: dict[ZoneId, list[VmId]] = {}
        self.checked_at_s = float("-inf")

    def owner_of(self, endpoint: EndpointId) -> VmId | None:
        """Return the owner of an endpoint, None if no VM can own it."""
        self._refresh_view()
        spec = self.configuration.current.endpoints.get(endpoint)
        if spec is None:
            return None
        cached = self.cache.get(endpoint)
        if cached is None or cached.zone != spec.zone:
            cached = _CachedOwner(spec.zone, self._choose(endpoint, spec.zone))
            self.cache[endpoint] = cached
        return cached.owner

    def _choose(self, endpoint: EndpointId, zone: ZoneId) -> VmId | None:
        """Return the first of ``Membership.owner_order``."""
        names = self.active_vms_by_zone.get(zone) or [vm for vm, _ in self.active_vms]
        return rendezvous_order(endpoint, names)[0] if names else None

    def _refresh_view(self) -> None:
        """Clear the cached owners if the active VMs have changed."""
        now_s = self.clock.now_s()
        if now_s < self.checked_at_s + CACHE_TTL_S:
            return
        self.checked_at_s = now_s
        members = self.membership.members()
        zones = self.configuration.current.zones
        if members is self.members and zones is self.zones:
            return
        self.members, self.zones = members, zones
        active_vms = [
            (member.vm, member.zone) for member in self.membership.active_vms()
        ]
        if active_vms == self.active_vms:
            return
        self.active_vms = active_vms
        self.active_vms_by_zone = {}
        for vm, zone in active_vms:
            self.active_vms_by_zone.setdefault(zone, []).append(vm)
        self.cache.clear()
        self.groups = None

    def invalidate(self) -> None:
        """Compare with the view at the next call, after a call to an owner failed."""
        self.checked_at_s = float("-inf")

    def owns(self, endpoint: EndpointId) -> bool:
        """Tell whether this VM owns the endpoint."""
        return self.owner_of(endpoint) == self.vm

    def owned_groups(self) -> frozenset[GroupId]:
        """Return the groups of which this VM owns an endpoint."""
        self._refresh_view()
        configuration = self.configuration.current
        if self.groups is None or self.groups.configuration is not configuration:
            owned = frozenset(
                name
                for name, group in configuration.groups.items()
                if any(self.owns(endpoint) for endpoint in group.endpoints)
            )
            self.groups = _OwnedGroups(configuration, owned)
        return self.groups.owned

    def monitors_of(self, group: GroupId) -> list[VmId]:
        """Return the VMs that monitor a group, this one first if it is one of them."""
        spec = self.configuration.current.groups[group]
        owners = {self.owner_of(endpoint) for endpoint in spec.endpoints} - {None}
        return sorted(owners, key=lambda vm: (vm != self.vm, vm))
