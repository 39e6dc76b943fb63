"""Plug-in that keeps the active configuration current."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from absl import logging

from ebonyladder._active_configuration import ActiveConfiguration, text_of
from ebonyladder._confirmation import ConfirmationRound
from ebonyladder._subtree import SubtreeCounter
from ebonyladder.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationSource,
)
from ebonyladder.configuration_freshness import (
    ConfigurationFreshness,
    StoreUnreachableReport,
)
from ebonyladder.kernel.error import EbonyladderError, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    ConfirmationAnswer,
    ConfirmationRequest,
    Message,
    PeerRecord,
    Sync,
    SyncAnswer,
)
from ebonyladder.operator import Confirmation, ConfirmationReport
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.relay import RootSet, parents_of, tree_order
from ebonyladder.routing import rendezvous_order
from ebonyladder.store import PlatformStore
from ebonyladder.types import ConfigurationVersion, VmId, ZoneId

# Two watches and the relay down the tree must take less than the freshness limit
# of 3 s.
WATCH_WAIT_S = 0.75
MIN_WATCH_WAIT_S = 0.1
STORE_ANSWER_TIMEOUT_S = 0.75
STORE_BACKOFF_S = 0.25
SYNC_WAIT_S = 0.75
SYNC_ANSWER_TIMEOUT_S = 0.75
MAX_SYNC_WAIT_S = 5.0
# A parent answers early once its confirmation is newer by this. The second parent is
# a standby, so its confirmation may be older.
PARENT_STEPS_S = (0.25, 1.0)
PARENT_BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)
# A VM whose confirmation is older after a sync tries another parent.
MAX_PARENT_STALENESS_S = 2.0
ROOTS_INTERVAL_S = 0.5
ROOT_ANSWER_TIMEOUT_S = 0.5
TREE_INTERVAL_S = 0.5


@register
class ConfigurationPlugin(Plugin, ConfigurationSource, Confirmation):
    """Get the configuration from the store on relay roots, else from parents."""

    name = "configuration"
    provides = (ConfigurationSource, Confirmation)
    requires = (PlatformStore, PeerConnections)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.random = Random(f"{self.vm}/{kernel.clock.wall_s()}")
        self.active = ActiveConfiguration()
        self.history = self.active.history
        self.freshness = ConfigurationFreshness(clock=kernel.clock)
        self.roots = RootSet(clock=kernel.clock)
        self.subtree = SubtreeCounter(vm=self.vm, clock=kernel.clock)
        self.parents: list[VmId] = []
        self.is_store_unreachable = False
        self.changed = asyncio.Event()

    @property
    def current(self) -> Configuration:
        """Active configuration; empty before the first one is known."""
        return self.active.current

    @property
    def version(self) -> ConfigurationVersion:
        """Active version, 0 before the first one is known."""
        return self.history.version

    def require_fresh(self, step: Step) -> None:
        """Raise ``RequestError`` STALE_CONFIGURATION without a recent confirmation."""
        self.freshness.require_fresh(step)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that is applied."""
        self.active.listeners.append(listener)

    async def confirm(
        self, version: ConfigurationVersion, wait_s: float
    ) -> ConfirmationReport:
        """Return which live VMs have the version within ``wait_s`` seconds."""
        return await self._confirmation_round(version).confirm(wait_s)

    async def require_roots(self, version: ConfigurationVersion, wait_s: float) -> None:
        """Return once most relay roots have the version."""
        await self._confirmation_round(version).require_roots(wait_s)

    def _confirmation_round(self, version: ConfigurationVersion) -> ConfirmationRound:
        return ConfirmationRound(
            vm=self.vm,
            version=version,
            own_version=lambda: self.version,
            subtree=self.subtree,
            roots=self.roots.active_roots,
            peers=self.kernel.get(PeerConnections),
            members=[m.vm for m in self.kernel.get(Membership).members()],
        )

    async def start(self) -> None:
        """Load the first text, then keep it current from the store or parents."""
        peers = self.kernel.get(PeerConnections)
        peers.handle(Sync, self._answer_sync)
        peers.handle(ConfirmationRequest, self._answer_confirmation)
        await self._load_initial()
        self.kernel.supervise(self._update_tree, name="configuration-tree")
        self.kernel.supervise(self._watch_store, name="configuration-store")
        self.kernel.supervise(self._poll_roots, name="configuration-roots")
        for parent_index in range(len(PARENT_STEPS_S)):
            self.kernel.supervise(
                partial(self._sync_with_parent, parent_index),
                name=f"configuration-parent-{parent_index}",
            )

    async def _load_initial(self) -> None:
        """Load the first text from a seed, which also knows the roots, or the store."""
        peers = self.kernel.get(PeerConnections)
        for address in self.kernel.settings.seeds:
            if address == self.kernel.settings.peer or self.version:
                continue
            sent_at_s = self.clock.now_s()
            try:
                answer = await peers.call_address(
                    address, Sync(version=self.version, wait_s=0.0), timeout_s=1.0
                )
            except EbonyladderError as error:
                logging.info("[configuration] Seed does not answer. error=%s", error)
                continue
            self._apply_answer(answer, sent_at_s)
        if not self.version:
            await self._query_store(0.0)

    # Store

    async def _watch_store(self) -> None:
        """Watch the stored object while this VM is a relay root."""
        wait_s = WATCH_WAIT_S
        while True:
            if self.vm not in self.roots.active_roots:
                self.is_store_unreachable = False
                await asyncio.sleep(TREE_INTERVAL_S)
                continue
            sent_at_s = self.clock.now_s()
            if await self._query_store(wait_s):
                latency_s = max(0.0, self.clock.now_s() - sent_at_s - wait_s)
                wait_s = max(MIN_WATCH_WAIT_S, WATCH_WAIT_S - latency_s)
            else:
                await asyncio.sleep(STORE_BACKOFF_S)

    async def _query_store(self, wait_s: float) -> bool:
        """Read or watch the object once; False if the store did not answer."""
        store = self.kernel.get(PlatformStore)
        sent_at_s = self.clock.now_s()
        try:
            async with asyncio.timeout(wait_s + STORE_ANSWER_TIMEOUT_S):
                if self.version and wait_s:
                    found = await store.watch(
                        CONFIGURATION_KEY, after_version=self.version, wait_s=wait_s
                    )
                else:
                    found = await store.get(CONFIGURATION_KEY)
        except (StoreError, TimeoutError) as error:
            if not self.is_store_unreachable:
                logging.warning("[configuration] Store is unreachable. error=%r", error)
            self.is_store_unreachable = True
            self._notify_changed()
            return False
        self.is_store_unreachable = False
        if found is not None:
            self._apply(ConfigurationVersion(found.version), text_of(found))
        if self.version and (found is None or found.version == self.version):
            self.freshness.confirm_current(sent_at_s)
        if not self.version:
            await asyncio.sleep(STORE_BACKOFF_S)
        self._notify_changed()
        return True

    async def _poll_roots(self) -> None:
        """Query the other roots concurrently while this one cannot reach the store."""
        while True:
            await asyncio.sleep(ROOTS_INTERVAL_S)
            roots = self.roots.active_roots
            if not self.is_store_unreachable or self.vm not in roots:
                self.freshness.unreachable_reports.clear()
                continue
            own = StoreUnreachableReport(self.clock.now_s(), self.version)
            self.freshness.record_store_unreachable(self.vm, own)
            async with asyncio.TaskGroup() as group:
                for root in roots:
                    if root != self.vm:
                        group.create_task(self._query_root(root))
            self.freshness.evaluate_outage(self.roots.quorum_roots, self.version)
            self._notify_changed()

    async def _query_root(self, root: VmId) -> None:
        sync = Sync(version=self.version, wait_s=0.0)
        sent_at_s = self.clock.now_s()
        try:
            answer = await self.kernel.get(PeerConnections).call(
                root, sync, timeout_s=ROOT_ANSWER_TIMEOUT_S
            )
        except EbonyladderError:
            self.freshness.clear_store_unreachable(root)
            return
        self._apply_answer(answer, sent_at_s)
        if answer.is_store_unreachable:
            report = StoreUnreachableReport(sent_at_s, answer.version)
            self.freshness.record_store_unreachable(root, report)
        else:
            self.freshness.clear_store_unreachable(root)

    # Tree

    async def _update_tree(self) -> None:
        """Update roots and parents when the view changes."""
        last_members: list[PeerRecord] = []
        zones: dict[VmId, ZoneId] = {}
        active_roots: list[VmId] = []
        while True:
            membership = self.kernel.get(Membership)
            members = membership.members()
            is_changed = members is not last_members
            if is_changed:
                last_members = members
                zones = {member.vm: member.zone for member in members}
            # Only the first roots depend on it, and the check costs a pass over all
            # members.
            is_complete = not self.roots.quorum_roots and membership.is_complete()
            self.roots.update(
                zones, self.freshness.current_at_s, is_complete=is_complete
            )
            if is_changed or active_roots != self.roots.active_roots:
                active_roots = list(self.roots.active_roots)
                roots = [vm for vm in active_roots if vm in zones]
                order = tree_order(zones, roots)
                self.parents = parents_of(self.vm, order, len(roots))
            await asyncio.sleep(TREE_INTERVAL_S)

    async def _sync_with_parent(self, parent_index: int) -> None:
        """Sync from one parent by long polls, and from other VMs while it fails."""
        failures = 0
        while True:
            if self.vm in self.roots.active_roots:
                await asyncio.sleep(TREE_INTERVAL_S)
                continue
            parent = self._parent(parent_index, failures)
            if parent is not None and await self._sync(parent, parent_index):
                failures = 0
                continue
            failures += 1
            backoff_s = PARENT_BACKOFF_S[min(failures, len(PARENT_BACKOFF_S)) - 1]
            await asyncio.sleep(backoff_s * self.random.uniform(0.5, 1.0))

    def _parent(self, parent_index: int, failures: int) -> VmId | None:
        """Return the parent to sync with after ``failures`` consecutive failures."""
        if failures == 0 and parent_index < len(self.parents):
            return self.parents[parent_index]
        if failures == 0 and self.parents:
            return None
        members = self.kernel.get(Membership).members()
        others = [member.vm for member in members if member.vm != self.vm]
        roots = [vm for vm in self.roots.active_roots if vm != self.vm]
        others = rendezvous_order(f"relay/{self.vm}", others)
        candidates = [*self.parents, *roots, *others]
        return (
            candidates[(failures + parent_index) % len(candidates)]
            if candidates
            else None
        )

    async def _sync(self, parent: VmId, parent_index: int) -> bool:
        """Long-poll a parent once; False if that failed or left this VM too stale."""
        subtree = self.subtree.report(self.version, self.version)
        sync = Sync(
            version=self.version,
            wait_s=SYNC_WAIT_S if self.version else 0.0,
            confirmation_step_s=PARENT_STEPS_S[parent_index],
            subtree=subtree if parent_index == 0 else None,
        )
        sent_at_s = self.clock.now_s()
        try:
            answer = await self.kernel.get(PeerConnections).call(
                parent, sync, timeout_s=SYNC_WAIT_S + SYNC_ANSWER_TIMEOUT_S
            )
        except EbonyladderError:
            self.kernel.get(Membership).suspect(parent)
            return False
        self._apply_answer(answer, sent_at_s)
        return self.freshness.age_s() <= MAX_PARENT_STALENESS_S

    # Messages

    async def _answer_sync(self, peer: PeerIdentity, message: Message) -> Message:
        assert isinstance(message, Sync)
        arrived_at_s = self.clock.now_s()
        if message.subtree is not None:
            self.subtree.record(peer.vm, message.version, message.subtree)
        await self._wait_for_update(message)
        newer = self.version > message.version
        delta = self.history.delta_since(message.version) if newer else None
        return SyncAnswer(
            version=self.version,
            age_s=_age(arrived_at_s, self.freshness.current_at_s),
            outage_age_s=_age(arrived_at_s, self.freshness.outage_at_s),
            text=self.history.text if newer and delta is None else None,
            changes=delta,
            is_store_unreachable=self.is_store_unreachable,
            roots=self.roots.quorum_roots if newer and delta is None else [],
        )

    async def _wait_for_update(self, message: Sync) -> None:
        """Wait for a later version or a confirmation newer by a step."""
        first_s = self._last_confirmed_at_s()
        try:
            async with asyncio.timeout(min(message.wait_s, MAX_SYNC_WAIT_S)):
                while (
                    self.version <= message.version
                    and self._last_confirmed_at_s()
                    < first_s + message.confirmation_step_s
                ):
                    await self.changed.wait()
        except TimeoutError:
            return

    async def _answer_confirmation(
        self, peer: PeerIdentity, message: Message
    ) -> Message:
        assert isinstance(message, ConfirmationRequest)
        report = self.subtree.report(message.version, self.version)
        return ConfirmationAnswer(subtree=report)

    def _last_confirmed_at_s(self) -> float:
        return max(self.freshness.current_at_s, self.freshness.outage_at_s)

    def _apply_answer(self, answer: Message, sent_at_s: float) -> None:
        """Apply an answer; one with a lower version confirms nothing."""
        assert isinstance(answer, SyncAnswer)
        if answer.version > self.version:
            text = answer.text
            if answer.changes is not None:
                text = self.history.apply(answer.changes)
            if text is None:
                return
            self.roots.initialize(answer.roots)
            self._apply(answer.version, text)
        if answer.version != self.version or not self.version:
            return
        if answer.age_s is not None:
            self.freshness.confirm_current(sent_at_s - answer.age_s)
        if answer.outage_age_s is not None:
            self.freshness.confirm_outage(sent_at_s - answer.outage_age_s)
        self._notify_changed()

    def _apply(self, version: ConfigurationVersion, text: str) -> None:
        if self.active.apply(version, text):
            self.freshness.reset()
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _age(arrived_at_s: float, confirmed_at_s: float) -> float | None:
    age_s = arrived_at_s - confirmed_at_s
    return None if age_s == float("inf") else round(age_s, 3) + 0.001
