"""How many connections a VM may hold to an endpoint."""

from ebonyladder.sessions.catalog import Service
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.types import Role

# Fraction of an endpoint's connections that pools may use; the rest is for status
# probes, and for connections of failed VMs that the endpoint hasn't closed yet.
POOLED_FRACTION = 0.88
# Fraction of a replica's pooled connections for the VMs of its own region, which send
# most of its reads; VMs elsewhere read from it only while their own replica is down.
HOME_REGION_FRACTION = 0.7
MIN_CONNECTIONS = 2


def connection_limit(
    cluster: ClusterView, service: Service, entry: EndpointEntry
) -> int:
    """Return how many connections this VM may hold to an endpoint.

    The limits of all VMs add up to no more than the endpoint accepts, so that no
    VM takes the connections that another one needs.
    """
    usable = service.max_connections * POOLED_FRACTION
    if entry.id in cluster.owners:
        return max(MIN_CONNECTIONS, int(usable))
    total = cluster.vm_count
    region = cluster.region(entry.zone)
    vms_in_region = sum(
        count for zone, count in cluster.fleet.items() if cluster.region(zone) == region
    )
    if entry.role is Role.PRIMARY or vms_in_region in (0, total):
        return max(MIN_CONNECTIONS, int(usable / total))
    if cluster.region(cluster.zone) == region:
        return max(MIN_CONNECTIONS, int(usable * HOME_REGION_FRACTION / vms_in_region))
    return max(
        MIN_CONNECTIONS,
        int(usable * (1 - HOME_REGION_FRACTION) / (total - vms_in_region)),
    )
