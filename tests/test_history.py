"""Chain of hour records: races, lost answers, faults that readers must notice."""

import asyncio
import json
import random

import pytest

from ebonyladder._history_reader import ChainReader, HistoryError
from ebonyladder._history_writer import HistoryWriter, updated_index
from ebonyladder.history import ServiceIndex, head_key, record_key, segment_prefix
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.observation import HourBatch
from ebonyladder.status import Counts
from ebonyladder.store import MAX_VALUE_BYTES, StoredObject
from tests.status_fakes import START_HOUR, FaultyStore, Fleet, check_history

LEDGER = "ledger"


def batch(hour: int, vm: str, minutes: range, served: int = 1) -> HourBatch:
    result = HourBatch(service=LEDGER, hour=hour)
    for minute in minutes:
        result.add((vm, 1), minute, Counts(served=served))
    return result


class ConfirmedWrites:
    """Minutes of the batches that writers confirmed, as the checker takes them."""

    def __init__(self, store: FaultyStore) -> None:
        self.store = store
        self.confirmed: dict[tuple[str, int], int] = {}

    async def merge(self, writer: HistoryWriter, hour_batch: HourBatch) -> None:
        """Merge, and repeat after each lost answer, as the aggregator does."""
        for _ in range(100):
            try:
                await writer.merge(hour_batch)
                break
            except StoreError as error:
                assert error.code is ErrorCode.STORE_UNAVAILABLE
        else:
            raise AssertionError("the store did not come back")
        for (vm, incarnation), minutes in hour_batch.minutes.items():
            for minute, counts in minutes.items():
                key = (f"{vm}\0{incarnation}", hour_batch.hour * 60 + minute)
                self.confirmed[key] = counts.served

    def faults(self) -> list[str]:
        return check_history(self.store, LEDGER, self.confirmed)


async def read(store: FaultyStore, now_hour: int) -> ChainReader:
    reader = ChainReader(store=store, service=LEDGER)
    await reader.refresh(now_hour)
    return reader


async def filled(hours: int, *, late: bool = True) -> FaultyStore:
    """Return a store with a chain; every third hour has a supplement."""
    store = FaultyStore()
    writer = HistoryWriter(store=store)
    for hour in range(hours):
        await writer.merge(batch(hour, "a", range(60)))
        if late and hour % 3 == 0:
            await writer.merge(batch(hour, "b", range(60)))
    return store


class TestRaces:
    """Guards against minutes that concurrent writers drop or record twice."""

    @pytest.mark.parametrize("first", [False, True])
    @pytest.mark.parametrize("other_hour", [7, 8])
    def test_second_writer_between_any_two_calls(self, first, other_hour):
        async def scenario(call_number: int) -> int:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            first_writer, second_writer = (
                HistoryWriter(store=store),
                HistoryWriter(store=store),
            )
            if not first:
                await confirmed_writes.merge(first_writer, batch(6, "a", range(60)))
            store.call_number = 0
            ours = batch(7, "a", range(40))
            theirs = batch(other_hour, "b", range(50))
            store.before_call[call_number] = lambda: confirmed_writes.merge(
                second_writer, theirs
            )
            await confirmed_writes.merge(first_writer, ours)
            calls = store.call_number
            if call_number in store.before_call:
                await confirmed_writes.merge(second_writer, theirs)
            assert confirmed_writes.faults() == []
            await read(store, 9)
            return calls

        call_number = 1
        while call_number <= asyncio.run(scenario(call_number)):
            call_number += 1
        assert call_number > 4

    @pytest.mark.parametrize("seed", range(40))
    def test_three_writers_in_random_order_with_lost_answers(self, seed):
        print(f"seed={seed}")
        rng = random.Random(seed)
        store = FaultyStore()
        confirmed_writes = ConfirmedWrites(store)

        async def delay_or_fail(call, step):
            for _ in range(rng.randrange(4)):
                await asyncio.sleep(0)
            await FaultyStore._begin_call(store, call, step)
            if rng.random() < 0.1:
                raise store._unavailable(step)

        def lose_answer():
            if rng.random() < 0.1:
                raise store._unavailable(None)

        store._begin_call, store._complete_write = delay_or_fail, lose_answer

        async def write(vm: str) -> None:
            writer = HistoryWriter(store=store)
            for hour in rng.sample(range(6), 6):
                start = rng.randrange(50)
                await confirmed_writes.merge(writer, batch(hour, vm, range(start, 60)))
                await confirmed_writes.merge(
                    writer, batch(hour, "shared", range(start, 60))
                )

        async def scenario() -> None:
            await asyncio.gather(*(write(vm) for vm in "abc"))
            del store._begin_call, store._complete_write
            assert confirmed_writes.faults() == []
            assert (await read(store, 6)).observed == set(range(6))

        asyncio.run(scenario())


class TestLostAnswers:
    """Guards against a lost or repeated write after the store's answer was lost."""

    @pytest.mark.parametrize("kind", ["answer_lost", "not_reached"])
    def test_at_each_call_of_an_append_and_a_supplement(self, kind):
        async def scenario(call_number: int) -> int:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            writer = HistoryWriter(store=store)
            getattr(store, kind).add(call_number)
            for hour, vm in [(1, "a"), (1, "b"), (2, "a"), (2, "b")]:
                await confirmed_writes.merge(writer, batch(hour, vm, range(60)))
            calls = store.call_number
            store.not_reached.clear()
            assert confirmed_writes.faults() == []
            assert (await read(store, 3)).observed == {1, 2}
            return calls

        call_number = 1
        while call_number <= asyncio.run(scenario(call_number)):
            call_number += 1

    def test_writer_that_dies_between_head_and_record(self):
        async def scenario() -> None:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            await confirmed_writes.merge(
                HistoryWriter(store=store), batch(1, "a", range(60))
            )
            store.call_number = 0
            store.not_reached = {5}
            with pytest.raises(StoreError):
                await HistoryWriter(store=store).merge(batch(2, "a", range(60)))
            assert record_key(LEDGER, 2) not in store.objects
            assert (await read(store, 3)).observed == {1, 2}
            store.not_reached = set()
            await confirmed_writes.merge(
                HistoryWriter(store=store), batch(3, "a", range(60))
            )
            await confirmed_writes.merge(
                HistoryWriter(store=store), batch(2, "a", range(60))
            )
            assert confirmed_writes.faults() == []

        asyncio.run(scenario())


class TestReader:
    """Guards against a reader that accepts a missing or altered hour."""

    def test_missing_record_below_the_head_is_noticed(self):
        async def scenario() -> None:
            for hour in range(9):
                store = await filled(10)
                del store.objects[record_key(LEDGER, hour)]
                with pytest.raises(HistoryError, match="missing"):
                    await read(store, 10)

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("hour", "change"),
        [(3, "counts"), (3, "supplements"), (3, "sequence"), (10, "counts")],
    )
    def test_altered_record(self, hour, change):
        async def scenario() -> None:
            store = await filled(11)
            key = record_key(LEDGER, hour)
            value = json.loads(store.objects[key].value)
            value[change] = {
                "counts": {"served": 0, "failed": 0, "refused": 0},
                "supplements": [],
                "sequence": 9,
            }[change]
            data = json.dumps(value).encode()
            store.objects[key] = StoredObject(key=key, value=data, version=99)
            with pytest.raises(HistoryError):
                await read(store, 11)

        asyncio.run(scenario())

    @pytest.mark.parametrize("data", [b"", b"{", b'{"hour": "x"}'])
    def test_damaged_objects(self, data):
        async def scenario() -> None:
            for key in (record_key(LEDGER, 3), head_key(LEDGER)):
                store = await filled(10)
                store.objects[key] = StoredObject(key=key, value=data, version=99)
                with pytest.raises(HistoryError, match="not valid"):
                    await read(store, 10)

        asyncio.run(scenario())

    def test_partial_list_answer(self):
        async def scenario() -> None:
            store = await filled(10)
            complete = store.list

            async def partial(prefix):
                return (await complete(prefix))[:-4]

            store.list = partial
            with pytest.raises(HistoryError):
                await read(store, 10)

        asyncio.run(scenario())

    def test_older_or_missing_head(self):
        async def scenario() -> None:
            store = await filled(5)
            old = store.objects[head_key(LEDGER)]
            writer = HistoryWriter(store=store)
            await writer.merge(batch(5, "a", range(60)))
            reader = await read(store, 6)
            for value in (old, None):
                store.objects[head_key(LEDGER)] = value
                with pytest.raises(HistoryError, match="head is behind"):
                    await reader.refresh(6)

        asyncio.run(scenario())

    def test_append_during_a_read(self):
        async def scenario() -> None:
            store = await filled(5)
            writer = HistoryWriter(store=store)

            async def append() -> None:
                for hour in (5, 6, 7):
                    await writer.merge(batch(hour, "a", range(60)))

            store.call_number = 0
            store.before_call[2] = append
            assert 7 in (await read(store, 8)).observed

        asyncio.run(scenario())

    def test_later_reads_list_only_hours_that_can_change(self):
        async def scenario() -> None:
            store = await filled(1_000, late=False)
            store.calls.clear()
            reader = await read(store, 1_000)
            assert store.calls == {"list": 10 + 1, "get": 1}
            store.calls.clear()
            await HistoryWriter(store=store).merge(batch(998, "b", range(60)))
            store.calls.clear()
            await reader.refresh(1_000)
            assert store.calls == {"list": 2, "get": 1}
            assert len(reader.observed) == 1_000
            assert reader.hours[998].observers == 2

        asyncio.run(scenario())

    def test_late_hour_is_appended_after_newer_ones(self):
        async def scenario() -> None:
            store = await filled(3)
            confirmed_writes = ConfirmedWrites(store)
            writer = HistoryWriter(store=store)
            for hour in (9, 5, 7, 6):
                await confirmed_writes.merge(writer, batch(hour, "z", range(60)))
            assert (await read(store, 10)).observed == {0, 1, 2, 5, 6, 7, 9}

        asyncio.run(scenario())


class TestChecker:
    """Guards against a checker or a reader that misses faults of a writer."""

    def test_writer_without_conditional_updates(self):
        async def scenario(call_number: int) -> list[str]:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            store._require_version = lambda key, expected: None
            first_writer, second_writer = (
                HistoryWriter(store=store),
                HistoryWriter(store=store),
            )
            await confirmed_writes.merge(first_writer, batch(6, "a", range(60)))
            store.call_number = 0
            theirs = batch(7, "b", range(50))
            store.before_call[call_number] = lambda: confirmed_writes.merge(
                second_writer, theirs
            )
            await confirmed_writes.merge(first_writer, batch(7, "a", range(60)))
            return confirmed_writes.faults()

        assert any(
            "dropped" in f
            for call_number in range(1, 6)
            for f in asyncio.run(scenario(call_number))
        )

    def test_writer_without_the_chain(self):
        async def scenario() -> None:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            for hour in range(3):
                # A new head for each hour, as if there were no record before.
                store.objects.pop(head_key(LEDGER), None)
                await confirmed_writes.merge(
                    HistoryWriter(store=store), batch(hour, "a", range(60))
                )
            assert any(
                "not in the chain" in fault for fault in confirmed_writes.faults()
            )
            with pytest.raises(HistoryError, match="not in the chain"):
                await read(store, 3)

        asyncio.run(scenario())

    def test_writer_that_counts_a_minute_twice(self):
        async def scenario() -> None:
            store = FaultyStore()
            confirmed_writes = ConfirmedWrites(store)
            writer = HistoryWriter(store=store)
            await confirmed_writes.merge(writer, batch(1, "a", range(60)))
            doubled = batch(1, "a", range(60))
            as_new = doubled.unrecorded({})
            doubled.unrecorded = lambda recorded: as_new
            await confirmed_writes.merge(writer, doubled)
            assert any("twice" in fault for fault in confirmed_writes.faults())

        asyncio.run(scenario())


class TestIndex:
    """Guards against a service that loses its history."""

    def test_removed_renamed_and_returning_service(self):
        index = ServiceIndex()
        steps = ["ledger", "ledger shop>ledger", "books shop>books", "ledger"]
        for number, services in enumerate(steps):
            index = updated_index(
                index, Fleet.configured(services), number + 1, 10 * number
            )
        spans = {
            name: [(s.first, s.last, s.depends_on) for s in listed]
            for name, listed in index.services.items()
        }
        assert spans == {
            "ledger": [(0, 20, ()), (30, None, ())],
            "shop": [(10, 20, ("ledger",)), (21, 30, ("books",))],
            "books": [(20, 30, ())],
        }

    def test_older_configuration_does_not_change_the_index(self):
        async def scenario() -> None:
            writer = HistoryWriter(store=FaultyStore())
            await writer.update_index(Fleet.configured("ledger shop"), 5, 10)
            index = await writer.update_index(Fleet.configured("ledger"), 4, 11)
            assert index.services["shop"][-1].last is None

        asyncio.run(scenario())


class TestSize:
    """Guards against values above the store's limit and long list answers."""

    def test_hour_of_the_target_fleet_fits(self):
        async def scenario() -> None:
            store = FaultyStore()
            writer = HistoryWriter(store=store)
            for start in range(0, 60, 10):
                many = HourBatch(service=LEDGER, hour=START_HOUR)
                for vm in range(3_600):
                    for minute in range(start, start + 10):
                        many.add((f"vm-{vm}", 1), minute, Counts(served=1))
                await writer.merge(many)
            value = store.objects[record_key(LEDGER, START_HOUR)].value
            assert len(value) < MAX_VALUE_BYTES / 2

        asyncio.run(scenario())

    def test_segment_has_100_hours(self):
        prefixes = {segment_prefix(LEDGER, hour) for hour in range(500_000, 500_300)}
        assert len(prefixes) == 3
