"""Which VM this VM reports to: the leader, or a standby while it is unreachable."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum

from absl import logging

from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.fleet.follower import Follower
from ebonyladder.sessions.fleet.leadership import LeaderRecord, Leadership
from ebonyladder.sessions.fleet.standbys import order_report_targets
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import Address, VmId

# Interval between reads of the leader record, in seconds.
RECORD_POLL_INTERVAL_S = 0.5
# Interval between reads of the leader record before the first leader is found, in
# seconds.
FIRST_RECORD_POLL_INTERVAL_S = 0.2
# Interval between attempts to reach the leader while this VM reports to a standby, in
# seconds.
LEADER_PROBE_INTERVAL_S = 0.5
# A VM watches the store itself if no leader sends updates within this time after the
# VM's start, in seconds: a new leader's first reads of the store, and two attempts to
# connect to it.
LEADER_DISCOVERY_TIMEOUT_S = 1.2


class ReportEnd(Enum):
    """Why this VM stopped reporting to a VM."""

    CONNECTION_ENDED = "the connection ended"
    LEADER_CHANGED = "the store names another leader"
    LEADER_REACHABLE = "the leader answers again"


class Reporting:
    """Finds the leader and reports to it, or to a standby.

    Parameters
    ----------
    cluster : ClusterView
        Names this VM and the standbys.
    leadership : Leadership
        Leader record as this VM knows it.
    follower : Follower
        Reports to one VM.
    watch_manager : WatchManager
        Watches the store if no leader is found soon after the start.
    find_leader : callable
        Reads the leader record, and takes over if there is no leader.
    spawn : callable
        Runs a coroutine as a named task.

    Attributes
    ----------
    lost_leader_token : int
        Fencing token of the leader whose connection was lost last; 0 for none.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        follower: Follower,
        watch_manager: WatchManager,
        find_leader: Callable[[], Awaitable[None]],
        spawn: Callable[..., asyncio.Task[None]],
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self.follower = follower
        self.watch_manager = watch_manager
        self.find_leader = find_leader
        self.spawn = spawn
        self.lost_leader_token = 0

    async def run(self) -> None:
        """Find the leader and report to it, or take over."""
        while True:
            await self.find_leader()
            record = self.leadership.record
            is_other = record is not None and record.holder != self.cluster.vm
            if is_other and await self.report_to_any(record):
                continue
            is_decided = self.watch_manager.is_decided
            interval_s = (
                RECORD_POLL_INTERVAL_S if is_decided else FIRST_RECORD_POLL_INTERVAL_S
            )
            await asyncio.sleep(interval_s * random.uniform(0.6, 1.0))

    async def watch_without_leader(self) -> None:
        """Watch the store if no leader is found soon after the start."""
        await asyncio.sleep(LEADER_DISCOVERY_TIMEOUT_S)
        if not self.watch_manager.is_decided:
            self.watch_manager.start_watching("no leader found")

    async def report_to_any(self, record: LeaderRecord) -> bool:
        """Report to the leader or a standby; True once the leader has changed."""
        tried: set[VmId] = set()
        while True:
            # The leader may have named other standbys while this VM reported to it.
            targets = order_report_targets(
                self.cluster.vm,
                leader={record.holder: record.address},
                standbys=self.cluster.standbys,
                is_leader_lost=record.token == self.lost_leader_token,
            )
            remaining = [vm for vm in targets if vm not in tried]
            if not remaining:
                return False
            vm = remaining[0]
            tried.add(vm)
            match await self._report_to(vm, targets[vm], record):
                case ReportEnd.LEADER_CHANGED:
                    return True
                case ReportEnd.LEADER_REACHABLE:
                    self.lost_leader_token = 0
                    tried.clear()

    async def _report_to(
        self, vm: VmId, address: Address, record: LeaderRecord
    ) -> ReportEnd:
        """Report until the connection ends or another VM should be reported to.

        ``record`` is the leader record at the start.
        """
        reporting = self.spawn(
            self.follower.report_to(vm, address), name=f"reports-{vm}"
        )
        # A store that hangs must not delay the change to another VM.
        polling = self.spawn(self._wait_for_other_leader(record), name="leader-record")
        tasks = {reporting, polling}
        if vm != record.holder:
            probing = self.spawn(
                self._wait_for_reachable_leader(record), name="leader-probe"
            )
            tasks.add(probing)
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if polling in done:
                return ReportEnd.LEADER_CHANGED
            if reporting in done:
                return ReportEnd.CONNECTION_ENDED
            return ReportEnd.LEADER_REACHABLE
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            if vm == record.holder:
                self.lost_leader_token = record.token

    async def _wait_for_reachable_leader(self, record: LeaderRecord) -> None:
        """Return once the leader of ``record`` answers again.

        After a partition heals, only the leader confirms group states and endpoints;
        the standbys would go on granting permits.
        """
        while True:
            interval_s = LEADER_PROBE_INTERVAL_S * random.uniform(0.8, 1.2)
            await asyncio.sleep(interval_s * self.follower.report_interval_factor)
            if await self.follower.does_grant(record.address):
                logging.info("[fleet] Leader is reachable again. vm=%s", record.holder)
                return

    async def _wait_for_other_leader(self, record: LeaderRecord) -> None:
        """Return once the store names another leader than ``record``.

        The store isn't read while the leader that this VM reports to has its lease.
        """
        while True:
            await asyncio.sleep(RECORD_POLL_INTERVAL_S)
            if self.follower.has_valid_leader:
                continue
            await self.find_leader()
            found = self.leadership.record
            if found is None or found.token != record.token:
                return
