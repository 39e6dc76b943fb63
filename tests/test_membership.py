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
    """Guards against work for dead VMs and against loss of live ones."""

    def test_listed_vm_that_never_answered_is_not_live(self):
        table = table_of(ManualClock())
        table.merge_list(listed("a"))
        assert not table.is_live("a")
        assert table.targets() == ["a"]
        table.answered(record("a"), sent_at_s=table.clock.now_s())
        assert table.is_live("a")

    def test_vm_missing_from_the_list_stays_while_it_answers(self):
        table = table_of(ManualClock())
        table.merge(record("a"))
        table.merge_list(listed("b"))
        assert table.is_live("a")

    def test_silent_vm_missing_from_the_list_is_forgotten(self):
        clock = ManualClock()
        table = table_of(clock)
        table.merge(record("a"))
        clock.advance(5)
        table.merge(record("a", last_contact_ago_s=5, is_unresponsive=True))
        table.merge_list([])
        assert "a" not in table.members

    def test_three_seconds_of_failed_pings_end_the_life(self):
        clock = ManualClock()
        table = table_of(clock)
        table.answered(record("a"), sent_at_s=clock.now_s())
        for _ in range(2):
            clock.advance(1.0)
            table.failed("a", sent_at_s=clock.now_s())
        clock.advance(0.9)
        table.review()
        assert table.is_live("a")
        clock.advance(0.2)
        table.review()
        assert not table.is_live("a")
        assert [r.is_unresponsive for r in table.take_news()] == [True]

    def test_one_failed_ping_after_a_pause_of_the_holder_proves_nothing(self):
        clock = ManualClock()
        table = table_of(clock)
        table.answered(record("a"), sent_at_s=clock.now_s())
        sent_at_s = clock.now_s()
        clock.advance(60)
        table.failed("a", sent_at_s=sent_at_s)
        table.review()
        assert table.is_live("a")

    def test_reported_silence_needs_a_silence_here_too(self):
        clock = ManualClock()
        table = table_of(clock)
        table.merge(record("a"))
        clock.advance(1)
        assert not table.merge(record("a", last_contact_ago_s=5, is_unresponsive=True))
        assert table.is_live("a")

    def test_later_sign_of_life_ends_a_reported_silence(self):
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

    def test_list_that_still_shows_the_last_life_as_leaving(self):
        table = table_of(ManualClock())
        table.merge(record("a"))
        table.merge_list(listed("a", state=VmState.DRAIN))
        assert table.members["a"].state is VmState.DRAIN
        table.merge(record("a", incarnation=2))
        table.merge_list(listed("a", state=VmState.DRAIN))
        assert table.members["a"].state is VmState.ACTIVE

    def test_pings_are_bounded_and_the_ring_covers_everyone(self):
        pinged: dict[str, int] = {}
        names = [f"vm-{number}" for number in range(60)]
        for name in names:
            table = MemberTable(vm=name, clock=ManualClock(), random=Random(7))
            for other in names:
                table.merge(record(other))
            targets = table.targets()
            assert len(targets) == 6
            assert name not in targets
            for target in targets:
                pinged[target] = pinged.get(target, 0) + 1
        assert min(pinged.get(name, 0) for name in names) >= 4

    def test_news_ends_after_a_bounded_number_of_messages(self):
        table = table_of(ManualClock(), 5)
        sent = sum(len(table.take_news()) for _ in range(100))
        assert 0 < sent <= 5 * 12

    def test_table_is_bounded(self):
        assert len(table_of(ManualClock(), 9_000).members) == 8_192


class TestView:
    """Guards against views that stay apart or follow a wrong list."""

    def test_killed_vm_leaves_every_view_and_returns(self):
        async def scenario(fleet):
            dead = fleet.vms[3]
            fleet.network.partition(dead.name)
            await asyncio.sleep(6)
            others = [vm for vm in fleet.vms if vm is not dead]
            assert all(dead.name not in vm.names() for vm in others)
            assert all(len(vm.names()) == 7 for vm in others)
            fleet.network.heal()
            await asyncio.sleep(6)
            assert all(len(vm.names()) == 8 for vm in fleet.vms)

        run_fleet(scenario)

    def test_silence_reaches_vms_that_do_not_ping_the_dead_one(self):
        async def scenario(fleet):
            dead = fleet.vms[3].name
            fleet.network.partition(dead)
            await asyncio.sleep(10)
            others = [vm for vm in fleet.vms if vm.name != dead]
            assert all(len(vm.names()) == 39 for vm in others)

        run_fleet(scenario, count=40)

    def test_out_of_date_list_changes_nothing(self):
        async def scenario(fleet):
            fleet.store.listed = listed("vm-0", "ghost")
            await asyncio.sleep(12)
            assert all(len(vm.names()) == 8 for vm in fleet.vms)
            assert all("ghost" not in vm.names() for vm in fleet.vms)

        run_fleet(scenario)

    def test_one_way_cut_excludes_only_where_it_matters(self):
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

    def test_suspected_vm_is_pinged_at_once(self):
        async def scenario(fleet):
            view = fleet.vms[0].view
            view.tasks.clear()
            view.suspect("vm-5")
            assert view.table.members["vm-5"].failures == 1
            await asyncio.sleep(0.01)
            assert view.table.members["vm-5"].failures == 0

        run_fleet(scenario)

    def test_draining_vm_gets_no_work_anywhere(self):
        async def scenario(fleet):
            fleet.vms[4].kernel.draining = True
            await asyncio.sleep(3)
            for vm in fleet.vms:
                assert "vm-4" not in [m.vm for m in vm.view.workers()]
                assert "vm-4" in vm.names()

        run_fleet(scenario)

    def test_zone_out_gets_no_work_and_returns(self):
        async def scenario(fleet):
            text = '{"zones": {"zone-0": {"region": "r", "state": "%s"}}}'
            await fleet.write(text % "out")
            await asyncio.sleep(2)
            for vm in fleet.vms:
                assert {m.zone for m in vm.view.workers()} == {"zone-1", "zone-2"}
            await fleet.write(text % "in")
            await asyncio.sleep(2)
            assert all(len(vm.view.workers()) == 8 for vm in fleet.vms)

        run_fleet(scenario)
