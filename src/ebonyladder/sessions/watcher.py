"""Watch of all objects of one kind in the store."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import TypeVar

import msgspec
from absl import logging

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.sessions.objects import Kind, ObjectStore, StoreObject

T = TypeVar("T")

# Wait of one watch call, in seconds. A watch whose history is compacted while it waits
# may receive no event until the wait ends, so for kinds whose changes must become
# active in a bounded time the wait is shorter than that. Calls are billed, so other
# kinds wait long.
SHORT_WAIT_S = 1.5
LONG_WAIT_S = 15.0
# Bounds of the random backoff after a failed call, in seconds, so that VMs don't retry
# at the same time. The upper bound doubles with each consecutive failure, since failed
# calls are billed too, up to MAX_BACKOFF_S, which is a fraction of the time in which a
# change must become active.
MIN_BACKOFF_S = 0.2
INITIAL_MAX_BACKOFF_S = 0.6
MAX_BACKOFF_S = 1.6
# A watch waits this long for another one that probes the store, in seconds.
MAX_GATE_WAIT_S = 2 * MAX_BACKOFF_S


def backoff_s(failures: int) -> float:
    """Return the backoff after this many consecutive failures, in seconds."""
    upper_bound_s = INITIAL_MAX_BACKOFF_S * 2 ** min(failures - 1, 8)
    return random.uniform(MIN_BACKOFF_S, min(upper_bound_s, MAX_BACKOFF_S))


class StoreGate:
    """Lets one watch at a time probe a store that doesn't answer.

    Designed for an outage of the store while all VMs watch it: each VM has five
    watches, and refused calls are billed too.
    """

    def __init__(self) -> None:
        self.prober: KindWatcher | None = None
        self.opened = asyncio.Event()

    async def wait_after_failure(self, watcher: "KindWatcher") -> None:
        """Wait until a watch whose call failed should call again."""
        if self.prober is None:
            self.prober = watcher
            self.opened.clear()
        if self.prober is watcher:
            await asyncio.sleep(backoff_s(watcher.failures))
            return
        try:
            # The prober may fail for a reason of its own, such as an invalid answer.
            async with asyncio.timeout(MAX_GATE_WAIT_S):
                await self.opened.wait()
        except TimeoutError:
            return

    def open(self, watcher: "KindWatcher") -> None:
        """Let the other watches call after a success, or the end of the prober."""
        if self.prober is watcher:
            self.prober = None
            self.opened.set()


def convert_content(found: StoreObject, kind: type[T]) -> T | None:
    """Return the content as ``kind``, None with a log line if it doesn't match.

    Any writer may have changed an entry; the caller then keeps the last valid one.
    """
    try:
        return msgspec.convert(found.content, kind)
    except msgspec.ValidationError as error:
        logging.warning(
            "[watch] Entry is invalid and is ignored. name=%s revision=%d error=%s",
            found.name,
            found.revision,
            error,
        )
        return None


class KindWatcher(ABC):
    """Keeps a copy of the objects of one kind up to date.

    Parameters
    ----------
    store : ObjectStore
        Store to watch.
    kind : Kind
        Kind of the objects.
    wait_s : float
        Longest wait of one watch call, in seconds.
    """

    def __init__(
        self, *, store: ObjectStore, kind: Kind, wait_s: float = LONG_WAIT_S
    ) -> None:
        self.store = store
        self.wait_s = wait_s
        self.kind = kind
        self.objects: dict[str, StoreObject] = {}
        self.is_listed = asyncio.Event()
        self.failures = 0
        # Shared by the watches of this VM once a watch manager runs them.
        self.gate = StoreGate()

    @property
    def is_connected(self) -> bool:
        """Whether the last call was answered."""
        return self.failures == 0

    @abstractmethod
    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Apply the objects after they were listed or changed."""

    def mark_stale(self) -> None:
        """Mark the objects as stale, since this VM stops watching them."""
        self.is_listed.clear()
        self.gate.open(self)

    async def run(self) -> None:
        """List and watch the objects until cancelled."""
        while True:
            try:
                list_result = await self.store.list(self.kind)
                self.objects = {found.name: found for found in list_result.objects}
                self._record_connected()
                self.apply(self.objects)
                self.is_listed.set()
                await self._watch_changes(list_result.as_of)
            except StoreError as error:
                self._record_failure(error)
                await self.gate.wait_after_failure(self)

    async def _watch_changes(self, as_of: int) -> None:
        while True:
            try:
                found = await self.store.watch(self.kind, as_of, self.wait_s)
            except StoreError as error:
                self._record_failure(error)
                if error.code is ErrorCode.NOT_FOUND:
                    # The history is compacted, so the objects must be listed again.
                    return
                await self.gate.wait_after_failure(self)
                continue
            self._record_connected()
            as_of = found.as_of
            for change in found.changes:
                if change.is_removed:
                    self.objects.pop(change.object.name, None)
                else:
                    self.objects[change.object.name] = change.object
            if found.changes:
                self.apply(self.objects)

    def _record_failure(self, error: StoreError) -> None:
        if self.is_connected:
            logging.warning("[watch] Watch failed. kind=%s error=%s", self.kind, error)
        self.failures += 1

    def _record_connected(self) -> None:
        if not self.is_connected:
            logging.info("[watch] Watch works again. kind=%s", self.kind)
        self.failures = 0
        self.gate.open(self)
