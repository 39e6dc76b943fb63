"""Public status: observations to the writer, hour records, the page.

Of the members in rendezvous order for a service, the first writes its records
and the second holds a copy of the observations. One pair reads the store for
the page and answers the other VMs, so that store calls do not grow with them.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterator

import msgspec
from absl import logging
from aiohttp import web

from ebonyladder._history_writer import HistoryWriter
from ebonyladder._status_exchange import Exchange
from ebonyladder._status_html import html_parts, json_parts
from ebonyladder._status_snapshot import Snapshot, SnapshotReader, pack, unpack
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import EbonyladderError, PeerError, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, StatusAnswer, StatusRequest
from ebonyladder.peer import PeerIdentity, PeerLinks
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

TICK_S = 30
# Age up to which page views are answered without reading again.
SNAPSHOT_AGE_S = 60
SNAPSHOT_TIMEOUT_S = 3
READER_KEY = "status/page"
READERS = 2

# The page runs nothing, loads nothing and cannot be framed.
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

Parts = Callable[[Snapshot, float], Iterator[bytes]]


class RenderedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Page as it is sent, with the snapshot that it shows."""

    snapshot: Snapshot
    plain: bytes
    compressed: bytes


@register
class StatusPagePlugin(Plugin, StatusObserver, StatusRoutes):
    """Observe, record and show the public status."""

    name = "status_page"
    provides = (StatusObserver, StatusRoutes)
    requires = (PlatformStore, PeerLinks, Membership, ConfigurationSource)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.snapshot = Snapshot()
        self.snapshot_at_s: float | None = None
        self.reading = asyncio.Lock()
        self.rendering = asyncio.Lock()
        self.pages: dict[str, RenderedPage] = {}

    async def start(self) -> None:
        """Register the message handlers and start the task."""
        self.store = self.kernel.get(PlatformStore)
        self.peers = self.kernel.get(PeerLinks)
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
        self.kernel.spawn(self._run(), name="status")

    async def drain(self) -> None:
        """Write what this VM holds, or hand it to the VMs that take over."""
        await self.exchange.drain()

    def observe(self, service: ServiceId, result: CallResult) -> None:
        """Count one request; a service that is not configured is left out."""
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
            await asyncio.sleep(TICK_S)

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
        names = [member.vm for member in self.membership.members()]
        return rendezvous_order(READER_KEY, names)[:READERS]

    def _is_reader(self) -> bool:
        return self.kernel.settings.vm in self._readers()

    async def current(self) -> Snapshot:
        """Return the snapshot, read again if it is too old.

        Views that arrive during a read wait for it and share its result.
        """
        async with self.reading:
            now_s = self.kernel.clock.now_s()
            at_s = self.snapshot_at_s
            if at_s is None or now_s - at_s >= SNAPSHOT_AGE_S:
                self.snapshot = await self._obtain()
                self.snapshot_at_s = now_s
            return self.snapshot

    async def _obtain(self) -> Snapshot:
        if not self._is_reader():
            for vm in self._readers():
                try:
                    answer = await self.peers.call(
                        vm, StatusRequest(), timeout_s=SNAPSHOT_TIMEOUT_S
                    )
                    return unpack(answer.snapshot)
                except (PeerError, ValueError) as error:
                    logging.info("[status] Reader gave none. vm=%s e=%s", vm, error)
        return await self.reader.read(self.kernel.clock.wall_s())

    async def _answer_snapshot(self, peer: PeerIdentity, message: Message) -> Message:
        # A VM that is asked answers from its own reads; asking on could loop.
        async with self.reading:
            now_s = self.kernel.clock.now_s()
            at_s = self.snapshot_at_s
            if at_s is None or now_s - at_s >= SNAPSHOT_AGE_S:
                self.snapshot = await self.reader.read(self.kernel.clock.wall_s())
                self.snapshot_at_s = now_s
            return StatusAnswer(snapshot=pack(self.snapshot))

    def status_routes(self) -> dict[str, RouteHandler]:
        """Return the handlers of GET routes by path."""
        return {"/status": self._get_page, "/status.json": self._get_json}

    async def _get_page(self, request: web.Request) -> web.Response:
        return await self._respond(request, "text/html", html_parts)

    async def _get_json(self, request: web.Request) -> web.Response:
        return await self._respond(request, "application/json", json_parts)

    async def _respond(
        self, request: web.Request, content_type: str, parts: Parts
    ) -> web.Response:
        snapshot = await self.current()
        async with self.rendering:
            page = self.pages.get(content_type)
            if page is None or page.snapshot is not snapshot:
                page = await self._render(snapshot, parts)
                self.pages[content_type] = page
        headers = dict(SECURITY_HEADERS)
        body = page.plain
        if "gzip" in request.headers.get("Accept-Encoding", ""):
            headers["Content-Encoding"] = "gzip"
            body = page.compressed
        return web.Response(
            body=body, content_type=content_type, charset="utf-8", headers=headers
        )

    async def _render(self, snapshot: Snapshot, parts: Parts) -> RenderedPage:
        """Render once for all views of a snapshot.

        Rendering gives way to other tasks after each service, so that it does
        not delay statements.
        """
        compressor = zlib.compressobj(wbits=GZIP_WBITS)
        plain: list[bytes] = []
        compressed: list[bytes] = []
        for part in parts(snapshot, self.kernel.clock.wall_s()):
            plain.append(part)
            compressed.append(compressor.compress(part))
            await asyncio.sleep(0)
        compressed.append(compressor.flush())
        return RenderedPage(
            snapshot=snapshot, plain=b"".join(plain), compressed=b"".join(compressed)
        )
