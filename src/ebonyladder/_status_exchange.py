"""Exchange of observations: from each VM to the writer, its backup, the store."""

from collections.abc import Iterable

from absl import logging

from ebonyladder._history_writer import HistoryWriter
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, PeerError, StoreError
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    Message,
    MinuteMask,
    Observations,
    ObservationsAck,
)
from ebonyladder.observation import (
    LATE_LIMIT_HOURS,
    HourBatch,
    MinuteLog,
    ObservationBuffer,
    Observer,
    WrittenMinutes,
    masks_of,
)
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.routing import rendezvous_order
from ebonyladder.status import MINUTES_PER_HOUR, SECONDS_PER_HOUR, Counts
from ebonyladder.types import Incarnation, ServiceId, VmId

# A record gets at most six supplements an hour from each writer.
WRITE_PERIOD_S = 600
# VMs send the last minute of an hour within two ticks of 30 s.
HOUR_END_DELAY_S = 90
# A backup writes by itself what its writer has not written for this long.
BACKUP_DELAY_S = 3 * WRITE_PERIOD_S
MERGES_PER_TICK = 20
CALL_TIMEOUT_S = 5
HOLDERS = 2
# 48 h of ten services from eight VMs are 230,000 minutes; a larger fleet keeps
# fewer hours.
HELD_MINUTES = 300_000
OWN_MINUTES = 60_000

BatchKey = tuple[ServiceId, int]


class Exchange:
    """Hold, send and write observations; called by one task and the handler.

    Attributes
    ----------
    own : ObservationBuffer
        This VM's observations that are not known to be written.
    held : ObservationBuffer
        Observations to write, this VM's included where it is a holder.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        peers: PeerLinks,
        membership: Membership,
        writer: HistoryWriter,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.peers = peers
        self.membership = membership
        self.writer = writer
        self.clock = clock
        self.log = MinuteLog()
        self.own = ObservationBuffer(limit=OWN_MINUTES)
        self.held = ObservationBuffer(limit=HELD_MINUTES)
        self.held_at: dict[tuple[VmId, Incarnation], set[tuple[ServiceId, int]]] = {}
        self.peer_incarnation: dict[VmId, Incarnation] = {}
        self.told: dict[tuple[VmId, Incarnation], set[MinuteMask]] = {}
        self.written = WrittenMinutes()
        self.closed: set[BatchKey] = set()
        self.write_due_s: dict[BatchKey, float] = {}
        self.outage_hours: set[int] = set()
        self.is_draining = False

    def start(self) -> None:
        """Answer other VMs' observations."""
        self.peers.handle(Observations, self._receive)

    @property
    def observer(self) -> Observer:
        """This VM's incarnation."""
        return self.vm, self.peers.incarnation

    @property
    def now_hour(self) -> int:
        """Hours since the Unix epoch."""
        return int(self.clock.wall_s() // SECONDS_PER_HOUR)

    async def tick(self, services: list[ServiceId]) -> None:
        """Send what has ended, write what is due."""
        self.log.mark_alive(services, self.clock.wall_s())
        self._collect()
        await self._send_own()
        await self._write_due()
        await self._pass_on()
        self._trim()

    async def drain(self) -> None:
        """Close the current minute, send it, and write or hand over all."""
        self.is_draining = True
        self._collect(everything=True)
        # What no holder took is written by this VM itself.
        self._hold_own(await self._send_own())
        await self._write_due(everything=True)
        await self._pass_on()
        logging.info("[status] Drained. own=%d held=%d", self.own.size, self.held.size)

    def holders(self, service: ServiceId) -> list[VmId]:
        """Return the writer and the backup of a service."""
        names = [m.vm for m in self.membership.members()]
        if self.is_draining:
            names = [name for name in names if name != self.vm]
        return rendezvous_order(f"status/{service}", names)[:HOLDERS]

    def _collect(self, *, everything: bool = False) -> None:
        wall_s = self.clock.wall_s()
        ended = self.log.close(wall_s, everything=everything)
        for (service, minute), counts in ended.items():
            self.own.add(self.observer, service, minute, counts)

    async def _send_own(self) -> set[ServiceId]:
        """Send to the holders; return the services that no holder took."""
        by_holder: dict[VmId, list[ServiceId]] = {}
        for service in {service for service, _ in self.own.batches}:
            for holder in self.holders(service):
                by_holder.setdefault(holder, []).append(service)
        left = {service for service, _ in self.own.batches}
        for holder, services in by_holder.items():
            if holder == self.vm:
                self._hold_own(services)
                left.difference_update(services)
            elif await self._send(holder, services):
                left.difference_update(services)
        return left

    def _hold_own(self, services: Iterable[ServiceId]) -> None:
        for service in services:
            for message in self.own.messages(service):
                self._add(message)
        self._forget_written(self.written.among(self.observer, self._pending(services)))

    async def _send(self, holder: VmId, services: list[ServiceId]) -> bool:
        """Send what the holder lacks; False if it did not answer."""
        counts = [c for s in services for m in self.own.messages(s) for c in m.counts]
        incarnation = self.peer_incarnation.get(holder, Incarnation(-1))
        known = self.held_at.setdefault((holder, incarnation), set())
        new = [c for c in counts if (c.service, c.minute) not in known]
        told = self.told.get((holder, incarnation), set())
        written = set(self.written.of(self.observer, services)) - told
        message = Observations(
            vm=self.vm,
            incarnation=self.peers.incarnation,
            counts=new,
            pending=self._pending(services),
            written=list(written),
        )
        answer = await self._call(holder, message)
        if answer is None:
            return False
        if answer.incarnation != incarnation:
            # What an earlier incarnation held is gone; the next tick sends it again.
            self.held_at.pop((holder, incarnation), None)
            self.peer_incarnation[holder] = answer.incarnation
            known = self.held_at.setdefault((holder, answer.incarnation), set())
        known.update((c.service, c.minute) for c in new)
        self.told[holder, answer.incarnation] = told | written
        self._forget_written(answer.written)
        return True

    def _pending(self, services: Iterable[ServiceId]) -> list[MinuteMask]:
        wanted = set(services)
        return [
            MinuteMask(service=service, hour=hour, minutes=mask)
            for (service, hour), batch in self.own.batches.items()
            if service in wanted
            for mask in batch.masks().values()
        ]

    def _forget_written(self, masks: Iterable[MinuteMask]) -> None:
        for mask in masks:
            self.written.note(self.observer, mask)
            self.own.forget(self.observer, mask.service, mask.hour, mask.minutes)

    async def _receive(self, peer: PeerIdentity, message: Message) -> Message:
        observer = (message.vm, message.incarnation)
        self._add(message)
        for mask in message.written:
            self.written.note(observer, mask)
            self.held.forget(observer, mask.service, mask.hour, mask.minutes)
        return ObservationsAck(
            incarnation=self.peers.incarnation,
            written=self.written.among(observer, message.pending),
        )

    def _add(self, message: Observations) -> None:
        observer = (message.vm, message.incarnation)
        for one in message.counts:
            if self.written.has(observer, one.service, one.minute):
                continue
            counts = Counts(served=one.served, failed=one.failed, refused=one.refused)
            self.held.add(observer, one.service, one.minute, counts)

    async def _write_due(self, *, everything: bool = False) -> None:
        done = 0
        for key in sorted(self.held.batches, key=lambda key: key[1]):
            if done == MERGES_PER_TICK:
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
        delay_s = BACKUP_DELAY_S if is_backup else WRITE_PERIOD_S
        due_s = self.write_due_s.setdefault(key, now_s + delay_s)
        into_hour_s = self.clock.wall_s() - (hour + 1) * SECONDS_PER_HOUR
        has_ended = into_hour_s >= HOUR_END_DELAY_S and key not in self.closed
        return now_s >= due_s or (has_ended and not is_backup)

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
        end_s = (batch.hour + 1) * SECONDS_PER_HOUR
        if self.clock.wall_s() >= end_s + HOUR_END_DELAY_S:
            self.closed.add(key)
        for observer, minutes in sent.items():
            mask = MinuteMask(service=batch.service, hour=batch.hour, minutes=minutes)
            self.written.note(observer, mask)
            self.held.forget(observer, mask.service, mask.hour, minutes)
            if observer == self.observer:
                self.own.forget(observer, mask.service, mask.hour, minutes)
        return True

    async def _pass_on(self) -> None:
        """Hand what this VM no longer holds for a service to its writer."""
        for service in {service for service, _ in self.held.batches}:
            holders = self.holders(service)
            if self.vm in holders or not holders:
                continue
            for message in list(self.held.messages(service)):
                answers = [await self._call(vm, message) for vm in holders]
                if answers[0] is None:
                    continue
                for mask in masks_of((c.service, c.minute) for c in message.counts):
                    observer = (message.vm, message.incarnation)
                    self.held.forget(observer, service, mask.hour, mask.minutes)

    async def _call(self, vm: VmId, message: Observations) -> ObservationsAck | None:
        try:
            return await self.peers.call(vm, message, timeout_s=CALL_TIMEOUT_S)
        except PeerError as error:
            logging.info("[status] Holder did not answer. vm=%s error=%s", vm, error)
            return None
        except EbonyladderError as error:
            logging.warning("[status] Holder refused. vm=%s error=%s", vm, error)
            return None

    def _trim(self) -> None:
        dropped = self.own.trim(self.now_hour) + self.held.trim(self.now_hour)
        if dropped:
            logging.warning("[status] Observations were dropped. minutes=%d", dropped)
        self.written.trim(self.now_hour)
        self.write_due_s = {
            k: s for k, s in self.write_due_s.items() if k in self.held.batches
        }
        oldest = self.now_hour - LATE_LIMIT_HOURS
        self.closed = {key for key in self.closed if key[1] >= oldest}
        self.outage_hours = {hour for hour in self.outage_hours if hour >= oldest}
        live = {member.vm for member in self.membership.members()}
        keep = set(self._own_minutes())
        self.held_at = {
            key: minutes & keep
            for key, minutes in self.held_at.items()
            if key[0] in live
        }
        self.told = {key: masks for key, masks in self.told.items() if key[0] in live}

    def _own_minutes(self) -> Iterable[tuple[ServiceId, int]]:
        for (service, hour), batch in self.own.batches.items():
            for minutes in batch.minutes.values():
                for minute in minutes:
                    yield service, hour * MINUTES_PER_HOUR + minute
