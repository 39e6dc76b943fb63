"""Schedule of a drain."""

import msgspec

# The load balancer sends no new sessions after two failed probes, one a second.
BALANCER_DETECTION_S = 2.3
# Open transactions are aborted after this fraction of the grace period.
TRANSACTION_FRACTION = 0.5
# New sessions are refused after this fraction of the grace period.
LISTEN_FRACTION = 0.7
# The process exits after this fraction of the grace period, before it is killed.
EXIT_FRACTION = 0.9


class DrainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Tells what may still run at a given time during a drain.

    Attributes
    ----------
    grace_s : float
        Grace period from the signal until the process is killed, in seconds.
    started_at_s : float
        Time of the signal.
    """

    grace_s: float
    started_at_s: float

    def closes_idle_sessions(self, now_s: float) -> bool:
        """Tell whether idle sessions are closed."""
        return now_s - self.started_at_s >= min(BALANCER_DETECTION_S, self.grace_s / 2)

    def aborts_transactions(self, now_s: float) -> bool:
        """Tell whether open transactions are aborted."""
        return now_s - self.started_at_s >= self.grace_s * TRANSACTION_FRACTION

    def refuses_sessions(self, now_s: float) -> bool:
        """Tell whether new sessions are refused."""
        return now_s - self.started_at_s >= self.grace_s * LISTEN_FRACTION

    def is_over(self, now_s: float) -> bool:
        """Tell whether the process exits, whatever is still open."""
        return now_s - self.started_at_s >= self.grace_s * EXIT_FRACTION
