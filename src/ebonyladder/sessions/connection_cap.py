"""How many connections an endpoint accepts from this VM at present."""

from ebonyladder.kernel.clock import Clock

# Time after which one more connection is tried at an endpoint that refuses them, in
# seconds. It doubles with each refusal up to the longest interval, since each attempt
# takes an endpoint's slot for 12 ms and all VMs may try.
GROWTH_INTERVAL_S = 0.1
MAX_GROWTH_INTERVAL_S = 0.4
# Connections that each accepted one allows in addition, so that the number doubles.
GROWTH_BY_SUCCESS = 2


class ConnectionCap:
    """Limits the attempts to connect to an endpoint that has too many connections.

    Designed for the seconds after VMs have failed: their connections count at the
    endpoint for 3 s after the VMs have lost power, and those of a former owner until it
    knows of the new one. If all waiting statements kept trying, their attempts would
    take the slots of the statements that have a connection.

    Parameters
    ----------
    clock : Clock
        Clock of the growth.
    limit : int
        Connections that this VM may hold if the endpoint accepts them.
    """

    def __init__(self, *, clock: Clock, limit: int) -> None:
        self.clock = clock
        self.limit = limit
        self.accepted: int | None = None
        self.accepted_at_s = clock.now_s()
        self.growth_interval_s = GROWTH_INTERVAL_S

    @property
    def is_reduced(self) -> bool:
        """Whether the endpoint has recently refused a connection."""
        return self.current < self.limit

    @property
    def current(self) -> int:
        """Connections that may be open or opening now."""
        if self.accepted is None:
            return self.limit
        elapsed_s = self.clock.now_s() - self.accepted_at_s
        return min(self.accepted + int(elapsed_s / self.growth_interval_s), self.limit)

    def record_refused(self, open_count: int) -> None:
        """Record a refused connection; ``open_count`` others are open."""
        if self.accepted is not None:
            self.growth_interval_s = min(
                2 * self.growth_interval_s, MAX_GROWTH_INTERVAL_S
            )
        self.accepted = open_count
        self.accepted_at_s = self.clock.now_s()

    def record_opened(self, open_count: int) -> None:
        """Record an accepted connection; ``open_count`` are open now.

        One that only takes the place of a closed one shows no room for more.
        """
        if self.accepted is None or open_count <= self.accepted:
            return
        self.accepted = max(self.current, open_count + GROWTH_BY_SUCCESS)
        self.accepted_at_s = self.clock.now_s()
        self.growth_interval_s = GROWTH_INTERVAL_S
        if self.accepted >= self.limit:
            self.accepted = None
