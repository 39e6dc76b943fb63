"""Tasks that acquire, renew and release the limit leases of this VM."""

import asyncio
import secrets
from collections.abc import Callable
from random import Random

from absl import logging

from ebonyladder._held_leases import HeldLeases
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.lease import Lease, LeaseState
from ebonyladder.limits import SHARDS, LeaseName, preferred_leases
from ebonyladder.store import PlatformStore
from ebonyladder.types import Incarnation, VmId

RECONCILE_INTERVAL_S = 1.0
STORE_WATCH_TIMEOUT_S = 30.0
# A VM that is no longer the first choice keeps a lease for this long, so that a view
# that changes back and forth moves no leases.
HANDOVER_DELAY_S = 30.0
# The first attempt can conflict with a renewal that was interrupted after it was
# sent.
RELEASE_ATTEMPTS = 2
# A VM that starts or acquires many leases must not delay other calls to the store.
MAX_CONCURRENT_STORE_CALLS = 8
# Spreads the calls of leases that were acquired at the same time.
RENEWAL_JITTER = 0.25
# A VM that starts acquires its reserve leases at an even pace within this time, those
# of shards in use first: in an outage of the store, only they grant tokens once the
# main leases have expired.
RESERVE_ACQUISITION_SPREAD_S = 6.0
# A VM that starts sees only itself until peers answer, and would try to acquire all
# leases. It waits until its view has been stable for one of these times, at most
# VIEW_STABLE_TIMEOUT_S in all. The time is short for the 64 main leases, without which
# nothing is admitted; reserves of shards without organisations can wait longer.
MAIN_VIEW_STABLE_S = 0.3
RESERVE_VIEW_STABLE_S = 1.0
VIEW_STABLE_TIMEOUT_S = 6.0
START_RECONCILE_INTERVAL_S = 0.1
# Failed calls of many leases must not be retried at the same time.
BACKOFF_JITTER = 0.5


class LeaseManager:
    """Run one task for each lease that this VM holds or tries to acquire."""

    def __init__(
        self,
        *,
        kernel: Kernel,
        store: PlatformStore,
        incarnation: Incarnation,
        active_vms: Callable[[], list[VmId]],
        held_leases: HeldLeases,
    ) -> None:
        self.kernel = kernel
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.store = store
        self.incarnation = incarnation
        self.active_vms = active_vms
        self.held_leases = held_leases
        self.leases: dict[LeaseName, Lease] = {}
        self.tasks: dict[LeaseName, asyncio.Task] = {}
        self.preferred: set[LeaseName] = set()
        self.view: list[VmId] = []
        self.view_changed_at_s = 0.0
        self.started_at_s = 0.0
        self.store_calls = asyncio.Semaphore(MAX_CONCURRENT_STORE_CALLS)
        self.random = Random(f"{self.vm}/{incarnation}")

    def start(self) -> None:
        """Start to acquire the leases for which this VM is the first choice."""
        self.reconcile_task = self.kernel.spawn(
            self._reconcile(), name="limits-reconcile"
        )

    def main_holder(self, shard: int) -> VmId | None:
        """Return the current holder of a main lease, None if it is not known."""
        lease = self.leases.get(LeaseName(shard))
        return lease.current_holder() if lease else None

    async def release_all(self) -> None:
        """Stop all tasks and release the held leases."""
        self.reconcile_task.cancel()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        held = [
            name
            for name, lease in self.leases.items()
            if lease.state is LeaseState.HELD
        ]
        await asyncio.gather(*(self._release(name) for name in held))
        logging.info("[limits] Leases are released. count=%d", len(held))

    async def _reconcile(self) -> None:
        """Start a task for each lease for which this VM is the first choice."""
        self.started_at_s = self.clock.now_s()
        while True:
            view = self.active_vms()
            if view != self.view:
                self.view = view
                self.preferred = preferred_leases(self.vm, view)
                self.view_changed_at_s = self.clock.now_s()
            for name in sorted(self.preferred - self.tasks.keys(), key=_start_order):
                if self._is_view_stable(name):
                    self.tasks[name] = self.kernel.spawn(
                        self._maintain_lease(name), name=name.key
                    )
            starting = self.clock.now_s() < self.started_at_s + VIEW_STABLE_TIMEOUT_S
            await asyncio.sleep(
                START_RECONCILE_INTERVAL_S if starting else RECONCILE_INTERVAL_S
            )

    def _is_view_stable(self, name: LeaseName) -> bool:
        """Tell whether the view has been the same for long enough after a start."""
        now_s = self.clock.now_s()
        is_urgent = name.is_main or (
            name.shard in self.held_leases.specs and len(self.view) > 1
        )
        required_s = MAIN_VIEW_STABLE_S if is_urgent else RESERVE_VIEW_STABLE_S
        is_stable = now_s >= self.view_changed_at_s + required_s
        return is_stable or now_s >= self.started_at_s + VIEW_STABLE_TIMEOUT_S

    async def _maintain_lease(self, name: LeaseName) -> None:
        """Acquire and renew one lease while this VM should have it."""
        lease = Lease(
            store=self.store,
            clock=self.clock,
            key=name.key,
            ttl_s=name.ttl_s,
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
                    await self._maintain_lease_once(name, lease)
                except StoreError as error:
                    await self._handle_failure(name, lease, error)
        finally:
            self.tasks.pop(name, None)
            if lease.state is not LeaseState.HELD:
                self.leases.pop(name, None)

    def _start_delay_s(self, name: LeaseName) -> float:
        """Return a random delay that spreads all reserves evenly at a start."""
        spread_in_use_s = (
            len(self.held_leases.specs) / SHARDS * RESERVE_ACQUISITION_SPREAD_S
        )
        if name.shard in self.held_leases.specs:
            return self.random.uniform(0.0, spread_in_use_s)
        return self.random.uniform(spread_in_use_s, RESERVE_ACQUISITION_SPREAD_S)

    async def _maintain_lease_once(self, name: LeaseName, lease: Lease) -> None:
        if lease.state is LeaseState.HELD:
            await asyncio.sleep(self._renewal_wait_s(name, lease))
            async with self.store_calls:
                await self._renew_or_hand_over(name, lease)
            return
        if not lease.is_read:
            async with self.store_calls:
                await lease.read()
        if lease.state is LeaseState.NOT_HELD:
            wait_s = lease.takeover_wait_s()
            if wait_s > 0:
                await lease.watch(wait_s=min(wait_s, STORE_WATCH_TIMEOUT_S))
                return
            async with self.store_calls:
                await lease.acquire()
        self.held_leases.add(name, lease)
        logging.info("[limits] Lease is acquired. key=%s", name.key)

    async def _renew_or_hand_over(self, name: LeaseName, lease: Lease) -> None:
        if self._should_hand_over(name):
            await lease.read()
            await self._release(name)
            return
        await lease.renew()
        if not self.held_leases.has(name):
            self.held_leases.add(name, lease)

    def _renewal_wait_s(self, name: LeaseName, lease: Lease) -> float:
        sent_at_s = lease.expires_at_s - name.ttl_s
        interval_s = name.renewal_interval_s * self.random.uniform(
            1 - RENEWAL_JITTER, 1
        )
        return max(0.0, sent_at_s + interval_s - self.clock.now_s())

    def _should_hand_over(self, name: LeaseName) -> bool:
        stable_s = self.clock.now_s() - self.view_changed_at_s
        return name not in self.preferred and stable_s > HANDOVER_DELAY_S

    async def _handle_failure(
        self, name: LeaseName, lease: Lease, error: StoreError
    ) -> None:
        lease.is_read = False
        if lease.state is LeaseState.NOT_HELD:
            self.held_leases.remove(name)
        if error.code is ErrorCode.STORE_UNAVAILABLE:
            jitter = self.random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
            await asyncio.sleep(name.backoff_s * jitter)
        else:
            logging.info("[limits] Lease is lost. key=%s peer=%s", name.key, error.peer)

    async def _release(self, name: LeaseName) -> None:
        self.held_leases.remove(name)
        for attempts_left in reversed(range(RELEASE_ATTEMPTS)):
            try:
                await self.leases[name].release()
            except StoreError as error:
                if not attempts_left or error.code is ErrorCode.LEASE_LOST:
                    logging.warning(
                        "[limits] Lease was not released. key=%s error=%s",
                        name.key,
                        error,
                    )
                    return
                logging.info("[limits] Release is retried. key=%s", name.key)
            else:
                return


def _start_order(name: LeaseName) -> tuple[bool, LeaseName]:
    """Return the sort key that puts main leases first."""
    return not name.is_main, name
