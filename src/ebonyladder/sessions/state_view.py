"""State of a VM, for its operators."""

from typing import Any

from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.objects import StoreEra
from ebonyladder.sessions.pool import PoolSet


def describe(
    cluster: ClusterView, pools: PoolSet, *, era: StoreEra | None
) -> dict[str, Any]:
    """Return the VM's view of the cluster, with its versions and ages.

    Ages are in seconds. Keys of callers are left out.

    Parameters
    ----------
    era : StoreEra or None
        Latest era of the store that the VM knows.
    """
    now_s = cluster.clock.now_s()
    return {
        "vm": cluster.vm,
        "zone": cluster.zone,
        "configuration": cluster.version,
        "store_era": era,
        "evidence_age_s": round(now_s - cluster.groups_confirmed_at_s, 3),
        "fleet": cluster.fleet,
        "deputies": list(cluster.standbys),
        "closed_zones": sorted(cluster.closed_zones),
        "groups": {
            group.service: {
                "epoch": group.epoch,
                "phase": group.phase.value,
                "primary": group.primary,
                "term": group.term,
                "is_incomplete": group.is_incomplete,
            }
            for group in cluster.groups.values()
        },
        "endpoints": {
            entry.id: _describe_endpoint(cluster, pools, entry)
            for entry in cluster.endpoints.values()
        },
    }


def _describe_endpoint(cluster: ClusterView, pools: PoolSet, entry) -> dict[str, Any]:
    pool = pools.pools.get(entry.id)
    owner = cluster.owners.get(entry.id)
    primary = cluster.primary(entry.service)
    return {
        "service": entry.service,
        "zone": entry.zone,
        "state": entry.state.value,
        "is_primary": primary is not None and primary.id == entry.id,
        "is_suspect": pool is not None and pool.health.is_suspect,
        "load": round(pool.load, 3) if pool is not None else None,
        "owner": owner.vm if owner else None,
    }
