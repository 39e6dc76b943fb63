"""Tests of the distribution of the configuration."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyladder._subtree import SubtreeCounter, name_checksum
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.messages import Message, SubtreeReport, SyncAnswer
from ebonyladder.relay import (
    RootSet,
    TextHistory,
    parents_of,
    relay_roots,
    tree_order,
)
from tests.fleet import Fleet, run_fleet

TEXTS = st.text(alphabet="ab\n\r\u2028", max_size=30)


def zones_of(count: int, zones: int = 3) -> dict[str, str]:
    return {f"vm-{n}": f"zone-{n % zones}" for n in range(count)}


class TestTree:
    """Guards against cycles, deep trees and roots that share a zone."""

    @pytest.mark.parametrize("count", [1, 2, 5, 6, 8, 45, 46, 300, 3600])
    def test_parents_are_on_the_level_above_and_have_few_children(self, count):
        zones = zones_of(count)
        roots = relay_roots(zones)
        order = tree_order(zones, roots)
        depth = {root: 0 for root in roots}
        children: dict[str, int] = {}
        indexes = {vm: index for index, vm in enumerate(order)}
        for vm in order[len(roots) :: max(1, count // 300)]:
            parents = parents_of(vm, order, len(roots))
            assert len(parents) == min(2, len(roots))
            assert all(indexes[parent] < indexes[vm] for parent in parents)
        for vm in order[len(roots) : 300]:
            parents = parents_of(vm, order, len(roots))
            assert len({depth[parent] for parent in parents}) == 1
            depth[vm] = depth[parents[0]] + 1
            children[parents[0]] = children.get(parents[0], 0) + 1
        assert max(children.values(), default=0) <= 8
        assert max(depth.values()) <= 3

    def test_roots_are_spread_over_zones(self):
        zones = zones_of(100, zones=5)
        assert len({zones[root] for root in relay_roots(zones)}) == 5

    def test_loss_of_most_roots_never_replaces_them(self):
        clock = ManualClock()
        roots = RootSet(clock=clock)
        roots.update(zones_of(12), clock.now_s())
        old = list(roots.quorum_roots)
        view = {vm: z for vm, z in zones_of(12).items() if vm not in old[:3]}
        clock.advance(5)
        roots.update(view, clock.now_s())
        assert roots.quorum_roots == old

    def test_first_roots_need_a_complete_view_or_a_newer_confirmation(self):
        clock = ManualClock()
        confirmed_at_s = clock.now_s()
        clock.advance(1)
        roots = RootSet(clock=clock)
        roots.update(zones_of(12), confirmed_at_s)
        assert roots.quorum_roots == []
        roots.update(zones_of(12), confirmed_at_s, is_complete=True)
        assert roots.quorum_roots == relay_roots(zones_of(12))

    def test_complete_view_does_not_replace_roots(self):
        clock = ManualClock()
        roots = RootSet(clock=clock)
        roots.update(zones_of(12), clock.now_s())
        old = list(roots.quorum_roots)
        confirmed_at_s = clock.now_s()
        clock.advance(1)
        roots.update(zones_of(3), confirmed_at_s, is_complete=True)
        assert roots.quorum_roots == old

    def test_loss_of_a_root_needs_a_newer_confirmation(self):
        clock = ManualClock()
        roots = RootSet(clock=clock)
        roots.update(zones_of(12), clock.now_s())
        old = list(roots.quorum_roots)
        view = {vm: z for vm, z in zones_of(12).items() if vm != old[0]}
        confirmed_at_s = clock.now_s()
        clock.advance(2)
        roots.update(view, confirmed_at_s)
        assert roots.quorum_roots == old
        roots.update(view, clock.now_s())
        assert old[0] not in roots.quorum_roots


class TestTextHistory:
    """Guards against a text that differs from the one that was accepted."""

    @given(old=TEXTS, new=TEXTS)
    def test_delta_results_in_the_new_text(self, old, new):
        sender, receiver = TextHistory(), TextHistory()
        sender.add(1, old)
        receiver.add(1, old)
        sender.add(2, new)
        assert receiver.apply(sender.delta_since(1)) == new

    def test_delta_of_one_line_is_compact(self):
        lines = [f'"endpoint-{n}": {{"slots": 5}},' for n in range(7_700)]
        history = TextHistory()
        history.add(1, "\n".join(lines))
        lines[4_000] = '"endpoint-4000": {"slots": 6},'
        history.add(2, "\n".join(lines))
        assert len(history.delta_since(1)) < 100

    def test_delta_with_an_unknown_or_different_base_is_refused(self):
        sender, receiver = TextHistory(), TextHistory()
        sender.add(1, "a\nb\nc")
        sender.add(2, "a\nx\nc")
        assert receiver.apply(sender.delta_since(1)) is None
        receiver.add(1, "other\ntext")
        assert receiver.apply(sender.delta_since(1)) is None
        assert receiver.apply(b"\xc1") is None
        assert sender.delta_since(0) is None

    def test_kept_texts_are_bounded(self):
        history = TextHistory()
        for version in range(1, 12):
            history.add(version, "x" * 1_000_000)
        assert len(history.texts) == 4
        assert history.text


class TestDistribution:
    """Guards against lost, reverted and invalid configurations."""

    def test_change_reaches_every_vm_within_two_seconds(self):
        async def scenario(fleet):
            version = await fleet.write("{/* 1 */}")
            await asyncio.sleep(2)
            assert {vm.configuration.version for vm in fleet.vms} == {version}

        run_fleet(scenario, count=60)

    def test_store_calls_in_steady_state_do_not_grow(self):
        watches = []
        for count in (8, 60):

            async def scenario(fleet):
                before = fleet.store.calls["watch"]
                await asyncio.sleep(20)
                watches.append(fleet.store.calls["watch"] - before)

            run_fleet(scenario, count=count)
        assert watches[1] <= watches[0] * 1.1

    def test_answer_of_an_outdated_parent_reverts_nothing(self):
        async def scenario(fleet):
            configuration = fleet.vms[0].configuration
            await fleet.write("{/* 1 */}")
            await asyncio.sleep(2)
            version, text = configuration.version, configuration.history.text
            configuration._apply_answer(
                SyncAnswer(version=version - 1, age_s=0.0, text="{}"), 1e9
            )
            assert (configuration.version, configuration.history.text) == (
                version,
                text,
            )
            fleet.clock.advance(10)
            old = SyncAnswer(version=version - 1, age_s=0.0, outage_age_s=0.0)
            configuration._apply_answer(old, fleet.clock.now_s())
            assert not fleet.vms[0].accepts_work()

        run_fleet(scenario)

    def test_invalid_text_leaves_the_last_valid_one_active(self):
        async def scenario(fleet):
            before = [vm.configuration.current for vm in fleet.vms]
            await fleet.write('{"policy": 7}')
            await asyncio.sleep(3)
            assert [vm.configuration.current for vm in fleet.vms] == before
            assert all(vm.accepts_work() for vm in fleet.vms)
            version = await fleet.write('{"routes": {"/x": {"open": true}}}')
            await asyncio.sleep(3)
            assert {vm.configuration.version for vm in fleet.vms} == {version}
            assert all(vm.configuration.current.routes for vm in fleet.vms)

        run_fleet(scenario)

    def test_vm_uses_other_parents_when_its_parents_fail(self):
        async def scenario(fleet):
            leaf = next(vm for vm in fleet.vms if vm.configuration.parents)
            for parent in leaf.configuration.parents:
                fleet.network.block_both(leaf.name, parent)
            for _ in range(20):
                await asyncio.sleep(0.5)
                assert leaf.accepts_work()

        run_fleet(scenario)

    def test_vm_that_starts_in_an_outage_gets_the_text_from_a_seed(self):
        async def scenario(fleet):
            fleet.store.is_down = True
            await asyncio.sleep(5)
            late = fleet.add("late", seeds=("gone", "vm-3"))
            assert not late.accepts_work()
            await late.kernel.start()
            await asyncio.sleep(3)
            assert late.configuration.version == fleet.text_version
            assert late.accepts_work()
            assert len(late.names()) == 9
            assert late.configuration.roots.quorum_roots == fleet.roots()

        run_fleet(scenario)

    def test_isolated_vm_that_starts_in_an_outage_takes_no_work(self):
        async def scenario(fleet):
            fleet.store.is_down = True
            late = fleet.add("late", seeds=("vm-3",))
            fleet.network.partition("late")
            await late.kernel.start()
            await asyncio.sleep(20)
            assert not late.accepts_work()

        run_fleet(scenario)


class TestConfirmation:
    """Guards against reports to operators that wrongly count a VM as confirmed."""

    def test_every_vm_confirms(self):
        async def scenario(fleet):
            version = await fleet.write("{/* 1 */}")
            configuration = fleet.vms[7].configuration
            await configuration.require_roots(version, 3)
            report = await configuration.confirm(version, 8)
            assert len(report.confirmed) == 60
            assert report.unconfirmed == []

        run_fleet(scenario, count=60)

    def test_partitioned_vm_is_unconfirmed(self):
        async def scenario(fleet):
            fleet.network.partition("vm-4")
            fleet.vms[4].store.is_down = True
            version = await fleet.write("{/* 1 */}")
            report = await fleet.vms[0].configuration.confirm(version, 2)
            assert report.unconfirmed == ["vm-4"]
            assert len(report.confirmed) == 7

        run_fleet(scenario)

    def test_version_that_most_roots_lack_is_not_confirmed(self):
        async def scenario(fleet: Fleet):
            with pytest.raises(ConfigurationError, match="0 of 5 relay roots"):
                await fleet.vms[0].configuration.require_roots(99, 2)

        run_fleet(scenario)

    def test_vm_counted_twice_does_not_hide_a_missing_one(self):
        clock = ManualClock()
        counter = SubtreeCounter(vm="a", clock=clock)
        for child in ("b", "c"):
            report = SubtreeReport(count=1, checksum=name_checksum(["b"]))
            counter.record(child, 1, report)
        total = counter.report(1, 1)
        assert total.count == 3
        assert total.checksum != name_checksum(["a", "b", "c"])
        clock.advance(4)
        assert counter.report(1, 1).count == 1

    def test_child_with_an_older_version_is_reported(self):
        counter = SubtreeCounter(vm="a", clock=ManualClock())
        counter.record("b", 1, SubtreeReport(count=1, checksum=name_checksum(["b"])))
        assert counter.report(2, 2).behind == ["b"]

    def test_messages_are_known_to_the_codec(self):
        tags = [t.__struct_config__.tag for t in Message.__subclasses__()]
        assert len(tags) == len(set(tags))
