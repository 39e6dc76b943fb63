"""Quota standbys: VMs that grant permits while the leader is unreachable."""

from collections.abc import Iterable, Mapping
from itertools import takewhile

from ebonyladder.sessions.cluster_view import VmEntry
from ebonyladder.types import Address, VmId

# Two, since one may fail together with the leader: a fault often affects several VMs.
STANDBY_COUNT = 2


def choose_standbys(
    vms: Mapping[VmId, VmEntry],
    *,
    leader: VmId,
    owners: Iterable[VmId],
    known: Iterable[VmId] = (),
) -> dict[VmId, Address]:
    """Return the standbys in the order in which VMs report to them.

    Designed for the seconds between two leaders, in which callers connect to VMs that
    have no share of their organisation's rate. Standbys answer all VMs, so they are
    large, own no endpoint if possible, and are in different zones.

    Parameters
    ----------
    vms : mapping of VmId to VmEntry
        VMs that report to the leader.
    leader : VmId
        The leader, which is never a standby.
    owners : iterable of VmId
        Owners of endpoints.
    known : iterable of VmId
        Current standbys; they stay while they report.
    """
    busy = set(owners)
    found = {vm: vms[vm] for vm in known if vm in vms and vm != leader}
    ranked = sorted(
        (entry for vm, entry in vms.items() if vm != leader and vm not in found),
        key=lambda entry: (entry.vm in busy, -entry.cores, entry.vm),
    )
    while ranked and len(found) < STANDBY_COUNT:
        zones = {entry.zone for entry in found.values()}
        in_other_zones = (entry for entry in ranked if entry.zone not in zones)
        chosen = next(in_other_zones, ranked[0])
        ranked.remove(chosen)
        found[chosen.vm] = chosen
    return {vm: entry.address for vm, entry in found.items()}


def order_report_targets(
    own: VmId,
    *,
    leader: Mapping[VmId, Address],
    standbys: Mapping[VmId, Address],
    is_leader_lost: bool,
) -> dict[VmId, Address]:
    """Return the VMs that a VM reports to, in the order of attempts.

    After its connection to the leader was lost, the standbys come first, since an
    attempt to connect to an unreachable VM takes a second. A standby reports only to
    those before it, and grants permits itself if none of them does.
    """
    before = dict(takewhile(lambda item: item[0] != own, standbys.items()))
    return {**before, **leader} if is_leader_lost else {**leader, **before}
