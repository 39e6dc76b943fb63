"""What a soak test knows of one daemon process: its signals and its log."""

import math
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(kw_only=True)
class ProcessRecord:
    """One process of a VM and the signals that were sent to it.

    Attributes
    ----------
    name : str
        Number of the VM and of its start.
    log_path : Path
        Log of the process.
    signals : list of tuple
        Time on the monotonic clock and number of each signal, in this order.
    """

    name: str
    log_path: Path
    signals: list[tuple[float, signal.Signals]] = field(default_factory=list)

    def record(self, number: signal.Signals) -> None:
        """Record that a signal is being sent."""
        self.signals.append((time.monotonic(), number))

    @property
    def terminated_at_s(self) -> float:
        """Time of the first SIGTERM, infinite if there was none."""
        times_s = (at_s for at_s, number in self.signals if number is signal.SIGTERM)
        return min(times_s, default=math.inf)

    def is_disturbed(self, start_s: float, end_s: float) -> bool:
        """Tell whether it was killed, or stood still at some time of a span."""
        paused_at_s = math.inf
        for at_s, number in self.signals:
            if number is signal.SIGKILL and at_s <= end_s:
                return True
            if number is signal.SIGSTOP:
                paused_at_s = min(paused_at_s, at_s)
            if number is signal.SIGCONT and paused_at_s < math.inf:
                if paused_at_s <= end_s and at_s >= start_s:
                    return True
                paused_at_s = math.inf
        return paused_at_s <= end_s

    def has_logged(self, id: str) -> bool:
        """Tell whether the process has logged a request."""
        if not self.log_path.exists():
            return False
        return f"request={id} ".encode() in self.log_path.read_bytes()
