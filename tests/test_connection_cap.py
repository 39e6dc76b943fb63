"""Connections to an endpoint that is still full of those of failed VMs."""

import asyncio
import random

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import (
    EndpointConnector,
    EndpointGoneError,
    PooledConnection,
)
from ebonyladder.sessions.connection_cap import (
    GROWTH_INTERVAL_S,
    MAX_GROWTH_INTERVAL_S,
    ConnectionCap,
)
from ebonyladder.sessions.connection_queue import MAX_PASSES
from ebonyladder.sessions.pool import OPEN_TIMEOUT_S, DirectPool
from ebonyladder.types import OrganisationId
from tests.fleet import run_virtual
from tests.session_fakes import entry

# Connections that the endpoint accepts, of which those of the failed VMs stand for
# some seconds after these have lost power.
CAP, STALE = 32, 28
STALE_S = 3.0
LIMIT = 28
HANDSHAKE_S = 0.012
WORK_S = 0.03
STATEMENTS_PER_S = 60
ORGANISATIONS = 8
DEADLINE_S = 1.0


class OpenConnection(PooledConnection):
    """Connection that counts at the endpoint until it is closed."""

    def __init__(self, endpoint: "FullEndpoint", organisation: OrganisationId) -> None:
        self.full_endpoint = endpoint
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.is_open = True

    def set_variables(self, values, deadline_s) -> None:
        """Not used here."""

    async def begin(self, command, *, min_position=None):
        """Not used here."""

    async def run(self, command, *, min_position=None, prepared=None):
        """Not used here."""

    def close(self) -> None:
        """Leave the endpoint."""
        if self.is_open:
            self.is_open = False
            self.full_endpoint.open -= 1


class FullEndpoint:
    """Endpoint that refuses connections over its cap."""

    def __init__(self, clock: ManualClock, stale: int) -> None:
        self.clock = clock
        self.stale = stale
        self.stale_until_s = clock.now_s() + STALE_S
        self.open = 0
        self.attempts = 0
        self.refused = 0
        self.opening = 0
        self.most_opening = 0
        self.is_dark = False
        # Errors of the attempts to come, one each.
        self.failures: list[type[EndpointError]] = []

    async def open_connection(self, organisation: OrganisationId) -> OpenConnection:
        """Accept or refuse a connection after the handshake."""
        self.attempts += 1
        self.opening += 1
        self.most_opening = max(self.most_opening, self.opening)
        try:
            await asyncio.sleep(3600 if self.is_dark else HANDSHAKE_S)
        finally:
            self.opening -= 1
        if self.failures:
            raise self.failures.pop()(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                outcome=Outcome.NOT_RUN,
            )
        stale = self.stale if self.clock.now_s() < self.stale_until_s else 0
        if self.open + stale >= CAP:
            self.refused += 1
            raise EndpointError(
                code=ErrorCode.OVERLOADED, step=Step.CONNECT, outcome=Outcome.NOT_RUN
            )
        self.open += 1
        return OpenConnection(self, organisation)


class Connector(EndpointConnector):
    """Connects to the one endpoint."""

    def __init__(self, endpoint: FullEndpoint) -> None:
        self.endpoint = endpoint

    async def open(self, entry, organisation):
        """Open a connection."""
        return await self.endpoint.open_connection(organisation)


class Run:
    """Statements of some organisations over one pool, and what they got."""

    def __init__(self, duration_s: float, stale: int = STALE) -> None:
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.endpoint = FullEndpoint(self.clock, stale)
        self.pool = DirectPool(
            entry=entry("primary"),
            connector=Connector(self.endpoint),
            clock=self.clock,
            limit=LIMIT,
        )
        self.started_at_s = self.clock.now_s()
        # Time of each statement since the start, and whether it was served.
        self.results: list[tuple[float, bool]] = []
        run_virtual(self.play(duration_s), self.clock)

    async def play(self, duration_s: float) -> None:
        """Send statements at a rate."""
        tasks = []
        for _ in range(int(duration_s * STATEMENTS_PER_S)):
            await asyncio.sleep(1 / STATEMENTS_PER_S)
            tasks.append(asyncio.create_task(self.run_statement()))
        await asyncio.gather(*tasks)

    async def run_statement(self) -> None:
        """Run one statement of a random organisation."""
        number = self.random.randrange(ORGANISATIONS)
        organisation = OrganisationId(f"organisation-{number}")
        sent_at_s = self.clock.now_s()
        try:
            connection = await self.pool.acquire(
                organisation, {}, sent_at_s + DEADLINE_S
            )
        except EndpointError as error:
            assert error.outcome is Outcome.NOT_RUN
            self.results.append((sent_at_s - self.started_at_s, False))
            return
        await asyncio.sleep(WORK_S)
        self.pool.release(connection)
        self.results.append((sent_at_s - self.started_at_s, True))

    def served(self, from_s: float, to_s: float) -> float:
        """Return the share of statements in a time that were served."""
        results = [ok for at_s, ok in self.results if from_s <= at_s < to_s]
        return sum(results) / len(results)


class TestFullEndpoint:
    """Guards against attempts to connect that take the slots of statements.

    After a loss of power, 9 endpoints once refused 585 connections in two seconds, and
    the slots that these took made other attempts time out.
    """

    @pytest.fixture(scope="class")
    def run(self) -> Run:
        return Run(STALE_S + 3.0)

    def test_few_connections_are_refused(self, run):
        # Each waiting statement once tried again every 0.1 s. Now the first statements
        # try at once, up to the limit, and then one at a time.
        assert run.endpoint.refused <= LIMIT + STALE_S / GROWTH_INTERVAL_S

    def test_statements_are_served_by_the_few_connections(self, run):
        assert run.served(0.5, STALE_S - DEADLINE_S) > 0.5

    def test_all_are_served_once_the_stale_connections_are_gone(self, run):
        assert run.served(STALE_S + 0.3, STALE_S + 3.0) == 1.0

    def test_pool_without_connections_does_not_spin(self):
        # Each refusal once released the reservation to the next waiting statement.
        run = Run(1.0, stale=CAP)
        assert run.endpoint.refused <= LIMIT + 1.0 / GROWTH_INTERVAL_S

    def test_lone_statement_is_served_when_its_endpoint_has_room(self):
        # Guards against a statement that waits for its deadline: after refusals without
        # any connection, nothing else would let it try.
        run = Run(0.0, stale=CAP)

        async def refuse_and_wait() -> float:
            organisation = OrganisationId("a")
            started_at_s = run.clock.now_s()
            deadline_s = started_at_s + 0.8 * GROWTH_INTERVAL_S
            errors = await asyncio.gather(
                *(run.pool.acquire(organisation, {}, deadline_s) for _ in range(2)),
                return_exceptions=True,
            )
            assert all(isinstance(error, EndpointError) for error in errors)
            # Nobody waits when the first interval ends; the second is longer.
            await asyncio.sleep(0.7 * GROWTH_INTERVAL_S)
            run.endpoint.stale_until_s = run.clock.now_s()
            started_at_s = run.clock.now_s()
            await run.pool.acquire(organisation, {}, started_at_s + DEADLINE_S)
            return run.clock.now_s() - started_at_s

        wait_s = run_virtual(refuse_and_wait(), run.clock)
        assert wait_s <= MAX_GROWTH_INTERVAL_S + 2 * HANDSHAKE_S

    def test_limit_holds(self, run):
        assert run.pool.used <= LIMIT
        assert run.endpoint.open <= CAP


class TestOpening:
    """Guards against connections that take all slots of an endpoint while they open.

    A busy endpoint once refused most statements for as long as up to 69 connections
    were being opened, each of them for a statement that another refusal had cost its
    connection.
    """

    @pytest.fixture(autouse=True)
    def run(self):
        self.run = Run(0.0, stale=0)
        self.pool = self.run.pool
        self.endpoint = self.run.endpoint

    async def acquire(self, organisation: str = "a") -> PooledConnection:
        """Return a connection of an organisation."""
        deadline_s = self.run.clock.now_s() + DEADLINE_S
        return await self.pool.acquire(OrganisationId(organisation), {}, deadline_s)

    def play(self, steps):
        """Run a coroutine in virtual time."""
        return run_virtual(steps, self.run.clock)

    def test_half_of_the_slots_are_left_for_statements(self):
        async def acquire_all():
            return await asyncio.gather(*(self.acquire() for _ in range(LIMIT)))

        connections = self.play(acquire_all())
        assert self.endpoint.most_opening == self.pool.entry.slots // 2
        assert len(set(connections)) == LIMIT

    def test_waiting_statement_takes_a_released_connection(self):
        async def release_during_the_wait() -> float:
            connection = await self.acquire()
            others = [asyncio.create_task(self.acquire("b")) for _ in range(10)]
            waiting = asyncio.create_task(self.acquire())
            await asyncio.sleep(0)
            self.pool.release(connection)
            assert await waiting is connection
            await asyncio.gather(*others)
            return self.endpoint.attempts

        assert self.play(release_during_the_wait()) == 11

    def test_released_connection_stays_open_if_none_can_take_its_place(self):
        async def release_during_the_wait():
            connection = await self.acquire()
            others = [asyncio.create_task(self.acquire("b")) for _ in range(10)]
            await asyncio.sleep(0)
            self.pool.release(connection)
            assert connection.is_open
            await asyncio.gather(*others)

        self.play(release_during_the_wait())

    def test_statements_do_not_wait_one_after_the_other_for_a_dark_endpoint(self):
        # Each once waited for a timeout of its own, three at a time.
        self.endpoint.is_dark = True

        async def fail_all() -> float:
            started_at_s = self.run.clock.now_s()
            errors = await asyncio.gather(
                *(self.acquire() for _ in range(LIMIT)), return_exceptions=True
            )
            assert {error.outcome for error in errors} == {Outcome.NOT_RUN}
            return self.run.clock.now_s() - started_at_s

        assert self.play(fail_all()) <= 1.01 * OPEN_TIMEOUT_S
        assert self.pool.used == self.pool.opening == 0

    def test_one_lost_attempt_fails_only_its_own_statement(self):
        # A connection whose STARTUP was reset once failed all statements that waited,
        # although the endpoint answered the others.
        self.endpoint.failures = [EndpointError]

        async def acquire_all():
            tasks = [self.acquire() for _ in range(8)]
            return await asyncio.gather(*tasks, return_exceptions=True)

        results = self.play(acquire_all())
        assert sum(isinstance(r, EndpointError) for r in results) == 1
        assert (self.pool.used, self.pool.opening) == (7, 0)

    def test_one_silent_attempt_fails_only_its_own_statement(self):
        # The answer to one STARTUP may be lost.
        self.endpoint.is_dark = True

        async def acquire_all():
            first = asyncio.create_task(self.acquire())
            await asyncio.sleep(0)
            self.endpoint.is_dark = False
            await asyncio.sleep(0.8 * OPEN_TIMEOUT_S)
            connections = [await self.acquire() for _ in range(3)]
            # The endpoint accepts no more, so that others wait.
            self.pool.cap.limit = self.pool.used
            waiting = [asyncio.create_task(self.acquire()) for _ in range(3)]
            await asyncio.gather(first, return_exceptions=True)
            assert isinstance(first.exception(), EndpointError)
            for connection in connections:
                self.pool.release(connection)
            return await asyncio.gather(*waiting)

        assert len(set(self.play(acquire_all()))) == 3

    def test_all_statements_fail_at_once_if_the_process_has_ended(self):
        self.endpoint.failures = [EndpointGoneError] * LIMIT

        async def fail_all() -> float:
            started_at_s = self.run.clock.now_s()
            tasks = [self.acquire() for _ in range(LIMIT)]
            errors = await asyncio.gather(*tasks, return_exceptions=True)
            assert all(isinstance(error, EndpointError) for error in errors)
            return self.run.clock.now_s() - started_at_s

        assert self.play(fail_all()) <= 2 * HANDSHAKE_S

    def test_cancelled_wait_gives_its_turn_to_the_next_statement(self):
        async def cancel_during_the_wait() -> int:
            tasks = [asyncio.create_task(self.acquire()) for _ in range(8)]
            await asyncio.sleep(0)
            for task in tasks[2:5]:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            return sum(isinstance(r, PooledConnection) for r in results)

        assert self.play(cancel_during_the_wait()) == 5
        assert (self.pool.used, self.pool.opening) == (5, 0)


class TestFairness:
    """Guards against an organisation that keeps all connections of a pool."""

    def test_quiet_organisation_is_served_beside_a_busy_one(self):
        # Each released connection once went to another statement of the busy one, and
        # the others waited for their deadlines.
        run = Run(0.0, stale=0)
        run.pool.cap.limit = 3

        async def run_statement(organisation: str) -> float:
            sent_at_s = run.clock.now_s()
            connection = await run.pool.acquire(
                OrganisationId(organisation), {}, sent_at_s + DEADLINE_S
            )
            wait_s = run.clock.now_s() - sent_at_s
            await asyncio.sleep(WORK_S)
            run.pool.release(connection)
            return wait_s

        async def run_both() -> float:
            busy = [asyncio.create_task(run_statement("busy")) for _ in range(30)]
            await asyncio.sleep(0)
            quiet = asyncio.create_task(run_statement("quiet"))
            for _ in range(150):
                await asyncio.sleep(WORK_S / 3)
                busy.append(asyncio.create_task(run_statement("busy")))
            await asyncio.gather(*busy)
            return await quiet

        # The 27 before it, and those that pass it, three in each time of work.
        expected_s = (27 + MAX_PASSES + 3) / 3 * WORK_S
        assert run_virtual(run_both(), run.clock) <= expected_s + 2 * HANDSHAKE_S


class TestCap:
    @pytest.fixture(autouse=True)
    def cap(self):
        self.clock = ManualClock()
        self.cap = ConnectionCap(clock=self.clock, limit=LIMIT)

    def test_refusal_limits_the_connections_to_those_that_are_open(self):
        self.cap.record_refused(4)
        assert (self.cap.current, self.cap.is_reduced) == (4, True)

    def test_endpoint_without_a_connection_is_tried_again_after_an_interval(self):
        # Guards against an endpoint that is never tried again, and against one that is
        # tried again as soon as it has refused.
        self.cap.record_refused(0)
        assert self.cap.current == 0
        self.clock.advance(1.01 * GROWTH_INTERVAL_S)
        assert self.cap.current == 1

    def test_interval_grows_with_refusals_and_is_bounded(self):
        intervals = []
        for _ in range(5):
            self.cap.record_refused(0)
            intervals.append(self.cap.growth_interval_s)
        assert intervals == [0.1, 0.2, 0.4, 0.4, 0.4]
        self.cap.record_opened(1)
        assert self.cap.growth_interval_s == GROWTH_INTERVAL_S

    def test_cap_grows_with_time_and_faster_with_success(self):
        self.cap.record_refused(4)
        self.clock.advance(2.5 * GROWTH_INTERVAL_S)
        assert self.cap.current == 6
        for opened in range(5, LIMIT):
            self.cap.record_opened(opened)
        assert (self.cap.current, self.cap.is_reduced) == (LIMIT, False)

    def test_lower_limit_takes_effect_immediately(self):
        # Guards against too many connections after VMs were added.
        self.cap.record_refused(10)
        self.cap.limit = 3
        assert self.cap.current == 3
