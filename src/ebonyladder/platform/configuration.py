"""Objects that the operator and the databases write, decoded into the roster."""

import asyncio
from collections.abc import Mapping
from typing import Any

import msgspec
from absl import logging

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
from ebonyladder.sessions.endpoint_registry import EndpointRegistry
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
# Pause between looks at entries that are missing, in seconds.
EXPIRY_PERIOD_S = 0.25

CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}


class _Route(msgspec.Struct, kw_only=True):
    # The name under which clients connect, not the name of a database's service.
    database: str
    type: str
    service: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    max_staleness_ms: float = 0.0
    priority: int = 0
    public: bool = False
    allowed_regions: list[str] = []


class _Service(msgspec.Struct, kw_only=True):
    name: str
    max_connections: int
    sync_replicas: int = 0


class _Tenant(msgspec.Struct, kw_only=True):
    name: str
    api_keys: list[str] = []
    # Operations, not statements.
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    tx_idle_ms: float = 3000.0


class _Config(msgspec.Struct, kw_only=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Server(msgspec.Struct, kw_only=True):
    service: str
    address: str
    zone: str
    # Statements that run at once.
    capacity: int
    state: str
    db_role: str
    born: int = 0


def _regions(names: list[str]) -> frozenset[RegionId]:
    return frozenset(RegionId(name) for name in names)


def decode_catalog(content: Any) -> Catalog:
    """Return the catalog in the content of the configuration object.

    Raises
    ------
    msgspec.ValidationError
        If the content has another form.
    """
    found = msgspec.convert(content, _Config)
    routes = [
        Route(
            database=DatabaseName(route.database),
            service=ServiceId(route.service),
            consistency=CONSISTENCIES.get(route.type, Consistency.PRIMARY),
            statement_timeout_s=route.timeout_ms / 1000,
            objective_s=route.target_latency_ms / 1000,
            max_age_s=route.max_staleness_ms / 1000,
            priority=route.priority,
            regions=_regions(route.allowed_regions),
            is_open=route.public,
        )
        for route in found.routes
    ]
    organisations = [
        Organisation(
            name=OrganisationId(tenant.name),
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            regions=_regions(tenant.allowed_regions),
        )
        for tenant in found.tenants
    ]
    services = [
        Service(
            name=ServiceId(service.name),
            max_connections=service.max_connections,
            sync_replicas=service.sync_replicas,
        )
        for service in found.services
    ]
    return Catalog(
        version=ConfigurationVersion(found.version),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        organisations={o.name: o for o in organisations},
        keys={
            CallerKey(key): OrganisationId(tenant.name)
            for tenant in found.tenants
            for key in tenant.api_keys
        },
        transaction_idle_s=found.limits.tx_idle_ms / 1000,
    )


def decode_endpoint(name: str, content: Any) -> EndpointEntry | None:
    """Return the endpoint of an entry, None for one that can't be read."""
    try:
        found = msgspec.convert(content, _Server)
        return EndpointEntry(
            id=EndpointId(name),
            service=ServiceId(found.service),
            address=Address(found.address),
            zone=ZoneId(found.zone),
            slots=found.capacity,
            state={"ready": EndpointState.ACTIVE, "draining": EndpointState.LEAVING}[
                found.state
            ],
            role=Role(found.db_role),
            process_started_at_ms=found.born,
        )
    except (msgspec.ValidationError, KeyError, ValueError) as error:
        logging.warning("[platform] Entry is unreadable. name=%s error=%r", name, error)
        return None


class CatalogWatcher(KindWatcher):
    """Brings the operator's configuration into the roster."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=CONFIG, wait_s=SHORT_WAIT_S)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Adopt a newer configuration."""
        found = objects.get(CONFIG_NAME)
        if found is None:
            return
        try:
            catalog = decode_catalog(found.content)
        except msgspec.ValidationError as error:
            logging.error("[platform] Configuration is unreadable. error=%s", error)
            return
        if self.cluster.apply_catalog(catalog):
            logging.info(
                "[platform] Configuration is in force. version=%d revision=%d",
                catalog.version,
                found.revision,
            )


class EndpointWatcher(KindWatcher):
    """Brings the databases' own entries into the roster."""

    def __init__(self, *, store: ObjectStore, endpoints: EndpointRegistry) -> None:
        super().__init__(store=store, kind=SERVERS, wait_s=2 * SHORT_WAIT_S)
        self.endpoints = endpoints

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Take over the readable entries."""
        entries = [decode_endpoint(o.name, o.content) for o in objects.values()]
        self.endpoints.update({e.id: e for e in entries if e is not None})


class EvacuationWatcher(KindWatcher):
    """Brings the zones that take no work into the roster."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=EVACUATIONS, wait_s=SHORT_WAIT_S)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the closed zones."""
        zones = frozenset(ZoneId(name) for name in objects)
        if zones != self.cluster.closed_zones:
            logging.info("[platform] Closed zones change. zones=%s", sorted(zones))
            self.cluster.apply_endpoints(self.cluster.endpoints, zones)


@register
class PlatformWatches(Plugin):
    """Runs the watches of what others write into the store."""

    name = "platform-watches"
    requires = (ObjectStore, ClusterView, WatchManager)

    async def start(self) -> None:
        """Start one task for each kind."""
        store = self.kernel.get(ObjectStore)
        cluster = self.kernel.get(ClusterView)
        endpoints = EndpointRegistry(cluster=cluster, clock=self.kernel.clock)
        watch_manager = self.kernel.get(WatchManager)
        watch_manager.add(CatalogWatcher(store=store, cluster=cluster))
        watch_manager.add(EndpointWatcher(store=store, endpoints=endpoints))
        watch_manager.add(EvacuationWatcher(store=store, cluster=cluster))
        self.kernel.spawn(self._expire(endpoints), name="endpoint-list")

    async def _expire(self, endpoints: EndpointRegistry) -> None:
        watch_manager = self.kernel.get(WatchManager)
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            if watch_manager.is_watching:
                endpoints.expire()
            else:
                endpoints.absent_since_s.clear()
