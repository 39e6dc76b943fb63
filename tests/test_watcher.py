"""Watches of the store's objects."""

import asyncio
import random
from typing import Any

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.fleet_watchers import VmWatcher
from ebonyladder.sessions.objects import (
    Changes,
    Kind,
    ListResult,
    ObjectStore,
    Revision,
    StoreObject,
)
from ebonyladder.sessions.watcher import RETRY_LIMIT_S, retry_pause_s
from tests.fleet import run_virtual
from tests.session_fakes import cluster


class CountingStore(ObjectStore):
    """Store without objects that notes its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.is_down = False

    def _enter(self, name: str) -> None:
        self.calls.append(name)
        if self.is_down:
            raise StoreError(code=ErrorCode.STORE_UNAVAILABLE, step=Step.STORE_READ)

    async def get(self, kind: Kind, name: str) -> StoreObject | None:
        """Return nothing."""
        self._enter("get")

    async def list(self, kind: Kind) -> ListResult:
        """Return an empty listing."""
        self._enter("list")
        return ListResult(objects=(), as_of=Revision(1))

    async def watch(self, kind: Kind, after: Revision, wait_s: float) -> Changes:
        """Return no change after the wait."""
        self._enter("watch")
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


def play(clock: ManualClock, watcher: VmWatcher, seconds: float, then=None) -> None:
    """Run a watch for some time, half of it after ``then`` was called."""

    async def run() -> None:
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(seconds / 2)
        if then is not None:
            then()
        await asyncio.sleep(seconds / 2)
        task.cancel()

    run_virtual(run(), clock)


class TestVmList:
    """Guards against a call of each VM for each VM that registers."""

    def test_only_the_leader_watches(self, clock, store):
        play(clock, VmWatcher(store=store, cluster=cluster(clock)), 20.0)
        assert "watch" not in store.calls
        assert 2 <= store.calls.count("list") <= 5

    def test_new_leader_reads_the_list_before_it_watches(self, clock, store):
        # Guards against a change of primary that doesn't wait for a new VM.
        watcher = VmWatcher(store=store, cluster=cluster(clock))

        def take_duty() -> None:
            store.calls.clear()
            watcher.lead()
            assert not watcher.is_listed.is_set()

        play(clock, watcher, 4.0, take_duty)
        assert store.calls == ["list", "watch"]
        assert watcher.is_listed.is_set()


class TestRetry:
    """Guards against a fleet that calls a store which is away over and over."""

    # Calls of one watch each second that a store which is away may get.
    MOST_CALLS_PER_S = 1.5

    def test_calls_of_a_store_that_is_away_become_rare(self):
        counts = []
        for seed in range(20):
            clock, store = ManualClock(), CountingStore()
            store.is_down = True
            random.seed(seed)
            play(clock, VmWatcher(store=store, cluster=cluster(clock)), 10.0)
            counts.append(len(store.calls))
        assert sum(counts) / len(counts) <= 10.0 * self.MOST_CALLS_PER_S

    def test_pause_stays_within_the_time_for_a_change(self):
        assert all(retry_pause_s(n) <= RETRY_LIMIT_S for n in range(1, 100))
