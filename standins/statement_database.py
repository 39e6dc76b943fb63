"""Stand-in for the users' databases: statements, replicated log and promotion."""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.answer_repeats import AnswerRepeats
from standins.lines import STREAM_LIMIT_BYTES, encode_lines, read_line

POLL_INTERVAL_S = 0.005
# Time for which a replica that is rolled back is busy, in seconds.
ROLLBACK_S = 0.2
# Number of the last answers of a connection that can be copied.
MAX_KEPT_ANSWERS = 100


@dataclass
class Entry:
    """Commit in the log.

    Attributes
    ----------
    ids : tuple of str
        Ids of the statements that wrote.
    """

    term: int
    number: int
    writes: dict[str, str]
    ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class Acknowledgement:
    """Commit of one item that a database acknowledged.

    Attributes
    ----------
    item : tuple of str
        Item and its value.
    term : int
        Term of the database when it acknowledged the commit.
    database : str
        Process of the database.
    receivers : frozenset of str
        Processes of the replicas that had received the commit.
    """

    item: tuple[str, str]
    term: int
    database: str
    receivers: frozenset[str]


@dataclass(frozen=True)
class Promotion:
    """Promotion that took effect, with the logs that the databases had then.

    Attributes
    ----------
    acknowledged_count : int
        Number of commits that the service's databases had acknowledged before.
    listed : frozenset of str
        Processes that had been listed in the store at any time before.
    commits_by_process : dict of str to frozenset
        Commits in the log of each database that wasn't removed.
    """

    name: str
    term: int
    commits: frozenset[tuple[str, str]]
    acknowledged_count: int = 0
    listed: frozenset[str] = frozenset()
    commits_by_process: dict[str, frozenset[tuple[str, str]]] = field(
        default_factory=dict
    )


@dataclass
class ExecutedStatement:
    """Statement that a database executed, recorded for the checks of a run.

    Attributes
    ----------
    text : str
        Text as it arrived, without ``AFTER`` and its position.
    values : dict of str to str
        Values that the session had set on the connection.
    connection : int
        Number of the connection, unique in its service.
    transaction : int or None
        Number of the transaction, unique in its service; None outside of one.
    prepared : tuple of str or None
        Mode and shape of the prepared statement that an EXECUTE ran.
    """

    endpoint: str
    organisation: str
    id: str
    text: str
    values: dict[str, str]
    connection: int = 0
    transaction: int | None = None
    prepared: tuple[str, str] | None = None


@dataclass(frozen=True)
class SignedAnswer:
    """Statement to whose answer a database gave a signature.

    Attributes
    ----------
    text : str
        Text as it arrived, without ``AFTER`` and its position.
    """

    endpoint: str
    connection: int
    id: str
    text: str
    rows: tuple[str, ...]


@dataclass
class Connection:
    """State of one connection.

    Attributes
    ----------
    values : dict of str to str
        Session values that SET has set.
    prepared : dict of str to tuple
        Mode and shape of each prepared statement, by name.
    state : str
        ``I`` if idle, ``T`` in a transaction, ``E`` in a failed transaction.
    number : int
        Number of the connection, unique in its service.
    transaction : int or None
        Number of the open transaction, unique in its service.
    writing_ids : list of str
        Ids of the statements whose writes aren't committed yet.
    answers : deque of bytes
        Last complete answers, the newest one at the end.
    """

    organisation: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    writes: dict[str, str] = field(default_factory=dict)
    number: int = 0
    transaction: int | None = None
    writing_ids: list[str] = field(default_factory=list)
    writer: asyncio.StreamWriter | None = None
    answers: deque[bytes] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_ANSWERS)
    )

    def repeat_answer(self, index: int = -1) -> None:
        """Write a copy of an answer now, the last one by default."""
        self.write_copy(self.answers[index])

    def write_copy(self, answer: bytes) -> None:
        """Write a copy of an answer if the connection is still open.

        Answers are written in one piece, so a copy always lies between two of them.
        """
        if not self.writer.is_closing():
            self.writer.write(answer)

    def end_transaction(self) -> tuple[dict[str, str], tuple[str, ...]]:
        """Return to the idle state; return the writes and the ids that made them."""
        found = self.writes, tuple(self.writing_ids)
        self.state, self.transaction = "I", None
        self.writes, self.writing_ids = {}, []
        return found


# Called with the connection, the id and the text of each query before it runs; returns
# the code of an error to refuse it with, or None.
QueryHook = Callable[[Connection, str, str], str | None]


class Database:
    """One database of a service.

    Parameters
    ----------
    service : DatabaseService
        Service to which the database belongs.
    name : str
        Id of the database.

    Attributes
    ----------
    repeats : AnswerRepeats or None
        Which answers are written twice; those of the service if it is None.
    query_hook : callable or None
        Called before each query; it may copy answers and refuse the query.
    connections : dict of int to Connection
        Open sessions by their number.
    """

    def __init__(self, *, service: "DatabaseService", name: str) -> None:
        self.service = service
        self.name = name
        self.is_primary = False
        self.term = 1
        self.log: list[Entry] = []
        self.is_paused = False
        self.is_replication_blocked = False
        self.is_down = False
        self.is_leaving = False
        # Whether its reports to the store are lost.
        self.is_unlisted = False
        # Whether it answers control calls with BUSY.
        self.is_busy = False
        # Time at which it has rolled back what the present primary lacks.
        self.rolled_back_at_s = float("-inf")
        # Time between two receipts of the log; it lags by up to this time.
        self.receive_interval_s = 0.0
        self.received_at_s = float("-inf")
        self.started_at_ms = 1
        self.lost_answers = 0
        self.statement_s = 0.0
        # Limits the reads, writes and commits that run at once; others wait, or are
        # answered with BUSY.
        self.slots: asyncio.Semaphore | None = None
        self.is_busy_when_full = False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: dict[int, Connection] = {}
        self.repeats: AnswerRepeats | None = None
        self.query_hook: QueryHook | None = None
        self.refusals: list[tuple[str, str]] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port; a database that starts again has lost its pause."""
        self.is_paused = False
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=STREAM_LIMIT_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_down = False
        self.service.rejoin(self)

    async def start_without_log(self, started_at_ms: int) -> None:
        """Start a stopped database again under its id; it knows nothing of before."""
        self.started_at_ms = started_at_ms
        self.term, self.log, self.is_primary = 0, [], False
        await self.start()

    async def stop(self) -> None:
        """Crash: abort all connections and keep the log."""
        self.is_down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def position(self) -> tuple[int, int]:
        """Term and number of the last entry."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    @property
    def process(self) -> str:
        """Name of the running process, which differs after a start without the log."""
        return f"{self.name}@{self.started_at_ms}"

    @property
    def commits(self) -> frozenset[tuple[str, str]]:
        """Items and values of all log entries."""
        return frozenset(item for entry in self.log for item in entry.writes.items())

    @property
    def data(self) -> dict[str, str]:
        """Items after all log entries are applied."""
        items: dict[str, str] = {}
        for entry in self.log:
            items.update(entry.writes)
        return items

    def is_due(self) -> bool:
        """Tell whether it may receive the log now; the interval then begins anew."""
        if not self.receive_interval_s:
            return True
        now_s = asyncio.get_running_loop().time()
        if now_s < self.received_at_s + self.receive_interval_s:
            return False
        self.received_at_s = now_s
        return True

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self._serve_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The event loop ends while a statement runs.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_connection(self, reader, writer) -> None:
        line = await read_line(reader)
        if line is None:
            return
        word, *fields = line.split(" ", 3)
        if word != "STARTUP" or len(fields) < 2:
            return
        service, organisation = fields[:2]
        if service != self.service.name or fields[2:] not in ([], [self.name]):
            writer.write(encode_lines("ERROR MISROUTED -"))
            return
        connection = Connection(
            organisation=organisation,
            number=next(self.service.connection_numbers),
            writer=writer,
        )
        writer.write(encode_lines(self._ready(connection)))
        self.connections[connection.number] = connection
        try:
            while line := await read_line(reader):
                word, *fields = line.split(" ", 2)
                if word != "QUERY" or len(fields) < 2:
                    return
                await self._answer(connection, *fields)
        finally:
            del self.connections[connection.number]

    async def _answer(self, connection: Connection, id: str, text: str) -> None:
        lines = await self._run(connection, id, text)
        if self.lost_answers and id != "-":
            self.lost_answers -= 1
            return
        answer = encode_lines(*lines, self._ready(connection))
        connection.answers.append(answer)
        connection.writer.write(answer)
        repeats = self.repeats or self.service.repeats
        delay_s = None if repeats is None else repeats.draw_delay_s()
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, connection.write_copy, answer)
        await connection.writer.drain()

    def _ready(self, connection: Connection) -> str:
        term, number = self.position
        return f"READY {connection.state} {term}.{number}"

    def refuse_next(self, word: str, code: str) -> None:
        """Refuse the next query that begins with a word; it doesn't run."""
        self.refusals.append((word, code))

    def _refusal(self, connection: Connection, id: str, text: str) -> str | None:
        """Return the code that a query is refused with, None if it may run."""
        code = None
        if self.query_hook is not None:
            code = self.query_hook(connection, id, text)
        words = text.split(" ", 3)
        word = words[2] if words[0] == "AFTER" and len(words) > 2 else words[0]
        for refusal in self.refusals:
            if code is None and refusal[0] == word:
                self.refusals.remove(refusal)
                return refusal[1]
        return code

    async def _run(self, connection: Connection, id: str, text: str) -> list[str]:
        code = self._refusal(connection, id, text)
        if code is not None:
            return [f"ERROR {code} -"]
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            required, _, text = rest.partition(" ")
            term, number = map(int, required.split("."))
            if not self._has_received(term, number):
                return ["ERROR LAGGING -"]
            word, _, rest = text.partition(" ")
        if connection.state == "E" and text not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED -"]
        control = {"STATUS": self._status, "PAUSE": self._pause}
        control |= {"RESUME": self._resume, "STEPDOWN": self._step_down}
        is_rolling_back = asyncio.get_running_loop().time() < self.rolled_back_at_s
        if word in control and (self.is_busy or is_rolling_back):
            return ["ERROR BUSY -"]
        if word in control:
            return control[word](rest)
        if word in ("RESET", "SET", "PREPARE", "DEALLOCATE"):
            return self._change_session(connection, word, rest)
        return await self._run_statement(connection, id, word, rest, text)

    @staticmethod
    def _change_session(connection: Connection, word: str, rest: str) -> list[str]:
        name, _, argument = rest.partition(" ")
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
        elif word == "SET":
            connection.values[name] = argument
        elif word == "PREPARE":
            mode, _, shape = argument.partition(" ")
            if mode not in ("READ", "WRITE"):
                return ["ERROR MALFORMED -"]
            connection.prepared[name] = (mode, shape)
        else:
            connection.prepared.pop(name, None)
        return ["COMPLETE -"]

    async def _run_statement(
        self, connection: Connection, id: str, word: str, rest: str, text: str
    ) -> list[str]:
        if word in ("BEGIN", "ROLLBACK"):
            await asyncio.sleep(self.statement_s)
            return self._run_boundary(connection, text)
        slots = self.slots
        if slots is not None and self.is_busy_when_full and slots.locked():
            return ["ERROR BUSY -"]
        async with slots or contextlib.nullcontext():
            await asyncio.sleep(self.statement_s)
        if word not in ("READ", "WRITE", "EXECUTE") and text != "COMMIT":
            return ["ERROR MALFORMED -"]
        mode, prepared = word, None
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return ["ERROR NOSTMT -"]
            prepared = connection.prepared[name]
            mode = prepared[0]
        if connection.state == "E":
            connection.end_transaction()
            return ["ERROR READONLY -"]
        is_plain = connection.state == "T" and not connection.read_only
        needs_lead = mode == "WRITE" or (
            is_plain and (mode != "COMMIT" or bool(connection.writes))
        )
        if needs_lead and not self.is_primary:
            connection.state = "E" if connection.state == "T" else "I"
            return ["ERROR READONLY -"]
        self.service.executed.append(
            ExecutedStatement(
                self.name,
                connection.organisation,
                id,
                text,
                dict(connection.values),
                connection=connection.number,
                transaction=connection.transaction,
                prepared=prepared,
            )
        )
        rows: tuple[str, ...] = ()
        if mode == "READ":
            # The last field extends to the end of the line.
            item = rest if prepared is None else rest.partition(" ")[0]
            rows = ({**self.data, **connection.writes}.get(item, ""),)
        elif mode == "WRITE":
            item, _, value = rest.partition(" ")
            connection.writes[item] = value
            connection.writing_ids.append(id)
        signature = f"s{next(self.service.signatures)}.{self.service.name}"
        self.service.signed[signature] = SignedAnswer(
            self.name, connection.number, id, text, rows
        )
        if mode == "COMMIT" or (mode == "WRITE" and connection.state == "I"):
            writes, ids = connection.end_transaction()
            if writes:
                await self._commit(writes, ids)
        return [*(f"ROW {row}" for row in rows), f"COMPLETE {signature}"]

    def _run_boundary(self, connection: Connection, text: str) -> list[str]:
        """Begin a transaction or roll it back."""
        if text == "ROLLBACK":
            connection.end_transaction()
            return ["COMPLETE -"]
        if text not in ("BEGIN", "BEGIN READ") or connection.state != "I":
            return ["ERROR MALFORMED -"]
        if text == "BEGIN" and not self.is_primary:
            return ["ERROR READONLY -"]
        connection.state, connection.read_only = "T", text == "BEGIN READ"
        connection.transaction = next(self.service.transaction_numbers)
        return ["COMPLETE -"]

    async def _commit(self, writes: dict[str, str], ids: tuple[str, ...] = ()) -> None:
        entry = Entry(self.term, self.position[1] + 1, writes, ids)
        self.log.append(entry)
        while True:
            if not any(e is entry for e in reversed(self.log)):
                raise ConnectionAbortedError("the commit was rolled back")
            # A database that is no longer primary must not acknowledge the commit.
            receivers = self.service.replicate(self) if self.is_primary else None
            if receivers:
                self.service.record_acknowledgements(self, entry, receivers)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_received(self, term: int, number: int) -> bool:
        return (term, number) <= self.position

    def _status(self, rest: str) -> list[str]:
        role = "primary" if self.is_primary else "replica"
        term, number = self.position
        connections = len(self.writers)
        row = f"ROW {role} {self.term} {term}.{number} {self.term} 0 0 {connections}"
        return [row, "COMPLETE -"]

    def _pause(self, rest: str) -> list[str]:
        if int(rest) > self.term:
            self.is_paused = True
        return self._status("")

    def _resume(self, rest: str) -> list[str]:
        self.is_paused = False
        return self._status("")

    def _step_down(self, rest: str) -> list[str]:
        if self.is_primary and self.term < int(rest):
            self.is_primary = False
        return self._status("")


class DatabaseService:
    """Database service with one primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    zones : dict of str to str
        Zone of each database, by id; the first database is the primary.
    promote_s : float
        Time from an accepted promotion until it takes effect, in seconds.
    notice_s : float
        Time after which a replaced primary that reaches the new one becomes a replica,
        in seconds.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of databases that don't reach each other.
    acknowledgements : list of Acknowledgement
        Commits that databases acknowledged, in this order.
    listed : set of str
        Processes of databases that have been listed in the store.
    executed : list of ExecutedStatement
        Reads, writes and commits that databases ran, in this order.
    signed : dict of str to SignedAnswer
        What databases signed, by signature.
    repeats : AnswerRepeats or None
        Which answers are written twice by databases without a value of their own.
    """

    def __init__(
        self,
        *,
        name: str,
        zones: dict[str, str],
        promote_s: float = 0.0,
        notice_s: float = 0.0,
    ) -> None:
        self.name = name
        self.zones = dict(zones)
        self.promote_s = promote_s
        self.notice_s = notice_s
        self.databases = {n: Database(service=self, name=n) for n in zones}
        self.signatures = itertools.count(1)
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)
        self.signed: dict[str, SignedAnswer] = {}
        self.repeats: AnswerRepeats | None = None
        self.executed: list[ExecutedStatement] = []
        self.promotions: list[tuple[str, int]] = []
        self.effects: list[Promotion] = []
        self.acknowledgements: list[Acknowledgement] = []
        self.listed: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        next(iter(self.databases.values())).is_primary = True

    async def start(self) -> None:
        """Start all databases."""
        for database in self.databases.values():
            await database.start()
        self._spawn(self._replicate_all())

    async def stop(self) -> None:
        """Stop all databases."""
        for task in self.tasks:
            task.cancel()
        for database in self.databases.values():
            if not database.is_down:
                await database.stop()

    async def add(self, name: str, zone: str, *, started_at_ms: int) -> Database:
        """Start a new database, which receives the log as a replica."""
        database = Database(service=self, name=name)
        database.started_at_ms = started_at_ms
        database.term = 0
        self.zones[name] = zone
        await database.start()
        self.databases[name] = database
        return database

    async def remove(self, name: str) -> None:
        """End a database that has left; its log is gone."""
        database = self.databases.pop(name)
        del self.zones[name]
        if not database.is_down:
            await database.stop()
        database.is_primary = False

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _replicate_all(self) -> None:
        """Send the log also while there are no commits, as to a replica that joins."""
        while True:
            await asyncio.sleep(4 * POLL_INTERVAL_S)
            for primary in self._running_primaries():
                self.replicate(primary)

    def _running_primaries(self) -> list[Database]:
        return [d for d in self.databases.values() if d.is_primary and not d.is_down]

    def record_acknowledgements(
        self, database: Database, entry: Entry, receivers: frozenset[str]
    ) -> None:
        """Record that a database acknowledges a commit."""
        self.acknowledgements += [
            Acknowledgement(item, database.term, database.process, receivers)
            for item in entry.writes.items()
        ]

    def replicate(self, primary: Database) -> frozenset[str]:
        """Copy the log to the replicas that can receive it; return their processes."""
        receivers: set[str] = set()
        for database in self.databases.values():
            is_receiving = not (
                database.is_paused
                or database.is_replication_blocked
                or database.is_down
                or frozenset({database.name, primary.name}) in self.cuts
            )
            if database is primary or database.is_primary or not is_receiving:
                continue
            if database.term <= primary.term and database.is_due():
                if database.position > primary.position:
                    now_s = asyncio.get_running_loop().time()
                    database.rolled_back_at_s = now_s + ROLLBACK_S
                database.log = list(primary.log)
                database.term = primary.term
                receivers.add(database.process)
        return frozenset(receivers)

    def rejoin(self, database: Database) -> None:
        """Make a restarted database a replica of the running primary, if any."""
        for other in self._running_primaries():
            if other is not database and other.term > database.term:
                database.is_primary = False

    def promote(self, name: str, token: int) -> bool:
        """Accept a promotion; False if the database isn't running."""
        database = self.databases.get(name)
        if database is None or database.is_down:
            return False
        self.promotions.append((name, token))
        if self.promote_s:
            self._spawn(self._promote_later(database))
        else:
            self._lead(database)
        return True

    async def _promote_later(self, database: Database) -> None:
        await asyncio.sleep(self.promote_s)
        if not database.is_down and not database.is_primary:
            self._lead(database)

    def _lead(self, database: Database) -> None:
        """Make a database the primary of the next term."""
        if database.is_primary:
            return
        former = [d for d in self.databases.values() if d.is_primary]
        database.term = max(d.term for d in self.databases.values()) + 1
        database.is_primary = True
        self.effects.append(
            Promotion(
                database.name,
                database.term,
                database.commits,
                acknowledged_count=len(self.acknowledgements),
                listed=frozenset(self.listed),
                commits_by_process={
                    d.process: d.commits for d in self.databases.values()
                },
            )
        )
        for other in self.databases.values():
            other.is_paused = False
        for other in former:
            if self.notice_s:
                self._spawn(self._notice(other, database))
            else:
                other.is_primary = False
        self.replicate(database)

    async def _notice(self, former: Database, database: Database) -> None:
        """Let a replaced primary go on until it has reached the new one for a while."""
        reached_s = 0.0
        while reached_s < self.notice_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            is_cut = frozenset({former.name, database.name}) in self.cuts
            if not (is_cut or former.is_down or database.is_down):
                reached_s += POLL_INTERVAL_S
        if former.term < database.term:
            former.is_primary = False

    def entry(self, name: str) -> dict[str, Any]:
        """Return the entry that a database writes to the object store."""
        database = self.databases[name]
        return {
            "service": self.name,
            "address": f"127.0.0.1:{database.port}",
            "zone": self.zones[name],
            "version": "v1",
            "capacity": 5,
            "state": "draining" if database.is_leaving else "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if database.is_primary else "replica",
            "sequence": 1,
            "born": database.started_at_ms,
        }
