"""Sending of this VM's observations to the writer and the backup of services."""

from collections.abc import Awaitable, Callable, Iterable

from ebonyladder._status_aggregator import Aggregator
from ebonyladder.messages import MinuteMask, Observations, ObservationsAck
from ebonyladder.observation import (
    MAX_OBSERVATION_AGE_HOURS,
    ObservationBuffer,
    Observer,
)
from ebonyladder.status import MINUTES_PER_HOUR, Counts
from ebonyladder.types import Incarnation, ServiceId, VmId

# Ten services have 28,800 minutes in 48 h.
MAX_UNWRITTEN_MINUTES = 60_000

Call = Callable[[VmId, Observations], Awaitable[ObservationsAck | None]]


class Sender:
    """Send each minute once to each aggregator; keep it until it is written.

    Parameters
    ----------
    observer : Observer
        This VM and its incarnation.
    local_aggregator : Aggregator
        Aggregator of this VM; it also has the minutes known to be written.
    call : callable
        Sends a message to another VM; returns None if there was no answer.

    Attributes
    ----------
    unwritten : ObservationBuffer
        Observations of this VM that are not known to be written to the store.
    acknowledged_minutes : dict
        Minutes that an incarnation of an aggregator has confirmed to buffer.
    written_sent : dict
        Masks of written minutes that an incarnation of an aggregator has got.
    """

    def __init__(
        self, *, observer: Observer, local_aggregator: Aggregator, call: Call
    ) -> None:
        self.observer = observer
        self.local_aggregator = local_aggregator
        self.call = call
        self.unwritten = ObservationBuffer(max_minutes=MAX_UNWRITTEN_MINUTES)
        self.acknowledged_minutes: dict[
            tuple[VmId, Incarnation], set[tuple[ServiceId, int]]
        ] = {}
        self.written_sent: dict[tuple[VmId, Incarnation], set[MinuteMask]] = {}
        self.peer_incarnation: dict[VmId, Incarnation] = {}

    def add(self, service: ServiceId, minute: int, counts: Counts) -> None:
        """Add a minute, counted from the epoch, that has ended."""
        self.unwritten.add(self.observer, service, minute, counts)

    async def send(self) -> set[ServiceId]:
        """Send to the aggregators; return the services without an acknowledgement."""
        by_aggregator: dict[VmId, list[ServiceId]] = {}
        for service in {service for service, _ in self.unwritten.batches}:
            for aggregator in self.local_aggregator.aggregators(service):
                by_aggregator.setdefault(aggregator, []).append(service)
        undelivered = {service for service, _ in self.unwritten.batches}
        for aggregator, services in by_aggregator.items():
            if aggregator == self.observer[0]:
                self.buffer_locally(services)
            elif not await self._send_to(aggregator, services):
                continue
            undelivered.difference_update(services)
        return undelivered

    def buffer_locally(self, services: Iterable[ServiceId]) -> None:
        """Buffer the services' observations on this VM, which may write them."""
        for service in services:
            for message in self.unwritten.messages(service):
                self.local_aggregator.add(message)

    def remove_locally_written(self) -> None:
        """Remove the minutes that this VM wrote to the store itself."""
        pending = self._pending_masks(
            {service for service, _ in self.unwritten.batches}
        )
        self._remove_written(
            self.local_aggregator.written.written_among(self.observer, pending)
        )

    async def _send_to(self, aggregator: VmId, services: list[ServiceId]) -> bool:
        """Send the minutes that the aggregator lacks; False if it did not answer."""
        counts = [
            c for s in services for m in self.unwritten.messages(s) for c in m.counts
        ]
        incarnation = self.peer_incarnation.get(aggregator, Incarnation(-1))
        acknowledged = self.acknowledged_minutes.setdefault(
            (aggregator, incarnation), set()
        )
        new = [c for c in counts if (c.service, c.minute) not in acknowledged]
        written_sent = self.written_sent.get((aggregator, incarnation), set())
        written = (
            set(self.local_aggregator.written.written_minutes(self.observer, services))
            - written_sent
        )
        message = Observations(
            vm=self.observer[0],
            incarnation=self.observer[1],
            counts=new,
            pending=self._pending_masks(services),
            written=list(written),
        )
        answer = await self.call(aggregator, message)
        if answer is None:
            return False
        if answer.incarnation != incarnation:
            # The buffer of the earlier incarnation is lost: the next tick sends its
            # minutes again.
            self.acknowledged_minutes.pop((aggregator, incarnation), None)
            self.peer_incarnation[aggregator] = answer.incarnation
            acknowledged = self.acknowledged_minutes.setdefault(
                (aggregator, answer.incarnation), set()
            )
        acknowledged.update((c.service, c.minute) for c in new)
        self.written_sent[aggregator, answer.incarnation] = written_sent | written
        for mask in answer.written:
            self.local_aggregator.written.record(
                self.observer, mask, self.local_aggregator.now_hour
            )
        self._remove_written(answer.written)
        return True

    def _pending_masks(self, services: Iterable[ServiceId]) -> list[MinuteMask]:
        selected = set(services)
        return [
            MinuteMask(service=service, hour=hour, minutes=mask)
            for (service, hour), batch in self.unwritten.batches.items()
            if service in selected
            for mask in batch.masks().values()
        ]

    def _remove_written(self, masks: Iterable[MinuteMask]) -> None:
        for mask in masks:
            self.unwritten.remove_minutes(
                self.observer, mask.service, mask.hour, mask.minutes
            )

    def evict(self, live_vms: set[VmId]) -> int:
        """Evict old minutes and state of VMs not live; return the number of minutes."""
        evicted = self.unwritten.evict(self.local_aggregator.now_hour)
        unwritten_minutes = set(self._unwritten_minutes())
        self.acknowledged_minutes = {
            key: minutes & unwritten_minutes
            for key, minutes in self.acknowledged_minutes.items()
            if key[0] in live_vms
        }
        oldest = self.local_aggregator.now_hour - MAX_OBSERVATION_AGE_HOURS
        self.written_sent = {
            key: {mask for mask in masks if mask.hour >= oldest}
            for key, masks in self.written_sent.items()
            if key[0] in live_vms
        }
        return evicted

    def _unwritten_minutes(self) -> Iterable[tuple[ServiceId, int]]:
        for (service, hour), batch in self.unwritten.batches.items():
            for minutes in batch.minutes.values():
                for minute in minutes:
                    yield service, hour * MINUTES_PER_HOUR + minute
