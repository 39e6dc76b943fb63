"""Plug-in that manages the store watches of this VM."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.watch_manager import WatchManager


@register
class WatchesPlugin(Plugin, WatchManager):
    """Watch manager of this VM."""

    name = "watches"
    provides = (WatchManager,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        WatchManager.__init__(self, supervise=kernel.supervise)
