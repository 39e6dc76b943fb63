"""Requests of one organisation that wait for tokens on this VM."""

import asyncio
from collections import deque

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import OrganisationId


class AdmissionWaiter(msgspec.Struct, kw_only=True, eq=False):
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
        self.waiters: deque[AdmissionWaiter] = deque()
        self.next_token_at_s = 0.0
        self.rate_per_s = 1.0

    def expected_wait_s(self, ahead: int) -> float:
        """Estimate the wait of a request with ``ahead`` others before it.

        The last grant reported the wait until this VM's next token; the estimate
        assumes that all tokens after it go to this VM.
        """
        first_token_s = max(0.0, self.next_token_at_s - self.clock.now_s())
        return first_token_s + ahead / self.rate_per_s

    def longest_wait_s(self) -> float:
        """Return the seconds until the latest deadline of a waiting request."""
        latest_deadline_s = max((w.deadline_s for w in self.waiters), default=0.0)
        return max(0.0, latest_deadline_s - self.clock.now_s())

    def add(self, *, wait_s: float) -> AdmissionWaiter:
        """Append a request.

        Raises
        ------
        RequestError
            RATE_EXCEEDED if it cannot be admitted within ``wait_s``.
        """
        if self.expected_wait_s(len(self.waiters)) > wait_s:
            raise self.refusal()
        waiter = AdmissionWaiter(
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

    def remove_ended(self) -> None:
        """Remove the requests whose callers no longer wait."""
        self.waiters = deque(w for w in self.waiters if not w.admitted.done())

    def resolve(self, tokens: int, *, retry_after_s: float) -> None:
        """Admit the first requests and refuse those that would expire waiting.

        Parameters
        ----------
        tokens : int
            Whole tokens that were granted.
        retry_after_s : float
            Seconds after which the next token may be available.
        """
        self.remove_ended()
        now_s = self.clock.now_s()
        self.next_token_at_s = now_s + retry_after_s
        for _ in range(min(tokens, len(self.waiters))):
            self.waiters.popleft().admitted.set_result(None)
        kept: deque[AdmissionWaiter] = deque()
        for waiter in self.waiters:
            if now_s + self.expected_wait_s(len(kept)) > waiter.deadline_s:
                waiter.admitted.set_exception(self.refusal())
            else:
                kept.append(waiter)
        self.waiters = kept
