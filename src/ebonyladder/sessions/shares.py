"""Parts of each organisation's rate that VMs use while no leader lends turns."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import OrganisationId, VmId

# Part of a rate that is divided equally, for callers that come to a VM where their
# organisation had none.
EQUAL_PART = 0.2
# Demand is averaged over about this time, in seconds; shares change rarely, so they
# follow the callers' connections and not single bursts.
DEMAND_WINDOW_S = 10.0
# A share is raised when demand asks for more by this part of it, and lowered when it is
# too large by this part; lowering comes first, since only what is free can be given.
LEAST_RAISE = 0.4
LEAST_DROP = 0.2
# Pause between two sums of the demand of all VMs, in seconds.
TOTALS_PERIOD_S = 1.0
# A VM that went silent may go on with its shares for this long, in seconds; a VM that
# is still cut off then has lost its callers to others.
SILENT_LIFE_S = 30.0


def effective_part(share: float, vm_count: int) -> float:
    """Return the part of a rate that a VM with a share uses on its own."""
    return share + EQUAL_PART / max(vm_count, 1)


class VmRateShares:
    """Demand and shares of one VM.

    Attributes
    ----------
    held : dict of OrganisationId to float
        Shares that the VM has confirmed.
    sent : dict of OrganisationId to float
        Shares that it was sent at ``sent_s`` and has not confirmed.
    """

    def __init__(
        self, *, held: Mapping[OrganisationId, float], reported_s: float
    ) -> None:
        self.held = dict(held)
        self.sent: dict[OrganisationId, float] = {}
        self.sent_s = float("-inf")
        self.reported_s = reported_s
        self.demand: dict[OrganisationId, float] = {}

    def most(self, organisation: OrganisationId) -> float:
        """Return the largest share that the VM may be using."""
        held = self.held.get(organisation, 0.0)
        return max(held, self.sent.get(organisation, 0.0))

    def organisations(self) -> set[OrganisationId]:
        """Return the organisations that the VM may have a share of."""
        return self.held.keys() | self.sent.keys()

    def note_demand(
        self, wants: Mapping[OrganisationId, int], elapsed_s: float
    ) -> None:
        """Add the turns that were asked for since the last report."""
        kept = exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand = {name: d * kept for name, d in self.demand.items() if d > 1e-3}
        for name, wanted in wants.items():
            self.demand[name] = self.demand.get(name, 0.0) + wanted / DEMAND_WINDOW_S


class RateShares:
    """Divides each rate by demand, so that a lost leader stops few operations.

    It answers the loss of the leader in a large fleet, where each organisation has
    callers at some of the VMs only and an equal part of its rate serves almost none
    of them. The shares of all VMs never add up to more than the whole: a share grows
    only by what others have confirmed to have given up.

    Parameters
    ----------
    clock : Clock
        Clock of the leader.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.vms: dict[VmId, VmRateShares] = {}
        self.outstanding: Counter[OrganisationId] = Counter()
        self.totals: Counter[OrganisationId] = Counter()
        self.summed_s = float("-inf")
        self.silent: list[VmRateShares] = []
        self.reporting: list[VmRateShares] = []
        self.unknown_part = 0.0
        self.vm_count = 1

    def note_report(
        self,
        vm: VmId,
        *,
        wants: Mapping[OrganisationId, int],
        heard_s: float | None,
        held: Mapping[OrganisationId, float] | None,
    ) -> None:
        """Take over a VM's report.

        Parameters
        ----------
        wants : mapping of OrganisationId to int
            Turns that it asks for.
        heard_s : float or None
            Time of the last orders that it got.
        held : mapping of OrganisationId to float, or None
            Its shares, in the first report on a link.
        """
        now_s = self.clock.now_s()
        found = self.vms.get(vm)
        if found is None or held is not None:
            if found is not None:
                self._forget(found)
            found = VmRateShares(held=held or {}, reported_s=now_s)
            self.outstanding.update(found.held)
            self.vms[vm] = found
        elif found.sent and heard_s is not None and heard_s >= found.sent_s:
            self._confirm(found)
        found.note_demand(wants, now_s - found.reported_s)
        found.reported_s = now_s

    def grant(self, vm: VmId, at_s: float) -> dict[OrganisationId, float]:
        """Return the shares that a VM is told with the orders made at ``at_s``."""
        found = self.vms[vm]
        if found.sent:
            return {}
        self._sum_demand()
        for name in found.demand.keys() | found.held.keys():
            held = found.held.get(name, 0.0)
            share = self._target(found, name, held)
            if share > held * (1 + LEAST_RAISE) or share < held * (1 - LEAST_DROP):
                found.sent[name] = share
                self.outstanding[name] += max(share - held, 0.0)
        found.sent_s = at_s
        return dict(found.sent)

    def refresh(
        self,
        registered: Iterable[VmId],
        fresh: Iterable[VmId],
        *,
        vm_count: int = 1,
    ) -> None:
        """Take over which VMs there are and which of them report.

        ``vm_count`` is the least size of the fleet; a deputy has no list of VMs.
        """
        now_s = self.clock.now_s()
        reporting = set(fresh)
        registered = set(registered)
        self.vm_count = max(len(registered), vm_count)
        for vm in [
            v for v, s in self.vms.items() if now_s - s.reported_s > SILENT_LIFE_S
        ]:
            self._forget(self.vms.pop(vm))
        self.silent = [s for vm, s in self.vms.items() if vm not in reporting]
        self.reporting = [s for vm, s in self.vms.items() if vm in reporting]
        unknown = registered - reporting - self.vms.keys()
        self.unknown_part = len(unknown) / self.vm_count

    def lendable_part(self, organisation: OrganisationId) -> float:
        """Return the part of a rate that silent VMs don't use on their own."""
        used = sum(
            effective_part(vm.most(organisation), self.vm_count) for vm in self.silent
        )
        return max(0.0, 1.0 - used - self.unknown_part)

    def pooled_part(self, organisation: OrganisationId) -> float:
        """Return the part of a rate that the reporting VMs would use on their own.

        The leader counts with an equal part, which it has without being told.
        """
        used = sum(
            effective_part(vm.most(organisation), self.vm_count)
            for vm in self.reporting
        )
        return min(1.0, used + effective_part(0.0, self.vm_count))

    def _target(self, vm: VmRateShares, name: OrganisationId, held: float) -> float:
        total = self.totals[name]
        if not total:
            return 0.0
        share = (1 - EQUAL_PART) * min(vm.demand.get(name, 0.0) / total, 1.0)
        free = max(0.0, 1 - EQUAL_PART - self.outstanding[name])
        return min(share, held + free)

    def _sum_demand(self) -> None:
        now_s = self.clock.now_s()
        if now_s - self.summed_s < TOTALS_PERIOD_S:
            return
        self.summed_s = now_s
        self.totals = Counter()
        for vm in self.vms.values():
            self.totals.update(vm.demand)

    def _confirm(self, vm: VmRateShares) -> None:
        for name, share in vm.sent.items():
            self.outstanding[name] -= vm.most(name) - share
            vm.held[name] = share
        vm.held = {name: share for name, share in vm.held.items() if share}
        vm.sent = {}

    def _forget(self, vm: VmRateShares) -> None:
        for name in vm.organisations():
            self.outstanding[name] -= vm.most(name)
