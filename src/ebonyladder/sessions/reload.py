"""Which changed settings take effect without a restart."""

import asyncio
from collections.abc import Callable

import msgspec
from absl import logging

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.sessions.settings import SessionSettings

# The others name addresses that are bound at the start, or the VM itself, by which
# other VMs know it.
RELOADABLE = frozenset({"grace_s", "drain_s", "tolerance", "store", "promotion"})
# Interval at which the settings file is read without a signal, in seconds.
CHECK_INTERVAL_S = 5.0


class ReloadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a comparison of new settings with the active ones.

    Attributes
    ----------
    settings : SessionSettings
        Active settings with the changes that take effect now.
    applied : tuple of str
        Changed settings that take effect now.
    refused : tuple of str
        Changed settings that take effect only after a restart.
    """

    settings: SessionSettings
    applied: tuple[str, ...]
    refused: tuple[str, ...]


def plan_reload(active: SessionSettings, loaded: SessionSettings) -> ReloadPlan:
    """Return what changes when ``loaded`` replaces the active settings."""
    changed = [
        name
        for name in active.__struct_fields__
        if getattr(active, name) != getattr(loaded, name)
    ]
    applied = {name: getattr(loaded, name) for name in changed if name in RELOADABLE}
    return ReloadPlan(
        settings=msgspec.structs.replace(active, **applied),
        applied=tuple(applied),
        refused=tuple(name for name in changed if name not in RELOADABLE),
    )


class SettingsReloader:
    """Applies changes of the settings file, with and without a signal.

    Parameters
    ----------
    kernel : Kernel
        Kernel whose settings are replaced.
    load : callable
        Returns the settings in the file.
    """

    def __init__(self, *, kernel: Kernel, load: Callable[[], SessionSettings]) -> None:
        self.kernel = kernel
        self.load = load
        self.refused: tuple[str, ...] = ()
        self.failure = ""

    async def run(self) -> None:
        """Read the file at an interval, since it may change without a signal."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self, *, is_requested: bool = False) -> None:
        """Read the file and apply what has changed; invalid settings are ignored.

        Without a request, findings that were logged before aren't logged again.
        """
        try:
            plan = plan_reload(self.kernel.settings, self.load())
        except ConfigurationError as error:
            if is_requested or error.message != self.failure:
                logging.error("[daemon] Settings are not reloaded. error=%s", error)
            self.failure = error.message
            return
        self.failure = ""
        if plan.applied:
            self.kernel.reload(plan.settings)
        if plan.refused and (is_requested or plan.refused != self.refused):
            logging.warning(
                "[daemon] Changed settings need a restart. vm=%s settings=%s",
                self.kernel.settings.vm,
                ",".join(plan.refused),
            )
        self.refused = plan.refused
        if is_requested or plan.applied:
            logging.info(
                "[daemon] Settings are read again. vm=%s applied=%s",
                self.kernel.settings.vm,
                ",".join(plan.applied) or "-",
            )
