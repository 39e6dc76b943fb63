"""Plug-in that admits operations by the rate of their organisation."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.quota import LentQuota, Quota
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.roster import Roster


@register
class QuotaPlugin(Plugin, LentQuota):
    """Quota of this VM; the leader lends it turns."""

    name = "quota"
    provides = (Quota, LentQuota)
    requires = (Roster,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        LentQuota.__init__(
            self, clock=kernel.clock, tolerance=kernel.settings.tolerance
        )

    async def start(self) -> None:
        """Follow the number of VMs."""
        roster = self.kernel.get(Roster)

        def follow() -> None:
            self.vm_count = roster.vm_count

        roster.listeners.append(follow)
        follow()
