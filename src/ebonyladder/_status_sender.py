"""Sender of this VM's observations to the writer and the backup."""

from collections.abc import Awaitable, Callable, Iterable

from ebonyladder._status_holder import Holder
from ebonyladder.messages import MinuteMask, Observations, ObservationsAck
from ebonyladder.observation import (
    MAX_OBSERVATION_AGE_HOURS,
    ObservationBuffer,
    Observer,
)
from ebonyladder.status import MINUTES_PER_HOUR, Counts
from ebonyladder.types import Incarnation, ServiceId, VmId

# 48 h of ten services are 28,800 minutes.
OWN_MINUTES = 60_000

Call = Callable[[VmId, Observations], Awaitable[ObservationsAck | None]]


class Sender:
    """Send each minute once to each holder; keep it until it is written.

    Parameters
    ----------
    observer : Observer
        This VM's incarnation.
    holder : Holder
        This VM as a holder; it also knows what is written.
    call : callable
        Sends a message to another VM; None if there was no answer.

    Attributes
    ----------
    own : ObservationBuffer
        Observations that are not known to be written.
    """

    def __init__(self, *, observer: Observer, holder: Holder, call: Call) -> None:
        self.observer = observer
        self.holder = holder
        self.call = call
        self.own = ObservationBuffer(max_minutes=OWN_MINUTES)
        self.held_at: dict[tuple[VmId, Incarnation], set[tuple[ServiceId, int]]] = {}
        self.told: dict[tuple[VmId, Incarnation], set[MinuteMask]] = {}
        self.peer_incarnation: dict[VmId, Incarnation] = {}

    def add(self, service: ServiceId, minute: int, counts: Counts) -> None:
        """Keep a minute, counted from the epoch, that has ended."""
        self.own.add(self.observer, service, minute, counts)

    async def send(self) -> set[ServiceId]:
        """Send to the holders; return the services that no holder took."""
        by_holder: dict[VmId, list[ServiceId]] = {}
        for service in {service for service, _ in self.own.batches}:
            for holder in self.holder.holders(service):
                by_holder.setdefault(holder, []).append(service)
        left = {service for service, _ in self.own.batches}
        for holder, services in by_holder.items():
            if holder == self.observer[0]:
                self.keep(services)
            elif not await self._send_to(holder, services):
                continue
            left.difference_update(services)
        return left

    def keep(self, services: Iterable[ServiceId]) -> None:
        """Hold the services' observations on this VM, which may write them."""
        for service in services:
            for message in self.own.messages(service):
                self.holder.add(message)

    def forget_written(self) -> None:
        """Drop what this VM wrote itself."""
        pending = self._pending({service for service, _ in self.own.batches})
        self._forget(self.holder.written.written_among(self.observer, pending))

    async def _send_to(self, holder: VmId, services: list[ServiceId]) -> bool:
        """Send what the holder lacks; False if it did not answer."""
        counts = [c for s in services for m in self.own.messages(s) for c in m.counts]
        incarnation = self.peer_incarnation.get(holder, Incarnation(-1))
        known = self.held_at.setdefault((holder, incarnation), set())
        new = [c for c in counts if (c.service, c.minute) not in known]
        told = self.told.get((holder, incarnation), set())
        written = (
            set(self.holder.written.written_minutes(self.observer, services)) - told
        )
        message = Observations(
            vm=self.observer[0],
            incarnation=self.observer[1],
            counts=new,
            pending=self._pending(services),
            written=list(written),
        )
        answer = await self.call(holder, message)
        if answer is None:
            return False
        if answer.incarnation != incarnation:
            # What an earlier incarnation held is gone; the next tick sends it again.
            self.held_at.pop((holder, incarnation), None)
            self.peer_incarnation[holder] = answer.incarnation
            known = self.held_at.setdefault((holder, answer.incarnation), set())
        known.update((c.service, c.minute) for c in new)
        self.told[holder, answer.incarnation] = told | written
        for mask in answer.written:
            self.holder.written.record(self.observer, mask, self.holder.now_hour)
        self._forget(answer.written)
        return True

    def _pending(self, services: Iterable[ServiceId]) -> list[MinuteMask]:
        wanted = set(services)
        return [
            MinuteMask(service=service, hour=hour, minutes=mask)
            for (service, hour), batch in self.own.batches.items()
            if service in wanted
            for mask in batch.masks().values()
        ]

    def _forget(self, masks: Iterable[MinuteMask]) -> None:
        for mask in masks:
            self.own.remove_written(
                self.observer, mask.service, mask.hour, mask.minutes
            )

    def evict(self, live: set[VmId]) -> int:
        """Forget what is too old; return the number of dropped minutes."""
        dropped = self.own.evict(self.holder.now_hour)
        kept = set(self._own_minutes())
        self.held_at = {
            key: minutes & kept
            for key, minutes in self.held_at.items()
            if key[0] in live
        }
        oldest = self.holder.now_hour - MAX_OBSERVATION_AGE_HOURS
        self.told = {
            key: {mask for mask in masks if mask.hour >= oldest}
            for key, masks in self.told.items()
            if key[0] in live
        }
        return dropped

    def _own_minutes(self) -> Iterable[tuple[ServiceId, int]]:
        for (service, hour), batch in self.own.batches.items():
            for minutes in batch.minutes.values():
                for minute in minutes:
                    yield service, hour * MINUTES_PER_HOUR + minute
