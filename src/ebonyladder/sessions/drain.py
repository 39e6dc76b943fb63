"""Times of a planned stop."""

import msgspec

# The balancer sends no new sessions after two missed probes, one a second.
BALANCER_S = 2.3
# Open transactions have this part of the grace to end.
TRANSACTION_SHARE = 0.5
# New sessions are accepted up to this part of the grace.
LISTEN_SHARE = 0.7
# The process ends at this part of the grace, before it is killed.
END_SHARE = 0.9


class DrainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What may still run at a time during a planned stop.

    Attributes
    ----------
    grace_s : float
        Time from the signal until the process is killed, in seconds.
    started_s : float
        Time of the signal.
    """

    grace_s: float
    started_s: float

    def ends_sessions(self, now_s: float) -> bool:
        """Tell whether idle sessions are closed."""
        return now_s - self.started_s >= min(BALANCER_S, self.grace_s / 2)

    def ends_transactions(self, now_s: float) -> bool:
        """Tell whether open transactions are rolled back."""
        return now_s - self.started_s >= self.grace_s * TRANSACTION_SHARE

    def is_closed(self, now_s: float) -> bool:
        """Tell whether no new sessions are accepted."""
        return now_s - self.started_s >= self.grace_s * LISTEN_SHARE

    def is_over(self, now_s: float) -> bool:
        """Tell whether the process ends, whatever is still open."""
        return now_s - self.started_s >= self.grace_s * END_SHARE
