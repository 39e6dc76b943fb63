"""Rate shares of VMs for the time without a leader."""

import asyncio
from random import Random

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import RequestError
from ebonyladder.sessions.catalog import Organisation
from ebonyladder.sessions.fleet.shares import (
    EQUAL_FRACTION,
    RateShares,
    effective_fraction,
)
from ebonyladder.sessions.quota import GrantedQuota, Tolerance
from ebonyladder.types import OrganisationId, VmId
from tests.fleet import run_virtual

ORGANISATION = Organisation(name=OrganisationId("council"), rate_per_s=16.0, burst=16.0)
NAME = ORGANISATION.name
TOLERANCE = Tolerance(window_s=5.0, share=0.1, operations=20.0)
REPORT_INTERVAL_S = 0.8


class ReportingVm:
    """A VM's reports and the updates that it receives."""

    def __init__(self, shares: RateShares, name: str) -> None:
        self.shares = shares
        self.vm = VmId(name)
        self.own_shares: dict[OrganisationId, float] = {}
        self.last_update_made_at_s: float | None = None

    def report(self, requested: int, *, is_lost: bool = False) -> None:
        """Report a demand; the update may be lost together with the connection."""
        self.shares.record_report(
            self.vm,
            requests={NAME: requested} if requested else {},
            last_update_made_at_s=self.last_update_made_at_s,
            acknowledged=dict(self.own_shares)
            if self.last_update_made_at_s is None
            else None,
        )
        made_at_s = self.shares.clock.now_s()
        assigned = self.shares.assign(self.vm, made_at_s)
        if is_lost:
            self.last_update_made_at_s = None
            return
        self.last_update_made_at_s = made_at_s
        self.own_shares.update(assigned)


def report_demand(
    clock: ManualClock, reporters: list[ReportingVm], requests: list[int]
) -> None:
    """Report the same demand 40 times."""
    for _ in range(40):
        clock.advance(REPORT_INTERVAL_S)
        for reporter, requested in zip(reporters, requests, strict=True):
            reporter.report(requested)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


class TestRateShares:
    """Guards against shares that don't follow demand or exceed the rate in sum."""

    def test_shares_follow_the_demand(self, clock):
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(3)]
        report_demand(clock, reporters, [6, 2, 0])
        assert reporters[0].own_shares[NAME] == pytest.approx(0.6, rel=0.4)
        assert reporters[1].own_shares[NAME] == pytest.approx(0.2, rel=0.6)
        assert reporters[2].own_shares.get(NAME, 0.0) == 0.0

    @pytest.mark.parametrize("seed", range(20))
    def test_sum_stays_within_the_rate_as_demand_changes(self, clock, seed):
        random = Random(seed)
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(6)]
        for _ in range(300):
            clock.advance(REPORT_INTERVAL_S / 6)
            reporter = random.choice(reporters)
            reporter.report(random.choice((0, 1, 5, 40)), is_lost=random.random() < 0.1)
            assert sum(
                one.own_shares.get(NAME, 0.0) for one in reporters
            ) <= 1 - EQUAL_FRACTION + (1e-9)

    def test_share_of_an_unresponsive_vm_is_not_granted(self, clock):
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(2)]
        report_demand(clock, reporters, [5, 5])
        share = reporters[1].own_shares[NAME]
        vms = [reporter.vm for reporter in reporters]
        shares.refresh(vms, vms)
        assert shares.grantable_fraction(NAME) == 1.0
        shares.refresh(vms, vms[:1])
        assert shares.grantable_fraction(NAME) == pytest.approx(
            1 - effective_fraction(share, vm_count=2)
        )

    def test_reporting_fraction_has_only_the_shares_of_reporting_vms(self, clock):
        # Guards against a former leader that doesn't know of its successor and grants
        # the unassigned fraction of the rate too.
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(3)]
        report_demand(clock, reporters, [5, 5, 0])
        vms = [VmId("leader"), *(reporter.vm for reporter in reporters)]
        shares.refresh(vms, vms[:2])
        own = effective_fraction(0.0, vm_count=4)
        share = reporters[0].own_shares[NAME]
        assert shares.reporting_fraction(NAME) == pytest.approx(
            own + effective_fraction(share, vm_count=4)
        )
        shares.refresh(vms, vms[:1])
        assert shares.reporting_fraction(NAME) == pytest.approx(own)

    def test_share_of_a_restarted_vm_is_free(self, clock):
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(2)]
        report_demand(clock, reporters, [5, 5])
        reporters[1] = ReportingVm(shares, "vm-1")
        report_demand(clock, reporters, [5, 0])
        assert reporters[0].own_shares[NAME] > 0.5

    def test_vms_that_a_new_leader_does_not_know_keep_their_fraction(self, clock):
        shares = RateShares(clock=clock)
        vms = [VmId(f"vm-{n}") for n in range(4)]
        shares.refresh(vms, vms[:1])
        assert shares.grantable_fraction(NAME) == 0.25


class TestLeaderLoss:
    """Guards against refusals in a large fleet without a leader.

    20 of 72 VMs have callers of the organisation, who request 10 operations a second
    of the allowed 16; with equal fractions most of them were refused.
    """

    VMS = 72
    CALLERS = 20
    DEMAND_PER_S = 10.0
    LOST_S = 6.0
    RETRIES = 2
    RETRY_BACKOFF_S = 0.3

    def run_without_leader(self, *, seed: int) -> tuple[int, int]:
        """Return the numbers of operations requested and admitted without a leader."""
        clock = ManualClock()
        shares = RateShares(clock=clock)
        reporters = [ReportingVm(shares, f"vm-{n}") for n in range(self.CALLERS)]
        random = Random(seed)
        for _ in range(60):
            clock.advance(REPORT_INTERVAL_S)
            for reporter in reporters:
                mean = self.DEMAND_PER_S / self.CALLERS * REPORT_INTERVAL_S
                reporter.report(int(random.random() < mean))
        quotas = []
        for reporter in reporters:
            quota = GrantedQuota(clock=clock, tolerance=TOLERANCE)
            quota.vm_count = self.VMS
            quota.apply_shares(reporter.own_shares)
            quotas.append(quota)

        async def call() -> bool:
            # Callers retry at other VMs.
            for quota in random.sample(quotas, 1 + self.RETRIES):
                try:
                    await quota.admit(ORGANISATION, timeout_s=0.5)
                except RequestError:
                    await asyncio.sleep(self.RETRY_BACKOFF_S)
                    continue
                return True
            return False

        async def load() -> tuple[int, int]:
            requested = []
            ends_at_s = clock.now_s() + self.LOST_S
            while clock.now_s() < ends_at_s:
                await asyncio.sleep(random.expovariate(self.DEMAND_PER_S))
                requested.append(asyncio.create_task(call()))
            return len(requested), sum(await asyncio.gather(*requested))

        return run_virtual(load(), clock)

    @pytest.mark.parametrize("seed", range(5))
    def test_most_operations_are_admitted_within_the_rate(self, seed):
        requested, admitted = self.run_without_leader(seed=seed)
        allowed = ORGANISATION.rate_per_s * self.LOST_S + ORGANISATION.burst
        assert admitted <= allowed
        assert admitted >= 0.5 * requested
