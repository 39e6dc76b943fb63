"""The leader's side of reports and barriers."""

import asyncio

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock, SystemClock
from ebonyladder.sessions.cluster_view import (
    AcknowledgedRange,
    GroupPhase,
    GroupState,
    VmEntry,
)
from ebonyladder.sessions.fleet.failure_detector import (
    FAILOVER_BACKOFF_S,
    FAILOVER_COOLDOWN_S,
    FailureDetector,
)
from ebonyladder.sessions.fleet.leader import Leader
from ebonyladder.sessions.fleet.leadership import Leadership
from ebonyladder.sessions.fleet.shares import EQUAL_FRACTION
from ebonyladder.sessions.messages import Report
from ebonyladder.sessions.objects import Revision, StoreEra
from ebonyladder.sessions.quota import PermitAllocator, Tolerance
from ebonyladder.sessions.store_era import StoreEraTracker, era_start
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    EndpointState,
    Incarnation,
    Role,
    VmId,
    ZoneId,
)
from tests.session_fakes import (
    ORGANISATION,
    SERVICE,
    CountingMetrics,
    cluster,
    entry,
    position,
)

ADDRESS = Address("127.0.0.1:1")
OTHER = VmId("vm-2")


def vm(name: VmId) -> VmEntry:
    """Return a registered VM."""
    return VmEntry(
        vm=name, address=ADDRESS, zone=ZoneId("a"), incarnation=Incarnation(1)
    )


def report(**fields) -> Report:
    """Return a report of the other VM."""
    defaults = {
        "vm": OTHER,
        "incarnation": Incarnation(1),
        "sent_at_s": 1.0,
        "version": ConfigurationVersion(1),
    }
    return Report(**{**defaults, **fields})


class World:
    """Leader with one other VM in its list."""

    def __init__(self, clock=None) -> None:
        self.clock = clock or ManualClock()
        self.cluster = cluster(self.clock)
        self.leadership = Leadership(
            vm=VmId("vm-1"), incarnation=Incarnation(1), clock=self.clock
        )
        self.vms = {name: vm(name) for name in (VmId("vm-1"), OTHER)}
        self.eras = StoreEraTracker(metrics=CountingMetrics())
        self.leader = Leader(
            cluster=self.cluster,
            leadership=self.leadership,
            failure_detector=FailureDetector(cluster=self.cluster, clock=self.clock),
            allocator=PermitAllocator(clock=self.clock, tolerance=Tolerance()),
            watch_manager=WatchManager(supervise=lambda run, name: None),
            vms=lambda: self.vms,
            eras=self.eras,
            clock=self.clock,
        )

    def acquire(self) -> None:
        """Acquire the leadership."""
        record = self.leadership.next_record(ADDRESS)
        self.leadership.record_renewal(record, Revision(1), self.clock.now_s())

    def lead(self) -> None:
        """Acquire the leadership and load the groups."""
        self.acquire()
        self.leader.record_groups_loaded(self.leadership.record.token)


def moving(epoch: int) -> GroupState:
    """Return the state of a group during a failover."""
    return GroupState(
        service=SERVICE,
        epoch=epoch,
        phase=GroupPhase.MOVING,
        primary=EndpointId("primary"),
    )


class TestFencingToken:
    """Guards against a leader that acts before it knows the current groups."""

    def test_new_leader_has_no_token_before_it_has_loaded_the_groups(self):
        # Guards against a leader that confirms an old primary since it doesn't know of
        # its predecessor's last failover.
        world = World()
        world.acquire()
        assert world.leader.fencing_token is None
        assert not world.leader.answer(report()).is_leader
        world.leader.record_groups_loaded(world.leadership.record.token)
        assert world.leader.fencing_token == 1
        assert world.leader.answer(report()).is_leader

    def test_groups_loaded_under_an_earlier_token_do_not_count(self):
        world = World()
        world.lead()
        record = world.leadership.record
        world.leadership.apply_record(
            type(record)(
                holder=OTHER,
                incarnation=Incarnation(1),
                address=ADDRESS,
                token=2,
                is_released=True,
            ),
            Revision(2),
        )
        world.acquire()
        assert world.leadership.record.token == 3
        assert world.leader.fencing_token is None


class TestAnswer:
    """Guards against VMs with outdated groups, configuration or permits."""

    def test_only_newer_groups_are_sent(self):
        world = World()
        world.lead()
        world.cluster.apply_group(moving(4))
        assert world.leader.answer(report()).groups == (moving(4),)
        assert world.leader.answer(report(epochs={SERVICE: 4})).groups == ()

    def test_catalog_goes_to_a_vm_that_is_behind(self):
        world = World()
        world.lead()
        behind = report(version=ConfigurationVersion(0))
        assert world.leader.answer(behind).catalog is world.cluster.catalog
        assert world.leader.answer(report()).catalog is None

    def test_permits_are_granted_for_known_organisations_only(self):
        world = World()
        world.lead()
        world.clock.advance(1.0)
        world.leadership.record_acknowledgement(OTHER, world.clock.now_s())
        grants = world.leader.answer(
            report(requests={ORGANISATION.name: 2, "nobody": 2})
        ).grants
        assert {name: grant.permits for name, grant in grants.items()} == {
            ORGANISATION.name: 2
        }

    def test_leader_with_expired_lease_grants_the_fractions_of_reporting_vms(self):
        # Guards against the local fallback at all VMs, with nearly empty buckets, when
        # one VM fails during an outage of the store.
        world = World()
        world.lead()
        world.clock.advance(60.0)
        requests = {ORGANISATION.name: 10_000}
        world.leader.answer(report(shares={ORGANISATION.name: 0.3}))
        world.leader.refresh_shares()
        world.leader.answer(report(requests=requests))
        world.clock.advance(10.0)
        world.leader.answer(report())
        world.leader.refresh_shares()
        found = world.leader.answer(report(requests=requests))
        assert not found.is_leader
        assert found.grants_permits
        fraction = 0.3 + EQUAL_FRACTION
        maximum = fraction * (10.0 * ORGANISATION.rate_per_s + ORGANISATION.burst)
        assert 0 < found.grants[ORGANISATION.name].permits <= maximum

    def test_standby_grants_permits_once_it_has_lost_the_leader(self):
        # Guards against seconds without grants between two leaders.
        world = World()
        requests = {ORGANISATION.name: 10_000}
        assert not world.leader.answer(report(requests=requests)).grants_permits
        world.leader.is_active_standby = True
        world.leader.answer(report(shares={ORGANISATION.name: 0.5}))
        world.leader.refresh_shares()
        world.clock.advance(1.0)
        found = world.leader.answer(report(requests=requests))
        assert not found.is_leader
        assert found.grants_permits
        assert found.grants[ORGANISATION.name].permits > 0

    def test_former_leader_grants_nothing(self):
        world = World()
        world.lead()
        record = msgspec.structs.replace(world.leadership.record, holder=OTHER, token=2)
        world.leadership.apply_record(record, Revision(2))
        found = world.leader.answer(report(requests={ORGANISATION.name: 2}))
        assert not found.grants_permits
        assert found.grants == {}

    def test_update_reports_that_a_vm_is_not_registered(self):
        # Guards against a VM that no failover waits for.
        world = World()
        world.lead()
        del world.vms[OTHER]
        assert not world.leader.answer(report()).is_registered


class TestBarrier:
    """Guards against a failover that proceeds before all VMs have its group state."""

    def measure_barrier(self, world: World, timeout_s: float) -> float:
        """Return how long a barrier takes, in seconds."""

        async def wait() -> float:
            world.leader.barrier.epoch_acknowledged = asyncio.Event()
            started_at_s = world.clock.now_s()
            await world.leader.barrier.wait(moving(1), timeout_s)
            return world.clock.now_s() - started_at_s

        return asyncio.run(wait())

    def test_barrier_ends_when_all_vms_have_applied_the_epoch(self):
        world = World(SystemClock())
        world.leader.barrier.applied_epochs[OTHER, SERVICE] = 1
        assert self.measure_barrier(world, 30.0) < 30.0

    def test_barrier_waits_for_an_unresponsive_vm(self):
        world = World(SystemClock())
        assert self.measure_barrier(world, 0.3) >= 0.3

    def test_barrier_waits_for_a_recently_removed_vm(self):
        # Guards against stale reads at a VM that is partitioned from the leader only:
        # its confirmation of the group states outlives its removal from the list.
        world = World(SystemClock())
        del world.vms[OTHER]
        world.leader.barrier.record_removed(OTHER)
        assert self.measure_barrier(world, 0.3) >= 0.29

    def test_barrier_waits_for_a_vm_that_reports_but_is_not_registered_again(self):
        # Guards against stale reads at a VM that has returned from a partition: it
        # confirms its group states with each report.
        world = World(SystemClock())
        del world.vms[OTHER]
        world.lead()
        world.leader.answer(report())
        assert self.measure_barrier(world, 0.3) >= 0.29
        world.leader.answer(report(epochs={SERVICE: 1}))
        assert self.measure_barrier(world, 30.0) < 30.0


class TestEnd:
    """Guards against a leader that waits for a VM that was stopped as planned."""

    def setup_method(self):
        self.world = World(SystemClock())
        self.world.lead()

    def end(self) -> None:
        """Receive the last report of the other VM."""
        self.world.leader.answer(report(shares={ORGANISATION.name: 0.7}))
        self.world.leader.answer(report(is_draining=True, has_ended=True))

    def measure_barrier(self) -> float:
        """Return how long a barrier takes, in seconds."""
        return TestBarrier().measure_barrier(self.world, 0.3)

    def test_barrier_does_not_wait_for_a_vm_that_has_ended(self):
        self.end()
        assert self.measure_barrier() < 0.3

    def test_barrier_does_not_wait_after_the_entry_was_removed(self):
        self.end()
        incarnation = self.world.vms.pop(OTHER).incarnation
        self.world.leader.barrier.record_removed(OTHER, incarnation)
        assert self.measure_barrier() < 0.3

    def test_barrier_waits_for_the_next_process_of_the_vm(self):
        # Guards against a process that has read the former group state at its start.
        self.end()
        self.world.vms[OTHER] = msgspec.structs.replace(
            self.world.vms[OTHER], incarnation=Incarnation(2)
        )
        assert self.measure_barrier() >= 0.29

    def test_entry_is_removed_at_once(self):
        assert self.world.leader.expired_vms() == []
        self.end()
        assert self.world.leader.expired_vms() == [OTHER]

    def test_others_may_use_its_shares(self):
        # Guards against a rate that is cut for 30 s after a VM was stopped.
        self.end()
        del self.world.vms[OTHER]
        self.world.leader.refresh_shares()
        assert self.world.leader.shares.grantable_fraction(ORGANISATION.name) == 1.0


class TestWhatCallersWereTold:
    """Guards against a promotion without a commit that callers know of."""

    def setup_method(self):
        self.world = World()
        self.world.lead()
        self.barrier = self.world.leader.barrier

    def tell(self, number: int, *, epoch: int = 1) -> None:
        """Report the last commit of the other VM's callers under an epoch."""
        told = AcknowledgedRange(lower=position(1, number), upper=position(1, number))
        self.world.leader.answer(
            report(epochs={SERVICE: epoch}, acknowledged={SERVICE: told})
        )

    def test_last_commit_of_all_vms_counts(self):
        own = AcknowledgedRange(lower=position(1, 9), upper=position(1, 11))
        self.world.cluster.record_acknowledged(SERVICE, own)
        self.tell(10)
        found = self.barrier.acknowledged(SERVICE)
        assert (found.lower, found.upper) == (position(1, 10), position(1, 11))

    def test_commit_told_under_an_earlier_group_state_counts(self):
        self.tell(10, epoch=0)
        assert self.barrier.acknowledged(SERVICE).lower == position(1, 10)


class TestFailoverBackoff:
    """Guards against a primary that leaves before it is replaced."""

    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (EndpointState.ACTIVE, FAILOVER_COOLDOWN_S),
            (EndpointState.LEAVING, FAILOVER_BACKOFF_S),
        ],
    )
    def test_leaving_primary_is_replaced_without_the_cooldown(self, state, expected):
        world = World()
        primary = entry("primary", role=Role.PRIMARY, zone="b", state=state)
        world.cluster.endpoints[primary.id] = primary
        detector = world.leader.failure_detector
        detector.record_attempt(SERVICE, is_replaced=True)
        pause_s = detector.next_attempt_at_s[SERVICE] - world.clock.now_s()
        assert pause_s == pytest.approx(expected)


class TestStoreReturn:
    """Guards against a leader that goes on in an earlier era of the store."""

    @staticmethod
    def world() -> World:
        """Return a leader that knows era 5."""
        world = World()
        world.eras.record(StoreEra(5), known_when_sent=None)
        world.lead()
        return world

    @pytest.mark.parametrize(("era", "counts"), [(None, False), (4, False), (5, True)])
    def test_only_acknowledgements_of_the_era_prove_the_lease(self, era, counts):
        # Guards against two leaders: a VM of another era may take over.
        world = self.world()
        world.leader.answer(report(era=era, acknowledged_at_s=3.0))
        assert (OTHER in world.leadership.acknowledged_at_s) is counts

    def test_leader_learns_of_the_return_from_a_report(self):
        # Guards against a leader without the store that is replaced unnoticed.
        world = self.world()
        begun = []
        world.eras.listeners.append(lambda: begun.append(world.eras.known))
        answer = world.leader.answer(report(era=StoreEra(6), acknowledged_at_s=3.0))
        assert begun == [6]
        assert answer.era == 6

    def test_leader_that_may_resume_still_grants_permits(self):
        # Guards against callers that are refused while the leader writes its record.
        world = self.world()
        world.leadership.record_era(era_start(StoreEra(6)), lease_remaining_s=2.0)
        assert world.leader.fencing_token is None
        assert world.leader.grants_permits
