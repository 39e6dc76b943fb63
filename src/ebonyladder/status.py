"""Public status of services."""

from abc import ABC, abstractmethod
from enum import Enum

from ebonyladder.types import ServiceId


class CallResult(Enum):
    """What a caller got, as counted for the public status."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"


class StatusObserver(ABC):
    """Count what callers of each service got."""

    @abstractmethod
    def observe(self, service: ServiceId, result: CallResult) -> None:
        """Count one request."""
