"""Clocks that decisions use, so that tests can inject a manual one."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic and wall-clock time."""

    @abstractmethod
    def now_s(self) -> float:
        """Return monotonic time in seconds; it advances while the VM is suspended."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Clock of this machine."""

    def now_s(self) -> float:
        """Return the time since boot, including time while the VM was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return ``time.time()``."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when its time is set or advanced.

    Parameters
    ----------
    start_s : float
        Initial monotonic and wall-clock time, in seconds.
    """

    def __init__(self, *, start_s: float = 1_000.0) -> None:
        self.monotonic_s = start_s
        self.epoch_s = start_s

    def now_s(self) -> float:
        """Return the monotonic time that was set last."""
        return self.monotonic_s

    def wall_s(self) -> float:
        """Return the wall-clock time that was set last."""
        return self.epoch_s

    def advance(self, seconds: float) -> None:
        """Move both times forward by ``seconds``."""
        self.monotonic_s += seconds
        self.epoch_s += seconds
