"""Statements and transactions of a database stand-in.

Statements are ``GET key``, ``PUT key value``, ``ADD key number``,
``DELETE key``, ``SCAN prefix`` and ``SLEEP milliseconds``. Each organisation
sees only its own rows.
"""

import time
from collections import deque
from enum import Enum

from standins.log import Entry, ReplicatedLog

MAX_HISTORY_RECORDS = 200_000


class RefusedError(Exception):
    """Refusal of a statement or of a promotion call."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class Role(Enum):
    """Role of the database in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class Transaction:
    """Open transaction: the rows that it has read and those that it will write."""

    def __init__(self, *, number: int, organisation: str) -> None:
        self.number = number
        self.organisation = organisation
        self.read: dict[str, object] = {}
        self.written: dict[str, object] = {}


class Database:
    """Rows of one database, its log and a record of the statements that it ran.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    log : ReplicatedLog
        Log that stores the committed entries.
    """

    def __init__(self, *, name: str, log: ReplicatedLog) -> None:
        self.name = name
        self.log = log
        self.role = Role.REPLICA
        self.rows: dict[str, object] = {}
        self.applied = 0
        self.history: deque[dict] = deque(maxlen=MAX_HISTORY_RECORDS)
        self.transactions = 0

    def apply(self, position: int) -> None:
        """Make the entries up to ``position`` visible to reads."""
        while self.applied < min(position, self.log.received):
            for key, value in self.log.entries[self.applied].rows.items():
                if value is None:
                    self.rows.pop(key, None)
                else:
                    self.rows[key] = value
            self.applied += 1

    def rewind(self, position: int) -> None:
        """Truncate the log after ``position`` and rebuild the rows if needed."""
        self.log.truncate(position)
        if self.applied > position:
            self.rows.clear()
            self.applied = 0
            self.apply(position)

    def fence(self, term: int, promoter: str) -> bool:
        """Vote for a promoter; a primary of an earlier term becomes fenced."""
        if not self.log.vote(term, promoter):
            return False
        if self.role is Role.PRIMARY and term > self.log.log_term:
            self.role = Role.FENCED
        return True

    def promote(self, term: int, promoter: str) -> int:
        """Become primary of ``term`` and return the position it starts at."""
        if (self.log.fence_term, self.log.promoter) != (term, promoter):
            raise RefusedError(
                "fenced", "the vote of this term went to another promoter"
            )
        if self.role is Role.PRIMARY and self.log.log_term == term:
            return self.log.term_start
        start = self.log.received
        self.log.append(Entry(term, {}))
        self.apply(self.log.received)
        self.role = Role.PRIMARY
        return start

    def begin(self, organisation: str) -> Transaction:
        """Open a transaction."""
        self._require_primary()
        self.transactions += 1
        return Transaction(number=self.transactions, organisation=organisation)

    def execute(
        self, organisation: str, text: str, *, writes: bool, transaction: Transaction
    ) -> list:
        """Run one statement inside a transaction and return its rows."""
        if writes:
            self._require_primary()
        verb, _, rest = text.partition(" ")
        key, _, value = rest.partition(" ")
        row = f"{organisation}/{key}"
        if verb == "GET":
            return [self._read(transaction, row)]
        if verb == "SCAN":
            return [
                [name.partition("/")[2], stored]
                for name, stored in sorted(self.rows.items())
                if name.startswith(row)
            ]
        if verb == "SLEEP":
            return []
        if not writes:
            raise RefusedError("read-only", f"{verb} is not a read")
        if verb == "PUT":
            transaction.written[row] = value
        elif verb == "DELETE":
            transaction.written[row] = None
        elif verb == "ADD":
            total = int(self._read(transaction, row) or 0) + int(value or 1)
            transaction.written[row] = total
            return [total]
        else:
            raise RefusedError("syntax", f"unknown statement {verb!r}")
        return []

    def _read(self, transaction: Transaction, row: str) -> object:
        if row in transaction.written:
            return transaction.written[row]
        value = self.rows.get(row)
        transaction.read[row] = value
        return value

    def commit(self, transaction: Transaction) -> int:
        """Append the written rows to the log; return the last position of the log."""
        self._require_primary()
        for row, read_value in transaction.read.items():
            if self.rows.get(row) != read_value:
                raise RefusedError("serialization", f"{row} changed since it was read")
        if transaction.written:
            position = self.log.append(Entry(self.log.log_term, transaction.written))
            self.apply(position)
        return self.log.received

    def record(self, **fields: object) -> None:
        """Add a record to the statement history, which the checkers read."""
        self.history.append(
            {
                "at": time.time(),
                "endpoint": self.name,
                "term": self.log.log_term,
                "position": self.log.received,
                **fields,
            }
        )

    def _require_primary(self) -> None:
        if self.role is not Role.PRIMARY:
            raise RefusedError("not-primary", f"{self.name} is not primary")
