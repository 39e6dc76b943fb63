"""Which answers of an endpoint belong to the query that waits for one.

An endpoint may answer a query twice, the second time late, and an answer doesn't name
its query. A connection has one unanswered query that matters at a time, so an answer is
either the query's own or a copy of an earlier answer of the connection:

- A signature is given once. One that the connection hasn't seen is the query's own.
- An error is the query's own if the connection hasn't seen an equal one.
- An unsigned success is a copy if the query's success would be signed, or would leave
  the transaction in another state. That of BEGIN or ROLLBACK is its own if the
  connection hasn't seen an equal one. SET, PREPARE and RESET are refused only inside a
  transaction, whose further statements then fail too, so theirs is believed.

What remains may be either. Its connection is closed, and its outcome is unknown.
"""

from enum import Enum

import msgspec

from ebonyladder.sessions.command import (
    UNSIGNED,
    Answer,
    AnswerCode,
    CommandKind,
    TransactionState,
)
from ebonyladder.types import Position

# A connection with more remembered answers than this is replaced, which bounds its
# memory to some hundred kilobytes.
MAX_REMEMBERED_ANSWERS = 2000

SIGNED_KINDS = frozenset(
    {
        CommandKind.READ,
        CommandKind.WRITE,
        CommandKind.EXECUTE,
        CommandKind.COMMIT,
    }
)
# State in which a success of these kinds leaves the transaction; others keep the state.
STATES_AFTER = {
    CommandKind.BEGIN: TransactionState.OPEN,
    CommandKind.COMMIT: TransactionState.IDLE,
    CommandKind.ROLLBACK: TransactionState.IDLE,
}


class AnswerOrigin(Enum):
    """Query that an answer belongs to."""

    OWN = "own"
    COPY = "copy"
    UNKNOWN = "unknown"


class ExpectedSuccess(msgspec.Struct, frozen=True, kw_only=True):
    """Success that a query can have.

    Attributes
    ----------
    is_signed : bool
        Whether the endpoint signs it.
    state : TransactionState
        State in which it leaves the transaction.
    may_hide_refusal : bool
        Whether a copy of an equal answer may stand in for a refusal.
    """

    is_signed: bool
    state: TransactionState
    may_hide_refusal: bool


class AnswerMatcher:
    """Answers that one connection has received.

    Attributes
    ----------
    state : TransactionState
        State after the last answer that belonged to its query.
    signatures : set of str
        Signatures of all successes.
    unsigned : set of tuple
        States and positions of all successes without a signature.
    errors : set of tuple
        Codes and details of all errors.
    """

    def __init__(self) -> None:
        self.state = TransactionState.IDLE
        self.signatures: set[str] = set()
        self.unsigned: set[tuple[TransactionState, Position | None]] = set()
        self.errors: set[tuple[AnswerCode, str]] = set()

    @property
    def is_reusable(self) -> bool:
        """Whether any error of another statement would be known as its own.

        A refusal that may be a copy can't be retried: the statement may have run.
        """
        remembered = len(self.signatures) + len(self.unsigned)
        return not self.errors and remembered < MAX_REMEMBERED_ANSWERS

    def expect(self, kind: CommandKind) -> ExpectedSuccess:
        """Return the success of a query that is sent now."""
        return ExpectedSuccess(
            is_signed=kind in SIGNED_KINDS,
            state=STATES_AFTER.get(kind, self.state),
            may_hide_refusal=kind in (CommandKind.BEGIN, CommandKind.ROLLBACK),
        )

    def match(self, answer: Answer, expected: ExpectedSuccess) -> AnswerOrigin:
        """Return the origin of the next answer, and remember it."""
        origin = self._origin(answer, expected)
        if answer.code is not None:
            self.errors.add((answer.code, answer.detail))
        elif answer.signature != UNSIGNED:
            self.signatures.add(answer.signature)
        else:
            self.unsigned.add((answer.state, answer.position))
        if origin is AnswerOrigin.OWN:
            self.state = answer.state
        return origin

    def _origin(self, answer: Answer, expected: ExpectedSuccess) -> AnswerOrigin:
        if answer.code is not None:
            is_known = (answer.code, answer.detail) in self.errors
            return AnswerOrigin.UNKNOWN if is_known else AnswerOrigin.OWN
        is_expected = (
            expected.is_signed == (answer.signature != UNSIGNED)
            and answer.state is expected.state
        )
        if answer.signature != UNSIGNED:
            if answer.signature in self.signatures:
                return AnswerOrigin.COPY
            return AnswerOrigin.OWN if is_expected else AnswerOrigin.UNKNOWN
        if not is_expected:
            # Without an earlier one it can't be a copy.
            return AnswerOrigin.COPY if self.unsigned else AnswerOrigin.UNKNOWN
        is_known = (answer.state, answer.position) in self.unsigned
        if is_known and expected.may_hide_refusal:
            return AnswerOrigin.UNKNOWN
        return AnswerOrigin.OWN
