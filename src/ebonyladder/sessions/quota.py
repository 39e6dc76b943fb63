"""Fleet-wide rate of organisations, shared among VMs by grants."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.limits import BucketSize, TokenBucket
from ebonyladder.sessions.catalog import Organisation
from ebonyladder.types import OrganisationId, VmId

# A grant holds for this long after it was asked for, in seconds.
GRANT_LIFE_S = 1.5
# Parts of the tolerance of a limit. The first lets an uneven flow through single VMs
# pass; the second is there after a restart, when a VM can't know what it admitted a
# moment ago. The rest is for grants that overlap while they change.
BURST_PART = 0.3
RESTART_PART = 0.4
# Demand is averaged over about this time, in seconds.
DEMAND_WINDOW_S = 1.0
# A part of a limit that grants never give away, so that a VM which starts to ask
# is served before the next grant.
SPARE_SHARE = 0.1


class Quota(ABC):
    """Admission of operations by the rate of their organisation."""

    @abstractmethod
    async def admit(self, organisation: Organisation, *, longest_s: float) -> None:
        """Admit one operation, waiting for its turn up to ``longest_s`` seconds.

        Raises
        ------
        RequestError
            RATE_EXCEEDED with ``retry_after_s``, at once, where the turn is later.
        """

    @abstractmethod
    def refund(self, organisation: Organisation) -> None:
        """Give back the turn of an operation that reached no endpoint.

        Without this, callers that try again while a primary is replaced use up
        their organisation's rate with operations that never ran.
        """


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far the operations of a window may exceed a limit.

    Attributes
    ----------
    window_s : float
        Length of the window, in seconds.
    share : float
        Part of what the limit allows in the window.
    operations : float
        Operations beyond that.
    """

    window_s: float = 5.0
    share: float = 0.0
    operations: float = 0.0

    def of(self, organisation: Organisation) -> float:
        """Return the operations by which a window may exceed the limit."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return allowed * self.share + self.operations


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Part of an organisation's rate that one VM may use."""

    rate_per_s: float
    until_s: float


class Demand:
    """Moving average of the operations that were asked for."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.rate_per_s = 0.0
        self.seen_s = clock.now_s()

    def note(self) -> None:
        """Add one operation."""
        self.rate_per_s = self.current() + 1 / DEMAND_WINDOW_S

    def current(self) -> float:
        """Return the rate, in operations per second."""
        now_s = self.clock.now_s()
        left = max(0.0, 1 - (now_s - self.seen_s) / DEMAND_WINDOW_S)
        self.rate_per_s *= left
        self.seen_s = now_s
        return self.rate_per_s


class OrganisationMeter:
    """Bucket, queue and demand of one organisation at this VM."""

    def __init__(
        self, *, clock: Clock, size: BucketSize, tokens: float, since_s: float
    ) -> None:
        self.bucket = TokenBucket(size=size, clock=clock)
        self.bucket.tokens = tokens
        self.bucket.filled_s = since_s
        self.demand = Demand(clock=clock)
        self.waiting = 0


class GrantedQuota(Quota):
    """Admits by this VM's grant, or by an equal part without a valid grant.

    It answers one organisation's traffic arriving through few VMs, and an
    organisation that sends many times its rate through all of them.

    Parameters
    ----------
    clock : Clock
        Clock of buckets and grants.
    tolerance : Tolerance, optional
        How far a window may exceed a limit; none by default.
    """

    def __init__(self, *, clock: Clock, tolerance: Tolerance | None = None) -> None:
        self.clock = clock
        self.tolerance = tolerance or Tolerance()
        self.started_s = clock.now_s()
        self.vm_count = 1
        self.grants: dict[OrganisationId, Grant] = {}
        self.meters: dict[OrganisationId, OrganisationMeter] = {}

    async def admit(self, organisation: Organisation, *, longest_s: float) -> None:
        """Admit one operation."""
        meter = self.meters.get(organisation.name)
        if meter is None:
            restart_tokens = RESTART_PART * self.tolerance.of(organisation)
            meter = OrganisationMeter(
                clock=self.clock,
                size=self._size(organisation),
                tokens=min(restart_tokens, organisation.burst) / self.vm_count,
                since_s=self.started_s,
            )
            self.meters[organisation.name] = meter
        meter.demand.note()
        meter.bucket.resize(self._size(organisation))
        wait_s = self._turn_s(meter)
        if wait_s > longest_s:
            raise self._refusal(organisation, wait_s)
        if wait_s <= 0:
            meter.bucket.take(1.0)
            return
        meter.waiting += 1
        try:
            deadline_s = self.clock.now_s() + longest_s
            while meter.bucket.available() < 1.0:
                meter.bucket.resize(self._size(organisation))
                if self.clock.now_s() >= deadline_s:
                    raise self._refusal(organisation, self._turn_s(meter))
                await asyncio.sleep(max(wait_s / 2, 0.01))
            meter.bucket.take(1.0)
        finally:
            meter.waiting -= 1

    def refund(self, organisation: Organisation) -> None:
        """Give back the turn of an operation that reached no endpoint."""
        meter = self.meters.get(organisation.name)
        if meter is not None:
            bucket = meter.bucket
            bucket.tokens = min(bucket.size.capacity, bucket.available() + 1.0)

    def demands(self) -> dict[OrganisationId, float]:
        """Return the rates that are asked for here, in operations per second."""
        rates = {name: m.demand.current() for name, m in self.meters.items()}
        return {name: rate for name, rate in rates.items() if rate > 0}

    def accept(self, grants: Mapping[OrganisationId, float], asked_s: float) -> None:
        """Take over grants that were asked for at ``asked_s``."""
        for name, rate in grants.items():
            self.grants[name] = Grant(rate_per_s=rate, until_s=asked_s + GRANT_LIFE_S)

    def share(self, organisation: Organisation) -> float:
        """Return this VM's part of the organisation's rate, from 0 to 1."""
        grant = self.grants.get(organisation.name)
        if grant is None or grant.until_s < self.clock.now_s():
            return 1 / max(self.vm_count, 1)
        # A grant may be older than a lowered rate.
        return min(1.0, grant.rate_per_s / max(organisation.rate_per_s, 1e-9))

    def _size(self, organisation: Organisation) -> BucketSize:
        share = self.share(organisation)
        extra = BURST_PART * self.tolerance.of(organisation) / self.vm_count
        capacity = max(1.0, organisation.burst * share + extra)
        return BucketSize(organisation.rate_per_s * share, capacity)

    def _turn_s(self, meter: OrganisationMeter) -> float:
        missing = 1.0 + meter.waiting - meter.bucket.available()
        if missing <= 0:
            return 0.0
        return missing / max(meter.bucket.size.rate_per_s, 1e-3)

    def _refusal(self, organisation: Organisation, wait_s: float) -> RequestError:
        grant = self.grants.get(organisation.name)
        meter = self.meters[organisation.name]
        logging.info(
            "[quota] Operation is refused. organisation=%s rate_per_s=%.1f "
            "share=%.3f vms=%d grant_left_s=%.2f demand_per_s=%.1f waiting=%d "
            "turn_s=%.2f",
            organisation.name,
            organisation.rate_per_s,
            self.share(organisation),
            self.vm_count,
            grant.until_s - self.clock.now_s() if grant else 0.0,
            meter.demand.current(),
            meter.waiting,
            wait_s,
        )
        return RequestError(
            code=ErrorCode.RATE_EXCEEDED,
            step=Step.RATE_ADMIT,
            peer=organisation.name,
            outcome=Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )


def divide(
    *, rate_per_s: float, demands: Mapping[VmId, float], vm_count: int
) -> dict[VmId, float]:
    """Divide a rate among the VMs that report their demand.

    VMs that don't report may use an equal part each, which is kept for them. The
    parts add up to the rate at most.

    Parameters
    ----------
    rate_per_s : float
        Rate of the organisation, in operations per second.
    demands : mapping of VmId to float
        Operations per second that each reporting VM is asked for.
    vm_count : int
        Number of all VMs.
    """
    reporting = len(demands)
    if not reporting:
        return {}
    equal = rate_per_s / max(vm_count, reporting)
    usable = equal * reporting
    floor = SPARE_SHARE * usable / reporting
    left = usable - floor * reporting
    parts = dict.fromkeys(demands, floor)
    # Max-min fair: small demands are met in full before large ones share the rest.
    open_vms = sorted(demands, key=lambda vm: demands[vm])
    for index, vm in enumerate(open_vms):
        part = min(max(demands[vm] - floor, 0.0), left / (reporting - index))
        parts[vm] += part
        left -= part
    return {vm: part + left / reporting for vm, part in parts.items()}
