"""Endpoints registered in the store, kept while their entries are briefly absent."""

from abc import ABC, abstractmethod

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.types import EndpointId, EndpointState

# An active endpoint whose entry disappears is kept for this long, in seconds: an entry
# that expired during an outage of the store returns within two seconds of its end.
ABSENCE_TIMEOUT_S = 2.5


class EndpointDirectory(ABC):
    """List of the endpoints in the store."""

    @abstractmethod
    async def read(self) -> list[EndpointEntry]:
        """Read the valid entries of all endpoints from the store.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE if the store doesn't answer.
        """


class EndpointRegistry:
    """Applies the listed endpoints to the cluster view.

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
        # Time since which each endpoint's entry is absent.
        self.absent_since_s: dict[EndpointId, float] = {}

    def update(self, entries: dict[EndpointId, EndpointEntry]) -> None:
        """Apply the listed entries; absent active endpoints stay for a while."""
        kept = dict(entries)
        for known in self.cluster.endpoints.values():
            if known.id in entries:
                self.absent_since_s.pop(known.id, None)
            elif known.state is EndpointState.ACTIVE:
                self.absent_since_s.setdefault(known.id, self.clock.now_s())
                kept[known.id] = known
        if kept != self.cluster.endpoints:
            logging.info("[listing] Endpoints changed. count=%d", len(kept))
            self.cluster.apply_endpoints(kept)

    def expire(self) -> None:
        """Remove the endpoints whose absence timed out."""
        oldest_s = self.clock.now_s() - ABSENCE_TIMEOUT_S
        expired = {
            e for e, since_s in self.absent_since_s.items() if since_s < oldest_s
        }
        if not expired:
            return
        for endpoint in expired:
            del self.absent_since_s[endpoint]
        logging.info("[listing] Endpoints are removed. endpoints=%s", sorted(expired))
        self.cluster.apply_endpoints(
            {
                e: entry
                for e, entry in self.cluster.endpoints.items()
                if e not in expired
            }
        )
