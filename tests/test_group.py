"""Tests of the group view, the confirmation of answers and the connection pool."""

import asyncio

import pytest

from ebonyladder.confirmation import Confirmer
from ebonyladder.endpoint import (
    EndpointAnswer,
    EndpointConnection,
    EndpointDriver,
    EndpointReport,
)
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome, RequestError
from ebonyladder.messages import Forward
from ebonyladder.pool import ConnectionPool, max_owner_connections
from ebonyladder.types import HopId, Position, RequestKind, Role, Statement
from standins.log import Entry, ReplicatedLog

ENDPOINTS = {"e1": "1", "e2": "2", "e3": "3"}
ANSWER = EndpointAnswer(rows=[], at=Position(term=1, position=5), role=Role.PRIMARY)


def report(endpoint, term=1, received=5, **fields):
    """Return a report; e1 is the primary unless a field says otherwise."""
    defaults = {
        "role": Role.PRIMARY if endpoint == "e1" else Role.REPLICA,
        "fence_term": term,
        "log_term": term,
        "term_start": 0,
        "received": received,
        "applied": received,
        "primary_contact_age_s": 0.0,
    }
    return EndpointReport(endpoint=endpoint, **{**defaults, **fields})


def view_of(*reports, now_s=1_000.0):
    """Return a view with the reports recorded."""
    view = GroupView(group="g1", endpoints=ENDPOINTS)
    for received in reports:
        view.record_report(received, now_s)
    return view


def read_of(endpoint, **fields):
    """Return a forwarded read."""
    return Forward(
        hop=HopId(vm="vm-1", incarnation=1, number=1),
        organisation="org",
        service="s",
        group="g1",
        endpoint=endpoint,
        statement=Statement(kind=RequestKind.READ, text="GET k"),
        remaining_s=1.0,
        **fields,
    )


class TestConfirmation:
    """Guards against acknowledgements that a promotion could lose."""

    @staticmethod
    def confirm(view):
        async def run():
            confirmer = Confirmer(view=view, clock=ManualClock())
            await confirmer.confirm("e1", ANSWER, 0.0)

        asyncio.run(run())

    def test_majority_in_the_same_term_confirms(self):
        self.confirm(view_of(report("e1"), report("e2")))

    @pytest.mark.parametrize(
        ("reports", "code"),
        [
            ([report("e1")], ErrorCode.NOT_CONFIRMED),
            ([report("e1"), report("e2", received=4)], ErrorCode.NOT_CONFIRMED),
            ([report("e1"), report("e2", term=0)], ErrorCode.NOT_CONFIRMED),
            ([report("e1"), report("e2", fence_term=2)], ErrorCode.STALE_TERM),
        ],
    )
    def test_no_majority_or_a_later_term_has_an_unknown_outcome(self, reports, code):
        with pytest.raises(RequestError) as caught:
            self.confirm(view_of(*reports))
        assert (caught.value.code, caught.value.outcome) == (code, Outcome.UNKNOWN)

    def test_partitioned_primary_is_ignored_once_a_later_term_is_known(self):
        view = view_of(report("e1"), report("e2", fence_term=2))
        assert view.primary is None
        view.record_report(report("e2", term=2, role=Role.PRIMARY), 1_001.0)
        assert view.primary == "e2"


class TestBoundedStaleness:
    """Guards against reads of data that is staler than the caller accepts."""

    @staticmethod
    def probed(*answers):
        clock = ManualClock()
        view = view_of(*answers)
        number = view.start_probe(clock.now_s())
        clock.advance(0.3)
        for answer in answers:
            view.record_report(
                report(
                    answer.endpoint,
                    term=answer.log_term,
                    fence_term=answer.fence_term,
                    received=answer.received,
                    applied=answer.applied,
                    probe=number,
                ),
                clock.now_s(),
            )
        return view, clock

    def test_staleness_is_measured_from_before_the_probe_was_sent(self):
        view, clock = self.probed(report("e1"), report("e2"))
        assert view.staleness_s("e2", clock.now_s()) == pytest.approx(0.3)
        clock.advance(1.0)
        assert view.staleness_s("e2", clock.now_s()) == pytest.approx(1.3)

    def test_replica_that_has_not_applied_the_position_has_no_staleness_bound(self):
        view, clock = self.probed(report("e1"), report("e2", applied=4))
        assert view.staleness_s("e2", clock.now_s()) == float("inf")

    def test_primary_without_a_majority_gives_no_position_sample(self):
        view, clock = self.probed(
            report("e1"), report("e2", fence_term=2), report("e3", fence_term=2)
        )
        assert view.staleness_s("e1", clock.now_s()) == float("inf")
        assert not view.position_samples

    def test_bounded_read_is_refused_by_a_replica_of_unknown_staleness(self):
        confirmer = Confirmer(
            view=view_of(report("e1"), report("e2")), clock=ManualClock()
        )
        assert confirmer.can_read(read_of("e2"))
        assert not confirmer.can_read(read_of("e2", max_age_s=1.0))


class FakeConnection(EndpointConnection):
    """Connection without an endpoint; its close returns once ``closed`` is set."""

    def __init__(self) -> None:
        self.usable = True
        self.closed = asyncio.Event()

    @property
    def is_open(self):
        return self.usable

    async def close(self):
        await self.closed.wait()

    async def execute(self, *, organisation, statement):
        return ANSWER

    async def begin(self, *, organisation): ...

    async def commit(self):
        return ANSWER

    async def rollback(self): ...


class FakeDriver(EndpointDriver):
    """Driver that records the connections it opens."""

    def __init__(self) -> None:
        self.opened: list[FakeConnection] = []

    async def connect(self, *, endpoint, address):
        self.opened.append(FakeConnection())
        return self.opened[-1]

    async def open_report_stream(self, *, endpoint, address): ...

    async def fence(self, **_fields): ...

    async def promote(self, **_fields): ...

    async def follow(self, **_fields): ...


class TestConnectionPool:
    """Guards against connections above the limit and reuse of broken ones."""

    @staticmethod
    def pool(driver, max_connections=1):
        return ConnectionPool(
            endpoint="e1", address="1", driver=driver, max_connections=max_connections
        )

    def test_two_owners_together_stay_within_the_endpoint_limit(self):
        for connections in (30, 40):
            assert 2 * max_owner_connections(connections) <= connections - 4

    def test_broken_connection_counts_against_the_limit_until_it_is_closed(self):
        async def run():
            driver = FakeDriver()
            pool = self.pool(driver)
            broken = await pool.acquire(1.0)
            broken.usable = False
            pool.release(broken)
            with pytest.raises(EndpointError) as caught:
                await pool.acquire(0.01)
            broken.closed.set()
            fresh = await pool.acquire(5.0)
            return caught.value, fresh is not broken, len(driver.opened)

        error, is_fresh, opened = asyncio.run(run())
        assert (error.code, error.outcome) == (
            ErrorCode.CONNECT_FAILED,
            Outcome.NOT_RUN,
        )
        assert is_fresh
        assert opened == 2

    def test_cancelled_waiter_does_not_reduce_the_capacity(self):
        async def run():
            pool = self.pool(FakeDriver())
            first = await pool.acquire(1.0)
            waiter = asyncio.create_task(pool.acquire(60.0))
            await asyncio.sleep(0)
            waiter.cancel()
            await asyncio.gather(waiter, return_exceptions=True)
            pool.release(first)
            return await pool.acquire(1.0) is first

        assert asyncio.run(run())


class TestReplicatedLog:
    """Guards against a simulated log that keeps entries a real group discards."""

    def test_common_prefix_ends_where_the_terms_differ(self):
        old, new = ReplicatedLog(), ReplicatedLog()
        for term in (1, 1, 1):
            old.append(Entry(term, {}))
        for term in (1, 1, 2):
            new.append(Entry(term, {}))
        assert new.common_prefix(old.segments) == 2

    def test_vote_is_bound_to_one_promoter_and_survives_a_restart(self, tmp_path):
        log = ReplicatedLog(path=tmp_path / "log")
        assert log.vote(1, "vm-1")
        log.append(Entry(1, {"k": 1}))
        again = ReplicatedLog(path=tmp_path / "log")
        assert not again.vote(1, "vm-2")
        assert again.vote(2, "vm-2")
        assert again.entries == log.entries
