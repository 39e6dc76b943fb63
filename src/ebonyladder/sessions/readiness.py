"""Whether this VM should get new sessions, and keep those that it has."""

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.drain import BALANCER_S

# Without evidence for this long, in seconds, a VM counts as isolated. A change of
# the leader takes less.
ISOLATION_S = 3.0


class Readiness:
    """Ready while the VM can serve every kind of statement.

    It answers the partition of single VMs: a VM that hears neither the leader nor
    the store leaves the balancer, and then gives its idle sessions to other VMs.

    Parameters
    ----------
    cluster : ClusterView
        Configuration, endpoints and evidence.
    clock : Clock
        Clock of the evidence.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.was_ready = False
        self.has_released = False

    def is_ready(self, *, is_draining: bool) -> bool:
        """Tell whether the VM should get new sessions."""
        is_ready = (
            not is_draining
            and self.cluster.catalog is not None
            and bool(self.cluster.endpoints)
            and self._isolated_s() <= 0
        )
        if is_ready != self.was_ready:
            logging.info(
                "[readiness] Readiness changes. ready=%s config=%d endpoints=%d "
                "isolated_s=%.1f",
                is_ready,
                self.cluster.version,
                len(self.cluster.endpoints),
                self._isolated_s(),
            )
        self.was_ready = is_ready
        return is_ready

    def releases_sessions(self) -> bool:
        """Tell, once for each isolation, that idle sessions should move away.

        They move only after the balancer has noticed the isolation, and once, since
        in an outage of all VMs they would come back to this one.
        """
        if self._isolated_s() <= 0:
            self.has_released = False
            return False
        if self.has_released or self._isolated_s() < BALANCER_S:
            return False
        self.has_released = True
        return True

    def _isolated_s(self) -> float:
        """Return for how long the evidence has been too old, in seconds."""
        return self.clock.now_s() - self.cluster.evidence_s - ISOLATION_S
