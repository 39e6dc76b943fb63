"""Stand-in for the users' databases: statements, replicated log and promotion."""

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import Any

POLL_INTERVAL_S = 0.005
# Time for which a replica that is rolled back is busy, in seconds.
ROLLBACK_S = 0.2


@dataclass
class Entry:
    """Commit in the log."""

    term: int
    number: int
    writes: dict[str, str]


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
    values : dict of str to str
        Values that the session had set on the connection.
    """

    endpoint: str
    organisation: str
    id: str
    text: str
    values: dict[str, str]


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
    """

    organisation: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    writes: dict[str, str] = field(default_factory=dict)


class Database:
    """One database of a service.

    Parameters
    ----------
    service : DatabaseService
        Service to which the database belongs.
    name : str
        Id of the database.
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
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port; a database that starts again has lost its pause."""
        self.is_paused = False
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
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
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_connection(self, reader, writer) -> None:
        words = (await reader.readline()).decode().split()
        if len(words) < 3:
            # The connection ended before its first line.
            return
        service, organisation = words[1], words[2]
        if service != self.service.name or words[3:] not in ([], [self.name]):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        connection = Connection(organisation=organisation)
        self._write_ready(writer, connection)
        while line := (await reader.readline()).decode().rstrip("\r\n"):
            _, id, text = line.split(" ", 2)
            answer = await self._run(connection, id, text)
            if self.lost_answers and id != "-":
                self.lost_answers -= 1
                continue
            writer.write(
                "".join(f"{answer_line}\r\n" for answer_line in answer).encode()
            )
            self._write_ready(writer, connection)
            await writer.drain()

    def _write_ready(self, writer, connection: Connection) -> None:
        term, number = self.position
        writer.write(f"READY {connection.state} {term}.{number}\r\n".encode())

    async def _run(self, connection: Connection, id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            required, _, text = rest.partition(" ")
            term, number = map(int, required.split("."))
            if not self._has_received(term, number):
                return ["ERROR LAGGING -"]
            word, _, rest = text.partition(" ")
        control = {"STATUS": self._status, "PAUSE": self._pause}
        control |= {"RESUME": self._resume, "STEPDOWN": self._step_down}
        is_rolling_back = asyncio.get_running_loop().time() < self.rolled_back_at_s
        if word in control and (self.is_busy or is_rolling_back):
            return ["ERROR BUSY -"]
        if word in control:
            return control[word](rest)
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
            return ["COMPLETE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            connection.values[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            connection.prepared[name] = (mode, shape)
            return ["COMPLETE -"]
        return await self._run_statement(connection, id, word, rest, text)

    async def _run_statement(
        self, connection: Connection, id: str, word: str, rest: str, text: str
    ) -> list[str]:
        await asyncio.sleep(self.statement_s)
        is_read_write = connection.state != "I" and not connection.read_only
        mode = word
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return ["ERROR NOSTMT -"]
            mode = connection.prepared[name][0]
        if word == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return ["ERROR READONLY -"]
            connection.state, connection.read_only = "T", rest == "READ"
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            connection.state, connection.writes = "I", {}
            return ["COMPLETE -"]
        is_write = mode in ("WRITE", "COMMIT") and (
            mode == "WRITE" or connection.writes
        )
        if (is_write or is_read_write) and not self.is_primary:
            connection.state = "E" if connection.state == "T" else "I"
            return ["ERROR READONLY -"]
        self.service.executed.append(
            ExecutedStatement(
                self.name, connection.organisation, id, text, dict(connection.values)
            )
        )
        signature = f"COMPLETE s{next(self.service.signatures)}"
        if mode == "READ":
            item = rest.split(" ", 1)[0]
            visible = {**self.data, **connection.writes}
            return [f"ROW {visible.get(item, '')}", signature]
        if mode == "WRITE":
            item, _, value = rest.partition(" ")
            connection.writes[item] = value
            if connection.state == "T":
                return [signature]
        writes, connection.writes = connection.writes, {}
        connection.state = "I"
        if writes:
            await self._commit(writes)
        return [signature]

    async def _commit(self, writes: dict[str, str]) -> None:
        entry = Entry(self.term, self.position[1] + 1, writes)
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
