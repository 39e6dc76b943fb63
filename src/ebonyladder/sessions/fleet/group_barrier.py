"""Which VMs have applied a group state, and what they had told their callers."""

import asyncio
from collections.abc import Callable

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import (
    AcknowledgedRange,
    ClusterView,
    GroupState,
    VmEntry,
)
from ebonyladder.sessions.fleet.failure_detector import FailureDetector
from ebonyladder.sessions.messages import Report
from ebonyladder.types import Incarnation, LogPosition, Position, ServiceId, Term, VmId

# Longest interval between checks of the VMs that a barrier waits for, in seconds.
BARRIER_POLL_INTERVAL_S = 0.2
# VMs of which the line about a barrier names the last commit.
MAX_LOGGED_VMS = 4
NO_POSITION = Position(term=Term(0), position=LogPosition(0))
NO_COMMIT = AcknowledgedRange(lower=NO_POSITION, upper=NO_POSITION)


class AppliedReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM reported about a service that is changing its primary.

    Attributes
    ----------
    acknowledged : AcknowledgedRange or None
        Last commit acknowledged to the VM's callers.
    reported_at_s : float
        Time of the report.
    """

    epoch: int
    acknowledged: AcknowledgedRange | None
    reported_at_s: float


class GroupBarrier:
    """Waits until the VMs no longer use the former primary of a service.

    Parameters
    ----------
    cluster : ClusterView
        Names this VM, and what its own callers were told.
    failure_detector : FailureDetector
        Tells which VMs have reported lately.
    vms : callable
        Returns the registered VMs.
    clock : Clock
        Clock of the timeouts.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        failure_detector: FailureDetector,
        vms: Callable[[], dict[VmId, VmEntry]],
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.failure_detector = failure_detector
        self.vms = vms
        self.clock = clock
        self.applied_epochs: dict[tuple[VmId, ServiceId], int] = {}
        # Latest report of each VM about a service that is changing its primary.
        self.applied_reports: dict[tuple[VmId, ServiceId], AppliedReport] = {}
        self.epoch_acknowledged = asyncio.Event()
        self.removed_at_s: dict[VmId, float] = {}

    def record_report(self, report: Report) -> None:
        """Record the group states that a VM has applied."""
        for service, epoch in report.epochs.items():
            self.applied_epochs[report.vm, service] = epoch
        for service, acknowledged in report.acknowledged.items():
            self.applied_reports[report.vm, service] = AppliedReport(
                epoch=report.epochs.get(service, 0),
                acknowledged=acknowledged,
                reported_at_s=self.clock.now_s(),
            )
        self.epoch_acknowledged.set()

    def record_removed(self, vm: VmId, incarnation: Incarnation | None = None) -> None:
        """Record that a VM was removed from the list.

        It may still use group states that it confirmed at the store before that,
        unless the process whose entry it was has ended.
        """
        if incarnation is None or not self.failure_detector.has_ended(vm, incarnation):
            self.removed_at_s[vm] = self.clock.now_s()

    def _registered(self) -> set[VmId]:
        """Return the VMs of the list that haven't reported their end."""
        has_ended = self.failure_detector.has_ended
        return {
            vm
            for vm, entry in self.vms().items()
            if not has_ended(vm, entry.incarnation)
        }

    async def wait(self, group: GroupState, timeout_s: float) -> None:
        """Return once all VMs have applied a group state, or after ``timeout_s``.

        VMs that reported within ``timeout_s`` may still use the former state, also
        those that aren't registered again after they were removed.
        """
        deadline_s = self.clock.now_s() + timeout_s
        while True:
            self.epoch_acknowledged.clear()
            reported = self.failure_detector.reported_within(timeout_s)
            missing = [
                vm
                for vm in {*self._registered(), *reported}
                if vm != self.cluster.vm
                and self.applied_epochs.get((vm, group.service), 0) < group.epoch
            ]
            missing += self._removed_within(timeout_s)
            remaining_s = deadline_s - self.clock.now_s()
            if not missing or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(min(remaining_s, BARRIER_POLL_INTERVAL_S)):
                    await self.epoch_acknowledged.wait()
            except TimeoutError:
                continue
        logging.info(
            "[leader] Barrier of a group state ended. service=%s epoch=%d missing=%s "
            "told=%s",
            group.service,
            group.epoch,
            ",".join(missing) or "-",
            self._describe_told(group.service),
        )

    def acknowledged(self, service: ServiceId) -> AcknowledgedRange:
        """Return the last commit of which callers are known to have been told."""
        found = self.cluster.acknowledged.get(service) or NO_COMMIT
        for (_, reported), applied in self.applied_reports.items():
            if reported == service:
                found = found.merge(applied.acknowledged)
        return found

    def _describe_told(self, service: ServiceId) -> str:
        """Return the newest commits that VMs told of, with the reports' ages."""
        told = [
            (applied.acknowledged.upper, vm, applied)
            for (vm, reported), applied in self.applied_reports.items()
            if reported == service and applied.acknowledged is not None
        ]
        told.sort(key=lambda found: found[:2], reverse=True)
        now_s = self.clock.now_s()
        return (
            ",".join(
                f"{vm}:{applied.acknowledged.lower}..{upper}/{applied.epoch}/"
                f"{now_s - applied.reported_at_s:.2f}s"
                for upper, vm, applied in told[:MAX_LOGGED_VMS]
            )
            or "-"
        )

    def _removed_within(self, timeout_s: float) -> list[VmId]:
        oldest_s = self.clock.now_s() - timeout_s
        self.removed_at_s = {
            vm: s for vm, s in self.removed_at_s.items() if s > oldest_s
        }
        return list(self.removed_at_s)
