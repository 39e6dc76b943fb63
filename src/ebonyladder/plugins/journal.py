"""Plug-in that keeps the journal of recent requests."""

from ebonyladder.journal import MemoryJournal, RequestJournal
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register


@register
class JournalPlugin(Plugin, MemoryJournal):
    """Journal of this VM; gateway, dispatcher and owner add to it."""

    name = "journal"
    provides = (RequestJournal,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        MemoryJournal.__init__(self, vm=kernel.settings.vm, clock=kernel.clock)
