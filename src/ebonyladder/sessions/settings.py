"""Settings of the session daemon."""

import msgspec

from ebonyladder.sessions.quota import Tolerance
from ebonyladder.types import Address, RegionId, VmId, ZoneId


class SessionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one session daemon.

    Attributes
    ----------
    vm : VmId
        Name of this VM.
    zone : ZoneId
        Its availability zone.
    regions : dict of ZoneId to RegionId
        Region of each availability zone.
    callers : Address
        Address on which callers connect.
    readiness : Address
        Address of the readiness probe.
    peer : Address
        Address on which other VMs connect.
    metrics : Address
        Address of the metrics.
    store : Address
        The platform's store.
    promotion : Address
        The platform's call that promotes an endpoint.
    grace_s : float
        Time from SIGTERM to the process's end, in seconds.
    cores : float
        Processor that this VM may use.
    tolerance : Tolerance
        How far the operations of a window may exceed an organisation's limit.
    """

    vm: VmId
    zone: ZoneId
    regions: dict[ZoneId, RegionId]
    callers: Address
    readiness: Address
    peer: Address
    metrics: Address
    store: Address
    promotion: Address
    grace_s: float = 6.0
    cores: float = 1.0
    tolerance: Tolerance = Tolerance()
