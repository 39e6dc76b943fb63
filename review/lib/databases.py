"""Stand-in for a service's databases: replicated log, fencing calls and promotion."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

POLL_INTERVAL_S = 0.003
# Time after which a replaced primary that reaches the new one becomes a replica.
NOTICE_S = 1.0
CONTROL = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")


@dataclass(frozen=True)
class Entry:
    """Commit in the log."""

    term: int
    number: int
    ids: tuple[str, ...]
    writes: tuple[tuple[str, str], ...]


@dataclass
class Connection:
    """State of one connection to a database."""

    organisation: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    is_read_only: bool = False
    ids: list[str] = field(default_factory=list)
    writes: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Promotion:
    """Promotion that has taken effect, with the log of the database at that time."""

    name: str
    term: int
    log: tuple[Entry, ...]


class Database:
    """One database; it keeps its log while it is down.

    Parameters
    ----------
    service : Service
        Service that the database belongs to.
    name : str
        Id of the database.
    zone : str
        Its availability zone.
    """

    def __init__(self, *, service: "Service", name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[Entry] = []
        self.paused_at_term: int | None = None
        self.is_deaf = False
        self.is_up = False
        self.state = "ready"
        # Whether the answer to a query is lost, by its id and text.
        self.loses_answer: Callable[[str, str], bool] = lambda id, text: False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def position(self) -> tuple[int, int]:
        """Term and number of the last entry."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    async def start(self) -> None:
        """Listen; a database that starts again has lost its pause, not its log."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.paused_at_term = None
        self.is_up = True

    def crash(self) -> None:
        """End at once; all connections are reset and new ones refused."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def may_receive_from(self, primary: "Database") -> bool:
        """Tell whether this replica receives the log of ``primary`` now."""
        is_paused = (
            self.paused_at_term is not None and self.paused_at_term > primary.term
        )
        return (
            self.is_up
            and not self.is_deaf
            and not is_paused
            and not self.is_primary
            and self.term <= primary.term
        )

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self._serve_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_session(self, reader, writer) -> None:
        words = (await reader.readline()).decode().split()
        is_expected = len(words) >= 3 and words[0] == "STARTUP"
        is_expected = is_expected and words[1] == self.service.name
        if not is_expected or words[3:] not in ([], [self.name]):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(self.writers) > self.service.max_connections:
            writer.write(b"ERROR TOOMANY -\r\n")
            return
        connection = Connection(organisation=words[2])
        writer.write(f"READY {connection.state} {self._position()}\r\n".encode())
        while line := (await reader.readline()).decode().rstrip("\r\n"):
            if line == "TERMINATE":
                return
            _, id, text = line.split(" ", 2)
            lines = await self._run(connection, id, text)
            if self.loses_answer(id, text):
                self.service.record(f"{self.name}: the answer to {text} is lost")
                continue
            lines.append(f"READY {connection.state} {self._position()}")
            writer.write("".join(f"{each}\r\n" for each in lines).encode())
            await writer.drain()

    def _position(self) -> str:
        term, number = self.position
        return f"{term}.{number}"

    async def _run(self, connection: Connection, id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            required, _, text = rest.partition(" ")
            if tuple(map(int, required.split("."))) > self.position:
                return [f"ERROR LAGGING {self.name}"]
            word, _, rest = text.partition(" ")
        if word in CONTROL:
            return self._control(word, rest)
        if word in ("RESET", "SET", "PREPARE", "DEALLOCATE"):
            return self._change_session(connection, word, rest)
        if connection.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        await asyncio.sleep(self.service.statement_s)
        return await self._run_statement(connection, id, word, rest)

    def _control(self, word: str, rest: str) -> list[str]:
        if word == "PAUSE" and not self.is_primary and int(rest) > self.term:
            self.paused_at_term = int(rest)
        if word == "RESUME":
            self.paused_at_term = None
        if word == "STEPDOWN" and self.is_primary and int(rest) > self.term:
            self.is_primary = False
            self.service.report(self)
        role = "primary" if self.is_primary else "replica"
        row = f"{role} {self.term} {self._position()} {self.term} 0 0"
        row = f"ROW {row} {len(self.writers)}"
        if word != "STATUS":
            self.service.record(f"{self.name}: {word} {rest}, answers {row}")
        return [row, "COMPLETE -"]

    @staticmethod
    def _change_session(connection: Connection, word: str, rest: str) -> list[str]:
        name, _, argument = rest.partition(" ")
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
        elif word == "SET":
            connection.values[name] = argument
        elif word == "PREPARE":
            mode, _, shape = argument.partition(" ")
            connection.prepared[name] = (mode, shape)
        else:
            connection.prepared.pop(name, None)
        return ["COMPLETE -"]

    async def _run_statement(
        self, connection: Connection, id: str, word: str, rest: str
    ) -> list[str]:
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return ["ERROR NOSTMT -"]
            word = connection.prepared[name][0]
        is_plain_transaction = connection.state == "T" and not connection.is_read_only
        if word == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return [f"ERROR READONLY {self.name}"]
            connection.state, connection.is_read_only = "T", rest == "READ"
            return ["COMPLETE -"]
        if word == "ROLLBACK" or (word == "COMMIT" and connection.state == "E"):
            connection.state, connection.writes, connection.ids = "I", {}, []
            return ["COMPLETE -"] if word == "ROLLBACK" else ["ERROR ABORTED -"]
        needs_lead = word == "WRITE" or (
            is_plain_transaction and (word != "COMMIT" or connection.writes)
        )
        if needs_lead and not self.is_primary:
            connection.state = "E" if connection.state == "T" else "I"
            if word == "COMMIT":
                connection.state, connection.writes, connection.ids = "I", {}, []
            return [f"ERROR READONLY {self.name}"]
        signature = f"COMPLETE {self.term}.{next(self.service.signatures)}.{self.name}"
        if word == "READ":
            found = dict(pair for entry in self.log for pair in entry.writes)
            found.update(connection.writes)
            return [f"ROW {found.get(rest.split(' ')[0], '')}", signature]
        if word == "WRITE":
            item, _, value = rest.partition(" ")
            connection.writes[item] = value
            connection.ids.append(id)
            if connection.state == "T":
                return [signature]
        writes, connection.writes = connection.writes, {}
        ids, connection.ids = connection.ids, []
        connection.state = "I"
        if writes:
            await self._commit(tuple(ids), tuple(writes.items()))
        return [signature]

    async def _commit(
        self, ids: tuple[str, ...], writes: tuple[tuple[str, str], ...]
    ) -> None:
        """Append a commit; return once a replica has received it."""
        entry = Entry(self.term, self.position[1] + 1, ids, writes)
        self.log.append(entry)
        while True:
            if self.is_primary and entry in self.service.acknowledged:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


class Service:
    """Databases of one service, and the platform's call that promotes one.

    Parameters
    ----------
    name : str
        Name of the service.
    zones : dict of str to str
        Zone of each database, by id; the first one is the primary.
    promote_s : float
        Time from the call until the database leads, in seconds.
    record : callable
        Receives one line for each event.
    """

    def __init__(
        self,
        *,
        name: str,
        zones: dict[str, str],
        promote_s: float,
        record: Callable[[str], None],
    ) -> None:
        self.name = name
        self.promote_s = promote_s
        self.record = record
        self.max_connections = 32
        self.statement_s = 0.005
        self.signatures = itertools.count(1)
        # Entries that a replica has received, so that they were acknowledged.
        self.acknowledged: set[Entry] = set()
        self.promotions: list[Promotion] = []
        self.report: Callable[[Database], None] = lambda database: None
        self.databases = {
            id: Database(service=self, name=id, zone=zone) for id, zone in zones.items()
        }
        next(iter(self.databases.values())).is_primary = True
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all databases and the replication between them."""
        for database in self.databases.values():
            await database.start()
        self.spawn(self._replicate())

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task of this service."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Stop all databases."""
        for task in list(self.tasks):
            task.cancel()
        for database in self.databases.values():
            if database.is_up:
                database.crash()

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for primary in self._running_primaries():
                for replica in self.databases.values():
                    if replica is primary or not replica.may_receive_from(primary):
                        continue
                    replica.term = primary.term
                    if replica.log != primary.log:
                        replica.log = list(primary.log)
                    self.acknowledged.update(replica.log)

    def _running_primaries(self) -> list[Database]:
        return [d for d in self.databases.values() if d.is_up and d.is_primary]

    async def restart(self, database: Database) -> None:
        """Start a database that crashed; it is a replica if another one leads."""
        if any(d is not database for d in self._running_primaries()):
            database.is_primary = False
        await database.start()
        self.report(database)

    def promote(self, name: str) -> bool:
        """Accept a call that promotes a database; False if it isn't running."""
        database = self.databases[name]
        if not database.is_up:
            return False
        if not database.is_primary:
            self.spawn(self._promote(database))
        return True

    async def _promote(self, database: Database) -> None:
        await asyncio.sleep(self.promote_s)
        if not database.is_up:
            return
        former = [d for d in self._running_primaries() if d is not database]
        database.term = max(d.term for d in self.databases.values()) + 1
        database.is_primary = True
        promotion = Promotion(database.name, database.term, tuple(database.log))
        self.promotions.append(promotion)
        self.record(f"{database.name}: leads term {database.term}")
        for other in self.databases.values():
            other.paused_at_term = None
        self.report(database)
        if former:
            await asyncio.sleep(NOTICE_S)
            for other in former:
                if other.term < database.term:
                    other.is_primary = False
                    self.report(other)
