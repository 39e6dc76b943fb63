"""Changes of the settings file while a daemon runs."""

import asyncio

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.quota import Tolerance
from ebonyladder.sessions.reload import CHECK_INTERVAL_S, SettingsReloader, plan_reload
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.types import Address, VmId, ZoneId
from tests.fleet import run_virtual

ACTIVE = SessionSettings(
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


def changed(**fields) -> SessionSettings:
    """Return the active settings with some changes."""
    return msgspec.structs.replace(ACTIVE, **fields)


class TestPlan:
    """Guards against a change that neither takes effect nor is reported.

    A reload once applied changes only together with one of the grace period, and
    logged a reload either way.
    """

    def test_every_setting_is_applied_or_refused(self):
        others = changed(
            vm=VmId("vm-2"),
            zone=ZoneId("b"),
            regions={ZoneId("a"): "north"},
            callers=Address("127.0.0.1:9"),
            readiness=Address("127.0.0.1:9"),
            peer=Address("127.0.0.1:9"),
            metrics=Address("127.0.0.1:9"),
            store=Address("127.0.0.1:9"),
            promotion=Address("127.0.0.1:9"),
            grace_s=9.0,
            drain_s=9.0,
            cores=9.0,
            tolerance=Tolerance(operations=9.0),
        )
        plan = plan_reload(ACTIVE, others)
        names = {*plan.applied, *plan.refused}
        assert names == set(ACTIVE.__struct_fields__)
        assert set(plan.applied) == {
            "grace_s",
            "drain_s",
            "tolerance",
            "store",
            "promotion",
        }

    def test_refused_changes_leave_the_active_settings(self):
        plan = plan_reload(ACTIVE, changed(peer=Address("127.0.0.1:9"), grace_s=9.0))
        assert plan.settings == changed(grace_s=9.0)


class TestReloader:
    @pytest.fixture(autouse=True)
    def daemon(self):
        self.file = ACTIVE
        self.reloads = reloads = []

        class Recorder(Plugin):
            name = "recorder"

            def reload(self) -> None:
                reloads.append(self.kernel.settings.grace_s)

        registry = Registry()
        registry.register(Recorder)
        clock = ManualClock()
        self.kernel = Kernel(settings=ACTIVE, clock=clock, registry=registry)
        self.reloader = SettingsReloader(kernel=self.kernel, load=self.load)

    def load(self) -> SessionSettings:
        """Return the content of the file."""
        if self.file is None:
            raise ConfigurationError(
                code=ErrorCode.CONFIGURATION_INVALID, step=Step.CONFIG_CHECK
            )
        return self.file

    def test_change_reaches_the_plugins(self):
        self.file = changed(grace_s=9.0)
        self.reloader.check(is_requested=True)
        assert self.reloads == [9.0]

    def test_change_without_a_signal_takes_effect(self):
        # Guards against a daemon that drains for the former grace period.
        self.file = changed(grace_s=9.0)

        async def main() -> None:
            task = self.kernel.supervise(self.reloader.run, name="settings")
            await self.kernel.start()
            await asyncio.sleep(2 * CHECK_INTERVAL_S)
            task.cancel()

        run_virtual(main(), self.kernel.clock)
        assert self.kernel.settings == self.file

    def test_invalid_file_keeps_the_active_settings(self):
        self.file = None
        self.reloader.check(is_requested=True)
        assert self.kernel.settings == ACTIVE
        self.file = changed(grace_s=9.0)
        self.reloader.check()
        assert self.kernel.settings == self.file

    def test_unchanged_file_reloads_nothing(self):
        self.reloader.check(is_requested=True)
        assert self.reloads == []
