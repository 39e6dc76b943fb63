"""What a VM believes, for the people who operate it."""

from typing import Any

from ebonyladder.sessions.pool import Pools
from ebonyladder.sessions.roster import Roster


def describe(roster: Roster, pools: Pools) -> dict[str, Any]:
    """Return the VM's beliefs with their versions and ages.

    Ages are in seconds. Keys of callers are left out.
    """
    now_s = roster.clock.now_s()
    return {
        "vm": roster.vm,
        "zone": roster.zone,
        "configuration": roster.version,
        "evidence_age_s": round(now_s - roster.evidence_s, 3),
        "fleet": roster.fleet,
        "deputies": list(roster.deputies),
        "closed_zones": sorted(roster.closed_zones),
        "groups": {
            group.service: {
                "epoch": group.epoch,
                "phase": group.phase.value,
                "primary": group.primary,
                "term": group.term,
            }
            for group in roster.groups.values()
        },
        "endpoints": {
            entry.id: _describe_endpoint(roster, pools, entry)
            for entry in roster.endpoints.values()
        },
    }


def _describe_endpoint(roster: Roster, pools: Pools, entry) -> dict[str, Any]:
    pool = pools.pools.get(entry.id)
    owner = roster.owners.get(entry.id)
    primary = roster.primary(entry.service)
    return {
        "service": entry.service,
        "zone": entry.zone,
        "state": entry.state.value,
        "is_primary": primary is not None and primary.id == entry.id,
        "is_suspect": pool is not None and pool.health.is_suspect,
        "load": round(pool.load, 3) if pool is not None else None,
        "owner": owner.vm if owner else None,
    }
