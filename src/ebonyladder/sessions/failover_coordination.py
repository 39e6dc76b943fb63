"""Interface between a failover and the other VMs and the store."""

from abc import ABC, abstractmethod

from ebonyladder.sessions.cluster_view import EndpointEntry, GroupState
from ebonyladder.sessions.log_holders import LogHolders
from ebonyladder.types import EndpointId, EndpointProcess, Position, ServiceId


class FailoverCoordination(ABC):
    """What a failover needs of the other VMs and the store."""

    @abstractmethod
    async def write_group(self, group: GroupState) -> None:
        """Store a newer group state; STORE_CONFLICT if another VM has stored one."""

    @abstractmethod
    async def store_successor(self, group: GroupState) -> None:
        """Store the successor of a group that is MOVING; the VMs needn't know it."""

    @abstractmethod
    async def wait_applied(self, group: GroupState, timeout_s: float) -> None:
        """Return once all VMs have applied the group state, or after ``timeout_s``."""

    @abstractmethod
    def record_reachable(self, endpoint: EndpointId) -> None:
        """Record that this VM reaches a primary which other VMs report unresponsive."""

    @abstractmethod
    def fencing_token(self) -> int | None:
        """Return the fencing token, None if this VM has no valid leader lease."""

    @abstractmethod
    def lease_remaining_s(self) -> float:
        """Return for how long the leader lease stays valid, in seconds."""

    @abstractmethod
    def log_holders(self, service: ServiceId) -> LogHolders:
        """Return the log holders that are stored or listed."""

    @abstractmethod
    def recorded_log_holders(self, service: ServiceId) -> list[EndpointProcess]:
        """Return the log holders that are stored, for a log line."""

    @abstractmethod
    def ended_log_holders(self, service: ServiceId) -> frozenset[EndpointProcess]:
        """Return the unlisted log holders whose processes are known to have ended."""

    @abstractmethod
    def known_since_s(self, process: EndpointProcess) -> float:
        """Return when this VM first knew of a log holder, now if it doesn't."""

    @abstractmethod
    def acknowledged(self, service: ServiceId) -> Position:
        """Return a position at or before the last commit that callers were told of."""

    @abstractmethod
    async def read_members(self, service: ServiceId) -> list[EndpointEntry]:
        """Read the listed endpoints of a service from the store.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE if the store doesn't answer.
        """
