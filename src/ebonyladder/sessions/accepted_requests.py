"""Requests that were taken and aren't answered yet, each with a deadline."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.drain import DrainPlan

# Requests that begin during a drain end by themselves this long before they would be
# ended, in seconds.
OWN_END_MARGIN_S = 0.05


class RequestEndedError(TimeoutError):
    """End of a request since the VM is stopping."""


class AcceptedRequests:
    """Requests of callers and other VMs that run on this VM.

    Answers the load of a planned stop beside slow endpoints: without a common end, the
    process would exit before requests whose timeouts are longer than what is left of
    its grace period, and their connections would close without an answer.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.

    Attributes
    ----------
    drain : DrainPlan or None
        Schedule of the drain, None unless the VM is stopping.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.drain: DrainPlan | None = None
        self.scopes: set[asyncio.Timeout] = set()

    @property
    def count(self) -> int:
        """Number of requests that are running."""
        return len(self.scopes)

    @property
    def answer_by_s(self) -> float:
        """Time at which every request is ended, infinite unless the VM is stopping."""
        return math.inf if self.drain is None else self.drain.answer_by_s

    @property
    def refuses_work(self) -> bool:
        """Whether the VM is about to stop, so that new transactions are refused."""
        return self.drain is not None and self.drain.refuses_work(self.clock.now_s())

    def begin_drain(self, drain: DrainPlan) -> None:
        """End all requests by the schedule of a drain, also those that run already."""
        self.drain = drain
        self.reschedule()

    def reschedule(self) -> None:
        """Set the ends of the running requests by the daemon's clock.

        The event loop's clock doesn't count the time for which the machine is
        suspended, so requests that ran meanwhile would end that much too late.
        """
        for scope in self.scopes:
            if not scope.expired():
                scope.reschedule(self._end_on_loop_s())

    def limit_s(self, deadline_s: float) -> float:
        """Return the deadline of a request that begins now."""
        return min(deadline_s, self.answer_by_s - OWN_END_MARGIN_S)

    @asynccontextmanager
    async def accept(self) -> AsyncIterator[None]:
        """Count a request while the body runs it.

        Raises
        ------
        RequestEndedError
            If the request was ended since the VM is stopping; before the body if it
            comes after that end.
        """
        if self.clock.now_s() >= self.answer_by_s:
            raise RequestEndedError("the VM is stopping")
        scope = asyncio.timeout_at(self._end_on_loop_s())
        try:
            async with scope:
                self.scopes.add(scope)
                yield
        except TimeoutError as error:
            # A timeout of the request's own isn't the end of it.
            if scope.expired():
                raise RequestEndedError("the VM is stopping") from error
            raise
        finally:
            self.scopes.discard(scope)

    def _end_on_loop_s(self) -> float | None:
        """Return the end of all requests on the event loop's clock, None for never."""
        if math.isinf(self.answer_by_s):
            return None
        remaining_s = self.answer_by_s - self.clock.now_s()
        return asyncio.get_running_loop().time() + remaining_s
