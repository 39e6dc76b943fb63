"""Origin of an endpoint's answers: the query's own, a copy, or unknown."""

import pytest

from ebonyladder.sessions.answer_matching import (
    MAX_REMEMBERED_ANSWERS,
    AnswerMatcher,
    AnswerOrigin,
)
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    CommandKind,
    TransactionState,
)
from tests.session_fakes import position

OPEN, IDLE = TransactionState.OPEN, TransactionState.IDLE


class MatcherTest:
    """Matcher of one connection."""

    @pytest.fixture(autouse=True)
    def connection(self):
        self.matcher = AnswerMatcher()

    def answer(self, kind: CommandKind, **fields) -> AnswerOrigin:
        """Return the origin of an answer that arrives for a query of a kind."""
        expected = self.matcher.expect(kind)
        return self.matcher.match(Answer(**fields), expected)

    def begin(self, number: int) -> AnswerOrigin:
        """Answer BEGIN with a success at a log position."""
        return self.answer(CommandKind.BEGIN, state=OPEN, position=position(1, number))


class TestSignedSuccess(MatcherTest):
    """Guards against another statement's rows and signature."""

    def test_first_one_with_a_signature_is_its_own(self):
        assert self.answer(CommandKind.READ, signature="s1") is AnswerOrigin.OWN

    @pytest.mark.parametrize("kind", [CommandKind.READ, CommandKind.COMMIT])
    def test_signature_that_was_seen_is_a_copy(self, kind):
        self.answer(CommandKind.READ, signature="s1")
        assert self.answer(kind, signature="s1") is AnswerOrigin.COPY

    def test_copy_of_a_setup_is_no_success_of_a_write(self):
        self.answer(CommandKind.SET)
        assert self.answer(CommandKind.WRITE) is AnswerOrigin.COPY

    @pytest.mark.parametrize("signature", ["-", ""])
    def test_success_without_signature_is_unknown_if_it_is_no_copy(self, signature):
        found = self.answer(CommandKind.WRITE, signature=signature)
        assert found is AnswerOrigin.UNKNOWN

    def test_state_of_another_transaction_is_unknown(self):
        self.begin(1)
        found = self.answer(CommandKind.WRITE, signature="s1", state=IDLE)
        assert found is AnswerOrigin.UNKNOWN


class TestError(MatcherTest):
    """Guards against a statement that runs though it was told to be refused."""

    def test_first_error_is_its_own(self):
        self.answer(CommandKind.READ, signature="s1")
        found = self.answer(CommandKind.READ, code=AnswerCode.OVERLOADED)
        assert found is AnswerOrigin.OWN

    def test_equal_error_is_unknown(self):
        self.begin(1)
        for expected in (AnswerOrigin.OWN, AnswerOrigin.UNKNOWN):
            found = self.answer(
                CommandKind.WRITE, code=AnswerCode.OVERLOADED, state=OPEN
            )
            assert found is expected

    def test_connection_with_an_error_is_not_reused(self):
        assert self.matcher.is_reusable
        self.answer(CommandKind.READ, code=AnswerCode.BEHIND)
        assert not self.matcher.is_reusable


class TestBegin(MatcherTest):
    """Guards against statements that run outside their transaction."""

    def test_equal_answer_may_hide_a_refusal(self):
        assert self.begin(1) is AnswerOrigin.OWN
        self.answer(CommandKind.COMMIT, signature="s1")
        assert self.begin(1) is AnswerOrigin.UNKNOWN

    def test_answer_at_another_position_is_its_own(self):
        self.begin(1)
        self.answer(CommandKind.COMMIT, signature="s1")
        assert self.begin(2) is AnswerOrigin.OWN

    def test_late_answer_to_a_setup_is_a_copy(self):
        self.answer(CommandKind.SET)
        assert self.answer(CommandKind.BEGIN, state=IDLE) is AnswerOrigin.COPY


class TestRollback(MatcherTest):
    """Guards against a transaction that stays open on a released connection."""

    def test_equal_answer_may_hide_a_refusal(self):
        self.answer(CommandKind.SET, position=position(1, 1))
        self.begin(1)
        found = self.answer(CommandKind.ROLLBACK, position=position(1, 1))
        assert found is AnswerOrigin.UNKNOWN

    def test_copy_of_begin_is_dropped(self):
        self.begin(1)
        found = self.answer(CommandKind.ROLLBACK, state=OPEN, position=position(1, 1))
        assert found is AnswerOrigin.COPY


class TestSetup(MatcherTest):
    """Guards against acknowledgements of other queries, and unbounded memory."""

    def test_equal_acknowledgements_in_a_row_are_own(self):
        for kind in (CommandKind.RESET, CommandKind.SET, CommandKind.PREPARE):
            assert self.answer(kind, position=position(1, 1)) is AnswerOrigin.OWN

    def test_answer_in_a_transaction_state_is_a_copy_outside(self):
        self.begin(1)
        self.answer(CommandKind.COMMIT, signature="s1")
        assert self.answer(CommandKind.SET, state=OPEN) is AnswerOrigin.COPY

    def test_connection_with_many_remembered_answers_is_replaced(self):
        for number in range(MAX_REMEMBERED_ANSWERS):
            assert self.matcher.is_reusable
            self.answer(CommandKind.READ, signature=f"s{number}")
        assert not self.matcher.is_reusable
