"""What callers sent and saw, statement by statement, and its checks at the end.

A check compares the callers' side with the records of the databases. Each finding
begins with the name of the users' rule that is broken.
"""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from soak.fleet import GRACE_S, SoakVm
from soak.process_record import ProcessRecord
from standins.statement_client import StatementClient
from standins.statement_database import DatabaseService, ExecutedStatement

# Error codes that promise that nothing of the operation is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
FORWARDED_WORDS = {"READ", "WRITE", "EXECUTE", "COMMIT"}
# A running process has read a request that was sent this long ago, in seconds.
MAX_UNREAD_S = 0.25
# Longest part of a text that a finding shows.
MAX_SHOWN_CHARACTERS = 60


@dataclass(kw_only=True)
class SentStatement:
    """Statement that a caller sent.

    Attributes
    ----------
    values : dict of str to str
        Session values that were acknowledged to the caller before.
    prepared : tuple of str or None
        Mode and shape that the caller prepared under the name that it executes.
    transaction : int or None
        Number of the caller's transaction, unique in the run; None outside of one.
    answer : sequence of str
        Lines of the complete answer, empty if there was none.
    process : ProcessRecord or None
        Process of the VM that had greeted the session.
    sent_at_s : float or None
        Time at which the whole line had been sent, None if it never was.
    cut_at_s : float or None
        Time at which the connection ended without a complete answer, None if it didn't.
    """

    text: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: tuple[str, str] | None = None
    transaction: int | None = None
    answer: Sequence[str] = ()
    process: ProcessRecord | None = None
    sent_at_s: float | None = None
    cut_at_s: float | None = None

    @property
    def is_cut_by_planned_stop(self) -> bool:
        """Whether it ended without an answer, and its VM was terminated only."""
        if self.process is None or self.sent_at_s is None or self.cut_at_s is None:
            return False
        terminated_at_s = self.process.terminated_at_s
        start_s = min(self.sent_at_s, terminated_at_s)
        return (
            self.sent_at_s <= terminated_at_s + GRACE_S
            and self.cut_at_s >= terminated_at_s
            and not self.process.is_disturbed(start_s, self.cut_at_s)
        )

    @property
    def word(self) -> str:
        """First word of the text."""
        return self.text.partition(" ")[0]

    @property
    def error(self) -> str:
        """Code of the error that answered the statement, or an empty text."""
        for line in self.answer:
            word, _, rest = line.partition(" ")
            if word == "ERROR":
                return rest.partition(" ")[0]
        return ""

    @property
    def signature(self) -> str:
        """Signature of the success that answered the statement, or an empty text."""
        last = self.answer[-2] if len(self.answer) > 1 else ""
        word, _, signature = last.partition(" ")
        return signature if word == "COMPLETE" else ""

    @property
    def rows(self) -> tuple[str, ...]:
        """Rows of the answer."""
        return tuple(line[4:] for line in self.answer if line.startswith("ROW "))

    def is_same_text(self, text: str) -> bool:
        """Tell whether a text differs in the name of a prepared statement only."""
        if self.word != "EXECUTE":
            return text == self.text
        sent, ran = self.text.split(" ", 2), text.split(" ", 2)
        return ran[0] == "EXECUTE" and len(ran) > 1 and sent[2:] == ran[2:]


class RecordedClient(StatementClient):
    """Session that records its statements.

    Parameters
    ----------
    sent : dict of str to SentStatement
        Receives each statement by its id.
    vm : SoakVm
        VM that the connection was opened to.
    options : dict
        Passed to `StatementClient`.
    """

    transaction_numbers = itertools.count(1)

    def __init__(
        self, *, sent: dict[str, SentStatement], vm: SoakVm, **options
    ) -> None:
        super().__init__(**options)
        self.vm = vm
        self.sent = sent
        self.process: ProcessRecord | None = None
        self.sent_at_s: float | None = None
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.transaction: int | None = None

    async def start(self, *args: str) -> str:
        """Start a session and return the greeting."""
        greeting = await super().start(*args)
        if greeting.startswith("READY"):
            self.process = self.vm.record
        return greeting

    async def query(self, text: str, *, id: str = "") -> list[str]:
        """Send one query, record it and return the lines of its answer."""
        id = id or self.next_id()
        word, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        statement = self.sent[id] = SentStatement(
            text=text,
            values=dict(self.values),
            prepared=self.prepared.get(name) if word == "EXECUTE" else None,
            transaction=self.transaction,
            process=self.process,
        )
        self.sent_at_s = None
        try:
            lines = await super().query(text, id=id)
        except ConnectionError:
            lines = []
        statement.sent_at_s = self.sent_at_s
        if not lines or not lines[-1].startswith("READY "):
            statement.cut_at_s = time.monotonic()
            return lines
        statement.answer = lines
        if not statement.error:
            self._apply(word, name, argument)
        if lines[-1].startswith("READY I"):
            self.transaction = None
        return lines

    async def send(self, data: bytes) -> None:
        """Send the line of a query and record when."""
        await super().send(data)
        # The end of a connection that had ended before is seen in these two turns of
        # the loop, so that a late loop doesn't look like a request that waits.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.sent_at_s = time.monotonic()

    def _apply(self, word: str, name: str, argument: str) -> None:
        """Apply an acknowledged change of the session."""
        if word == "SET":
            self.values[name] = argument
        elif word == "PREPARE":
            mode, _, shape = argument.partition(" ")
            self.prepared[name] = (mode, shape)
        elif word == "DEALLOCATE":
            self.prepared.pop(name, None)
        elif word == "BEGIN":
            self.transaction = next(self.transaction_numbers)


class StatementChecks:
    """Checks of the statements of a run.

    Parameters
    ----------
    sent : dict of str to SentStatement
        Statements of all callers by id.
    services : sequence of DatabaseService
        Services that ran them.
    """

    def __init__(
        self, *, sent: dict[str, SentStatement], services: Sequence[DatabaseService]
    ) -> None:
        self.sent = sent
        self.services = services
        self.rules: dict[str, Callable[[], Iterator[str]]] = {
            "MIXED": self.mixed,
            "PINNED": self.pinned,
            "UNASKED": self.unasked,
            "TWICE": self.twice,
            "REFUSED": self.refused,
            "LOST": self.lost,
        }

    def findings(self) -> dict[str, list[str]]:
        """Return the findings by rule."""
        return {rule: list(check()) for rule, check in self.rules.items()}

    def mixed(self) -> Iterator[str]:
        """Find successes without the signature and the rows of their statement."""
        signed = {s: a for service in self.services for s, a in service.signed.items()}
        for id, statement in self.sent.items():
            if statement.word not in FORWARDED_WORDS or not statement.signature:
                continue
            answer = signed.get(statement.signature)
            if answer is None or (answer.id, answer.rows) != (id, statement.rows):
                yield f"{id} {statement} got an answer of {answer}"

    def pinned(self) -> Iterator[str]:
        """Find runs with other session values, shapes or transactions."""
        places: dict[int, tuple] = {}
        owners: dict[tuple, int] = {}
        for service, ran in self._executed():
            statement = self.sent.get(ran.id)
            if statement is None:
                continue
            if ran.values != statement.values:
                yield f"{ran} ran under other values than {statement}"
            if ran.prepared != statement.prepared:
                yield f"{ran} ran another shape than {statement}"
            if statement.transaction is None or ran.transaction is None:
                if statement.transaction != ran.transaction:
                    yield f"{ran} ran outside of the transaction of {statement}"
                continue
            place = (service.name, ran.connection, ran.transaction)
            own_place = places.setdefault(statement.transaction, place)
            owner = owners.setdefault(place, statement.transaction)
            if (own_place, owner) != (place, statement.transaction):
                yield f"{ran} ran in transaction {owner}, not in {own_place}"
        for id, statement in self.sent.items():
            if statement.error == "NOSTMT" and statement.prepared is not None:
                yield f"{id} {statement} is unknown though it was prepared"

    def unasked(self) -> Iterator[str]:
        """Find runs of statements that no caller sent with that text."""
        for _, ran in self._executed():
            statement = self.sent.get(ran.id)
            if statement is None or not statement.is_same_text(ran.text):
                yield f"{ran} ran, sent was {statement}"

    def twice(self) -> Iterator[str]:
        """Find statements whose write was committed more than once."""
        for id, count in self._committed_ids().items():
            # What no caller sent is a finding of `unasked`.
            if count > 1 and id in self.sent:
                yield f"{id} {self.sent[id]} took effect {count} times"

    def refused(self) -> Iterator[str]:
        """Find commits of operations that callers were promised not to be kept."""
        refusals = {
            statement.transaction or id: statement.error
            for id, statement in self.sent.items()
            if statement.error in PROMISES
        }
        for id in self._committed_ids():
            statement = self.sent.get(id)
            key = id if statement is None else statement.transaction or id
            if key in refusals:
                yield f"{id} {statement} took effect although {refusals[key]} was told"

    def lost(self) -> Iterator[str]:
        """Find requests that ended without an answer since their VM stopped.

        Whether a process has read a request can't be seen from outside. One that was
        sent a moment before the end counts only if it has left a trace.
        """
        ran_ids = {ran.id for _, ran in self._executed()}
        for id, statement in self.sent.items():
            if not statement.is_cut_by_planned_stop:
                continue
            process = statement.process
            is_old = statement.cut_at_s - statement.sent_at_s > MAX_UNREAD_S
            if is_old or id in ran_ids or process.has_logged(id):
                sent_s = statement.sent_at_s - process.terminated_at_s
                cut_s = statement.cut_at_s - process.terminated_at_s
                yield (
                    f"{id} {statement.text[:MAX_SHOWN_CHARACTERS]!r} was sent to "
                    f"{process.name} {sent_s:.3f} s after SIGTERM and ended without an "
                    f"answer at {cut_s:.3f} s, ran: {id in ran_ids}"
                )

    def _executed(self) -> Iterator[tuple[DatabaseService, ExecutedStatement]]:
        for service in self.services:
            for ran in service.executed:
                yield service, ran

    def _committed_ids(self) -> Counter[str]:
        """Return how often each statement's write is in a primary's log."""
        return Counter(
            id
            for service in self.services
            for database in service.databases.values()
            if database.is_primary
            for entry in database.log
            for id in entry.ids
        )
