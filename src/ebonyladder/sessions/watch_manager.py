"""Watches of the store by this VM, stopped while the leader watches for it."""

import asyncio
from collections.abc import Callable

from absl import logging

from ebonyladder.sessions.watcher import KindWatcher, StoreGate


class WatchManager:
    """Starts and stops this VM's watches of the store.

    Each call to the store is billed, and each change ends one call of every watch.
    While the leader's updates contain the same objects, only the leader watches. After
    its start a VM first tries to find the leader, and watches the store only if there
    is none.

    Parameters
    ----------
    supervise : callable
        Runs a coroutine function as a named task that is restarted after a failure.

    Attributes
    ----------
    is_decided : bool
        Whether it was decided since the start of the process if this VM or the leader
        watches the store.
    """

    def __init__(self, *, supervise: Callable[..., asyncio.Task[None]]) -> None:
        self.supervise = supervise
        self.watchers: list[KindWatcher] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.is_watching = False
        self.is_decided = False
        self.gate = StoreGate()

    def add(self, watcher: KindWatcher) -> None:
        """Add a watch; start it if this VM watches the store."""
        watcher.gate = self.gate
        self.watchers.append(watcher)
        if self.is_watching:
            self._start_watcher(watcher)

    @property
    def has_working_watches(self) -> bool:
        """Whether this VM watches the store and all watches are working."""
        return self.is_watching and all(
            w.is_connected and w.is_listed.is_set() for w in self.watchers
        )

    def start_watching(self, reason: str) -> None:
        """Start this VM's watches of the store."""
        self.is_decided = True
        if self.is_watching:
            return
        logging.info("[watches] This VM watches the store. reason=%s", reason)
        self.is_watching = True
        for watcher in self.watchers:
            self._start_watcher(watcher)

    def start_watching_if_decided(self, reason: str) -> None:
        """Start the watches, unless this VM is still looking for its first leader."""
        if self.is_decided:
            self.start_watching(reason)

    def stop_watching(self) -> None:
        """Stop this VM's watches, since the leader watches the store for it."""
        self.is_decided = True
        if not self.is_watching:
            return
        logging.info("[watches] The leader watches the store for this VM.")
        self.is_watching = False
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        for watcher in self.watchers:
            watcher.mark_stale()

    def _start_watcher(self, watcher: KindWatcher) -> None:
        self.tasks.append(self.supervise(watcher.run, name=f"watch-{watcher.kind}"))
