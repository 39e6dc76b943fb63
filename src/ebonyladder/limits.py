"""Fleet-wide rate limits of organisations: token buckets and their leases."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from math import floor
from typing import NamedTuple

import xxhash

from ebonyladder.configuration import OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.messages import LeaseTokens
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import OrganisationId, VmId

SHARDS = 64
RESERVES_PER_SHARD = 8
# Fraction of rate and capacity in each reserve lease; larger for small capacities.
RESERVE_FRACTION = 0.05
MAIN_TTL_S = 6.0
MAIN_RENEWAL_INTERVAL_S = 2.0
# Covers an hour's outage of the store that begins just before a renewal.
RESERVE_TTL_S = 75 * 60.0
RESERVE_RENEWAL_INTERVAL_S = 10 * 60.0
# The 512 reserve leases can be retried later than the main ones, and must not
# overload a store that recovers.
MAIN_BACKOFF_S = 1.0
RESERVE_BACKOFF_S = 30.0
# A grant that arrives later than this after its request was sent is not used.
GRANT_TTL_S = 0.1
# Six of the eight reserve leases of a shard then hold one whole token together, so
# that every organisation is served in an outage of the store with two dead VMs.
MIN_CAPACITY = 4 / 3
# Sums of fractional tokens are compared with this tolerance.
TOKEN_TOLERANCE = 1e-6


class RateLimits(ABC):
    """Admission by the fleet-wide rate and burst of an organisation."""

    @abstractmethod
    async def admit(self, organisation: OrganisationId, *, wait_s: float) -> None:
        """Take one token, waiting for it up to ``wait_s`` seconds.

        Raises
        ------
        RequestError
            RATE_EXCEEDED with ``retry_after_s`` if no token is available
            in time.
        """

    def is_ready(self) -> bool:
        """Tell whether this VM is ready to admit requests after its start."""
        return True

    def leases_held(self) -> list[LeaseTokens]:
        """Return the leases that this VM holds, with the tokens in them."""
        return []


class BucketSize(NamedTuple):
    """Rate in tokens a second and capacity in tokens of one bucket."""

    rate_per_s: float
    capacity: float


class TokenBucket:
    """Token bucket that starts empty.

    Parameters
    ----------
    size : BucketSize
        Rate and capacity.
    clock : Clock
        Clock that refills the bucket.
    """

    def __init__(self, *, size: BucketSize, clock: Clock) -> None:
        self.size = size
        self.clock = clock
        self.tokens = 0.0
        self.filled_at_s = clock.now_s()

    def available(self) -> float:
        """Return the tokens in the bucket now."""
        now_s = self.clock.now_s()
        added = max(0.0, now_s - self.filled_at_s) * self.size.rate_per_s
        self.tokens = min(self.size.capacity, self.tokens + added)
        self.filled_at_s = now_s
        return self.tokens

    def take(self, requested: float) -> float:
        """Take up to ``requested`` tokens, fractions included; return the number."""
        taken = max(0.0, min(requested, self.available()))
        self.tokens -= taken
        return taken

    def resize(self, size: BucketSize) -> None:
        """Change rate and capacity; adds no tokens."""
        tokens = self.available()
        self.size = size
        self.tokens = min(tokens, size.capacity)


class LeaseName(NamedTuple):
    """Lease of one shard: the main one or a numbered reserve."""

    shard: int
    reserve: int | None = None

    @property
    def key(self) -> str:
        """Key of the lease in the store."""
        if self.reserve is None:
            return f"limits/{self.shard}/main"
        return f"limits/{self.shard}/reserve/{self.reserve}"

    @property
    def is_main(self) -> bool:
        """Tell whether this is the main lease."""
        return self.reserve is None

    @property
    def ttl_s(self) -> float:
        """Seconds for which one write makes the lease valid."""
        return MAIN_TTL_S if self.is_main else RESERVE_TTL_S

    @property
    def renewal_interval_s(self) -> float:
        """Seconds between renewals."""
        return MAIN_RENEWAL_INTERVAL_S if self.is_main else RESERVE_RENEWAL_INTERVAL_S

    @property
    def backoff_s(self) -> float:
        """Mean seconds before the next attempt while the store is unavailable."""
        return MAIN_BACKOFF_S if self.is_main else RESERVE_BACKOFF_S


def shard_of(organisation: OrganisationId) -> int:
    """Return the shard of an organisation; it never depends on the VMs."""
    return xxhash.xxh3_64_intdigest(organisation.encode()) % SHARDS


def fleet_bucket_size(spec: OrganisationSpec) -> BucketSize:
    """Return the rate and capacity of all buckets of an organisation together.

    A granted token may be used up to ``GRANT_TTL_S`` later, so a window of
    w seconds can contain floor(rate x (w + ``GRANT_TTL_S``) + capacity)
    admissions. The capacity is lowered so that this is never more than the
    organisation's rate x w + burst. Where it would fall below ``MIN_CAPACITY``,
    it has that value and the rate is lowered instead: the smallest whole number
    of admissions above the burst must not be possible before the limit allows
    it. Larger numbers are then possible no earlier than allowed either.
    """
    capacity = spec.burst - spec.rate_per_s * GRANT_TTL_S
    if capacity >= MIN_CAPACITY:
        return BucketSize(spec.rate_per_s, capacity)
    admissions = floor(spec.burst) + 1
    refill_s = GRANT_TTL_S + (admissions - spec.burst) / spec.rate_per_s
    rate_per_s = (admissions - MIN_CAPACITY) / refill_s
    return BucketSize(min(spec.rate_per_s, rate_per_s), MIN_CAPACITY)


def reserve_fraction(capacity: float) -> float:
    """Return the fraction of rate and capacity that all reserve leases have.

    The fraction is larger for small capacities; otherwise the reserves together
    would never hold one whole token.
    """
    return min(1.0, max(RESERVE_FRACTION * RESERVES_PER_SHARD, MIN_CAPACITY / capacity))


def bucket_size(spec: OrganisationSpec, name: LeaseName) -> BucketSize:
    """Return the size of the organisation's bucket of one lease."""
    fleet = fleet_bucket_size(spec)
    all_reserves = reserve_fraction(fleet.capacity)
    fraction = 1.0 - all_reserves if name.is_main else all_reserves / RESERVES_PER_SHARD
    return BucketSize(fleet.rate_per_s * fraction, fleet.capacity * fraction)


def main_order(shard: int, vms: Iterable[VmId]) -> list[VmId]:
    """Return the VMs by preference for the main lease of a shard."""
    return rendezvous_order(f"limits/{shard}/main", vms)


def reserve_order(shard: int, vms: Iterable[VmId]) -> list[VmId]:
    """Return the VMs by preference for the reserve leases of a shard."""
    return rendezvous_order(f"limits/{shard}/reserve", vms)


def preferred_leases(vm: VmId, vms: Iterable[VmId]) -> set[LeaseName]:
    """Return the leases for which ``vm`` is the first choice among ``vms``.

    The reserves of a shard go to different VMs as long as there are enough.
    """
    names = list(vms)
    preferred: set[LeaseName] = set()
    if vm not in names:
        return preferred
    for shard in range(SHARDS):
        if main_order(shard, names)[0] == vm:
            preferred.add(LeaseName(shard))
        order = reserve_order(shard, names)
        preferred.update(
            LeaseName(shard, number)
            for number in range(RESERVES_PER_SHARD)
            if order[number % len(order)] == vm
        )
    return preferred
