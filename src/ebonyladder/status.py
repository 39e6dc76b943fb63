"""Public status of services: results of calls, counts, states, interfaces."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum

import msgspec
from aiohttp import web

from ebonyladder.types import ServiceId

MINUTES_PER_HOUR = 60
SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3_600
HOURS_PER_DAY = 24

# Fractions of failed calls among all calls that were not refused.
DEGRADED_FRACTION = 0.01
OUTAGE_FRACTION = 0.5

RouteHandler = Callable[[web.Request], Awaitable[web.Response]]


class CallResult(Enum):
    """Result of a call, as counted for the public status."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"


class ServiceState(Enum):
    """State of a service, from best to worst; ``NOT_OBSERVED`` means unknown."""

    OPERATIONAL = "operational"
    NOT_OBSERVED = "not-observed"
    DEGRADED = "degraded"
    OUTAGE = "outage"


class NotObservedReason(Enum):
    """Why an hour has no observations."""

    NO_VM_REPORTED = "no VM reported"
    STORE_OUTAGE = "store outage"
    NOT_LISTED = "service not listed then"
    IN_PROGRESS = "hour in progress"


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Number of calls by result."""

    served: int = 0
    failed: int = 0
    refused: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of both counts."""
        return Counts(
            served=self.served + other.served,
            failed=self.failed + other.failed,
            refused=self.refused + other.refused,
        )

    def state(self) -> ServiceState:
        """Derive the state of the service from the counts.

        Refused calls don't count: a caller above its rate limit or with a
        withdrawn key tells nothing about the service.
        """
        failed_fraction = self.failed / max(1, self.served + self.failed)
        if failed_fraction >= OUTAGE_FRACTION:
            return ServiceState.OUTAGE
        if failed_fraction >= DEGRADED_FRACTION:
            return ServiceState.DEGRADED
        return ServiceState.OPERATIONAL


def total(counts: Iterable[Counts]) -> Counts:
    """Return the sum of all counts."""
    result = Counts()
    for each in counts:
        result = result.plus(each)
    return result


def worst(states: Iterable[ServiceState]) -> ServiceState:
    """Return the worst state; ``NOT_OBSERVED`` is worse than operational."""
    order = list(ServiceState)
    return max(states, key=order.index, default=ServiceState.NOT_OBSERVED)


class StatusObserver(ABC):
    """Counter of call results by service."""

    @abstractmethod
    def observe(self, service: ServiceId, result: CallResult) -> None:
        """Count one call of a service."""


class StatusRoutes(ABC):
    """HTTP routes of the public status page, which need no key.

    The front end of callers adds them to its own routes.
    """

    @abstractmethod
    def status_routes(self) -> dict[str, RouteHandler]:
        """Return the handlers of GET routes by path."""
