"""The leader's side of reports, barriers and owners."""

import asyncio

import msgspec

from ebonyladder.kernel.clock import ManualClock, SystemClock
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState, VmEntry
from ebonyladder.sessions.failure_detector import FailureDetector
from ebonyladder.sessions.leader import Leader
from ebonyladder.sessions.leadership import Leadership
from ebonyladder.sessions.messages import Report
from ebonyladder.sessions.objects import Revision
from ebonyladder.sessions.quota import PermitAllocator, Tolerance
from ebonyladder.sessions.shares import EQUAL_PART
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    VmId,
    ZoneId,
)
from tests.session_fakes import ORGANISATION, SERVICE, cluster

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
        "sent_s": 1.0,
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
        self.leader = Leader(
            cluster=self.cluster,
            leadership=self.leadership,
            failure_detector=FailureDetector(cluster=self.cluster, clock=self.clock),
            allocator=PermitAllocator(clock=self.clock, tolerance=Tolerance()),
            watch_manager=WatchManager(spawn=lambda coroutine, name: None),
            vms=lambda: self.vms,
            clock=self.clock,
        )

    def take(self) -> None:
        """Take the duty."""
        record = self.leadership.next_record(ADDRESS)
        self.leadership.note_written(record, Revision(1), self.clock.now_s())

    def lead(self) -> None:
        """Take the duty and read the groups."""
        self.take()
        self.leader.note_groups_read(self.leadership.record.token)


def moving(epoch: int) -> GroupState:
    """Return the state of a group whose primary is changed."""
    return GroupState(
        service=SERVICE,
        epoch=epoch,
        phase=GroupPhase.MOVING,
        primary=EndpointId("primary"),
    )


class TestDuty:
    def test_new_leader_is_not_certain_before_it_has_read_the_groups(self):
        # Guards against evidence for an old primary from a leader that was not
        # told of its predecessor's last change.
        world = World()
        world.take()
        assert world.leader.token is None
        assert not world.leader.answer(report()).is_leader
        world.leader.note_groups_read(world.leadership.record.token)
        assert world.leader.token == 1
        assert world.leader.answer(report()).is_leader

    def test_groups_read_under_an_earlier_duty_do_not_count(self):
        world = World()
        world.lead()
        record = world.leadership.record
        world.leadership.observe(
            type(record)(
                holder=OTHER,
                incarnation=Incarnation(1),
                address=ADDRESS,
                token=2,
                is_released=True,
            ),
            Revision(2),
        )
        world.take()
        assert world.leadership.record.token == 3
        assert world.leader.token is None


class TestOrders:
    def test_only_newer_groups_are_sent(self):
        world = World()
        world.lead()
        world.cluster.adopt_group(moving(4))
        assert world.leader.answer(report()).groups == (moving(4),)
        assert world.leader.answer(report(epochs={SERVICE: 4})).groups == ()

    def test_catalog_goes_to_a_vm_that_is_behind(self):
        world = World()
        world.lead()
        behind = report(version=ConfigurationVersion(0))
        assert world.leader.answer(behind).catalog is world.cluster.catalog
        assert world.leader.answer(report()).catalog is None

    def test_turns_are_lent_for_known_organisations_only(self):
        world = World()
        world.lead()
        world.clock.advance(1.0)
        world.leadership.note_heard(OTHER, world.clock.now_s())
        loans = world.leader.answer(
            report(wants={ORGANISATION.name: 2, "nobody": 2})
        ).loans
        assert {name: grant.turns for name, grant in loans.items()} == {
            ORGANISATION.name: 2
        }

    def test_uncertain_holder_lends_the_parts_of_those_that_report(self):
        # Guards against VMs that all go on alone, with near-empty buckets, when one
        # VM dies while the store is away.
        world = World()
        world.lead()
        world.clock.advance(60.0)
        wants = {ORGANISATION.name: 10_000}
        world.leader.answer(report(shares={ORGANISATION.name: 0.3}))
        world.leader.refresh_shares()
        world.leader.answer(report(wants=wants))
        world.clock.advance(10.0)
        world.leader.answer(report())
        world.leader.refresh_shares()
        found = world.leader.answer(report(wants=wants))
        assert not found.is_leader
        assert found.lends
        part = 0.3 + EQUAL_PART
        most = part * (10.0 * ORGANISATION.rate_per_s + ORGANISATION.burst)
        assert 0 < found.loans[ORGANISATION.name].turns <= most

    def test_deputy_lends_once_it_has_lost_the_leader(self):
        # Guards against seconds without a lender between two leaders.
        world = World()
        wants = {ORGANISATION.name: 10_000}
        assert not world.leader.answer(report(wants=wants)).lends
        world.leader.stands_in = True
        world.leader.answer(report(shares={ORGANISATION.name: 0.5}))
        world.leader.refresh_shares()
        world.clock.advance(1.0)
        found = world.leader.answer(report(wants=wants))
        assert not found.is_leader
        assert found.lends
        assert found.loans[ORGANISATION.name].turns > 0

    def test_former_holder_lends_nothing(self):
        world = World()
        world.lead()
        record = msgspec.structs.replace(world.leadership.record, holder=OTHER, token=2)
        world.leadership.observe(record, Revision(2))
        found = world.leader.answer(report(wants={ORGANISATION.name: 2}))
        assert not found.lends
        assert found.loans == {}

    def test_vm_that_is_not_listed_is_told(self):
        # Guards against a VM for which no change of a primary waits.
        world = World()
        world.lead()
        del world.vms[OTHER]
        assert not world.leader.answer(report()).is_listed


class TestBarrier:
    def play(self, world: World, limit_s: float) -> float:
        """Return how long a barrier takes, in seconds."""

        async def wait() -> float:
            world.leader.epoch_reported = asyncio.Event()
            started_s = world.clock.now_s()
            await world.leader.wait_adopted(moving(1), limit_s)
            return world.clock.now_s() - started_s

        return asyncio.run(wait())

    def test_barrier_ends_when_all_vms_have_adopted(self):
        world = World(SystemClock())
        world.leader.adopted[OTHER, SERVICE] = 1
        assert self.play(world, 30.0) < 30.0

    def test_barrier_waits_for_a_vm_that_does_not_answer(self):
        world = World(SystemClock())
        assert self.play(world, 0.3) >= 0.3

    def test_barrier_waits_for_a_vm_that_was_removed_a_moment_ago(self):
        # Guards against stale reads of a VM that is cut off from the leader only:
        # its evidence from the store outlives its removal from the list.
        world = World(SystemClock())
        del world.vms[OTHER]
        world.leader.note_removed(OTHER)
        assert self.play(world, 0.3) >= 0.29
