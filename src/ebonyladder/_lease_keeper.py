"""Tasks that take, renew and release the limit leases of this VM."""

import asyncio
import secrets
from collections.abc import Callable
from random import Random

from absl import logging

from ebonyladder._holdings import Holdings
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.lease import Lease, LeaseState
from ebonyladder.limits import SHARDS, LeaseName, preferred_leases
from ebonyladder.store import PlatformStore
from ebonyladder.types import Incarnation, VmId

REVIEW_INTERVAL_S = 1.0
STORE_WATCH_S = 30.0
# A VM that is no longer first choice keeps a lease this long, so that a view
# that changes back and forth moves no leases.
HANDOVER_AFTER_S = 30.0
# The first try can meet a renewal that was interrupted after it was sent.
RELEASE_TRIES = 2
# A VM that starts or takes over many leases must not crowd other calls out of
# the store.
MAX_STORE_CALLS = 8
# Spreads the calls of leases that were taken at the same time.
RENEWAL_JITTER = 0.25
# The reserves of shards in use come first within this time, at the same pace: they
# carry the rates once an outage of the store has ended the main leases.
RESERVE_START_S = 6.0
# A VM that starts sees itself alone until peers answer, and would try for all
# leases. It waits for a view that stays the same, but not for ever.
# Nothing is admitted without the 64 main leases; reserves of shards without
# organisations can wait longer.
MAIN_SETTLE_S = 0.3
RESERVE_SETTLE_S = 1.0
VIEW_SETTLE_LIMIT_S = 6.0
START_REVIEW_INTERVAL_S = 0.1
# Failed calls of many leases must not come back to the store at the same time.
RETRY_JITTER = 0.5


class LeaseKeeper:
    """Run one task for each lease that this VM holds or tries for."""

    def __init__(
        self,
        *,
        kernel: Kernel,
        store: PlatformStore,
        incarnation: Incarnation,
        workers: Callable[[], list[VmId]],
        holdings: Holdings,
    ) -> None:
        self.kernel = kernel
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.store = store
        self.incarnation = incarnation
        self.workers = workers
        self.holdings = holdings
        self.leases: dict[LeaseName, Lease] = {}
        self.tasks: dict[LeaseName, asyncio.Task] = {}
        self.preferred: set[LeaseName] = set()
        self.preferred_view: list[VmId] = []
        self.preferred_since_s = 0.0
        self.started_s = 0.0
        self.calls = asyncio.Semaphore(MAX_STORE_CALLS)
        self.random = Random(f"{self.vm}/{incarnation}")

    def start(self) -> None:
        """Start to try for the leases of which this VM is the first choice."""
        self.review = self.kernel.spawn(self._review(), name="limits-review")

    def main_holder(self, shard: int) -> VmId | None:
        """Return the holder of a main lease, where this VM has seen it lately."""
        lease = self.leases.get(LeaseName(shard))
        return lease.seen_holder() if lease else None

    async def release_all(self) -> None:
        """Stop all tasks and release what is held."""
        self.review.cancel()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        held = [n for n, e in self.leases.items() if e.state is LeaseState.HELD]
        await asyncio.gather(*(self._release(name) for name in held))
        logging.info("[limits] Leases are released. count=%d", len(held))

    async def _review(self) -> None:
        """Start a task for each lease for which this VM is the first choice."""
        self.started_s = self.clock.now_s()
        while True:
            view = self.workers()
            if view != self.preferred_view:
                self.preferred_view = view
                self.preferred = preferred_leases(self.vm, view)
                self.preferred_since_s = self.clock.now_s()
            for name in sorted(self.preferred - self.tasks.keys(), key=_start_order):
                if self._is_settled(name):
                    self.tasks[name] = self.kernel.spawn(
                        self._hold(name), name=name.key
                    )
            starting = self.clock.now_s() < self.started_s + VIEW_SETTLE_LIMIT_S
            await asyncio.sleep(
                START_REVIEW_INTERVAL_S if starting else REVIEW_INTERVAL_S
            )

    def _is_settled(self, name: LeaseName) -> bool:
        """Tell whether the view has been the same for long enough after a start."""
        now_s = self.clock.now_s()
        is_first = name.is_main or (
            name.shard in self.holdings.specs and len(self.preferred_view) > 1
        )
        settle_s = MAIN_SETTLE_S if is_first else RESERVE_SETTLE_S
        is_quiet = now_s >= self.preferred_since_s + settle_s
        return is_quiet or now_s >= self.started_s + VIEW_SETTLE_LIMIT_S

    async def _hold(self, name: LeaseName) -> None:
        """Take and renew one lease while this VM should have it."""
        lease = Lease(
            store=self.store,
            clock=self.clock,
            key=name.key,
            duration_s=name.duration_s,
            vm=self.vm,
            incarnation=self.incarnation,
            nonce=secrets.token_hex(8),
        )
        self.leases[name] = lease
        try:
            if not name.is_main:
                await asyncio.sleep(self._start_delay_s(name))
            while name in self.preferred or lease.state is LeaseState.HELD:
                try:
                    await self._hold_once(name, lease)
                except StoreError as error:
                    await self._after_failure(name, lease, error)
        finally:
            self.tasks.pop(name, None)
            if lease.state is not LeaseState.HELD:
                self.leases.pop(name, None)

    def _start_delay_s(self, name: LeaseName) -> float:
        """Return a random delay that keeps the pace of all reserves at a start."""
        in_use = len(self.holdings.specs) / SHARDS * RESERVE_START_S
        if name.shard in self.holdings.specs:
            return self.random.uniform(0.0, in_use)
        return self.random.uniform(in_use, RESERVE_START_S)

    async def _hold_once(self, name: LeaseName, lease: Lease) -> None:
        if lease.state is LeaseState.HELD:
            await asyncio.sleep(self._renewal_left_s(name, lease))
            async with self.calls:
                await self._renew_or_hand_over(name, lease)
            return
        if not lease.is_observed:
            async with self.calls:
                await lease.observe()
        if lease.state is LeaseState.SEEKING:
            left_s = lease.wait_left_s()
            if left_s > 0:
                await lease.watch(wait_s=min(left_s, STORE_WATCH_S))
                return
            async with self.calls:
                await lease.take()
        self.holdings.open(name, lease)
        logging.info("[limits] Lease is taken. key=%s", name.key)

    async def _renew_or_hand_over(self, name: LeaseName, lease: Lease) -> None:
        if self._should_hand_over(name):
            await lease.observe()
            await self._release(name)
            return
        await lease.renew()
        if not self.holdings.has(name):
            self.holdings.open(name, lease)

    def _renewal_left_s(self, name: LeaseName, lease: Lease) -> float:
        sent_s = lease.end_s - name.duration_s
        interval_s = name.renewal_s * self.random.uniform(1 - RENEWAL_JITTER, 1)
        return max(0.0, sent_s + interval_s - self.clock.now_s())

    def _should_hand_over(self, name: LeaseName) -> bool:
        settled_s = self.clock.now_s() - self.preferred_since_s
        return name not in self.preferred and settled_s > HANDOVER_AFTER_S

    async def _after_failure(
        self, name: LeaseName, lease: Lease, error: StoreError
    ) -> None:
        lease.is_observed = False
        if lease.state is LeaseState.SEEKING:
            self.holdings.close(name)
        if error.code is ErrorCode.STORE_UNAVAILABLE:
            spread = self.random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
            await asyncio.sleep(name.retry_s * spread)
        else:
            logging.info("[limits] Lease is lost. key=%s peer=%s", name.key, error.peer)

    async def _release(self, name: LeaseName) -> None:
        self.holdings.close(name)
        for tries_left in reversed(range(RELEASE_TRIES)):
            try:
                await self.leases[name].release()
            except StoreError as error:
                if not tries_left or error.code is ErrorCode.LEASE_LOST:
                    logging.warning(
                        "[limits] Lease was not released. key=%s error=%s",
                        name.key,
                        error,
                    )
                    return
                logging.info("[limits] Release is tried again. key=%s", name.key)
            else:
                return


def _start_order(name: LeaseName) -> tuple[bool, LeaseName]:
    """Return the sort key that takes main leases first."""
    return not name.is_main, name
