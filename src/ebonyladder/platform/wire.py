"""Lines of the statement protocol, decoded into commands and encoded from answers."""

import msgspec

from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    CommandId,
    CommandKind,
    Prepared,
    TransactionState,
)
from ebonyladder.types import LogPosition, Position, RequestKind, Term

# Limit of a line, in bytes.
LINE_LIMIT = 1024 * 1024
END = "\r\n"

CODES = {
    AnswerCode.OVERLOADED: "BUSY",
    AnswerCode.ABORTED: "ABORTED",
    AnswerCode.BEHIND: "LAGGING",
    AnswerCode.READ_ONLY: "READONLY",
    AnswerCode.WRONG_ENDPOINT: "MISROUTED",
    AnswerCode.TOO_MANY_CONNECTIONS: "TOOMANY",
    AnswerCode.IN_DOUBT: "INDOUBT",
    AnswerCode.TIMEOUT: "TIMEOUT",
    AnswerCode.FAILED: "FAILED",
    AnswerCode.MALFORMED: "MALFORMED",
    AnswerCode.NO_DATABASE: "NODB",
    AnswerCode.KEY_REFUSED: "UNAUTH",
    AnswerCode.NOT_PREPARED: "NOSTMT",
}
CODES_BY_NAME = {name: code for code, name in CODES.items()}
STATES = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
STATES_BY_NAME = {name: state for state, name in STATES.items()}
ACCESS = {"READ": RequestKind.READ, "WRITE": RequestKind.WRITE}


class WireError(Exception):
    """A line isn't of the protocol."""


class Startup(msgspec.Struct, frozen=True, kw_only=True):
    """Opening of a session; ``caller`` is a client's key."""

    database: str
    caller: str


class Terminate(msgspec.Struct, frozen=True, kw_only=True):
    """End of a session."""


class Malformed(msgspec.Struct, frozen=True, kw_only=True):
    """Query whose text isn't a command."""

    id: str
    problem: str


def text_of(line: bytes) -> str:
    """Return a line without its end.

    Raises
    ------
    WireError
        If it is cut off or isn't text.
    """
    if not line.endswith(b"\n"):
        raise WireError("the line has no end")
    try:
        return line.decode().rstrip("\r\n")
    except UnicodeDecodeError as error:
        raise WireError("the line isn't text") from error


def decode_message(line: bytes) -> Startup | Terminate | Command | Malformed:
    """Return the message of a client's line.

    Raises
    ------
    WireError
        If the line is no message.
    """
    word, _, rest = text_of(line).partition(" ")
    if word == "QUERY":
        id, _, text = rest.partition(" ")
        if not id or not text:
            raise WireError("QUERY has no text")
        try:
            return decode_command(id, text)
        except WireError as error:
            return Malformed(id=id, problem=str(error))
    if word == "STARTUP":
        database, _, caller = rest.partition(" ")
        if not database:
            raise WireError("STARTUP names no database")
        return Startup(database=database, caller=caller)
    if word == "TERMINATE":
        return Terminate()
    raise WireError(f"unknown word {word[:20]!r}")


def decode_command(id: str, text: str) -> Command:
    """Return the command of a query text.

    Raises
    ------
    WireError
        If the text is no command.
    """
    word, _, rest = text.partition(" ")
    name, _, argument = rest.partition(" ")
    kind = {
        "BEGIN": CommandKind.BEGIN,
        "COMMIT": CommandKind.COMMIT,
        "ROLLBACK": CommandKind.ROLLBACK,
        "READ": CommandKind.READ,
        "WRITE": CommandKind.WRITE,
        "SET": CommandKind.SET,
        "PREPARE": CommandKind.PREPARE,
        "EXECUTE": CommandKind.EXECUTE,
        "DEALLOCATE": CommandKind.DEALLOCATE,
    }.get(word)
    if kind is None:
        raise WireError(f"unknown command {word[:20]!r}")
    access = None
    if kind is CommandKind.BEGIN:
        access = RequestKind.READ if rest == "READ" else RequestKind.WRITE
        if rest not in ("", "READ"):
            raise WireError("BEGIN takes nothing but READ")
    elif kind not in (CommandKind.COMMIT, CommandKind.ROLLBACK) and not name:
        raise WireError(f"{word} names nothing")
    if kind is CommandKind.PREPARE:
        mode, _, argument = argument.partition(" ")
        access = ACCESS.get(mode)
        if access is None or not argument:
            raise WireError("PREPARE takes READ or WRITE and a shape")
    return Command(
        id=CommandId(id),
        kind=kind,
        text=text,
        name=name,
        argument=argument,
        access=access,
    )


def encode_answer(answer: Answer) -> bytes:
    """Return the lines of an answer."""
    lines = [f"ROW {row}" for row in answer.rows]
    if answer.code is None:
        lines.append(f"COMPLETE {answer.signature}")
    else:
        lines.append(encode_error(answer))
    lines.append(f"READY {STATES[answer.state]} {encode_position(answer.position)}")
    return (END.join(lines) + END).encode()


def encode_error(answer: Answer) -> str:
    """Return the line of an answer that is no success."""
    detail = " ".join(answer.detail.split()) or "-"
    return f"ERROR {CODES[answer.code]} {detail}"


def encode_position(position: Position | None) -> str:
    """Return TERM.NUMBER, or ``-`` for none."""
    return "-" if position is None else f"{position.term}.{position.position}"


def decode_position(text: str) -> Position | None:
    """Return the position in TERM.NUMBER, None for ``-``.

    Raises
    ------
    WireError
        If the text is neither.
    """
    if text == "-":
        return None
    term, _, number = text.partition(".")
    try:
        return Position(term=Term(int(term)), position=LogPosition(int(number)))
    except ValueError as error:
        raise WireError(f"bad position {text[:20]!r}") from error


def execute_text(command: Command, name: str) -> str:
    """Return the text of EXECUTE with another name for the prepared statement."""
    return f"EXECUTE {name} {command.argument}".rstrip()


def prepare_text(name: str, prepared: Prepared) -> str:
    """Return the text that prepares a statement."""
    mode = "WRITE" if prepared.access is RequestKind.WRITE else "READ"
    return f"PREPARE {name} {mode} {prepared.shape}"


class AnswerReader:
    """Puts the lines of one answer together."""

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.signature = "-"
        self.code: AnswerCode | None = None
        self.detail = ""
        self.is_finished = False

    def take(self, line: bytes) -> Answer | None:
        """Add a line; return the answer once it is whole.

        Raises
        ------
        WireError
            If the line has no place here.
        """
        word, _, rest = text_of(line).partition(" ")
        if word == "ROW":
            self.rows.append(rest)
        elif word == "COMPLETE":
            self.signature = rest
            self.is_finished = True
        elif word == "ERROR":
            name, _, self.detail = rest.partition(" ")
            self.code = CODES_BY_NAME.get(name, AnswerCode.FAILED)
            self.is_finished = True
        elif word == "READY" and self.is_finished:
            state, _, position = rest.partition(" ")
            if state not in STATES_BY_NAME:
                raise WireError(f"unknown state {state[:20]!r}")
            return Answer(
                rows=tuple(self.rows),
                signature=self.signature,
                code=self.code,
                detail=self.detail,
                state=STATES_BY_NAME[state],
                position=decode_position(position),
            )
        else:
            raise WireError(f"unexpected {word[:20]!r}")
        return None
