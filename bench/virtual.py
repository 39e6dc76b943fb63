"""Event loop in virtual time, so that schedules do not depend on the machine."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from ebonyladder.kernel.clock import Clock

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list:
        """Return ready files; if there are none, advance by ``timeout`` seconds."""
        if timeout is None:
            raise RuntimeError("deadlock: no file is ready and no timer is set")
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class LoopClock(Clock):
    """Clock that reads the time of the running event loop."""

    def now_s(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        """Return the loop's time."""
        return self.now_s()


def _new_loop() -> asyncio.AbstractEventLoop:
    selector = _VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    return loop


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=_new_loop) as runner:
        return runner.run(coroutine)
