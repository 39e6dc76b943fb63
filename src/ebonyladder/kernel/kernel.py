"""Kernel: runs plug-ins in dependency order and stops them gracefully."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from absl import logging

from ebonyladder.kernel.clock import Clock, SystemClock
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import REGISTRY, Registry
from ebonyladder.types import VmId

T = TypeVar("T")

# Backoff before a supervised task is restarted, in seconds; it doubles with each
# failure. A task that ran for longer than the reset time begins with the first one.
MIN_RESTART_BACKOFF_S = 0.1
MAX_RESTART_BACKOFF_S = 5.0
BACKOFF_RESET_S = 30.0
# Time for announcements of a drain before the plug-ins drain, in seconds; a slow store
# or peer must not use up the grace period.
ANNOUNCE_TIMEOUT_S = 0.5


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

    Attributes
    ----------
    task_failures : Counter of str
        Number of failures of each task, by its name.
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
        self.task_failures: Counter[str] = Counter()
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

        A task that fails is logged; it never ends the daemon. Tasks that must live as
        long as the daemon are run by ``supervise``.
        """
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> asyncio.Task[None]:
        """Run a coroutine function as a task that is restarted after a failure.

        Without a restart, an unexpected error in a task that lives as long as the
        daemon would leave a daemon that answers but no longer follows the fleet.
        """
        return self.spawn(self._run_supervised(run, name), name=name)

    async def _run_supervised(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        backoff_s = MIN_RESTART_BACKOFF_S
        while True:
            started_at_s = self.clock.now_s()
            try:
                await run()
                return
            except Exception as error:
                self._record_failure(name, error)
            if self.clock.now_s() - started_at_s > BACKOFF_RESET_S:
                backoff_s = MIN_RESTART_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_RESTART_BACKOFF_S)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record_failure(task.get_name(), task.exception())

    def _record_failure(self, name: str, error: BaseException) -> None:
        self.task_failures[name] += 1
        logging.error(
            "[kernel] Task failed. task=%s failures=%d error=%r",
            name,
            self.task_failures[name],
            error,
            exc_info=error,
        )

    async def start(self) -> None:
        """Start all plug-ins, each after those it requires.

        If this is cancelled, only the plug-ins that have started drain and stop.
        """
        for index, plugin in enumerate(self.plugins):
            try:
                await plugin.start()
            except asyncio.CancelledError:
                del self.plugins[index:]
                raise
        logging.info("[kernel] Daemon is up. vm=%s", self.settings.vm)

    def reload(self, settings: DaemonSettings) -> None:
        """Replace the settings; plug-ins apply what has changed."""
        self.settings = settings
        for plugin in self.plugins:
            plugin.reload()

    async def drain(self) -> None:
        """Drain every plug-in, dependants first, the others beside each other.

        Two plug-ins that serve callers and other VMs by the same schedule can't wait
        for each other.
        """
        self.draining = True
        announcements = [
            self.spawn(plugin.announce_drain(), name=f"announce-{plugin.name}")
            for plugin in reversed(self.plugins)
        ]
        if announcements:
            # Those that take longer go on beside the drain.
            await asyncio.wait(announcements, timeout=ANNOUNCE_TIMEOUT_S)
        drains: dict[Plugin, asyncio.Task[None]] = {}
        for plugin in reversed(self.plugins):
            dependants = [d for d in drains if plugin in self._providers_of(d)]
            drains[plugin] = self.spawn(
                self._drain_after([drains[d] for d in dependants], plugin),
                name=f"drain-{plugin.name}",
            )
        await asyncio.gather(*drains.values())
        logging.info("[kernel] Drain finished. vm=%s", self.settings.vm)

    def _providers_of(self, plugin: Plugin) -> list[Plugin]:
        return [self.providers[interface] for interface in plugin.requires]

    async def _drain_after(
        self, dependants: list[asyncio.Task[None]], plugin: Plugin
    ) -> None:
        """Drain a plug-in once those that require it have drained."""
        await asyncio.gather(*dependants)
        await self._run_step(plugin.drain(), f"drain-{plugin.name}")

    async def _run_step(self, step: Coroutine[Any, Any, None], name: str) -> None:
        """Run a step of the stop; its failure must not end the stop of the others."""
        try:
            await step
        except Exception as error:
            self._record_failure(name, error)

    async def stop(self) -> None:
        """Stop all plug-ins and cancel the remaining tasks."""
        for plugin in reversed(self.plugins):
            await self._run_step(plugin.stop(), f"stop-{plugin.name}")
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        logging.info("[kernel] Daemon has stopped. vm=%s", self.settings.vm)
