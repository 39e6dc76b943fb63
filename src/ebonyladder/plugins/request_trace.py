"""Plug-in that keeps the trace of recent requests."""

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.request_trace import MemoryTrace, RequestTrace


@register
class RequestTracePlugin(Plugin, MemoryTrace):
    """Request trace of this VM; gateway, dispatcher and owner record steps in it."""

    name = "journal"
    provides = (RequestTrace,)

    def __init__(self, *, kernel: Kernel) -> None:
        Plugin.__init__(self, kernel=kernel)
        MemoryTrace.__init__(self, vm=kernel.settings.vm, clock=kernel.clock)
