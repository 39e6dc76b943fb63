"""Watches of group states and registered VMs in the store."""

import asyncio
from collections.abc import Mapping

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
        self.is_watching = False
        self.watching_started = asyncio.Event()

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

    async def _watch_changes(self, as_of: int) -> None:
        if self.is_watching:
            await super()._watch_changes(as_of)
            return
        try:
            async with asyncio.timeout(LIST_INTERVAL_S):
                await self.watching_started.wait()
        except TimeoutError:
            return

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the list of VMs.

        A VM whose entry became invalid keeps its last valid one, since failovers must
        still wait for it; it registers again once the leader has no entry of it.
        """
        entries = {}
        for name, found in objects.items():
            entry = convert_content(found, VmEntry) or self.entries.get(VmId(name))
            if entry is not None:
                entries[entry.vm] = entry
        self.entries = entries
        self.cluster.apply_fleet(zone_sizes(entries.values()), self.cluster.owners)
