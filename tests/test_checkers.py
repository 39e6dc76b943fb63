"""Each checker finds the violation that its guard prevents, and none with the guard."""

import asyncio

import msgspec
import pytest

from ebonyladder.dedup import DeduplicationTable
from ebonyladder.execution import StatementExecutor
from ebonyladder.kernel.error import EbonyladderError, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyIdentity, digest_of
from ebonyladder.types import RequestKind
from standins.records import History
from tests.checkers import check_organisations
from tests.matrix_faults import Fault
from tests.matrix_hooks import HookedConfirmer
from tests.matrix_run import run_cell
from tests.matrix_world import ENDPOINTS, VMS, MatrixVm, Rate

LOW_RATE = Rate(per_s=5.0, burst=10.0)
PARTITION_AFTER_S = 7.5


class ReadsAnyReplica(HookedConfirmer):
    """Confirmer that permits reads at a replica of any staleness."""

    def can_read(self, forward) -> bool:
        return True


class ConfirmsWithoutMajority(HookedConfirmer):
    """Confirmer that confirms a write without asking a majority of endpoints."""

    async def confirm(self, endpoint, answer, wait_s) -> None:
        await self.clock.vm.reach_step(Step.CONFIRM, endpoint)


class RunsTwice(DeduplicationTable):
    """Deduplication table without records that runs each request twice."""

    async def run(self, hop, run_request):
        await run_request()
        return await run_request()


def run_hops_twice(vm: MatrixVm) -> None:
    executor = vm.kernel.get(StatementExecutor)
    executor.duplicates = RunsTwice(clock=vm.clock)


def report_not_run(vm: MatrixVm) -> None:
    """Report each failure as not run, even after the statement was sent."""
    executor = vm.kernel.get(StatementExecutor)
    run = executor.run

    async def run_and_report(forward):
        try:
            return await run(forward)
        except EbonyladderError as error:
            error.outcome = Outcome.NOT_RUN
            raise

    executor.run = run_and_report


def share_transactions(vm: MatrixVm) -> None:
    """Give each step the transaction that was opened first."""
    table = vm.kernel.get(StatementExecutor).transactions.table
    get = table.get

    def first_open(name, organisation):
        return next(iter(table.open.values()), None) or get(name, organisation)

    table.get = first_open


def accept_any_key(vm: MatrixVm) -> None:
    """Identify each key as one of the first organisation."""

    def identify(key: str) -> KeyIdentity:
        return KeyIdentity("org-1", digest_of(key))

    vm.gateway.keys.identify = identify


def admit_without_limit(vm: MatrixVm) -> None:
    """Admit each request without a token of a lease."""

    async def admit(_organisation, *, wait_s: float) -> None:
        pass

    vm.gateway.limits.admit = admit


def swap_answers(vm: MatrixVm) -> None:
    """Answer each read with the rows of the read before it."""
    executor = vm.kernel.get(StatementExecutor)
    run, rows = executor.run, [None]

    async def run_with_previous_rows(forward):
        nonlocal rows
        answer = await run(forward)
        if forward.statement.kind is RequestKind.READ:
            answer, rows = msgspec.structs.replace(answer, rows=rows), answer.rows
        return answer

    executor.run = run_with_previous_rows


def partition_primary(vm: MatrixVm) -> None:
    """Partition the primary and its owner, which learns of no later term."""
    if vm.name == VMS[-1]:
        vm.kernel.spawn(_partition_later(vm.world), name="split")


async def _partition_later(world) -> None:
    await asyncio.sleep(PARTITION_AFTER_S)
    primary = world.primary().name
    owner = f"vm-{primary[-1]}"
    for side in (primary, owner):
        for other in (*ENDPOINTS, *VMS):
            if other not in (primary, owner) and {side, other} - set(VMS):
                world.blocked_paths |= {(side, other), (other, side)}


def keep_guard(_vm: MatrixVm) -> None:
    pass


# Step and fault by checker, and what replaces the guard.
CASES = {
    "read_your_writes": (
        Step.EXECUTE,
        Fault.REPLICA_LAGGING,
        keep_guard,
        ReadsAnyReplica,
    ),
    "at_most_once": (Step.FORWARD, Fault.SLOW, run_hops_twice, HookedConfirmer),
    "not_run": (Step.EXECUTE, Fault.ONE_WAY_PARTITION, report_not_run, HookedConfirmer),
    "acknowledged_survive": (
        Step.CONFIRM,
        Fault.TWO_WAY_PARTITION,
        keep_guard,
        ConfirmsWithoutMajority,
    ),
    "transactions": (
        Step.BEGIN,
        Fault.VM_LIST_STALE,
        share_transactions,
        HookedConfirmer,
    ),
    "organisations": (
        Step.KEY_CHECK,
        Fault.VM_LIST_STALE,
        accept_any_key,
        HookedConfirmer,
    ),
    "terms": (
        Step.QUEUE,
        Fault.VM_LIST_STALE,
        partition_primary,
        ConfirmsWithoutMajority,
    ),
    "answers": (Step.EXECUTE, Fault.VM_LIST_STALE, swap_answers, HookedConfirmer),
}


class TestCheckersFindMissingGuards:
    """Guards against checkers that pass whatever the product does."""

    @pytest.mark.parametrize("checker", CASES)
    def test_without_guard(self, checker: str) -> None:
        """Guards against a checker that misses what its guard prevents."""
        step, fault, weaken, confirmer = CASES[checker]
        verdict = run_cell(((step, fault),), 1, weaken, confirmer)
        assert [text for text in verdict.violations if text.startswith(f"{checker}:")]

    @pytest.mark.parametrize("checker", CASES)
    def test_with_guard(self, checker: str) -> None:
        """Guards against a checker that reports a correct history."""
        step, fault, weaken, _ = CASES[checker]
        kept = weaken if weaken is partition_primary else keep_guard
        assert run_cell(((step, fault),), 1, kept).violations == []

    def test_rate(self) -> None:
        """Guards against a check of the rate that accepts admission without limit."""
        cell = ((Step.RATE_ADMIT, Fault.VM_LIST_STALE),)
        assert run_cell(cell, 1, rate=LOW_RATE).violations == []
        found = run_cell(cell, 1, admit_without_limit, rate=LOW_RATE).violations
        assert any("are allowed" in text for text in found)

    def test_key_in_a_log(self) -> None:
        """Guards against a checker that misses the key of an organisation in a log."""
        fields = {
            "calls": [],
            "executed": [],
            "surviving": [],
            "logged": [],
            "groups": {},
        }
        history = History(
            keys={"org-1": "secret-key"}, texts={"vm.log": "key=secret-key"}, **fields
        )
        assert check_organisations(history) == ["key of org-1 is in vm.log"]
