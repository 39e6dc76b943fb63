"""Readiness of a VM and the release of its sessions."""

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.drain import BALANCER_S
from ebonyladder.sessions.readiness import ISOLATION_S, Readiness
from tests.session_fakes import cluster


class TestReadiness:
    def setup_method(self):
        self.clock = ManualClock()
        self.cluster = cluster(self.clock)
        self.readiness = Readiness(cluster=self.cluster, clock=self.clock)

    def test_vm_with_configuration_and_endpoints_is_ready(self):
        assert self.readiness.is_ready(is_draining=False)
        assert not self.readiness.is_ready(is_draining=True)

    def test_isolated_vm_leaves_the_balancer(self):
        # Guards against new sessions at a VM that can only refuse.
        self.clock.advance(ISOLATION_S + 0.1)
        assert not self.readiness.is_ready(is_draining=False)

    def test_sessions_are_released_once_after_the_balancer_noticed(self):
        # Guards against sessions that reconnect to the same VM, again and again.
        self.clock.advance(ISOLATION_S + 0.1)
        assert not self.readiness.releases_sessions()
        self.clock.advance(BALANCER_S)
        assert self.readiness.releases_sessions()
        assert not self.readiness.releases_sessions()
