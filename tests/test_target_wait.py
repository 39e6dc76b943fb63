"""How long statements wait while a service has no primary."""

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.endpoint_selector import NoTarget
from ebonyladder.sessions.target_wait import LONG_OUTAGE_S, SHORT_WAIT_S, TargetWait
from tests.session_fakes import SERVICE

TIMEOUT_S = 1.0


class TestOutage:
    @pytest.fixture
    def wait(self) -> TargetWait:
        return TargetWait(clock=ManualClock())

    def wait_s(self, wait: TargetWait, reason=NoTarget.NO_PRIMARY) -> float:
        """Return how long a statement that comes now waits."""
        now_s = wait.clock.now_s()
        end_s = wait.end_s(
            reason, SERVICE, started_at_s=now_s, deadline_s=now_s + TIMEOUT_S
        )
        return round(end_s - now_s, 6)

    def test_statement_waits_for_a_failover(self, wait):
        # Guards against refusing what a failover of two seconds lets run in time.
        assert self.wait_s(wait) == TIMEOUT_S
        wait.clock.advance(LONG_OUTAGE_S - 0.1)
        assert self.wait_s(wait) == TIMEOUT_S

    @pytest.mark.parametrize("reason", [NoTarget.NO_PRIMARY, NoTarget.PRIMARY_SUSPECT])
    def test_statement_of_a_long_outage_is_refused_at_once(self, wait, reason):
        # Guards against statements that are held until their timeouts although no
        # primary is to be expected.
        self.wait_s(wait, reason)
        wait.clock.advance(LONG_OUTAGE_S)
        assert self.wait_s(wait, reason) == SHORT_WAIT_S

    def test_outage_ends_with_a_primary(self, wait):
        # Guards against refusals during the next, short failover.
        self.wait_s(wait)
        wait.clock.advance(LONG_OUTAGE_S)
        wait.record_primary(SERVICE)
        assert self.wait_s(wait) == TIMEOUT_S

    def test_partitioned_vm_refuses_at_once(self, wait):
        # Another VM may serve the caller.
        assert self.wait_s(wait, NoTarget.STALE_GROUPS) == SHORT_WAIT_S
