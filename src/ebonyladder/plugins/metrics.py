"""Metrics of the daemon, on top of aioprometheus."""

import re

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.types import OrganisationId

PREFIX = "ebonyladder_"
MAX_ORGANISATIONS = 200
# Classes and outcomes come from code (fewer than 40 error codes); these limits keep
# a defect there from creating series without bound.
MAX_CLASSES = 8
MAX_OUTCOMES = 40
MAX_SERIES = 1_000
MAX_NAMES = 200
MAX_LABEL_LENGTH = 100
OTHER = "other"
REDACTED = "redacted"

# Upper bounds of the buckets; the overhead target of 1 ms needs fine low ones.
BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    float("inf"),
)

# Labels that could contain a caller's key or its digest are removed.
KEY_LABELS = frozenset({"key", "token", "authorization", "key_digest", "secret"})
KEY_VALUE = re.compile(r"bearer\s|[0-9a-f]{64}", re.IGNORECASE)
INVALID_IN_NAME = re.compile(r"[^a-zA-Z0-9_]")


class LabelSet:
    """Bounded set of label values; those beyond the limit become ``other``."""

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.values: set[str] = set()

    def label(self, value: str) -> str:
        """Return the value, or ``other`` if the set is full."""
        if value in self.values:
            return value
        if len(self.values) >= self.limit:
            return OTHER
        self.values.add(value)
        return value


@register
class MetricsPlugin(Plugin, Metrics):
    """Keep counters, gauges and histograms in one registry of this daemon."""

    name = "metrics"
    provides = (Metrics,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.registry = Registry()
        self.organisations = LabelSet(limit=MAX_ORGANISATIONS)
        self.classes = LabelSet(limit=MAX_CLASSES)
        self.outcomes = LabelSet(limit=MAX_OUTCOMES)
        self.names = LabelSet(limit=MAX_NAMES)
        self.series: dict[str, set[tuple[tuple[str, str], ...]]] = {}
        self.counters: dict[str, Counter] = {}
        self.gauges: dict[str, Gauge] = {}
        self.requests = self._histogram(
            "request_seconds", "Duration of callers' requests in seconds."
        )
        self.steps = self._histogram(
            "step_seconds", "Duration of the steps of requests in seconds."
        )

    def observe_request(
        self,
        *,
        organisation: OrganisationId,
        request_class: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Add one request to the histogram of its organisation and class."""
        labels = {
            "organisation": self.organisations.label(sanitize(organisation)),
            "class": self.classes.label(sanitize(request_class)),
            "outcome": self.outcomes.label(sanitize(outcome)),
        }
        self.requests.add(labels, float(seconds))

    def observe_step(self, step: Step, seconds: float) -> None:
        """Add one step's duration to the histogram of the step."""
        self.steps.add({"step": step.value}, float(seconds))

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; raises ``ValueError`` for a negative amount."""
        name = self._name(name)
        if name not in self.counters:
            self.counters[name] = Counter(
                f"{PREFIX}{name}_total", f"Number of {name}.", registry=self.registry
            )
        self.counters[name].add(self._labels(f"{name}_total", labels), amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        name = self._name(name)
        if name not in self.gauges:
            self.gauges[name] = Gauge(
                f"{PREFIX}{name}", f"Value of {name}.", registry=self.registry
            )
        self.gauges[name].set(self._labels(name, labels), value)

    def render(self) -> bytes:
        """Return all metrics in Prometheus text format, version 0.0.4."""
        for task, failures in self.kernel.task_failures.items():
            self.gauge("task_failures", failures, task=task)
        return TextFormatter().marshall(self.registry)

    def _histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f"{PREFIX}{name}", description, registry=self.registry, buckets=BUCKETS_S
        )

    def _name(self, name: str) -> str:
        return self.names.label(INVALID_IN_NAME.sub("_", name))

    def _labels(self, metric: str, labels: dict[str, str]) -> dict[str, str]:
        """Return sanitized labels; beyond the limit of series all become ``other``."""
        kept = {
            name: self._organisation(sanitize(value))
            if name == "organisation"
            else sanitize(value)
            for name, value in sorted(labels.items())
            if name not in KEY_LABELS
        }
        known_series = self.series.setdefault(metric, set())
        series = tuple(kept.items())
        if series not in known_series and len(known_series) >= MAX_SERIES:
            return dict.fromkeys(kept, OTHER)
        known_series.add(series)
        return kept

    def _organisation(self, value: str) -> str:
        return self.organisations.label(value)


def sanitize(value: str) -> str:
    """Return a label value that is safe to render.

    The formatter of aioprometheus doesn't escape values, so characters with a
    special meaning in the text format are replaced.
    """
    text = str(value)
    if KEY_VALUE.search(text):
        return REDACTED
    printable = "".join(c if c.isprintable() and c not in '"\\' else "_" for c in text)
    return printable[:MAX_LABEL_LENGTH]
