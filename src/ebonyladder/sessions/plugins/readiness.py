"""Plug-in that tells whether this VM is ready for new sessions."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.registry import register


@register
class ReadinessPlugin(Plugin, Readiness):
    """Readiness of this VM."""

    name = "readiness"
    provides = (Readiness,)
    requires = (ClusterView,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)

    async def start(self) -> None:
        """Use the cluster view."""
        Readiness.__init__(
            self, cluster=self.kernel.get(ClusterView), clock=self.kernel.clock
        )
