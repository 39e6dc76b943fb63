"""Readiness probe, metrics and state over HTTP."""

from typing import Any, ClassVar

from absl import logging
from aiohttp import web

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.state_view import describe
from ebonyladder.sessions.store_era import StoreEraTracker
from ebonyladder.settings import split_address


@register
class ProbeServer(Plugin):
    """Answers the load balancer's probes and serves metrics and state."""

    name: ClassVar[str] = "probe"
    requires: ClassVar[tuple[type, ...]] = (
        Readiness,
        Metrics,
        SessionFactory,
        StoreEraTracker,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        self.readiness = self.kernel.get(Readiness)
        self.metrics = self.kernel.get(Metrics)
        settings = self.kernel.settings
        await self._serve(settings.readiness, {"/readiness": self._handle_readiness})
        await self._serve(
            settings.metrics,
            {"/metrics": self._handle_metrics, "/state": self._handle_state},
        )

    async def stop(self) -> None:
        """Close both listeners."""
        for runner in self.runners:
            await runner.cleanup()

    async def _serve(self, address: str, handlers: dict[str, Any]) -> None:
        app = web.Application()
        for path, handler in handlers.items():
            app.router.add_get(path, handler)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        self.runners.append(runner)
        logging.info(
            "[probe] Listening. address=%s paths=%s", address, ",".join(handlers)
        )

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        is_ready = self.readiness.is_ready(is_draining=self.kernel.draining)
        return web.Response(status=200 if is_ready else 503)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self.metrics.render(), content_type="text/plain")

    async def _handle_state(self, request: web.Request) -> web.Response:
        pools = self.kernel.get(SessionFactory).pools
        era = self.kernel.get(StoreEraTracker).known
        cluster = self.kernel.get(ClusterView)
        return web.json_response(describe(cluster, pools, era=era))
