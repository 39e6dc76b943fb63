"""Entry of this VM in the store's list of VMs."""

import asyncio
import random

import msgspec
from absl import logging

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.sessions.cluster_view import VmEntry
from ebonyladder.sessions.objects import VMS, ObjectStore

# Shortest time between two registrations, in seconds.
REGISTRATION_INTERVAL_S = 0.5


class Registration:
    """Keeps this VM's entry in the store.

    Parameters
    ----------
    store : ObjectStore
        Store with the list.
    entry : VmEntry
        Entry of this VM.

    Attributes
    ----------
    is_needed : asyncio.Event
        Set while the entry has to be written.
    """

    def __init__(self, *, store: ObjectStore, entry: VmEntry) -> None:
        self.store = store
        self.entry = entry
        self.is_needed = asyncio.Event()
        self.is_needed.set()

    async def run(self) -> None:
        """Write the entry whenever it is missing."""
        while True:
            await self.is_needed.wait()
            try:
                await self._write()
                self.is_needed.clear()
            except StoreError as error:
                logging.info("[fleet] VM could not be registered. error=%s", error)
            await asyncio.sleep(REGISTRATION_INTERVAL_S * random.uniform(1.0, 2.0))

    async def check(self) -> bool:
        """Tell whether a failover would wait for this VM.

        Group states are confirmed from the store only at a registered VM, since no
        failover waits for a VM that was removed from the list.
        """
        try:
            found = await self.store.get(VMS, self.entry.vm)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Entry of this VM could not be read. error=%s",
                5,
                error,
            )
            return False
        if found is None:
            self.is_needed.set()
        return found is not None

    async def _write(self) -> None:
        content = msgspec.to_builtins(self.entry)
        try:
            await self.store.create(VMS, self.entry.vm, content)
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(VMS, self.entry.vm)
            if found is not None and found.content != content:
                await self.store.replace(VMS, self.entry.vm, content, found.revision)
