"""Aggregation of the observations of all VMs into hour records."""

from collections.abc import Callable

from absl import logging

from ebonyladder._history_writer import HistoryWriter
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.messages import MinuteMask, Observations
from ebonyladder.observation import (
    MAX_OBSERVATION_AGE_HOURS,
    HourBatch,
    ObservationBuffer,
    WrittenMinutes,
)
from ebonyladder.status import SECONDS_PER_HOUR, Counts
from ebonyladder.types import ServiceId, VmId

# The first write of an hour comes early, so that readers soon see its state. Later
# writes are rarer, so that a record gets at most seven supplements an hour.
FIRST_WRITE_DELAY_S = 60
WRITE_INTERVAL_S = 600
# VMs send the last minute of an hour within two ticks of 30 s each.
HOUR_END_DELAY_S = 90
# The backup writes minutes that the writer has left unwritten for this long.
BACKUP_DELAY_S = 3 * WRITE_INTERVAL_S
MAX_MERGES_PER_TICK = 20
# In 48 h eight VMs observe 230,400 minutes of ten services, which are spread over
# the aggregators; with more VMs the buffer covers fewer hours. A buffered minute
# takes 126 bytes.
MAX_BUFFERED_MINUTES = 150_000

BatchKey = tuple[ServiceId, int]


class Aggregator:
    """Buffer observations as writer or backup of services and write those due.

    Parameters
    ----------
    aggregators : callable
        Returns the VMs that aggregate a service: the writer, then the backup.

    Attributes
    ----------
    buffer : ObservationBuffer
        Observations to write; they include this VM's own for the services that
        it aggregates.
    written : WrittenMinutes
        Minutes known to be written to the store.
    write_due_at_s : dict of BatchKey to float
        Monotonic time at which a buffered hour is to be written.
    first_written, finalized : set of BatchKey
        Hours that this VM has written at least once, and those that it has
        written after their end.
    outage_hours : set of int
        Hours in which the store was unavailable; the next write records them.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        aggregators: Callable[[ServiceId], list[VmId]],
        writer: HistoryWriter,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.aggregators = aggregators
        self.writer = writer
        self.clock = clock
        self.buffer = ObservationBuffer(max_minutes=MAX_BUFFERED_MINUTES)
        self.written = WrittenMinutes()
        self.write_due_at_s: dict[BatchKey, float] = {}
        self.first_written: set[BatchKey] = set()
        self.finalized: set[BatchKey] = set()
        self.outage_hours: set[int] = set()

    @property
    def now_hour(self) -> int:
        """Hours since the Unix epoch."""
        return int(self.clock.wall_s() // SECONDS_PER_HOUR)

    def add(self, message: Observations) -> None:
        """Buffer the counts of a message that are not written yet."""
        observer = (message.vm, message.incarnation)
        for one in message.counts:
            if self.written.has(observer, one.service, one.minute):
                continue
            counts = Counts(served=one.served, failed=one.failed, refused=one.refused)
            self.buffer.add(observer, one.service, one.minute, counts)

    def evict(self) -> int:
        """Evict old entries; return the number of evicted minutes."""
        evicted = self.buffer.evict(self.now_hour)
        self.written.evict(self.now_hour)
        self.write_due_at_s = {
            key: due_at_s
            for key, due_at_s in self.write_due_at_s.items()
            if key in self.buffer.batches
        }
        oldest = self.now_hour - MAX_OBSERVATION_AGE_HOURS
        self.first_written = {key for key in self.first_written if key[1] >= oldest}
        self.finalized = {key for key in self.finalized if key[1] >= oldest}
        self.outage_hours = {hour for hour in self.outage_hours if hour >= oldest}
        return evicted

    async def write_due_batches(self, *, write_all: bool = False) -> None:
        """Write the hours that are due, a bounded number of them, or all hours."""
        merged = 0
        for key in sorted(self.buffer.batches, key=lambda key: key[1]):
            if merged == MAX_MERGES_PER_TICK and not write_all:
                return
            if write_all or self._is_due(key):
                merged += 1
                batch = self.buffer.batches.get(key)
                if batch is not None and not await self._write(batch):
                    return

    def _is_due(self, key: BatchKey) -> bool:
        """Tell whether this VM is to write the hour now."""
        service, hour = key
        aggregators = self.aggregators(service)
        if self.vm not in aggregators:
            return False
        now_s = self.clock.now_s()
        is_backup = self.vm != aggregators[0]
        due_at_s = self.write_due_at_s.setdefault(
            key, now_s + self._delay_s(key, is_backup)
        )
        since_hour_end_s = self.clock.wall_s() - (hour + 1) * SECONDS_PER_HOUR
        has_ended = since_hour_end_s >= HOUR_END_DELAY_S and key not in self.finalized
        return now_s >= due_at_s or (has_ended and not is_backup)

    def _delay_s(self, key: BatchKey, is_backup: bool) -> float:
        if is_backup:
            return BACKUP_DELAY_S
        return WRITE_INTERVAL_S if key in self.first_written else FIRST_WRITE_DELAY_S

    async def _write(self, batch: HourBatch) -> bool:
        """Write one batch; return False if the store is unavailable."""
        outages = tuple(sorted(self.outage_hours))
        masks = batch.masks()
        copy = HourBatch(service=batch.service, hour=batch.hour)
        copy.minutes = {o: dict(minutes) for o, minutes in batch.minutes.items()}
        try:
            if await self.writer.merge(copy, outages):
                self.outage_hours -= set(outages)
        except StoreError as error:
            logging.warning(
                "[status] Hour was not written. service=%s hour=%d error=%s",
                batch.service,
                batch.hour,
                error,
            )
            if error.code is ErrorCode.STORE_UNAVAILABLE:
                self.outage_hours.add(self.now_hour)
                return False
            return True
        key = (batch.service, batch.hour)
        self.write_due_at_s.pop(key, None)
        self.first_written.add(key)
        end_at_s = (batch.hour + 1) * SECONDS_PER_HOUR
        if self.clock.wall_s() >= end_at_s + HOUR_END_DELAY_S:
            self.finalized.add(key)
        for observer, minutes in masks.items():
            mask = MinuteMask(service=batch.service, hour=batch.hour, minutes=minutes)
            self.written.record(observer, mask, self.now_hour)
            self.buffer.remove_minutes(observer, mask.service, mask.hour, minutes)
        return True
