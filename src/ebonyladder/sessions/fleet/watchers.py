"""Watches of group states and registered VMs in the store."""

import asyncio
from collections.abc import Mapping

from absl import logging

from ebonyladder.kernel.error import StoreError
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    GroupState,
    VmEntry,
    zone_sizes,
)
from ebonyladder.sessions.objects import (
    GROUPS,
    VMS,
    ListResult,
    ObjectStore,
    StoreObject,
)
from ebonyladder.sessions.watcher import KindWatcher, convert_content
from ebonyladder.types import VmId

# Interval at which a VM that doesn't lead lists the VMs, in seconds.
LIST_INTERVAL_S = 5.0
# A VM that has not reported for this long is removed from the list, in seconds. A
# failover waits for the VMs of the list.
VM_REPORT_TIMEOUT_S = 6.0


class GroupWatcher(KindWatcher):
    """Applies group states of the store to the cluster view."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=GROUPS)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Apply newer group states."""
        for found in objects.values():
            group = convert_content(found, GroupState)
            if group is not None:
                self.cluster.apply_group(group)

    def apply_object(self, name: str, found: StoreObject | None) -> None:
        """Apply one object that was read outside of the watch, None if it is gone."""
        if found is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = found
            self.apply(self.objects)

    def apply_list(self, result: ListResult) -> None:
        """Apply a list that was read outside of the watch, which may be ahead of it."""
        listed = {found.name: found for found in result.objects}
        self.objects = listed | {
            name: known
            for name, known in self.objects.items()
            if known.revision > result.as_of
        }
        self.apply(self.objects)


class VmWatcher(KindWatcher):
    """Keeps the list of registered VMs.

    Only the leader watches it; the other VMs need only the number of VMs and list them
    at an interval. When many VMs restart, each of them changes the list, and if every
    VM watched it, each change would cost one call of every VM.
    """

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=VMS)
        self.cluster = cluster
        self.entries: dict[VmId, VmEntry] = {}
        # Entries that the store may have lost, and the time until which they count.
        self.kept: dict[VmId, VmEntry] = {}
        self.kept_until_s = float("-inf")
        self.is_watching = False
        self.watching_started = asyncio.Event()
        # Ends the watch once another VM leads; None while there is none.
        self.watch_timeout: asyncio.Timeout | None = None

    def start_watching(self) -> None:
        """Read the list again, and watch it from then on."""
        if not self.is_watching:
            self.is_watching = True
            self.is_listed.clear()
            self.watching_started.set()

    def stop_watching(self) -> None:
        """Stop watching the list, since another VM leads."""
        self.is_watching = False
        self.watching_started.clear()
        if self.watch_timeout is not None:
            self.watch_timeout.reschedule(asyncio.get_running_loop().time())
            self.watch_timeout = None

    def record_return(self) -> None:
        """Keep the known entries for as long as a VM may take to register again.

        A store that has come back from an older copy lacks the VMs that registered
        since. Failovers and the lease must wait for these, and rates are divided among
        them.
        """
        self.kept = dict(self.entries)
        self.kept_until_s = self.cluster.clock.now_s() + VM_REPORT_TIMEOUT_S

    async def evict(self, vm: VmId) -> bool:
        """Remove a VM from the list; False if the store doesn't remove it."""
        found = self.objects.get(vm)
        # The store may have lost it, so that there is nothing to remove.
        if found is not None:
            try:
                await self.store.delete(VMS, vm, found.revision)
            except StoreError as error:
                logging.info(
                    "[fleet] VM could not be removed. vm=%s error=%s", vm, error
                )
                return False
        logging.info("[fleet] VM is removed from the list. vm=%s", vm)
        self._forget(vm)
        return True

    def _forget(self, vm: VmId) -> None:
        self.kept.pop(vm, None)
        self.objects.pop(vm, None)
        self.apply(self.objects)

    async def _watch_changes(self, as_of: int) -> None:
        if self.is_watching:
            await self._watch_until_stopped(as_of)
            return
        try:
            async with asyncio.timeout(LIST_INTERVAL_S):
                await self.watching_started.wait()
        except TimeoutError:
            return

    async def _watch_until_stopped(self, as_of: int) -> None:
        """Watch while this VM leads.

        A watch that outlasted the leadership would keep the list from being read again
        when this VM leads once more.
        """
        try:
            async with asyncio.timeout(None) as self.watch_timeout:
                await super()._watch_changes(as_of)
        except TimeoutError:
            return
        finally:
            self.watch_timeout = None

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the list of VMs.

        A VM whose entry became invalid keeps its last valid one, since failovers must
        still wait for it; it registers again once the leader has no entry of it.
        """
        is_kept = self.cluster.clock.now_s() < self.kept_until_s
        entries = dict(self.kept) if is_kept else {}
        for name, found in objects.items():
            entry = convert_content(found, VmEntry) or self.entries.get(VmId(name))
            if entry is not None:
                entries[entry.vm] = entry
        self.entries = entries
        self.cluster.apply_fleet(zone_sizes(entries.values()), self.cluster.owners)
