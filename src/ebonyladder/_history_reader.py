"""Reading and verification of the chain of hour records."""

import asyncio

import msgspec

from ebonyladder.history import (
    SEGMENT_HOURS,
    ChainHead,
    HourRecord,
    head_key,
    segment_prefix,
)
from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.observation import MAX_OBSERVATION_AGE_HOURS
from ebonyladder.status import HOURS_PER_DAY, Counts, ServiceState
from ebonyladder.store import PlatformStore
from ebonyladder.types import ServiceId

# Hours that a reader keeps in memory and the page shows.
SHOWN_HOURS = 90 * HOURS_PER_DAY
# A writer moves the head once an hour, possibly between the calls of one read.
MAX_READ_ATTEMPTS = 3
# Records verified between two yields to the event loop; they take about 2 ms.
RECORDS_PER_YIELD = 20


class HistoryError(EbonyladderError):
    """The history of a service could not be read and verified completely."""


class HourSummary(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Summary that a reader keeps of a verified record.

    Attributes
    ----------
    minutes : int
        Minutes observed, at most 60.
    observers : int
        Number of VM incarnations that observed.
    """

    counts: Counts
    minutes: int
    observers: int

    def state(self) -> ServiceState:
        """Return the state that the hour's counts show."""
        return self.counts.state() if self.minutes else ServiceState.NOT_OBSERVED


class _Checkpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Verified record; it and all records before it in the chain are final."""

    hour: int
    sequence: int
    digests: list[str]


class ChainReader:
    """Read and verify one service's chain; keep a checkpoint of what is final.

    The first read walks the whole chain, one ``list`` call for each 100 hours.
    Later reads list only the hours that late observations can still change.

    Attributes
    ----------
    hours : dict of int to HourSummary
        Verified hours of the last ``SHOWN_HOURS``.
    observed : set of int
        All verified hours.
    outages : set of int
        Hours in which writers could not reach the store.
    """

    def __init__(self, *, store: PlatformStore, service: ServiceId) -> None:
        self.store = store
        self.service = service
        self.hours: dict[int, HourSummary] = {}
        self.observed: set[int] = set()
        self.outages: set[int] = set()
        self.checkpoint: _Checkpoint | None = None
        self.last_sequence = 0

    async def refresh(self, now_hour: int) -> None:
        """Read the hours that may have changed since the last read.

        Raises
        ------
        HistoryError
            If a record is missing, altered, or not linked to the chain.
        StoreError
            STORE_UNAVAILABLE if the store did not answer.
        """
        for attempt in range(1, MAX_READ_ATTEMPTS + 1):
            try:
                await self._read(now_hour)
                return
            except HistoryError:
                if attempt == MAX_READ_ATTEMPTS:
                    raise

    async def _read(self, now_hour: int) -> None:
        final_before = max(0, now_hour - MAX_OBSERVATION_AGE_HOURS)
        walk = _Walk(store=self.store, service=self.service)
        for hour in range(final_before, now_hour + SEGMENT_HOURS, SEGMENT_HOURS):
            await walk.load(min(hour, now_hour))
        stored = await self.store.get(head_key(self.service))
        last = walk.decode(stored.value, ChainHead).last if stored is not None else None
        if (last.sequence if last else 0) < self.last_sequence:
            raise walk.error("the head is behind a record that was read before")
        await walk.visit(last, self.checkpoint)
        walk.require_all_visited(self.observed)
        self._update_from(walk, final_before, now_hour)

    def _update_from(self, walk: "_Walk", final_before: int, now_hour: int) -> None:
        ascending = sorted(walk.visited.values(), key=lambda r: r.sequence)
        for record in ascending:
            self.observed.add(record.hour)
            if record.hour > now_hour - SHOWN_HOURS:
                self.hours[record.hour] = _summary(record)
            for entry in record.base_and_supplements():
                self.outages.update(entry.outage_hours)
        for record in ascending:
            if record.hour >= final_before:
                break
            self.checkpoint = _Checkpoint(
                hour=record.hour,
                sequence=record.sequence,
                digests=record.digests(),
            )
        for hour in [h for h in self.hours if h <= now_hour - SHOWN_HOURS]:
            del self.hours[hour]
        if ascending:
            self.last_sequence = ascending[-1].sequence


class _Walk:
    """One walk along a chain, from the head towards its first record."""

    def __init__(self, *, store: PlatformStore, service: ServiceId) -> None:
        self.store = store
        self.service = service
        self.segments: set[str] = set()
        self.records: dict[int, HourRecord] = {}
        self.visited: dict[int, HourRecord] = {}

    async def load(self, hour: int) -> None:
        """Read the segment that contains the hour, once."""
        prefix = segment_prefix(self.service, hour)
        if prefix in self.segments:
            return
        for stored in await self.store.list(prefix):
            record = self.decode(stored.value, HourRecord)
            self.records[record.hour] = record
        self.segments.add(prefix)

    async def visit(
        self, last: HourRecord | None, checkpoint: _Checkpoint | None
    ) -> None:
        """Visit the records from ``last`` to the first one or the checkpoint.

        The walk terminates, since the sequence number falls by one at each record.
        """
        if last is None:
            return
        record: HourRecord = await self._head_record(last)
        while True:
            digests = self._digests(record)
            if checkpoint is not None and record.sequence == checkpoint.sequence:
                if digests != checkpoint.digests:
                    raise self.error(f"hour {record.hour} has changed since it closed")
                return
            self.visited[record.hour] = record
            if len(self.visited) % RECORDS_PER_YIELD == 0:
                await asyncio.sleep(0)
            if record.previous_hour is None:
                break
            record = await self._previous(record)
        if record.sequence != 1:
            raise self.error(f"the chain ends at hour {record.hour}, not at its first")

    async def _head_record(self, last: HourRecord) -> HourRecord:
        await self.load(last.hour)
        # The writer may not have created the object of the head's record yet.
        record = self.records.setdefault(last.hour, last)
        if self._digests(record)[0] != self._digests(last)[0]:
            raise self.error(f"the record of hour {last.hour} differs from the head")
        return record

    async def _previous(self, record: HourRecord) -> HourRecord:
        await self.load(record.previous_hour)
        previous = self.records.get(record.previous_hour)
        if previous is None:
            raise self.error(f"the record of hour {record.previous_hour} is missing")
        if previous.sequence != record.sequence - 1:
            raise self.error(f"hour {previous.hour} has the wrong place in the chain")
        if record.previous_digest not in self._digests(previous):
            raise self.error(
                f"the record of hour {previous.hour} is not the one that "
                f"hour {record.hour} links to"
            )
        return previous

    def require_all_visited(self, verified: set[int]) -> None:
        """Raise if a record in the store is not part of the chain."""
        for hour in sorted(self.records):
            if hour not in self.visited and hour not in verified:
                raise self.error(f"the record of hour {hour} is not in the chain")

    def _digests(self, record: HourRecord) -> list[str]:
        try:
            return record.digests()
        except ValueError as error:
            raise self.error(str(error)) from error

    def decode(self, data: bytes, kind: type) -> msgspec.Struct:
        """Decode an object; raise ``HistoryError`` if it is not valid."""
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.MsgspecError as error:
            raise self.error(f"an object is not valid: {error}") from error

    def error(self, message: str) -> HistoryError:
        """Return an error about the history of this service."""
        return HistoryError(
            code=ErrorCode.INTERNAL,
            step=Step.STATUS_READ,
            peer="store",
            message=f"history of {self.service}: {message}",
        )


def _summary(record: HourRecord) -> HourSummary:
    return HourSummary(
        counts=record.total_counts(),
        minutes=record.minutes().bit_count(),
        observers=len(record.minutes_by_observer()),
    )
