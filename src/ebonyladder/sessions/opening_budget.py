"""How many connections to an endpoint this VM may open at a time, and how often."""

from ebonyladder.kernel.clock import Clock
from ebonyladder.limits import BucketSize, TokenBucket

# Fraction of an endpoint's slots that connections of all VMs may take while they open.
# An endpoint without a free slot refuses statements.
OPENING_FRACTION = 0.5
# Least number of connections that a VM may open at a time.
MIN_OPENING = 2
# Time for which a connection takes a slot while it opens, in seconds.
OPENING_S = 0.012
# Added to the wait for the next turn, in seconds, so that rounding can't repeat it.
ROUNDING_S = 0.0005


class OpeningBudget:
    """Limits the slots of an endpoint that this VM's connections take while they open.

    Answers the load after a burst: each statement that a busy endpoint refuses costs
    its connection, and the next statement opens another one. If the connections of all
    VMs that open took all slots, the endpoint would refuse nearly all statements until
    the load ends. Each VM has a share of the turns to open; those it hasn't used, up to
    the number of connections it may hold, it may take at once.

    Parameters
    ----------
    clock : Clock
        Clock of the turns.
    slots : int
        Slots of the endpoint.
    limit : int
        Number of connections that this VM may hold.
    share : float
        Fraction of the endpoint's connections that this VM may hold.
    """

    def __init__(
        self, *, clock: Clock, slots: int, limit: int, share: float = 1.0
    ) -> None:
        size = self._size(slots, limit, share)
        self.bucket = TokenBucket(size=size, clock=clock)
        self.bucket.tokens = size.capacity
        self.most_at_a_time = self._most_at_a_time(slots, share)

    def resize(self, *, slots: int, limit: int, share: float) -> None:
        """Apply a change of the endpoint's slots or of this VM's share."""
        size = self._size(slots, limit, share)
        added = max(size.capacity - self.bucket.size.capacity, 0)
        self.bucket.resize(size)
        self.bucket.tokens += added
        self.most_at_a_time = self._most_at_a_time(slots, share)

    def may_open(self, opening: int) -> bool:
        """Tell whether another connection may open beside those that are opening."""
        return opening < self.most_at_a_time and self.bucket.available() >= 1

    def take(self) -> None:
        """Take a turn to open a connection."""
        self.bucket.take(1)

    @property
    def wait_s(self) -> float:
        """Time until the next turn, in seconds; 0 if there is one."""
        missing = 1 - self.bucket.available()
        if missing <= 0:
            return 0.0
        return missing / self.bucket.size.rate_per_s + ROUNDING_S

    @staticmethod
    def _size(slots: int, limit: int, share: float) -> BucketSize:
        rate_per_s = max(slots, 1) * OPENING_FRACTION * share / OPENING_S
        return BucketSize(rate_per_s, max(limit, 1))

    @staticmethod
    def _most_at_a_time(slots: int, share: float) -> int:
        return max(MIN_OPENING, int(slots * OPENING_FRACTION * share))
