"""Status plug-in: exchange of observations, faults of VMs and the store, the page."""

import asyncio
import gzip
import json
import re

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request

from ebonyladder._codec import decode, encode
from ebonyladder._status_html import html_chunks
from ebonyladder._status_snapshot import Snapshot, pack, unpack
from ebonyladder.configuration import Configuration, ServiceSpec
from ebonyladder.history import record_key
from ebonyladder.messages import MinuteCounts, MinuteMask, Observations
from ebonyladder.observation import MinuteCounter, ObservationBuffer
from ebonyladder.status import (
    CallResult,
    Counts,
    NotObservedReason,
    ServiceState,
    StatusObserver,
    StatusRoutes,
    worst,
)
from tests.status_fakes import START_HOUR, FaultyStore, Fleet, stored_records

FIVE = ("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")


def others(fleet: Fleet, service: str = "ledger") -> list[str]:
    return [vm for vm in fleet.nodes if vm not in fleet.aggregators(service)]


def hours_of(snapshot: Snapshot, service: str = "ledger") -> dict:
    found = next(s for s in snapshot.services if s.service == service)
    return {status.hour - START_HOUR: status for status in found.hours}


class TestStates:
    """Guards against a wrong state of counts or of several states."""

    @pytest.mark.parametrize(
        ("counts", "state"),
        [
            (Counts(), ServiceState.OPERATIONAL),
            (Counts(served=100, refused=900), ServiceState.OPERATIONAL),
            (Counts(served=99, failed=1), ServiceState.DEGRADED),
            (Counts(served=1, failed=1), ServiceState.OUTAGE),
        ],
    )
    def test_state_of_counts(self, counts, state):
        assert counts.state() is state

    def test_outage_is_the_worst(self):
        assert worst(ServiceState) is ServiceState.OUTAGE
        assert (
            worst([ServiceState.OPERATIONAL, ServiceState.NOT_OBSERVED])
            is ServiceState.NOT_OBSERVED
        )


class TestMinuteCounter:
    """Guards against minutes that change after they were sent."""

    def test_minute_without_calls_is_observed_and_paused_one_is_absent(self):
        counter = MinuteCounter()
        counter.mark_observed(["s"], 0)
        counter.mark_observed(["s"], 300)
        assert counter.close_minutes(360) == {("s", 0): Counts(), ("s", 5): Counts()}

    def test_clock_that_steps_back_does_not_reopen_a_minute(self):
        counter = MinuteCounter()
        counter.observe("s", CallResult.SERVED, 600)
        assert set(counter.close_minutes(660)) == {("s", 10)}
        counter.observe("s", CallResult.SERVED, 590)
        assert set(counter.close_minutes(720)) == {("s", 11)}


class TestObservationBuffer:
    """Guards against unbounded memory during an outage of the store."""

    def test_oldest_hour_is_evicted_first(self):
        buffer = ObservationBuffer(max_minutes=100)
        for minute in range(180):
            buffer.add(("vm", 1), "s", minute, Counts())
        assert buffer.evict(now_hour=3) == 120
        assert [hour for _, hour in buffer.batches] == [2]

    def test_minute_above_the_maximum_age_is_evicted(self):
        buffer = ObservationBuffer(max_minutes=100)
        buffer.add(("vm", 1), "s", 0, Counts())
        assert buffer.evict(now_hour=49) == 1


class TestMessages:
    """Guards against fields that are lost or altered in encoding."""

    def test_round_trip(self):
        mask = MinuteMask(service="s", hour=START_HOUR, minutes=(1 << 60) - 1)
        message = Observations(
            vm="vm",
            incarnation=1,
            counts=[MinuteCounts(service="s", minute=START_HOUR * 60, served=3)],
            pending=[mask],
            written=[mask],
        )
        assert decode(encode(1, message), peer="x").message == message


class TestRecording:
    """Guards against calls that are recorded twice or not at all."""

    def test_all_calls_are_recorded_once(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE, services="ledger shop").start()
            await fleet.run(130, busy=("ledger", "shop"))
            await fleet.run_until_written()
            for service in ("ledger", "shop"):
                assert fleet.recorded(service) == fleet.counted[service]
            hours = hours_of(await fleet.snapshot())
            assert [hours[h].minutes for h in (0, 1)] == [60, 60]
            assert hours[0].observers == 5
            assert all(
                node.exchange.sender.unwritten.size < 100
                for node in fleet.nodes.values()
            )

        asyncio.run(scenario())

    def test_store_calls_do_not_grow_with_vms(self):
        async def calls(number: int) -> int:
            vms = [f"vm-{i}" for i in range(number)]
            fleet = await Fleet(*vms).start()
            await fleet.run(180)
            return sum(fleet.store.calls.values())

        few, many = asyncio.run(calls(3)), asyncio.run(calls(12))
        assert many <= few + 2

    def test_calls_of_unknown_services_are_not_recorded(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1").start()
            await fleet.run(20, busy=("../head", "ledger"))
            assert all(
                key == "status/index" or key.startswith("status/ledger/")
                for key in fleet.store.objects
            )

        asyncio.run(scenario())


class TestFaultsOfVms:
    """Guards against observations that are lost with one VM."""

    @pytest.mark.parametrize("which", [0, 1])
    def test_aggregator_is_killed(self, which):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(25)
            victim = fleet.aggregators()[which]
            fleet.kill(victim)
            await fleet.run(60)
            await fleet.run_until_written()
            # Only the victim's last two minutes, which it had not sent, may be lost.
            assert fleet.counted["ledger"] - 4 <= fleet.recorded()
            assert fleet.recorded() <= fleet.counted["ledger"]

        asyncio.run(scenario())

    def test_aggregators_restart_with_empty_buffers(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(5)
            pair = fleet.aggregators()
            unsent = 2 * 2 * 5
            for vm in pair:
                fleet.kill(vm)
            for vm in pair:
                await fleet.join(vm, incarnation=2)
            await fleet.run(70)
            await fleet.run_until_written()
            assert fleet.counted["ledger"] - unsent <= fleet.recorded()
            assert fleet.recorded() <= fleet.counted["ledger"]

        asyncio.run(scenario())

    @pytest.mark.parametrize("is_down", [False, True])
    def test_drain_hands_over_all_observations(self, is_down):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            fleet.store.is_down = is_down
            for _ in range(3):
                await fleet.run(7)
                await fleet.drain(fleet.aggregators()[0])
            fleet.store.is_down = False
            await fleet.run(60)
            await fleet.run_until_written()
            assert fleet.recorded() == fleet.counted["ledger"]

        asyncio.run(scenario())

    def test_backup_writes_for_a_writer_that_cannot_reach_the_store(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            down = FaultyStore()
            down.is_down = True
            fleet.nodes[fleet.aggregators()[0]].writer.store = down
            await fleet.run(100)
            assert fleet.recorded() > fleet.counted["ledger"] / 2

        asyncio.run(scenario())

    def test_one_vm_is_paused_and_then_all_are(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(30)
            await fleet.run(90, paused=("vm-2",))
            await fleet.run(150, paused=FIVE)
            await fleet.run(90)
            await fleet.run_until_written()
            assert fleet.recorded() == fleet.counted["ledger"]
            hours = hours_of(await fleet.snapshot())
            assert hours[1].minutes == 60
            assert hours[3].reason is NotObservedReason.NO_VM_REPORTED
            assert hours[3].state is ServiceState.NOT_OBSERVED

        asyncio.run(scenario())

    def test_partition_of_the_writer_from_the_others(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(20)
            fleet.network.partition(fleet.aggregators()[0])
            await fleet.run(100)
            fleet.network.heal()
            await fleet.run(30)
            await fleet.run_until_written()
            assert fleet.recorded() == fleet.counted["ledger"]

        asyncio.run(scenario())


class TestStoreOutage:
    """Guards against hours that a store outage loses or that look observed."""

    def test_outage_of_several_hours_with_the_writer_killed(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(60)
            await fleet.run_until_written()
            fleet.store.is_down = True
            await fleet.run(100)
            fleet.kill(fleet.aggregators()[0])
            await fleet.run(100)
            fleet.store.is_down = False
            await fleet.run(40)
            await fleet.run_until_written()
            # The killed VM had not sent its last minute.
            assert fleet.counted["ledger"] - 4 <= fleet.recorded()
            assert fleet.recorded() <= fleet.counted["ledger"]
            snapshot = await fleet.snapshot()
            hours = hours_of(snapshot)
            assert snapshot.is_established
            assert [hours[h].minutes for h in range(5)] == [60] * 5

        asyncio.run(scenario())

    def test_all_vms_die_during_the_outage(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1", "vm-2").start()
            await fleet.run(60)
            await fleet.run_until_written()
            fleet.store.is_down = True
            await fleet.run(120)
            for vm in ("vm-1", "vm-2"):
                fleet.kill(vm)
            await fleet.join("vm-9")
            await fleet.run(60)
            fleet.store.is_down = False
            await fleet.run(60)
            await fleet.run_until_written()
            snapshot = await fleet.snapshot()
            hours = hours_of(snapshot)
            assert snapshot.is_established
            assert hours[2].reason is NotObservedReason.NO_VM_REPORTED
            assert hours[3].observers == 1

        asyncio.run(scenario())

    def test_hours_of_a_recorded_outage_have_that_reason(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1", services="ledger shop").start()
            await fleet.run(60)
            await fleet.run_until_written()
            fleet.store.is_down = True
            await fleet.run(120)
            exchange = fleet.nodes["vm-1"].exchange
            for buffer in (exchange.sender.unwritten, exchange.aggregator.buffer):
                buffer._remove_batch(("ledger", START_HOUR + 2))
            fleet.store.is_down = False
            await fleet.run(60)
            await fleet.run_until_written()
            hours = hours_of(await fleet.snapshot())
            assert hours[2].reason is NotObservedReason.STORE_OUTAGE

        asyncio.run(scenario())


class TestServices:
    """Guards against a renamed or removed service that loses its history."""

    def test_renamed_service_keeps_its_history(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(60)
            fleet.configuration.change(Fleet.configured("books"))
            await fleet.run(120, busy=("books",))
            fleet.configuration.change(Fleet.configured("books ledger"))
            await fleet.run(70, busy=("books", "ledger"))
            await fleet.run_until_written()
            snapshot = await fleet.snapshot()
            assert snapshot.is_established
            hours = hours_of(snapshot)
            assert hours[0].own is ServiceState.OPERATIONAL
            assert hours[2].reason is NotObservedReason.NOT_LISTED
            assert hours[3].minutes > 0
            assert fleet.recorded() == fleet.counted["ledger"]

        asyncio.run(scenario())

    def test_state_is_the_worst_of_own_and_dependencies(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1", services="shop>ledger ledger>disk disk").start()
            await fleet.run(60, result=CallResult.FAILED, busy=("disk",))
            await fleet.run_until_written()
            snapshot = await fleet.snapshot()
            shop = hours_of(snapshot, "shop")[0]
            assert (shop.own, shop.state) == (
                ServiceState.OPERATIONAL,
                ServiceState.OUTAGE,
            )
            assert hours_of(snapshot, "ledger")[0].state is ServiceState.OUTAGE

        asyncio.run(scenario())


class TestPage:
    """Guards against a page that hides gaps or runs injected markup."""

    def test_requests_share_one_read_and_other_vms_query_the_reader(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(60)
            fleet.clock.advance(61)
            fleet.store.calls.clear()
            for _ in range(20):
                for node in fleet.nodes.values():
                    await asyncio.gather(node.current(), node.current())
            # Each of two readers gets the index, lists two segments and gets the head.
            assert sum(fleet.store.calls.values()) <= 2 * 4

        asyncio.run(scenario())

    @pytest.mark.parametrize("key", ["status/index", "record"])
    def test_page_says_that_the_history_cannot_be_read(self, key):
        async def scenario() -> None:
            fleet = await Fleet("vm-1").start()
            await fleet.run(200)
            assert (await fleet.snapshot()).is_established
            lost_key = record_key("ledger", START_HOUR) if key == "record" else key
            del fleet.store.objects[lost_key]
            snapshot = await fleet.snapshot()
            text = b"".join(html_chunks(snapshot, 0)).decode()
            assert not snapshot.is_established
            assert text.index("history is not established") < text.index("<h1>")
            assert len(snapshot.services) == 1

        asyncio.run(scenario())

    def test_store_outage_keeps_the_last_history(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1").start()
            await fleet.run(130)
            await fleet.snapshot()
            fleet.store.is_down = True
            snapshot = await fleet.snapshot()
            assert not snapshot.is_established
            assert hours_of(snapshot)[0].minutes == 60

        asyncio.run(scenario())

    def test_everything_is_escaped_and_nothing_is_external(self):
        async def scenario() -> None:
            fleet = await Fleet("vm-1", services="").start()
            name = '<script>alert(1)<script>&"'
            fleet.configuration.change(Configuration(services={name: ServiceSpec()}))
            await fleet.run(70)
            snapshot = (await fleet.snapshot()).with_problem("<img src=x>")
            text = b"".join(html_chunks(snapshot, 0)).decode()
            assert "&lt;script&gt;" in text
            assert not re.search(
                r"<script|<img|<link|<[^>]*(src|href)=|url\(|@import", text
            )

        asyncio.run(scenario())

    def test_routes_and_interfaces(self):
        async def scenario() -> None:
            node = await Fleet("vm-1").join("vm-1")
            assert isinstance(node, StatusObserver)
            assert isinstance(node, StatusRoutes)
            routes = node.status_routes()
            request = make_mocked_request("GET", "/status")
            page = await routes["/status"](request)
            data = await routes["/status.json"](request)
            assert page.content_type == "text/html"
            assert "default-src 'none'" in page.headers["Content-Security-Policy"]
            assert json.loads(data.body)["established"] is True
            assert (await routes["/status"](request)).body is page.body
            phone = make_mocked_request(
                "GET", "/status", headers={"Accept-Encoding": "gzip, br"}
            )
            compressed = await routes["/status"](phone)
            assert compressed.headers["Content-Encoding"] == "gzip"
            assert gzip.decompress(compressed.body) == page.body

        asyncio.run(scenario())

    def test_packed_snapshot(self):
        snapshot = Snapshot(read_at_s=5.0, problems=["x"])
        assert unpack(pack(snapshot)) == snapshot
        for data in (b"", b"x", pack(snapshot)[:-9]):
            with pytest.raises((ValueError, msgspec.DecodeError)):
                unpack(data)


class TestWrites:
    """Guards against an unbounded number of supplements to an hour."""

    def test_supplements_of_an_hour_are_few(self):
        async def scenario() -> None:
            fleet = await Fleet(*FIVE).start()
            await fleet.run(200)
            records = stored_records(fleet.store, "ledger")
            assert max(len(r["supplements"]) for r in records.values()) <= 7
            before = len(records[START_HOUR]["supplements"])
            buffer = fleet.nodes[fleet.aggregators()[0]].exchange.aggregator.buffer
            for minute in range(20):
                buffer.add(("late", 1), "ledger", START_HOUR * 60 + minute, Counts())
                await fleet.run(1)
            record = stored_records(fleet.store, "ledger")[START_HOUR]
            assert before < len(record["supplements"]) <= before + 3

        asyncio.run(scenario())
