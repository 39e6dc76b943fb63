"""Expected time until a replica has applied a position, from its measured lag."""

from collections import deque
from typing import NamedTuple

from ebonyladder.endpoint import EndpointReport
from ebonyladder.types import LogPosition, Term

# Positions received within the same interval are measured together.
GRANULARITY_S = 0.005
MAX_PENDING = 1_024
LAG_WEIGHT = 0.2


class _Received(NamedTuple):
    position: LogPosition
    at_s: float


class ApplyLag:
    """Time from receipt to application of log entries at one endpoint.

    Both times are those at which the endpoint's reports arrive here, so the
    network delay of the reports cancels out.

    Attributes
    ----------
    lag_s : float
        Smoothed time from receipt to application; 0 before the first
        measurement, so that no read is refused without a measured lag.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.is_measured = False
        self.term = Term(0)
        self.received = LogPosition(0)
        self.pending: deque[_Received] = deque(maxlen=MAX_PENDING)

    def record(self, report: EndpointReport, now_s: float) -> None:
        """Record one report.

        Parameters
        ----------
        report : EndpointReport
            Report of the endpoint.
        now_s : float
            Time at which it was received.
        """
        if report.log_term != self.term:
            # Positions of another term may be replaced and never applied.
            self.term = report.log_term
            self.received = report.received
            self.pending.clear()
        while self.pending and self.pending[0].position <= report.applied:
            self._measure(now_s - self.pending.popleft().at_s)
        if report.received > max(self.received, report.applied):
            self._add(_Received(report.received, now_s))
        self.received = max(self.received, report.received)

    def wait_s(self, position: LogPosition, now_s: float) -> float:
        """Return the expected seconds until ``position`` is applied."""
        for entry in self.pending:
            if entry.position >= position:
                return max(0.0, entry.at_s + self.lag_s - now_s)
        return self.lag_s

    def _add(self, entry: _Received) -> None:
        last = self.pending[-1] if self.pending else None
        if last and int(last.at_s / GRANULARITY_S) == int(entry.at_s / GRANULARITY_S):
            self.pending.pop()
        self.pending.append(entry)

    def _measure(self, lag_s: float) -> None:
        weight = LAG_WEIGHT if self.is_measured else 1.0
        self.lag_s += weight * (lag_s - self.lag_s)
        self.is_measured = True
