"""Readiness of this VM for new sessions, and release of idle ones."""

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.drain import BALANCER_DETECTION_S

# A VM whose group states were last confirmed this long ago counts as isolated, in
# seconds. A change of the leader takes less time.
ISOLATION_TIMEOUT_S = 3.0


class Readiness:
    """Tells whether the VM can serve every kind of statement.

    Handles the partition of single VMs: a VM that reaches neither the leader nor the
    store fails its readiness probe, so that the load balancer sends it no sessions,
    and then closes its idle sessions, whose callers reconnect to other VMs.

    Parameters
    ----------
    cluster : ClusterView
        Configuration, endpoints and confirmation of the group states.
    clock : Clock
        Clock of the isolation.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.was_ready = False
        self.has_closed_sessions = False

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

    def should_close_idle_sessions(self) -> bool:
        """Return whether to close idle sessions now; True once for each isolation.

        They are closed only after the load balancer has detected that this VM isn't
        ready, and only once, since in an outage of all VMs they would reconnect to
        this one.
        """
        if self._isolated_s() <= 0:
            self.has_closed_sessions = False
            return False
        if self.has_closed_sessions or self._isolated_s() < BALANCER_DETECTION_S:
            return False
        self.has_closed_sessions = True
        return True

    def _isolated_s(self) -> float:
        """Return the time since the isolation began, in seconds; negative before."""
        return (
            self.clock.now_s()
            - self.cluster.groups_confirmed_at_s
            - ISOLATION_TIMEOUT_S
        )
