"""Signals to the session daemon while it starts and stops."""

import asyncio
import os
import signal

import msgspec
import pytest

from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.sessions import daemon, reload
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.types import Address, VmId, ZoneId
from tests.platform_fleet import until

SETTINGS = SessionSettings(
    vm=VmId("vm-1"),
    zone=ZoneId("a"),
    regions={},
    callers=Address("127.0.0.1:1"),
    readiness=Address("127.0.0.1:2"),
    peer=Address("127.0.0.1:3"),
    metrics=Address("127.0.0.1:4"),
    store=Address("127.0.0.1:5"),
    promotion=Address("127.0.0.1:6"),
)


class TestSignals:
    """Guards against a signal that ends the process before callers are answered."""

    @pytest.fixture(autouse=True)
    def plugins(self, monkeypatch):
        self.file = SETTINGS
        self.events = []
        self.may_start = asyncio.Event()
        self.may_start.set()
        self.may_stop = asyncio.Event()
        test = self
        registry = Registry()

        class Recorder(Plugin):
            def record(self, step: str) -> None:
                test.events.append(f"{step} {self.name}")

            def reload(self) -> None:
                self.record(f"reload {self.kernel.settings.grace_s}")

            async def stop(self) -> None:
                self.record("stop")

        @registry.register
        class Front(Recorder):
            name = "a-front"

            async def start(self) -> None:
                self.record("start")

            async def drain(self) -> None:
                self.record("drain")
                await test.may_stop.wait()

        @registry.register
        class Slow(Recorder):
            name = "b-slow"

            async def start(self) -> None:
                await test.may_start.wait()
                self.record("start")

        monkeypatch.setattr(daemon, "REGISTRY", registry)
        monkeypatch.setattr(daemon, "discover", lambda package: None)

    async def run_daemon(self) -> None:
        """Run the daemon until it ends."""
        async with asyncio.timeout(10):
            await daemon.run_daemon(lambda: self.file, "adapter")

    def has(self, event: str):
        """Return a condition that holds once something was recorded."""
        return lambda: event in self.events

    def test_signal_during_the_start_drains_what_has_started(self):
        async def scenario() -> None:
            self.may_start.clear()
            running = asyncio.create_task(self.run_daemon())
            await until(self.has("start a-front"), "the front end")
            os.kill(os.getpid(), signal.SIGTERM)
            await until(self.has("drain a-front"), "the drain")
            self.may_stop.set()
            await running

        asyncio.run(scenario())
        assert self.events == ["start a-front", "drain a-front", "stop a-front"]

    def test_further_signals_leave_the_drain_running(self):
        async def scenario() -> None:
            running = asyncio.create_task(self.run_daemon())
            await until(self.has("start b-slow"), "the start")
            os.kill(os.getpid(), signal.SIGTERM)
            await until(self.has("drain a-front"), "the drain")
            os.kill(os.getpid(), signal.SIGTERM)
            self.file = msgspec.structs.replace(SETTINGS, grace_s=1.5)
            os.kill(os.getpid(), signal.SIGHUP)
            await until(self.has("reload 1.5 a-front"), "the reload")
            assert not running.done()
            assert "stop a-front" not in self.events
            self.may_stop.set()
            await running

        asyncio.run(scenario())
        assert self.events.count("drain a-front") == 1

    def test_settings_that_change_during_the_drain_take_effect(self, monkeypatch):
        # Guards against a drain for a grace period that has become shorter.
        monkeypatch.setattr(reload, "CHECK_INTERVAL_S", 0.05)

        async def scenario() -> None:
            running = asyncio.create_task(self.run_daemon())
            await until(self.has("start b-slow"), "the start")
            os.kill(os.getpid(), signal.SIGTERM)
            await until(self.has("drain a-front"), "the drain")
            self.file = msgspec.structs.replace(SETTINGS, grace_s=1.5)
            await until(self.has("reload 1.5 a-front"), "the reload")
            self.may_stop.set()
            await running

        asyncio.run(scenario())

    def test_failure_of_the_start_ends_the_daemon(self):
        # Guards against a daemon that runs without one of its plug-ins.
        async def fail() -> None:
            raise OSError("address in use")

        self.may_start.wait = fail
        with pytest.raises(OSError, match="address in use"):
            asyncio.run(self.run_daemon())
