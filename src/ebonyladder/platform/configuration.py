"""Watchers that apply the operator's and the endpoints' objects to the cluster view."""

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Annotated, Any

import msgspec
from absl import logging

from ebonyladder._schema import address_problem
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.catalog import (
    CallerKey,
    Catalog,
    Consistency,
    DatabaseName,
    Organisation,
    Route,
    Service,
)
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.endpoint_registry import EndpointDirectory, EndpointRegistry
from ebonyladder.sessions.objects import Kind, ObjectStore, StoreObject
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.sessions.watcher import SHORT_WAIT_S, KindWatcher
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    EndpointState,
    OrganisationId,
    RegionId,
    Role,
    ServiceId,
    ZoneId,
)

CONFIG = Kind("config")
SERVERS = Kind("servers")
EVACUATIONS = Kind("evacuations")
CONFIG_NAME = "main"
# Interval between checks for endpoints whose entries stay missing, in seconds.
EXPIRY_CHECK_INTERVAL_S = 0.25

CONSISTENCY_BY_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}


# Ranges within which the daemon can compute; values outside are taken as errors of the
# writer. Timers fail with times far beyond the lifetime of a process.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
ConnectionCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Version = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class _Route(msgspec.Struct, kw_only=True):
    # Name that callers connect to, not the name of the service behind it.
    database: str
    type: str
    service: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 1000.0
    max_staleness_ms: Milliseconds = 0.0
    priority: int = 0
    public: bool = False
    allowed_regions: list[str] = []


class _Service(msgspec.Struct, kw_only=True):
    name: str
    max_connections: ConnectionCount
    sync_replicas: int = 0


class _Tenant(msgspec.Struct, kw_only=True):
    name: str
    api_keys: list[str] = []
    # Operations, not statements.
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    tx_idle_ms: Milliseconds = 3000.0


class _Config(msgspec.Struct, kw_only=True):
    version: Version
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Server(msgspec.Struct, kw_only=True):
    service: str
    address: str
    zone: str
    # Statements that run concurrently.
    capacity: SlotCount
    state: str
    db_role: str
    born: UnixMilliseconds = 0


def _regions(names: list[str]) -> frozenset[RegionId]:
    return frozenset(RegionId(name) for name in names)


def decode_catalog(content: Any) -> Catalog:
    """Decode the content of the configuration object.

    Raises
    ------
    msgspec.ValidationError
        If the content doesn't match the schema.
    """
    config = msgspec.convert(content, _Config)
    routes = [
        Route(
            database=DatabaseName(route.database),
            service=ServiceId(route.service),
            consistency=CONSISTENCY_BY_TYPE.get(route.type, Consistency.PRIMARY),
            statement_timeout_s=route.timeout_ms / 1000,
            objective_s=route.target_latency_ms / 1000,
            max_age_s=route.max_staleness_ms / 1000,
            priority=route.priority,
            regions=_regions(route.allowed_regions),
            is_open=route.public,
        )
        for route in config.routes
    ]
    organisations = [
        Organisation(
            name=OrganisationId(tenant.name),
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            regions=_regions(tenant.allowed_regions),
        )
        for tenant in config.tenants
    ]
    services = [
        Service(
            name=ServiceId(service.name),
            max_connections=service.max_connections,
            sync_replicas=service.sync_replicas,
        )
        for service in config.services
    ]
    return Catalog(
        version=ConfigurationVersion(config.version),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        organisations={o.name: o for o in organisations},
        keys={
            CallerKey(key): OrganisationId(tenant.name)
            for tenant in config.tenants
            for key in tenant.api_keys
        },
        transaction_idle_s=config.limits.tx_idle_ms / 1000,
    )


def decode_endpoint(name: str, content: Any) -> EndpointEntry | None:
    """Decode an endpoint's entry; None if it is invalid."""
    try:
        server = msgspec.convert(content, _Server)
        problem = address_problem(server.address)
        if problem is not None:
            raise ValueError(problem)
        return EndpointEntry(
            id=EndpointId(name),
            service=ServiceId(server.service),
            address=Address(server.address),
            zone=ZoneId(server.zone),
            slots=server.capacity,
            state={"ready": EndpointState.ACTIVE, "draining": EndpointState.LEAVING}[
                server.state
            ],
            role=Role(server.db_role),
            process_started_at_ms=server.born,
        )
    except (msgspec.ValidationError, KeyError, ValueError) as error:
        logging.warning(
            "[platform] Endpoint entry is invalid. name=%s error=%r", name, error
        )
        return None


class CatalogWatcher(KindWatcher):
    """Applies the operator's configuration to the cluster view."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=CONFIG, wait_s=SHORT_WAIT_S)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Apply the configuration if it is newer."""
        stored = objects.get(CONFIG_NAME)
        if stored is None:
            return
        try:
            catalog = decode_catalog(stored.content)
        except msgspec.ValidationError as error:
            logging.error("[platform] Configuration is invalid. error=%s", error)
            return
        if self.cluster.apply_catalog(catalog):
            logging.info(
                "[platform] Configuration applied. version=%d revision=%d",
                catalog.version,
                stored.revision,
            )


class EndpointWatcher(KindWatcher):
    """Applies the entries that endpoints write about themselves to the cluster view."""

    def __init__(self, *, store: ObjectStore, endpoints: EndpointRegistry) -> None:
        super().__init__(store=store, kind=SERVERS, wait_s=2 * SHORT_WAIT_S)
        self.endpoints = endpoints

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Apply the valid entries."""
        entries = [decode_endpoint(o.name, o.content) for o in objects.values()]
        self.endpoints.update({e.id: e for e in entries if e is not None})


class EvacuationWatcher(KindWatcher):
    """Applies the list of evacuated availability zones to the cluster view."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=EVACUATIONS, wait_s=SHORT_WAIT_S)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the set of closed zones."""
        zones = frozenset(ZoneId(name) for name in objects)
        if zones != self.cluster.closed_zones:
            logging.info("[platform] Closed zones changed. zones=%s", sorted(zones))
            self.cluster.apply_endpoints(self.cluster.endpoints, zones)


@register
class PlatformWatches(Plugin, EndpointDirectory):
    """Watches the objects that the operator and the endpoints write to the store."""

    name = "platform-watches"
    provides = (EndpointDirectory,)
    requires = (ObjectStore, ClusterView, WatchManager)

    async def start(self) -> None:
        """Add one watcher for each kind, and start to expire missing endpoints."""
        store = self.kernel.get(ObjectStore)
        cluster = self.kernel.get(ClusterView)
        endpoints = EndpointRegistry(cluster=cluster, clock=self.kernel.clock)
        watch_manager = self.kernel.get(WatchManager)
        watch_manager.add(CatalogWatcher(store=store, cluster=cluster))
        watch_manager.add(EndpointWatcher(store=store, endpoints=endpoints))
        watch_manager.add(EvacuationWatcher(store=store, cluster=cluster))
        self.kernel.supervise(
            partial(self._expire_endpoints, endpoints), name="endpoint-list"
        )

    async def read(self) -> list[EndpointEntry]:
        """Read the valid entries of all endpoints from the store."""
        found = await self.kernel.get(ObjectStore).list(SERVERS)
        entries = [decode_endpoint(o.name, o.content) for o in found.objects]
        return [entry for entry in entries if entry is not None]

    async def _expire_endpoints(self, endpoints: EndpointRegistry) -> None:
        watch_manager = self.kernel.get(WatchManager)
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if watch_manager.is_watching:
                endpoints.expire()
            else:
                endpoints.absent_since_s.clear()
