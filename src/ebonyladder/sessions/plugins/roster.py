"""Plug-in that holds the roster of this VM."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.registry import register


@register
class ClusterViewPlugin(Plugin, ClusterView):
    """Roster of this VM; the watches and the leader's orders write to it."""

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
