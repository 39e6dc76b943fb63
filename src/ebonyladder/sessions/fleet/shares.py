"""Shares of each organisation's rate that VMs use while there is no leader."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import OrganisationId, VmId

# Fraction of a rate that is divided equally, for callers that connect to a VM where
# their organisation had no callers.
EQUAL_FRACTION = 0.2
# Demand is averaged over about this time, in seconds; shares change rarely, so they
# follow the callers' connections and not single bursts.
DEMAND_WINDOW_S = 10.0
# Hysteresis: a share is raised if demand exceeds it by more than this fraction, and
# lowered if it is too large by this fraction. The threshold for lowering is smaller,
# since only free shares can be assigned.
RAISE_THRESHOLD = 0.4
DROP_THRESHOLD = 0.2
# Interval between two sums of the demand of all VMs, in seconds.
DEMAND_SUM_INTERVAL_S = 1.0
# An unresponsive VM may use its shares for this long, in seconds; after that the
# callers of a partitioned VM have moved to other VMs.
UNRESPONSIVE_SHARE_TTL_S = 30.0


def effective_fraction(share: float, vm_count: int) -> float:
    """Return the fraction of a rate that a VM with this share uses without a leader."""
    return share + EQUAL_FRACTION / max(vm_count, 1)


class VmRateShares:
    """Demand and shares of one VM.

    Attributes
    ----------
    acknowledged : dict of OrganisationId to float
        Shares that the VM has acknowledged.
    pending : dict of OrganisationId to float
        Shares that it was sent at ``pending_since_s`` and has not acknowledged.
    """

    def __init__(
        self, *, acknowledged: Mapping[OrganisationId, float], last_report_at_s: float
    ) -> None:
        self.acknowledged = dict(acknowledged)
        self.pending: dict[OrganisationId, float] = {}
        self.pending_since_s = float("-inf")
        self.last_report_at_s = last_report_at_s
        self.demand: dict[OrganisationId, float] = {}

    def upper_bound(self, organisation: OrganisationId) -> float:
        """Return the largest share that the VM may be using."""
        acknowledged = self.acknowledged.get(organisation, 0.0)
        return max(acknowledged, self.pending.get(organisation, 0.0))

    def organisations(self) -> set[OrganisationId]:
        """Return the organisations that the VM may have a share of."""
        return self.acknowledged.keys() | self.pending.keys()

    def record_demand(
        self, requests: Mapping[OrganisationId, int], elapsed_s: float
    ) -> None:
        """Record the permits that were requested since the last report."""
        decay = exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand = {name: d * decay for name, d in self.demand.items() if d > 1e-3}
        for name, requested in requests.items():
            self.demand[name] = self.demand.get(name, 0.0) + requested / DEMAND_WINDOW_S


class RateShares:
    """Divides each rate by demand, so that few operations are refused without a leader.

    Designed for the loss of the leader in a large fleet, where each organisation has
    callers at some VMs only and an equal fraction of its rate serves almost none of
    them. The shares of all VMs never add up to more than the rate: a share grows only
    by what other VMs have acknowledged to have released.

    Parameters
    ----------
    clock : Clock
        Clock of the leader.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.vms: dict[VmId, VmRateShares] = {}
        self.allocated: Counter[OrganisationId] = Counter()
        self.demand_totals: Counter[OrganisationId] = Counter()
        self.summed_at_s = float("-inf")
        self.unresponsive: list[VmRateShares] = []
        self.reporting: list[VmRateShares] = []
        self.unknown_fraction = 0.0
        self.vm_count = 1

    def record_report(
        self,
        vm: VmId,
        *,
        requests: Mapping[OrganisationId, int],
        last_update_made_at_s: float | None,
        acknowledged: Mapping[OrganisationId, float] | None,
    ) -> None:
        """Record a VM's report.

        Parameters
        ----------
        requests : mapping of OrganisationId to int
            Permits that it requests.
        last_update_made_at_s : float or None
            ``made_at_s`` of the last update that it received.
        acknowledged : mapping of OrganisationId to float, or None
            Its shares, in the first report on a connection.
        """
        now_s = self.clock.now_s()
        found = self.vms.get(vm)
        if found is None or acknowledged is not None:
            if found is not None:
                self._remove(found)
            found = VmRateShares(
                acknowledged=acknowledged or {}, last_report_at_s=now_s
            )
            self.allocated.update(found.acknowledged)
            self.vms[vm] = found
        elif (
            found.pending
            and last_update_made_at_s is not None
            and last_update_made_at_s >= found.pending_since_s
        ):
            self._acknowledge(found)
        found.record_demand(requests, now_s - found.last_report_at_s)
        found.last_report_at_s = now_s

    def assign(self, vm: VmId, at_s: float) -> dict[OrganisationId, float]:
        """Return the shares that a VM is sent with the update made at ``at_s``."""
        found = self.vms[vm]
        if found.pending:
            return {}
        self._sum_demand()
        for name in found.demand.keys() | found.acknowledged.keys():
            acknowledged = found.acknowledged.get(name, 0.0)
            share = self._target(found, name, acknowledged)
            if share > acknowledged * (1 + RAISE_THRESHOLD) or share < acknowledged * (
                1 - DROP_THRESHOLD
            ):
                found.pending[name] = share
                self.allocated[name] += max(share - acknowledged, 0.0)
        found.pending_since_s = at_s
        return dict(found.pending)

    def refresh(
        self,
        registered: Iterable[VmId],
        reporting: Iterable[VmId],
        *,
        vm_count: int = 1,
    ) -> None:
        """Update which VMs are registered and which of them report.

        ``vm_count`` is the minimum size of the fleet; a standby has no list of VMs.
        """
        now_s = self.clock.now_s()
        reporting = set(reporting)
        registered = set(registered)
        self.vm_count = max(len(registered), vm_count)
        for vm in [
            v
            for v, s in self.vms.items()
            if now_s - s.last_report_at_s > UNRESPONSIVE_SHARE_TTL_S
        ]:
            self._remove(self.vms.pop(vm))
        self.unresponsive = [s for vm, s in self.vms.items() if vm not in reporting]
        self.reporting = [s for vm, s in self.vms.items() if vm in reporting]
        unknown = registered - reporting - self.vms.keys()
        self.unknown_fraction = len(unknown) / self.vm_count

    def grantable_fraction(self, organisation: OrganisationId) -> float:
        """Return the fraction of a rate that no unresponsive or unknown VM may use."""
        used = sum(
            effective_fraction(vm.upper_bound(organisation), self.vm_count)
            for vm in self.unresponsive
        )
        return max(0.0, 1.0 - used - self.unknown_fraction)

    def reporting_fraction(self, organisation: OrganisationId) -> float:
        """Return the fraction of a rate that reporting VMs use without a leader.

        The leader counts with an equal fraction, which needs no assignment.
        """
        used = sum(
            effective_fraction(vm.upper_bound(organisation), self.vm_count)
            for vm in self.reporting
        )
        return min(1.0, used + effective_fraction(0.0, self.vm_count))

    def _target(
        self, vm: VmRateShares, name: OrganisationId, acknowledged: float
    ) -> float:
        total = self.demand_totals[name]
        if not total:
            return 0.0
        share = (1 - EQUAL_FRACTION) * min(vm.demand.get(name, 0.0) / total, 1.0)
        free = max(0.0, 1 - EQUAL_FRACTION - self.allocated[name])
        return min(share, acknowledged + free)

    def _sum_demand(self) -> None:
        now_s = self.clock.now_s()
        if now_s - self.summed_at_s < DEMAND_SUM_INTERVAL_S:
            return
        self.summed_at_s = now_s
        self.demand_totals = Counter()
        for vm in self.vms.values():
            self.demand_totals.update(vm.demand)

    def _acknowledge(self, vm: VmRateShares) -> None:
        for name, share in vm.pending.items():
            self.allocated[name] -= vm.upper_bound(name) - share
            vm.acknowledged[name] = share
        vm.acknowledged = {
            name: share for name, share in vm.acknowledged.items() if share
        }
        vm.pending = {}

    def release(self, vm: VmId) -> None:
        """Let others use the shares of a VM that has ended."""
        found = self.vms.pop(vm, None)
        if found is not None:
            self._remove(found)

    def _remove(self, vm: VmRateShares) -> None:
        for name in vm.organisations():
            self.allocated[name] -= vm.upper_bound(name)
