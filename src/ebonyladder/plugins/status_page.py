"""Public status: exchange of observations, hour records, and the status page.

Of the members in rendezvous order for a service, the first writes its records
and the second buffers a copy of the observations. One pair of VMs reads the store
for the page and answers the other VMs, so that the number of store calls does not
grow with the number of VMs.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterator

import msgspec
from absl import logging
from aiohttp import web

from ebonyladder._history_writer import HistoryWriter
from ebonyladder._status_exchange import Exchange
from ebonyladder._status_html import html_chunks, json_chunks
from ebonyladder._status_snapshot import Snapshot, SnapshotReader, pack, unpack
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import EbonyladderError, PeerError, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, StatusAnswer, StatusRequest
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.routing import rendezvous_order
from ebonyladder.status import (
    SECONDS_PER_HOUR,
    CallResult,
    RouteHandler,
    StatusObserver,
    StatusRoutes,
)
from ebonyladder.store import PlatformStore
from ebonyladder.types import ServiceId

TICK_INTERVAL_S = 30
# Page views are answered from a snapshot up to this age.
MAX_SNAPSHOT_AGE_S = 60
SNAPSHOT_TIMEOUT_S = 3
READER_RENDEZVOUS_KEY = "status/page"
READER_COUNT = 2

# The page runs no scripts, loads nothing and cannot be framed.
SECURITY_HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "Cache-Control": "max-age=30",
    "Vary": "Accept-Encoding",
}

# Window bits that make zlib write the gzip format.
GZIP_WBITS = 31

ChunkRenderer = Callable[[Snapshot, float], Iterator[bytes]]


class RenderedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response bodies, plain and gzip, with the snapshot that they show."""

    snapshot: Snapshot
    plain: bytes
    compressed: bytes


@register
class StatusPagePlugin(Plugin, StatusObserver, StatusRoutes):
    """Observe, record and show the public status."""

    name = "status_page"
    provides = (StatusObserver, StatusRoutes)
    requires = (PlatformStore, PeerConnections, Membership, ConfigurationSource)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.snapshot = Snapshot()
        self.snapshot_at_s: float | None = None
        self.read_lock = asyncio.Lock()
        self.render_lock = asyncio.Lock()
        self.pages: dict[str, RenderedPage] = {}

    async def start(self) -> None:
        """Register the message handlers and start the task."""
        self.store = self.kernel.get(PlatformStore)
        self.peers = self.kernel.get(PeerConnections)
        self.membership = self.kernel.get(Membership)
        self.configuration = self.kernel.get(ConfigurationSource)
        self.writer = HistoryWriter(store=self.store)
        self.reader = SnapshotReader(store=self.store)
        self.exchange = Exchange(
            vm=self.kernel.settings.vm,
            peers=self.peers,
            membership=self.membership,
            writer=self.writer,
            clock=self.kernel.clock,
        )
        self.exchange.start()
        self.peers.handle(StatusRequest, self._answer_snapshot)
        self.kernel.supervise(self._run, name="status")

    async def drain(self) -> None:
        """Write the buffered observations, or hand them over to other VMs."""
        await self.exchange.drain()

    def observe(self, service: ServiceId, result: CallResult) -> None:
        """Count one call, unless the service is not configured."""
        if service not in self.configuration.current.services:
            return
        self.exchange.minute_counter.observe(
            service, result, self.kernel.clock.wall_s()
        )

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except EbonyladderError as error:
                logging.warning("[status] Tick failed. error=%s", error)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def tick(self) -> None:
        """Send observations, write records, keep the index up to date."""
        await self._update_index()
        await self.exchange.tick(list(self.configuration.current.services))

    async def _update_index(self) -> None:
        version = self.configuration.version
        if version <= self.reader.index.version or not self._is_reader():
            return
        try:
            hour = int(self.kernel.clock.wall_s() // SECONDS_PER_HOUR)
            self.reader.index = await self.writer.update_index(
                self.configuration.current, version, hour
            )
        except StoreError as error:
            logging.warning(
                "[status] Index of services was not written. error=%s", error
            )

    def _readers(self) -> list[str]:
        vms = [member.vm for member in self.membership.members()]
        return rendezvous_order(READER_RENDEZVOUS_KEY, vms)[:READER_COUNT]

    def _is_reader(self) -> bool:
        return self.kernel.settings.vm in self._readers()

    async def current(self) -> Snapshot:
        """Return the snapshot; read it again if it is too old.

        Requests that arrive during a read wait for it and share its result.
        """
        async with self.read_lock:
            now_s = self.kernel.clock.now_s()
            at_s = self.snapshot_at_s
            if at_s is None or now_s - at_s >= MAX_SNAPSHOT_AGE_S:
                self.snapshot = await self._load_snapshot()
                self.snapshot_at_s = now_s
            return self.snapshot

    async def _load_snapshot(self) -> Snapshot:
        if not self._is_reader():
            for vm in self._readers():
                try:
                    answer = await self.peers.call(
                        vm, StatusRequest(), timeout_s=SNAPSHOT_TIMEOUT_S
                    )
                    return unpack(answer.snapshot)
                except (PeerError, ValueError) as error:
                    logging.info(
                        "[status] Reader VM did not send a snapshot. vm=%s e=%s",
                        vm,
                        error,
                    )
        return await self.reader.read(self.kernel.clock.wall_s())

    async def _answer_snapshot(self, peer: PeerIdentity, message: Message) -> Message:
        # The answer comes from this VM's own read: forwarding the request could loop.
        async with self.read_lock:
            now_s = self.kernel.clock.now_s()
            at_s = self.snapshot_at_s
            if at_s is None or now_s - at_s >= MAX_SNAPSHOT_AGE_S:
                self.snapshot = await self.reader.read(self.kernel.clock.wall_s())
                self.snapshot_at_s = now_s
            return StatusAnswer(snapshot=pack(self.snapshot))

    def status_routes(self) -> dict[str, RouteHandler]:
        """Return the handlers of GET routes by path."""
        return {"/status": self._get_page, "/status.json": self._get_json}

    async def _get_page(self, request: web.Request) -> web.Response:
        return await self._respond(request, "text/html", html_chunks)

    async def _get_json(self, request: web.Request) -> web.Response:
        return await self._respond(request, "application/json", json_chunks)

    async def _respond(
        self, request: web.Request, content_type: str, render_chunks: ChunkRenderer
    ) -> web.Response:
        snapshot = await self.current()
        async with self.render_lock:
            page = self.pages.get(content_type)
            if page is None or page.snapshot is not snapshot:
                page = await self._render(snapshot, render_chunks)
                self.pages[content_type] = page
        headers = dict(SECURITY_HEADERS)
        body = page.plain
        if "gzip" in request.headers.get("Accept-Encoding", ""):
            headers["Content-Encoding"] = "gzip"
            body = page.compressed
        return web.Response(
            body=body, content_type=content_type, charset="utf-8", headers=headers
        )

    async def _render(
        self, snapshot: Snapshot, render_chunks: ChunkRenderer
    ) -> RenderedPage:
        """Render a page once for all requests of a snapshot.

        Rendering yields to other tasks after each service, so that it does not
        delay statements.
        """
        compressor = zlib.compressobj(wbits=GZIP_WBITS)
        plain: list[bytes] = []
        compressed: list[bytes] = []
        for chunk in render_chunks(snapshot, self.kernel.clock.wall_s()):
            plain.append(chunk)
            compressed.append(compressor.compress(chunk))
            await asyncio.sleep(0)
        compressed.append(compressor.flush())
        return RenderedPage(
            snapshot=snapshot, plain=b"".join(plain), compressed=b"".join(compressed)
        )
