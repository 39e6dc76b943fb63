"""Public status of services: results, counts, states."""

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

# Shares of failed calls among those that the service had to answer.
DEGRADED_SHARE = 0.01
OUTAGE_SHARE = 0.5

RouteHandler = Callable[[web.Request], Awaitable[web.Response]]


class CallResult(Enum):
    """What a caller got, as counted for the public status."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"


class ServiceState(Enum):
    """State of a service, from best to worst; not-observed is the unknown."""

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
        """Return the sum of both."""
        return Counts(
            served=self.served + other.served,
            failed=self.failed + other.failed,
            refused=self.refused + other.refused,
        )

    def state(self) -> ServiceState:
        """Return the state that the counts show.

        Refused calls are left out: a caller above its rate or with a
        withdrawn key says nothing about the service.
        """
        share = self.failed / max(1, self.served + self.failed)
        if share >= OUTAGE_SHARE:
            return ServiceState.OUTAGE
        if share >= DEGRADED_SHARE:
            return ServiceState.DEGRADED
        return ServiceState.OPERATIONAL


def total(counts: Iterable[Counts]) -> Counts:
    """Return the sum of all counts."""
    result = Counts()
    for one in counts:
        result = result.plus(one)
    return result


def worse(states: Iterable[ServiceState]) -> ServiceState:
    """Return the worst of the states; an unknown is worse than operational."""
    order = list(ServiceState)
    return max(states, key=order.index, default=ServiceState.NOT_OBSERVED)


class StatusObserver(ABC):
    """Count what callers of each service got."""

    @abstractmethod
    def observe(self, service: ServiceId, result: CallResult) -> None:
        """Count one request."""


class StatusRoutes(ABC):
    """Open routes of the public status page, for the caller front to mount."""

    @abstractmethod
    def status_routes(self) -> dict[str, RouteHandler]:
        """Return the handlers of GET routes by path."""
