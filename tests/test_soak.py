"""Tests of a short soak run with a fixed seed, and of the checks on its history."""

import asyncio

import pytest

from soak.__main__ import run_seed
from soak.history import History
from standins.platform import Platform
from standins.statement_database import Entry, Promotion

SEED = 1
# Seeds that have had a finding, with the cause of the finding.
REGRESSION_SEEDS: dict[int, str] = {
    405: "a database joined and acknowledged commits before it was registered",
}


@pytest.mark.xdist_group("processes")
class TestSoak:
    @pytest.mark.parametrize("seed", [SEED, *REGRESSION_SEEDS])
    def test_promises_hold_under_faults(self, seed, tmp_path):
        # Guards against lost and repeated writes and against stale reads under
        # combinations of faults that no other test covers.
        history, faults = asyncio.run(run_seed(seed, tmp_path, duration_s=4.0, size=3))
        assert history.findings == [], f"faults: {faults}, logs: {tmp_path}"
        assert history.counts["writes"] > 0


class TestHistory:
    """Guards against a check that doesn't detect the fault that it is for."""

    def setup_method(self):
        self.platform = Platform()
        self.service = self.platform.service
        self.service.commit_terms = {("k", "1"): 1, ("k", "2"): 1}
        self.primary = self.service.databases["i-0"]
        self.history = History(acknowledged={"k": 2}, attempted={"k": 2})

    def commit(self, *values: int) -> None:
        """Commit values of one key."""
        for number, value in enumerate(values):
            self.primary.log.append(Entry(1, number + 1, {"k": str(value)}))

    def findings(self) -> str:
        """Return the findings of the checks after the run."""
        self.history.check_end(self.platform)
        return " ".join(self.history.findings)

    def test_correct_history_has_no_finding(self):
        self.commit(1, 2)
        assert self.findings() == ""

    def test_lost_write_is_found(self):
        self.commit(1)
        assert "lost write" in self.findings()

    def test_repeated_write_is_found(self):
        self.commit(1, 2, 2)
        assert "twice" in self.findings()

    def test_refused_write_that_took_effect_is_found(self):
        self.history.reported_not_applied.add("k=1")
        self.commit(1, 2)
        assert "although refused" in self.findings()

    def test_second_primary_is_found(self):
        self.service.databases["i-1"].is_primary = True
        assert "2 primaries" in self.findings()

    def test_stale_read_is_found(self):
        self.history.check_read("pay", "k", "1", min_value=2)
        assert "stale read" in self.history.findings[0]

    def test_decreasing_token_is_found(self):
        self.commit(1, 2)
        name = self.service.name
        self.platform.promotion_calls = [(name, "vm-0", 3), (name, "vm-1", 2)]
        assert "decreased" in self.findings()

    def test_token_of_two_holders_is_found(self):
        self.commit(1, 2)
        name = self.service.name
        self.platform.promotion_calls = [(name, "vm-0", 3), (name, "vm-1", 3)]
        assert "fencing token 3 of ['vm-0', 'vm-1']" in self.findings()

    def test_promotion_without_an_acknowledged_write_is_found(self):
        # Guards against a check at the end only, when the former primary may be back.
        self.commit(1, 2)
        self.history.acknowledged_items = {("k", "1"), ("k", "2")}
        commits = frozenset({("k", "1")})
        self.service.effects = [Promotion("i-1", 2, commits)]
        assert "without 1 acknowledged writes" in self.findings()
