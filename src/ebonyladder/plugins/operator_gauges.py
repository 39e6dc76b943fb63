"""Plug-in that sets the gauges that operators' alarms read."""

from typing import TypeAlias

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.execution import StatementExecutor
from ebonyladder.group import GroupMonitor, GroupView
from ebonyladder.kernel.error import RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.metrics import Metrics
from ebonyladder.operator import OperatorView
from ebonyladder.types import EndpointId

# Reports come ten times a second.
SILENT_S = 1.0

# Name of a gauge, name of its label and the label's value.
Series: TypeAlias = tuple[str, str, str]


@register
class OperatorGauges(Plugin):
    """Set gauges each time that the metrics are asked for."""

    name = "operator-gauges"
    requires = (
        OperatorView,
        Metrics,
        Membership,
        ConfigurationSource,
        GroupMonitor,
        StatementExecutor,
        RateLimits,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.known: dict[Series, float] = {}

    async def start(self) -> None:
        """Begin to set the gauges on request."""
        get = self.kernel.get
        self.metrics = get(Metrics)
        self.membership = get(Membership)
        self.configuration = get(ConfigurationSource)
        self.groups = get(GroupMonitor)
        self.executor = get(StatementExecutor)
        self.limits = get(RateLimits)
        get(OperatorView).before_metrics(self.refresh)

    def refresh(self) -> None:
        """Set all gauges to their present values."""
        gauge = self.metrics.gauge
        gauge("live_vms", len(self.membership.members()))
        gauge("working_vms", len(self.membership.workers()))
        gauge("configuration_version", self.configuration.version)
        gauge("configuration_fresh", float(self._is_fresh()))
        gauge("draining", float(self.kernel.draining))
        gauge("limit_leases", len(self.limits.leases_held()))
        transactions = self.executor.open_transactions()
        gauge("open_transactions", sum(transactions.values()))
        self._refresh_labelled()

    def _refresh_labelled(self) -> None:
        """Set the gauges of what this VM owns and watches now.

        Those of groups that have moved to other VMs become NaN, so that their
        last value raises no alarm.
        """
        series = {
            ("used_slots", "group", group): slots
            for group, slots in self.executor.used_slots().items()
        }
        for view in self.groups.views():
            series |= self._group_series(view)
        for name, label, value in self.known.keys() - series.keys():
            series[name, label, value] = float("nan")
        for (name, label, value), number in series.items():
            self.metrics.gauge(name, number, **{label: value})
        self.known = series

    def _is_fresh(self) -> bool:
        try:
            self.configuration.require_fresh(Step.KEY_CHECK)
        except RequestError:
            return False
        return True

    def _group_series(self, view: GroupView) -> dict[Series, float]:
        """Return the gauges of a group that this VM watches."""
        now_s = self.kernel.clock.now_s()

        def is_up(name: EndpointId | None) -> float:
            return float(
                name is not None
                and view.is_reachable(name, now_s=now_s, timeout_s=SILENT_S)
            )

        series: dict[Series, float] = {
            ("group_has_primary", "group", view.group): is_up(view.primary),
            ("group_term", "group", view.group): view.term,
        }
        for name in view.endpoints:
            series["endpoint_up", "endpoint", name] = is_up(name)
            lag = view.lag_entries(name)
            series["endpoint_lag_entries", "endpoint", name] = lag
        return series
