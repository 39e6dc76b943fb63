"""Catalog of the session daemon: routes, organisations and services."""

from enum import Enum
from typing import NewType

import msgspec

from ebonyladder.types import ConfigurationVersion, OrganisationId, RegionId, ServiceId

DatabaseName = NewType("DatabaseName", str)
CallerKey = NewType("CallerKey", str)

# Organisation of statements on open routes, whose callers have no key.
OPEN_ORGANISATION = OrganisationId("-")


class Consistency(Enum):
    """Consistency of the reads on a route."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Route from a database name to a service.

    Attributes
    ----------
    statement_timeout_s : float
        Timeout of one statement, in seconds.
    objective_s : float
        Latency objective of one operation, in seconds.
    max_age_s : float
        Maximum staleness of reads, in seconds; unused for PRIMARY.
    regions : frozenset of RegionId
        Regions whose endpoints may serve the route; empty for all.
    is_open : bool
        Whether callers need no key.
    """

    database: DatabaseName
    service: ServiceId
    consistency: Consistency
    statement_timeout_s: float
    objective_s: float
    max_age_s: float = 0.0
    priority: int = 0
    regions: frozenset[RegionId] = frozenset()
    is_open: bool = False


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """Organisation with its fleet-wide rate limit, in operations per second."""

    name: OrganisationId
    rate_per_s: float
    burst: float
    regions: frozenset[RegionId] = frozenset()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Service: one primary and its replicas.

    Attributes
    ----------
    max_connections : int
        Connections that one endpoint accepts from all VMs together.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """

    name: ServiceId
    max_connections: int
    sync_replicas: int


class Catalog(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes
    ----------
    transaction_idle_s : float
        Idle time in a transaction after which it may be aborted, in seconds.
    """

    version: ConfigurationVersion
    routes: dict[DatabaseName, Route]
    services: dict[ServiceId, Service]
    organisations: dict[OrganisationId, Organisation]
    keys: dict[CallerKey, OrganisationId]
    transaction_idle_s: float

    def organisation_of(self, key: CallerKey) -> Organisation | None:
        """Return the organisation of a key, None for an unknown key."""
        name = self.keys.get(key)
        return None if name is None else self.organisations.get(name)
