"""Configurations and endpoints that change while requests wait for something."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from ebonyladder.sessions.catalog import Catalog, Consistency
from ebonyladder.sessions.cluster_view import Owner
from ebonyladder.sessions.command import Answer, AnswerCode
from ebonyladder.sessions.quota import GrantedQuota
from ebonyladder.types import (
    Address,
    EndpointId,
    EndpointState,
    ServiceId,
    VmId,
    ZoneId,
)
from tests.session_fakes import catalog, command, entry, route
from tests.test_session import World

TIMEOUT_S = 0.2
CHANGE_AFTER_S = 0.05
# Generous, since the machine that runs the tests may be busy.
ANSWER_TIMEOUT_S = 0.9
PROMISES = (AnswerCode.OVERLOADED, AnswerCode.ABORTED)
PRIMARY = EndpointId("primary")
NEAR = EndpointId("near")
LEAVING = EndpointState.LEAVING
BEGIN = ("BEGIN",)
WRITE_TRANSACTION = ("BEGIN", "WRITE a b")


def short_routes(version: int, **fields) -> Catalog:
    """Return a configuration whose routes have a short timeout."""
    fields = {"statement_timeout_s": TIMEOUT_S, **fields}
    routes = [route(consistency, **fields) for consistency in Consistency]
    return msgspec.structs.replace(
        catalog(version), routes={r.database: r for r in routes}
    )


class Waits:
    """What a request can wait for; each is set up on a world."""

    @staticmethod
    def permit(world: World) -> None:
        """Let the leader grant nothing."""
        world.quota = GrantedQuota(clock=world.clock)
        world.quota.last_grant_at_s = world.clock.now_s()

    @staticmethod
    def endpoint(world: World) -> None:
        """Begin a failover."""
        world.begin_failover()

    @staticmethod
    def connection(world: World) -> None:
        """Let the pools open no connection."""
        for pool in world.pools.pools.values():
            pool.cap.limit = 0
            pool.trim()

    @staticmethod
    def opening(world: World) -> None:
        """Let no endpoint answer, also new connections."""
        for endpoint in (world.primary, world.near, world.far):
            endpoint.is_unresponsive = True

    @staticmethod
    def answer(world: World) -> None:
        """Lose the answers of the primary and of a replica."""
        world.primary.lost_answers = world.near.lost_answers = 1

    @staticmethod
    def confirmation(world: World) -> None:
        """Let no replica confirm the commit."""
        world.near.is_unresponsive = world.far.is_unresponsive = True


class Changes:
    """What changes while a request waits."""

    @staticmethod
    def removed_route(world: World) -> None:
        """Remove all routes."""
        removed = msgspec.structs.replace(short_routes(3), routes={})
        world.cluster.apply_catalog(removed)

    @staticmethod
    def shorter_timeout(world: World) -> None:
        """Shorten the timeout of all routes."""
        world.cluster.apply_catalog(short_routes(3, statement_timeout_s=0.05))

    @staticmethod
    def withdrawn_organisation(world: World) -> None:
        """Withdraw all keys of the organisation, and the organisation."""
        changed = msgspec.structs.replace(short_routes(3), keys={}, organisations={})
        world.cluster.apply_catalog(changed)

    @staticmethod
    def moved_route(world: World) -> None:
        """Move all routes to another service, and remove theirs."""
        moved = short_routes(3, service=ServiceId("other"))
        world.cluster.apply_catalog(msgspec.structs.replace(moved, services={}))

    @staticmethod
    def left_endpoint(world: World) -> None:
        """Let the primary leave the list."""
        listed = dict(world.cluster.endpoints)
        del listed[PRIMARY]
        world.cluster.apply_endpoints(listed)

    @staticmethod
    def restarted_endpoint(world: World) -> None:
        """Let another process take the address of the primary."""
        primary = world.cluster.endpoints[PRIMARY]
        restarted = msgspec.structs.replace(primary, process_started_at_ms=7)
        world.cluster.apply_endpoints({**world.cluster.endpoints, PRIMARY: restarted})

    @staticmethod
    def changed_owner(world: World) -> None:
        """Let another VM own the connections of the primary."""
        owner = Owner(vm=VmId("vm-2"), address=Address("127.0.0.1:1"))
        world.cluster.apply_fleet(world.cluster.fleet, {PRIMARY: owner})

    @staticmethod
    def smaller_cap(world: World) -> None:
        """Let the pools keep no connection."""
        for pool in world.pools.pools.values():
            pool.set_limit(0, share=0.0)
            pool.trim()


CHANGES = [
    Changes.removed_route,
    Changes.shorter_timeout,
    Changes.withdrawn_organisation,
    Changes.moved_route,
    Changes.left_endpoint,
    Changes.restarted_endpoint,
    Changes.changed_owner,
    Changes.smaller_cap,
]


class Trial:
    """One request, during which one thing changes.

    Parameters
    ----------
    change : callable
        What changes.
    """

    def __init__(self, *, change: Callable[[World], None]) -> None:
        self.change = change
        self.world = World()
        self.world.cluster.apply_catalog(short_routes(2))
        self.world.record_sample()
        self.first_pools = list(self.world.pools.pools.values())
        self.text = ""
        self.answer: Answer | None = None

    async def run(
        self, wait: Callable[[World], None], before: tuple[str, ...], text: str
    ) -> None:
        """Run commands, the last of which has to wait while something changes."""
        self.text = text
        is_read = before == () and text == "READ a"
        consistency = Consistency.BOUNDED if is_read else Consistency.PRIMARY
        session = self.world.session(consistency)
        for earlier in before:
            assert (await session.handle(command(earlier))).code is None
        wait(self.world)
        session.quota = self.world.quota
        asyncio.get_running_loop().call_later(CHANGE_AFTER_S, self.change, self.world)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            self.answer = await session.handle(command(text))
        await session.close()
        # Attempts that were cancelled end in the turns that follow.
        await asyncio.sleep(0.01)
        self.world.executor.confirmation.replica_check.close()

    @property
    def runs(self) -> int:
        """Number of times that endpoints ran the request."""
        world = self.world
        return [*world.primary.ran, *world.near.ran, *world.far.ran].count(self.text)

    @property
    def is_answered_truly(self) -> bool:
        """Whether the answer fits what the endpoints ran."""
        if self.text == "BEGIN":
            return self.answer.code in PROMISES
        if self.answer.code in PROMISES and self.text != "READ a":
            return self.runs == 0
        # A read may run at a second endpoint.
        return self.runs == 1 or (self.text == "READ a" and self.runs <= 2)

    @property
    def leaks(self) -> bool:
        """Whether a connection is lost, or a statement still waits."""
        return any(
            (pool.used, pool.opening, pool.running) != (len(pool.idle), 0, 0)
            or pool.waiting
            or (pool.is_closed and pool.idle)
            for pool in (*self.first_pools, *self.world.pools.pools.values())
        )


class TestChange:
    """Guards against a request without an answer, a false promise and a leak."""

    @pytest.mark.parametrize(
        ("wait", "before", "text"),
        [
            (Waits.permit, (), "WRITE a b"),
            (Waits.permit, (), "BEGIN"),
            (Waits.endpoint, (), "WRITE a b"),
            (Waits.endpoint, BEGIN, "WRITE a b"),
            (Waits.connection, (), "WRITE a b"),
            (Waits.connection, (), "READ a"),
            (Waits.connection, BEGIN, "WRITE a b"),
            (Waits.opening, (), "WRITE a b"),
            (Waits.answer, (), "WRITE a b"),
            (Waits.answer, (), "READ a"),
            (Waits.answer, WRITE_TRANSACTION, "READ a"),
            (Waits.answer, WRITE_TRANSACTION, "COMMIT"),
            (Waits.confirmation, (), "WRITE a b"),
            (Waits.confirmation, WRITE_TRANSACTION, "COMMIT"),
        ],
    )
    def test_waiting_request_is_answered_truly(self, monkeypatch, wait, before, text):
        monkeypatch.setattr("ebonyladder.sessions.executor.HEDGE_DELAY_S", 0.02)

        async def run() -> list[Trial]:
            trials = [Trial(change=change) for change in CHANGES]
            await asyncio.gather(*(t.run(wait, before, text) for t in trials))
            return trials

        found = {
            trial.change.__name__: (trial.answer, trial.runs, trial.leaks)
            for trial in asyncio.run(run())
            if trial.leaks or not trial.is_answered_truly
        }
        assert found == {}

    @pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
    def test_first_statement_after_a_change_is_answered_truly(self, change):
        # Guards against a change between BEGIN and the choice of the endpoint.
        trial = Trial(change=change)

        async def run() -> Answer:
            session = trial.world.session()
            await session.handle(command("BEGIN"))
            change(trial.world)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await session.handle(command("WRITE a b"))
            await session.close()
            return answer

        is_success = asyncio.run(run()).code is None
        assert is_success == ("WRITE a b" in trial.world.primary.ran)
        assert not trial.leaks

    @pytest.mark.parametrize(
        "withdraw",
        [
            lambda world: world.cluster.apply_endpoints(
                world.cluster.endpoints, frozenset({ZoneId("a")})
            ),
            lambda world: world.cluster.apply_endpoints(
                {**world.cluster.endpoints, NEAR: entry("near", state=LEAVING)}
            ),
        ],
        ids=["closed-zone", "leaving"],
    )
    def test_read_in_the_queue_of_a_withdrawn_replica_runs_elsewhere(self, withdraw):
        # Guards against statements that reach an endpoint long after its withdrawal.
        trial = Trial(change=withdraw)
        world = trial.world

        def withdraw_and_serve(_: World) -> None:
            withdraw(world)
            world.pools.get(NEAR).set_limit(8, share=1.0)

        def fill(_: World) -> None:
            world.pools.get(NEAR).cap.limit = 0

        trial.change = withdraw_and_serve
        asyncio.run(trial.run(fill, (), "READ a"))
        assert trial.answer.code is None
        assert world.near.ran == []
        assert not trial.leaks
