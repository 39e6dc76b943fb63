"""Plug-in that admits operations by the rate of their organisation."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.quota import GrantedQuota, Quota
from ebonyladder.sessions.registry import register


@register
class QuotaPlugin(Plugin, GrantedQuota):
    """Quota of this VM; the leader lends it turns."""

    name = "quota"
    provides = (Quota, GrantedQuota)
    requires = (ClusterView,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        GrantedQuota.__init__(
            self, clock=kernel.clock, tolerance=kernel.settings.tolerance
        )

    async def start(self) -> None:
        """Follow the number of VMs."""
        cluster = self.kernel.get(ClusterView)

        def follow() -> None:
            self.vm_count = cluster.vm_count

        cluster.listeners.append(follow)
        follow()
