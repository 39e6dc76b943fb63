"""Commands of a caller's session and the answers to them."""

from enum import Enum
from typing import NewType

import msgspec

from ebonyladder.types import Position, RequestKind

CommandId = NewType("CommandId", str)

# Id of commands that the daemon itself issues.
INTERNAL_COMMAND_ID = CommandId("-")
# Signature of an answer that no endpoint has signed.
UNSIGNED = "-"


class CommandKind(Enum):
    """Kind of a command."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    RESET = "reset"


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """Command of a caller.

    Attributes
    ----------
    text : str
        Text of the command, which is sent to endpoints unchanged.
    name : str
        Name of a session variable or prepared statement.
    argument : str
        Value of SET, shape of PREPARE, or arguments of EXECUTE.
    access : RequestKind or None
        Access that BEGIN or PREPARE declares; None for other kinds.
    """

    id: CommandId
    kind: CommandKind
    text: str
    name: str = ""
    argument: str = ""
    access: RequestKind | None = None


class Prepared(msgspec.Struct, frozen=True, kw_only=True):
    """Prepared statement of a session."""

    access: RequestKind
    shape: str


class TransactionState(Enum):
    """State of a session or of an endpoint connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class AnswerCode(Enum):
    """Reason for which a command was refused or failed."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"
    BEHIND = "behind"
    READ_ONLY = "read-only"
    WRONG_ENDPOINT = "wrong-endpoint"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    IN_DOUBT = "in-doubt"
    TIMEOUT = "timeout"
    FAILED = "failed"
    MALFORMED = "malformed"
    NO_DATABASE = "no-database"
    KEY_REFUSED = "key-refused"
    NOT_PREPARED = "not-prepared"

    @property
    def is_not_run(self) -> bool:
        """Whether an endpoint that answers with this code has run nothing."""
        return self in NOT_RUN_CODES


NOT_RUN_CODES = frozenset(
    {
        AnswerCode.OVERLOADED,
        AnswerCode.BEHIND,
        AnswerCode.READ_ONLY,
        AnswerCode.WRONG_ENDPOINT,
        AnswerCode.TOO_MANY_CONNECTIONS,
        AnswerCode.NOT_PREPARED,
        AnswerCode.MALFORMED,
    }
)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to one command.

    Attributes
    ----------
    signature : str
        Signature by the endpoint that ran the command; ``-`` if none did.
    code : AnswerCode or None
        None for success.
    position : Position or None
        Log position of the endpoint at the time of the answer.
    is_refused_here : bool
        Whether this VM refused the command without sending it anywhere.
    """

    rows: tuple[str, ...] = ()
    signature: str = UNSIGNED
    code: AnswerCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
    is_refused_here: bool = False

    @property
    def is_signed(self) -> bool:
        """Whether an endpoint has signed the answer."""
        return self.signature not in ("", UNSIGNED)

    def with_state(self, state: TransactionState) -> "Answer":
        """Return the same answer for a session in ``state``."""
        return msgspec.structs.replace(self, state=state)


def refusal(
    code: AnswerCode,
    detail: str,
    *,
    state: TransactionState = TransactionState.IDLE,
    retry_after_s: float | None = None,
) -> Answer:
    """Return an answer that refuses a command.

    ``retry_after_s`` is appended to the detail, in milliseconds.
    """
    if retry_after_s is not None:
        detail = f"{detail} retry_after_ms={int(retry_after_s * 1000)}"
    return Answer(code=code, detail=detail, state=state)
