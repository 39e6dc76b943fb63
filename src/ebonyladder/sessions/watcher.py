"""Watch of one kind of the store's objects."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping

from absl import logging

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.sessions.objects import Kind, ObjectStore, StoreObject

# A watch whose history was dropped while it waited may hear nothing until its time is
# up, so a wait is shorter than the time in which a change must be in force. Calls are
# priced, so kinds without such a bound wait long.
SHORT_WAIT_S = 1.5
LONG_WAIT_S = 15.0
# Pause after a failed call, in seconds; drawn between the two, so that VMs don't
# return to the store at the same moment. It doubles with each failure in a row, since
# refused calls are priced too, up to a part of the time in which a change must be in
# force.
RETRY_LEAST_S = 0.2
RETRY_MOST_S = 0.6
RETRY_LIMIT_S = 1.6


def retry_pause_s(failures: int) -> float:
    """Return the pause after some failed calls in a row, in seconds."""
    doubled_s = RETRY_MOST_S * 2 ** min(failures - 1, 8)
    return random.uniform(RETRY_LEAST_S, min(doubled_s, RETRY_LIMIT_S))


class KindWatcher(ABC):
    """Keeps the objects of one kind up to date.

    Parameters
    ----------
    store : ObjectStore
        Store to watch.
    kind : Kind
        Kind of the objects.
    wait_s : float
        Longest wait of one call, in seconds.
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

    @property
    def is_connected(self) -> bool:
        """Whether the last call was answered."""
        return self.failures == 0

    @abstractmethod
    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Take over the objects after a listing or change."""

    def forget(self) -> None:
        """Mark what is known as out of date, while another way brings it."""
        self.is_listed.clear()

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            try:
                listing = await self.store.list(self.kind)
                self.objects = {found.name: found for found in listing.objects}
                self._note_connected()
                self.apply(self.objects)
                self.is_listed.set()
                await self._follow(listing.as_of)
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(retry_pause_s(self.failures))

    async def _follow(self, as_of: int) -> None:
        while True:
            try:
                found = await self.store.watch(self.kind, as_of, self.wait_s)
            except StoreError as error:
                self._note_failure(error)
                if error.code is ErrorCode.NOT_FOUND:
                    # The history is gone; only a listing shows the present state.
                    return
                await asyncio.sleep(retry_pause_s(self.failures))
                continue
            self._note_connected()
            as_of = found.as_of
            for change in found.changes:
                if change.is_removed:
                    self.objects.pop(change.object.name, None)
                else:
                    self.objects[change.object.name] = change.object
            if found.changes:
                self.apply(self.objects)

    def _note_failure(self, error: StoreError) -> None:
        if self.is_connected:
            logging.warning("[watch] Watch is lost. kind=%s error=%s", self.kind, error)
        self.failures += 1

    def _note_connected(self) -> None:
        if not self.is_connected:
            logging.info("[watch] Watch is back. kind=%s", self.kind)
        self.failures = 0
