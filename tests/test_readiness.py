"""Readiness of a VM, and when it closes its idle sessions."""

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.drain import BALANCER_DETECTION_S
from ebonyladder.sessions.readiness import ISOLATION_TIMEOUT_S, Readiness
from tests.session_fakes import cluster


class TestReadiness:
    def setup_method(self):
        self.clock = ManualClock()
        self.cluster = cluster(self.clock)
        self.readiness = Readiness(cluster=self.cluster, clock=self.clock)

    def test_vm_with_configuration_and_endpoints_is_ready(self):
        # Guards against new sessions at a VM that drains.
        assert self.readiness.is_ready(is_draining=False)
        assert not self.readiness.is_ready(is_draining=True)

    def test_isolated_vm_is_not_ready(self):
        # Guards against new sessions at a VM that can only refuse statements.
        self.clock.advance(ISOLATION_TIMEOUT_S + 0.1)
        assert not self.readiness.is_ready(is_draining=False)

    def test_idle_sessions_are_closed_once_after_the_balancer_s_detection(self):
        # Guards against sessions that reconnect to the same VM, again and again.
        self.clock.advance(ISOLATION_TIMEOUT_S + 0.1)
        assert not self.readiness.should_close_idle_sessions()
        self.clock.advance(BALANCER_DETECTION_S)
        assert self.readiness.should_close_idle_sessions()
        assert not self.readiness.should_close_idle_sessions()
