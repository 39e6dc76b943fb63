"""Tests of the wait for a replica to apply a position."""

import asyncio

import pytest

from ebonyladder.confirmation import Confirmer
from ebonyladder.endpoint import EndpointReport
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.messages import Forward
from ebonyladder.replica_read_ratio import LONG_REPLICA_WAIT_S, ReplicaReadRatio
from ebonyladder.types import HopId, Position, RequestKind, Role, Statement

# The first report doesn't tell when its entries were received, so the lag is
# measured from the second one on.
MEASURED = ((-0.1, 0, 0), (0.0, 1, 0), (0.2, 1, 1), (1.0, 2, 1))


def view_at(now_s: float, *reports: tuple[float, int, int]) -> tuple:
    """Return view and clock after reports of (time, received, applied)."""
    view, clock = GroupView(group="g", endpoints={"e": "a"}), ManualClock()
    for at_s, received, applied in reports:
        report = EndpointReport(
            endpoint="e",
            role=Role.REPLICA,
            fence_term=1,
            log_term=1,
            term_start=0,
            received=received,
            applied=applied,
            primary_contact_age_s=0.0,
        )
        view.record_report(report, at_s)
    clock.advance(now_s - clock.now_s())
    return view, clock


class TestExpectedWait:
    """Guards against waits that can't succeed and refusals without a measured lag."""

    @pytest.mark.parametrize(
        ("now_s", "position", "expected_s"),
        [(1.0, 2, 0.2), (1.15, 2, 0.05), (1.5, 2, 0.0), (1.0, 9, 0.2)],
    )
    def test_expected_wait_is_the_lag_minus_the_time_since_receipt(
        self, now_s, position, expected_s
    ):
        view, _ = view_at(0, *MEASURED)
        wait_s = view.apply_lag["e"].wait_s(position, now_s)
        assert wait_s == pytest.approx(expected_s)

    @pytest.mark.parametrize(
        ("reports", "is_refused"),
        [(MEASURED, True), ([(0.9, 1, 1), (1.0, 2, 1)], False)],
        ids=["measured", "unmeasured"],
    )
    def test_read_is_refused_immediately_only_after_a_measurement(
        self, reports, is_refused
    ):
        async def run():
            view, clock = view_at(1.0, *reports)
            forward = Forward(
                hop=HopId(vm="v", incarnation=1, number=1),
                organisation="o",
                service="s",
                group="g",
                endpoint="e",
                statement=Statement(kind=RequestKind.READ, text="GET a"),
                remaining_s=9.0,
                required_position=Position(term=1, position=2),
            )
            confirmer = Confirmer(view=view, clock=clock)
            wait = asyncio.create_task(confirmer.require_readable(forward, 0.1))
            await asyncio.sleep(0)
            was_refused = wait.done()
            with pytest.raises(RequestError) as caught:
                await wait
            return was_refused, caught.value.code

        assert asyncio.run(run()) == (is_refused, ErrorCode.REPLICA_BEHIND)


class TestReplicaReadRatio:
    """Guards against sessions that stay at the primary."""

    def test_reads_wait_longer_while_too_few_are_at_replicas(self):
        ratio = ReplicaReadRatio()
        assert ratio.wait_s(0.1) == 0.1
        for _ in range(20):
            ratio.record(is_replica=False)
        assert ratio.wait_s(0.1) == LONG_REPLICA_WAIT_S
        for _ in range(100):
            ratio.record(is_replica=True)
        assert ratio.wait_s(0.1) == 0.1
