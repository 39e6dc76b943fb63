"""Which VM holds the connections to an endpoint in a large fleet."""

from collections import Counter
from collections.abc import Mapping

import xxhash

from ebonyladder.sessions.catalog import Service
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry, Owner, VmEntry
from ebonyladder.sessions.pool import MIN_CONNECTIONS, POOLED_FRACTION
from ebonyladder.types import EndpointId, VmId

# With fewer links to a primary than this, a VM can't serve several organisations.
LEAST_OWN_LINKS = MIN_CONNECTIONS + 1


def needs_owners(service: Service, vm_count: int) -> bool:
    """Tell whether the VMs are too many for links of their own.

    An endpoint accepts a bounded number of connections, and each serves one
    organisation; beyond some VMs their shares no longer hold one for each.
    """
    return (
        service.max_connections * POOLED_FRACTION / max(vm_count, 1) < LEAST_OWN_LINKS
    )


def assign_owners(
    *,
    cluster: ClusterView,
    vms: Mapping[VmId, VmEntry],
    leader: VmId,
    reached: frozenset[EndpointId] = frozenset(),
) -> dict[EndpointId, Owner]:
    """Return the owner of each endpoint whose service needs one.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, and the present owners, which stay while they live.
    vms : mapping of VmId to VmEntry
        VMs that report to the leader, and the leader.
    leader : VmId
        Owns an endpoint only where no other VM can.
    reached : frozenset of EndpointId
        Endpoints that answer the leader but not their present owners.
    """
    catalog = cluster.catalog
    if catalog is None or not vms:
        return {}
    owners: dict[EndpointId, Owner] = {}
    loads: Counter[VmId] = Counter()
    for entry in sorted(cluster.endpoints.values(), key=lambda e: e.id):
        service = catalog.services.get(entry.service)
        if service is None or not needs_owners(service, cluster.vm_count):
            continue
        known = cluster.owners.get(entry.id)
        if entry.id in reached and leader in vms:
            owner = vms[leader]
        elif known is not None and known.vm in vms:
            owner = vms[known.vm]
        else:
            owner = _best(entry, cluster, vms, loads, leader)
        owners[entry.id] = Owner(vm=owner.vm, address=owner.address)
        loads[owner.vm] += 1
    return owners


def _best(
    entry: EndpointEntry,
    cluster: ClusterView,
    vms: Mapping[VmId, VmEntry],
    loads: Counter[VmId],
    leader: VmId,
) -> VmEntry:
    """Return the nearest VM with the most processor for each endpoint it owns."""
    region = cluster.region(entry.zone)

    def rank(vm: VmEntry) -> tuple:
        return (
            vm.zone != entry.zone,
            cluster.region(vm.zone) != region,
            vm.vm == leader,
            (loads[vm.vm] + 1) / vm.cores,
            xxhash.xxh3_64_intdigest(f"{entry.id}/{vm.vm}".encode()),
        )

    return min(vms.values(), key=rank)
