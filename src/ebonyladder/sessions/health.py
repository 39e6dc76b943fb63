"""Health of endpoints, from the results of statements and connections."""

from ebonyladder.kernel.clock import Clock

# An endpoint with commands in flight that answers none for this long is suspected. It
# is above the longest statement of a busy endpoint and below the shortest statement
# timeout of the routes.
RESPONSE_TIMEOUT_S = 0.6
# The same for commits; only they stall when a primary has lost its replicas.
COMMIT_STALL_TIMEOUT_S = 0.7
# A replica that lacked a required position gets no reads for this long.
LAG_COOLDOWN_S = 0.25


class EndpointHealth:
    """Commands in flight and last answers of one endpoint.

    Parameters
    ----------
    clock : Clock
        Clock of the timeouts.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.in_flight: dict[int, float] = {}
        self.commits_in_flight: dict[int, float] = {}
        self.last_command_number = 0
        self.last_answer_at_s = clock.now_s()
        self.last_commit_at_s = clock.now_s()
        self.unreachable_since_s: float | None = None
        self.lost_commit_sent_at_s: float | None = None
        self.lagging_until_s = clock.now_s()

    def record_sent(self, *, is_commit: bool) -> int:
        """Record that a command was sent; return its number."""
        self.last_command_number += 1
        self.in_flight[self.last_command_number] = self.clock.now_s()
        if is_commit:
            self.commits_in_flight[self.last_command_number] = self.clock.now_s()
        return self.last_command_number

    def record_answer(self, command_number: int) -> None:
        """Record the answer to a command."""
        self.last_answer_at_s = self.clock.now_s()
        self.unreachable_since_s = None
        self.in_flight.pop(command_number, None)
        if self.commits_in_flight.pop(command_number, None) is not None:
            self.last_commit_at_s = self.last_answer_at_s
            self.lost_commit_sent_at_s = None

    def record_lost(self, command_number: int) -> None:
        """Record that a command's connection ended without an answer."""
        sent_at_s = self.in_flight.pop(command_number, self.clock.now_s())
        if self.commits_in_flight.pop(command_number, None) is not None and (
            sent_at_s > self.last_commit_at_s and self.lost_commit_sent_at_s is None
        ):
            self.lost_commit_sent_at_s = sent_at_s
        if (
            self.clock.now_s() - sent_at_s >= RESPONSE_TIMEOUT_S
            and sent_at_s > self.last_answer_at_s
        ):
            self.mark_unreachable(sent_at_s)

    def mark_unreachable(self, since_s: float | None = None) -> None:
        """Record that connecting failed or that an answer did not arrive."""
        if self.unreachable_since_s is None:
            now_s = self.clock.now_s()
            self.unreachable_since_s = now_s if since_s is None else since_s

    def mark_lagging(self) -> None:
        """Record that the endpoint's log lacked a position that a read needed."""
        self.lagging_until_s = self.clock.now_s() + LAG_COOLDOWN_S

    @property
    def is_lagging(self) -> bool:
        """Whether the endpoint lacked a position within the lag cooldown."""
        return self.clock.now_s() < self.lagging_until_s

    def mark_reachable(self) -> None:
        """Record that the endpoint accepted a connection or answered a probe."""
        self.last_answer_at_s = self.clock.now_s()
        self.unreachable_since_s = None

    @property
    def is_suspect(self) -> bool:
        """Whether the endpoint seems to be down or unreachable from this VM."""
        if self.unreachable_since_s is not None:
            return True
        oldest_sent_at_s = min(self.in_flight.values(), default=None)
        if (
            oldest_sent_at_s is None
            or self.clock.now_s() - oldest_sent_at_s < RESPONSE_TIMEOUT_S
        ):
            return False
        return self.last_answer_at_s < oldest_sent_at_s

    @property
    def is_commit_suspect(self) -> bool:
        """Whether commits get no answer though the endpoint may answer reads."""
        pending = [
            s for s in self.commits_in_flight.values() if s > self.last_commit_at_s
        ]
        if self.lost_commit_sent_at_s is not None:
            pending.append(self.lost_commit_sent_at_s)
        return (
            bool(pending)
            and self.clock.now_s() - min(pending) >= COMMIT_STALL_TIMEOUT_S
        )
