"""Plug-in that keeps the configuration in force current."""

import asyncio
from collections.abc import Callable
from random import Random

from absl import logging

from ebonyladder._confirmation import ConfirmationRound
from ebonyladder._in_force import ConfigurationInForce, text_of
from ebonyladder._subtree import SubtreeCounter
from ebonyladder.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationSource,
)
from ebonyladder.configuration_freshness import ConfigurationFreshness, StoreLossReport
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
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.relay import RootSet, parents_of, tree_order
from ebonyladder.routing import rendezvous_order
from ebonyladder.store import PlatformStore
from ebonyladder.types import ConfigurationVersion, VmId, ZoneId

# Two watches and the way down the tree must fit in the freshness limit of 3 s.
WATCH_WAIT_S = 0.75
WATCH_WAIT_LEAST_S = 0.1
STORE_ANSWER_S = 0.75
STORE_RETRY_S = 0.25
SYNC_WAIT_S = 0.75
SYNC_ANSWER_S = 0.75
SYNC_WAIT_LIMIT_S = 5.0
# The second parent is a standby; its evidence may be older.
PARENT_STEPS_S = (0.25, 1.0)
BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)
# Older evidence makes a VM try another parent.
PARENT_AGE_S = 2.0
ROOTS_INTERVAL_S = 0.5
ROOT_ANSWER_S = 0.5
TREE_INTERVAL_S = 0.5


@register
class ConfigurationPlugin(Plugin, ConfigurationSource, Confirmation):
    """Get the configuration from the store, as a root, or from parents."""

    name = "configuration"
    provides = (ConfigurationSource, Confirmation)
    requires = (PlatformStore, PeerLinks)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.random = Random(f"{self.vm}/{kernel.clock.wall_s()}")
        self.in_force = ConfigurationInForce()
        self.history = self.in_force.history
        self.freshness = ConfigurationFreshness(clock=kernel.clock)
        self.roots = RootSet(clock=kernel.clock)
        self.subtree = SubtreeCounter(vm=self.vm, clock=kernel.clock)
        self.parents: list[VmId] = []
        self.is_store_lost = False
        self.changed = asyncio.Event()

    @property
    def current(self) -> Configuration:
        """Configuration in force; empty before the first one is known."""
        return self.in_force.current

    @property
    def version(self) -> ConfigurationVersion:
        """Version in force, 0 before the first one is known."""
        return self.history.version

    def require_fresh(self, step: Step) -> None:
        """Raise ``RequestError`` STALE_CONFIGURATION without recent evidence."""
        self.freshness.require_fresh(step)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self.in_force.listeners.append(listener)

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
            roots=self.roots.watchers,
            links=self.kernel.get(PeerLinks),
            members=[m.vm for m in self.kernel.get(Membership).members()],
        )

    async def start(self) -> None:
        """Get a first text and start following the store or parents."""
        links = self.kernel.get(PeerLinks)
        links.handle(Sync, self._answer_sync)
        links.handle(ConfirmationRequest, self._answer_confirmation)
        await self._begin()
        self.kernel.spawn(self._follow_tree(), name="configuration-tree")
        self.kernel.spawn(self._follow_store(), name="configuration-store")
        self.kernel.spawn(self._follow_roots(), name="configuration-roots")
        for place in range(len(PARENT_STEPS_S)):
            self.kernel.spawn(
                self._follow_parent(place), name=f"configuration-parent-{place}"
            )

    async def _begin(self) -> None:
        """Ask the seeds, which also know the roots, then the store."""
        links = self.kernel.get(PeerLinks)
        for address in self.kernel.settings.seeds:
            if address == self.kernel.settings.peer or self.version:
                continue
            sent_at_s = self.clock.now_s()
            try:
                answer = await links.call_address(
                    address, Sync(version=self.version, wait_s=0.0), timeout_s=1.0
                )
            except EbonyladderError as error:
                logging.info("[configuration] Seed does not answer. error=%s", error)
                continue
            self._take_answer(answer, sent_at_s)
        if not self.version:
            await self._ask_store(0.0)

    # Store

    async def _follow_store(self) -> None:
        """Watch the stored object while this VM is a relay root."""
        wait_s = WATCH_WAIT_S
        while True:
            if self.vm not in self.roots.watchers:
                self.is_store_lost = False
                await asyncio.sleep(TREE_INTERVAL_S)
                continue
            sent_at_s = self.clock.now_s()
            if await self._ask_store(wait_s):
                latency_s = max(0.0, self.clock.now_s() - sent_at_s - wait_s)
                wait_s = max(WATCH_WAIT_LEAST_S, WATCH_WAIT_S - latency_s)
            else:
                await asyncio.sleep(STORE_RETRY_S)

    async def _ask_store(self, wait_s: float) -> bool:
        """Read or watch the object once; False if the store did not answer."""
        store = self.kernel.get(PlatformStore)
        sent_at_s = self.clock.now_s()
        try:
            async with asyncio.timeout(wait_s + STORE_ANSWER_S):
                if self.version and wait_s:
                    found = await store.watch(
                        CONFIGURATION_KEY, after_version=self.version, wait_s=wait_s
                    )
                else:
                    found = await store.get(CONFIGURATION_KEY)
        except (StoreError, TimeoutError) as error:
            if not self.is_store_lost:
                logging.warning("[configuration] Store is lost. error=%r", error)
            self.is_store_lost = True
            self._wake()
            return False
        self.is_store_lost = False
        if found is not None:
            self._apply(ConfigurationVersion(found.version), text_of(found))
        if self.version and (found is None or found.version == self.version):
            self.freshness.confirm_current(sent_at_s)
        if not self.version:
            await asyncio.sleep(STORE_RETRY_S)
        self._wake()
        return True

    async def _follow_roots(self) -> None:
        """Ask the other roots while this one has no store, one task for each."""
        while True:
            await asyncio.sleep(ROOTS_INTERVAL_S)
            roots = self.roots.watchers
            if not self.is_store_lost or self.vm not in roots:
                self.freshness.store_losses.clear()
                continue
            own = StoreLossReport(self.clock.now_s(), self.version)
            self.freshness.record_store_loss(self.vm, own)
            async with asyncio.TaskGroup() as group:
                for root in roots:
                    if root != self.vm:
                        group.create_task(self._ask_root(root))
            self.freshness.evaluate_outage(self.roots.pinned, self.version)
            self._wake()

    async def _ask_root(self, root: VmId) -> None:
        sync = Sync(version=self.version, wait_s=0.0)
        sent_at_s = self.clock.now_s()
        try:
            answer = await self.kernel.get(PeerLinks).call(
                root, sync, timeout_s=ROOT_ANSWER_S
            )
        except EbonyladderError:
            self.freshness.clear_store_loss(root)
            return
        self._take_answer(answer, sent_at_s)
        if answer.is_store_lost:
            report = StoreLossReport(sent_at_s, answer.version)
            self.freshness.record_store_loss(root, report)
        else:
            self.freshness.clear_store_loss(root)

    # Tree

    async def _follow_tree(self) -> None:
        """Choose roots and parents over the view as it changes."""
        known: list[PeerRecord] = []
        zones: dict[VmId, ZoneId] = {}
        watchers: list[VmId] = []
        while True:
            membership = self.kernel.get(Membership)
            members = membership.members()
            is_changed = members is not known
            if is_changed:
                known = members
                zones = {member.vm: member.zone for member in members}
            # Only the first roots depend on it, and it looks at every member.
            is_whole = not self.roots.pinned and membership.is_complete()
            self.roots.update(zones, self.freshness.current_at_s, is_whole=is_whole)
            if is_changed or watchers != self.roots.watchers:
                watchers = list(self.roots.watchers)
                roots = [vm for vm in watchers if vm in zones]
                order = tree_order(zones, roots)
                self.parents = parents_of(self.vm, order, len(roots))
            await asyncio.sleep(TREE_INTERVAL_S)

    async def _follow_parent(self, place: int) -> None:
        """Sync from one parent by long poll, from others while it fails."""
        failures = 0
        while True:
            if self.vm in self.roots.watchers:
                await asyncio.sleep(TREE_INTERVAL_S)
                continue
            parent = self._parent(place, failures)
            if parent is not None and await self._sync(parent, place):
                failures = 0
                continue
            failures += 1
            pause_s = BACKOFF_S[min(failures, len(BACKOFF_S)) - 1]
            await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.0))

    def _parent(self, place: int, failures: int) -> VmId | None:
        """Return the parent to ask after some failures in a row."""
        if failures == 0 and place < len(self.parents):
            return self.parents[place]
        if failures == 0 and self.parents:
            return None
        members = self.kernel.get(Membership).members()
        others = [member.vm for member in members if member.vm != self.vm]
        roots = [vm for vm in self.roots.watchers if vm != self.vm]
        others = rendezvous_order(f"relay/{self.vm}", others)
        choice = [*self.parents, *roots, *others]
        return choice[(failures + place) % len(choice)] if choice else None

    async def _sync(self, parent: VmId, place: int) -> bool:
        """Long-poll a parent once; False if it brought nothing new."""
        subtree = self.subtree.report(self.version, self.version)
        sync = Sync(
            version=self.version,
            wait_s=SYNC_WAIT_S if self.version else 0.0,
            step_s=PARENT_STEPS_S[place],
            subtree=subtree if place == 0 else None,
        )
        sent_at_s = self.clock.now_s()
        try:
            answer = await self.kernel.get(PeerLinks).call(
                parent, sync, timeout_s=SYNC_WAIT_S + SYNC_ANSWER_S
            )
        except EbonyladderError:
            self.kernel.get(Membership).suspect(parent)
            return False
        self._take_answer(answer, sent_at_s)
        return self.freshness.age_s() <= PARENT_AGE_S

    # Messages

    async def _answer_sync(self, peer: PeerIdentity, message: Message) -> Message:
        assert isinstance(message, Sync)
        arrived_at_s = self.clock.now_s()
        if message.subtree is not None:
            self.subtree.note(peer.vm, message.version, message.subtree)
        await self._wait_for_news(message)
        newer = self.version > message.version
        changes = self.history.changes_since(message.version) if newer else None
        return SyncAnswer(
            version=self.version,
            age_s=_age(arrived_at_s, self.freshness.current_at_s),
            outage_s=_age(arrived_at_s, self.freshness.outage_at_s),
            text=self.history.text if newer and changes is None else None,
            changes=changes,
            is_store_lost=self.is_store_lost,
            roots=self.roots.pinned if newer and changes is None else [],
        )

    async def _wait_for_news(self, message: Sync) -> None:
        """Wait for a later version or for evidence newer by a step."""
        first_s = self._evidence_s()
        try:
            async with asyncio.timeout(min(message.wait_s, SYNC_WAIT_LIMIT_S)):
                while (
                    self.version <= message.version
                    and self._evidence_s() < first_s + message.step_s
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

    def _evidence_s(self) -> float:
        return max(self.freshness.current_at_s, self.freshness.outage_at_s)

    def _take_answer(self, answer: Message, sent_at_s: float) -> None:
        """Apply an answer; one of a lower version proves nothing here."""
        assert isinstance(answer, SyncAnswer)
        if answer.version > self.version:
            text = answer.text
            if answer.changes is not None:
                text = self.history.apply(answer.changes)
            if text is None:
                return
            self.roots.adopt(answer.roots)
            self._apply(answer.version, text)
        if answer.version != self.version or not self.version:
            return
        if answer.age_s is not None:
            self.freshness.confirm_current(sent_at_s - answer.age_s)
        if answer.outage_s is not None:
            self.freshness.confirm_outage(sent_at_s - answer.outage_s)
        self._wake()

    def _apply(self, version: ConfigurationVersion, text: str) -> None:
        if self.in_force.apply(version, text):
            self.freshness.reset()
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _age(arrived_at_s: float, evidence_at_s: float) -> float | None:
    age_s = arrived_at_s - evidence_at_s
    return None if age_s == float("inf") else round(age_s, 3) + 0.001
