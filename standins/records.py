"""Records of the callers' requests and the endpoints' statements, for checkers."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller and its result.

    Attributes
    ----------
    session : str
        Session that sent the request; a session sends one request at a time.
    kind : str
        ``read``, ``write``, ``begin``, ``statement``, ``commit`` or ``rollback``.
    key, value : str
        Row that was read or written, and its value.
    transaction : str
        Label of the caller's own transaction; empty outside transactions.
    sent_at_s, answered_at_s : float
        Times at which the request was sent and its answer or refusal was
        recorded, on the caller's monotonic clock, in seconds.
    code, outcome, step : str
        Error of a refused request; all empty for an answer.
    rows : int
        Number of rows in the answer.
    """

    session: str
    organisation: str
    kind: str
    sent_at_s: float
    answered_at_s: float
    vm: str = ""
    key: str = ""
    value: str = ""
    transaction: str = ""
    code: str = ""
    outcome: str = ""
    step: str = ""
    endpoint: str = ""
    term: int = 0
    position: int = 0
    rows: int = 0

    @property
    def is_answered(self) -> bool:
        """Tell whether the request was answered, not refused."""
        return not self.code


class ExecutedStatement(msgspec.Struct, frozen=True, kw_only=True):
    """Statement that an endpoint executed.

    Attributes
    ----------
    transaction : str
        Id of the connection and number of the transaction; empty outside
        transactions.
    """

    endpoint: str
    organisation: str
    text: str
    kind: str
    transaction: str = ""


class LogEntry(NamedTuple):
    """Entry of a group's log; its rows are keyed by ``organisation/key``."""

    group: str
    term: int
    position: int
    rows: dict[str, str]


class History(msgspec.Struct, frozen=True, kw_only=True):
    """All records of one run.

    Attributes
    ----------
    calls : list of Call
        Requests of the callers.
    executed : list of ExecutedStatement
        Statements in the histories of the endpoints; an endpoint that was
        killed has lost its history.
    surviving : list of LogEntry
        Log entries of each group's primary at the end of the run.
    logged : list of LogEntry
        All entries that an endpoint ever stored, including truncated ones.
    texts : dict of str to str
        Logs and other files by name, in which no key may occur.
    keys : dict of str to str
        Key by organisation.
    groups : dict of str to str
        Group by endpoint.
    """

    calls: list[Call]
    executed: list[ExecutedStatement]
    surviving: list[LogEntry]
    logged: list[LogEntry]
    keys: dict[str, str]
    groups: dict[str, str]
    texts: dict[str, str] = {}


def read_log(path: Path, group: str) -> tuple[list[LogEntry], list[LogEntry]]:
    """Return the surviving entries and all entries in an endpoint's log file."""
    surviving: list[LogEntry] = []
    logged: list[LogEntry] = []
    for line in path.read_text().splitlines():
        kind, *values = json.loads(line)
        if kind == "entry":
            entry = LogEntry(group, values[0], len(surviving) + 1, values[1])
            surviving.append(entry)
            logged.append(entry)
        elif kind == "truncate":
            del surviving[values[0] :]
    return surviving, logged


def executed_statements(records: Iterable[dict]) -> list[ExecutedStatement]:
    """Return the statements in an endpoint's statement history."""
    return [
        ExecutedStatement(
            endpoint=record["endpoint"],
            organisation=record["organisation"],
            text=record["text"],
            kind=record["kind"],
            transaction=record["transaction"],
        )
        for record in records
        if record["op"] == "execute"
    ]
