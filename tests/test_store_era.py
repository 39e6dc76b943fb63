"""Era of the store: decoded from every answer, and what its changes show."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.metrics import Metrics
from ebonyladder.platform._store_answers import InvalidEraError, decode_era
from ebonyladder.platform.object_store import PlatformObjectStore
from ebonyladder.sessions.objects import Kind, ObjectStore, Revision, StoreEra
from ebonyladder.sessions.plugins.store_era import StoreEraPlugin
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.sessions.store_era import (
    MAX_ERA,
    REVISIONS_PER_ERA,
    EraObservation,
    StoreEraTracker,
    era_start,
)
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

    async def refused(self, call) -> StoreError:
        """Await a call that is refused; return its error."""
        with pytest.raises(StoreError) as raised:
            await call
        return raised.value


class PagedServer(ObjectStoreServer):
    """Stand-in store that comes back from a copy after the first page of a list."""

    async def list(self, request: web.Request) -> web.Response:
        """Return a page that isn't the last one."""
        if self.calls["GET"] > 1:
            self.era = "5"
        item = self.objects[KIND]["a"]
        page = {"items": [item], "has_more": True, "as_of": self.revision}
        return web.json_response(page)


@asynccontextmanager
async def running_world(server_class: type[ObjectStoreServer] = ObjectStoreServer):
    """Run the stand-in store and the client."""
    server = server_class()
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

    def test_era_whose_revisions_exceed_63_bits_is_invalid(self):
        # Guards against revisions that CBOR and other VMs can't represent.
        assert decode_era(str(MAX_ERA)) == MAX_ERA
        assert era_start(MAX_ERA) + REVISIONS_PER_ERA < 2**63
        with pytest.raises(InvalidEraError):
            decode_era(str(MAX_ERA + 1))


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
        # Guards against an era that is taken when the watch begins to wait, and against
        # changes of the new era that are taken for the next ones of the former.
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                found = await world.client.get(KIND, "a")
                watch = world.client.watch(KIND, found.revision, 20.0)
                waiting = asyncio.create_task(watch)
                await until(lambda: world.server.calls["GET"] == 2, "the watch")
                world.server.era = "5"
                world.server.put(KIND, "a", 3)
                await world.refused(waiting)
                return world.eras.known, dict(world.counts)

        known, counts = asyncio.run(scenario())
        assert known == 5
        assert counts[OBSERVATIONS, "rise"] == 1

    def test_era_of_a_late_answer_is_not_a_fall(self):
        # What the answer says may have been lost since, so it is refused.
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
                await world.refused(waiting)
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


class TestTellingVms:
    """Guards against a VM without the store that goes on in an earlier era."""

    @staticmethod
    def tracker() -> StoreEraTracker:
        """Return a tracker that has seen an era and notes each later one."""
        found = TestStoreEraTracker.tracker()
        found.begun = []
        found.listeners.append(lambda: found.begun.append(found.known))
        return found

    def test_later_era_begins_once(self):
        found = self.tracker()
        for _ in range(2):
            found.record_told(StoreEra(8))
        found.record(StoreEra(8), known_when_sent=StoreEra(7))
        assert found.begun == [8]

    @pytest.mark.parametrize("told", [None, 6, 7])
    def test_nothing_later_is_told(self, told):
        found = self.tracker()
        found.record_told(told)
        assert (found.known, found.begun) == (7, [])

    def test_listener_runs_before_the_observation_is_returned(self):
        # Guards against the use of an answer by code that still has the former state.
        found = self.tracker()
        found.record(StoreEra(9), known_when_sent=StoreEra(7))
        assert found.begun == [9]

    @pytest.mark.parametrize(("told", "expected"), [(None, False), (7, True)])
    def test_vm_that_names_no_era_knows_another_one(self, told, expected):
        assert self.tracker().is_current(told) is expected

    def test_store_without_eras_is_in_one_era(self):
        found = StoreEraTracker(metrics=CountingMetrics())
        assert found.era_start == 0
        assert found.is_current(None)


class TestReturnOfTheStore:
    """Guards against revisions that the store has given out again."""

    @staticmethod
    async def write_and_return(world: World) -> Revision:
        """Write in era 4 what the return to an older copy undoes."""
        world.server.era = "4"
        older = world.server.take_copy()
        found = await world.client.get(KIND, "a")
        written = await world.client.replace(KIND, "a", 2, found.revision)
        await world.server.come_back(older)
        return written.revision

    def test_revisions_of_a_later_era_are_higher(self):
        async def scenario():
            async with running_world() as world:
                lost = await self.write_and_return(world)
                found = await world.client.get(KIND, "a")
                listed = await world.client.list(KIND)
                changes = await world.client.watch(KIND, listed.as_of, 0.0)
                return lost, found, listed, changes

        lost, found, listed, changes = asyncio.run(scenario())
        assert (found.content, found.revision > lost) == (1, True)
        assert listed.objects == (found,)
        assert listed.as_of == changes.as_of > lost

    @pytest.mark.parametrize("call", ["replace", "delete"])
    def test_write_on_a_revision_of_an_earlier_era_conflicts(self, call):
        # The revision is given out again for another content, which the call would
        # replace although nobody has read it.
        async def scenario():
            async with running_world() as world:
                lost = await self.write_and_return(world)
                world.server.put(KIND, "a", "other")
                await world.client.get(KIND, "a")
                calls = world.server.calls.total()
                if call == "replace":
                    write = world.client.replace(KIND, "a", 3, lost)
                else:
                    write = world.client.delete(KIND, "a", lost)
                error = await world.refused(write)
                found = await world.client.get(KIND, "a")
                return error, found.content, world.server.calls.total() - calls

        error, content, calls = asyncio.run(scenario())
        assert (error.code, error.outcome) == (
            ErrorCode.STORE_CONFLICT,
            Outcome.NOT_RUN,
        )
        assert (content, calls) == ("other", 1)

    @pytest.mark.parametrize("call", ["create", "replace", "delete"])
    def test_write_that_a_later_era_answers_counts_as_unanswered(self, call):
        # Guards against a caller that takes its own revision for one of its own era:
        # the condition was checked against another content.
        async def scenario():
            async with running_world() as world:
                world.server.era = "4"
                found = await world.client.get(KIND, "a")
                world.server.era = "5"
                write = {
                    "create": lambda: world.client.create(KIND, "b", 2),
                    "replace": lambda: world.client.replace(
                        KIND, "a", 2, found.revision
                    ),
                    "delete": lambda: world.client.delete(KIND, "a", found.revision),
                }[call]
                return await world.refused(write())

        error = asyncio.run(scenario())
        assert error.code is ErrorCode.STORE_UNAVAILABLE
        assert error.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("is_known", [True, False])
    def test_watch_from_an_earlier_era_lists_again(self, is_known):
        # Its revision may have been given out again, so changes would be missed.
        async def scenario():
            async with running_world() as world:
                lost = await self.write_and_return(world)
                for content in range(3):
                    world.server.put(KIND, "a", content)
                if is_known:
                    await world.client.get(KIND, "a")
                return await world.refused(world.client.watch(KIND, lost, 0.0))

        assert asyncio.run(scenario()).code is ErrorCode.NOT_FOUND

    def test_list_of_two_eras_is_refused(self):
        # Guards against a list of which the first pages are lost.
        async def scenario():
            async with running_world(PagedServer) as world:
                world.server.era = "4"
                error = await world.refused(world.client.list(KIND))
                return error, world.server.calls["GET"]

        error, calls = asyncio.run(scenario())
        assert error.outcome is Outcome.NOT_RUN
        assert calls == 2


class TestStandIn:
    """Guards against a stand-in store that loses less than the users' store."""

    @staticmethod
    def server() -> ObjectStoreServer:
        """Return a stand-in in its first era."""
        found = ObjectStoreServer()
        found.era = "1"
        found.put(KIND, "a", 1)
        return found

    def test_writes_since_the_copy_are_gone_and_revisions_begin_again(self):
        server = self.server()
        older = server.take_copy()
        revision = server.revision
        server.put(KIND, "a", 2)
        asyncio.run(server.come_back(older))
        assert server.objects[KIND]["a"]["spec"] == 1
        assert (server.revision, server.era) == (revision, "2")

    def test_what_others_wrote_is_written_again(self):
        server = self.server()
        server.put("servers", "gone", 1)
        older = server.take_copy()
        server.remove("servers", "gone")
        server.put("config", "main", 2)
        asyncio.run(server.come_back(older))
        assert server.objects["config"]["main"]["spec"] == 2
        assert server.objects["servers"] == {}

    def test_copy_serves_more_than_one_return(self):
        server = self.server()
        older = server.take_copy()
        for _ in range(2):
            server.put(KIND, "a", 2)
            asyncio.run(server.come_back(older))
        assert server.objects[KIND]["a"]["spec"] == 1
        assert server.era == "3"
