"""Kernel: runs plug-ins in dependency order and stops them gracefully."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from absl import logging

from ebonyladder.kernel.clock import Clock, SystemClock
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import REGISTRY, Registry
from ebonyladder.types import VmId

T = TypeVar("T")


class DaemonSettings(Protocol):
    """Settings that the kernel itself reads."""

    @property
    def vm(self) -> VmId:
        """Name of this VM."""


class Kernel:
    """Run the registered plug-ins of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of this daemon.
    clock : Clock, optional
        Clock that decisions use.
    registry : Registry, optional
        Registry with the plug-ins to run.
    disabled : frozenset of str
        Names of plug-ins that are not run.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        clock: Clock | None = None,
        registry: Registry = REGISTRY,
        disabled: frozenset[str] = frozenset(),
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.plugins: list[Plugin] = []
        self.providers: dict[type, Plugin] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.draining = False
        for plugin_class in registry.select(disabled=disabled):
            plugin = plugin_class(kernel=self)
            self.plugins.append(plugin)
            for interface in plugin_class.provides:
                self.providers[interface] = plugin

    def get(self, interface: type[T]) -> T:
        """Return the plug-in that provides ``interface``.

        Raises
        ------
        LookupError
            If no plug-in provides it.
        """
        try:
            return self.providers[interface]  # type: ignore[return-value]
        except KeyError:
            raise LookupError(f"no plug-in provides {interface.__name__}") from None

    def spawn(self, coroutine: Coroutine[Any, Any, Any], *, name: str) -> asyncio.Task:
        """Run a coroutine as a task that the kernel cancels on stop.

        A task that fails is logged; it never ends the daemon.
        """
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                "[kernel] Task failed. task=%s error=%r",
                task.get_name(),
                task.exception(),
                exc_info=task.exception(),
            )

    async def start(self) -> None:
        """Start all plug-ins, each after those it requires."""
        for plugin in self.plugins:
            await plugin.start()
        logging.info("[kernel] Daemon is up. vm=%s", self.settings.vm)

    async def drain(self) -> None:
        """Drain every plug-in, dependants first."""
        self.draining = True
        for plugin in reversed(self.plugins):
            await plugin.announce_drain()
        for plugin in reversed(self.plugins):
            await plugin.drain()
        logging.info("[kernel] Drain finished. vm=%s", self.settings.vm)

    async def stop(self) -> None:
        """Stop all plug-ins and cancel the remaining tasks."""
        for plugin in reversed(self.plugins):
            await plugin.stop()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        logging.info("[kernel] Daemon has stopped. vm=%s", self.settings.vm)
