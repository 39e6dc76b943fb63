"""Watches of objects in the store."""

import asyncio
import random
from typing import Any

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState, VmEntry
from ebonyladder.sessions.fleet.watchers import (
    VM_REPORT_TIMEOUT_S,
    GroupWatcher,
    VmWatcher,
)
from ebonyladder.sessions.objects import (
    Changes,
    Kind,
    ListResult,
    ObjectStore,
    Revision,
    StoreObject,
)
from ebonyladder.sessions.store_era import era_start
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.sessions.watcher import MAX_BACKOFF_S, backoff_s
from ebonyladder.types import Address, EndpointId, Incarnation, VmId, ZoneId
from tests.fleet import run_virtual
from tests.session_fakes import SERVICE, cluster


class CountingStore(ObjectStore):
    """Store without objects that records its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.is_down = False

    def _record(self, name: str) -> None:
        self.calls.append(name)
        if self.is_down:
            raise StoreError(code=ErrorCode.STORE_UNAVAILABLE, step=Step.STORE_READ)

    async def get(self, kind: Kind, name: str) -> StoreObject | None:
        """Return nothing."""
        self._record("get")

    async def list(self, kind: Kind) -> ListResult:
        """Return an empty list."""
        self._record("list")
        return ListResult(objects=(), as_of=Revision(1))

    async def watch(self, kind: Kind, after: Revision, wait_s: float) -> Changes:
        """Return no change after the wait."""
        self._record("watch")
        await asyncio.sleep(wait_s)
        return Changes(changes=(), as_of=after)

    async def create(self, kind: Kind, name: str, content: Any) -> StoreObject:
        """Not used here."""
        raise NotImplementedError

    async def replace(
        self, kind: Kind, name: str, content: Any, revision: Revision
    ) -> StoreObject:
        """Not used here."""
        raise NotImplementedError

    async def delete(self, kind: Kind, name: str, revision: Revision) -> None:
        """Not used here."""
        raise NotImplementedError


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store() -> CountingStore:
    return CountingStore()


def run_watch(
    clock: ManualClock, watcher: VmWatcher, duration_s: float, halfway=None
) -> None:
    """Run a watch for some time, and call ``halfway`` after half of it."""

    async def run() -> None:
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(duration_s / 2)
        if halfway is not None:
            halfway()
        await asyncio.sleep(duration_s / 2)
        task.cancel()

    run_virtual(run(), clock)


class TestVmList:
    """Guards against a store call of every VM for each VM that registers."""

    def test_only_the_leader_watches(self, clock, store):
        run_watch(clock, VmWatcher(store=store, cluster=cluster(clock)), 20.0)
        assert "watch" not in store.calls
        assert 2 <= store.calls.count("list") <= 5

    def test_new_leader_reads_the_list_before_it_watches(self, clock, store):
        # Guards against a failover that doesn't wait for a new VM.
        watcher = VmWatcher(store=store, cluster=cluster(clock))

        def become_leader() -> None:
            store.calls.clear()
            watcher.start_watching()
            assert not watcher.is_listed.is_set()

        run_watch(clock, watcher, 4.0, become_leader)
        assert store.calls == ["list", "watch"]
        assert watcher.is_listed.is_set()

    def test_vm_that_leads_again_reads_the_list_again(self, clock, store):
        # Guards against a leader that waits for its list for good: the watch of its
        # former leadership went on, and nobody read the list (soak seeds 12103, 12204).
        watcher = VmWatcher(store=store, cluster=cluster(clock))

        async def lead_twice() -> None:
            running = asyncio.create_task(watcher.run())
            await asyncio.sleep(1.0)
            for _ in range(2):
                watcher.start_watching()
                await asyncio.sleep(1.0)
                assert watcher.is_listed.is_set()
                assert store.calls[-2:] == ["list", "watch"]
                watcher.stop_watching()
                await asyncio.sleep(1.0)
            running.cancel()

        run_virtual(lead_twice(), clock)


class TestRetry:
    """Guards against a fleet that overloads an unreachable store with retries."""

    # Calls per second that one watch may send to an unreachable store.
    MAX_CALLS_PER_S = 1.5

    def test_calls_to_an_unreachable_store_become_rare(self):
        counts = []
        for seed in range(20):
            clock, store = ManualClock(), CountingStore()
            store.is_down = True
            random.seed(seed)
            run_watch(clock, VmWatcher(store=store, cluster=cluster(clock)), 10.0)
            counts.append(len(store.calls))
        assert sum(counts) / len(counts) <= 10.0 * self.MAX_CALLS_PER_S

    def test_one_watch_at_a_time_probes_an_unreachable_store(self):
        # Guards against five times the calls: each VM watches five kinds.
        clock, store = ManualClock(), CountingStore()
        store.is_down = True
        calls_of_one, calls_of_five = (
            self.count_calls(clock, store, watchers) for watchers in (1, 5)
        )
        assert calls_of_five <= 2 * calls_of_one + 5

    def count_calls(self, clock: ManualClock, store: CountingStore, count: int) -> int:
        """Return the calls of some watches of one VM in 30 s of an outage."""
        random.seed(1)
        store.calls.clear()

        async def run() -> None:
            manager = WatchManager(
                supervise=lambda run, name: asyncio.create_task(run())
            )
            for _ in range(count):
                manager.add(VmWatcher(store=store, cluster=cluster(clock)))
            manager.start_watching("test")
            await asyncio.sleep(30.0)
            manager.stop_watching()

        run_virtual(run(), clock)
        return len(store.calls)

    def test_all_watches_work_soon_after_the_outage(self):
        # Guards against a watch that waits for another one that was stopped.
        clock, store = ManualClock(), CountingStore()
        store.is_down = True
        watchers = [VmWatcher(store=store, cluster=cluster(clock)) for _ in range(5)]

        async def run() -> list[bool]:
            manager = WatchManager(
                supervise=lambda run, name: asyncio.create_task(run())
            )
            for watcher in watchers:
                manager.add(watcher)
            manager.start_watching("test")
            await asyncio.sleep(5.0)
            manager.stop_watching()
            manager.start_watching("test")
            await asyncio.sleep(5.0)
            store.is_down = False
            await asyncio.sleep(MAX_BACKOFF_S + 0.1)
            working = [w.is_listed.is_set() for w in watchers]
            manager.stop_watching()
            return working

        assert all(run_virtual(run(), clock))

    def test_backoff_is_bounded(self):
        # Guards against a change that becomes active too late after an outage.
        assert all(backoff_s(n) <= MAX_BACKOFF_S for n in range(1, 100))


class TestVmsAfterReturn:
    """Guards against failovers and leases that pass over VMs the copy lacks."""

    @staticmethod
    def stored(*names: str, revision: int = 1) -> dict[str, StoreObject]:
        """Return the entries of VMs as stored."""
        return {
            name: StoreObject(
                name=name,
                revision=Revision(revision),
                content=msgspec.to_builtins(
                    VmEntry(
                        vm=VmId(name),
                        address=Address("127.0.0.1:1"),
                        zone=ZoneId("b"),
                        incarnation=Incarnation(1),
                    )
                ),
            )
            for name in names
        }

    def returned(self, clock: ManualClock) -> VmWatcher:
        """Return a list of three VMs whose store lacks the last one now."""
        watcher = VmWatcher(store=None, cluster=cluster(clock))
        watcher.apply(self.stored("vm-1", "vm-2", "vm-3"))
        watcher.record_return()
        watcher.objects = self.stored("vm-1", "vm-2", revision=era_start(2) + 1)
        watcher.apply(watcher.objects)
        return watcher

    def test_vm_that_the_copy_lacks_is_counted_until_it_may_have_registered(
        self, clock
    ):
        watcher = self.returned(clock)
        assert set(watcher.entries) == {"vm-1", "vm-2", "vm-3"}
        clock.advance(VM_REPORT_TIMEOUT_S + 0.1)
        watcher.apply(watcher.objects)
        assert set(watcher.entries) == {"vm-1", "vm-2"}

    def test_removed_vm_is_not_counted(self, clock):
        # Guards against a failover that waits for a VM which has ended.
        watcher = self.returned(clock)
        assert asyncio.run(watcher.evict(VmId("vm-3")))
        assert set(watcher.entries) == {"vm-1", "vm-2"}


class TestGroupsAfterReturn:
    """Guards against revisions that no longer belong to a state."""

    @staticmethod
    def stored(revision: int) -> StoreObject:
        """Return a state as stored."""
        group = GroupState(
            service=SERVICE,
            epoch=revision,
            phase=GroupPhase.STABLE,
            primary=EndpointId("primary"),
        )
        return StoreObject(
            name=SERVICE,
            revision=Revision(revision),
            content=msgspec.to_builtins(group),
        )

    @pytest.mark.parametrize(("known", "is_kept"), [(3, False), (9, True)])
    def test_state_that_the_store_lost_is_created_again(self, clock, known, is_kept):
        # A conditional write on the lost revision would conflict for good. A state
        # that this VM wrote after the list was made stays.
        watcher = GroupWatcher(store=None, cluster=cluster(clock))
        watcher.apply_object(SERVICE, self.stored(known))
        watcher.apply_list(ListResult(objects=(), as_of=Revision(5)))
        assert (SERVICE in watcher.objects) is is_kept

    def test_missing_object_is_forgotten(self, clock):
        watcher = GroupWatcher(store=None, cluster=cluster(clock))
        watcher.apply_object(SERVICE, self.stored(3))
        watcher.apply_object(SERVICE, None)
        assert SERVICE not in watcher.objects
