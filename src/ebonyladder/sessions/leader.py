"""The leader's side: answers reports, lends turns, and has primaries changed."""

import asyncio
from collections.abc import Callable

from absl import logging
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    GroupState,
    VmEntry,
    zone_sizes,
)
from ebonyladder.sessions.failure_detector import FailureDetector
from ebonyladder.sessions.leadership import Leadership, LeadershipState
from ebonyladder.sessions.messages import (
    ClusterSnapshot,
    LeaderUpdate,
    Report,
    decode,
    encode,
)
from ebonyladder.sessions.ownership import assign_owners
from ebonyladder.sessions.quota import PermitAllocator, PermitGrant
from ebonyladder.sessions.shares import RateShares
from ebonyladder.sessions.standbys import choose_deputies
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import EndpointId, OrganisationId, ServiceId, VmId

# Time to send an order, in seconds.
SEND_LIMIT_S = 1.0
# Longest pause between looks at what a barrier still waits for, in seconds.
BARRIER_POLL_S = 0.2
# A VM that has not reported for this long is taken from the list, in seconds. A
# change of primary waits for the VMs of the list.
VM_FORGET_S = 6.0


class Leader:
    """What this VM does for the others while it holds the duty.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, groups and the catalog.
    leadership : Leadership
        Certainty of the duty.
    failure_detector : FailureDetector
        Receives the reports.
    allocator : PermitAllocator
        Turns to lend.
    watch_manager : WatchManager
        Tells whether this VM hears the store.
    vms : callable
        Returns the registered VMs.
    clock : Clock
        Clock of orders.

    Attributes
    ----------
    stands_in : bool
        Whether this VM is a deputy that has lost the leader.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        failure_detector: FailureDetector,
        allocator: PermitAllocator,
        watch_manager: WatchManager,
        vms: Callable[[], dict[VmId, VmEntry]],
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self.failure_detector = failure_detector
        self.allocator = allocator
        self.watch_manager = watch_manager
        self.vms = vms
        self.clock = clock
        self.shares = RateShares(clock=clock)
        self.connections: dict[VmId, ServerConnection] = {}
        self.stands_in = False
        self.adopted: dict[tuple[VmId, ServiceId], int] = {}
        self.epoch_reported = asyncio.Event()
        self.state: ClusterSnapshot | None = None
        # Token under which the groups were read from the store; 0 for none.
        self.loaded_token = 0
        self.removed_s: dict[VmId, float] = {}
        # Endpoints that answer this VM but not their owners.
        self.reached: set[EndpointId] = set()

    @property
    def token(self) -> int | None:
        """Token of the duty, None while this VM isn't certain of it.

        A new leader first reads the groups: its predecessor may have changed one
        that this VM was not told of.
        """
        if self.needs_groups:
            return None
        if self.leadership.standing(self.vms()) is not LeadershipState.LEADER:
            return None
        return self.leadership.record.token

    @property
    def lends(self) -> bool:
        """Whether this VM lends turns, as the holder of the duty or a deputy.

        Without certainty it lends what the VMs that report to it may use on their
        own, so it needs no proof that no other VM leads.
        """
        return self.leadership.is_holder or self.stands_in

    @property
    def needs_groups(self) -> bool:
        """Whether the groups have to be read before this VM may lead."""
        record = self.leadership.record
        return record is None or self.loaded_token != record.token

    def note_groups_read(self, token: int) -> None:
        """Note that the groups were read from the store under a token."""
        self.loaded_token = token

    def note_removed(self, vm: VmId) -> None:
        """Note that a VM was taken from the list.

        It may still hold evidence from the store that is older than its removal.
        """
        self.removed_s[vm] = self.clock.now_s()

    def take_links(self, endpoint: EndpointId) -> None:
        """Own an endpoint that answers this VM but not its owner.

        It answers a primary that is cut from its owner: all statements to it go
        through the owner, so the cut of one VM would stop the service.
        """
        owner = self.cluster.owners.get(endpoint)
        if owner is not None and owner.vm != self.cluster.vm:
            self.reached.add(endpoint)
            logging.info(
                "[leader] Endpoint changes its owner. endpoint=%s from=%s",
                endpoint,
                owner.vm,
            )

    async def serve(self, connection: ServerConnection) -> None:
        """Answer the reports of one VM."""
        vm: VmId | None = None
        try:
            async for data in connection:
                report = decode(data, Report)
                vm = report.vm
                self.connections[vm] = connection
                await connection.send(encode(self.answer(report)))
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[leader] Link of a VM ended. vm=%s error=%r", vm, error)
        finally:
            if vm is not None and self.connections.get(vm) is connection:
                del self.connections[vm]

    def answer(self, report: Report) -> LeaderUpdate:
        """Take over a report and return the orders for its sender."""
        if report.catalog is not None and self.cluster.adopt_catalog(report.catalog):
            logging.info(
                "[leader] Configuration came from a VM. version=%d vm=%s",
                report.catalog.version,
                report.vm,
            )
        for service, epoch in report.epochs.items():
            self.adopted[report.vm, service] = epoch
        self.epoch_reported.set()
        if report.heard_s is not None:
            self.leadership.note_heard(report.vm, report.heard_s)
        self.failure_detector.note_report(report)
        self.shares.note_report(
            report.vm, wants=report.wants, heard_s=report.heard_s, held=report.shares
        )
        # The token is worked out over all VMs, so an answer asks for it once.
        if self.token is None:
            wants = report.wants if self.lends else {}
            loans = self.lend(wants, is_certain=False)
            return self._orders(report, is_leader=False, lends=self.lends, loans=loans)
        is_behind = report.version < self.cluster.version
        state = self.state
        if state is not None and state.version == report.endpoints_version:
            state = None
        at_s = self.clock.now_s()
        return self._orders(
            report,
            is_leader=True,
            at_s=at_s,
            shares=self.shares.grant(report.vm, at_s),
            groups=self._newer_groups(report),
            loans=self.lend(report.wants, is_certain=True),
            state=state,
            catalog=self.cluster.catalog if is_behind else None,
        )

    def lend(
        self, wants: dict[OrganisationId, int], *, is_certain: bool
    ) -> dict[OrganisationId, PermitGrant]:
        """Lend turns of the organisations that are asked for.

        Parameters
        ----------
        wants : dict of OrganisationId to int
            Turns that a VM asks for.
        is_certain : bool
            Whether this VM is certain of the duty now.
        """
        catalog = self.cluster.catalog
        if catalog is None:
            return {}
        part_of = self.shares.lendable_part if is_certain else self.shares.pooled_part
        return {
            name: self.allocator.lend(
                catalog.organisations[name],
                wanted,
                part=part_of(name),
            )
            for name, wanted in wants.items()
            if name in catalog.organisations
        }

    def refresh_shares(self) -> set[VmId]:
        """Take over which VMs report, and return them with this one."""
        fresh = self.failure_detector.fresh().keys() | {self.cluster.vm}
        self.shares.refresh(self.vms(), fresh, vm_count=self.cluster.vm_count)
        return fresh

    def refresh(self) -> None:
        """Work out zones and owners anew, and the state that VMs are sent."""
        vms = self.vms()
        fresh = self.refresh_shares()
        live = {vm: entry for vm, entry in vms.items() if vm in fresh}
        owners = assign_owners(
            cluster=self.cluster,
            vms=live,
            leader=self.cluster.vm,
            reached=frozenset(self.reached),
        )
        self.reached.clear()
        self.cluster.adopt_fleet(zone_sizes(vms.values()), owners)
        deputies = choose_deputies(
            live,
            leader=self.cluster.vm,
            owners=(owner.vm for owner in owners.values()),
            known=self.cluster.deputies,
        )
        self.cluster.adopt_deputies(deputies)
        content = {
            "endpoints": tuple(self.cluster.endpoints.values()),
            "closed_zones": tuple(sorted(self.cluster.closed_zones)),
            "fleet": self.cluster.fleet,
            "owners": owners,
            "deputies": deputies,
        }
        version = self.state.version if self.state else 0
        if self.state != ClusterSnapshot(version=version, **content):
            self.state = ClusterSnapshot(version=version + 1, **content)

    async def push(self) -> None:
        """Send the groups and the catalog to all VMs without being asked."""
        update = LeaderUpdate(
            is_leader=self.token is not None,
            has_store=self.watch_manager.has_store,
            at_s=self.clock.now_s(),
            version=self.cluster.version,
            groups=tuple(self.cluster.groups.values()),
        )
        data = encode(update)
        await asyncio.gather(
            *(self._send(vm, c, data) for vm, c in list(self.connections.items()))
        )

    async def wait_adopted(self, group: GroupState, limit_s: float) -> None:
        """Return once all VMs act on a group state, or after ``limit_s``."""
        deadline_s = self.clock.now_s() + limit_s
        while True:
            self.epoch_reported.clear()
            missing = [
                vm
                for vm in self.vms()
                if vm != self.cluster.vm
                and self.adopted.get((vm, group.service), 0) < group.epoch
            ]
            missing += self._removed_within(limit_s)
            left_s = deadline_s - self.clock.now_s()
            if not missing or left_s <= 0:
                break
            try:
                async with asyncio.timeout(min(left_s, BARRIER_POLL_S)):
                    await self.epoch_reported.wait()
            except TimeoutError:
                continue
        logging.info(
            "[leader] Group state is adopted. service=%s epoch=%d missing=%s",
            group.service,
            group.epoch,
            ",".join(missing) or "-",
        )

    def _removed_within(self, limit_s: float) -> list[VmId]:
        oldest_s = self.clock.now_s() - limit_s
        self.removed_s = {vm: s for vm, s in self.removed_s.items() if s > oldest_s}
        return list(self.removed_s)

    def forgotten(self) -> list[VmId]:
        """Return the VMs that have not reported for too long."""
        now_s = self.clock.now_s()
        if now_s - self.leadership.taken_s < VM_FORGET_S:
            return []
        return [
            vm
            for vm in self.vms()
            if vm != self.cluster.vm
            and now_s - self.failure_detector.reported_s(vm) > VM_FORGET_S
        ]

    def _newer_groups(self, report: Report) -> tuple[GroupState, ...]:
        return tuple(
            group
            for group in self.cluster.groups.values()
            if report.epochs.get(group.service, 0) < group.epoch
        )

    def _orders(
        self,
        report: Report,
        *,
        is_leader: bool,
        at_s: float | None = None,
        **fields,
    ) -> LeaderUpdate:
        return LeaderUpdate(
            is_leader=is_leader,
            has_store=self.watch_manager.has_store,
            at_s=self.clock.now_s() if at_s is None else at_s,
            version=self.cluster.version,
            asked_s=report.sent_s,
            is_listed=report.vm in self.vms(),
            **fields,
        )

    async def _send(self, vm: VmId, connection: ServerConnection, data: bytes) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                await connection.send(data)
        except (WebSocketException, OSError, TimeoutError) as error:
            logging.info("[leader] Order isn't sent. vm=%s error=%r", vm, error)
