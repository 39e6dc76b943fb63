"""Fake endpoints of the fault matrix, behind the driver's interface."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from ebonyladder.endpoint import (
    EndpointAnswer,
    EndpointConnection,
    EndpointDriver,
    EndpointReport,
    FenceVote,
    ReportStream,
)
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.types import Position, RequestKind, Role
from standins.database import Database, RefusedError, Transaction
from standins.database import Role as DatabaseRole
from standins.log import ReplicatedLog
from standins.records import ExecutedStatement, LogEntry

if TYPE_CHECKING:
    from tests.matrix_world import MatrixVm, World

REPLICATION_S = 0.02
REPORT_S = 0.1
STATEMENT_S = 0.002


class FakeEndpoint:
    """Endpoint whose log survives a kill, as its file would."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.database = Database(name=name, log=ReplicatedLog())
        self.ever: list[LogEntry] = []
        self.ran: list[ExecutedStatement] = []
        self.primary = ""
        self.contact_s = float("-inf")
        self.is_up = True
        self.is_behind = False
        self.number = 0

    def note_entries(self, first: int) -> None:
        """Keep the entries from ``first`` on, also if they are truncated."""
        for place, entry in enumerate(self.database.log.entries[first:], first + 1):
            rows = {key: str(value) for key, value in entry.rows.items()}
            self.ever.append(LogEntry("g1", entry.term, place, rows))

    def replicate(self, source: "FakeEndpoint", now_s: float) -> None:
        """Take in what the primary has; visible at the next call."""
        log, other = self.database.log, source.database.log
        if source.database.role is not DatabaseRole.PRIMARY:
            return
        if self.primary != source.name or log.fence_term > other.log_term:
            return
        self.contact_s = now_s
        if self.is_behind:
            return
        log.accept_term(other.log_term)
        same = log.common_prefix(other.segments)
        if same < log.received:
            self.database.rewind(same)
        self.database.apply(log.received)
        first = log.received
        for entry in other.entries[first:]:
            log.append(entry)
        self.note_entries(first)

    def report(self, now_s: float, probe: int = 0) -> EndpointReport:
        database, log = self.database, self.database.log
        is_primary = database.role is DatabaseRole.PRIMARY
        return EndpointReport(
            endpoint=self.name,
            role=Role(database.role.value),
            fence_term=log.fence_term,
            log_term=log.log_term,
            term_start=log.term_start,
            received=log.received,
            applied=database.applied,
            primary_contact_age_s=0.0 if is_primary else now_s - self.contact_s,
            probe=probe,
        )


class FakeConnection(EndpointConnection):
    """Connection of one VM to one endpoint."""

    def __init__(self, vm: "MatrixVm", endpoint: FakeEndpoint) -> None:
        self.vm = vm
        self.endpoint = endpoint
        self.life = endpoint.number
        self.transaction: Transaction | None = None
        self.is_usable = True

    @property
    def is_open(self) -> bool:
        return (
            self.is_usable and self.endpoint.is_up and self.life == self.endpoint.number
        )

    async def execute(self, *, organisation, statement) -> EndpointAnswer:
        def run() -> EndpointAnswer:
            return self._execute(organisation, statement)

        return await self._request(Step.EXECUTE, run)

    async def begin(self, *, organisation) -> None:
        def run() -> None:
            self.transaction = self.endpoint.database.begin(organisation)

        await self._request(Step.BEGIN, run)

    async def commit(self) -> EndpointAnswer:
        return await self._request(Step.COMMIT, self._commit)

    async def rollback(self) -> None:
        def run() -> None:
            self.transaction = None

        await self._request(Step.ROLLBACK, run)

    async def close(self) -> None:
        self.is_usable = False
        self.transaction = None

    async def _request(self, step: Step, run):
        """Run at the endpoint; not usable unless a whole answer came."""
        was_usable, self.is_usable = self.is_usable, False
        await self.vm.reach(step, self.endpoint.name)
        if not was_usable or not self._is_alive():
            raise self._lost(step)
        await self.vm.world.until_linked(self.vm.name, self.endpoint.name)
        await asyncio.sleep(STATEMENT_S)
        if not self._is_alive():
            raise self._lost(step)
        try:
            answer = run()
        except RefusedError as refusal:
            self.is_usable = True
            is_role = refusal.code == "not-primary"
            raise EndpointError(
                code=ErrorCode.NO_PRIMARY if is_role else ErrorCode.ENDPOINT_REFUSED,
                step=step,
                peer=self.endpoint.name,
                outcome=Outcome.NOT_RUN,
            ) from refusal
        await asyncio.sleep(STATEMENT_S)
        await self.vm.world.until_linked(self.endpoint.name, self.vm.name)
        if not self._is_alive():
            raise self._lost(step)
        self.is_usable = True
        return answer

    def _is_alive(self) -> bool:
        return self.endpoint.is_up and self.life == self.endpoint.number

    def _lost(self, step: Step) -> EndpointError:
        return EndpointError(
            code=ErrorCode.CONNECTION_LOST, step=step, peer=self.endpoint.name
        )

    def _execute(self, organisation, statement) -> EndpointAnswer:
        database = self.endpoint.database
        current = self.transaction or Transaction(number=0, organisation=organisation)
        writes = statement.kind is RequestKind.WRITE
        rows = database.execute(
            organisation, statement.text, writes=writes, transaction=current
        )
        if self.transaction is None and writes:
            first = database.log.received
            database.commit(current)
            self.endpoint.note_entries(first)
        name = f"{id(self)}-{current.number}" if self.transaction else ""
        self.endpoint.ran.append(
            ExecutedStatement(
                endpoint=self.endpoint.name,
                organisation=organisation,
                text=statement.text,
                kind=statement.kind.value,
                transaction=name,
            )
        )
        return self._answer(rows, database.applied)

    def _commit(self) -> EndpointAnswer:
        database = self.endpoint.database
        transaction, self.transaction = self.transaction, None
        if transaction is None:
            raise RefusedError("no-transaction", "no transaction is open")
        first = database.log.received
        position = database.commit(transaction)
        self.endpoint.note_entries(first)
        return self._answer([], position)

    def _answer(self, rows: list, position: int) -> EndpointAnswer:
        database = self.endpoint.database
        at = Position(term=database.log.log_term, position=position)
        return EndpointAnswer(rows=rows, at=at, role=Role(database.role.value))


class FakeStream(ReportStream):
    """Reports of one endpoint to one VM."""

    def __init__(self, vm: "MatrixVm", endpoint: FakeEndpoint) -> None:
        self.vm = vm
        self.endpoint = endpoint
        self.life = endpoint.number
        self.probes: asyncio.Queue[int] = asyncio.Queue()

    async def reports(self) -> AsyncIterator[EndpointReport]:
        world, vm = self.vm.world, self.vm
        while self.endpoint.is_up and self.life == self.endpoint.number:
            number = 0
            try:
                async with asyncio.timeout(REPORT_S):
                    number = await self.probes.get()
            except TimeoutError:
                pass
            await world.until_linked(self.endpoint.name, vm.name)
            await vm.running.wait()
            if self.endpoint.is_up:
                yield self.endpoint.report(vm.clock.now_s(), number)
        await vm.reach(Step.FAILURE_DETECT, self.endpoint.name)

    async def probe(self, number: int) -> None:
        self.probes.put_nowait(number)

    async def close(self) -> None:
        pass


class FakeDriver(EndpointDriver):
    """Driver of one VM."""

    def __init__(self, vm: "MatrixVm") -> None:
        self.vm = vm
        self.world: World = vm.world

    async def _open(self, endpoint: str) -> FakeEndpoint:
        found = self.world.endpoints[endpoint]
        await asyncio.sleep(STATEMENT_S)
        if not found.is_up or not self.world.is_linked(self.vm.name, endpoint):
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED, step=Step.CONNECT, peer=endpoint
            )
        return found

    async def connect(self, *, endpoint, address) -> EndpointConnection:
        await self.vm.reach(Step.CONNECT, endpoint)
        return FakeConnection(self.vm, await self._open(endpoint))

    async def open_report_stream(self, *, endpoint, address) -> ReportStream:
        return FakeStream(self.vm, await self._open(endpoint))

    async def _control(self, step: Step, endpoint: str, run):
        await self.vm.reach(step, endpoint)
        found = await self._open(endpoint)
        try:
            answer = run(found)
        except RefusedError as refusal:
            raise EndpointError(
                code=ErrorCode.FENCED, step=step, peer=endpoint
            ) from refusal
        await asyncio.sleep(STATEMENT_S)
        if not self.world.is_linked(endpoint, self.vm.name):
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST, step=step, peer=endpoint
            )
        return answer

    async def fence(self, *, endpoint, address, term, promoter) -> FenceVote:
        def run(found: FakeEndpoint) -> FenceVote:
            if not found.database.fence(term, promoter):
                raise RefusedError("fenced", "vote is given")
            found.primary = ""
            log = found.database.log
            return FenceVote(
                endpoint=endpoint, log_term=log.log_term, received=log.received
            )

        return await self._control(Step.FENCE, endpoint, run)

    async def promote(self, *, endpoint, address, term, promoter, followers):
        def run(found: FakeEndpoint) -> Position:
            first = found.database.log.received
            start = found.database.promote(term, promoter)
            found.note_entries(first)
            return Position(term=term, position=start)

        return await self._control(Step.PROMOTE, endpoint, run)

    async def follow(self, *, endpoint, address, term, primary, primary_address):
        def run(found: FakeEndpoint) -> None:
            database = found.database
            leads = database.role is DatabaseRole.PRIMARY
            if term < database.log.fence_term or (
                leads and term <= database.log.log_term
            ):
                raise RefusedError("fenced", "follows a later term")
            database.log.accept_term(term)
            database.role = DatabaseRole.REPLICA
            found.primary = primary
            found.contact_s = self.vm.clock.now_s()

        await self._control(Step.FOLLOW, endpoint, run)
