"""Tests of fleet-wide limits whose burst is small for the rate."""

import asyncio
import random

import pytest

from ebonyladder import _collector, _held_leases, limits
from ebonyladder.limits import BucketSize
from ebonyladder.plugins import limits as plugin
from tests.limit_fleet import DelayedPeerConnections, Fleet, breach, run_virtual

SEED = 20261204
SECONDS = 12.0
NAMES = [f"vm-{n}" for n in range(8)]


async def vary_delay() -> None:
    """Vary the network delay so that grants arrive early and late within their TTL."""
    chance = random.Random(SEED)
    while True:
        DelayedPeerConnections.delay_s = chance.choice([0.0005, 0.012, 0.022])
        await asyncio.sleep(chance.uniform(0.02, 0.3))


def admissions(
    monkeypatch, *, rate_per_s: float, burst: float, outage: bool = False
) -> list[float]:
    """Return the times of admissions of a fleet with more demand than the rate."""
    print("seed", SEED)
    monkeypatch.setattr(DelayedPeerConnections, "delay_s", 0.001)

    async def run() -> list[float]:
        fleet = Fleet(rate_per_s=rate_per_s, burst=burst)
        await fleet.add(*NAMES)
        await asyncio.sleep(25.0)
        if outage:
            fleet.store.is_down = True
            await fleet.kill(NAMES[0])
            await fleet.kill(NAMES[1])
            await asyncio.sleep(12.0)
        delays = asyncio.create_task(vary_delay())
        sends = [
            fleet.send(n, rate_per_s=rate_per_s / 3, seconds=SECONDS) for n in NAMES
        ]
        await asyncio.gather(*sends)
        delays.cancel()
        await fleet.stop()
        return fleet.admitted_at_s

    return run_virtual(run())


class TestSmallBursts:
    """Guards against an exceeded limit where many tokens are in flight per burst."""

    @pytest.mark.parametrize(
        ("rate_per_s", "burst"),
        [(10.0, 1.0), (50.0, 2.5), (3.0, 1.5)],
    )
    def test_no_window_is_exceeded(self, monkeypatch, rate_per_s, burst):
        admitted_at_s = admissions(monkeypatch, rate_per_s=rate_per_s, burst=burst)
        assert breach(admitted_at_s, rate_per_s=rate_per_s, burst=burst) is None
        size = limits.fleet_bucket_size(
            limits.OrganisationSpec(rate_per_s=rate_per_s, burst=burst)
        )
        assert len(admitted_at_s) >= 0.3 * size.rate_per_s * SECONDS

    def test_checker_catches_the_full_rate_with_a_small_burst(self, monkeypatch):
        def full_rate(spec):
            capacity = spec.burst - spec.rate_per_s * limits.GRANT_TTL_S
            return BucketSize(spec.rate_per_s, max(capacity, 1.0))

        for module in (limits, _collector, plugin):
            monkeypatch.setattr(module, "fleet_bucket_size", full_rate)
        admitted_at_s = admissions(monkeypatch, rate_per_s=10.0, burst=1.0)
        assert breach(admitted_at_s, rate_per_s=10.0, burst=1.0) is not None

    @pytest.mark.parametrize("burst", [1.0, 2.5])
    def test_outage_with_two_dead_vms_still_collects_whole_tokens(
        self, monkeypatch, burst
    ):
        admitted_at_s = admissions(
            monkeypatch, rate_per_s=10.0, burst=burst, outage=True
        )
        assert len(admitted_at_s) >= 0.1 * 10.0 * SECONDS
        assert breach(admitted_at_s, rate_per_s=10.0, burst=burst) is None

    def test_checker_catches_reserves_too_small_for_one_token(self, monkeypatch):
        def proportional(spec, name):
            fraction = 0.6 if name.is_main else 0.05
            fleet = limits.fleet_bucket_size(spec)
            return BucketSize(fleet.rate_per_s * fraction, fleet.capacity * fraction)

        monkeypatch.setattr(_held_leases, "bucket_size", proportional)
        admitted_at_s = admissions(monkeypatch, rate_per_s=10.0, burst=1.0, outage=True)
        assert admitted_at_s == []

    @pytest.mark.parametrize("rate_per_s", [0.1, 1.0, 7.0, 50.0, 1000.0])
    @pytest.mark.parametrize("burst", [1.0, 1.5, 2.0, 5.0, 40.0, 150.0])
    def test_size_keeps_every_window_within_the_limit(self, rate_per_s, burst):
        spec = limits.OrganisationSpec(rate_per_s=rate_per_s, burst=burst)
        size = limits.fleet_bucket_size(spec)
        for number in range(int(burst) + 1, int(burst) + 500):
            window_s = (number - size.capacity) / size.rate_per_s - limits.GRANT_TTL_S
            assert number <= rate_per_s * max(window_s, 0.0) + burst + 1e-6
