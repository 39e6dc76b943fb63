"""Schedule of a drain."""

import msgspec

# The load balancer sends no new sessions after two failed probes, one a second.
BALANCER_DETECTION_S = 2.3
# Transactions that were open at the signal are aborted after this fraction of the
# grace period.
TRANSACTION_FRACTION = 0.5
# Time before the end of the grace period at which every request has its answer, in
# seconds: the answers are sent and the process ends. At most a tenth of the period.
ANSWER_MARGIN_S = 0.6
ANSWER_MARGIN_FRACTION = 0.1
# Part of that time for the end of the process, after the answers were sent.
EXIT_FRACTION = 0.4
# New work is accepted while at least this long remains for its answer, in seconds:
# longer than nearly all operations take, while the load balancer may have no other VM.
MIN_WORK_S = 1.2


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

    @property
    def answer_by_s(self) -> float:
        """Time at which every request has its answer."""
        return self.started_at_s + self.grace_s - self._answer_margin_s

    @property
    def exit_by_s(self) -> float:
        """Time at which the process ends, also if callers don't read their answers."""
        end_s = self.started_at_s + self.grace_s
        return end_s - EXIT_FRACTION * self._answer_margin_s

    def closes_answered_sessions(self, now_s: float) -> bool:
        """Tell whether sessions are closed right after an answer."""
        return now_s - self.started_at_s >= min(BALANCER_DETECTION_S, self.grace_s / 2)

    def closes_session(self, answered_at_s: float, now_s: float) -> bool:
        """Tell whether an idle session is closed, by the time of its last answer.

        Right after an answer no command is on its way, while a session that is idle for
        longer may be closed as one arrives. So the others are closed at the end.
        """
        return self.closes_answered_sessions(answered_at_s) or self.refuses_work(now_s)

    def aborts_transaction(self, begun_at_s: float, now_s: float) -> bool:
        """Tell whether a transaction that was begun at a given time is aborted.

        One that was begun during the drain is aborted while there is time to answer its
        next command with that.
        """
        if begun_at_s > self.started_at_s:
            return now_s >= (self._last_work_s + self.answer_by_s) / 2
        return now_s - self.started_at_s >= self.grace_s * TRANSACTION_FRACTION

    def refuses_work(self, now_s: float) -> bool:
        """Tell whether new sessions and transactions are refused."""
        return now_s >= self._last_work_s

    def ends_requests(self, now_s: float) -> bool:
        """Tell whether requests are answered now, finished or not."""
        return now_s >= self.answer_by_s

    def is_over(self, now_s: float) -> bool:
        """Tell whether the process ends, whatever is still open."""
        return now_s >= self.exit_by_s

    @property
    def _last_work_s(self) -> float:
        half_s = self.started_at_s + self.grace_s / 2
        return max(self.answer_by_s - MIN_WORK_S, half_s)

    @property
    def _answer_margin_s(self) -> float:
        return min(ANSWER_MARGIN_S, self.grace_s * ANSWER_MARGIN_FRACTION)
