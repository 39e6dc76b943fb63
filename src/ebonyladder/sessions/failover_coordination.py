"""Interface between a failover and the other VMs and the store."""

from abc import ABC, abstractmethod

from ebonyladder.sessions.cluster_view import GroupState
from ebonyladder.types import EndpointId


class FailoverCoordination(ABC):
    """What a failover needs of the other VMs and the store."""

    @abstractmethod
    async def write_group(self, group: GroupState) -> None:
        """Store a newer group state; STORE_CONFLICT if another VM has stored one."""

    @abstractmethod
    async def wait_applied(self, group: GroupState, timeout_s: float) -> None:
        """Return once all VMs have applied the group state, or after ``timeout_s``."""

    @abstractmethod
    def record_reachable(self, endpoint: EndpointId) -> None:
        """Record that this VM reaches a primary which other VMs report unresponsive."""

    @abstractmethod
    def fencing_token(self) -> int | None:
        """Return the fencing token, None if this VM has no valid leader lease."""
