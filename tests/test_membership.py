"""Tests of the view of VMs."""

import asyncio
from random import Random

from ebonyladder._members import MemberTable
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.messages import PeerRecord
from ebonyladder.store import ListedVm
from ebonyladder.types import VmState
from tests.fleet import run_fleet


def record(vm: str, **changes) -> PeerRecord:
    fields = {
        "vm": vm,
        "zone": "zone-a",
        "address": vm,
        "incarnation": 1,
        "state": VmState.ACTIVE,
        "last_contact_ago_s": 0.0,
    }
    return PeerRecord(**(fields | changes))


def listed(*names: str, state: VmState = VmState.ACTIVE) -> list[ListedVm]:
    return [
        ListedVm(vm=name, zone="zone-a", peer_address=name, state=state)
        for name in names
    ]


def table_of(clock: ManualClock, count: int = 0) -> MemberTable:
    table = MemberTable(vm="me", clock=clock, random=Random(7))
    for number in range(count):
        table.merge(record(f"vm-{number:04}"))
    return table


class TestMemberTable:
    """Guards against views that list VMs that have failed or lose live ones."""

    def test_listed_vm_that_never_answered_is_not_live(self):
        table = table_of(ManualClock())
        table.merge_list(listed("a"))
        assert not table.is_live("a")
        assert table.ping_targets() == ["a"]
        table.record_pong(record("a"), sent_at_s=table.clock.now_s())
        assert table.is_live("a")

    def test_vm_missing_from_the_list_stays_while_it_answers(self):
        table = table_of(ManualClock())
        table.merge(record("a"))
        table.merge_list(listed("b"))
        assert table.is_live("a")

    def test_unresponsive_vm_missing_from_the_list_is_removed(self):
        clock = ManualClock()
        table = table_of(clock)
        table.merge(record("a"))
        clock.advance(5)
        table.merge(record("a", last_contact_ago_s=5, is_unresponsive=True))
        table.merge_list([])
        assert "a" not in table.members

    def test_vm_is_not_live_after_three_seconds_of_failed_pings(self):
        clock = ManualClock()
        table = table_of(clock)
        table.record_pong(record("a"), sent_at_s=clock.now_s())
        for _ in range(2):
            clock.advance(1.0)
            table.record_failure("a", sent_at_s=clock.now_s())
        clock.advance(0.9)
        table.check_liveness()
        assert table.is_live("a")
        clock.advance(0.2)
        table.check_liveness()
        assert not table.is_live("a")
        assert [r.is_unresponsive for r in table.take_updates()] == [True]

    def test_one_failed_ping_after_a_pause_of_this_vm_is_ignored(self):
        clock = ManualClock()
        table = table_of(clock)
        table.record_pong(record("a"), sent_at_s=clock.now_s())
        sent_at_s = clock.now_s()
        clock.advance(60)
        table.record_failure("a", sent_at_s=sent_at_s)
        table.check_liveness()
        assert table.is_live("a")

    def test_unresponsive_record_is_ignored_after_a_recent_contact(self):
        clock = ManualClock()
        table = table_of(clock)
        table.merge(record("a"))
        clock.advance(1)
        assert not table.merge(record("a", last_contact_ago_s=5, is_unresponsive=True))
        assert table.is_live("a")

    def test_later_contact_makes_an_unresponsive_vm_live_again(self):
        clock = ManualClock()
        table = table_of(clock)
        table.merge(record("a"))
        clock.advance(6)
        table.merge(record("a", last_contact_ago_s=6, is_unresponsive=True))
        assert not table.is_live("a")
        table.merge(record("a", last_contact_ago_s=5.5))
        assert not table.is_live("a")
        table.merge(record("a", last_contact_ago_s=0.5))
        assert table.is_live("a")

    def test_record_of_an_earlier_incarnation_is_ignored(self):
        table = table_of(ManualClock())
        table.merge(record("a", incarnation=2, address="new"))
        table.merge(record("a", address="old", state=VmState.DRAIN))
        assert table.members["a"].address == "new"
        assert table.members["a"].state is VmState.ACTIVE

    def test_list_that_still_shows_a_restarted_vm_as_draining_is_ignored(self):
        table = table_of(ManualClock())
        table.merge(record("a"))
        table.merge_list(listed("a", state=VmState.DRAIN))
        assert table.members["a"].state is VmState.DRAIN
        table.merge(record("a", incarnation=2))
        table.merge_list(listed("a", state=VmState.DRAIN))
        assert table.members["a"].state is VmState.ACTIVE

    def test_pings_are_bounded_and_the_ring_covers_every_vm(self):
        pinged: dict[str, int] = {}
        names = [f"vm-{number}" for number in range(60)]
        for name in names:
            table = MemberTable(vm=name, clock=ManualClock(), random=Random(7))
            for other in names:
                table.merge(record(other))
            targets = table.ping_targets()
            assert len(targets) == 6
            assert name not in targets
            for target in targets:
                pinged[target] = pinged.get(target, 0) + 1
        assert min(pinged.get(name, 0) for name in names) >= 4

    def test_updates_end_after_a_bounded_number_of_messages(self):
        table = table_of(ManualClock(), 5)
        sent = sum(len(table.take_updates()) for _ in range(100))
        assert 0 < sent <= 5 * 12

    def test_table_is_bounded(self):
        assert len(table_of(ManualClock(), 9_000).members) == 8_192


class TestView:
    """Guards against views that stay different or follow an out-of-date list."""

    def test_isolated_vm_is_removed_from_every_view_and_returns(self):
        async def scenario(fleet):
            isolated = fleet.vms[3]
            fleet.network.partition(isolated.name)
            await asyncio.sleep(6)
            others = [vm for vm in fleet.vms if vm is not isolated]
            assert all(isolated.name not in vm.names() for vm in others)
            assert all(len(vm.names()) == 7 for vm in others)
            fleet.network.heal()
            await asyncio.sleep(6)
            assert all(len(vm.names()) == 8 for vm in fleet.vms)

        run_fleet(scenario)

    def test_vms_that_do_not_ping_an_isolated_vm_learn_of_it(self):
        async def scenario(fleet):
            isolated = fleet.vms[3].name
            fleet.network.partition(isolated)
            await asyncio.sleep(10)
            others = [vm for vm in fleet.vms if vm.name != isolated]
            assert all(len(vm.names()) == 39 for vm in others)

        run_fleet(scenario, count=40)

    def test_out_of_date_list_changes_nothing(self):
        async def scenario(fleet):
            fleet.store.listed = listed("vm-0", "nonexistent")
            await asyncio.sleep(12)
            assert all(len(vm.names()) == 8 for vm in fleet.vms)
            assert all("nonexistent" not in vm.names() for vm in fleet.vms)

        run_fleet(scenario)

    def test_one_way_partition_excludes_a_vm_only_where_it_is_unreachable(self):
        async def scenario(fleet):
            fleet.network.blocked.add(("vm-1", "vm-2"))
            for _ in range(20):
                await asyncio.sleep(1)
                seen = [vm for vm in fleet.vms if vm.name not in ("vm-1", "vm-2")]
                assert all(len(vm.names()) == 8 for vm in seen)
            fleet.vms[1].view.suspect("vm-2")
            await asyncio.sleep(5)
            assert "vm-2" not in fleet.vms[1].names()

        run_fleet(scenario)

    def test_suspected_vm_is_pinged_immediately(self):
        async def scenario(fleet):
            view = fleet.vms[0].view
            view.tasks.clear()
            view.suspect("vm-5")
            assert view.table.members["vm-5"].failures == 1
            await asyncio.sleep(0.01)
            assert view.table.members["vm-5"].failures == 0

        run_fleet(scenario)

    def test_draining_vm_is_active_in_no_view(self):
        async def scenario(fleet):
            fleet.vms[4].kernel.draining = True
            await asyncio.sleep(3)
            for vm in fleet.vms:
                assert "vm-4" not in [m.vm for m in vm.view.active_vms()]
                assert "vm-4" in vm.names()

        run_fleet(scenario)

    def test_vms_of_a_zone_that_is_out_are_not_active_until_it_returns(self):
        async def scenario(fleet):
            text = '{"zones": {"zone-0": {"region": "r", "state": "%s"}}}'
            await fleet.write(text % "out")
            await asyncio.sleep(2)
            for vm in fleet.vms:
                assert {m.zone for m in vm.view.active_vms()} == {"zone-1", "zone-2"}
            await fleet.write(text % "in")
            await asyncio.sleep(2)
            assert all(len(vm.view.active_vms()) == 8 for vm in fleet.vms)

        run_fleet(scenario)
