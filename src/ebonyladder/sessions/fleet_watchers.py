"""Watches of what the VMs agree on in the store: groups and registered VMs."""

import asyncio
from collections.abc import Mapping

import msgspec

from ebonyladder.sessions.cluster_view import (
    ClusterView,
    GroupState,
    VmEntry,
    zone_sizes,
)
from ebonyladder.sessions.objects import GROUPS, VMS, ObjectStore, StoreObject
from ebonyladder.sessions.watcher import KindWatcher
from ebonyladder.types import VmId

# Pause between two listings of the VMs without a leader, in seconds.
LIST_PERIOD_S = 5.0


class GroupWatcher(KindWatcher):
    """Brings group states from the store into the roster."""

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=GROUPS)
        self.cluster = cluster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Adopt newer group states."""
        for found in objects.values():
            self.cluster.apply_group(msgspec.convert(found.content, GroupState))

    def note(self, found: StoreObject | None) -> None:
        """Take over one object that was read outside of the watch."""
        if found is not None:
            self.objects[found.name] = found
            self.apply(self.objects)


class VmWatcher(KindWatcher):
    """Keeps the list of registered VMs.

    Only the leader watches it. When many VMs start again, each of them changes the
    list, and a watch by every VM would answer each change with a call; the others
    need no more than the number of VMs, now and then.
    """

    def __init__(self, *, store: ObjectStore, cluster: ClusterView) -> None:
        super().__init__(store=store, kind=VMS)
        self.cluster = cluster
        self.entries: dict[VmId, VmEntry] = {}
        self.is_leading = False
        self.duty_taken = asyncio.Event()

    def lead(self) -> None:
        """Read the list anew and watch it from now on."""
        if not self.is_leading:
            self.is_leading = True
            self.is_listed.clear()
            self.duty_taken.set()

    def follow(self) -> None:
        """Leave the watching to another VM."""
        self.is_leading = False
        self.duty_taken.clear()

    async def _follow(self, as_of: int) -> None:
        if self.is_leading:
            await super()._follow(as_of)
            return
        try:
            async with asyncio.timeout(LIST_PERIOD_S):
                await self.duty_taken.wait()
        except TimeoutError:
            return

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the list of VMs."""
        entries = [msgspec.convert(o.content, VmEntry) for o in objects.values()]
        self.entries = {entry.vm: entry for entry in entries}
        self.cluster.apply_fleet(zone_sizes(entries), self.cluster.owners)
