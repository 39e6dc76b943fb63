"""Which VM owns the connections to which endpoint."""

from typing import NamedTuple

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.clock import Clock
from ebonyladder.membership import Membership
from ebonyladder.types import EndpointId, GroupId, VmId

# Rendezvous hashing over hundreds of VMs is too slow for each statement.
CACHE_S = 0.2


class _Cached(NamedTuple):
    owner: VmId | None
    until_s: float


class Ownership:
    """Owners of endpoints by the present view, cached for a short time.

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
        self.cache: dict[EndpointId, _Cached] = {}
        # A change of zones or endpoints takes effect here at once.
        configuration.subscribe(lambda _: self.forget())

    def owner_of(self, endpoint: EndpointId) -> VmId | None:
        """Return the owner of an endpoint, None if no VM can own it."""
        now_s = self.clock.now_s()
        cached = self.cache.get(endpoint)
        if cached is None or cached.until_s <= now_s:
            spec = self.configuration.current.endpoints.get(endpoint)
            owner = spec and self.membership.owner_of(endpoint, spec.zone)
            cached = _Cached(owner, now_s + CACHE_S)
            self.cache[endpoint] = cached
        return cached.owner

    def forget(self) -> None:
        """Drop the cache, after a call to an owner failed."""
        self.cache.clear()

    def owns(self, endpoint: EndpointId) -> bool:
        """Tell whether this VM owns the endpoint."""
        return self.owner_of(endpoint) == self.vm

    def owned_groups(self) -> set[GroupId]:
        """Return the groups of which this VM owns an endpoint."""
        return {
            name
            for name, group in self.configuration.current.groups.items()
            if any(self.owns(endpoint) for endpoint in group.endpoints)
        }

    def watchers_of(self, group: GroupId) -> list[VmId]:
        """Return the VMs that watch a group, this one first if it does."""
        spec = self.configuration.current.groups[group]
        owners = {self.owner_of(endpoint) for endpoint in spec.endpoints} - {None}
        return sorted(owners, key=lambda vm: (vm != self.vm, vm))
