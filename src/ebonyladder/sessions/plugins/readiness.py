"""Plug-in that tells whether this VM should get sessions."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.roster import Roster


@register
class ReadinessPlugin(Plugin, Readiness):
    """Readiness of this VM."""

    name = "readiness"
    provides = (Readiness,)
    requires = (Roster,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)

    async def start(self) -> None:
        """Read the roster."""
        Readiness.__init__(
            self, roster=self.kernel.get(Roster), clock=self.kernel.clock
        )
