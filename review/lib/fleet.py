"""Stand-in platform, and the project's daemons as processes on loopback addresses."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

from review.lib.databases import Database, Service
from standins.object_store import ObjectStoreServer, dump

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"caerdydd-a": "cymru-de", "bangor-a": "cymru-gog", "aber-a": "cymru-gor"}
SERVICE = "square-ledger"
KEY = "key-1"
HEARTBEAT_S = 1.2
FIRST_HOST = 41
# Largest page of a list: entries, and bytes.
PAGE_ENTRIES = 500
PAGE_BYTES = 1_048_576
BOUNDS = """
stability_ms = 5000
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 4000
rollback_slack_ms = 250
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
evacuation_ms = 5000
recovery_s = 12
fencing_required = false
thaw_slack_ms = 300
"""


def configuration(version: int = 1, *, keys: tuple[str, ...] = (KEY,)) -> dict:
    """Return a configuration with the routes of a small site."""
    routes = [
        {
            "name": f"r-{database}",
            "database": database,
            "path_prefix": "/",
            "type": type,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "max_staleness_ms": staleness_ms,
            "public": False,
            "allowed_regions": [],
        }
        for database, type, timeout_ms, staleness_ms in (
            ("pay", "primary", 1000, 0),
            ("gallery", "bounded_staleness", 3000, 1500),
            ("book", "read_your_writes", 1000, 2500),
        )
    ]
    service = {"name": SERVICE, "max_connections": 32, "sync_replicas": 1}
    tenant = {"name": "council", "api_keys": list(keys), "priority": 1}
    tenant |= {"rate_per_s": 200, "burst": 200, "allowed_regions": []}
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [tenant],
    }


class Record:
    """Lines of ``record.txt``, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.started_at_s = time.monotonic()
        self.file = path.open("w", buffering=1)

    def __call__(self, line: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at_s:8.3f} {line}\n")


class PagedStore(ObjectStoreServer):
    """Store whose lists come in pages."""

    async def list(self, request: web.Request) -> web.Response:
        """List the objects of a kind, or wait for its events."""
        if "watch" in request.query:
            return await super().list(request)
        after = request.query.get("after", "")
        found = sorted(self.objects.get(request.match_info["kind"], {}).items())
        names = [name for name, _ in found if name > after]
        items, size = [], 0
        for name, item in found:
            if name <= after:
                continue
            size += len(dump(item))
            if items and (size > PAGE_BYTES or len(items) == PAGE_ENTRIES):
                break
            items.append(item)
        has_more = len(items) < len(names)
        page = {"items": items, "has_more": has_more, "as_of": self.revision}
        return web.json_response(page, dumps=dump)


class Platform:
    """Store, heartbeats of the databases, and the call that promotes one."""

    def __init__(self, *, service: Service, record: Record) -> None:
        self.store = PagedStore()
        self.service = service
        self.record = record
        self.runners: list[web.AppRunner] = []
        self.beaten_at_s: dict[str, float] = {}
        self.store_address = self.promotion_address = ""

    async def start(self) -> None:
        """Listen, write the configuration and start the heartbeats."""
        await self.service.start()
        self.service.report = self.beat
        self.store_address = await self._listen(self.store.application())
        promotion = web.Application()
        promotion.router.add_post("/promote", self._promote)
        self.promotion_address = await self._listen(promotion)
        self.store.put("config", "main", configuration())
        for index, database in enumerate(self.service.databases.values()):
            self.service.spawn(self._beat(database, index * 0.3))
        self.service.spawn(self._expire())

    async def stop(self) -> None:
        """Stop listening."""
        self.service.stop()
        for runner in self.runners:
            await runner.cleanup()

    def beat(self, database: Database) -> None:
        """Write the entry of a database, as it does itself."""
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{database.port}",
            "zone": database.zone,
            "version": "v1",
            "capacity": 5,
            "state": database.state,
            "cold_remaining_ms": 0,
            "db_role": "primary" if database.is_primary else "replica",
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.store.put("servers", database.name, entry)
        self.beaten_at_s[database.name] = time.monotonic()

    async def _beat(self, database: Database, first_s: float) -> None:
        self.beat(database)
        await asyncio.sleep(first_s)
        while True:
            if database.is_up:
                self.beat(database)
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire(self) -> None:
        """Remove entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.02)
            for name, at_s in list(self.beaten_at_s.items()):
                if time.monotonic() - at_s >= 3 * HEARTBEAT_S:
                    del self.beaten_at_s[name]
                    self.store.remove("servers", name)
                    self.record(f"store: the entry of {name} has expired")

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder = request.headers["X-Ebonyladder-Lease-Holder"]
        token = request.headers["X-Ebonyladder-Fencing-Token"]
        is_running = self.service.promote(body["id"])
        self.record(
            f"platform: promote {body['id']} by {holder}, token {token}, "
            f"answered {200 if is_running else 409}"
        )
        return web.Response(status=200 if is_running else 409)

    async def _listen(self, application: web.Application) -> str:
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        return f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"


def free_ports(host: str) -> list[int]:
    """Return four free ports of a host; the first two are consecutive."""
    while True:
        sockets = [socket.socket() for _ in range(4)]
        try:
            sockets[0].bind((host, 0))
            first = sockets[0].getsockname()[1]
            sockets[1].bind((host, first + 1))
            for other in sockets[2:]:
                other.bind((host, 0))
            return [each.getsockname()[1] for each in sockets]
        except (OSError, OverflowError):
            continue
        finally:
            for each in sockets:
                each.close()


class Daemon:
    """One process of the role ``entry`` of the deploy file."""

    def __init__(
        self, *, index: int, zone: str, folder: Path, platform: Platform
    ) -> None:
        self.index = index
        self.name = f"frontend-{zone}-{index}"
        self.host = f"127.0.0.{FIRST_HOST + index}"
        self.ports = free_ports(self.host)
        self.folder = folder
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        zones = "\n".join(f'{name} = "{region}"' for name, region in ZONES.items())
        self.settings_path = folder / f"{self.name}.toml"
        self.settings_path.write_text(
            f'node_name = "{self.name}"\nrole = "entry"\nmachine_class = "frontend"\n'
            f'serves = ["frontend"]\nip = "{self.host}"\nzone = "{zone}"\n'
            f'region = "{ZONES[zone]}"\n'
            f"internal_ports = [{self.ports[0]}, {self.ports[1]}]\n"
            f"bootstrap = true\nheartbeat_ms = 1200\n[zones]\n{zones}\n"
            f'[bind_addresses]\nfrontend = "{self.host}:{self.ports[2]}"\n'
            f'ready = "{self.host}:{self.ports[3]}"\n'
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\n"
            f"file_descriptors = 4300\n[bounds]\n{BOUNDS}"
            f'[platform]\naddress = "{platform.store_address}"\nform = "objects"\n'
            f'[cloud]\naddress = "{platform.promotion_address}"\n'
        )

    @property
    def address(self) -> tuple[str, int]:
        """Address for clients."""
        return self.host, self.ports[2]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["EBONYLADDER_SETTINGS"] = str(self.settings_path)
        self.starts += 1
        log_path = self.folder / f"{self.name}.{self.starts}.log"
        with log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Tell whether the readiness probe answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ports[3])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Return once the readiness probe answers 200."""
        while True:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Fleet:
    """Platform and daemons of one case."""

    def __init__(self, *, size: int, promote_s: float, record: Record) -> None:
        self.size = size
        self.record = record
        databases = {f"i-{name}": zone for name, zone in zip("pab", ZONES, strict=True)}
        self.service = Service(
            name=SERVICE, zones=databases, promote_s=promote_s, record=record
        )
        self.platform = Platform(service=self.service, record=record)
        self.daemons: list[Daemon] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self) -> None:
        """Start everything, and wait until all daemons are ready."""
        if not (ROOT / "target/deps/ebonyladder").is_dir():
            sys.exit(2)
        await self.platform.start()
        zones = list(ZONES)
        for index in range(self.size):
            daemon = Daemon(
                index=index,
                zone=zones[index % len(zones)],
                folder=self.folder,
                platform=self.platform,
            )
            self.daemons.append(daemon)
            await daemon.start()
        async with asyncio.timeout(30):
            for daemon in self.daemons:
                await daemon.wait_ready()
        self.record(f"{self.size} daemons are ready")

    async def stop(self) -> None:
        """Stop the daemons and the platform."""
        for daemon in self.daemons:
            await daemon.stop()
        await self.platform.stop()
