"""Watches of the store, which a VM leaves to the leader while it can."""

import asyncio
from collections.abc import Callable

from absl import logging

from ebonyladder.sessions.watcher import KindWatcher


class WatchManager:
    """Watches of the store by this VM.

    Each call of the store is priced, and a change wakes every watch. While the
    leader's orders bring the same contents, only the leader watches. A VM that
    starts looks for the leader first, and watches only if it finds none.

    Parameters
    ----------
    spawn : callable
        Runs a coroutine as a named task.
    """

    def __init__(self, *, spawn: Callable[..., asyncio.Task[None]]) -> None:
        self.spawn = spawn
        self.watchers: list[KindWatcher] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.is_watching = False
        # Whether it was decided once who watches for this VM.
        self.has_begun = False

    def add(self, watcher: KindWatcher) -> None:
        """Add a watch, and start it."""
        self.watchers.append(watcher)
        if self.is_watching:
            self._start(watcher)

    @property
    def has_store(self) -> bool:
        """Whether all watches are working."""
        return self.is_watching and all(
            w.is_connected and w.is_listed.is_set() for w in self.watchers
        )

    def resume(self, reason: str) -> None:
        """Watch the store."""
        self.has_begun = True
        if self.is_watching:
            return
        logging.info("[watches] The store is watched. reason=%s", reason)
        self.is_watching = True
        for watcher in self.watchers:
            self._start(watcher)

    def resume_later(self, reason: str) -> None:
        """Watch the store, unless this VM has only begun to look for a leader."""
        if self.has_begun:
            self.resume(reason)

    def pause(self) -> None:
        """Leave the watching to the leader."""
        self.has_begun = True
        if not self.is_watching:
            return
        logging.info("[watches] The leader watches the store for this VM.")
        self.is_watching = False
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        for watcher in self.watchers:
            watcher.forget()

    def _start(self, watcher: KindWatcher) -> None:
        self.tasks.append(self.spawn(watcher.run(), name=f"watch-{watcher.kind}"))
