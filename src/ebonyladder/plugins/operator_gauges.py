"""Plug-in that sets the gauges for operators' alarms."""

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
from ebonyladder.operator import OperatorViewRegistry
from ebonyladder.types import EndpointId

# Endpoints report ten times a second.
REPORT_TIMEOUT_S = 1.0

# Name of the gauge, name of its label, value of its label.
SeriesKey: TypeAlias = tuple[str, str, str]


@register
class OperatorGauges(Plugin):
    """Set the gauges each time before the metrics are rendered."""

    name = "operator-gauges"
    requires = (
        OperatorViewRegistry,
        Metrics,
        Membership,
        ConfigurationSource,
        GroupMonitor,
        StatementExecutor,
        RateLimits,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.labelled_series: dict[SeriesKey, float] = {}

    async def start(self) -> None:
        """Register the refresh of the gauges."""
        get = self.kernel.get
        self.metrics = get(Metrics)
        self.membership = get(Membership)
        self.configuration = get(ConfigurationSource)
        self.groups = get(GroupMonitor)
        self.executor = get(StatementExecutor)
        self.limits = get(RateLimits)
        get(OperatorViewRegistry).before_metrics(self.refresh)

    def refresh(self) -> None:
        """Set all gauges to their current values."""
        gauge = self.metrics.gauge
        gauge("live_vms", len(self.membership.members()))
        gauge("working_vms", len(self.membership.active_vms()))
        gauge("configuration_version", self.configuration.version)
        gauge("configuration_fresh", float(self._is_fresh()))
        gauge("draining", float(self.kernel.draining))
        gauge("limit_leases", len(self.limits.leases_held()))
        transactions = self.executor.open_transactions()
        gauge("open_transactions", sum(transactions.values()))
        self._refresh_labelled()

    def _refresh_labelled(self) -> None:
        """Set the gauges of the groups that this VM owns or monitors.

        Gauges of groups that have moved to other VMs become NaN, so that their
        last value raises no alarm.
        """
        series = {
            ("used_slots", "group", group): slots
            for group, slots in self.executor.used_slots().items()
        }
        for view in self.groups.views():
            series |= self._group_series(view)
        for name, label, value in self.labelled_series.keys() - series.keys():
            series[name, label, value] = float("nan")
        for (name, label, value), number in series.items():
            self.metrics.gauge(name, number, **{label: value})
        self.labelled_series = series

    def _is_fresh(self) -> bool:
        try:
            self.configuration.require_fresh(Step.KEY_CHECK)
        except RequestError:
            return False
        return True

    def _group_series(self, view: GroupView) -> dict[SeriesKey, float]:
        """Return the gauges of a group that this VM monitors."""
        now_s = self.kernel.clock.now_s()

        def is_up(name: EndpointId | None) -> float:
            return float(
                name is not None
                and view.is_reachable(name, now_s=now_s, timeout_s=REPORT_TIMEOUT_S)
            )

        series: dict[SeriesKey, float] = {
            ("group_has_primary", "group", view.group): is_up(view.primary),
            ("group_term", "group", view.group): view.term,
        }
        for name in view.endpoints:
            series["endpoint_up", "endpoint", name] = is_up(name)
            lag = view.lag_entries(name)
            series["endpoint_lag_entries", "endpoint", name] = lag
        return series
