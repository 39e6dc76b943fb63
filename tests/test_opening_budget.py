"""Turns to open connections, alone and for all VMs of a fleet after a burst."""

import asyncio
import random

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError
from ebonyladder.sessions.connection import EndpointConnector
from ebonyladder.sessions.executor import RETRY_BACKOFF_S
from ebonyladder.sessions.opening_budget import OPENING_S, OpeningBudget
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.types import OrganisationId, Role, ZoneId
from tests.fleet import run_virtual
from tests.session_fakes import ZONES, cluster, entry
from tests.test_connection_cap import OpenConnection

SLOTS = 5
VMS = 7
ORGANISATIONS = 8
# Times of the burst and of the end of the load, in seconds since the start.
BURST_FROM_S, BURST_TO_S, END_S = 2.0, 4.0, 10.0
BURST_FACTOR = 3
WORK_S = 0.033
# Part of the endpoint's slots that the statements need apart from the burst.
USUAL_LOAD = 0.5
DEADLINE_S = 4.0


class BusyEndpoint:
    """Endpoint whose slots are taken by statements and by connections that open."""

    def __init__(self) -> None:
        self.busy = 0
        self.open = 0

    @property
    def has_slot(self) -> bool:
        """Whether a statement would run."""
        return self.busy < SLOTS

    async def open_connection(self, organisation: OrganisationId) -> OpenConnection:
        """Accept a connection, which takes a slot meanwhile."""
        self.busy += 1
        try:
            await asyncio.sleep(OPENING_S)
        finally:
            self.busy -= 1
        self.open += 1
        return OpenConnection(self, organisation)


class Connector(EndpointConnector):
    """Connects to the one endpoint."""

    def __init__(self, endpoint: BusyEndpoint) -> None:
        self.endpoint = endpoint

    async def open(self, entry, organisation):
        """Open a connection."""
        return await self.endpoint.open_connection(organisation)


class FleetRun:
    """Statements of VMs that hold connections of their own to one endpoint."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.endpoint = BusyEndpoint()
        self.pools = [self.make_pool() for _ in range(VMS)]
        # Time of each statement since the start, and whether it was served.
        self.results: list[tuple[float, bool]] = []
        run_virtual(self.play(), self.clock)

    def make_pool(self):
        """Return one VM's pool of the endpoint."""
        view = cluster(self.clock)
        view.fleet = dict.fromkeys(ZONES, 0)
        view.fleet[ZoneId("a")] = VMS
        primary = msgspec.structs.replace(
            entry("primary", role=Role.PRIMARY), slots=SLOTS
        )
        view.endpoints = {primary.id: primary}
        connector = Connector(self.endpoint)
        pools = PoolSet(cluster=view, connector=connector, clock=self.clock)
        pools.update()
        return pools.get(primary.id)

    async def play(self) -> None:
        """Send statements at a rate that is higher during the burst."""
        statements, at_s = [], 0.0
        while at_s < END_S:
            rate_per_s = USUAL_LOAD * SLOTS / WORK_S
            if BURST_FROM_S <= at_s < BURST_TO_S:
                rate_per_s *= BURST_FACTOR
            wait_s = self.random.expovariate(rate_per_s)
            await asyncio.sleep(wait_s)
            at_s += wait_s
            statements.append(asyncio.create_task(self.run_statement(at_s)))
        await asyncio.gather(*statements)

    async def run_statement(self, at_s: float) -> None:
        """Run a statement at a VM, again after each refusal, as the executor does."""
        pool = self.random.choice(self.pools)
        organisation = OrganisationId(str(self.random.randrange(ORGANISATIONS)))
        deadline_s = self.clock.now_s() + DEADLINE_S
        while self.clock.now_s() < deadline_s - 2 * RETRY_BACKOFF_S:
            try:
                connection = await pool.acquire(organisation, {}, deadline_s)
            except EndpointError:
                break
            if self.endpoint.has_slot:
                self.endpoint.busy += 1
                await asyncio.sleep(self.random.expovariate(1 / WORK_S))
                self.endpoint.busy -= 1
                pool.release(connection)
                self.results.append((at_s, True))
                return
            # A connection that has answered with an error runs no other statement.
            connection.close()
            pool.release(connection)
            await asyncio.sleep(RETRY_BACKOFF_S)
        self.results.append((at_s, False))

    def served(self, from_s: float, to_s: float) -> float:
        """Return the share of statements in a time that were served."""
        results = [ok for at_s, ok in self.results if from_s <= at_s < to_s]
        return sum(results) / len(results)


class TestFleetAfterBurst:
    """Guards against an endpoint that stays busy with connections being opened.

    Each of 7 VMs once opened up to two at a time at an endpoint of 5 slots. After a
    burst it refused nearly all statements, although the load was half of what it
    could serve.
    """

    @pytest.fixture(scope="class")
    def run(self) -> FleetRun:
        return FleetRun()

    def test_usual_load_is_served(self, run):
        assert run.served(0.0, BURST_FROM_S) == 1.0

    def test_usual_load_is_served_again_after_a_burst(self, run):
        assert run.served(BURST_TO_S + 2.0, END_S) > 0.95


class TestBudget:
    """Guards against turns that come too often, or too late for a fresh pool."""

    @pytest.fixture(autouse=True)
    def budget(self):
        self.clock = ManualClock()
        self.budget = OpeningBudget(clock=self.clock, slots=5, limit=4, share=1 / 7)

    def take_all(self) -> int:
        """Take the turns there are; return their number."""
        count = 0
        while self.budget.may_open(0):
            self.budget.take()
            count += 1
        return count

    def test_unused_turns_allow_all_connections_of_the_vm(self):
        assert self.take_all() == 4

    def test_turns_of_all_vms_take_half_of_the_slots_in_the_long_run(self):
        self.take_all()
        count = 0
        for _ in range(10_000):
            self.clock.advance(0.001)
            count += self.take_all()
        used_slots = 7 * count * OPENING_S / 10.0
        assert used_slots == pytest.approx(2.5, rel=0.02)

    def test_wait_ends_with_a_turn(self):
        self.take_all()
        assert not self.budget.may_open(0)
        self.clock.advance(self.budget.wait_s)
        assert self.budget.may_open(0)
        assert self.budget.wait_s == 0.0

    def test_owner_opens_half_of_the_slots_at_a_time(self):
        owner = OpeningBudget(clock=self.clock, slots=6, limit=70)
        assert [owner.may_open(n) for n in range(5)] == [True] * 3 + [False] * 2

    def test_larger_limit_adds_turns(self):
        # A pool is made with the least limit and learns its own one at once.
        self.take_all()
        self.budget.resize(slots=5, limit=28, share=1.0)
        assert self.take_all() == 24
