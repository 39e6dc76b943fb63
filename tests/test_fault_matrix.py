"""Each fault at each step of the request, promotion, store and control paths."""

from random import Random

import pytest

from ebonyladder.kernel.step import Step
from tests.matrix_faults import IMPOSSIBLE, Fault
from tests.matrix_run import PRELUDES, run_cell
from tests.matrix_table import CELLS, STEPS

PAIR_SEED = 2_026
PAIRS = 12


def draw_pairs() -> list[tuple[tuple[Step, Fault], ...]]:
    """Return pairs of cells with the same prelude, the same ones in each run."""
    source = Random(PAIR_SEED)
    pairs = []
    while len(pairs) < PAIRS:
        one, other = source.choice(CELLS), source.choice(CELLS)
        if len({one[0], other[0]} & set(PRELUDES)) < 2:
            pairs.append((one, other))
    return pairs


class TestFaultMatrix:
    """Guards against a fault at some step that makes the fleet break a promise."""

    @pytest.mark.parametrize("step", list(Step), ids=lambda step: step.value)
    def test_step(self, step: Step) -> None:
        """Guards against one fault that breaks a promise, and a step without cells."""
        assert step in STEPS, f"{step} has no cells in the fault matrix"
        found = {}
        for fault in Fault:
            if (step, fault) not in IMPOSSIBLE:
                seed = 1 + CELLS.index((step, fault))
                print(f"step={step.value} fault={fault.value!r} seed={seed}")
                verdict = run_cell(((step, fault),), seed)
                if verdict.violations:
                    found[fault] = verdict.violations
        assert found == {}

    @pytest.mark.parametrize("pair", draw_pairs())
    def test_pair_of_faults(self, pair: tuple[tuple[Step, Fault], ...]) -> None:
        """Guards against two faults that break a promise only together."""
        names = [(step.value, fault.value) for step, fault in pair]
        print(f"pair={names} seed={PAIR_SEED}")
        assert run_cell(pair, PAIR_SEED).violations == []

    def test_cells_that_cannot_occur_have_reasons(self) -> None:
        """Guards against a cell that is left out without a reason."""
        assert all(reason for reason in IMPOSSIBLE.values())
        assert not set(CELLS) & set(IMPOSSIBLE)
        assert len(CELLS) + len(IMPOSSIBLE) == len(STEPS) * len(Fault)
