"""Simulated databases of one service: replicated logs, pauses and promotions.

The databases keep their logs from one point of view that no daemon has, so lost
commits are found without any decision of the code under test.
"""

import asyncio
import heapq
from dataclasses import dataclass, field
from random import Random

from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointGoneError,
    EndpointStatus,
)
from ebonyladder.types import (
    Address,
    EndpointId,
    EndpointProcess,
    EndpointState,
    LogPosition,
    OrganisationId,
    Position,
    Role,
    ServiceId,
    Term,
    ZoneId,
)

SERVICE = ServiceId("ledger")
# Time for which the log of a database that has stepped down is still on its way.
IN_FLIGHT_S = 0.3
# An old primary goes on for this long after it reaches the new one.
NOTICE_S = 1.0
# An entry is removed after this time without a heartbeat.
ENTRY_TIMEOUT_S = 1.5
SILENCE_POLL_S = 0.05
# The address of a process that has ended refuses connections for this long.
REFUSAL_S = 3.0
# Share of the answers that a database sends twice, and the interval of reading them.
REPEATED_SHARE = 0.4
READ_POLL_S = 0.002


def now() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(eq=False)
class Database:
    """One process of a database, with its log and the faults that act on it."""

    name: str
    born_ms: int
    zone: str
    address: str
    role: Role = Role.REPLICA
    term: int = 0
    log: list[tuple[int, int]] = field(default_factory=list)
    state: EndpointState = EndpointState.ACTIVE
    is_up: bool = True
    has_ended: bool = False
    is_log_lost: bool = False
    is_frozen: bool = False
    ended_at_s: float = 0.0
    is_paused: bool = False
    is_busy: bool = False
    has_heartbeats: bool = True
    was_listed: bool = False
    seen_at_s: float = 0.0
    sends_until_s: float = float("-inf")
    notice_s: float = 0.0
    waiting_s: float = 0.0
    connection_epoch: int = 0
    source: tuple["Database", int] | None = None
    silent_to: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    cut_from: set[str] = field(default_factory=set)

    @property
    def process(self) -> EndpointProcess:
        """Process, as the daemon names it."""
        return EndpointProcess(f"{self.name}@{self.born_ms}")

    @property
    def received(self) -> Position:
        """Position of the last log entry."""
        term = self.log[-1][0] if self.log else 0
        return Position(term=Term(term), position=LogPosition(len(self.log)))

    def entry(self) -> EndpointEntry:
        """Return the entry that the database registers."""
        return EndpointEntry(
            id=EndpointId(self.name),
            service=SERVICE,
            address=Address(self.address),
            zone=ZoneId(self.zone),
            slots=5,
            state=self.state,
            role=self.role,
            process_started_at_ms=self.born_ms,
        )

    def end(self, at_s: float, *, is_log_lost: bool) -> None:
        """End the process: its connections and its pause end with it."""
        self.is_up = False
        self.has_ended = True
        self.is_log_lost = is_log_lost
        self.ended_at_s = at_s
        self.is_paused = False
        self.connection_epoch += 1
        self.source = None

    def status(self) -> EndpointStatus:
        """Return the status that the database reports."""
        return EndpointStatus(
            role=self.role, term=Term(self.term), received=self.received
        )


@dataclass(frozen=True)
class Acknowledgement:
    """Acknowledgement of one commit."""

    commit: int
    term: int
    number: int
    at_s: float
    primary: EndpointProcess
    receivers: tuple[EndpointProcess, ...]
    is_by_unlisted: bool


@dataclass(frozen=True)
class LostCommit:
    """Acknowledged commit that a promoted log lacks.

    Attributes
    ----------
    holders : tuple of EndpointProcess
        Processes whose logs hold it, and aren't lost.
    """

    acknowledgement: Acknowledgement
    holders: tuple[EndpointProcess, ...]

    @property
    def is_counted(self) -> bool:
        """Whether a database that was listed could still provide the commit."""
        return bool(self.holders) and not self.acknowledgement.is_by_unlisted


class DatabaseService:
    """Databases of one service.

    Parameters
    ----------
    random : Random
        Decides how far the logs are sent in each tick.
    resumes_all : bool
        Whether a promotion ends the pauses of all databases of the service, or only
        that of the promoted one.
    """

    def __init__(self, *, random: Random, resumes_all: bool) -> None:
        self.random = random
        self.resumes_all = resumes_all
        self.processes: dict[EndpointProcess, Database] = {}
        self.current: dict[str, Database] = {}
        self.term = 0
        self.commits = 0
        self.acknowledged: dict[int, Acknowledgement] = {}
        self.recent: list[Acknowledgement] = []
        self.late_acknowledgements = 0
        self.listed: dict[str, EndpointEntry] = {}
        self.has_writes = True
        self.promotions = 0

    def add(self, name: str, *, zone: str, address: str, born_ms: int) -> Database:
        """Start a database process without a log."""
        database = Database(name, born_ms, zone, address, seen_at_s=now())
        self.processes[database.process] = database
        self.current[name] = database
        return database

    def running(self) -> list[Database]:
        """Return the databases that run."""
        return [d for d in self.current.values() if d.is_up]

    def at(self, address: str) -> Database | None:
        """Return the database that runs at an address."""
        return next((d for d in self.running() if d.address == address), None)

    def primary(self) -> Database | None:
        """Return the primary of the latest term, if it runs."""
        found = [d for d in self.running() if d.role is Role.PRIMARY]
        return max(found, key=lambda d: d.term, default=None)

    def tick(self, elapsed_s: float, may_write) -> None:
        """Write, replicate and acknowledge commits."""
        now_s = now()
        running = [d for d in self.running() if not d.is_frozen]
        for source in running:
            is_primary = source.role is Role.PRIMARY
            if is_primary and self.has_writes and may_write(source):
                self.commits += 1
                source.log.append((source.term, self.commits))
            if not is_primary and now_s >= source.sends_until_s:
                continue
            receivers = [
                d for d in running if d is not source and self._replicate(source, d)
            ]
            if is_primary:
                has_new = self._acknowledge(source, receivers, now_s)
                is_waiting = source.log and not has_new
                source.waiting_s = source.waiting_s + elapsed_s if is_waiting else 0.0
                self._notice(source, running, elapsed_s)

    def _replicate(self, source: Database, target: Database) -> bool:
        """Send a part of the log; return whether the target receives from it."""
        if (
            target.role is Role.PRIMARY
            or target.is_paused
            or target.term > source.term
            or target.name in source.cut_from
            or now_sending(target)
        ):
            return False
        if self.random.random() < 0.4:
            return False
        key = (source, source.term)
        if target.source != key:
            target.source = key
            target.term = source.term
            target.log = list(source.log)
            return True
        missing = len(source.log) - len(target.log)
        count = missing if self.random.random() < 0.7 else missing // 2
        start = len(target.log)
        target.log.extend(source.log[start : start + count])
        return True

    def _acknowledge(
        self, source: Database, receivers: list[Database], now_s: float
    ) -> bool:
        """Acknowledge what a replica has received; return whether that is more."""
        known = len(self.acknowledged)
        newest = max((len(d.log) for d in receivers), default=0)
        for number in range(newest, 0, -1):
            term, commit = source.log[number - 1]
            if term != source.term or commit in self.acknowledged:
                break
            if source.term < self.term:
                # Rule ONE covers what a replaced primary acknowledges.
                self.late_acknowledgements += 1
                continue
            having = [d for d in receivers if len(d.log) >= number]
            found = Acknowledgement(
                commit=commit,
                term=term,
                number=number,
                at_s=now_s,
                primary=source.process,
                receivers=tuple(d.process for d in having),
                is_by_unlisted=not any(d.was_listed for d in having),
            )
            self.acknowledged[commit] = found
            self.recent.append(found)
        return len(self.acknowledged) > known

    def _notice(
        self, source: Database, running: list[Database], elapsed_s: float
    ) -> None:
        """Let a replaced primary step down once it has reached the new one."""
        for other in running:
            is_newer = other.role is Role.PRIMARY and other.term > source.term
            if is_newer and other.name not in source.cut_from:
                source.notice_s += elapsed_s
                if source.notice_s >= NOTICE_S:
                    source.role = Role.REPLICA
                return

    def refresh_list(self) -> None:
        """Update the entries in the store from the databases' heartbeats."""
        now_s = now()
        for database in self.current.values():
            sends = database.has_heartbeats and not database.is_frozen
            if database.is_up and sends:
                database.seen_at_s = now_s
                database.was_listed = True
                self.listed[database.name] = database.entry()
            elif now_s - database.seen_at_s > ENTRY_TIMEOUT_S:
                self.listed.pop(database.name, None)

    def told(self, age_s: float) -> Acknowledgement | None:
        """Return the last commit that was acknowledged this long ago."""
        limit_s = now() - age_s
        return next((a for a in reversed(self.recent) if a.at_s <= limit_s), None)

    def take_effect(self, database: Database) -> list[LostCommit]:
        """Make a database the primary of the next term; return what its log lacks."""
        is_primary = database.role is Role.PRIMARY and database.term == self.term
        if not database.is_up or is_primary:
            return []
        self.term += 1
        self.promotions += 1
        held = {commit for _, commit in database.log}
        # A commit counts once, as the next log can't hold it either.
        lost = [
            LostCommit(self.acknowledged.pop(commit), self.holders_of(commit))
            for commit in sorted(self.acknowledged.keys() - held)
        ]
        self.recent = [a for a in self.recent if a.commit in self.acknowledged]
        database.role = Role.PRIMARY
        database.term = self.term
        for other in self.running() if self.resumes_all else (database,):
            other.is_paused = False
        database.source = None
        database.notice_s = 0.0
        return lost

    def holders_of(self, commit: int) -> tuple[EndpointProcess, ...]:
        """Return the processes whose logs hold a commit and aren't lost."""
        return tuple(
            process
            for process, database in self.processes.items()
            if not database.is_log_lost and any(c == commit for _, c in database.log)
        )

    def start_again(self, former: Database, name: str, born_ms: int) -> Database:
        """Start a crashed database with its log, as a replica if another one leads."""
        database = self.add(
            name, zone=former.zone, address=former.address, born_ms=born_ms
        )
        database.log, former.log = former.log, []
        database.term = former.term
        if former.role is Role.PRIMARY and former.term == self.term:
            database.role = Role.PRIMARY
        return database


def now_sending(database: Database) -> bool:
    """Return whether a database that stepped down still sends its own log."""
    return database.sends_until_s > now()


class SimulatedConnection(ControlConnection):
    """Connection of one VM to one database process.

    Parameters
    ----------
    copies : Random or None
        Decides which answers the database sends again, and when; None for none.
    """

    def __init__(
        self,
        *,
        peer: Database,
        vm: str,
        random: Random,
        organisation: OrganisationId,
        copies: Random | None = None,
    ) -> None:
        self.peer = peer
        self.vm = vm
        self.random = random
        self.endpoint = EndpointId(peer.name)
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.epoch = peer.connection_epoch
        self.is_closed = False
        self.copies = copies
        self.serving = asyncio.Lock()
        self.requests: set[asyncio.Task] = set()
        # Answers on their way, by their times of arrival.
        self.unread: list[tuple[float, int, EndpointStatus | EndpointError]] = []
        self.sent = 0

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self.is_closed and self.epoch == self.peer.connection_epoch

    def set_variables(self, values, deadline_s) -> None:
        """Fail, since a failover sets no variables."""
        raise NotImplementedError

    async def begin(self, command, *, min_position=None):
        """Fail, since a failover runs no transaction."""
        raise NotImplementedError

    async def run(self, command, *, min_position=None, prepared=None):
        """Fail, since a failover runs no command."""
        raise NotImplementedError

    async def status(self) -> EndpointStatus:
        """Return the database's status."""
        return await self._call(lambda: None)

    async def pause(self, term: Term) -> EndpointStatus:
        """Stop a replica from receiving."""

        def pause() -> None:
            if self.peer.role is Role.REPLICA and term > self.peer.term:
                self.peer.is_paused = True

        return await self._call(pause)

    async def resume(self) -> EndpointStatus:
        """Let a replica receive again."""

        def resume() -> None:
            self.peer.is_paused = False

        return await self._call(resume)

    async def step_down(self, term: Term) -> EndpointStatus:
        """Make a primary of a lower term a replica."""

        def step_down() -> None:
            if self.peer.role is Role.PRIMARY and self.peer.term < term:
                self.peer.role = Role.REPLICA
                self.peer.sends_until_s = now() + IN_FLIGHT_S

        return await self._call(step_down)

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True

    async def _call(self, action) -> EndpointStatus:
        if self.copies is None:
            return await self._run(action)
        request = asyncio.create_task(self._serve(action))
        self.requests.add(request)
        request.add_done_callback(self.requests.discard)
        try:
            while not (self.unread and self.unread[0][0] <= now()):
                self._require_open()
                await asyncio.sleep(READ_POLL_S)
        except asyncio.CancelledError:
            self.close()
            raise
        _, _, answer = heapq.heappop(self.unread)
        if isinstance(answer, EndpointError):
            raise answer
        return answer

    async def _serve(self, action) -> None:
        """Run one call after the other, and send some of the answers twice."""
        async with self.serving:
            try:
                answer = await self._run(action)
            except EndpointError as failure:
                if not self.is_open:
                    return
                answer = failure
        self._send(answer, now())
        if self.copies.random() < REPEATED_SHARE:
            delay_s = self.copies.choice((0.0, 0.0, self.copies.uniform(0.0, 2.0)))
            self._send(answer, now() + delay_s)

    def _send(self, answer: EndpointStatus | EndpointError, at_s: float) -> None:
        self.sent += 1
        heapq.heappush(self.unread, (at_s, self.sent, answer))

    async def _run(self, action) -> EndpointStatus:
        try:
            await asyncio.sleep(self.random.uniform(0.002, 0.02))
            await self._wait_while_silent()
            self._require_open()
            if self.peer.is_busy and self.random.random() < 0.6:
                raise error(EndpointError, ErrorCode.OVERLOADED, self.peer.name)
            action()
            status = self.peer.status()
            await asyncio.sleep(self.random.uniform(0.002, 0.02))
            await self._wait_while_silent()
            self._require_open()
        except asyncio.CancelledError:
            self.close()
            raise
        return status

    async def _wait_while_silent(self) -> None:
        while True:
            if not is_silent(self.peer, self.vm) or not self.is_open:
                return
            await asyncio.sleep(SILENCE_POLL_S)

    def _require_open(self) -> None:
        if not self.is_open:
            self.close()
            raise error(EndpointError, ErrorCode.CONNECTION_LOST, self.peer.name)


class SimulatedConnector(EndpointConnector):
    """Connector of one VM; whatever process runs under an id answers."""

    def __init__(
        self, *, service: DatabaseService, vm: str, seed: int, has_copies: bool = False
    ) -> None:
        self.service = service
        self.vm = vm
        self.seed = seed
        self.copies = Random(f"{seed} {vm} copies") if has_copies else None
        self.opened = 0
        # One generator for each database, since a set decides the order of the calls.
        self.randoms: dict[str, Random] = {}

    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> SimulatedConnection:
        """Open a connection, unless it is refused or the database is silent."""
        random = self.randoms.setdefault(
            entry.id, Random(f"{self.seed} {self.vm} {entry.id}")
        )
        await asyncio.sleep(random.uniform(0.002, 0.02))
        while True:
            peer = self.service.at(entry.address)
            former = self.service.current.get(entry.id)
            if peer is None and (
                former is None or former.ended_at_s + REFUSAL_S > now()
            ):
                raise error(EndpointGoneError, ErrorCode.CONNECT_FAILED, entry.id)
            if peer is not None and not is_silent(peer, self.vm):
                break
            await asyncio.sleep(SILENCE_POLL_S)
        if peer.name != entry.id:
            # Another database answers at an address that is in use again.
            raise error(EndpointGoneError, ErrorCode.CONNECT_FAILED, entry.id)
        if self.vm in peer.refused:
            raise error(EndpointError, ErrorCode.OVERLOADED, entry.id)
        self.opened += 1
        return SimulatedConnection(
            peer=peer,
            vm=self.vm,
            random=random,
            organisation=organisation,
            copies=self.copies,
        )


def is_silent(database: Database, vm: str) -> bool:
    """Return whether a database doesn't answer a VM."""
    return database.is_frozen or vm in database.silent_to


def error(kind: type[EndpointError], code: ErrorCode, peer: str) -> EndpointError:
    """Return the error of a call to a database."""
    return kind(code=code, step=Step.EXECUTE, peer=peer, outcome=Outcome.NOT_RUN)
