"""Which VMs of a subtree of the relay tree have applied a version."""

from dataclasses import dataclass

import xxhash

from ebonyladder.kernel.clock import Clock
from ebonyladder.messages import SubtreeReport
from ebonyladder.types import ConfigurationVersion, VmId

REPORT_TTL_S = 3.0
MAX_BEHIND = 32
CHECKSUM_MODULUS = 2**32


def name_checksum(vms: list[VmId]) -> int:
    """Return the sum of the hashes of names, modulo 2**32."""
    return sum(xxhash.xxh32_intdigest(vm.encode()) for vm in vms) % CHECKSUM_MODULUS


@dataclass(slots=True, kw_only=True)
class _ChildReport:
    version: ConfigurationVersion
    report: SubtreeReport
    at_s: float


class SubtreeCounter:
    """Sums up the reports of the children in the relay tree.

    Parameters
    ----------
    vm : VmId
        This VM.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, vm: VmId, clock: Clock) -> None:
        self.vm = vm
        self.clock = clock
        self.children: dict[VmId, _ChildReport] = {}

    def record(
        self, child: VmId, version: ConfigurationVersion, report: SubtreeReport
    ) -> None:
        """Record the latest report of a child."""
        self.children[child] = _ChildReport(
            version=version, report=report, at_s=self.clock.now_s()
        )

    def report(
        self, required_version: ConfigurationVersion, own_version: ConfigurationVersion
    ) -> SubtreeReport:
        """Count the VMs of the subtree that have at least ``required_version``."""
        oldest_at_s = self.clock.now_s() - REPORT_TTL_S
        self.children = {
            v: c for v, c in self.children.items() if c.at_s >= oldest_at_s
        }
        count, checksum, behind = 0, 0, []
        if own_version >= required_version:
            count, checksum = 1, name_checksum([self.vm])
        else:
            behind.append(self.vm)
        for vm, child in self.children.items():
            behind += child.report.behind
            if child.version >= required_version:
                count += child.report.count
                checksum += child.report.checksum
            else:
                behind.append(vm)
        return SubtreeReport(
            count=count,
            checksum=checksum % CHECKSUM_MODULUS,
            behind=sorted(set(behind))[:MAX_BEHIND],
        )
