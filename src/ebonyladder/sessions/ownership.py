"""Which VM holds the connections to an endpoint in a large fleet."""

from collections import Counter
from collections.abc import Mapping

import xxhash

from ebonyladder.sessions.catalog import Service
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry, Owner, VmEntry
from ebonyladder.sessions.connection_limit import MIN_CONNECTIONS, POOLED_FRACTION
from ebonyladder.types import EndpointId, VmId

# With fewer connections to a primary than this, a VM can't serve several organisations.
MIN_OWN_CONNECTIONS = MIN_CONNECTIONS + 1


def needs_owners(service: Service, vm_count: int) -> bool:
    """Tell whether there are too many VMs for each to hold its own connections.

    An endpoint accepts a bounded number of connections, and each serves one
    organisation. Above some number of VMs, the connections of one VM no longer
    suffice for its organisations.
    """
    return (
        service.max_connections * POOLED_FRACTION / max(vm_count, 1)
        < MIN_OWN_CONNECTIONS
    )


def assign_owners(
    *,
    cluster: ClusterView,
    vms: Mapping[VmId, VmEntry],
    leader: VmId,
    reachable_from_leader: frozenset[EndpointId] = frozenset(),
    draining: frozenset[VmId] = frozenset(),
) -> dict[EndpointId, Owner]:
    """Return the owner of each endpoint whose service needs one.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, and the current owners, which stay while they report.
    vms : mapping of VmId to VmEntry
        VMs that report to the leader, and the leader.
    leader : VmId
        Owns an endpoint only if no other VM can, or if the endpoint is in
        ``reachable_from_leader``.
    reachable_from_leader : frozenset of EndpointId
        Endpoints that answer the leader but not their current owners.
    draining : frozenset of VmId
        VMs that are stopping. They own an endpoint only if no other VM can, so that
        no new statement is forwarded to them.
    """
    catalog = cluster.catalog
    if catalog is None or not vms:
        return {}
    vms = {vm: entry for vm, entry in vms.items() if vm not in draining} or vms
    owners: dict[EndpointId, Owner] = {}
    owned_counts: Counter[VmId] = Counter()
    for entry in sorted(cluster.endpoints.values(), key=lambda e: e.id):
        service = catalog.services.get(entry.service)
        if service is None or not needs_owners(service, cluster.vm_count):
            continue
        known = cluster.owners.get(entry.id)
        if entry.id in reachable_from_leader and leader in vms:
            owner = vms[leader]
        elif known is not None and known.vm in vms:
            owner = vms[known.vm]
        else:
            owner = _choose_owner(entry, cluster, vms, owned_counts, leader)
        owners[entry.id] = Owner(vm=owner.vm, address=owner.address)
        owned_counts[owner.vm] += 1
    return owners


def _choose_owner(
    entry: EndpointEntry,
    cluster: ClusterView,
    vms: Mapping[VmId, VmEntry],
    owned_counts: Counter[VmId],
    leader: VmId,
) -> VmEntry:
    """Return the nearest VM that has the most cores for each endpoint it owns."""
    region = cluster.region(entry.zone)

    def rank(vm: VmEntry) -> tuple:
        return (
            vm.zone != entry.zone,
            cluster.region(vm.zone) != region,
            vm.vm == leader,
            (owned_counts[vm.vm] + 1) / vm.cores,
            xxhash.xxh3_64_intdigest(f"{entry.id}/{vm.vm}".encode()),
        )

    return min(vms.values(), key=rank)
