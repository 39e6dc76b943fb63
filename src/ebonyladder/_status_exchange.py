"""Exchange of observations: this VM's part as observer and as holder."""

from absl import logging

from ebonyladder._history_writer import HistoryWriter
from ebonyladder._status_holder import Holder
from ebonyladder._status_sender import Sender
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError, PeerError
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, Observations, ObservationsAck
from ebonyladder.observation import MinuteCounter, minute_masks
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import ServiceId, VmId

CALL_TIMEOUT_S = 5
HOLDERS = 2


class Exchange:
    """Count, send, hold and write; called by one task and the handler."""

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
        self.clock = clock
        self.minute_counter = MinuteCounter()
        self.holder = Holder(vm=vm, holders=self.holders, writer=writer, clock=clock)
        self.sender = Sender(
            observer=(vm, peers.incarnation), holder=self.holder, call=self._call
        )
        self.is_draining = False

    def start(self) -> None:
        """Answer other VMs' observations."""
        self.peers.handle(Observations, self._receive)

    async def tick(self, services: list[ServiceId]) -> None:
        """Send what has ended, write what is due."""
        self.minute_counter.mark_observed(services, self.clock.wall_s())
        self._collect()
        await self.sender.send()
        await self.holder.write_due()
        self.sender.forget_written()
        await self._pass_on()
        self._evict()

    async def drain(self) -> None:
        """Close the current minute, send it, and write or hand over all."""
        self.is_draining = True
        self._collect(everything=True)
        # What no holder took is written by this VM itself.
        self.sender.keep(await self.sender.send())
        await self.holder.write_due(everything=True)
        await self._pass_on()
        logging.info("[status] Drained. held=%d", self.holder.held.size)

    def holders(self, service: ServiceId) -> list[VmId]:
        """Return the writer and the backup of a service."""
        names = [m.vm for m in self.membership.members()]
        if self.is_draining:
            names = [name for name in names if name != self.vm]
        return rendezvous_order(f"status/{service}", names)[:HOLDERS]

    def _collect(self, *, everything: bool = False) -> None:
        ended = self.minute_counter.close_minutes(
            self.clock.wall_s(), include_current=everything
        )
        for (service, minute), counts in ended.items():
            self.sender.add(service, minute, counts)

    async def _receive(self, peer: PeerIdentity, message: Message) -> Message:
        observer = (message.vm, message.incarnation)
        self.holder.add(message)
        for mask in message.written:
            self.holder.written.record(observer, mask, self.holder.now_hour)
            self.holder.held.remove_written(
                observer, mask.service, mask.hour, mask.minutes
            )
        return ObservationsAck(
            incarnation=self.peers.incarnation,
            written=self.holder.written.written_among(observer, message.pending),
        )

    async def _pass_on(self) -> None:
        """Hand what this VM no longer holds for a service to its writer."""
        for service in {service for service, _ in self.holder.held.batches}:
            holders = self.holders(service)
            if self.vm in holders or not holders:
                continue
            for message in list(self.holder.held.messages(service)):
                answers = [await self._call(vm, message) for vm in holders]
                if answers[0] is None:
                    continue
                for mask in minute_masks((c.service, c.minute) for c in message.counts):
                    observer = (message.vm, message.incarnation)
                    self.holder.held.remove_written(
                        observer, service, mask.hour, mask.minutes
                    )

    async def _call(self, vm: VmId, message: Observations) -> ObservationsAck | None:
        try:
            return await self.peers.call(vm, message, timeout_s=CALL_TIMEOUT_S)
        except PeerError as error:
            logging.info("[status] Holder did not answer. vm=%s error=%s", vm, error)
            return None
        except EbonyladderError as error:
            logging.warning("[status] Holder refused. vm=%s error=%s", vm, error)
            return None

    def _evict(self) -> None:
        live = {member.vm for member in self.membership.members()}
        dropped = self.sender.evict(live) + self.holder.evict()
        if dropped:
            logging.warning("[status] Observations were dropped. minutes=%d", dropped)
