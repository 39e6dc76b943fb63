"""Stand-in for the users' platform: object store, databases and promotion call."""

import asyncio
from typing import Any

from aiohttp import web

from standins.object_store import ObjectStoreServer
from standins.statement_database import DatabaseService

SERVICE = "square-ledger-1"
ZONES = {
    "caerdydd-a": "cymru-de",
    "bangor-a": "cymru-gog",
    "aber-a": "cymru-gor",
}
DATABASES = {f"i-{i}": zone for i, zone in enumerate(ZONES)}
KEY = "council-key"
HEARTBEAT_INTERVAL_S = 0.1
# Timeout of the routes in milliseconds.
TIMEOUT_MS = 1_000


def service_name(index: int) -> str:
    """Return the name of a service, counted from 0."""
    return f"square-ledger-{index + 1}"


def route_suffix(index: int) -> str:
    """Return what the databases of a service's routes end with."""
    return str(index) if index else ""


def configuration(
    version: int = 1,
    *,
    keys: tuple[str, ...] = (KEY,),
    rate_per_s: int = 500,
    service_count: int = 1,
) -> dict[str, Any]:
    """Return a configuration with one route of each type for each service."""
    routes = [
        {
            "name": f"r-{type}{route_suffix(index)}",
            "database": database + route_suffix(index),
            "type": type,
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 1_000,
            "service": service_name(index),
            "max_staleness_ms": 2_000,
        }
        for index in range(service_count)
        for database, type in (
            ("pay", "primary"),
            ("gallery", "bounded_staleness"),
            ("book", "read_your_writes"),
        )
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": service_name(index), "max_connections": 32, "sync_replicas": 1}
            for index in range(service_count)
        ],
        "limits": {"tx_idle_ms": 3_000},
        "tenants": [
            {
                "name": "council",
                "api_keys": list(keys),
                "rate_per_s": rate_per_s,
                "burst": rate_per_s,
            }
        ],
    }


class Platform:
    """All services outside of the daemons: object store, databases, promotion.

    Parameters
    ----------
    service_count : int
        Number of database services.
    promote_s, notice_s : float
        Passed to each ``DatabaseService``.
    expiry_s : float
        Time after which the entry of a database without heartbeats is removed, in
        seconds.

    Attributes
    ----------
    promotion_calls : list of tuple
        Service, holder and fencing token of each promotion call, as they arrived.
    """

    def __init__(
        self,
        *,
        service_count: int = 1,
        promote_s: float = 0.0,
        notice_s: float = 0.0,
        expiry_s: float = float("inf"),
    ) -> None:
        self.store = ObjectStoreServer()
        self.services = [
            DatabaseService(
                name=service_name(index),
                zones={
                    f"{name}{route_suffix(index)}": z for name, z in DATABASES.items()
                },
                promote_s=promote_s,
                notice_s=notice_s,
            )
            for index in range(service_count)
        ]
        self.expiry_s = expiry_s
        self.beaten_at_s: dict[str, float] = {}
        self.promotion_calls: list[tuple[str, str, int]] = []
        # Number of answers to promotion calls to lose.
        self.lost_promotion_answers = 0
        self.runners: list[web.AppRunner] = []
        self.store_address = ""
        self.promotion_address = ""
        self.heartbeats: asyncio.Task | None = None
        # Addresses to announce instead of those of the databases, by id.
        self.announced_addresses: dict[str, str] = {}

    @property
    def service(self) -> DatabaseService:
        """First database service."""
        return self.services[0]

    async def start(self) -> None:
        """Start all services on free loopback ports."""
        for service in self.services:
            await service.start()
        self.store_address = await self._listen(self.store.application())
        promotion = web.Application()
        promotion.router.add_post("/promote", self._promote)
        self.promotion_address = await self._listen(promotion)
        content = configuration(service_count=len(self.services))
        self.store.put("config", "main", content)
        self.heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop all services."""
        self.heartbeats.cancel()
        for service in self.services:
            await service.stop()
        for runner in self.runners:
            await runner.cleanup()

    async def _listen(self, application: web.Application) -> str:
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        token = int(request.headers["X-Ebonyladder-Fencing-Token"])
        holder = request.headers["X-Ebonyladder-Lease-Holder"]
        self.promotion_calls.append((body["service"], holder, token))
        service = next(s for s in self.services if s.name == body["service"])
        is_running = service.promote(body["id"], token)
        if self.lost_promotion_answers:
            self.lost_promotion_answers -= 1
            request.transport.close()
        return web.Response(status=200 if is_running else 409)

    async def _send_heartbeats(self) -> None:
        """Write the entry of each running database, as databases do themselves."""
        clock = asyncio.get_running_loop().time
        while True:
            for service in self.services:
                for name, database in service.databases.items():
                    if not database.is_down:
                        self.beat(service, name)
            for name, beaten_at_s in list(self.beaten_at_s.items()):
                if clock() - beaten_at_s > self.expiry_s:
                    self.withdraw(name)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def beat(self, service: DatabaseService, name: str) -> None:
        """Write the entry of one database, unless its reports are lost."""
        database = service.databases[name]
        if database.is_unlisted:
            return
        self.beaten_at_s[name] = asyncio.get_running_loop().time()
        entry = service.entry(name)
        entry["address"] = self.announced_addresses.get(name, entry["address"])
        self.store.put("servers", name, entry)
        service.listed.add(database.process)

    def withdraw(self, name: str) -> None:
        """Remove the entry of a database."""
        if self.beaten_at_s.pop(name, None) is not None:
            self.store.remove("servers", name)
