"""States of a connection pool under random statements, faults and cancellations."""

import asyncio
import random
import selectors
from collections.abc import Callable
from enum import Enum

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import EndpointConnector, PooledConnection
from ebonyladder.sessions.opening_budget import MIN_OPENING, OPENING_FRACTION
from ebonyladder.sessions.pool import DirectPool
from ebonyladder.types import OrganisationId
from tests.session_fakes import entry

SEEDS = range(300)
DURATION_S = 3.0
# Slots that endpoints may report, down to none and up to a meaningless number.
SLOTS = (0, 1, 2, 3, 6, 10**12)
# Lateness that rounding of times may cause, in seconds.
ROUNDING_S = 0.001


class Phase(Enum):
    """How the endpoint answers attempts to connect."""

    USUAL = "usual"
    DARK = "dark"
    FAILING = "failing"


class QuiescentSelector(selectors.DefaultSelector):
    """Calls ``check`` whenever no task can run, then advances the clock."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.check: Callable[[], None] = lambda: None

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.check()
            self.clock.advance(timeout)
        return super().select(0)


class QuiescentLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time that checks states between events."""

    def __init__(self, selector: QuiescentSelector) -> None:
        super().__init__(selector)
        self.clock = selector.clock

    def time(self) -> float:
        return self.clock.now_s()


class RandomConnection(PooledConnection):
    """Connection that the endpoint may end."""

    def __init__(self, world: "PoolWorld", organisation: OrganisationId) -> None:
        self.world = world
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.is_open = True
        self.is_closed = False

    def set_variables(self, values, deadline_s) -> None:
        """Not used here."""

    async def begin(self, command, *, min_position=None):
        """Not used here."""

    async def run(self, command, *, min_position=None, prepared=None):
        """Not used here."""

    def end(self) -> None:
        """Let the endpoint end the connection."""
        if self.is_open:
            self.is_open = False
            self.world.accepted -= 1

    def close(self) -> None:
        """Close the connection."""
        self.end()
        self.is_closed = True


class RandomConnector(EndpointConnector):
    """Connector whose attempts succeed, are refused, fail or get no answer."""

    def __init__(self, world: "PoolWorld") -> None:
        self.world = world

    async def open(self, entry, organisation):
        world = self.world
        world.opening += 1
        try:
            await asyncio.sleep(world.random.uniform(0.2, 1.8) * world.handshake_s)
            if world.phase is Phase.DARK:
                await asyncio.sleep(3600)
        finally:
            world.opening -= 1
        if world.phase is Phase.FAILING or world.random.random() < world.loss:
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED, step=Step.CONNECT, peer=entry.id
            )
        if world.accepted >= world.accepts:
            raise EndpointError(
                code=ErrorCode.OVERLOADED, step=Step.CONNECT, outcome=Outcome.NOT_RUN
            )
        world.accepted += 1
        connection = RandomConnection(world, organisation)
        world.connections.append(connection)
        return connection


class PoolWorld:
    """One pool, its endpoint and its statements, all drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        draw = self.random
        self.clock = ManualClock()
        self.handshake_s = draw.choice((0.001, 0.012, 0.1))
        self.loss = draw.choice((0.0, 0.0, 0.1))
        self.hold_s = draw.choice((0.005, 0.03, 0.3))
        self.interval_s = draw.choice((0.002, 0.01, 0.05))
        self.organisations = draw.randrange(1, 7)
        self.limit = draw.choice((1, 2, 5, 20))
        self.accepts = self.usual = draw.choice((0, self.limit // 2, self.limit, 100))
        self.slots = draw.choice(SLOTS)
        self.phase = Phase.USUAL
        self.accepted = 0
        self.opening = 0
        self.connections: list[RandomConnection] = []
        self.held: set[RandomConnection] = set()
        self.violations: list[str] = []
        # Time since which a statement waits though a turn is free.
        self.free_since_s: float | None = None
        self.pool = DirectPool(
            entry=self.with_slots(self.slots),
            connector=RandomConnector(self),
            clock=self.clock,
            limit=self.limit,
        )
        share = draw.choice((1.0, 1.0, 0.15))
        self.pool.opening_budget.resize(slots=self.slots, limit=self.limit, share=share)
        self.most_opening = max(MIN_OPENING, int(self.slots * OPENING_FRACTION * share))
        selector = QuiescentSelector(self.clock)
        selector.check = self.check
        with asyncio.Runner(loop_factory=lambda: QuiescentLoop(selector)) as runner:
            runner.run(self.play())

    @staticmethod
    def with_slots(slots: int):
        """Return an entry with a number of slots."""
        return msgspec.structs.replace(entry("primary"), slots=slots)

    async def play(self) -> None:
        """Send statements and let faults happen, until all have ended."""
        faults = asyncio.create_task(self.play_faults())
        maintenance = asyncio.create_task(self.maintain())
        statements = []
        end_at_s = self.clock.now_s() + DURATION_S
        while self.clock.now_s() < end_at_s:
            await asyncio.sleep(self.random.expovariate(1 / self.interval_s))
            statements.append(asyncio.create_task(self.run_statement()))
            if self.random.random() < 0.1:
                self.random.choice(statements).cancel()
        await asyncio.gather(*statements, return_exceptions=True)
        faults.cancel()
        maintenance.cancel()
        for statement in statements:
            if not statement.cancelled() and statement.exception() is not None:
                raise statement.exception()
        await asyncio.sleep(1.0)
        self.check()
        assert not self.pool.waiting
        assert not self.held
        self.pool.close()
        assert (self.pool.used, self.pool.opening, self.accepted) == (0, 0, 0)

    async def maintain(self) -> None:
        """Trim the pool as the plug-in does."""
        while True:
            await asyncio.sleep(0.25)
            self.pool.trim()

    async def play_faults(self) -> None:
        """Change how the endpoint answers, and end connections."""
        while True:
            await asyncio.sleep(self.random.uniform(0.01, 0.5))
            self.phase = self.random.choice((Phase.USUAL, *Phase))
            self.accepts = self.random.choice((0, self.usual, self.usual))
            for connection in self.connections:
                if self.random.random() < 0.1:
                    connection.end()

    async def run_statement(self) -> None:
        """Acquire, hold and release a connection."""
        number = self.random.randrange(self.organisations)
        organisation = OrganisationId(f"organisation-{number}")
        deadline_s = self.clock.now_s() + self.random.choice((0.02, 0.3, 1.0))
        try:
            connection = await self.pool.acquire(organisation, {}, deadline_s)
        except EndpointError as error:
            self.require(error.code is ErrorCode.CONNECT_FAILED, f"code {error.code}")
            return
        finally:
            lateness_s = self.clock.now_s() - deadline_s
            self.require(lateness_s <= ROUNDING_S, f"{lateness_s:.3f} s late")
        self.require(connection not in self.held, "connection given out twice")
        self.require(connection.organisation == organisation, "wrong organisation")
        self.held.add(connection)
        try:
            await asyncio.sleep(self.random.expovariate(1 / self.hold_s))
            if self.random.random() < 0.1:
                connection.close()
        except BaseException:
            connection.close()
            raise
        finally:
            self.held.remove(connection)
            self.pool.release(connection)

    def require(self, condition: bool, violation: str) -> None:
        """Record a violation unless a condition holds."""
        if not condition:
            at_s = self.clock.now_s()
            self.violations.append(f"{at_s:.3f}: {violation}")

    def check(self) -> None:
        """Check the pool while no task can run."""
        pool = self.pool
        open_count = len(self.held) + len(pool.idle)
        self.require(
            pool.used == open_count + pool.opening and pool.opening == self.opening,
            f"used {pool.used}, opening {pool.opening}, but {open_count} open and "
            f"{self.opening} opening",
        )
        self.require(pool.opening <= self.most_opening, f"{pool.opening} opening")
        idle = {c.organisation for c, _ in pool.idle if c.is_open}
        waiting = [w for w in pool.waiting if not w.ready.done()]
        self.require(
            not any(w.organisation in idle for w in waiting),
            "a statement waits though a connection of its organisation is idle",
        )
        has_turn = pool.may_open and pool.used - len(pool.idle) < pool.cap.current
        if not waiting or not has_turn:
            self.free_since_s = None
            return
        now_s = self.clock.now_s()
        if self.free_since_s is None:
            self.free_since_s = now_s
        # What grows with time is looked at by a timer.
        is_growing = pool.growth is not None
        allowed_s = pool.cap.growth_interval_s if is_growing else ROUNDING_S
        self.require(
            now_s - self.free_since_s <= allowed_s,
            f"a statement waits though a turn is free, {pool.used} used",
        )


class TestStates:
    """Guards against lost turns, wrong counts and connections that are lost."""

    @pytest.mark.parametrize("first", SEEDS[::50])
    def test_no_statement_waits_in_vain(self, first):
        for seed in range(first, first + 50):
            violations = PoolWorld(seed).violations
            assert not violations, f"seed {seed}: {violations[:5]}"
