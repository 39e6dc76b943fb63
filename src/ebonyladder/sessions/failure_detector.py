"""Decides when the primary of a service has to be replaced."""

from collections.abc import Mapping

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import ClusterView, GroupPhase
from ebonyladder.sessions.messages import Report
from ebonyladder.types import EndpointId, EndpointState, Role, ServiceId, VmId

# Pause between two changes of the same primary, in seconds, so that an endpoint that
# is only slow to start isn't replaced again.
SETTLE_S = 4.0
# Reports older than this say nothing about now, in seconds.
REPORT_LIFE_S = 1.5
# A change that was left unfinished is taken up after this time, in seconds.
UNFINISHED_S = 2.0
# Pause after a try that changed nothing, in seconds.
RETRY_S = 0.7
# An entry that is missing for less than this may be back, in seconds: entries that
# lapse while the store is away return within two seconds.
GONE_S = 3.0


class FailureDetector:
    """Judges the primaries by the reports of all VMs.

    One VM that can't reach a primary is more likely to be cut off itself, so a
    silent primary is replaced only if it is silent to the leader too, or to most
    of the VMs that report.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    clock : Clock
        Clock of the ages.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.reports: dict[VmId, tuple[Report, float]] = {}
        self.not_before_s: dict[ServiceId, float] = {}
        self.absent_s: dict[ServiceId, float] = {}

    def note_report(self, report: Report) -> None:
        """Take over a VM's report."""
        self.reports[report.vm] = (report, self.clock.now_s())

    def reported_s(self, vm: VmId) -> float:
        """Return the time of a VM's last report, long ago without one."""
        found = self.reports.get(vm)
        return found[1] if found else float("-inf")

    def note_change(self, service: ServiceId, *, is_changed: bool) -> None:
        """Note the end of a change of primary, or of a try."""
        pause_s = SETTLE_S if is_changed else RETRY_S
        self.not_before_s[service] = self.clock.now_s() + pause_s

    def cause(
        self,
        service: ServiceId,
        *,
        silent: frozenset[EndpointId],
        stalled: frozenset[EndpointId],
    ) -> FailoverCause | None:
        """Return why the primary has to be replaced, None if it doesn't.

        Parameters
        ----------
        silent, stalled : frozenset of EndpointId
            Endpoints that don't answer this VM, or don't answer its commits.
        """
        now_s = self.clock.now_s()
        if now_s < self.not_before_s.get(service, now_s):
            return None
        group = self.cluster.groups.get(service)
        if group is not None and group.phase is GroupPhase.MOVING:
            return self._lasting(service, UNFINISHED_S, FailoverCause.UNFINISHED)
        entry = self.cluster.primary(service)
        if entry is None:
            if not self.cluster.members(service):
                return None
            return self._lasting(service, GONE_S, FailoverCause.GONE)
        if entry.role is Role.REPLICA:
            return self._lasting(service, UNFINISHED_S, FailoverCause.DEMOTED)
        self.absent_s.pop(service, None)
        if entry.state is EndpointState.LEAVING:
            return FailoverCause.LEAVING
        if entry.zone in self.cluster.closed_zones:
            return FailoverCause.LEAVING
        silences = {vm: r.silent for vm, r in self.fresh().items()}
        if self._is_common(entry.id, silences):
            return FailoverCause.CUT_OFF
        if entry.id in silent or any(entry.id in s for s in silences.values()):
            # The leader asks the primary itself before it is replaced.
            return FailoverCause.SILENT
        stalls = {vm: r.stalled for vm, r in self.fresh().items()}
        if entry.id in stalled or any(entry.id in found for found in stalls.values()):
            return FailoverCause.STALLED
        return None

    def fresh(self) -> dict[VmId, Report]:
        """Return the reports that still say something about now."""
        oldest_s = self.clock.now_s() - REPORT_LIFE_S
        return {vm: r for vm, (r, at_s) in self.reports.items() if at_s >= oldest_s}

    def _is_common(
        self, endpoint: EndpointId, findings: Mapping[VmId, tuple[EndpointId, ...]]
    ) -> bool:
        """Tell whether more than half of the VMs report the endpoint."""
        if self.cluster.owners:
            # Only the endpoint's owner asks it; the leader's own probe decides.
            return False
        found = sum(1 for endpoints in findings.values() if endpoint in endpoints)
        return 2 * found > self.cluster.vm_count

    def _lasting(
        self, service: ServiceId, least_s: float, cause: FailoverCause
    ) -> FailoverCause | None:
        since_s = self.absent_s.setdefault(service, self.clock.now_s())
        if self.clock.now_s() - since_s < least_s:
            return None
        self.absent_s.pop(service, None)
        return cause
