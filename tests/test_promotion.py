"""Tests of promotion and planned switchover."""

import asyncio
from types import SimpleNamespace

import pytest

from bench.virtual import run_virtual
from ebonyladder import _fencing
from ebonyladder.endpoint import FenceVote
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.registry import REGISTRY
from ebonyladder.types import Role
from tests.fake_group import NAMES, FakeEndpoint, FakeGroup

SCHEDULES = 300


async def group_after_cooldown(seed: int = 1) -> FakeGroup:
    """Return a group after its first promotion, past the cooldown."""
    group = FakeGroup(seed=seed)
    await group.run(7.0)
    return group


async def run_schedule(seed: int, endpoint_class: type = FakeEndpoint) -> FakeGroup:
    """Inject random failures, then return the group once it has recovered."""
    group = FakeGroup(seed=seed, endpoint_class=endpoint_class)
    for _ in range(group.random.randint(8, 16)):
        await group.run(group.random.uniform(0.1, 1.5))
        group.inject_failure()
    group.heal()
    await group.run(12.0)
    return group


class TestRandomSchedules:
    """Guards against two primaries in a term and lost acknowledged writes."""

    def test_no_write_is_lost_and_each_term_has_one_primary(self):
        acknowledged = promotions = 0
        for seed in range(SCHEDULES):
            group = run_virtual(run_schedule(seed))
            assert not group.violations(), f"seed={seed} faults={group.violations()}"
            acknowledged += len(group.acknowledged)
            promotions += len({term for term, _ in group.promoted})
        print(f"seeds=0..{SCHEDULES - 1} {acknowledged=} {promotions=}")
        assert promotions > SCHEDULES and acknowledged > 10_000

    def test_write_checker_detects_the_choice_of_an_old_log(self, monkeypatch):
        def oldest(votes, **_):
            return min(votes, key=lambda vote: (vote.log_term, vote.received)).endpoint

        monkeypatch.setattr(_fencing, "choose_primary", oldest)
        groups = [run_virtual(run_schedule(seed)) for seed in range(60)]
        assert any("writes lost" in f for group in groups for f in group.violations())


class UnboundVotes(FakeEndpoint):
    """Faulty endpoint whose vote counts for every promoter of the term."""

    binds_votes = False

    def become_primary(self, term, promoter):
        return super().become_primary(term, self.voted_for)


class TestRace:
    """Guards against two primaries in a term after a race of promoters."""

    async def race(self, seed: int, endpoint_class: type = FakeEndpoint) -> list[str]:
        group = FakeGroup(seed=seed, endpoint_class=endpoint_class)
        for vm, hidden in zip(group.vms, reversed(NAMES), strict=True):
            vm.assigned_rank = 0
            group.unreachable.add(frozenset((vm.name, hidden)))
        await group.run(3.0)
        group.heal()
        await group.run(9.0)
        return group.violations()

    def test_racing_promoters_make_one_primary_a_term(self):
        faults = {seed: run_virtual(self.race(seed)) for seed in range(50)}
        assert not any(faults.values()), faults

    def test_one_primary_checker_detects_unbound_votes(self):
        faults = [run_virtual(self.race(seed, UnboundVotes)) for seed in range(50)]
        print(f"seeds=0..49 caught={sum(bool(found) for found in faults)}")
        assert any("two primaries" in text for found in faults for text in found)


class TestFailover:
    """Guards against long gaps without a primary and unnecessary promotions."""

    def test_gap_after_a_kill_is_within_two_seconds(self):
        async def gap(seed: int) -> float:
            group = await group_after_cooldown(seed)
            old = group.primary()
            await group.run(group.random.uniform(0, 0.2))
            killed_at_s = group.clock.now_s()
            old.is_up = False
            while (group.primary() or old) is old:
                await group.run(0.05)
            return group.clock.now_s() - killed_at_s

        gaps = sorted(run_virtual(gap(seed)) for seed in range(50))
        print(f"virtual time, seeds=0..49 median={gaps[25]:.2f} worst={gaps[-1]:.2f}")
        assert gaps[-1] <= 2.0

    @pytest.mark.parametrize("calls", range(1, 7))
    def test_another_promoter_completes_a_promotion_that_stops_after_any_call(
        self, calls
    ):
        async def scenario():
            group = await group_after_cooldown()
            old, term = group.primary(), group.primary().log_term
            group.vms[0].dies_after = group.vms[0].calls + calls
            old.is_up = False
            await group.run(3.0)
            assert group.primary() not in (None, old)
            old.is_up = True
            await group.run(3.0)
            assert old.role is Role.REPLICA and old.log_term > term
            return group.violations()

        assert run_virtual(scenario()) == []

    def test_a_slow_primary_is_not_replaced(self):
        async def scenario():
            group = await group_after_cooldown()
            primary = group.primary()
            # No VM gets a report, but replication heartbeats continue.
            group.unreachable |= {
                frozenset((vm.name, primary.name)) for vm in group.vms
            }
            await group.run(5.0)
            return len(group.promoted)

        assert run_virtual(scenario()) == 1

    def test_a_vm_that_reaches_no_majority_does_not_promote(self):
        async def scenario():
            group = await group_after_cooldown()
            for name in NAMES[:2]:
                group.unreachable.add(frozenset(("vm-0", name)))
            await group.run(5.0)
            return len(group.promoted), group.primary().log_term

        assert run_virtual(scenario()) == (1, 1)

    def test_promotions_are_five_seconds_apart(self):
        async def scenario():
            group = await group_after_cooldown()
            group.primary().is_up = False
            await group.run(2.0)
            second = group.primary()
            group.heal()
            await group.run(1.0)
            second.is_up = False
            await group.run(1.5)
            in_cooldown = len({term for term, _ in group.promoted})
            await group.run(4.0)
            return in_cooldown, len({term for term, _ in group.promoted})

        assert run_virtual(scenario()) == (2, 3)

    def test_an_unused_vote_does_not_leave_the_group_without_primary(self):
        async def scenario():
            group = await group_after_cooldown()
            primary = group.primary()
            follower = next(e for e in group.endpoints.values() if e is not primary)
            follower.vote(9, "vm-gone/1")
            await group.run(3.0)
            return (
                group.primary() is primary,
                primary.log_term,
                group.violations(),
            )

        assert run_virtual(scenario()) == (True, 10, [])


class TestChoosePrimary:
    """Guards against a primary that is out of service or has an old log."""

    def vote(self, name: str, received: int) -> FenceVote:
        return FenceVote(endpoint=name, log_term=1, received=received)

    def test_of_equal_logs_one_in_service_is_chosen(self):
        votes = [self.vote("db-a", 5), self.vote("db-b", 5)]
        assert (
            _fencing.choose_primary(votes, in_service={"db-b"}, preferred="db-a")
            == "db-b"
        )

    def test_the_newest_log_is_chosen_even_out_of_service(self):
        votes = [self.vote("db-a", 6), self.vote("db-b", 5)]
        assert _fencing.choose_primary(votes, in_service={"db-b"}) == "db-a"


class TestSwitchover:
    """Guards against switchovers that lose writes or leave the gate closed."""

    def test_primary_out_of_service_is_replaced(self):
        async def scenario():
            group = await group_after_cooldown()
            old = group.primary()
            group.out_of_service.add(old.name)
            for vm in group.vms:
                vm.view.notify_changed()
            await group.run(2.0)
            assert group.primary() is not old
            assert group.gate.calls == ["close", "open"]
            return group.violations()

        assert run_virtual(scenario()) == []

    def test_gate_reopens_if_the_target_does_not_catch_up(self):
        async def scenario():
            group = await group_after_cooldown()
            old = group.primary()
            for name in NAMES:
                group.unreachable.add(frozenset((old.name, name)))
            group.out_of_service.add(old.name)
            await group.run(0.3)
            await group.run(2.5)
            return group.gate.is_closed, group.gate.calls[:2]

        assert run_virtual(scenario()) == (False, ["close", "open"])


class FailingController:
    """Replaces the group monitor and the kernel; each controller fails immediately."""

    def __init__(self) -> None:
        self.view = GroupView(group="g1", endpoints={"e1": "1"})
        self.settings = SimpleNamespace(vm="vm-1")
        self.clock = ManualClock()
        self.spawned = 0

    def views(self):
        return [self.view]

    def spawn(self, coroutine, *, name):
        self.spawned += 1
        coroutine.close()
        task = asyncio.get_running_loop().create_future()
        task.set_exception(RuntimeError("controller failed"))
        task.exception()
        return task


class TestPlugin:
    """Guards against groups without a controller and a dependency on the store."""

    def test_a_controller_that_failed_is_restarted(self):
        async def run():
            components = FailingController()
            plugin = REGISTRY.classes["promotion"](kernel=components)
            plugin.groups = components
            plugin.reconcile()
            plugin.reconcile()
            return components.spawned

        assert asyncio.run(run()) == 2

    def test_the_plugin_requires_no_store(self):
        plugin = REGISTRY.classes["promotion"]
        names = {interface.__name__ for interface in plugin.requires}
        assert names == {
            "GroupMonitor",
            "EndpointDriver",
            "Membership",
            "ConfigurationSource",
            "WriteGate",
        }
        assert asyncio.iscoroutinefunction(plugin.drain)
