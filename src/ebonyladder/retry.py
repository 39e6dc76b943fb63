"""Retry budget of each organisation, and the errors that may be retried."""

from collections import deque
from enum import Enum

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, Outcome
from ebonyladder.types import OrganisationId

WINDOW_S = 10
BUDGET_FRACTION = 0.1
# Lets an organisation with few requests retry during a failover.
MIN_RETRIES = 3

# The request was refused, but another endpoint or owner may serve it.
RETRYABLE_REFUSALS = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.REPLICA_BEHIND,
        ErrorCode.NO_PRIMARY,
        ErrorCode.NOT_OWNER,
        ErrorCode.CONNECT_FAILED,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.PEER_REPLACED,
        ErrorCode.PEER_REFUSED,
        ErrorCode.STALE_CONFIGURATION,
        ErrorCode.DRAINING,
        ErrorCode.FENCED,
    }
)
# The request may have run; only an idempotent one is sent again.
POSSIBLY_RUN = frozenset(
    {
        ErrorCode.CONNECTION_LOST,
        ErrorCode.PEER_LOST,
        ErrorCode.NOT_CONFIRMED,
        ErrorCode.STALE_TERM,
        ErrorCode.DUPLICATE,
    }
)


class RetryDecision(Enum):
    """Whether a failed request is sent again, or why not."""

    RETRY = "retry"
    NOT_RETRYABLE = "not-retryable"
    NO_TIME = "no-time"
    NO_BUDGET = "no-budget"


def is_retryable(error: EbonyladderError, *, idempotent: bool) -> bool:
    """Tell whether sending the request again is safe and may help."""
    if error.outcome is Outcome.NOT_RUN:
        return error.code in RETRYABLE_REFUSALS | POSSIBLY_RUN
    return idempotent and error.code in RETRYABLE_REFUSALS | POSSIBLY_RUN


class SecondCount:
    """Requests and retries of one second.

    Parameters
    ----------
    second : int
        Whole second on the budget's clock.
    """

    def __init__(self, *, second: int) -> None:
        self.second = second
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Limit each organisation's retries to a fraction of its recent requests.

    Parameters
    ----------
    clock : Clock
        Clock of the window.
    fraction : float
        Retries per request within the window.
    min_retries : int
        Retries within the window that are always allowed.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fraction: float = BUDGET_FRACTION,
        min_retries: int = MIN_RETRIES,
    ) -> None:
        self.clock = clock
        self.fraction = fraction
        self.min_retries = min_retries
        self.counts: dict[OrganisationId, deque[SecondCount]] = {}

    def record_request(self, organisation: OrganisationId) -> None:
        """Count a caller's request; retries of it are not counted here."""
        self._current(organisation).requests += 1

    def decide(
        self,
        error: EbonyladderError,
        *,
        organisation: OrganisationId,
        idempotent: bool,
        remaining_s: float,
    ) -> RetryDecision:
        """Decide on a failed attempt; RETRY consumes one retry of the budget.

        Parameters
        ----------
        error : EbonyladderError
            Failure of the attempt.
        organisation : OrganisationId
            Organisation of the request.
        idempotent : bool
            True for reads and for writes that the caller declared idempotent.
        remaining_s : float
            Seconds until the caller's deadline.
        """
        if not is_retryable(error, idempotent=idempotent):
            return RetryDecision.NOT_RETRYABLE
        if remaining_s <= 0:
            return RetryDecision.NO_TIME
        current = self._current(organisation)
        counts = self.counts[organisation]
        requests = sum(count.requests for count in counts)
        retries = sum(count.retries for count in counts)
        if retries + 1 > self.min_retries + self.fraction * requests:
            return RetryDecision.NO_BUDGET
        current.retries += 1
        return RetryDecision.RETRY

    def _current(self, organisation: OrganisationId) -> SecondCount:
        """Return this second's count; remove those older than the window."""
        second = int(self.clock.now_s())
        counts = self.counts.setdefault(organisation, deque())
        while counts and counts[0].second <= second - WINDOW_S:
            counts.popleft()
        if not counts or counts[-1].second != second:
            counts.append(SecondCount(second=second))
        return counts[-1]
