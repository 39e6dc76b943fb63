"""Requests of one organisation that wait for tokens on this VM."""

import asyncio
from collections import deque

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import OrganisationId


class Waiter(msgspec.Struct, kw_only=True, eq=False):
    """One waiting request and the time until which it waits."""

    admitted: asyncio.Future[None]
    deadline_s: float


class AdmissionQueue:
    """Admit waiting requests in the order of their arrival.

    Parameters
    ----------
    organisation : OrganisationId
        Organisation whose requests wait here.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, organisation: OrganisationId, clock: Clock) -> None:
        self.organisation = organisation
        self.clock = clock
        self.waiters: deque[Waiter] = deque()
        self.ready_s = 0.0
        self.rate_per_s = 1.0

    def expected_wait_s(self, place: int) -> float:
        """Estimate the wait of a request with ``place`` others before it.

        The holder gives the wait until this VM's turn; after it the estimate
        assumes that all tokens come to this VM.
        """
        first_s = max(0.0, self.ready_s - self.clock.now_s())
        return first_s + place / self.rate_per_s

    def longest_wait_s(self) -> float:
        """Return the time until the last waiting request gives up."""
        latest_s = max((w.deadline_s for w in self.waiters), default=0.0)
        return max(0.0, latest_s - self.clock.now_s())

    def add(self, *, wait_s: float) -> Waiter:
        """Append a request.

        Raises
        ------
        RequestError
            RATE_EXCEEDED if it cannot be admitted within ``wait_s``.
        """
        if self.expected_wait_s(len(self.waiters)) > wait_s:
            raise self.refusal()
        waiter = Waiter(
            admitted=asyncio.get_running_loop().create_future(),
            deadline_s=self.clock.now_s() + wait_s,
        )
        self.waiters.append(waiter)
        return waiter

    def refusal(self) -> RequestError:
        """Return the error for a request that gets no token in time."""
        return RequestError(
            code=ErrorCode.RATE_EXCEEDED,
            step=Step.RATE_ADMIT,
            retry_after_s=self.expected_wait_s(len(self.waiters)),
        )

    def drop_ended(self) -> None:
        """Forget the requests whose callers no longer wait."""
        self.waiters = deque(w for w in self.waiters if not w.admitted.done())

    def settle(self, tokens: int, *, retry_after_s: float) -> None:
        """Admit the first requests and refuse those that wait in vain.

        Parameters
        ----------
        tokens : int
            Whole tokens that were granted.
        retry_after_s : float
            Seconds after which the next token may come.
        """
        self.drop_ended()
        now_s = self.clock.now_s()
        self.ready_s = now_s + retry_after_s
        for _ in range(min(tokens, len(self.waiters))):
            self.waiters.popleft().admitted.set_result(None)
        kept: deque[Waiter] = deque()
        for waiter in self.waiters:
            if now_s + self.expected_wait_s(len(kept)) > waiter.deadline_s:
                waiter.admitted.set_exception(self.refusal())
            else:
                kept.append(waiter)
        self.waiters = kept
