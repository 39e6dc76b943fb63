"""Tests of the retry budget and of which errors are retried."""

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.retry import RetryBudget, RetryDecision, is_retryable


def failure(code: ErrorCode, outcome: Outcome | None = None) -> RequestError:
    return RequestError(code=code, step=Step.FORWARD, outcome=outcome)


class TestIsRetryable:
    """Guards against a second run of a request that may have run."""

    @pytest.mark.parametrize("code", list(ErrorCode))
    def test_unknown_outcome_needs_an_idempotent_request(self, code):
        assert not is_retryable(failure(code, Outcome.UNKNOWN), idempotent=False)
        assert not is_retryable(failure(code, Outcome.RUN), idempotent=False)

    def test_refusals_that_another_owner_would_repeat_are_final(self):
        for code in (ErrorCode.KEY_REFUSED, ErrorCode.RATE_EXCEEDED):
            assert not is_retryable(failure(code), idempotent=True)

    def test_not_run_and_lost_idempotent_requests_are_retried(self):
        assert is_retryable(failure(ErrorCode.NOT_OWNER), idempotent=False)
        assert is_retryable(failure(ErrorCode.PEER_LOST), idempotent=True)


class TestRetryBudget:
    """Guards against retries that multiply the load of an outage."""

    def decide(self, budget: RetryBudget, organisation: str, remaining_s: float = 1.0):
        return budget.decide(
            failure(ErrorCode.NOT_OWNER),
            organisation=organisation,
            idempotent=False,
            remaining_s=remaining_s,
        )

    def test_retries_stay_within_the_fraction_of_recent_requests(self):
        clock = ManualClock()
        budget = RetryBudget(clock=clock, min_retries=3)
        for _ in range(200):
            budget.record_request("a")
        granted = [self.decide(budget, "a") for _ in range(100)]
        assert granted.count(RetryDecision.RETRY) == 23
        assert self.decide(budget, "b") is RetryDecision.RETRY
        clock.advance(11)
        later = [self.decide(budget, "a") for _ in range(10)]
        assert later.count(RetryDecision.RETRY) == 3

    def test_nothing_is_retried_after_the_deadline(self):
        budget = RetryBudget(clock=ManualClock())
        assert self.decide(budget, "a", remaining_s=0.0) is RetryDecision.NO_TIME
