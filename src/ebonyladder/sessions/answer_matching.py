"""Which answers of an endpoint belong to the query that waits for one.

An endpoint may answer a query twice, the second time late, and an answer doesn't name
its query. Queries are answered in their order, so an answer is either that of the
first unanswered query or a copy of an earlier answer of the connection:

- A signature is given once. One that the connection hasn't seen is the query's own.
- An error is the query's own if the connection hasn't seen an equal one. That of a
  write outside a transaction must also not be the refusal of a setup whose success may
  have been a copy.
- An unsigned success is a copy if the query's success would be signed, or would leave
  the transaction in another state. That of BEGIN or ROLLBACK is its own if the
  connection hasn't seen an equal one. Those of SET, PREPARE and RESET are believed:
  inside a transaction its further statements fail after a refusal, and the protocol
  names no refusal of them outside.

What remains may be either. Its connection is closed, and its outcome is unknown.
"""

from enum import Enum

import msgspec
from xxhash import xxh3_64_intdigest

from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    CommandKind,
    TransactionState,
)
from ebonyladder.types import Position

# A connection with more remembered answers than this is replaced, which bounds its
# memory.
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
    is_single_write : bool
        Whether the query writes outside a transaction.
    """

    is_signed: bool
    state: TransactionState
    may_hide_refusal: bool
    is_single_write: bool


class AnswerMatcher:
    """Answers that one connection has received.

    Attributes
    ----------
    state : TransactionState
        State after the last answer that belonged to its query.
    signatures : set of int
        Digests of the signatures of all successes, which have any length.
    unsigned : set of tuple
        States and positions of all successes without a signature.
    errors : set of tuple
        Codes and details of all errors.
    has_doubtful_setup : bool
        Whether a setup was acknowledged by what may be a copy, and no signed answer
        has come since.
    """

    def __init__(self) -> None:
        self.state = TransactionState.IDLE
        self.signatures: set[int] = set()
        self.unsigned: set[tuple[TransactionState, Position | None]] = set()
        self.errors: set[tuple[AnswerCode, str]] = set()
        self.has_doubtful_setup = False

    @property
    def is_reusable(self) -> bool:
        """Whether any error of another statement would be known as its own.

        A refusal that may be a copy can't be retried: the statement may have run.
        """
        remembered = len(self.signatures) + len(self.unsigned)
        return not self.errors and remembered < MAX_REMEMBERED_ANSWERS

    def expect(self, kind: CommandKind, *, is_write: bool = False) -> ExpectedSuccess:
        """Return the success of the first unanswered query."""
        return ExpectedSuccess(
            is_signed=kind in SIGNED_KINDS,
            state=STATES_AFTER.get(kind, self.state),
            may_hide_refusal=kind in (CommandKind.BEGIN, CommandKind.ROLLBACK),
            is_single_write=is_write and self.state is TransactionState.IDLE,
        )

    def match(self, answer: Answer, expected: ExpectedSuccess) -> AnswerOrigin:
        """Return the origin of the next answer, and remember it."""
        origin = self._origin(answer, expected)
        if answer.code is not None:
            self.errors.add((answer.code, answer.detail))
        elif answer.is_signed:
            self.signatures.add(xxh3_64_intdigest(answer.signature.encode()))
            if origin is AnswerOrigin.OWN:
                self.has_doubtful_setup = False
        else:
            key = (answer.state, answer.position)
            if origin is AnswerOrigin.OWN and key in self.unsigned:
                self.has_doubtful_setup = True
            self.unsigned.add(key)
        if origin is AnswerOrigin.OWN:
            self.state = answer.state
        return origin

    def _origin(self, answer: Answer, expected: ExpectedSuccess) -> AnswerOrigin:
        if answer.code is not None:
            is_doubtful = (answer.code, answer.detail) in self.errors or (
                expected.is_single_write and self.has_doubtful_setup
            )
            return AnswerOrigin.UNKNOWN if is_doubtful else AnswerOrigin.OWN
        is_expected = (
            expected.is_signed == answer.is_signed and answer.state is expected.state
        )
        if answer.is_signed:
            if xxh3_64_intdigest(answer.signature.encode()) in self.signatures:
                return AnswerOrigin.COPY
            return AnswerOrigin.OWN if is_expected else AnswerOrigin.UNKNOWN
        if not is_expected:
            # Without an earlier one it can't be a copy.
            return AnswerOrigin.COPY if self.unsigned else AnswerOrigin.UNKNOWN
        is_known = (answer.state, answer.position) in self.unsigned
        if is_known and expected.may_hide_refusal:
            return AnswerOrigin.UNKNOWN
        return AnswerOrigin.OWN
