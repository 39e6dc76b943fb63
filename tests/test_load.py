"""Tests of the load tool's arithmetic, on which all measurements depend."""

import math

from bench.load import Sample, codes_of, percentile


def sample(code: str = "", outcome: str = "", step: str = "") -> Sample:
    """Return a sample of one second."""
    return Sample(
        organisation="org",
        vm="vm-1",
        kind="read",
        text="GET k",
        started_at_s=2.0,
        latency_s=1.0,
        code=code,
        outcome=outcome,
        step=step,
    )


class TestPercentile:
    """Guards against percentiles that are not measured values at the nearest rank."""

    def test_median_of_even_count_is_the_lower_value(self) -> None:
        """Guards against interpolation, which reports times that never occurred."""
        assert percentile([4.0, 1.0, 3.0, 2.0], 0.5) == 2.0

    def test_p99_of_100_values_is_the_second_largest(self) -> None:
        """Guards against an index that is off by one."""
        assert percentile(range(1, 101), 0.99) == 99

    def test_p99_of_few_values_is_the_largest(self) -> None:
        """Guards against a p99 that hides the slowest of few requests."""
        assert percentile([1.0, 9.0], 0.99) == 9.0

    def test_percentile_of_no_values_is_nan(self) -> None:
        """Guards against a latency of zero where nothing was served."""
        assert math.isnan(percentile([], 0.5))


class TestSample:
    """Guards against samples that misstate whether and when a request was served."""

    def test_refusals_are_counted_by_code_outcome_and_step(self) -> None:
        """Guards against refusals that are counted as served."""
        samples = [sample(), sample("draining", "not-run", "route"), sample()]
        assert [one.is_served for one in samples] == [True, False, True]
        assert codes_of(samples) == {"draining/not-run/route": 1}

    def test_end_is_start_plus_latency(self) -> None:
        """Guards against gaps counted from the start of a request."""
        assert sample().ended_at_s == 3.0
