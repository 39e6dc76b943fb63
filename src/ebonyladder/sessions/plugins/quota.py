"""Plug-in that admits operations within the rate limit of their organisation."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.quota import GrantedQuota, Quota
from ebonyladder.sessions.registry import register


@register
class QuotaPlugin(Plugin, GrantedQuota):
    """Quota of this VM, with permits from the leader."""

    name = "quota"
    provides = (Quota, GrantedQuota)
    requires = (ClusterView,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        GrantedQuota.__init__(
            self, clock=kernel.clock, tolerance=kernel.settings.tolerance
        )

    async def start(self) -> None:
        """Keep ``vm_count`` up to date with the cluster view."""
        cluster = self.kernel.get(ClusterView)

        def update_vm_count() -> None:
            self.vm_count = cluster.vm_count

        cluster.listeners.append(update_vm_count)
        update_vm_count()

    def reload(self) -> None:
        """Apply a changed tolerance of the rate limits."""
        self.tolerance = self.kernel.settings.tolerance
