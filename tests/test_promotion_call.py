"""Call that promotes an endpoint, over real sockets."""

import asyncio
import json

import pytest
from aiohttp import web

from ebonyladder.kernel.error import Outcome, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.platform.promotion import PlatformPromotionClient
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.types import Address, EndpointId, ServiceId, VmId, ZoneId
from soak.proxy import FaultProxy, Mode
from tests.platform_fleet import until

TIMEOUT_S = 0.3


class World:
    """Promotion client before a platform that a fault proxy stands in front of."""

    def __init__(self) -> None:
        self.calls: list[tuple[dict, str]] = []
        self.status = 200

    async def start(self) -> None:
        """Start the platform, the proxy and the client."""
        application = web.Application()
        application.router.add_post("/promote", self._promote)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(target=f"127.0.0.1:{port}")
        address = Address(await self.proxy.start())
        unused = Address("127.0.0.1:1")
        self.client = PlatformPromotionClient(
            kernel=Kernel(
                settings=SessionSettings(
                    vm=VmId("vm-1"),
                    zone=ZoneId("a"),
                    regions={},
                    callers=unused,
                    readiness=unused,
                    peer=unused,
                    metrics=unused,
                    store=unused,
                    promotion=address,
                ),
                registry=Registry(),
            )
        )

    async def stop(self) -> None:
        """Stop the proxy and the platform."""
        self.proxy.stop()
        await self.runner.cleanup()

    async def promote(self, may_send=lambda: True) -> bool:
        """Call the platform."""
        return await self.client.promote(
            service=ServiceId("ledger"),
            endpoint=EndpointId("near"),
            holder=VmId("vm-1"),
            token=7,
            timeout_s=TIMEOUT_S,
            may_send=may_send,
        )

    async def _promote(self, request: web.Request) -> web.Response:
        token = request.headers["X-Ebonyladder-Fencing-Token"]
        self.calls.append((json.loads(await request.text()), token))
        return web.Response(status=self.status)


def run(scenario):
    """Run a scenario with a started world."""

    async def run_world():
        world = World()
        await world.start()
        try:
            return await scenario(world)
        finally:
            await world.stop()

    return asyncio.run(run_world())


class TestAnswer:
    @pytest.mark.parametrize(("status", "expected"), [(200, True), (409, False)])
    def test_answer_tells_whether_the_endpoint_runs(self, status, expected):
        async def scenario(world):
            world.status = status
            return await world.promote(), world.calls

        result, calls = run(scenario)
        assert result is expected
        assert calls == [({"service": "ledger", "id": "near"}, "7")]


class TestLateCall:
    """Guards against a lower fencing token after a higher one."""

    def test_lease_is_checked_after_connecting(self):
        # A VM that was paused while it connected sent its request when it went on.
        async def scenario(world):
            checks = []

            def may_send():
                checks.append("checked")
                return False

            with pytest.raises(StoreError) as raised:
                await world.promote(may_send)
            await asyncio.sleep(0.05)
            world.proxy.stop()
            with pytest.raises(StoreError):
                await world.promote(may_send)
            return raised.value.outcome, checks, world.calls

        outcome, checks, calls = run(scenario)
        assert outcome is Outcome.NOT_RUN
        assert checks == ["checked"], "not checked without a connection"
        assert calls == []

    def test_call_that_timed_out_does_not_arrive_after_a_partition(self):
        # The kernel transmits what it has accepted, unless the connection is reset.
        async def scenario(world):
            world.proxy.set_mode(Mode.BLACKHOLE)
            with pytest.raises(StoreError) as raised:
                await world.promote()
            await asyncio.sleep(0.05)
            world.proxy.set_mode(Mode.PASS)
            await until(lambda: not world.proxy.writers, "the end of the connection")
            return raised.value.outcome, world.calls

        outcome, calls = run(scenario)
        assert outcome is Outcome.UNKNOWN
        assert calls == []
