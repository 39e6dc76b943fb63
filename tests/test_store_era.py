"""Era of the store: decoded from every answer, and what its changes show."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from ebonyladder.kernel.error import StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.metrics import Metrics
from ebonyladder.platform._store_answers import InvalidEraError, decode_era
from ebonyladder.platform.object_store import PlatformObjectStore
from ebonyladder.sessions.objects import Kind, ObjectStore, Revision, StoreEra
from ebonyladder.sessions.plugins.store_era import StoreEraPlugin
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.sessions.store_era import EraObservation, StoreEraTracker
from ebonyladder.types import Address, VmId, ZoneId
from standins.object_store import ObjectStoreServer, Outage
from tests.platform_fleet import until
from tests.session_fakes import CountingMetrics

KIND = Kind("things")
MISSING = Kind("others")
OBSERVATIONS = "store_era_observations"


class FakeMetrics(Plugin, CountingMetrics):
    """Counters of the tests, as a plug-in."""

    name = "metrics"
    provides = (Metrics,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        CountingMetrics.__init__(self)


class World:
    """The adapter's client before the stand-in store, which has one object."""

    def __init__(self, *, server: ObjectStoreServer, kernel: Kernel) -> None:
        self.server = server
        self.client = kernel.get(ObjectStore)
        self.eras = kernel.get(StoreEraTracker)
        self.counts = kernel.get(Metrics).counts

    async def refused(self, call) -> None:
        """Await a call that the store refuses."""
        with pytest.raises(StoreError):
            await call


@asynccontextmanager
async def running_world():
    """Run the stand-in store and the client."""
    server = ObjectStoreServer()
    server.put(KIND, "a", 1)
    runner = web.AppRunner(server.application(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    unused = Address("127.0.0.1:1")
    registry = Registry()
    for plugin_class in (FakeMetrics, StoreEraPlugin, PlatformObjectStore):
        registry.register(plugin_class)
    kernel = Kernel(
        settings=SessionSettings(
            vm=VmId("vm-1"),
            zone=ZoneId("a"),
            regions={},
            callers=unused,
            readiness=unused,
            peer=unused,
            metrics=unused,
            store=Address(f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"),
            promotion=unused,
        ),
        registry=registry,
    )
    await kernel.start()
    try:
        yield World(server=server, kernel=kernel)
    finally:
        await kernel.stop()
        await runner.cleanup()


class TestDecoding:
    def test_whole_number_is_an_era(self):
        assert decode_era("0") == 0
        assert decode_era("17") == 17

    def test_missing_header_names_no_era(self):
        assert decode_era(None) is None

    @pytest.mark.parametrize(
        "text", ["", "x", "-1", "+1", "1.0", "1_0", "1 2", "٣", "9" * 19, "9" * 5000]
    )
    def test_anything_else_is_invalid(self, text):
        # Guards against a call that fails with ``ValueError``, and against texts which
        # ``int`` accepts although they are no number of the platform.
        with pytest.raises(InvalidEraError):
            decode_era(text)


class TestStoreEraTracker:
    """Guards against a return to an older copy that stays unnoticed."""

    @staticmethod
    def tracker(known: int | None = 7) -> StoreEraTracker:
        """Return a tracker that has seen an era."""
        found = StoreEraTracker(metrics=CountingMetrics())
        if known is not None:
            found.record(StoreEra(known), known_when_sent=None)
            found.metrics.counts.clear()
        return found

    @pytest.mark.parametrize(
        ("known", "era", "known_when_sent", "expected", "known_after"),
        [
            (None, None, None, EraObservation.UNNAMED, None),
            (None, 0, None, EraObservation.FIRST, 0),
            (7, 7, 7, EraObservation.SAME, 7),
            (7, 7, None, EraObservation.SAME, 7),
            (7, None, 7, EraObservation.UNNAMED, 7),
            (7, 8, 7, EraObservation.RISE, 8),
            (7, 9, 7, EraObservation.RISE, 9),
            (7, 6, 6, EraObservation.LATE, 7),
            (7, 6, 5, EraObservation.LATE, 7),
            (7, 6, None, EraObservation.LATE, 7),
            (7, 6, 7, EraObservation.FALL, 7),
        ],
    )
    def test_observation(self, known, era, known_when_sent, expected, known_after):
        found = self.tracker(known)
        assert found.record(era, known_when_sent=known_when_sent) is expected
        assert found.known == known_after

    def test_rise_is_logged_and_counted_once(self, caplog):
        # Guards against a line for each answer after a return.
        found = self.tracker()
        with caplog.at_level("INFO", logger="absl"):
            for _ in range(3):
                found.record(StoreEra(8), known_when_sent=StoreEra(7))
        assert found.metrics.counts == {(OBSERVATIONS, "rise"): 1}
        assert caplog.messages == [
            "[store] Store has come back from an older copy. old=7 new=8"
        ]

    def test_store_that_names_no_era_is_not_logged(self, caplog):
        found = self.tracker(None)
        with caplog.at_level("INFO", logger="absl"):
            found.record(None, known_when_sent=None)
        assert caplog.messages == []
        assert not found.metrics.counts

    def test_faults_of_every_answer_are_logged_rarely(self, caplog):
        # Guards against two lines for each call to a store whose era is at fault.
        found = self.tracker()
        with caplog.at_level("INFO", logger="absl"):
            for _ in range(20):
                found.record(StoreEra(6), known_when_sent=StoreEra(7))
                found.record_invalid("x" * 10_000)
        assert found.metrics.counts == {
            (OBSERVATIONS, "fall"): 20,
            (OBSERVATIONS, "invalid"): 20,
        }
        assert len(caplog.messages) <= 2
        assert all(len(message) < 200 for message in caplog.messages)


class TestAdapter:
    """Guards against answers from which the era isn't read."""

    CALLS = {
        "get": lambda w: w.client.get(KIND, "a"),
        "get-missing": lambda w: w.client.get(KIND, "none"),
        "list": lambda w: w.client.list(KIND),
        "watch": lambda w: w.client.watch(KIND, Revision(1), 5.0),
        "watch-without-events": lambda w: w.client.watch(MISSING, Revision(2), 0.0),
        "create": lambda w: w.client.create(KIND, "b", 2),
        "replace": lambda w: w.client.replace(KIND, "a", 2, Revision(2)),
        "delete": lambda w: w.client.delete(KIND, "a", Revision(2)),
    }
    REFUSED_CALLS = {
        "create-conflict": lambda w: w.client.create(KIND, "a", 2),
        "replace-conflict": lambda w: w.client.replace(KIND, "a", 2, Revision(9)),
        "replace-missing": lambda w: w.client.replace(KIND, "n", 2, Revision(9)),
        "delete-conflict": lambda w: w.client.delete(KIND, "a", Revision(9)),
    }

    @pytest.mark.parametrize("name", CALLS)
    def test_answer_names_the_era(self, name):
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                await self.CALLS[name](world)
                return world.eras.known

        assert asyncio.run(scenario()) == 4

    @pytest.mark.parametrize("name", REFUSED_CALLS)
    def test_refused_call_names_the_era(self, name):
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                await world.refused(self.REFUSED_CALLS[name](world))
                return world.eras.known

        assert asyncio.run(scenario()) == 4

    @pytest.mark.parametrize("outage", [Outage.UNAVAILABLE, Outage.TOO_MANY_REQUESTS])
    def test_store_that_refuses_all_calls_names_the_era(self, outage):
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                world.server.outage = outage
                await world.refused(world.client.get(KIND, "a"))
                return world.eras.known

        assert asyncio.run(scenario()) == 4

    def test_watch_whose_history_is_gone_names_the_era(self):
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                world.server.compact()
                await world.refused(world.client.watch(KIND, Revision(1), 5.0))
                return world.eras.known

        assert asyncio.run(scenario()) == 4

    def test_waiting_watch_names_the_era_of_its_answer(self):
        # Guards against an era that is taken when the watch begins to wait.
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                await world.client.get(KIND, "a")
                watch = world.client.watch(KIND, Revision(2), 20.0)
                waiting = asyncio.create_task(watch)
                await until(lambda: world.server.calls["GET"] == 2, "the watch")
                world.server.era = "5"
                world.server.put(KIND, "a", 3)
                await waiting
                return world.eras.known, dict(world.counts)

        known, counts = asyncio.run(scenario())
        assert known == 5
        assert counts[OBSERVATIONS, "rise"] == 1

    def test_era_of_a_late_answer_is_not_a_fall(self):
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                watch = world.client.watch(KIND, Revision(2), 20.0)
                waiting = asyncio.create_task(watch)
                await until(lambda: world.server.calls["GET"] == 1, "the watch")
                world.server.era = "5"
                await world.client.get(KIND, "a")
                world.server.era = "4"
                world.server.put(KIND, "a", 3)
                await waiting
                return world.eras.known, dict(world.counts)

        known, counts = asyncio.run(scenario())
        assert known == 5
        assert counts[OBSERVATIONS, "late"] == 1
        assert (OBSERVATIONS, "fall") not in counts

    @pytest.mark.parametrize("era", [None, "", "x", "-4", "4"])
    def test_store_is_served_whatever_it_names(self, era):
        # Guards against calls that fail at a store without eras, with an invalid one,
        # or with one that goes down.
        async def scenario():
            async with running_world() as world:
                world.server.era = "9"
                before = await world.client.get(KIND, "a")
                world.server.era = era
                after = await world.client.get(KIND, "a")
                written = await world.client.replace(KIND, "a", 2, after.revision)
                listed = await world.client.list(KIND)
                return before, after, written, listed, world.eras.known

        before, after, written, listed, known = asyncio.run(scenario())
        assert before == after
        assert listed.objects == (written,)
        assert known == 9
