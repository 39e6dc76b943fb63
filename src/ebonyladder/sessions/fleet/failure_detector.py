"""Decides from reports when the primary of a service has to be replaced."""

from collections.abc import Mapping

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import ClusterView, GroupPhase
from ebonyladder.sessions.messages import Report
from ebonyladder.types import (
    EndpointId,
    EndpointState,
    Incarnation,
    Role,
    ServiceId,
    VmId,
)

# Time between two failovers of the same service, so that an endpoint that is only slow
# to start isn't replaced again.
FAILOVER_COOLDOWN_S = 4.0
# Older reports don't show the current state.
REPORT_TTL_S = 1.5
# A failover starts after this time if the last one was interrupted, or if the primary
# has become a replica.
INTERRUPTED_TIMEOUT_S = 2.0
# Backoff after an attempt that replaced nothing.
FAILOVER_BACKOFF_S = 0.7
# A primary that is unlisted for less than this may return: entries that expire during a
# store outage are back within 2 s.
UNLISTED_TIMEOUT_S = 3.0


class FailureDetector:
    """Detects failed primaries from the reports of all VMs.

    One VM that can't reach a primary is more likely to be partitioned itself, so an
    unresponsive primary is replaced only if it doesn't respond to the leader either,
    or if more than half of the VMs report it.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    clock : Clock
        Clock of the reports and timeouts.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.reports: dict[VmId, tuple[Report, float]] = {}
        self.next_attempt_at_s: dict[ServiceId, float] = {}
        self.condition_since_s: dict[ServiceId, float] = {}

    def record_report(self, report: Report) -> None:
        """Record a VM's report."""
        self.reports[report.vm] = (report, self.clock.now_s())

    def last_report_at_s(self, vm: VmId) -> float:
        """Return the time of a VM's last report, -inf if there is none."""
        found = self.reports.get(vm)
        return found[1] if found else float("-inf")

    def has_ended(self, vm: VmId, incarnation: Incarnation) -> bool:
        """Tell whether a VM's last report was the last one of this process."""
        found = self.reports.get(vm)
        if found is None:
            return False
        report = found[0]
        return report.has_ended and report.incarnation == incarnation

    def reported_within(self, duration_s: float) -> list[VmId]:
        """Return the VMs whose last report came within this time, in seconds.

        Those that have ended aren't among them.
        """
        oldest_s = self.clock.now_s() - duration_s
        return [
            vm
            for vm, (report, at_s) in self.reports.items()
            if at_s >= oldest_s and not report.has_ended
        ]

    def record_attempt(self, service: ServiceId, *, is_replaced: bool) -> None:
        """Record that an attempt at a failover has ended.

        A primary that leaves already, promoted since it alone had the newest log, is
        replaced without the cooldown.
        """
        primary = self.cluster.primary(service)
        is_leaving = primary is not None and primary.state is EndpointState.LEAVING
        has_cooldown = is_replaced and not is_leaving
        backoff_s = FAILOVER_COOLDOWN_S if has_cooldown else FAILOVER_BACKOFF_S
        self.next_attempt_at_s[service] = self.clock.now_s() + backoff_s

    def failover_cause(
        self,
        service: ServiceId,
        *,
        unresponsive: frozenset[EndpointId],
        stalled: frozenset[EndpointId],
    ) -> FailoverCause | None:
        """Return why the primary has to be replaced, None if it doesn't.

        Parameters
        ----------
        unresponsive, stalled : frozenset of EndpointId
            Endpoints that don't respond to this VM at all, or don't answer its commits.
        """
        now_s = self.clock.now_s()
        if now_s < self.next_attempt_at_s.get(service, now_s):
            return None
        group = self.cluster.groups.get(service)
        if group is not None and group.phase is GroupPhase.MOVING:
            return self._cause_if_lasting(
                service, INTERRUPTED_TIMEOUT_S, FailoverCause.INTERRUPTED
            )
        entry = self.cluster.primary(service)
        if entry is None:
            if not self.cluster.members(service):
                return None
            return self._cause_if_lasting(
                service, UNLISTED_TIMEOUT_S, FailoverCause.UNLISTED
            )
        if entry.role is Role.REPLICA:
            return self._cause_if_lasting(
                service, INTERRUPTED_TIMEOUT_S, FailoverCause.DEMOTED
            )
        self.condition_since_s.pop(service, None)
        if entry.state is EndpointState.LEAVING:
            return FailoverCause.LEAVING
        if entry.zone in self.cluster.closed_zones:
            return FailoverCause.LEAVING
        unresponsive_by_vm = {
            vm: r.unresponsive for vm, r in self.recent_reports().items()
        }
        if self._is_reported_by_majority(entry.id, unresponsive_by_vm):
            return FailoverCause.UNREACHABLE
        if entry.id in unresponsive or any(
            entry.id in found for found in unresponsive_by_vm.values()
        ):
            # The failover probes the primary itself before it is replaced.
            return FailoverCause.UNRESPONSIVE
        stalled_by_vm = {vm: r.stalled for vm, r in self.recent_reports().items()}
        if entry.id in stalled or any(
            entry.id in found for found in stalled_by_vm.values()
        ):
            return FailoverCause.STALLED
        return None

    def recent_reports(self) -> dict[VmId, Report]:
        """Return the reports that are recent enough to be used."""
        recent = self.reported_within(REPORT_TTL_S)
        return {vm: self.reports[vm][0] for vm in recent}

    def _is_reported_by_majority(
        self,
        endpoint: EndpointId,
        endpoints_by_vm: Mapping[VmId, tuple[EndpointId, ...]],
    ) -> bool:
        """Tell whether more than half of the VMs report the endpoint."""
        if self.cluster.owners:
            # Only its owner sends to the endpoint, so the leader's probe decides.
            return False
        found = sum(
            1 for endpoints in endpoints_by_vm.values() if endpoint in endpoints
        )
        return 2 * found > self.cluster.vm_count

    def _cause_if_lasting(
        self, service: ServiceId, min_duration_s: float, cause: FailoverCause
    ) -> FailoverCause | None:
        since_s = self.condition_since_s.setdefault(service, self.clock.now_s())
        if self.clock.now_s() - since_s < min_duration_s:
            return None
        self.condition_since_s.pop(service, None)
        return cause
