"""Plug-in that sets the gauges that operators' alarms read."""

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.execution import StatementExecutor
from ebonyladder.group import GroupView, GroupWatch
from ebonyladder.kernel.error import RequestError
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.metrics import Metrics
from ebonyladder.operator import OperatorView

# Reports come ten times a second.
SILENT_S = 1.0


@register
class OperatorGauges(Plugin):
    """Set gauges each time that the metrics are asked for."""

    name = "operator-gauges"
    requires = (
        OperatorView,
        Metrics,
        Membership,
        ConfigurationSource,
        GroupWatch,
        StatementExecutor,
        RateLimits,
    )

    async def start(self) -> None:
        """Begin to set the gauges on request."""
        get = self.kernel.get
        self.metrics = get(Metrics)
        self.membership = get(Membership)
        self.configuration = get(ConfigurationSource)
        self.groups = get(GroupWatch)
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
        for group, slots in self.executor.used_slots().items():
            gauge("used_slots", slots, group=group)
        for view in self.groups.views():
            self._refresh_group(view)

    def _is_fresh(self) -> bool:
        try:
            self.configuration.require_fresh(Step.KEY_CHECK)
        except RequestError:
            return False
        return True

    def _refresh_group(self, view: GroupView) -> None:
        """Set the gauges of a group that this VM watches."""
        now_s = self.kernel.clock.now_s()
        primary = view.primary
        is_heard = primary is not None and view.is_reachable(
            primary, now_s=now_s, silence_s=SILENT_S
        )
        self.metrics.gauge("group_has_primary", float(is_heard), group=view.group)
        self.metrics.gauge("group_term", view.term, group=view.group)
        for name in view.endpoints:
            is_up = view.is_reachable(name, now_s=now_s, silence_s=SILENT_S)
            self.metrics.gauge("endpoint_up", float(is_up), endpoint=name)
            lag = view.lag_entries(name)
            self.metrics.gauge("endpoint_lag_entries", lag, endpoint=name)
