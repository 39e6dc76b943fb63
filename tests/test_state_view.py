"""State of a VM, as its operators see it."""

from types import SimpleNamespace

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.failover import UNKNOWN_PRIMARY
from ebonyladder.sessions.objects import StoreEra
from ebonyladder.sessions.state_view import describe
from tests.session_fakes import SERVICE, cluster


class TestStoreReturn:
    def test_service_that_waits_for_its_log_holders_is_shown(self):
        # Guards against a service without a primary whose reason an operator can't see.
        view = cluster(ManualClock())
        view.apply_group(
            GroupState(
                service=SERVICE,
                epoch=1,
                phase=GroupPhase.MOVING,
                primary=UNKNOWN_PRIMARY,
                is_incomplete=True,
            )
        )
        state = describe(view, SimpleNamespace(pools={}), era=StoreEra(3))
        assert state["store_era"] == 3
        assert state["groups"][SERVICE]["is_incomplete"]
