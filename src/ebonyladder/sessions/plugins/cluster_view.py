"""Plug-in that holds the cluster view of this VM."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.registry import register


@register
class ClusterViewPlugin(Plugin, ClusterView):
    """Cluster view of this VM, updated by the watches and by the leader."""

    name = "roster"
    provides = (ClusterView,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        settings = kernel.settings
        ClusterView.__init__(
            self,
            vm=settings.vm,
            zone=settings.zone,
            regions=settings.regions,
            clock=kernel.clock,
        )
