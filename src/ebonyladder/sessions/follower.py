"""The other VMs' side: reports to the leader and acts on its orders."""

import asyncio
from collections.abc import Callable

from absl import logging
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.leadership import Leadership
from ebonyladder.sessions.messages import LeaderUpdate, Report, decode, encode
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.quota import GrantedQuota
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    VmId,
)

# Path of the connections on which VMs report.
REPORT_PATH = "/report"
# Reports to the leader, in seconds; loans and evidence live several times longer.
REPORT_PERIOD_S = 0.4
# Fleets above this size report half as often; one leader answers all.
LARGE_FLEET = 16
# Turns are asked for at most this often, in seconds.
ASK_PAUSE_S = 0.02
# Time for the leader's answer, in seconds: several round trips between regions.
ANSWER_LIMIT_S = 1.0
# A link without orders for this long is given up, in seconds: a report's period in
# large fleets and several round trips. Deputies lend meanwhile, so the end of a link
# that was only slow costs little.
SILENCE_LIMIT_S = 1.4
# A deputy lends once it has had no orders for this long, in seconds: before the other
# VMs give up their links and come to it.
DEPUTY_SILENCE_S = 1.1
MESSAGE_LIMIT = 4 * 1024 * 1024


class NoLenderError(Exception):
    """The far end neither leads nor lends, or not yet."""


class Follower:
    """Link of this VM to the leader.

    Parameters
    ----------
    cluster : ClusterView
        Receives groups, endpoints and catalogs.
    leadership : Leadership
        Told of each exchange.
    quota : GrantedQuota
        Asks for turns.
    watch_manager : WatchManager
        Resumed while the leader's orders don't bring what they would.
    pools : PoolSet
        Health of the endpoints.
    incarnation : Incarnation
        Start number of this process.
    clock : Clock
        Clock of reports.
    unlisted : callable
        Called when the leader doesn't have this VM in its list.

    Attributes
    ----------
    is_certain : bool
        Whether the leader was certain of its duty when it last answered.
    accepted_s : float
        Time of the last orders on the present link.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        quota: GrantedQuota,
        watch_manager: WatchManager,
        pools: PoolSet,
        incarnation: Incarnation,
        clock: Clock,
        unlisted: Callable[[], None],
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self.quota = quota
        self.watch_manager = watch_manager
        self.pools = pools
        self.incarnation = incarnation
        self.clock = clock
        self.unlisted = unlisted
        self.group_changed = asyncio.Event()
        self._reset()

    def _reset(self) -> None:
        self.heard_s: float | None = None
        self.is_certain = False
        self.accepted_s = float("-inf")
        self.leader_version = ConfigurationVersion(0)
        self.endpoints_version = -1

    @property
    def is_linked(self) -> bool:
        """Whether a leader or deputy has answered this VM lately."""
        return self.clock.now_s() - self.accepted_s < DEPUTY_SILENCE_S

    async def report_to(self, vm: VmId, address: Address) -> None:
        """Report to a leader or deputy until the link fails or it doesn't lend."""
        self._reset()
        try:
            async with connect(
                f"ws://{address}{REPORT_PATH}",
                compression=None,
                max_size=MESSAGE_LIMIT,
                open_timeout=ANSWER_LIMIT_S,
                close_timeout=0.2,
                ping_interval=None,
                proxy=None,
            ) as connection:
                logging.info("[follower] Reports go to a VM. vm=%s", vm)
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._send_reports(connection))
                    group.create_task(self._receive_orders(connection))
        except* NoLenderError:
            logging.info("[follower] VM doesn't lend. vm=%s", vm)
        except* (WebSocketException, OSError, TimeoutError, ValueError) as errors:
            logging.info(
                "[follower] Link ended. vm=%s error=%r",
                vm,
                errors.exceptions[0],
            )
            self.watch_manager.resume("no leader")
        finally:
            self.accepted_s = float("-inf")
            self.quota.lose_leader()

    async def _send_reports(self, connection: ClientConnection) -> None:
        while True:
            self.group_changed.clear()
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await connection.send(encode(self.report()))
            await asyncio.sleep(ASK_PAUSE_S)
            is_large = self.cluster.vm_count > LARGE_FLEET
            period_s = REPORT_PERIOD_S * (2 if is_large else 1)
            changed = asyncio.ensure_future(self.group_changed.wait())
            needed = asyncio.ensure_future(self.quota.needed.wait())
            try:
                await asyncio.wait(
                    {changed, needed},
                    timeout=period_s - ASK_PAUSE_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
                needed.cancel()

    async def _receive_orders(self, connection: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                update = decode(await connection.recv(), LeaderUpdate)
            if not self.accept(update):
                raise NoLenderError
            self.accepted_s = self.clock.now_s()

    def accept(self, update: LeaderUpdate) -> bool:
        """Act on orders; False where their sender neither leads nor lends."""
        self.leader_version = update.version
        if update.catalog is not None and self.cluster.adopt_catalog(update.catalog):
            logging.info(
                "[follower] Configuration is in force. version=%d",
                update.catalog.version,
            )
        if update.asked_s is not None:
            self.is_certain = update.is_leader
        if not update.is_leader:
            self.watch_manager.resume_later("the leader isn't certain of its duty")
            if update.lends and update.asked_s is not None:
                self.quota.accept(update.loans, update.asked_s)
            return update.lends
        changed = [g for g in update.groups if self.cluster.adopt_group(g)]
        if changed or update.version > self.cluster.version:
            self.group_changed.set()
        if update.state is not None:
            state = update.state
            self.endpoints_version = state.version
            self.cluster.adopt_endpoints(
                {e.id: e for e in state.endpoints}, frozenset(state.closed_zones)
            )
            self.cluster.adopt_fleet(state.fleet, state.owners)
            self.cluster.adopt_deputies(state.deputies)
        self.leadership.note_exchange()
        self.heard_s = update.at_s
        if update.asked_s is not None:
            self.cluster.note_evidence(update.asked_s)
            self.quota.accept(update.loans, update.asked_s)
            self.quota.accept_shares(update.shares)
        if not update.is_listed:
            self.unlisted()
        self._choose_watches(update)
        return True

    def _choose_watches(self, update: LeaderUpdate) -> None:
        """Watch the store only while the leader doesn't hear it."""
        has_all = self.endpoints_version >= 0 and (
            self.cluster.version >= update.version
        )
        if not update.has_store:
            self.watch_manager.resume_later("the leader has lost the store")
        elif has_all:
            self.watch_manager.pause()

    def report(self) -> Report:
        """Return a report of what this VM has and needs."""
        silent, stalled = self.findings()
        is_newer = 0 < self.leader_version < self.cluster.version
        return Report(
            vm=self.cluster.vm,
            incarnation=self.incarnation,
            sent_s=self.clock.now_s(),
            version=self.cluster.version,
            heard_s=self.heard_s,
            endpoints_version=self.endpoints_version,
            wants=self.quota.wants(),
            shares=(self.quota.shares or {}) if self.heard_s is None else None,
            silent=tuple(silent),
            stalled=tuple(stalled),
            epochs={g.service: g.epoch for g in self.cluster.groups.values()},
            catalog=self.cluster.catalog if is_newer else None,
        )

    def findings(self) -> tuple[list[EndpointId], list[EndpointId]]:
        """Return the endpoints that don't answer, and those that commits stall at."""
        pools = [(e, p) for e, p in self.pools.pools.items() if p.is_local]
        silent = [e for e, pool in pools if pool.health.is_suspect]
        stalled = [e for e, pool in pools if pool.health.is_commit_suspect]
        return silent, stalled
