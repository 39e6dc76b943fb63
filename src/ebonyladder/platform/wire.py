"""Encoding of the statement protocol: commands from lines, lines from answers.

Inside the daemon a text of the protocol is a string with one character for each byte,
so it keeps every byte without any assumption about its encoding. Names that are
compared with the configuration are UTF-8 instead.
"""

import msgspec

from ebonyladder.platform.lines import LINE_END, MAX_LINE_BYTES
from ebonyladder.sessions.command import (
    UNSIGNED,
    Answer,
    AnswerCode,
    Command,
    CommandId,
    CommandKind,
    Prepared,
    TransactionState,
)
from ebonyladder.types import LogPosition, Position, RequestKind, Term

WIRE_CODES = {
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
ANSWER_CODES = {name: code for code, name in WIRE_CODES.items()}
WIRE_STATES = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
TRANSACTION_STATES = {name: state for state, name in WIRE_STATES.items()}
ACCESS_MODES = {"READ": RequestKind.READ, "WRITE": RequestKind.WRITE}


class WireError(Exception):
    """Line that violates the statement protocol."""


class Startup(msgspec.Struct, frozen=True, kw_only=True):
    """Request to open a session; ``caller`` is the caller's key."""

    database: str
    caller: str


class Terminate(msgspec.Struct, frozen=True, kw_only=True):
    """Request to end the session."""


class Malformed(msgspec.Struct, frozen=True, kw_only=True):
    """Query whose text isn't a valid command."""

    id: str
    problem: str


def decode_text(data: bytes) -> str:
    """Return a text with one character for each byte."""
    return data.decode("latin-1")


def encode_text(text: str) -> bytes:
    """Return the bytes of a text.

    Only the daemon's own details have characters that don't stand for one byte; these
    are encoded as UTF-8.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return b"".join(_encode_character(character) for character in text)


def _encode_character(character: str) -> bytes:
    if character <= "\xff":
        return character.encode("latin-1")
    if "\udc80" <= character <= "\udcff":
        return character.encode(errors="surrogateescape")
    return character.encode(errors="surrogatepass")


def decode_name(text: str) -> str:
    """Return a name in the form in which the configuration has it.

    Bytes that aren't UTF-8 become lone surrogates, so that different names stay
    different.
    """
    return text.encode("latin-1").decode(errors="surrogateescape")


def encode_name(name: str) -> str:
    """Return the text of a name from ``decode_name``."""
    return decode_text(name.encode(errors="surrogateescape"))


def decode_message(line: bytes) -> Startup | Terminate | Command | Malformed:
    """Decode a caller's line, given without its end.

    Raises
    ------
    WireError
        If the line isn't a message of the protocol.
    """
    keyword, _, rest = decode_text(line).partition(" ")
    if keyword == "QUERY":
        id, _, text = rest.partition(" ")
        if not id:
            raise WireError("QUERY has no id")
        try:
            return decode_command(id, text)
        except WireError as error:
            return Malformed(id=id, problem=str(error))
    if keyword == "STARTUP":
        database, _, caller = rest.partition(" ")
        if not database:
            raise WireError("STARTUP has no database name")
        return Startup(database=decode_name(database), caller=decode_name(caller))
    if keyword == "TERMINATE":
        return Terminate()
    raise WireError(f"unknown message {keyword[:20]!r}")


def decode_command(id: str, text: str) -> Command:
    """Decode the text of a query.

    Raises
    ------
    WireError
        If the text isn't a valid command.
    """
    keyword, _, rest = text.partition(" ")
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
    }.get(keyword)
    if kind is None:
        raise WireError(f"unknown command {keyword[:20]!r}")
    access = None
    if kind is CommandKind.BEGIN:
        access = RequestKind.READ if rest == "READ" else RequestKind.WRITE
        if rest not in ("", "READ"):
            raise WireError("BEGIN accepts only READ")
    elif kind not in (CommandKind.COMMIT, CommandKind.ROLLBACK) and not name:
        raise WireError(f"{keyword} has no name")
    if kind is CommandKind.PREPARE:
        mode, _, argument = argument.partition(" ")
        access = ACCESS_MODES.get(mode)
        if access is None or not argument:
            raise WireError("PREPARE requires READ or WRITE and a shape")
    return Command(
        id=CommandId(id),
        kind=kind,
        text=text,
        name=name,
        argument=argument,
        access=access,
    )


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as lines."""
    lines = [encode_text(f"ROW {row}") for row in answer.rows]
    if answer.code is None:
        lines.append(encode_text(f"COMPLETE {answer.signature}"))
    else:
        lines.append(encode_error(answer))
    ready = f"READY {WIRE_STATES[answer.state]} {encode_position(answer.position)}"
    lines.append(encode_text(ready))
    return LINE_END.join(lines) + LINE_END


def encode_error(answer: Answer) -> bytes:
    """Encode the error line of an unsuccessful answer, without its end.

    Only the daemon's own details can contain a line end or be too long: they may quote
    exceptions and texts of endpoints.
    """
    detail = encode_text(answer.detail).replace(LINE_END, b" ")
    prefix = encode_text(f"ERROR {WIRE_CODES[answer.code]} ")
    return (prefix + detail)[:MAX_LINE_BYTES]


def encode_query(id: str, text: str) -> bytes:
    """Encode a query as a line."""
    return encode_text(f"QUERY {id} {text}") + LINE_END


def exceeds_line(id: str, text: str) -> bool:
    """Tell whether a query is longer than a line may be."""
    return len("QUERY ") + len(id) + len(" ") + len(text) > MAX_LINE_BYTES


def encode_position(position: Position | None) -> str:
    """Encode a position as TERM.NUMBER, None as ``-``."""
    return "-" if position is None else f"{position.term}.{position.position}"


def decode_position(text: str) -> Position | None:
    """Decode a position from TERM.NUMBER, None from ``-``.

    Raises
    ------
    WireError
        If the text has another form.
    """
    if text == "-":
        return None
    term, _, number = text.partition(".")
    try:
        return Position(term=Term(int(term)), position=LogPosition(int(number)))
    except ValueError as error:
        raise WireError(f"invalid position {text[:20]!r}") from error


def encode_execute(command: Command, name: str) -> str:
    """Return an EXECUTE command with another name for the prepared statement.

    Everything after the caller's name stays as it was sent.
    """
    keyword = "EXECUTE "
    return keyword + name + command.text[len(keyword) + len(command.name) :]


def encode_prepare(name: str, prepared: Prepared) -> str:
    """Return the PREPARE command of a statement."""
    mode = "WRITE" if prepared.access is RequestKind.WRITE else "READ"
    return f"PREPARE {name} {mode} {prepared.shape}"


class AnswerReader:
    """Assembles one answer from its lines."""

    def __init__(self) -> None:
        self.is_empty = True
        self.rows: list[str] = []
        self.signature = UNSIGNED
        self.code: AnswerCode | None = None
        self.detail = ""
        self.has_result = False

    def feed(self, line: bytes) -> Answer | None:
        """Add a line without its end; return the answer once it is complete.

        Raises
        ------
        WireError
            If the line is invalid or unexpected at this point of the answer.
        """
        keyword, _, rest = decode_text(line).partition(" ")
        self.is_empty = False
        if self.has_result and keyword != "READY":
            raise WireError(f"unexpected message {keyword[:20]!r} after the result")
        if keyword == "ROW":
            self.rows.append(rest)
        elif keyword == "COMPLETE":
            self.signature = rest
            self.has_result = True
        elif keyword == "ERROR":
            name, _, self.detail = rest.partition(" ")
            self.code = ANSWER_CODES.get(name, AnswerCode.FAILED)
            self.has_result = True
        elif keyword == "READY" and self.has_result:
            state, _, position = rest.partition(" ")
            if state not in TRANSACTION_STATES:
                raise WireError(f"unknown state {state[:20]!r}")
            return Answer(
                rows=tuple(self.rows),
                signature=self.signature,
                code=self.code,
                detail=self.detail,
                state=TRANSACTION_STATES[state],
                position=decode_position(position),
            )
        else:
            raise WireError(f"unexpected message {keyword[:20]!r}")
        return None
