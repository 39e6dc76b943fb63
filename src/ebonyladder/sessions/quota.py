"""Fleet-wide rate limits of organisations: the leader grants permits to VMs.

A permit lets a VM admit one operation.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from enum import Enum
from math import floor

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.limits import BucketSize, TokenBucket
from ebonyladder.sessions.catalog import Organisation
from ebonyladder.sessions.fleet.shares import effective_fraction
from ebonyladder.types import OrganisationId

# Granted permits expire this long after they were requested, in seconds.
GRANT_TTL_S = 1.2
# A VM requests the permits for this time in advance, in seconds. Unused permits can
# all be used in one burst, so they have to stay below the tolerance of the limits.
PREFETCH_S = 0.5
# Operations whose wait timed out treat a leader without an answer for this long as
# lost, in seconds: the report interval in large fleets and a round trip.
LEADER_TIMEOUT_S = 0.9
# Permits that aren't granted within this time are requested again, in seconds.
GRANT_TIMEOUT_S = 0.7
# Shortest wait for a permit, in seconds, so that rounding never causes a busy loop.
MIN_WAIT_S = 0.001
# Demand is averaged over about this time, in seconds.
DEMAND_WINDOW_S = 1.0
# Fractions of the tolerance of a limit: for bursts, and for the first permits of a new
# leader, which can't know what was admitted before. The rest is for overlapping grants.
BURST_FRACTION = 0.3
RESTART_FRACTION = 0.4


class Quota(ABC):
    """Admits operations within the rate limit of their organisation."""

    @abstractmethod
    async def admit(self, organisation: Organisation, *, timeout_s: float) -> None:
        """Admit one operation, waiting for a permit up to ``timeout_s`` seconds.

        Raises
        ------
        RequestError
            RATE_EXCEEDED with ``retry_after_s``, as soon as it is known that no
            permit is granted in time.
        """

    @abstractmethod
    def refund(self, organisation: Organisation) -> None:
        """Return the permit of an operation that reached no endpoint.

        Without this, callers that retry during a failover use up their
        organisation's rate with operations that never ran.
        """


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Allowed excess of a rate limit in a window of time.

    Attributes
    ----------
    window_s : float
        Length of the window, in seconds.
    share : float
        Fraction of what the limit allows in the window.
    operations : float
        Number of operations in addition to ``share``.
    """

    window_s: float = 5.0
    share: float = 0.0
    operations: float = 0.0

    def excess_for(self, organisation: Organisation) -> float:
        """Return the operations by which a window may exceed the limit."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return allowed * self.share + self.operations


class PermitGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Permits that the leader grants to one VM.

    Attributes
    ----------
    permits : int
        Operations that the VM may admit.
    wait_s : float
        Time until the next permit is available, if fewer than requested were
        granted.
    """

    permits: int = msgspec.field(name="turns")
    wait_s: float = 0.0


class PermitAllocator:
    """Token buckets of all organisations, kept by the leader.

    Designed for organisations with callers at few VMs, which may use the full rate
    there, and for those that send many times their rate through all VMs.

    Parameters
    ----------
    clock : Clock
        Clock of the buckets.
    tolerance : Tolerance
        Allowed excess of a limit.
    """

    def __init__(self, *, clock: Clock, tolerance: Tolerance) -> None:
        self.clock = clock
        self.tolerance = tolerance
        self.started_at_s = clock.now_s()
        self.restart_fraction = RESTART_FRACTION
        self.buckets: dict[OrganisationId, TokenBucket] = {}

    def reset(self, *, is_empty: bool) -> None:
        """Start new buckets after other VMs granted or used the permits.

        Parameters
        ----------
        is_empty : bool
            Whether another VM granted permits until now. The new buckets then start
            empty, otherwise with a fraction of the tolerance.
        """
        self.buckets.clear()
        self.started_at_s = self.clock.now_s()
        self.restart_fraction = 0.0 if is_empty else RESTART_FRACTION

    def grant(
        self, organisation: Organisation, requested: float, *, fraction: float
    ) -> PermitGrant:
        """Grant permits.

        Parameters
        ----------
        requested : float
            Permits that the VM requests.
        fraction : float
            Fraction of the rate that may be granted; VMs that don't report to this
            leader use the rest without it.
        """
        bucket = self._bucket(organisation)
        bucket.resize(self._size(organisation, fraction))
        permits = floor(min(requested, bucket.available()))
        bucket.take(permits)
        missing = 1.0 - bucket.available()
        wait_s = max(missing, 0.0) / max(bucket.size.rate_per_s, 1e-3)
        return PermitGrant(
            permits=permits, wait_s=wait_s if permits < requested else 0.0
        )

    def _bucket(self, organisation: Organisation) -> TokenBucket:
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = TokenBucket(size=self._size(organisation, 1.0), clock=self.clock)
            restart = self.restart_fraction * self.tolerance.excess_for(organisation)
            bucket.tokens = min(restart, organisation.burst)
            bucket.filled_at_s = self.started_at_s
            self.buckets[organisation.name] = bucket
        return bucket

    def _size(self, organisation: Organisation, fraction: float) -> BucketSize:
        extra = BURST_FRACTION * self.tolerance.excess_for(organisation)
        capacity = max(1.0, organisation.burst * fraction + extra)
        return BucketSize(organisation.rate_per_s * fraction, capacity)


class Demand:
    """Moving average of the requested operations."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.rate_per_s = 0.0
        self.updated_at_s = clock.now_s()

    def record(self) -> None:
        """Record one operation."""
        self.rate_per_s = self.current() + 1 / DEMAND_WINDOW_S

    def current(self) -> float:
        """Return the rate, in operations per second."""
        now_s = self.clock.now_s()
        remaining = max(0.0, 1 - (now_s - self.updated_at_s) / DEMAND_WINDOW_S)
        self.rate_per_s *= remaining
        self.updated_at_s = now_s
        return self.rate_per_s


class PermitResult(Enum):
    """How the wait for a permit ended."""

    GRANTED = "lent"
    REFUSED = "refused"
    LOCAL = "alone"


class OrganisationQuota:
    """Permits, waiting operations and demand of one organisation at one VM."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.permits = 0
        self.expires_at_s = clock.now_s()
        self.demand = Demand(clock=clock)
        self.waiting: deque[asyncio.Future[PermitResult]] = deque()
        self.requested = 0
        self.requested_at_s = float("-inf")
        self.wait_s = 0.0
        # Used only while no leader grants permits; replaced at each such period.
        self.local_bucket: TokenBucket | None = None
        self.local_used_at_s = float("-inf")
        self.local_waiters = 0

    def take_permit(self) -> bool:
        """Take a granted permit, if there is one."""
        if self.permits < 1 or self.clock.now_s() >= self.expires_at_s:
            self.permits = 0
            return False
        self.permits -= 1
        return True

    def permits_to_request(self) -> int:
        """Return the permits to request in addition to those in flight."""
        now_s = self.clock.now_s()
        available = self.permits if now_s < self.expires_at_s else 0
        pending = self.requested if now_s - self.requested_at_s < GRANT_TIMEOUT_S else 0
        ahead = floor(self.demand.current() * PREFETCH_S)
        return max(0, len(self.waiting) + ahead - available - pending)


class GrantedQuota(Quota):
    """Admits operations by permits that the leader grants.

    Without a leader each VM uses the rate share that the last leader assigned to it,
    or an equal fraction of the rate if it never had a leader.

    Parameters
    ----------
    clock : Clock
        Clock of grants.
    tolerance : Tolerance, optional
        Allowed excess of a limit; none by default.
    """

    def __init__(self, *, clock: Clock, tolerance: Tolerance | None = None) -> None:
        self.clock = clock
        self.tolerance = tolerance or Tolerance()
        self.vm_count = 1
        self.last_grant_at_s = float("-inf")
        # None until a leader has sent shares to this process.
        self.shares: dict[OrganisationId, float] | None = None
        self.organisations: dict[OrganisationId, OrganisationQuota] = {}
        self.permits_needed = asyncio.Event()

    async def admit(self, organisation: Organisation, *, timeout_s: float) -> None:
        """Admit one operation."""
        organisation_quota = self.organisations.setdefault(
            organisation.name, OrganisationQuota(clock=self.clock)
        )
        organisation_quota.demand.record()
        if not organisation_quota.waiting and organisation_quota.take_permit():
            return
        deadline_s = self.clock.now_s() + timeout_s
        if self._has_leader():
            result = await self._wait_for_permit(organisation_quota, timeout_s)
            if result is PermitResult.GRANTED:
                return
            if result is PermitResult.REFUSED and not self._is_leader_unresponsive():
                raise self._refusal(
                    organisation,
                    organisation_quota,
                    organisation_quota.wait_s or timeout_s,
                )
        await self._admit_locally(organisation, organisation_quota, deadline_s)

    async def _wait_for_permit(
        self, organisation_quota: OrganisationQuota, timeout_s: float
    ) -> PermitResult:
        waiter: asyncio.Future[PermitResult] = (
            asyncio.get_running_loop().create_future()
        )
        organisation_quota.waiting.append(waiter)
        self.permits_needed.set()
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return PermitResult.REFUSED
        finally:
            if waiter in organisation_quota.waiting:
                organisation_quota.waiting.remove(waiter)

    def mark_leader_lost(self) -> None:
        """Switch to the local fallback, also for operations that wait."""
        self.last_grant_at_s = float("-inf")
        for organisation_quota in self.organisations.values():
            while organisation_quota.waiting:
                waiter = organisation_quota.waiting.popleft()
                if not waiter.done():
                    waiter.set_result(PermitResult.LOCAL)

    def refund(self, organisation: Organisation) -> None:
        """Return the permit of an operation that reached no endpoint."""
        organisation_quota = self.organisations.get(organisation.name)
        if organisation_quota is not None:
            organisation_quota.permits += 1
            organisation_quota.expires_at_s = max(
                organisation_quota.expires_at_s, self.clock.now_s() + PREFETCH_S
            )

    def take_requests(self) -> dict[OrganisationId, int]:
        """Return the permits to request now, and record them as requested."""
        self.permits_needed.clear()
        requests = {}
        for name, organisation_quota in self.organisations.items():
            requested = organisation_quota.permits_to_request()
            if requested:
                requests[name] = requested
                organisation_quota.requested = requested
                organisation_quota.requested_at_s = self.clock.now_s()
        return requests

    def apply_grants(
        self, grants: Mapping[OrganisationId, PermitGrant], requested_at_s: float
    ) -> None:
        """Apply grants of permits that were requested at ``requested_at_s``."""
        self.last_grant_at_s = max(self.last_grant_at_s, requested_at_s)
        for name, grant in grants.items():
            organisation_quota = self.organisations.get(name)
            if organisation_quota is not None:
                self._apply_grant(organisation_quota, grant, requested_at_s)

    def apply_shares(self, changed: Mapping[OrganisationId, float]) -> None:
        """Apply changed rate shares, for the time without a leader."""
        if changed:
            self.shares = {**(self.shares or {}), **changed}

    def _apply_grant(
        self,
        organisation_quota: OrganisationQuota,
        grant: PermitGrant,
        requested_at_s: float,
    ) -> None:
        organisation_quota.requested = 0
        organisation_quota.local_bucket = None
        organisation_quota.wait_s = grant.wait_s
        if self.clock.now_s() >= organisation_quota.expires_at_s:
            organisation_quota.permits = 0
        organisation_quota.permits += grant.permits
        organisation_quota.expires_at_s = requested_at_s + GRANT_TTL_S
        while organisation_quota.waiting and organisation_quota.take_permit():
            waiter = organisation_quota.waiting.popleft()
            if waiter.done():
                organisation_quota.permits += 1
            else:
                waiter.set_result(PermitResult.GRANTED)
        if grant.wait_s > 0:
            self._refuse_excess(organisation_quota, grant)

    def _refuse_excess(
        self, organisation_quota: OrganisationQuota, grant: PermitGrant
    ) -> None:
        """Refuse the waiting operations that can't be granted in time.

        The leader has no permits left, so the next grants are of about the size
        of this one.
        """
        while len(organisation_quota.waiting) > max(1, grant.permits):
            waiter = organisation_quota.waiting.pop()
            if not waiter.done():
                waiter.set_result(PermitResult.REFUSED)

    def _is_leader_unresponsive(self) -> bool:
        return self.clock.now_s() - self.last_grant_at_s >= LEADER_TIMEOUT_S

    def _has_leader(self) -> bool:
        return self.clock.now_s() - self.last_grant_at_s < GRANT_TTL_S

    async def _admit_locally(
        self,
        organisation: Organisation,
        organisation_quota: OrganisationQuota,
        deadline_s: float,
    ) -> None:
        fraction = self._local_fraction(organisation)
        size = BucketSize(
            organisation.rate_per_s * fraction, max(1.0, organisation.burst * fraction)
        )
        if organisation_quota.local_bucket is None:
            organisation_quota.local_bucket = TokenBucket(size=size, clock=self.clock)
            # A flapping leader connection must not add these tokens twice in a window.
            if (
                self.clock.now_s() - organisation_quota.local_used_at_s
                >= self.tolerance.window_s
            ):
                restart = (
                    RESTART_FRACTION
                    * self.tolerance.excess_for(organisation)
                    * fraction
                )
                organisation_quota.local_bucket.tokens = min(restart, size.capacity)
        organisation_quota.local_used_at_s = self.clock.now_s()
        bucket = organisation_quota.local_bucket
        bucket.resize(size)
        organisation_quota.local_waiters += 1
        try:
            while bucket.available() < 1.0:
                missing = organisation_quota.local_waiters - bucket.available()
                wait_s = max(missing / max(size.rate_per_s, 1e-3), MIN_WAIT_S)
                if self.clock.now_s() + wait_s > deadline_s:
                    raise self._refusal(organisation, organisation_quota, wait_s)
                await asyncio.sleep(wait_s)
            bucket.take(1.0)
        finally:
            organisation_quota.local_waiters -= 1

    def _local_fraction(self, organisation: Organisation) -> float:
        """Return the fraction of a rate that this VM uses without a leader."""
        if self.shares is None:
            return 1 / max(self.vm_count, 1)
        return effective_fraction(
            self.shares.get(organisation.name, 0.0), self.vm_count
        )

    def _refusal(
        self,
        organisation: Organisation,
        organisation_quota: OrganisationQuota,
        wait_s: float,
    ) -> RequestError:
        logging.info(
            "[quota] Operation is refused. organisation=%s rate_per_s=%.1f "
            "burst=%.1f lent_s_ago=%.2f vms=%d demand_per_s=%.1f waiting=%d "
            "wait_s=%.2f",
            organisation.name,
            organisation.rate_per_s,
            organisation.burst,
            self.clock.now_s() - self.last_grant_at_s,
            self.vm_count,
            organisation_quota.demand.current(),
            len(organisation_quota.waiting),
            wait_s,
        )
        return RequestError(
            code=ErrorCode.RATE_EXCEEDED,
            step=Step.RATE_ADMIT,
            peer=organisation.name,
            outcome=Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )
