"""Kernel: registry, life cycle and error codes."""

import asyncio
from abc import ABC

import pytest

from ebonyladder.kernel import kernel as kernel_module
from ebonyladder.kernel.error import ErrorCode, Outcome, error_code
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.settings import Settings

SETTINGS = Settings(
    vm="vm-1",
    zone="zone-a",
    caller="127.0.0.1:0",
    peer="127.0.0.1:0",
    operator="127.0.0.1:0",
    store="127.0.0.1:0",
    fleet_secret_file="none",
)


class Interface(ABC):  # noqa: B024
    """Interface that the plug-ins of these tests provide."""


class TestRegistry:
    """Guards against a wrong start order, and missing providers that go unnoticed."""

    def test_provider_starts_before_the_plugin_that_requires_it(self):
        registry = Registry()

        @registry.register
        class Consumer(Plugin):
            name = "a-consumer"
            requires = (Interface,)

        @registry.register
        class Provider(Plugin):
            name = "b-provider"
            provides = (Interface,)

        assert registry.select() == [Provider, Consumer]

    def test_highest_priority_provider_replaces_the_others(self):
        registry = Registry()

        @registry.register
        class Builtin(Plugin):
            name = "builtin"
            provides = (Interface,)

        @registry.register
        class ThirdParty(Plugin):
            name = "third-party"
            provides = (Interface,)
            priority = 1

        assert registry.select() == [ThirdParty]

    def test_missing_provider_is_an_error(self):
        registry = Registry()

        @registry.register
        class Consumer(Plugin):
            name = "consumer"
            requires = (Interface,)

        with pytest.raises(LookupError, match="Interface"):
            registry.select()

    def test_name_used_twice_is_an_error(self):
        registry = Registry()
        registry.register(type("First", (Plugin,), {"name": "same"}))
        with pytest.raises(ValueError, match="same"):
            registry.register(type("Second", (Plugin,), {"name": "same"}))


class TestLifeCycle:
    """Guards against plug-ins that run longer than the providers they use."""

    def test_plugins_drain_and_stop_in_reverse_order(self):
        events = []
        registry = Registry()

        class Recording(Plugin):
            async def start(self):
                events.append(("start", self.name))

            async def drain(self):
                events.append(("drain", self.name))

            async def stop(self):
                events.append(("stop", self.name))

        @registry.register
        class Provider(Recording):
            name = "provider"
            provides = (Interface,)

        @registry.register
        class Consumer(Recording):
            name = "consumer"
            requires = (Interface,)

        async def run():
            kernel = Kernel(settings=SETTINGS, registry=registry)
            await kernel.start()
            await kernel.drain()
            await kernel.stop()

        asyncio.run(run())
        assert events == [
            ("start", "provider"),
            ("start", "consumer"),
            ("drain", "consumer"),
            ("drain", "provider"),
            ("stop", "consumer"),
            ("stop", "provider"),
        ]


class TestDrain:
    """Guards against a plug-in that keeps the others from draining in time."""

    def test_slow_announcement_does_not_use_up_the_grace_period(self, monkeypatch):
        monkeypatch.setattr(kernel_module, "ANNOUNCE_TIMEOUT_S", 0.01)
        assert self.drain(announce=asyncio.Event().wait) == ["drain", "stop"]

    def test_failure_of_one_plugin_does_not_skip_the_others(self):
        async def fail() -> None:
            raise RuntimeError("unexpected")

        assert self.drain(announce=fail, drain=fail) == ["drain", "stop"]

    def test_independent_plugins_drain_beside_each_other(self):
        # Guards against a front end that takes part in a drain only once the service
        # for other VMs, which goes by the same schedule, has finished.
        registry = Registry()
        others: dict[str, asyncio.Event] = {}

        class Waiting(Plugin):
            async def drain(self):
                others[self.name].set()
                await asyncio.gather(*(event.wait() for event in others.values()))

        @registry.register
        class First(Waiting):
            name = "a-first"

        @registry.register
        class Second(Waiting):
            name = "b-second"

        async def main() -> None:
            others.update({"a-first": asyncio.Event(), "b-second": asyncio.Event()})
            async with asyncio.timeout(10):
                await Kernel(settings=SETTINGS, registry=registry).drain()

        asyncio.run(main())

    @staticmethod
    def drain(**steps) -> list[str]:
        """Drain and stop two plug-ins, of which the first one's steps are given."""
        calls: list[str] = []
        registry = Registry()

        @registry.register
        class Broken(Plugin):
            name = "b-broken"

            async def announce_drain(self):
                await steps["announce"]()

            async def drain(self):
                if "drain" in steps:
                    await steps["drain"]()

        @registry.register
        class Other(Plugin):
            name = "a-other"

            async def drain(self):
                calls.append("drain")

            async def stop(self):
                calls.append("stop")

        async def main() -> None:
            kernel = Kernel(settings=SETTINGS, registry=registry)
            async with asyncio.timeout(10):
                await kernel.drain()
                await kernel.stop()

        asyncio.run(main())
        return calls


class TestErrorCode:
    """Guards against two errors with the same code, and codes of newer versions."""

    def test_codes_are_unique(self):
        codes = [member.value.code for member in ErrorCode]
        assert len(codes) == len(set(codes))

    def test_unknown_code_of_a_newer_peer_has_unknown_outcome(self):
        assert error_code("from-the-future").value.outcome is Outcome.UNKNOWN
