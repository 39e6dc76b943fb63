"""Share of session reads that replicas serve, and how long reads wait for them."""

# The target is 80%; the margin covers the difference between VMs.
WANTED_SHARE = 0.85
SHARE_WEIGHT = 0.02
LONG_WAIT_S = 0.5


class ReplicaShare:
    """Choose between waiting for a replica and reading at the primary.

    A read at the primary is fast, but the session has then seen a position that
    the replicas lack for as long as they lag, so its next reads go there too.
    As long as the share is high enough, reads wait briefly and then use the
    primary; below it they wait for the replica.
    """

    def __init__(self) -> None:
        self.share = 1.0

    def note(self, *, is_replica: bool) -> None:
        """Take in one read of a session."""
        self.share += SHARE_WEIGHT * (is_replica - self.share)

    def wait_s(self, short_s: float) -> float:
        """Return how long a read may wait for a replica.

        Parameters
        ----------
        short_s : float
            Wait of the configuration's policy, in seconds.
        """
        if self.share >= WANTED_SHARE:
            return short_s
        return max(short_s, LONG_WAIT_S)
