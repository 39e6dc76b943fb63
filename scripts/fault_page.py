"""Run the fault matrix and write ``docs/FAULTS.md`` from its verdicts."""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from absl import logging

from ebonyladder.kernel.step import Step
from tests.matrix_faults import IMPOSSIBLE, Fault
from tests.matrix_run import run_cell
from tests.matrix_table import CELLS, STEPS

PAGE = Path(__file__).parent.parent / "docs" / "FAULTS.md"
WORKERS = 2
HEAD = """# Faults

Written by `python -m scripts.fault_page` from one run of the fault matrix: real
plug-ins on fakes at their interfaces, one fault at the first time that a step
is reached. The promises are those of docs/design.md that the step serves; the
checkers that judge a cell are in tests/checkers.py. They judge P1, P2, P3, P4,
P7, P9, P10 and P11 and whether every VM serves a write afterwards; the other
promises have tests of their own.

{passed} of {cells} cells held; {impossible} cannot occur.

| promise | step | fault | verdict |
|---|---|---|---|
"""


class Row(NamedTuple):
    """Verdict on one cell."""

    step: Step
    fault: Fault
    verdict: str


def judge_cell(number: int) -> Row:
    """Run one cell; its seed is its position in the table, counted from 1."""
    logging.set_verbosity(logging.FATAL)
    step, fault = CELLS[number]
    violations = run_cell(((step, fault),), number + 1).violations
    text = f"failed: {violations[0]}" if violations else "held"
    return Row(step, fault, text.replace("|", "/"))


def main() -> int:
    """Write the page; return 1 if a cell failed."""
    with ProcessPoolExecutor(WORKERS) as workers:
        rows = list(workers.map(judge_cell, range(len(CELLS)), chunksize=4))
    passed = sum(row.verdict == "held" for row in rows)
    rows += [
        Row(step, fault, f"cannot occur: {reason}")
        for (step, fault), reason in IMPOSSIBLE.items()
    ]
    order = list(STEPS)
    rows.sort(key=lambda row: (order.index(row.step), list(Fault).index(row.fault)))
    lines = [
        f"| {STEPS[row.step]} | {row.step.value} | {row.fault.value} | {row.verdict} |"
        for row in rows
    ]
    head = HEAD.format(passed=passed, cells=len(CELLS), impossible=len(IMPOSSIBLE))
    PAGE.write_text(head + "\n".join(lines) + "\n")
    return int(passed < len(CELLS))


if __name__ == "__main__":
    sys.exit(main())
