"""Interface to the daemon's metrics."""

from abc import ABC, abstractmethod

from ebonyladder.kernel.step import Step
from ebonyladder.types import OrganisationId


class Metrics(ABC):
    """Counters, gauges and histograms of the daemon."""

    @abstractmethod
    def observe_request(
        self,
        *,
        organisation: OrganisationId,
        request_class: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Add one request to the histogram of its organisation and class."""

    @abstractmethod
    def observe_step(self, step: Step, seconds: float) -> None:
        """Add one step's duration to the histogram of the step."""

    @abstractmethod
    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""

    @abstractmethod
    def render(self) -> bytes:
        """Return all metrics in Prometheus text format, version 0.0.4."""
