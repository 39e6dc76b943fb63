"""Ratio of session reads at replicas, and how long reads wait for a replica."""

# The target for all VMs together is 80%; the margin covers differences between VMs.
TARGET_RATIO = 0.85
# Weight of one read in the exponential moving average.
RATIO_WEIGHT = 0.02
LONG_REPLICA_WAIT_S = 0.5


class ReplicaReadRatio:
    """Smoothed fraction of session reads at replicas, which sets their wait.

    A read at the primary is fast, but the session has then seen a position that
    lagging replicas do not have yet, so its next reads go to the primary too.
    While the ratio is at or above the target, reads wait briefly and then use
    the primary; below the target they wait longer for the replica.
    """

    def __init__(self) -> None:
        self.ratio = 1.0

    def record(self, *, is_replica: bool) -> None:
        """Record one read of a session."""
        self.ratio += RATIO_WEIGHT * (is_replica - self.ratio)

    def wait_s(self, short_s: float) -> float:
        """Return how long a read may wait for a replica.

        Parameters
        ----------
        short_s : float
            Wait set by the configuration's policy, in seconds.
        """
        if self.ratio >= TARGET_RATIO:
            return short_s
        return max(short_s, LONG_REPLICA_WAIT_S)
