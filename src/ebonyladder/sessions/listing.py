"""List of endpoints, kept through short absences of their entries."""

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.types import EndpointId, EndpointState

# An entry that lapsed while the store was away is back within two seconds of the
# store's return; an active entry that disappears is kept a little longer.
ABSENCE_S = 2.5


class EndpointRegistry:
    """Writes the listed endpoints into the roster.

    Parameters
    ----------
    cluster : ClusterView
        Receives the endpoints.
    clock : Clock
        Clock of the absences.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.absent_s: dict[EndpointId, float] = {}

    def update(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Take over a listing; active entries that are missing stay for a while."""
        kept = dict(entries)
        for known in self.cluster.endpoints.values():
            if known.id in entries:
                self.absent_s.pop(known.id, None)
            elif known.state is EndpointState.ACTIVE:
                self.absent_s.setdefault(known.id, self.clock.now_s())
                kept[known.id] = known
        if kept != self.cluster.endpoints:
            logging.info("[listing] Endpoints change. count=%d", len(kept))
            self.cluster.apply_endpoints(kept)

    def expire(self) -> None:
        """Remove entries that have been absent for too long."""
        oldest_s = self.clock.now_s() - ABSENCE_S
        gone = {e for e, since_s in self.absent_s.items() if since_s < oldest_s}
        if not gone:
            return
        for endpoint in gone:
            del self.absent_s[endpoint]
        logging.info("[listing] Endpoints are gone. endpoints=%s", sorted(gone))
        self.cluster.apply_endpoints(
            {e: entry for e, entry in self.cluster.endpoints.items() if e not in gone}
        )
