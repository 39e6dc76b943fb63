"""Random failures around failovers: no acknowledged commit may be lost.

``FAILOVER_MODEL_SEEDS`` is the number of seeds to run, ``FAILOVER_MODEL_FIRST_SEED``
the first of them.
"""

import os

import pytest

from tests.failover_model import run_seed

SEEDS = int(os.environ.get("FAILOVER_MODEL_SEEDS", "200"))
FIRST_SEED = int(os.environ.get("FAILOVER_MODEL_FIRST_SEED", "0"))
SEEDS_PER_TEST = 20


def check(seed: int) -> None:
    """Run one seed; fail with its findings."""
    found = run_seed(seed).violations
    assert not found, f"seed {seed}: " + "\n".join(found)


class TestRandomSchedules:
    """Guards against lost commits, and services that stay without a primary."""

    @pytest.mark.parametrize(
        "first", range(FIRST_SEED, FIRST_SEED + SEEDS, SEEDS_PER_TEST)
    )
    def test_no_acknowledged_commit_is_lost(self, first):
        for seed in range(first, min(first + SEEDS_PER_TEST, FIRST_SEED + SEEDS)):
            check(seed)


class TestLostCommits:
    """Guards against schedules that have lost acknowledged commits."""

    @pytest.mark.parametrize("seed", [20, 442, 498, 870, 984])
    def test_holder_that_did_not_answer_has_a_commit(self, seed):
        check(seed)

    @pytest.mark.parametrize("seed", [100, 240, 326, 2084, 2364])
    def test_successor_of_an_interrupted_attempt_is_old(self, seed):
        check(seed)

    @pytest.mark.parametrize("seed", [95, 933, 1085, 1441, 2169])
    def test_commit_is_acknowledged_between_survey_and_effect(self, seed):
        check(seed)

    @pytest.mark.parametrize("seed", [1191, 1251])
    def test_unlisted_replica_goes_on_receiving(self, seed):
        check(seed)

    @pytest.mark.parametrize("seed", [202, 474, 1110])
    def test_restarted_process_answers_for_the_one_before(self, seed):
        check(seed)


class TestRecovery:
    """Guards against replicas that nobody resumes after an interrupted failover."""

    @pytest.mark.parametrize("seed", [42, 422, 939])
    def test_replicas_receive_again_after_the_leader_changed(self, seed):
        check(seed)
