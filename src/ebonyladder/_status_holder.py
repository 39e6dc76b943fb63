"""Holder of observations: keeps them and writes them into hour records."""

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

# Readers see the state of a new hour soon after it begins; later writes are
# rarer, so that a record gets at most seven supplements an hour.
FIRST_WRITE_S = 60
WRITE_PERIOD_S = 600
# VMs send the last minute of an hour within two ticks of 30 s.
HOUR_END_DELAY_S = 90
# A backup writes by itself what its writer has not written for this long.
BACKUP_DELAY_S = 3 * WRITE_PERIOD_S
MERGES_PER_TICK = 20
# In 48 h eight VMs observe 230,400 minutes of ten services, which are spread over
# the holders; a larger fleet keeps fewer hours. A held minute takes 126 bytes.
HELD_MINUTES = 150_000

BatchKey = tuple[ServiceId, int]


class Holder:
    """Hold observations as writer or backup and write what is due.

    Parameters
    ----------
    holders : callable
        Returns the writer and the backup of a service, the writer first.

    Attributes
    ----------
    held : ObservationBuffer
        Observations to write, this VM's included where it is a holder.
    written : WrittenMinutes
        Minutes that the store is known to have.
    outage_hours : set of int
        Hours in which a write failed, to be recorded with the next one.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        holders: Callable[[ServiceId], list[VmId]],
        writer: HistoryWriter,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.holders = holders
        self.writer = writer
        self.clock = clock
        self.held = ObservationBuffer(max_minutes=HELD_MINUTES)
        self.written = WrittenMinutes()
        self.write_due_s: dict[BatchKey, float] = {}
        self.begun: set[BatchKey] = set()
        self.closed: set[BatchKey] = set()
        self.outage_hours: set[int] = set()

    @property
    def now_hour(self) -> int:
        """Hours since the Unix epoch."""
        return int(self.clock.wall_s() // SECONDS_PER_HOUR)

    def add(self, message: Observations) -> None:
        """Hold the counts of a message that are not written yet."""
        observer = (message.vm, message.incarnation)
        for one in message.counts:
            if self.written.has(observer, one.service, one.minute):
                continue
            counts = Counts(served=one.served, failed=one.failed, refused=one.refused)
            self.held.add(observer, one.service, one.minute, counts)

    def evict(self) -> int:
        """Forget what is too old; return the number of dropped minutes."""
        dropped = self.held.evict(self.now_hour)
        self.written.evict(self.now_hour)
        self.write_due_s = {
            k: s for k, s in self.write_due_s.items() if k in self.held.batches
        }
        oldest = self.now_hour - MAX_OBSERVATION_AGE_HOURS
        self.begun = {key for key in self.begun if key[1] >= oldest}
        self.closed = {key for key in self.closed if key[1] >= oldest}
        self.outage_hours = {hour for hour in self.outage_hours if hour >= oldest}
        return dropped

    async def write_due(self, *, everything: bool = False) -> None:
        """Write what is due, or all; a bounded number of merges at a time."""
        done = 0
        for key in sorted(self.held.batches, key=lambda key: key[1]):
            if done == MERGES_PER_TICK and not everything:
                return
            if everything or self._is_due(key):
                done += 1
                batch = self.held.batches.get(key)
                if batch is not None and not await self._write(batch):
                    return

    def _is_due(self, key: BatchKey) -> bool:
        """Tell whether this VM writes the hour now."""
        service, hour = key
        holders = self.holders(service)
        if self.vm not in holders:
            return False
        now_s = self.clock.now_s()
        is_backup = self.vm != holders[0]
        due_s = self.write_due_s.setdefault(key, now_s + self._delay_s(key, is_backup))
        into_hour_s = self.clock.wall_s() - (hour + 1) * SECONDS_PER_HOUR
        has_ended = into_hour_s >= HOUR_END_DELAY_S and key not in self.closed
        return now_s >= due_s or (has_ended and not is_backup)

    def _delay_s(self, key: BatchKey, is_backup: bool) -> float:
        if is_backup:
            return BACKUP_DELAY_S
        return WRITE_PERIOD_S if key in self.begun else FIRST_WRITE_S

    async def _write(self, batch: HourBatch) -> bool:
        """Write one batch; False if the store cannot be used now."""
        outages = tuple(sorted(self.outage_hours))
        sent = batch.masks()
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
        self.write_due_s.pop(key, None)
        self.begun.add(key)
        end_s = (batch.hour + 1) * SECONDS_PER_HOUR
        if self.clock.wall_s() >= end_s + HOUR_END_DELAY_S:
            self.closed.add(key)
        for observer, minutes in sent.items():
            mask = MinuteMask(service=batch.service, hour=batch.hour, minutes=minutes)
            self.written.record(observer, mask, self.now_hour)
            self.held.remove_written(observer, mask.service, mask.hour, minutes)
        return True
