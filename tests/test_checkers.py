"""Each checker finds the fault that its guard prevents, and only then."""

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

SLOW_RATE = Rate(per_s=5.0, burst=10.0)
CUT_AFTER_S = 7.5


class ReadsAnything(HookedConfirmer):
    """Confirmer that reads at a replica of any age."""

    def can_read(self, forward) -> bool:
        return True


class ConfirmsAnything(HookedConfirmer):
    """Confirmer that takes the primary's word for a majority."""

    async def confirm(self, endpoint, answer, wait_s) -> None:
        await self.clock.vm.reach(Step.CONFIRM, endpoint)


class RunsAgain(DeduplicationTable):
    """Deduplication table without records, on links that deliver twice."""

    async def run(self, hop, run_request):
        await run_request()
        return await run_request()


def run_hops_twice(vm: MatrixVm) -> None:
    executor = vm.kernel.get(StatementExecutor)
    executor.duplicates = RunsAgain(clock=vm.clock)


def claim_not_run(vm: MatrixVm) -> None:
    """Call each failure not run, also after the statement was sent."""
    executor = vm.kernel.get(StatementExecutor)
    run = executor.run

    async def run_and_claim(forward):
        try:
            return await run(forward)
        except EbonyladderError as error:
            error.outcome = Outcome.NOT_RUN
            raise

    executor.run = run_and_claim


def share_transactions(vm: MatrixVm) -> None:
    """Give each step the transaction that was opened first."""
    table = vm.kernel.get(StatementExecutor).transactions.table
    get = table.get

    def first_open(name, organisation):
        return next(iter(table.open.values()), None) or get(name, organisation)

    table.get = first_open


def take_any_key(vm: MatrixVm) -> None:
    """Identify each key as one of the first organisation."""

    def identify(key: str) -> KeyIdentity:
        return KeyIdentity("org-1", digest_of(key))

    vm.gateway.keys.identify = identify


def admit_all(vm: MatrixVm) -> None:
    """Admit without asking for the lease's tokens."""

    async def admit(_organisation, *, wait_s: float) -> None:
        pass

    vm.gateway.limits.admit = admit


def mix_answers(vm: MatrixVm) -> None:
    """Answer each read with the rows of the read before it."""
    executor = vm.kernel.get(StatementExecutor)
    run, rows = executor.run, [None]

    async def run_late(forward):
        nonlocal rows
        answer = await run(forward)
        if forward.statement.kind is RequestKind.READ:
            answer, rows = msgspec.structs.replace(answer, rows=rows), answer.rows
        return answer

    executor.run = run_late


def split_off_primary(vm: MatrixVm) -> None:
    """Leave the primary with its owner, which hears nothing of later terms."""
    if vm.name == VMS[-1]:
        vm.kernel.spawn(_split_later(vm.world), name="split")


async def _split_later(world) -> None:
    await asyncio.sleep(CUT_AFTER_S)
    primary = world.primary().name
    owner = f"vm-{primary[-1]}"
    for side in (primary, owner):
        for other in (*ENDPOINTS, *VMS):
            if other not in (primary, owner) and {side, other} - set(VMS):
                world.cut |= {(side, other), (other, side)}


def keep(_vm: MatrixVm) -> None:
    pass


# Checker, step and fault, and what stands in for the guard.
CASES = {
    "read_your_writes": (Step.EXECUTE, Fault.REPLICA_BEHIND, keep, ReadsAnything),
    "at_most_once": (Step.FORWARD, Fault.SLOW, run_hops_twice, HookedConfirmer),
    "not_run": (Step.EXECUTE, Fault.ONE_WAY_CUT, claim_not_run, HookedConfirmer),
    "acknowledged_survive": (
        Step.CONFIRM,
        Fault.TWO_WAY_CUT,
        keep,
        ConfirmsAnything,
    ),
    "transactions": (
        Step.BEGIN,
        Fault.LIST_OUT_OF_DATE,
        share_transactions,
        HookedConfirmer,
    ),
    "organisations": (
        Step.KEY_CHECK,
        Fault.LIST_OUT_OF_DATE,
        take_any_key,
        HookedConfirmer,
    ),
    "terms": (
        Step.QUEUE,
        Fault.LIST_OUT_OF_DATE,
        split_off_primary,
        ConfirmsAnything,
    ),
    "answers": (Step.EXECUTE, Fault.LIST_OUT_OF_DATE, mix_answers, HookedConfirmer),
}


class TestCheckersFindMissingGuards:
    """Guards against checkers that pass whatever the product does."""

    @pytest.mark.parametrize("checker", CASES)
    def test_without_guard(self, checker: str) -> None:
        step, fault, weaken, confirmer = CASES[checker]
        verdict = run_cell(((step, fault),), 1, weaken, confirmer)
        assert [text for text in verdict.found if text.startswith(f"{checker}:")]

    @pytest.mark.parametrize("checker", CASES)
    def test_with_guard(self, checker: str) -> None:
        step, fault, weaken, _ = CASES[checker]
        kept = weaken if weaken is split_off_primary else keep
        assert run_cell(((step, fault),), 1, kept).found == []

    def test_rate(self) -> None:
        cell = ((Step.RATE_ADMIT, Fault.LIST_OUT_OF_DATE),)
        assert run_cell(cell, 1, rate=SLOW_RATE).found == []
        found = run_cell(cell, 1, admit_all, rate=SLOW_RATE).found
        assert any("are allowed" in text for text in found)

    def test_key_in_a_log(self) -> None:
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
