"""Health of endpoints, judged from what statements and connections meet."""

from ebonyladder.kernel.clock import Clock

# An endpoint that answers nothing for this long, though asked, is suspected. It is
# above the longest statement of a busy endpoint and below the shortest statement
# timeout of the routes.
SILENCE_S = 0.6
# Commits alone stop when a primary has lost its replicas.
COMMIT_SILENCE_S = 0.7
# A replica that lacked a position is left out for this long, in seconds.
BEHIND_PAUSE_S = 0.25


class EndpointHealth:
    """Outstanding commands and last answers of one endpoint.

    Parameters
    ----------
    clock : Clock
        Clock of the silences.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.outstanding: dict[int, float] = {}
        self.commits: dict[int, float] = {}
        self.next_ticket = 0
        self.answered_s = clock.now_s()
        self.committed_s = clock.now_s()
        self.unreachable_since_s: float | None = None
        self.lost_commit_s: float | None = None
        self.behind_until_s = clock.now_s()

    def sent(self, *, is_commit: bool) -> int:
        """Note a command that was sent; return its ticket."""
        self.next_ticket += 1
        self.outstanding[self.next_ticket] = self.clock.now_s()
        if is_commit:
            self.commits[self.next_ticket] = self.clock.now_s()
        return self.next_ticket

    def answered(self, ticket: int) -> None:
        """Note the answer to a command."""
        self.answered_s = self.clock.now_s()
        self.unreachable_since_s = None
        self.outstanding.pop(ticket, None)
        if self.commits.pop(ticket, None) is not None:
            self.committed_s = self.answered_s
            self.lost_commit_s = None

    def lost(self, ticket: int) -> None:
        """Note a command whose connection ended without an answer."""
        sent_s = self.outstanding.pop(ticket, self.clock.now_s())
        if self.commits.pop(ticket, None) is not None and (
            sent_s > self.committed_s and self.lost_commit_s is None
        ):
            self.lost_commit_s = sent_s
        if self.clock.now_s() - sent_s >= SILENCE_S and sent_s > self.answered_s:
            self.unreachable(sent_s)

    def unreachable(self, since_s: float | None = None) -> None:
        """Note that the endpoint can't be connected to or is silent."""
        if self.unreachable_since_s is None:
            now_s = self.clock.now_s()
            self.unreachable_since_s = now_s if since_s is None else since_s

    def behind(self) -> None:
        """Note that the endpoint's log lacked a position that a read needed."""
        self.behind_until_s = self.clock.now_s() + BEHIND_PAUSE_S

    @property
    def is_behind(self) -> bool:
        """Whether the endpoint lacked a position a moment ago."""
        return self.clock.now_s() < self.behind_until_s

    def reachable(self) -> None:
        """Note that the endpoint accepted a connection or answered a probe."""
        self.answered_s = self.clock.now_s()
        self.unreachable_since_s = None

    @property
    def is_suspect(self) -> bool:
        """Whether the endpoint seems to be down or cut off from this VM."""
        if self.unreachable_since_s is not None:
            return True
        oldest_s = min(self.outstanding.values(), default=None)
        if oldest_s is None or self.clock.now_s() - oldest_s < SILENCE_S:
            return False
        return self.answered_s < oldest_s

    @property
    def is_commit_suspect(self) -> bool:
        """Whether commits get no answer though the endpoint may answer reads."""
        pending = [s for s in self.commits.values() if s > self.committed_s]
        if self.lost_commit_s is not None:
            pending.append(self.lost_commit_s)
        return bool(pending) and self.clock.now_s() - min(pending) >= COMMIT_SILENCE_S
