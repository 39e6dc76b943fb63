"""Plug-in that follows the era of the store at this VM."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.store_era import StoreEraTracker


@register
class StoreEraPlugin(Plugin, StoreEraTracker):
    """Era of the store, as this VM knows it."""

    name = "store-era"
    provides = (StoreEraTracker,)
    requires = (Metrics,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)

    async def start(self) -> None:
        """Count in the metrics of this VM."""
        StoreEraTracker.__init__(self, metrics=self.kernel.get(Metrics))
