"""Fake endpoints of the fault matrix, behind the interface EndpointDriver."""

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

REPLICATION_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 0.1
ENDPOINT_LATENCY_S = 0.002


class FakeEndpoint:
    """Endpoint whose log survives a kill, as a log file would."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.database = Database(name=name, log=ReplicatedLog())
        self.all_entries: list[LogEntry] = []
        self.ran: list[ExecutedStatement] = []
        self.primary = ""
        self.contact_at_s = float("-inf")
        self.is_up = True
        self.is_lagging = False
        self.restarts = 0

    def record_entries(self, first: int) -> None:
        """Record the entries from ``first`` on, which may be truncated later."""
        for position, entry in enumerate(self.database.log.entries[first:], first + 1):
            rows = {key: str(value) for key, value in entry.rows.items()}
            self.all_entries.append(LogEntry("g1", entry.term, position, rows))

    def replicate(self, source: "FakeEndpoint", now_s: float) -> None:
        """Copy the log of the primary; a call applies what the previous one copied."""
        log, other = self.database.log, source.database.log
        if source.database.role is not DatabaseRole.PRIMARY:
            return
        if self.primary != source.name or log.fence_term > other.log_term:
            return
        self.contact_at_s = now_s
        if self.is_lagging:
            return
        log.accept_term(other.log_term)
        common = log.common_prefix(other.segments)
        if common < log.received:
            self.database.rewind(common)
        self.database.apply(log.received)
        first = log.received
        for entry in other.entries[first:]:
            log.append(entry)
        self.record_entries(first)

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
            primary_contact_age_s=0.0 if is_primary else now_s - self.contact_at_s,
            probe=probe,
        )


class FakeConnection(EndpointConnection):
    """Connection of one VM to one endpoint."""

    def __init__(self, vm: "MatrixVm", endpoint: FakeEndpoint) -> None:
        self.vm = vm
        self.endpoint = endpoint
        self.restarts_at_open = endpoint.restarts
        self.transaction: Transaction | None = None
        self.is_usable = True

    @property
    def is_open(self) -> bool:
        return (
            self.is_usable
            and self.endpoint.is_up
            and self.restarts_at_open == self.endpoint.restarts
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
        """Run at the endpoint; without a complete answer the connection is unusable."""
        was_usable, self.is_usable = self.is_usable, False
        await self.vm.reach_step(step, self.endpoint.name)
        if not was_usable or not self._is_alive():
            raise self._connection_lost(step)
        await self.vm.world.wait_connected(self.vm.name, self.endpoint.name)
        await asyncio.sleep(ENDPOINT_LATENCY_S)
        if not self._is_alive():
            raise self._connection_lost(step)
        try:
            answer = run()
        except RefusedError as refusal:
            self.is_usable = True
            is_not_primary = refusal.code == "not-primary"
            raise EndpointError(
                code=ErrorCode.NO_PRIMARY
                if is_not_primary
                else ErrorCode.ENDPOINT_REFUSED,
                step=step,
                peer=self.endpoint.name,
                outcome=Outcome.NOT_RUN,
            ) from refusal
        await asyncio.sleep(ENDPOINT_LATENCY_S)
        await self.vm.world.wait_connected(self.endpoint.name, self.vm.name)
        if not self._is_alive():
            raise self._connection_lost(step)
        self.is_usable = True
        return answer

    def _is_alive(self) -> bool:
        return self.endpoint.is_up and self.restarts_at_open == self.endpoint.restarts

    def _connection_lost(self, step: Step) -> EndpointError:
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
            self.endpoint.record_entries(first)
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
        self.endpoint.record_entries(first)
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
        self.restarts_at_open = endpoint.restarts
        self.probes: asyncio.Queue[int] = asyncio.Queue()

    async def reports(self) -> AsyncIterator[EndpointReport]:
        world, vm = self.vm.world, self.vm
        while self.endpoint.is_up and self.restarts_at_open == self.endpoint.restarts:
            number = 0
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    number = await self.probes.get()
            except TimeoutError:
                pass
            await world.wait_connected(self.endpoint.name, vm.name)
            await vm.running.wait()
            if self.endpoint.is_up:
                yield self.endpoint.report(vm.clock.now_s(), number)
        await vm.reach_step(Step.FAILURE_DETECT, self.endpoint.name)

    async def probe(self, number: int) -> None:
        self.probes.put_nowait(number)

    async def close(self) -> None:
        pass


class FakeDriver(EndpointDriver):
    """Endpoint driver of one VM."""

    def __init__(self, vm: "MatrixVm") -> None:
        self.vm = vm
        self.world: World = vm.world

    async def _open(self, endpoint: str) -> FakeEndpoint:
        target = self.world.endpoints[endpoint]
        await asyncio.sleep(ENDPOINT_LATENCY_S)
        if not target.is_up or not self.world.is_connected(self.vm.name, endpoint):
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED, step=Step.CONNECT, peer=endpoint
            )
        return target

    async def connect(self, *, endpoint, address) -> EndpointConnection:
        await self.vm.reach_step(Step.CONNECT, endpoint)
        return FakeConnection(self.vm, await self._open(endpoint))

    async def open_report_stream(self, *, endpoint, address) -> ReportStream:
        return FakeStream(self.vm, await self._open(endpoint))

    async def _control(self, step: Step, endpoint: str, run):
        await self.vm.reach_step(step, endpoint)
        target = await self._open(endpoint)
        try:
            answer = run(target)
        except RefusedError as refusal:
            raise EndpointError(
                code=ErrorCode.FENCED, step=step, peer=endpoint
            ) from refusal
        await asyncio.sleep(ENDPOINT_LATENCY_S)
        if not self.world.is_connected(endpoint, self.vm.name):
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST, step=step, peer=endpoint
            )
        return answer

    async def fence(self, *, endpoint, address, term, promoter) -> FenceVote:
        def run(target: FakeEndpoint) -> FenceVote:
            if not target.database.fence(term, promoter):
                raise RefusedError("fenced", "vote is refused")
            target.primary = ""
            log = target.database.log
            return FenceVote(
                endpoint=endpoint, log_term=log.log_term, received=log.received
            )

        return await self._control(Step.FENCE, endpoint, run)

    async def promote(self, *, endpoint, address, term, promoter, followers):
        def run(target: FakeEndpoint) -> Position:
            first = target.database.log.received
            start = target.database.promote(term, promoter)
            target.record_entries(first)
            return Position(term=term, position=start)

        return await self._control(Step.PROMOTE, endpoint, run)

    async def follow(self, *, endpoint, address, term, primary, primary_address):
        def run(target: FakeEndpoint) -> None:
            database = target.database
            is_primary = database.role is DatabaseRole.PRIMARY
            if term < database.log.fence_term or (
                is_primary and term <= database.log.log_term
            ):
                raise RefusedError("fenced", "already in a later term")
            database.log.accept_term(term)
            database.role = DatabaseRole.REPLICA
            target.primary = primary
            target.contact_at_s = self.vm.clock.now_s()

        await self._control(Step.FOLLOW, endpoint, run)
