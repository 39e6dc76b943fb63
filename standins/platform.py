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


def configuration(
    version: int = 1, *, keys: tuple[str, ...] = (KEY,), rate_per_s: int = 500
) -> dict[str, Any]:
    """Return a configuration with one route of each type."""
    routes = [
        {
            "name": f"r-{type}",
            "database": database,
            "type": type,
            "timeout_ms": 1_000,
            "target_latency_ms": 1_000,
            "service": SERVICE,
            "max_staleness_ms": 2_000,
        }
        for database, type in (
            ("pay", "primary"),
            ("gallery", "bounded_staleness"),
            ("book", "read_your_writes"),
        )
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "max_connections": 32, "sync_replicas": 1}],
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
    """All services outside of the daemons: object store, databases, promotion."""

    def __init__(self) -> None:
        self.store = ObjectStoreServer()
        self.service = DatabaseService(name=SERVICE, zones=DATABASES)
        self.runners: list[web.AppRunner] = []
        self.store_address = ""
        self.promotion_address = ""
        self.heartbeats: asyncio.Task | None = None
        # Addresses to announce instead of those of the databases, by id.
        self.announced_addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Start all services on free loopback ports."""
        await self.service.start()
        self.store_address = await self._listen(self.store.application())
        promotion = web.Application()
        promotion.router.add_post("/promote", self._promote)
        self.promotion_address = await self._listen(promotion)
        self.store.put("config", "main", configuration())
        self.heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop all services."""
        self.heartbeats.cancel()
        await self.service.stop()
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
        is_running = self.service.promote(body["id"], token)
        return web.Response(status=200 if is_running else 409)

    async def _send_heartbeats(self) -> None:
        """Write the entry of each running database, as databases do themselves."""
        while True:
            for name, database in self.service.databases.items():
                if not database.is_down:
                    entry = self.service.entry(name)
                    entry["address"] = self.announced_addresses.get(
                        name, entry["address"]
                    )
                    self.store.put("servers", name, entry)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
