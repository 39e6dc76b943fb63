"""Plug-in that holds the watches of this VM."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.watches import Watches


@register
class WatchesPlugin(Plugin, Watches):
    """Watches of this VM."""

    name = "watches"
    provides = (Watches,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        Watches.__init__(self, spawn=kernel.spawn)
