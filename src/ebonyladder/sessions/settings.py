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
        Address on which the VM listens for callers.
    readiness : Address
        Address on which readiness probes are answered.
    peer : Address
        Address on which the VM listens for other VMs.
    metrics : Address
        Address on which metrics are served.
    store : Address
        Address of the platform's store.
    promotion : Address
        Address of the platform call that promotes an endpoint.
    grace_s : float
        Grace period from SIGTERM until the process is killed, in seconds.
    drain_s : float
        Time within which an endpoint gets its last statement after its report that it
        leaves, in seconds.
    cores : float
        Processor cores that this VM may use.
    tolerance : Tolerance
        Allowed excess of an organisation's rate limit in a window of time.
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
    drain_s: float = 7.0
    cores: float = 1.0
    tolerance: Tolerance = Tolerance()
