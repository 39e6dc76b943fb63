"""Exchange of observations between VMs, as observer and as aggregator."""

from absl import logging

from ebonyladder._history_writer import HistoryWriter
from ebonyladder._status_aggregator import Aggregator
from ebonyladder._status_sender import Sender
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError, PeerError
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, Observations, ObservationsAck
from ebonyladder.observation import MinuteCounter, minute_masks
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import ServiceId, VmId

CALL_TIMEOUT_S = 5
AGGREGATORS_PER_SERVICE = 2


class Exchange:
    """Count this VM's calls, send the counts, and aggregate those of other VMs.

    The status task calls ``tick``; the message handler runs beside it.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        peers: PeerConnections,
        membership: Membership,
        writer: HistoryWriter,
        clock: Clock,
    ) -> None:
        self.vm = vm
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.minute_counter = MinuteCounter()
        self.aggregator = Aggregator(
            vm=vm, aggregators=self.aggregators, writer=writer, clock=clock
        )
        self.sender = Sender(
            observer=(vm, peers.incarnation),
            local_aggregator=self.aggregator,
            call=self._call,
        )
        self.is_draining = False

    def start(self) -> None:
        """Register the handler for observations of other VMs."""
        self.peers.handle(Observations, self._receive)

    async def tick(self, services: list[ServiceId]) -> None:
        """Send the minutes that have ended and write the hours that are due."""
        self.minute_counter.mark_observed(services, self.clock.wall_s())
        self._collect_ended()
        await self.sender.send()
        await self.aggregator.write_due_batches()
        self.sender.remove_locally_written()
        await self._hand_over()
        self._evict()

    async def drain(self) -> None:
        """Close the current minute, send it, and write or hand over all minutes."""
        self.is_draining = True
        self._collect_ended(include_current=True)
        # This VM itself writes the services that no aggregator acknowledged.
        self.sender.buffer_locally(await self.sender.send())
        await self.aggregator.write_due_batches(write_all=True)
        await self._hand_over()
        logging.info("[status] Drained. held=%d", self.aggregator.buffer.size)

    def aggregators(self, service: ServiceId) -> list[VmId]:
        """Return the VMs that aggregate a service: the writer, then the backup."""
        vms = [m.vm for m in self.membership.members()]
        if self.is_draining:
            vms = [vm for vm in vms if vm != self.vm]
        return rendezvous_order(f"status/{service}", vms)[:AGGREGATORS_PER_SERVICE]

    def _collect_ended(self, *, include_current: bool = False) -> None:
        ended = self.minute_counter.close_minutes(
            self.clock.wall_s(), include_current=include_current
        )
        for (service, minute), counts in ended.items():
            self.sender.add(service, minute, counts)

    async def _receive(self, peer: PeerIdentity, message: Message) -> Message:
        observer = (message.vm, message.incarnation)
        self.aggregator.add(message)
        for mask in message.written:
            self.aggregator.written.record(observer, mask, self.aggregator.now_hour)
            self.aggregator.buffer.remove_minutes(
                observer, mask.service, mask.hour, mask.minutes
            )
        return ObservationsAck(
            incarnation=self.peers.incarnation,
            written=self.aggregator.written.written_among(observer, message.pending),
        )

    async def _hand_over(self) -> None:
        """Hand over observations of services that other VMs aggregate now.

        They stay in the buffer until the writer of the service acknowledges them.
        """
        for service in {service for service, _ in self.aggregator.buffer.batches}:
            aggregators = self.aggregators(service)
            if self.vm in aggregators or not aggregators:
                continue
            for message in list(self.aggregator.buffer.messages(service)):
                answers = [await self._call(vm, message) for vm in aggregators]
                if answers[0] is None:
                    continue
                for mask in minute_masks((c.service, c.minute) for c in message.counts):
                    observer = (message.vm, message.incarnation)
                    self.aggregator.buffer.remove_minutes(
                        observer, service, mask.hour, mask.minutes
                    )

    async def _call(self, vm: VmId, message: Observations) -> ObservationsAck | None:
        try:
            return await self.peers.call(vm, message, timeout_s=CALL_TIMEOUT_S)
        except PeerError as error:
            logging.info(
                "[status] Aggregator did not answer. vm=%s error=%s", vm, error
            )
            return None
        except EbonyladderError as error:
            logging.warning(
                "[status] Aggregator returned an error. vm=%s error=%s", vm, error
            )
            return None

    def _evict(self) -> None:
        live_vms = {member.vm for member in self.membership.members()}
        evicted = self.sender.evict(live_vms) + self.aggregator.evict()
        if evicted:
            logging.warning(
                "[status] Unwritten observations were evicted. minutes=%d", evicted
            )
