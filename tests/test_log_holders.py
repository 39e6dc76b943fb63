"""Log holders: what a failover must know, and how the leader keeps it."""

import asyncio
import itertools

import msgspec
import pytest

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.sessions.connection import EndpointStatus
from ebonyladder.sessions.fleet import log_holder_keeper
from ebonyladder.sessions.fleet.log_holder_keeper import LogHolderKeeper
from ebonyladder.sessions.log_holders import LogHolders, is_covered
from ebonyladder.sessions.log_survey import LogSurvey
from ebonyladder.sessions.objects import LOG_HOLDERS
from ebonyladder.sessions.store_era import era_start
from ebonyladder.types import EndpointId, EndpointProcess, Role, Term
from tests.session_fakes import (
    SERVICE,
    FakeConnector,
    cluster,
    entry,
    fake_endpoints,
    position,
)
from tests.store_fakes import MemoryStore

HOLDERS = LogHolders(
    service=SERVICE, endpoints=(entry("a"), entry("b"), entry("primary"))
)
PRIMARY = EndpointProcess("primary@0")


def status(role: Role, number: int) -> EndpointStatus:
    """Return a status with a log position of the first term."""
    return EndpointStatus(role=role, term=Term(1), received=position(1, number))


class TestHolders:
    def test_endpoint_that_starts_again_is_another_holder(self):
        # Guards against taking an empty log for that of the process before.
        listed = [entry("a", process_started_at_ms=9), entry("b"), entry("primary")]
        holders = HOLDERS.with_listed(listed)
        assert len(holders.endpoints) == 4
        assert [e.process for e in holders.departed(listed)] == ["a@0"]

    def test_only_the_latest_process_can_be_asked(self):
        # Guards against an answer of the new process in the name of the old one.
        holders = HOLDERS.with_listed([entry("a", process_started_at_ms=9)])
        assert {e.process for e in holders.latest} == {"a@9", "b@0", "primary@0"}


class TestCoverage:
    """Guards against forgetting a departed replica whose commits no other one has."""

    @pytest.mark.parametrize(
        ("primary", "replicas", "expected"),
        [
            (status(Role.PRIMARY, 10), [10, 4], True),
            (status(Role.PRIMARY, 10), [9, 4], False),
            (status(Role.REPLICA, 10), [10], False),
            (None, [10], False),
            (status(Role.PRIMARY, 10), [], False),
        ],
    )
    def test_a_replica_must_hold_what_the_primary_held(
        self, primary, replicas, expected
    ):
        statuses = [status(Role.REPLICA, number) for number in replicas]
        assert is_covered(primary, statuses) is expected


class TestSurvey:
    """Guards against a promotion without proof that its log is complete."""

    def required(self, received, *, known=0, pending=None):
        """Return the number of the required position, None if none is known."""
        survey = LogSurvey(
            primary=PRIMARY,
            holders={e.process: e for e in HOLDERS.endpoints},
            received={
                EndpointProcess(p): position(1, number)
                for p, number in received.items()
            },
            known=position(1, known),
            pending=pending,
        )
        found = survey.required_position()
        return None if found is None else found.position

    def test_what_no_replica_has_received_was_never_acknowledged(self):
        assert self.required({"a@0": 7, "b@0": 9}) == 9

    def test_final_position_is_required_in_full(self):
        # Guards against a commit that a replica which isn't known has acknowledged.
        assert self.required({"a@0": 7, "b@0": 9, "primary@0": 12}) == 12

    def test_only_the_primary_s_log_is_complete_if_a_replica_is_missing(self):
        assert self.required({"a@0": 7, "primary@0": 12}) == 12
        assert self.required({"a@0": 7}) is None

    def test_pending_successor_needs_no_more_than_all_other_logs_have(self):
        # Model seed 129: a service without a primary for good.
        received = {"a@0": 7, "b@0": 9, "primary@0": 12}
        assert self.required(received, pending=EndpointProcess("b@0")) == 9
        assert self.required(received, pending=EndpointProcess("a@0")) == 12
        del received["a@0"]
        assert self.required(received, pending=EndpointProcess("b@0")) == 12

    @pytest.mark.parametrize(
        ("address", "number", "may_lead"),
        [("host:1", 9, True), ("host:1", 7, False), ("host:2", 9, False)],
    )
    def test_pending_successor_needs_nothing_that_only_the_primary_s_log_has(
        self, address, number, may_lead
    ):
        # Model seeds 401659 and 402345: the former primary's log came back under
        # another id at its address, with commits that no replica had received, and
        # the successor whose promotion may still take effect waited for them for good.
        primary = entry("primary", address="host:1")
        back = entry("back", address=address, process_started_at_ms=9)
        survey = LogSurvey(
            primary=PRIMARY,
            holders={e.process: e for e in (primary, entry("a"), entry("b"), back)},
            received={
                EndpointProcess("a@0"): position(1, 9),
                EndpointProcess("b@0"): position(1, number),
                EndpointProcess("back@9"): position(1, 12),
            },
            known=position(1, 0),
            pending=EndpointProcess("b@0"),
        )
        eligible = {e.process for e in survey.eligible(survey.required_position())}
        assert ("b@0" in eligible) is may_lead

    def test_service_with_one_database(self):
        assert self.required({"primary@0": 12}) == 12

    def test_silence_of_all_that_may_have_more_shows_nothing(self):
        assert self.required({"a@0": 7}) is None
        assert self.required({"a@0": 7}, known=7) is None
        assert self.required({}) is None

    def test_replicas_that_lack_a_known_position_do_not_suffice(self):
        # A replica that wasn't known had received it.
        assert self.required({"a@0": 7, "b@0": 9}, known=10) is None
        assert self.required({"a@0": 7, "b@0": 9, "primary@0": 12}, known=10) == 12

    def test_log_that_went_on_after_a_commit_does_not_hide_it(self):
        # Guards against waiting for a crashed primary because of commits that were
        # never acknowledged.
        assert self.required({"a@0": 7, "b@0": 9}, known=9) == 9

    def test_final_position_older_than_a_replica_s_log_does_not_suffice(self):
        # Guards against a primary that another one has followed since.
        assert self.required({"a@0": 7, "primary@0": 6}) is None


class ShiftedClock(SystemClock):
    """Clock that a test sets forward."""

    def __init__(self) -> None:
        super().__init__()
        self.shift_s = 0.0

    def now_s(self) -> float:
        """Return the time with the shift."""
        return super().now_s() + self.shift_s


class World:
    """Keeper of a leader over endpoints in memory."""

    def __init__(self) -> None:
        self.clock = ShiftedClock()
        self.cluster = cluster(self.clock)
        self.primary, self.near, self.far = fake_endpoints()
        self.store = MemoryStore()
        self.connector = FakeConnector(self.primary, self.near, self.far)
        self.keeper = self.new_keeper()

    def new_keeper(self) -> LogHolderKeeper:
        """Return the keeper of a leader that knows nothing yet."""
        return LogHolderKeeper(
            cluster=self.cluster,
            store=self.store,
            connector=self.connector,
            clock=self.clock,
        )

    def later(self, duration_s: float = 10.0) -> None:
        """Let time pass."""
        self.clock.shift_s += duration_s

    def update(self, *, may_remove: bool = True) -> None:
        """Update the holders of the service."""
        asyncio.run(self.keeper.update(SERVICE, may_remove=may_remove))

    def stored(self) -> list[str]:
        """Return the stored processes."""
        content = self.store.objects[LOG_HOLDERS, SERVICE].content
        return sorted(f"{e['id']}@{e.get('born_ms', 0)}" for e in content["endpoints"])


class TestKeeper:
    @pytest.fixture
    def world(self, monkeypatch) -> World:
        """Return a keeper whose holders are stored."""
        monkeypatch.setattr(log_holder_keeper, "CATCH_UP_TIMEOUT_S", 0.0)
        world = World()
        world.update()
        return world

    def depart(self, world: World, name: str) -> None:
        """Let an endpoint leave."""
        del world.cluster.endpoints[EndpointId(name)]
        del world.connector.endpoints[EndpointId(name)]

    def test_listed_endpoints_are_stored_once(self, world):
        # Guards against a billed call for each check of the leader.
        assert world.stored() == ["far@0", "near@0", "primary@0"]
        assert world.keeper.due() == []
        world.update()
        assert world.store.writes == 1

    def test_departed_replica_stays_until_another_one_has_its_commits(self, world):
        # review/1: commits that only the departed replica had acknowledged.
        world.primary.set_received(position(1, 12))
        self.depart(world, "far")
        world.update()
        assert "far@0" in world.stored()
        world.near.set_received(position(1, 12))
        world.later()
        world.update()
        assert world.stored() == ["near@0", "primary@0"]

    def test_next_leader_knows_the_departed_replica(self, world):
        # Guards against a rule that ends with the leader that knew of the departure.
        world.primary.is_down = True
        self.depart(world, "far")
        world.update()
        keeper = world.new_keeper()
        assert asyncio.run(keeper.load())
        processes = {e.process for e in keeper.current(SERVICE).endpoints}
        assert "far@0" in processes

    def test_next_leader_knows_that_a_departed_replica_has_ended(self, world):
        # Guards against waiting for good for a log that is gone: the address refused
        # connections for the former leader only, and is silent now.
        world.primary.is_unresponsive = True
        world.far.is_down = True
        far = world.cluster.endpoints.pop(EndpointId("far"))
        world.update()
        world.far.is_down = False
        world.far.is_unresponsive = True
        world.keeper = world.new_keeper()
        assert asyncio.run(world.keeper.load())
        world.update()
        assert world.keeper.ended_processes(SERVICE) == {"far@0"}
        assert world.store.writes == 2
        world.cluster.endpoints[EndpointId("far")] = far
        world.later()
        assert world.keeper.due() == [SERVICE]
        assert world.keeper.ended_processes(SERVICE) == set()
        world.update()
        content = world.store.objects[LOG_HOLDERS, SERVICE].content
        assert not content["ended"]

    def test_next_leader_takes_stored_holders_for_listed_long_ago(self, world):
        # Guards against counting the empty log of a replica that has started again
        # without its log, in the first second of a leader: its process was stored by
        # the leader before, and may have acknowledged commits.
        keeper = world.new_keeper()
        asyncio.run(keeper.load())
        world.cluster.endpoints[EndpointId("new")] = entry("new")
        keeper.current(SERVICE)
        assert keeper.known_since_s["far@0"] == float("-inf")
        assert keeper.known_since_s["new@0"] <= world.clock.now_s()
        assert keeper.known_since_s["new@0"] > float("-inf")

    def test_replica_that_answers_although_unlisted_stays(self, world):
        # Guards against an entry that expired while its replica goes on receiving.
        del world.cluster.endpoints[EndpointId("far")]
        world.update()
        assert "far@0" in world.stored()

    def test_nothing_is_removed_by_an_outdated_list(self, world):
        self.depart(world, "far")
        world.update(may_remove=False)
        assert "far@0" in world.stored()

    def test_store_that_does_not_answer_is_tried_again(self, world):
        # Guards against a holder that is never stored after an outage.
        world.cluster.endpoints[EndpointId("new")] = entry("new")
        world.store.is_down = True
        world.update()
        world.store.is_down = False
        world.keeper.next_update_at_s.clear()
        assert world.keeper.due() == [SERVICE]
        world.update()
        assert "new@0" in world.stored()

    def test_change_by_another_leader_is_read_before_the_next_write(self, world):
        # Guards against overwriting the holders of a leader that followed.
        other = world.new_keeper()
        asyncio.run(other.load())
        world.cluster.endpoints[EndpointId("new")] = entry("new")
        asyncio.run(other.update(SERVICE, may_remove=True))
        del world.cluster.endpoints[EndpointId("new")]
        world.cluster.endpoints[EndpointId("second")] = entry("second")
        world.update(may_remove=False)
        world.update(may_remove=False)
        assert {"new@0", "second@0"} <= set(world.stored())

    def test_invalid_entry_of_another_writer_is_replaced(self, world):
        # Guards against a daemon that one odd entry keeps from storing the holders.
        world.store._put(LOG_HOLDERS, SERVICE, {"endpoints": "none"})
        world.keeper = world.new_keeper()
        assert asyncio.run(world.keeper.load())
        world.update()
        assert world.stored() == ["far@0", "near@0", "primary@0"]

    def test_silent_replica_stays_although_another_one_has_its_commits(self, world):
        # Guards against dropping a replica that goes on receiving (cba-ballast).
        del world.cluster.endpoints[EndpointId("far")]
        world.far.is_unresponsive = True
        world.update()
        world.later()
        world.update()
        assert "far@0" in world.stored()

    def test_replica_that_refused_connections_once_has_ended(self, world):
        # Guards against waiting for a replica that left: its address is silent later.
        world.primary.set_received(position(1, 12))
        world.far.is_down = True
        del world.cluster.endpoints[EndpointId("far")]
        world.update()
        world.far.is_down = False
        world.far.is_unresponsive = True
        world.near.set_received(position(1, 12))
        world.later()
        world.update()
        assert world.stored() == ["near@0", "primary@0"]

    def test_replica_that_is_listed_again_has_not_ended(self, world):
        # Guards against evidence from before a replica came back with its log.
        world.primary.set_received(position(1, 12))
        world.far.is_down = True
        far = world.cluster.endpoints.pop(EndpointId("far"))
        world.update()
        world.far.is_down = False
        world.cluster.endpoints[EndpointId("far")] = far
        assert world.keeper.due() == []
        del world.cluster.endpoints[EndpointId("far")]
        world.far.is_unresponsive = True
        world.near.set_received(position(1, 12))
        world.later()
        world.update()
        assert "far@0" in world.stored()

    def test_replica_that_is_listed_again_while_others_are_asked_stays(self, world):
        # Guards against an update that fails because the list changes meanwhile.
        world.far.is_down = True
        far = world.cluster.endpoints.pop(EndpointId("far"))
        is_covered = world.keeper._is_covered

        async def list_again(service):
            world.cluster.endpoints[EndpointId("far")] = far
            world.keeper.due()
            return await is_covered(service)

        world.keeper._is_covered = list_again
        world.later()
        world.update()
        assert "far@0" in world.stored()

    def test_nothing_is_dropped_while_no_endpoint_is_listed(self, world):
        world.cluster.endpoints.clear()
        world.primary.is_down = world.near.is_down = world.far.is_down = True
        world.later()
        world.update()
        assert world.stored() == ["far@0", "near@0", "primary@0"]

    def test_earlier_process_of_a_listed_endpoint_has_ended(self, world):
        world.cluster.endpoints[EndpointId("far")] = entry(
            "far", process_started_at_ms=9
        )
        world.later()
        world.update()
        assert world.stored() == ["far@9", "near@0", "primary@0"]

    def test_older_list_does_not_end_a_newer_process(self, world):
        # Guards against the list of a leader that lags.
        newer = entry("far", process_started_at_ms=9)
        world.keeper.record_listed(SERVICE, [newer])
        world.update()
        world.later()
        world.update()
        assert "far@9" in world.stored()

    def test_endpoint_unlisted_before_it_was_stored_stays(self, world):
        # Guards against forgetting a replica whose holders could not be written.
        world.cluster.endpoints[EndpointId("new")] = entry("new")
        world.connector.endpoints[EndpointId("new")] = world.far
        world.store.is_down = True
        world.later()
        world.update()
        world.store.is_down = False
        del world.cluster.endpoints[EndpointId("new")]
        world.later()
        assert world.keeper.due() == [SERVICE]
        world.update()
        assert "new@0" in world.stored()

    def test_unlisted_replica_is_probed_at_growing_intervals(self, world):
        # Guards against a connection to a silent address each second, for good.
        del world.cluster.endpoints[EndpointId("far")]
        opened = []
        for _ in range(40):
            world.later(0.5)
            world.update()
            opened.append(world.connector.opened_to["far"])
        assert opened[1] == 2
        assert opened[-1] <= 8


class TestReloadedHolders:
    def test_holder_that_another_leader_has_dropped_is_not_brought_back(self):
        # Guards against waiting for a process whose end can't be shown any more.
        async def run() -> set[str]:
            clock, store = SystemClock(), MemoryStore()
            keeper = LogHolderKeeper(
                cluster=cluster(clock),
                store=store,
                connector=FakeConnector(*fake_endpoints()),
                clock=clock,
            )
            holders = LogHolders(service=SERVICE, endpoints=(entry("left"),))
            content = msgspec.to_builtins(holders)
            stored = await store.create(LOG_HOLDERS, SERVICE, content)
            await keeper.load()
            empty = msgspec.to_builtins(LogHolders(service=SERVICE))
            await store.replace(LOG_HOLDERS, SERVICE, empty, stored.revision)
            await keeper.load()
            return {e.id for e in keeper.current(SERVICE).endpoints}

        assert "left" not in asyncio.run(run())


class TestStoreReturn:
    """Guards against holders that are dropped since a copy of the store lacks them."""

    @pytest.fixture
    def world(self, monkeypatch) -> World:
        """Return a keeper with one more holder than the copy has."""
        monkeypatch.setattr(log_holder_keeper, "CATCH_UP_TIMEOUT_S", 0.0)
        world = World()
        world.update()
        world.copy = dict(world.store.objects)
        world.cluster.endpoints[EndpointId("new")] = entry("new")
        world.later()
        world.update()
        assert "new@0" in world.stored()
        return world

    @staticmethod
    def come_back(world: World) -> None:
        """Let the store come back from the copy in a later era."""
        later = era_start(2)
        world.cluster.record_era(later)
        world.store.objects = {
            key: msgspec.structs.replace(found, revision=later + found.revision)
            for key, found in world.copy.items()
        }
        world.store.revisions = itertools.count(later + 10)
        world.keeper.record_return()
        del world.cluster.endpoints[EndpointId("new")]

    def test_holder_that_the_copy_lacks_is_kept_and_stored_again(self, world):
        # review/6: it may have the only copy of the last commits.
        self.come_back(world)
        assert asyncio.run(world.keeper.load())
        world.later()
        world.update(may_remove=False)
        assert "new@0" in world.stored()

    def test_holder_that_was_not_stored_yet_is_kept(self, world):
        world.cluster.endpoints[EndpointId("newest")] = entry("newest")
        self.come_back(world)
        del world.cluster.endpoints[EndpointId("newest")]
        current = world.keeper.current(SERVICE)
        assert "newest@0" in {e.process for e in current.endpoints}

    def test_holders_that_the_copy_lacks_altogether_are_stored_again(self, world):
        world.copy.clear()
        self.come_back(world)
        assert asyncio.run(world.keeper.load())
        assert world.keeper.due() == [SERVICE]
        world.later()
        world.update(may_remove=False)
        assert world.stored() == ["far@0", "near@0", "new@0", "primary@0"]

    def test_what_another_leader_drops_in_the_same_era_is_dropped(self, world):
        # Guards against holders that are waited for after they have ended.
        self.come_back(world)
        asyncio.run(world.keeper.load())
        world.update(may_remove=False)
        stored = world.store.objects[LOG_HOLDERS, SERVICE]
        content = dict(stored.content)
        content["endpoints"] = [e for e in content["endpoints"] if e["id"] != "new"]
        asyncio.run(world.store.replace(LOG_HOLDERS, SERVICE, content, stored.revision))
        asyncio.run(world.keeper.load())
        current = world.keeper.current(SERVICE)
        assert "new@0" not in {e.process for e in current.endpoints}
