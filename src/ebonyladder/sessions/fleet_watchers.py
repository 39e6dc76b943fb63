"""Watches of what the VMs agree on in the store: groups and registered VMs."""

from collections.abc import Mapping

import msgspec

from ebonyladder.sessions.objects import GROUPS, VMS, ObjectStore, StoreObject
from ebonyladder.sessions.roster import GroupState, Roster, VmEntry, zone_sizes
from ebonyladder.sessions.watcher import KindWatcher
from ebonyladder.types import VmId


class GroupWatcher(KindWatcher):
    """Brings group states from the store into the roster."""

    def __init__(self, *, store: ObjectStore, roster: Roster) -> None:
        super().__init__(store=store, kind=GROUPS)
        self.roster = roster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Adopt newer group states."""
        for found in objects.values():
            self.roster.adopt_group(msgspec.convert(found.content, GroupState))

    def note(self, found: StoreObject | None) -> None:
        """Take over one object that was read outside of the watch."""
        if found is not None:
            self.objects[found.name] = found
            self.apply(self.objects)


class VmWatcher(KindWatcher):
    """Keeps the list of registered VMs."""

    def __init__(self, *, store: ObjectStore, roster: Roster) -> None:
        super().__init__(store=store, kind=VMS)
        self.roster = roster
        self.entries: dict[VmId, VmEntry] = {}

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the list of VMs."""
        entries = [msgspec.convert(o.content, VmEntry) for o in objects.values()]
        self.entries = {entry.vm: entry for entry in entries}
        self.roster.adopt_fleet(zone_sizes(entries), self.roster.owners)
