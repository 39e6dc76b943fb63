"""VMs that watch the store for a leader whose own watches fail."""

from collections.abc import Iterable
from itertools import islice

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import VmId

# Number of VMs that watch at the same time. Of a store that turns away a third of the
# VMs, all four are turned away in one case of 80.
RELAY_COUNT = 4
# Time for a relay to list the store and to report, in seconds. After that every VM
# watches, since changes must become active within a few seconds.
RELAY_TIMEOUT_S = 1.0
# Smaller fleets do without relays: their bounds are shorter, and a few VMs that watch
# cost little.
MIN_FLEET = 16


class StoreRelays:
    """Chooses the VMs that watch the store for the leader, and the one that it follows.

    Designed for a store that turns away the leader and serves other VMs. If all VMs
    watched then, each would list five kinds and repeat three watches every 1.5 s: a
    thousand calls a second in a fleet of 195 VMs.

    Parameters
    ----------
    clock : Clock
        Clock of the timeouts.

    Attributes
    ----------
    chosen : frozenset of VmId
        VMs that are asked to watch the store.
    source : VmId or None
        Relay whose lists the leader applies.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.chosen: frozenset[VmId] = frozenset()
        self.source: VmId | None = None
        self.worked_at_s = float("-inf")

    @property
    def is_current(self) -> bool:
        """Whether the leader knew the store's objects within the relays' timeout."""
        return self.clock.now_s() - self.worked_at_s < RELAY_TIMEOUT_S

    def update(
        self, *, is_leader_watching: bool, candidates: Iterable[VmId], fleet_size: int
    ) -> None:
        """Choose relays while the leader's own watches fail.

        Parameters
        ----------
        is_leader_watching : bool
            Whether the leader's own watches work.
        candidates : iterable of VmId
            VMs that report to the leader, in the order of preference.
        fleet_size : int
            Number of VMs.
        """
        if is_leader_watching or fleet_size <= MIN_FLEET:
            self.chosen = frozenset()
            self.source = None
            has_relays = fleet_size > MIN_FLEET
            self.worked_at_s = self.clock.now_s() if has_relays else float("-inf")
            return
        reporting = list(candidates)
        kept = [vm for vm in reporting if vm in self.chosen]
        others = (vm for vm in reporting if vm not in self.chosen)
        self.chosen = frozenset([*kept, *islice(others, RELAY_COUNT - len(kept))])

    def should_watch(self, vm: VmId) -> bool:
        """Tell whether a VM is asked to watch the store."""
        return vm in self.chosen

    def accept(self, vm: VmId, *, is_watching: bool) -> bool:
        """Record a VM's report; return whether the leader applies its lists.

        Relays may be at different revisions, so the leader follows one of them until
        that one fails.
        """
        if vm not in self.chosen:
            return False
        if not is_watching:
            if self.source == vm:
                self.source = None
            return False
        if self.source is None or not self.is_current or self.source not in self.chosen:
            self.source = vm
        if self.source != vm:
            return False
        self.worked_at_s = self.clock.now_s()
        return True
