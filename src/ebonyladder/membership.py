"""View of the VMs and the owners of endpoints."""

from abc import ABC, abstractmethod

from ebonyladder._members import Member, MemberTable
from ebonyladder.messages import PeerRecord
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import Address, EndpointId, VmId, VmState, ZoneId

__all__ = ["Member", "MemberTable", "Membership"]


class Membership(ABC):
    """View of the live VMs on this VM."""

    @abstractmethod
    def members(self) -> list[PeerRecord]:
        """Return the live VMs, including this one, sorted by name."""

    @abstractmethod
    def address_of(self, vm: VmId) -> Address | None:
        """Return the peer address of a VM, None if it is unknown."""

    @abstractmethod
    def is_zone_in(self, zone: ZoneId) -> bool:
        """Tell whether VMs of the zone may take work."""

    @abstractmethod
    def suspect(self, vm: VmId) -> None:
        """Record that a call to the VM failed, so that it is pinged immediately."""

    def is_complete(self) -> bool:
        """Tell whether the platform's list names peers and all of them are live."""
        return False

    def record_draining(self, vm: VmId) -> None:  # noqa: B027
        """Record that a VM has refused work because it drains."""

    def active_vms(self) -> list[PeerRecord]:
        """Return the live VMs that take new work."""
        return [
            member
            for member in self.members()
            if member.state is VmState.ACTIVE and self.is_zone_in(member.zone)
        ]

    def owner_of(self, endpoint: EndpointId, zone: ZoneId) -> VmId | None:
        """Return the VM that owns the connections to an endpoint.

        Parameters
        ----------
        endpoint : EndpointId
            Endpoint to look up.
        zone : ZoneId
            Zone of the endpoint; VMs there are preferred, so that the owner
            reaches it within the zone.
        """
        order = self.owner_order(endpoint, zone)
        return order[0] if order else None

    def owner_within(self, endpoint: EndpointId, zone: ZoneId) -> VmId | None:
        """Return the owner among the VMs of a zone, even if the zone is out."""
        local = [
            member.vm
            for member in self.members()
            if member.state is VmState.ACTIVE and member.zone == zone
        ]
        order = rendezvous_order(endpoint, local)
        return order[0] if order else None

    def owner_order(self, endpoint: EndpointId, zone: ZoneId) -> list[VmId]:
        """Return the VMs that may own the endpoint, the owner first."""
        active_vms = self.active_vms()
        local = [member.vm for member in active_vms if member.zone == zone]
        return rendezvous_order(endpoint, local or [member.vm for member in active_vms])
