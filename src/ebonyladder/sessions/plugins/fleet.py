"""Plug-in that joins this VM to the fleet: its leader, groups and grants."""

import asyncio
import random
import time
from collections.abc import Mapping

import msgspec
from absl import logging
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.failover import Failover, Fleet
from ebonyladder.sessions.leadership import (
    LEADER_NAME,
    LeaderRecord,
    Leadership,
    Standing,
)
from ebonyladder.sessions.link import EndpointDriver, PromotionCaller
from ebonyladder.sessions.messages import Orders, Report, decode, encode
from ebonyladder.sessions.objects import GROUPS, LEADERS, VMS, ObjectStore, StoreObject
from ebonyladder.sessions.plugins.sessions import SessionHost
from ebonyladder.sessions.quota import GrantedQuota, divide
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.roster import GroupState, Roster, VmEntry
from ebonyladder.sessions.supervisor import Supervisor
from ebonyladder.sessions.watcher import KindWatcher
from ebonyladder.settings import split_address
from ebonyladder.types import (
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    ServiceId,
    VmId,
)

# Reports to the leader, in seconds; grants and evidence live several times longer.
REPORT_PERIOD_S = 0.4
# Time for the leader's answer, in seconds: several round trips between regions.
ANSWER_LIMIT_S = 1.0
# Evidence older than this is renewed from the store, in seconds.
EVIDENCE_RENEWAL_S = 0.9
# Period of the leader's own checks, in seconds.
LEAD_PERIOD_S = 0.1
# A VM that has not reported for this long is taken from the list, in seconds.
VM_FORGET_S = 15.0
# Pause between looks at the leader's record, in seconds.
RECORD_PERIOD_S = 0.5
# Largest message between VMs, in bytes: a catalog of the largest stored size.
MESSAGE_LIMIT = 4 * 1024 * 1024


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
    """Brings the list of VMs from the store into the roster."""

    def __init__(self, *, store: ObjectStore, roster: Roster) -> None:
        super().__init__(store=store, kind=VMS)
        self.roster = roster

    def apply(self, objects: Mapping[str, StoreObject]) -> None:
        """Replace the list of VMs."""
        entries = [msgspec.convert(o.content, VmEntry) for o in objects.values()]
        self.roster.vms = {entry.vm: entry for entry in entries}
        self.roster.notify()


@register
class FleetPlugin(Plugin, Fleet):
    """Reports to the leader, or leads."""

    name = "fleet"
    provides = (Fleet,)
    requires = (Roster, ObjectStore, SessionHost, GrantedQuota, PromotionCaller)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.incarnation = Incarnation(time.time_ns())
        self.leadership = Leadership(
            vm=kernel.settings.vm, incarnation=self.incarnation, clock=kernel.clock
        )
        self.connections: dict[VmId, ServerConnection] = {}
        self.adopted: dict[tuple[VmId, ServiceId], int] = {}
        self.epoch_reported = asyncio.Event()
        self.group_changed = asyncio.Event()
        self.group_revisions: dict[ServiceId, int] = {}
        self.changing: set[ServiceId] = set()
        self.server: Server | None = None
        # Of the present link to the leader.
        self.heard_s: float | None = None
        self.leader_version = ConfigurationVersion(0)

    async def start(self) -> None:
        """Register this VM, listen to others, and find the leader."""
        self.roster = self.kernel.get(Roster)
        self.store = self.kernel.get(ObjectStore)
        self.host = self.kernel.get(SessionHost)
        self.quota = self.kernel.get(GrantedQuota)
        self.supervisor = Supervisor(roster=self.roster, clock=self.kernel.clock)
        self.failover = Failover(
            roster=self.roster,
            driver=self.kernel.get(EndpointDriver),
            promoter=self.kernel.get(PromotionCaller),
            fleet=self,
            clock=self.kernel.clock,
        )
        address, port = split_address(self.kernel.settings.peer)
        self.server = await serve(
            self._serve_vm, address, port, compression=None, max_size=MESSAGE_LIMIT
        )
        self.groups = GroupWatcher(store=self.store, roster=self.roster)
        self.vms = VmWatcher(store=self.store, roster=self.roster)
        self.kernel.spawn(self.groups.run(), name="watch-groups")
        self.kernel.spawn(self.vms.run(), name="watch-vms")
        self.kernel.spawn(self._stay_registered(), name="registration")
        self.kernel.spawn(self._follow(), name="leader-link")
        self.kernel.spawn(self._lead(), name="leader-duty")
        self.kernel.spawn(self._renew_evidence(), name="evidence")

    async def announce_drain(self) -> None:
        """Give the duty up, so that another VM takes it over at once."""
        if not self.leadership.is_holder:
            return
        released = msgspec.structs.replace(self.leadership.record, is_released=True)
        try:
            found = await self.store.replace(
                LEADERS,
                LEADER_NAME,
                msgspec.to_builtins(released),
                self.leadership.revision,
            )
        except StoreError as error:
            logging.warning("[fleet] Duty isn't released. error=%s", error)
            return
        self.leadership.observe(released, found.revision)
        logging.info("[fleet] Duty is released. token=%d", released.token)

    async def stop(self) -> None:
        """Close the links to other VMs."""
        if self.server is not None:
            self.server.close()

    # Duties that a change of primary needs.

    def fencing_token(self) -> int | None:
        """Return the token of this VM's duty, None if it isn't certain of it."""
        if self.leadership.standing(self.roster.vms) is not Standing.LEADER:
            return None
        return self.leadership.record.token

    async def write_group(self, group: GroupState) -> None:
        """Store a group state with a higher epoch."""
        content = msgspec.to_builtins(group)
        known = self.groups.objects.get(group.service)
        try:
            if known is None:
                found = await self.store.create(GROUPS, group.service, content)
            else:
                found = await self.store.replace(
                    GROUPS, group.service, content, known.revision
                )
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(GROUPS, group.service)
            # A write whose answer was lost conflicts with its own repetition.
            if found is None or found.content != content:
                self.groups.note(found)
                raise
        self.groups.objects[group.service] = found
        self.roster.adopt_group(group)
        await self._push_groups()

    async def wait_adopted(self, group: GroupState, limit_s: float) -> None:
        """Return once all VMs act on the group state, or after ``limit_s``."""
        deadline_s = self.kernel.clock.now_s() + limit_s
        while True:
            self.epoch_reported.clear()
            missing = [
                vm
                for vm in self.roster.vms
                if vm != self.roster.vm
                and self.adopted.get((vm, group.service), 0) < group.epoch
            ]
            left_s = deadline_s - self.kernel.clock.now_s()
            if not missing or left_s <= 0:
                break
            try:
                async with asyncio.timeout(min(left_s, REPORT_PERIOD_S)):
                    await self.epoch_reported.wait()
            except TimeoutError:
                continue
        logging.info(
            "[fleet] Group state is adopted. service=%s epoch=%d missing=%s",
            group.service,
            group.epoch,
            ",".join(missing) or "-",
        )

    # The leader's side.

    async def _serve_vm(self, connection: ServerConnection) -> None:
        """Answer the reports of one VM."""
        vm: VmId | None = None
        try:
            async for data in connection:
                report = decode(data, Report)
                vm = report.vm
                self.connections[vm] = connection
                await connection.send(encode(self._answer(report)))
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[fleet] Link of a VM ended. vm=%s error=%r", vm, error)
        finally:
            if vm is not None and self.connections.get(vm) is connection:
                del self.connections[vm]

    def _answer(self, report: Report) -> Orders:
        if report.catalog is not None:
            self._adopt_catalog(report.catalog, report.vm)
        catalog = None
        if report.version < self.roster.version:
            catalog = self.roster.catalog
        for service, epoch in report.epochs.items():
            self.adopted[report.vm, service] = epoch
        self.epoch_reported.set()
        if report.heard_s is not None:
            self.leadership.note_heard(report.vm, report.heard_s)
        self.supervisor.note_report(report)
        is_leader = self.fencing_token() is not None
        return Orders(
            is_leader=is_leader,
            at_s=self.kernel.clock.now_s(),
            version=self.roster.version,
            asked_s=report.sent_s,
            groups=tuple(self.roster.groups.values()),
            grants=self._grants(report.vm) if is_leader else {},
            catalog=catalog,
        )

    def _adopt_catalog(self, catalog, vm: VmId) -> None:
        if self.roster.adopt_catalog(catalog):
            logging.info(
                "[fleet] Configuration came from a VM. version=%d vm=%s",
                catalog.version,
                vm,
            )

    def _grants(self, vm: VmId) -> dict[OrganisationId, float]:
        """Return the part of each organisation's rate that a VM may use."""
        if self.roster.catalog is None:
            return {}
        demands = {v: r.demands for v, r in self.supervisor.fresh().items()}
        demands[self.roster.vm] = self.quota.demands()
        demands.setdefault(vm, {})
        asked = {name for found in demands.values() for name in found}
        grants = {}
        for name in asked:
            organisation = self.roster.catalog.organisations.get(name)
            if organisation is not None:
                parts = divide(
                    rate_per_s=organisation.rate_per_s,
                    demands={v: found.get(name, 0.0) for v, found in demands.items()},
                    vm_count=len(self.roster.vms),
                )
                grants[name] = parts[vm]
        return grants

    async def _push_groups(self) -> None:
        orders = encode(
            Orders(
                is_leader=self.fencing_token() is not None,
                at_s=self.kernel.clock.now_s(),
                version=self.roster.version,
                groups=tuple(self.roster.groups.values()),
            )
        )
        for vm, connection in list(self.connections.items()):
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    await connection.send(orders)
            except (WebSocketException, OSError, TimeoutError) as error:
                logging.info("[fleet] Order isn't sent. vm=%s error=%r", vm, error)

    async def _lead(self) -> None:
        """Do the leader's duties while this VM holds them."""
        while True:
            await asyncio.sleep(LEAD_PERIOD_S)
            if not self.leadership.is_holder:
                continue
            if self.leadership.needs_renewal(self.roster.vms):
                await self._write_record()
            if self.fencing_token() is None:
                continue
            now_s = self.kernel.clock.now_s()
            self.roster.note_evidence(now_s)
            self.quota.accept(self._grants(self.roster.vm), now_s)
            self._start_changes()
            await self._forget_vms(now_s)

    def _start_changes(self) -> None:
        silent, stalled = self._findings()
        services = {e.service for e in self.roster.endpoints.values()}
        for service in services - self.changing:
            cause = self.supervisor.cause(
                service, silent=frozenset(silent), stalled=frozenset(stalled)
            )
            if cause is not None:
                self.changing.add(service)
                self.kernel.spawn(
                    self._change(service, cause), name=f"failover-{service}"
                )

    async def _change(self, service: ServiceId, cause) -> None:
        is_changed = False
        try:
            is_changed = await self.failover.change(service, cause)
        finally:
            self.supervisor.note_change(service, is_changed=is_changed)
            self.changing.discard(service)

    async def _forget_vms(self, now_s: float) -> None:
        oldest_s = max(self.leadership.seen_s, now_s - VM_FORGET_S)
        if now_s - self.leadership.seen_s < VM_FORGET_S:
            return
        for vm in list(self.roster.vms):
            heard_s = self.leadership.heard_s.get(vm, float("-inf"))
            found = self.vms.objects.get(vm)
            if vm == self.roster.vm or heard_s >= oldest_s or found is None:
                continue
            try:
                await self.store.delete(VMS, vm, found.revision)
            except StoreError as error:
                logging.info("[fleet] VM isn't removed. vm=%s error=%s", vm, error)
            else:
                logging.info("[fleet] VM is removed from the list. vm=%s", vm)
                self.vms.objects.pop(vm, None)
                self.vms.apply(self.vms.objects)

    # The side of the other VMs.

    async def _follow(self) -> None:
        """Find the leader and report to it, or take the duty over."""
        while True:
            try:
                await self._look_at_record()
            except StoreError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "[fleet] Leader's record isn't read. error=%s",
                    5,
                    error,
                )
            record = self.leadership.record
            if record is not None and not self._is_own(record):
                await self._report_to(record)
            await asyncio.sleep(RECORD_PERIOD_S * random.uniform(0.6, 1.0))

    def _is_own(self, record: LeaderRecord) -> bool:
        return record.holder == self.roster.vm

    async def _look_at_record(self) -> None:
        if self.leadership.is_holder and self.fencing_token() is not None:
            return
        found = await self.store.get(LEADERS, LEADER_NAME)
        if found is None:
            self.leadership.observe(None, self.leadership.revision)
        else:
            record = msgspec.convert(found.content, LeaderRecord)
            self.leadership.observe(record, found.revision)
        if self.leadership.may_take_over() and not self.kernel.draining:
            await self._write_record()

    async def _write_record(self) -> None:
        """Take or renew the duty by a conditional write."""
        record = self.leadership.next_record(self.kernel.settings.peer)
        sent_s = self.kernel.clock.now_s()
        content = msgspec.to_builtins(record)
        try:
            if self.leadership.record is None:
                found = await self.store.create(LEADERS, LEADER_NAME, content)
            else:
                found = await self.store.replace(
                    LEADERS, LEADER_NAME, content, self.leadership.revision
                )
        except StoreError as error:
            logging.info("[fleet] Duty isn't written. error=%s", error)
            if error.code is ErrorCode.STORE_CONFLICT:
                await self._reread_record()
            return
        if not self.leadership.is_holder:
            logging.info("[fleet] Duty is taken. token=%d", record.token)
        self.leadership.note_written(record, found.revision, sent_s)

    async def _reread_record(self) -> None:
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.info("[fleet] Leader's record isn't read. error=%s", error)
            return
        if found is not None:
            record = msgspec.convert(found.content, LeaderRecord)
            sent_s = self.leadership.stored_s
            # A write whose answer was lost may be this process's own.
            self.leadership.observe(record, found.revision)
            self.leadership.stored_s = sent_s

    async def _report_to(self, record: LeaderRecord) -> None:
        """Report to the leader until the link fails or it isn't certain."""
        try:
            async with connect(
                f"ws://{record.address}",
                compression=None,
                max_size=MESSAGE_LIMIT,
                open_timeout=ANSWER_LIMIT_S,
                close_timeout=0.2,
                ping_interval=None,
                proxy=None,
            ) as connection:
                logging.info("[fleet] Reports go to the leader. vm=%s", record.holder)
                self.heard_s = None
                self.leader_version = ConfigurationVersion(0)
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._send_reports(connection))
                    group.create_task(self._receive_orders(connection))
        except* (WebSocketException, OSError, TimeoutError, ValueError) as errors:
            logging.info(
                "[fleet] Link to the leader ended. vm=%s error=%r",
                record.holder,
                errors.exceptions[0],
            )

    async def _send_reports(self, connection) -> None:
        while True:
            self.group_changed.clear()
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await connection.send(encode(self._report()))
            try:
                async with asyncio.timeout(REPORT_PERIOD_S):
                    await self.group_changed.wait()
            except TimeoutError:
                continue

    async def _receive_orders(self, connection) -> None:
        while True:
            async with asyncio.timeout(ANSWER_LIMIT_S + REPORT_PERIOD_S):
                orders = decode(await connection.recv(), Orders)
            if not self._accept(orders):
                raise TimeoutError("the leader isn't certain of its duty")

    def _accept(self, orders: Orders) -> bool:
        self.leader_version = orders.version
        if orders.catalog is not None:
            self._adopt_catalog(orders.catalog, VmId("leader"))
        if not orders.is_leader:
            return False
        changed = [g for g in orders.groups if self.roster.adopt_group(g)]
        if changed:
            self.group_changed.set()
        self.leadership.note_exchange()
        self.heard_s = orders.at_s
        if orders.asked_s is not None:
            self.roster.note_evidence(orders.asked_s)
            self.quota.accept(orders.grants, orders.asked_s)
        return True

    def _report(self) -> Report:
        silent, stalled = self._findings()
        is_newer = 0 < self.leader_version < self.roster.version
        return Report(
            vm=self.roster.vm,
            incarnation=self.incarnation,
            sent_s=self.kernel.clock.now_s(),
            version=self.roster.version,
            heard_s=self.heard_s,
            demands=self.quota.demands(),
            silent=tuple(silent),
            stalled=tuple(stalled),
            epochs={g.service: g.epoch for g in self.roster.groups.values()},
            catalog=self.roster.catalog if is_newer else None,
        )

    def _findings(self) -> tuple[list[EndpointId], list[EndpointId]]:
        pools = self.host.pools.pools.items()
        silent = [e for e, pool in pools if pool.health.is_suspect]
        stalled = [e for e, pool in pools if pool.health.is_commit_suspect]
        return silent, stalled

    # Both sides.

    async def _renew_evidence(self) -> None:
        """Ask the store for the group states while no leader answers."""
        while True:
            await asyncio.sleep(EVIDENCE_RENEWAL_S / 4)
            sent_s = self.kernel.clock.now_s()
            if sent_s - self.roster.evidence_s < EVIDENCE_RENEWAL_S:
                continue
            try:
                listing = await self.store.list(GROUPS)
            except StoreError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "[fleet] No evidence of the groups. error=%s",
                    5,
                    error,
                )
                continue
            for found in listing.objects:
                self.roster.adopt_group(msgspec.convert(found.content, GroupState))
            self.roster.note_evidence(sent_s)
            await asyncio.sleep(EVIDENCE_RENEWAL_S / 2)

    async def _stay_registered(self) -> None:
        """Keep this VM's entry in the store."""
        entry = VmEntry(
            vm=self.roster.vm,
            address=self.kernel.settings.peer,
            zone=self.roster.zone,
            incarnation=self.incarnation,
        )
        content = msgspec.to_builtins(entry)
        while True:
            await self.vms.is_listed.wait()
            known = self.vms.objects.get(entry.vm)
            try:
                if known is None:
                    await self.store.create(VMS, entry.vm, content)
                elif known.content != content:
                    await self.store.replace(VMS, entry.vm, content, known.revision)
            except StoreError as error:
                logging.info("[fleet] VM isn't registered yet. error=%s", error)
            await asyncio.sleep(1.0)
