"""VMs that lend the parts of rates while the leader can't be reached."""

from collections.abc import Iterable, Mapping
from itertools import takewhile

from ebonyladder.sessions.cluster_view import VmEntry
from ebonyladder.types import Address, VmId

# One may be lost together with the leader, since a fault often meets many VMs.
DEPUTIES = 2


def choose_deputies(
    vms: Mapping[VmId, VmEntry],
    *,
    leader: VmId,
    owners: Iterable[VmId],
    known: Iterable[VmId] = (),
) -> dict[VmId, Address]:
    """Return the deputies in the order in which they are asked.

    It answers the seconds between the loss of a leader and the next one, in which
    callers come to VMs that have no share of their organisation's rate. Deputies
    answer all VMs, so they are large, own no endpoint where that is possible, and
    lie in different zones.

    Parameters
    ----------
    vms : mapping of VmId to VmEntry
        VMs that report to the leader.
    leader : VmId
        The leader, which is no deputy.
    owners : iterable of VmId
        Owners of endpoints.
    known : iterable of VmId
        Present deputies; they stay while they live.
    """
    busy = set(owners)
    found = {vm: vms[vm] for vm in known if vm in vms and vm != leader}
    ranked = sorted(
        (entry for vm, entry in vms.items() if vm != leader and vm not in found),
        key=lambda entry: (entry.vm in busy, -entry.cores, entry.vm),
    )
    while ranked and len(found) < DEPUTIES:
        zones = {entry.zone for entry in found.values()}
        apart = (entry for entry in ranked if entry.zone not in zones)
        chosen = next(apart, ranked[0])
        ranked.remove(chosen)
        found[chosen.vm] = chosen
    return {vm: entry.address for vm, entry in found.items()}


def order_lenders(
    own: VmId,
    *,
    leader: Mapping[VmId, Address],
    deputies: Mapping[VmId, Address],
    is_leader_lost: bool,
) -> dict[VmId, Address]:
    """Return the VMs that a VM reports to, in the order of asking.

    Once its link to the leader was lost, the deputies come first, since opening a
    link to a VM that is cut off takes a second. A deputy asks only those before it,
    and lends itself where none of them does.
    """
    before = dict(takewhile(lambda item: item[0] != own, deputies.items()))
    return {**before, **leader} if is_leader_lost else {**leader, **before}
