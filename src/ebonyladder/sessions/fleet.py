"""What decisions need of the other VMs and the store."""

from abc import ABC, abstractmethod

from ebonyladder.sessions.cluster_view import GroupState
from ebonyladder.types import EndpointId


class FailoverCoordination(ABC):
    """What a change of primary needs of the other VMs and the store."""

    @abstractmethod
    async def write_group(self, group: GroupState) -> None:
        """Store a group state with a higher epoch; STORE_CONFLICT if it isn't."""

    @abstractmethod
    async def wait_adopted(self, group: GroupState, limit_s: float) -> None:
        """Return once all VMs act on the group state, or after ``limit_s``."""

    @abstractmethod
    def note_reached(self, endpoint: EndpointId) -> None:
        """Note that a primary which others miss answers this VM."""

    @abstractmethod
    def fencing_token(self) -> int | None:
        """Return the token of this VM's duty, None if it isn't certain of it."""
