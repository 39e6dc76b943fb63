"""Deduplication of forwarded calls (hops): one that is delivered again runs once."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Message
from ebonyladder.types import HopId, Incarnation, VmId

HOP_TTL_S = 60.0
DEFAULT_MAX_HOPS = 4_096
DEFAULT_MAX_BYTES = 16 * 1024 * 1024


class HopRecord:
    """First delivery of one hop.

    Parameters
    ----------
    task : asyncio.Task
        Run of the hop; its result is the answer.
    """

    def __init__(self, *, task: "asyncio.Task[Message]") -> None:
        self.task = task
        self.ended_at_s: float | None = None
        self.size_bytes = 0

    def is_expired(self, cutoff_at_s: float) -> bool:
        """Tell whether the run ended at or before ``cutoff_at_s``."""
        return self.ended_at_s is not None and self.ended_at_s <= cutoff_at_s


class PeerHops:
    """Hops of one incarnation of a VM, in order of arrival.

    Parameters
    ----------
    incarnation : Incarnation
        Newest known incarnation of the VM.
    """

    def __init__(self, *, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.records: dict[int, HopRecord] = {}
        self.size_bytes = 0
        # Highest number of an evicted record. A hop at or below it that
        # has no record may have run before.
        self.evicted_up_to = -1

    def evict(self, number: int) -> None:
        """Remove the record of a finished hop."""
        record = self.records.pop(number)
        self.size_bytes -= record.size_bytes
        self.evicted_up_to = max(self.evicted_up_to, number)


class DeduplicationTable:
    """Run each hop at most once and answer repeated deliveries.

    A run continues if the delivery that started it is cancelled, so that its
    answer is available when the hop is delivered again over a new connection.

    Parameters
    ----------
    clock : Clock
        Clock for the TTL of the records.
    max_hops : int
        Maximum number of records of each peer.
    max_bytes : int
        Maximum encoded size of the stored answers of each peer.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_hops: int = DEFAULT_MAX_HOPS,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        self.clock = clock
        self.max_hops = max_hops
        self.max_bytes = max_bytes
        self.peers: dict[VmId, PeerHops] = {}
        self.running: set[asyncio.Task[Message]] = set()

    async def run(
        self, hop: HopId, run_request: Callable[[], Awaitable[Message]]
    ) -> Message:
        """Return the answer of the hop's first run; start it if it is new.

        Parameters
        ----------
        hop : HopId
            Identity of the delivery.
        run_request : callable
            Runs the request; called for the first delivery only.

        Raises
        ------
        RequestError
            DUPLICATE (UNKNOWN) for a hop of an older incarnation or one whose
            record was evicted; OVERLOADED (NOT_RUN) if the table is full of
            hops that are still running.
        EbonyladderError
            The failure of the first run, also for repeated deliveries.
        """
        peer = self._hops_of(hop)
        record = peer.records.get(hop.number)
        if record is None:
            record = self._start(peer, hop, run_request)
        return await asyncio.shield(record.task)

    async def drain(self) -> None:
        """Return once no hop runs."""
        while self.running:
            await asyncio.wait(self.running)

    def _hops_of(self, hop: HopId) -> PeerHops:
        peer = self.peers.get(hop.vm)
        if peer is None or peer.incarnation < hop.incarnation:
            peer = self.peers[hop.vm] = PeerHops(incarnation=hop.incarnation)
        elif peer.incarnation > hop.incarnation:
            raise self._error(ErrorCode.DUPLICATE, hop, Outcome.UNKNOWN)
        return peer

    def _start(
        self, peer: PeerHops, hop: HopId, run_request: Callable[[], Awaitable[Message]]
    ) -> HopRecord:
        self._evict_expired(peer)
        if hop.number <= peer.evicted_up_to:
            raise self._error(ErrorCode.DUPLICATE, hop, Outcome.UNKNOWN)
        if len(peer.records) >= self.max_hops and not self._evict_oldest(peer):
            raise self._error(ErrorCode.OVERLOADED, hop, Outcome.NOT_RUN)
        task = asyncio.ensure_future(self._run(run_request))
        record = peer.records[hop.number] = HopRecord(task=task)
        self.running.add(task)
        task.add_done_callback(lambda _: self._end(peer, record))
        return record

    @staticmethod
    async def _run(run_request: Callable[[], Awaitable[Message]]) -> Message:
        return await run_request()

    def _end(self, peer: PeerHops, record: HopRecord) -> None:
        self.running.discard(record.task)
        record.ended_at_s = self.clock.now_s()
        if not record.task.cancelled() and record.task.exception() is None:
            record.size_bytes = len(msgspec.msgpack.encode(record.task.result()))
            peer.size_bytes += record.size_bytes
        while peer.size_bytes > self.max_bytes and self._evict_oldest(peer):
            pass

    def _evict_expired(self, peer: PeerHops) -> None:
        """Evict the oldest records up to the first that has not expired."""
        cutoff_at_s = self.clock.now_s() - HOP_TTL_S
        while True:
            number = self._oldest_finished(peer)
            if number is None or not peer.records[number].is_expired(cutoff_at_s):
                return
            peer.evict(number)

    def _evict_oldest(self, peer: PeerHops) -> bool:
        number = self._oldest_finished(peer)
        if number is None:
            return False
        peer.evict(number)
        return True

    @staticmethod
    def _oldest_finished(peer: PeerHops) -> int | None:
        return next((n for n, r in peer.records.items() if r.task.done()), None)

    @staticmethod
    def _error(code: ErrorCode, hop: HopId, outcome: Outcome) -> RequestError:
        return RequestError(code=code, step=Step.QUEUE, peer=hop.vm, outcome=outcome)
