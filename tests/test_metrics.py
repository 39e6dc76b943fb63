"""Metrics: text format, bounded label sets, and no keys in labels."""

import hashlib
import re

import pytest

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.plugins.metrics import MetricsPlugin
from tests.status_fakes import settings_of

LINE = re.compile(r'^[a-z_]+(\{([a-z_]+="[^"\\\n]*",?)*\})? [-+0-9.einf]+$')


@pytest.fixture
def metrics() -> Metrics:
    registry = Registry()
    registry.register(MetricsPlugin)
    return Kernel(settings=settings_of("vm-1"), registry=registry).get(Metrics)


def record_request(metrics: Metrics, organisation: str, seconds: float = 0.003) -> None:
    metrics.observe_request(
        organisation=organisation,
        request_class="read",
        outcome="served",
        seconds=seconds,
    )


def lines(metrics: Metrics) -> list[str]:
    text = metrics.render().decode()
    return [line for line in text.splitlines() if line and line[0] != "#"]


class TestHistograms:
    """Guards against wrong buckets and missing labels."""

    def test_request_is_counted_in_the_buckets_above_its_duration(self, metrics):
        record_request(metrics, "acme", 0.003)
        buckets = {
            float(re.search(r'le="([^"]+)"', line)[1].replace("+Inf", "inf")): float(
                line.split()[-1]
            )
            for line in lines(metrics)
            if "request_seconds_bucket" in line
        }
        assert {le: n for le, n in buckets.items() if le in (0.002, 0.005)} == {
            0.002: 0.0,
            0.005: 1.0,
        }
        assert buckets[float("inf")] == 1.0

    def test_request_has_its_three_labels(self, metrics):
        record_request(metrics, "acme")
        line = next(line for line in lines(metrics) if "request_seconds_count" in line)
        for label in ('organisation="acme"', 'class="read"', 'outcome="served"'):
            assert label in line

    def test_every_step_can_be_observed(self, metrics):
        for step in Step:
            metrics.observe_step(step, 0.01)
        text = metrics.render().decode()
        assert all(f'step="{step.value}"' in text for step in Step)


class TestCountersAndGauges:
    """Guards against lost amounts and unusable names."""

    def test_counter_adds_and_gauge_replaces(self, metrics):
        metrics.count("store-calls", 2, call="get")
        metrics.count("store-calls", call="get")
        metrics.gauge("connections", 5)
        metrics.gauge("connections", 4)
        found = lines(metrics)
        assert 'ebonyladder_store_calls_total{call="get"} 3' in found
        assert "ebonyladder_connections 4" in found


class TestBounds:
    """Guards against label sets that grow with callers' input."""

    def test_201st_organisation_is_other(self, metrics):
        for number in range(250):
            record_request(metrics, f"org-{number}")
            metrics.count("refused", organisation=f"org-{number}")
        counts = [line for line in lines(metrics) if "request_seconds_count" in line]
        assert len(counts) == 201
        other = next(line for line in counts if 'organisation="other"' in line)
        assert float(other.split()[-1]) == 50
        assert len([x for x in lines(metrics) if "refused_total" in x]) == 201

    def test_unbounded_labels_and_names_are_limited(self, metrics):
        for number in range(3_000):
            metrics.count("by_request", request=str(number))
            metrics.gauge(f"name_{number}", 1)
        found = lines(metrics)
        assert len([line for line in found if "by_request" in line]) == 1_001
        assert len([line for line in found if "ebonyladder_name_" in line]) < 201


class TestKeys:
    """Guards against keys in metrics, and label values that break the text format."""

    def test_keys_and_digests_never_appear(self, metrics):
        key = "s3cret-key-of-a-caller"
        digest = hashlib.sha256(key.encode()).hexdigest()
        metrics.count("refused", reason=f"Bearer {key}", key=key)
        metrics.gauge("age", 1, holder=digest, token=key)
        record_request(metrics, digest)
        text = metrics.render().decode()
        assert key not in text
        assert digest not in text

    def test_label_values_cannot_break_the_format(self, metrics):
        metrics.count("x", reason='a"} 1\nforged{b="\\')
        assert all(LINE.match(line) for line in lines(metrics))
        assert not any(line.startswith("forged") for line in lines(metrics))
