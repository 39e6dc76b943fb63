"""Fair queue of one endpoint, which shares its slots among organisations."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, OrganisationId

INITIAL_MEAN_SERVICE_S = 0.005
# Keeps the mean above zero if the clock does not advance during a request.
MIN_SERVICE_TIME_S = 1e-6
# Weight of one request in the moving averages of service times.
SERVICE_TIME_WEIGHT = 0.05
# A single slow statement must not delay an organisation for many rounds.
MAX_COST_QUANTA = 10.0
DEFAULT_MAX_WAITING = 1_000


class SlotWaiter:
    """Request that waits for a slot.

    Parameters
    ----------
    deadline_s : float
        Time on the queue's clock at which the request expires.
    """

    def __init__(self, *, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class OrganisationQueue:
    """Waiting requests of one organisation with its deficit.

    Parameters
    ----------
    mean_service_s : float
        Initial moving average of the time that its requests hold a slot.
    """

    def __init__(self, *, mean_service_s: float) -> None:
        self.waiters: deque[SlotWaiter] = deque()
        self.mean_service_s = mean_service_s
        self.deficit = 0.0

    @property
    def work_s(self) -> float:
        """Slot time in seconds that the waiting requests are expected to need."""
        return len(self.waiters) * self.mean_service_s


class FairQueue:
    """Share an endpoint's slots by deficit round robin over organisations.

    The deficit counts slot time, in units of the mean service time, so an
    organisation with slow statements runs fewer of them.

    Parameters
    ----------
    endpoint : EndpointId
        Endpoint whose slots are shared; the peer in errors.
    slots : int
        Statements that the endpoint runs concurrently.
    clock : Clock
        Clock of deadlines and service times.
    max_waiting : int
        Bound on the waiting requests of each organisation.
    """

    def __init__(
        self,
        *,
        endpoint: EndpointId,
        slots: int,
        clock: Clock,
        max_waiting: int = DEFAULT_MAX_WAITING,
    ) -> None:
        self.endpoint = endpoint
        self.slots = slots
        self.clock = clock
        self.max_waiting = max_waiting
        self.running = 0
        self.mean_service_s = INITIAL_MEAN_SERVICE_S
        self.organisations: dict[OrganisationId, OrganisationQueue] = {}
        self.active_queues: deque[OrganisationQueue] = deque()
        self.draining = False
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(len(queue.waiters) for queue in self.active_queues)

    @asynccontextmanager
    async def slot(
        self, *, organisation: OrganisationId, deadline_s: float
    ) -> AsyncIterator[None]:
        """Hold a slot within the block.

        Parameters
        ----------
        organisation : OrganisationId
            Organisation on whose behalf the request runs.
        deadline_s : float
            Time on the queue's clock at which the caller stops waiting.

        Raises
        ------
        RequestError
            OVERLOADED, DEADLINE or DRAINING, each NOT_RUN, before the block.
        """
        queue = self._queue_of(organisation)
        await self._acquire(queue, deadline_s)
        started_at_s = self.clock.now_s()
        try:
            yield
        finally:
            self._record_service_time(queue, self.clock.now_s() - started_at_s)
            self._release()

    async def drain(self) -> None:
        """Refuse new requests and return once those admitted have ended."""
        self.draining = True
        await self.idle.wait()

    def resize(self, slots: int) -> None:
        """Change the number of slots; those in use stay in use."""
        self.slots = slots
        self._dispatch()

    def expected_wait_s(self, organisation: OrganisationId) -> float:
        """Return the expected seconds until a new request would get a slot."""
        return self._expected_wait_s(self._queue_of(organisation))

    def _queue_of(self, organisation: OrganisationId) -> OrganisationQueue:
        queue = self.organisations.get(organisation)
        if queue is None:
            queue = OrganisationQueue(mean_service_s=self.mean_service_s)
            self.organisations[organisation] = queue
        return queue

    def _expected_wait_s(self, queue: OrganisationQueue) -> float:
        if self.running < self.slots and not self.active_queues:
            return 0.0
        # Until the new request is served, round robin gives each other organisation
        # at most as much slot time as this one, plus one turn.
        own_s = queue.work_s
        others_s = sum(
            min(other.work_s, own_s + max(self.mean_service_s, other.mean_service_s))
            for other in self.active_queues
            if other is not queue
        )
        return (own_s + others_s + self.mean_service_s) / max(self.slots, 1)

    async def _acquire(self, queue: OrganisationQueue, deadline_s: float) -> None:
        remaining_s = deadline_s - self.clock.now_s()
        self._require_admissible(queue, remaining_s)
        if self.running < self.slots and not self.active_queues:
            self.running += 1
            self.idle.clear()
            return
        waiter = self._enqueue(queue, deadline_s)
        try:
            async with asyncio.timeout(remaining_s):
                granted = await waiter.granted
        except TimeoutError:
            self._cancel_wait(queue, waiter)
            raise self._expired() from None
        except BaseException:
            self._cancel_wait(queue, waiter)
            raise
        if not granted:
            raise self._expired()

    def _require_admissible(self, queue: OrganisationQueue, remaining_s: float) -> None:
        if self.draining:
            raise self._error(ErrorCode.DRAINING)
        if remaining_s <= 0:
            raise self._expired()
        wait_s = self._expected_wait_s(queue)
        if wait_s and wait_s + queue.mean_service_s > remaining_s:
            slot_interval_s = self.mean_service_s / max(self.slots, 1)
            late_by_s = wait_s + queue.mean_service_s - remaining_s
            raise self._error(ErrorCode.OVERLOADED, max(late_by_s, slot_interval_s))
        if len(queue.waiters) >= self.max_waiting:
            raise self._error(ErrorCode.OVERLOADED, wait_s)

    def _enqueue(self, queue: OrganisationQueue, deadline_s: float) -> SlotWaiter:
        waiter = SlotWaiter(deadline_s=deadline_s)
        if not queue.waiters:
            queue.deficit = 0.0
            self.active_queues.append(queue)
        queue.waiters.append(waiter)
        self.idle.clear()
        return waiter

    def _cancel_wait(self, queue: OrganisationQueue, waiter: SlotWaiter) -> None:
        """Remove a cancelled waiter, or release the slot it was granted."""
        if waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.result():
                self._release()
            return
        # A dispatch between the cancellation and this call has removed it.
        if waiter in queue.waiters:
            queue.waiters.remove(waiter)
            if not queue.waiters:
                self.active_queues.remove(queue)
        self._mark_if_idle()

    def _release(self) -> None:
        self.running -= 1
        self._dispatch()

    def _dispatch(self) -> None:
        while self.running < self.slots and self.active_queues:
            queue = self._next_queue()
            waiter = queue.waiters.popleft()
            if not waiter.granted.done():
                self._grant(queue, waiter)
            if not queue.waiters:
                self.active_queues.popleft()
            elif queue.deficit <= 0:
                self.active_queues.rotate(-1)
        self._mark_if_idle()

    def _next_queue(self) -> OrganisationQueue:
        """Rotate to the queue whose turn it is and return it.

        An organisation is served while its deficit is above zero, and its last
        request may take the deficit below zero. A single request is therefore
        served on its first turn.
        """
        while True:
            queue = self.active_queues[0]
            if queue.deficit <= 0:
                queue.deficit += 1.0
            if queue.deficit > 0:
                return queue
            self.active_queues.rotate(-1)

    def _grant(self, queue: OrganisationQueue, waiter: SlotWaiter) -> None:
        """Grant a slot to a waiter; one past its deadline gets none."""
        is_in_time = waiter.deadline_s > self.clock.now_s()
        waiter.granted.set_result(is_in_time)
        if is_in_time:
            self.running += 1
            queue.deficit -= min(
                queue.mean_service_s / self.mean_service_s, MAX_COST_QUANTA
            )

    def _mark_if_idle(self) -> None:
        if not self.running and not self.active_queues:
            self.idle.set()

    def _record_service_time(self, queue: OrganisationQueue, seconds: float) -> None:
        seconds = max(seconds, MIN_SERVICE_TIME_S)
        queue.mean_service_s += SERVICE_TIME_WEIGHT * (seconds - queue.mean_service_s)
        self.mean_service_s += SERVICE_TIME_WEIGHT * (seconds - self.mean_service_s)

    def _expired(self) -> RequestError:
        return self._error(ErrorCode.DEADLINE)

    def _error(
        self, code: ErrorCode, retry_after_s: float | None = None
    ) -> RequestError:
        return RequestError(
            code=code,
            step=Step.QUEUE,
            peer=self.endpoint,
            outcome=Outcome.NOT_RUN,
            retry_after_s=retry_after_s,
        )
