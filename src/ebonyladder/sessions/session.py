"""Session of one caller: variables, prepared statements and one transaction."""

import contextlib
from typing import NewType

import msgspec
from absl import logging

from ebonyladder.kernel.error import RequestError
from ebonyladder.sessions.accepted_requests import RequestEndedError
from ebonyladder.sessions.catalog import (
    OPEN_ORGANISATION,
    CallerKey,
    DatabaseName,
    Organisation,
    Route,
)
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    Prepared,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.quota import Quota
from ebonyladder.sessions.refusals import give_up
from ebonyladder.sessions.statement_request import PinnedConnection, StatementRequest
from ebonyladder.types import OrganisationId, Position, RequestKind, ServiceId

SessionId = NewType("SessionId", str)

# Fraction of a route's latency objective for which an operation may wait for a permit;
# the rest is for the statement itself.
ADMISSION_FRACTION = 0.5


class Transaction(msgspec.Struct, kw_only=True):
    """Transaction of a session, opened at an endpoint with its first statement.

    Attributes
    ----------
    pinned : PinnedConnection or None
        Connection that the transaction has pinned; None before the first statement.
    failure : Answer or None
        Answer to the next command once the transaction has failed.
    """

    begin: Command
    begun_at_s: float
    route: Route
    organisation: Organisation | None
    pinned: PinnedConnection | None = None
    failure: Answer | None = None
    has_written: bool = False

    @property
    def access(self) -> RequestKind:
        """Whether the transaction may write."""
        return self.begin.access or RequestKind.WRITE


class AuthorizedRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Route that a session may use now, and the organisation of its key."""

    route: Route
    organisation: Organisation | None


def authorize(
    cluster: ClusterView, database: DatabaseName, key: CallerKey
) -> AuthorizedRoute | Answer:
    """Return the route that a key may use for a database, or a refusal."""
    catalog = cluster.catalog
    if catalog is None:
        return refusal(AnswerCode.OVERLOADED, "no configuration yet")
    route = catalog.routes.get(database)
    if route is None:
        return refusal(AnswerCode.NO_DATABASE, database)
    organisation = catalog.organisation_of(key)
    if organisation is None and not route.is_open:
        return refusal(AnswerCode.KEY_REFUSED, "the key is unknown or withdrawn")
    return AuthorizedRoute(route=route, organisation=organisation)


class Session:
    """State of one caller's connection.

    Parameters
    ----------
    id : SessionId
        Id of the session in logs.
    database : DatabaseName
        Database that the caller connected to.
    key : CallerKey
        The caller's key.
    cluster : ClusterView
        Active configuration.
    executor : Executor
        Runs statements.
    quota : Quota
        Admits operations.

    Attributes
    ----------
    request : StatementRequest or None
        Request of the command that is running, None for one that needs no endpoint.
    """

    def __init__(
        self,
        *,
        id: SessionId,
        database: DatabaseName,
        key: CallerKey,
        cluster: ClusterView,
        executor: Executor,
        quota: Quota,
    ) -> None:
        self.id = id
        self.database = database
        self.key = key
        self.cluster = cluster
        self.executor = executor
        self.quota = quota
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepared] = {}
        self.positions: dict[ServiceId, Position] = {}
        self.transaction: Transaction | None = None
        self.request: StatementRequest | None = None
        self.must_close = False

    @property
    def organisation_name(self) -> OrganisationId:
        """Organisation of the key in the active configuration."""
        catalog = self.cluster.catalog
        found = catalog.organisation_of(self.key) if catalog else None
        return found.name if found else OPEN_ORGANISATION

    @property
    def state(self) -> TransactionState:
        """State that is reported to the caller."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failure is not None:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def handle(self, command: Command) -> Answer:
        """Run one command and return its answer, whatever happens to it."""
        self.request = None
        try:
            async with self.executor.accepted.accept():
                answer = await self._handle(command)
        except RequestEndedError as error:
            answer = await self._give_up(command, str(error))
        except Exception as error:
            logging.exception(
                "[session] Command failed unexpectedly. request=%s session=%s kind=%s",
                command.id,
                self.id,
                command.kind.value,
            )
            answer = await self._give_up(command, f"unexpected error: {error!r}")
        if answer.code is not None:
            logging.info(
                "[session] Command failed. request=%s session=%s kind=%s database=%s "
                "organisation=%s config=%s code=%s detail=%s",
                command.id,
                self.id,
                command.kind.value,
                self.database,
                self.organisation_name,
                self.cluster.version,
                answer.code.value,
                answer.detail,
            )
        return answer

    async def close(self) -> None:
        """Close the session; an open transaction is rolled back."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.pinned is not None:
            pinned, transaction.pinned = transaction.pinned, None
            await self.executor.release_pinned(pinned)

    async def abort_transaction(self, detail: str) -> None:
        """Roll back the open transaction; after that only its ROLLBACK succeeds."""
        transaction = self.transaction
        if transaction is None or transaction.failure is not None:
            return
        transaction.failure = refusal(AnswerCode.ABORTED, detail)
        # The caller's next command isn't read meanwhile, so a stop of the VM ends this
        # wait like a request; the endpoint's connection is closed then.
        with contextlib.suppress(TimeoutError):
            async with self.executor.accepted.accept():
                await self._release_pinned(transaction)
        if transaction.pinned is not None:
            # The end had passed before the wait began.
            transaction.pinned.connection.close()
            await self._release_pinned(transaction)

    async def _give_up(self, command: Command, detail: str) -> Answer:
        """Answer a command that was ended early, by what is known of its run."""
        is_end = command.kind in (CommandKind.COMMIT, CommandKind.ROLLBACK)
        transaction = self.transaction
        if transaction is not None and transaction.pinned is not None:
            # The endpoint rolls back; waiting for that would delay the answer.
            transaction.pinned.connection.close()
        if transaction is None and not is_end:
            return give_up(self.request, detail)
        if not is_end:
            await self.abort_transaction(detail)
            return refusal(AnswerCode.ABORTED, detail, state=TransactionState.FAILED)
        await self.close()
        if command.kind is CommandKind.ROLLBACK:
            return Answer()
        may_have_run = self.request is not None and self.request.may_have_run
        has_written = transaction is None or transaction.has_written
        is_in_doubt = may_have_run and has_written
        code = AnswerCode.IN_DOUBT if is_in_doubt else AnswerCode.ABORTED
        return refusal(code, detail)

    async def _handle(self, command: Command) -> Answer:
        authorized = authorize(self.cluster, self.database, self.key)
        if isinstance(authorized, Answer):
            self.must_close = True
            await self.close()
            return authorized
        if self.transaction is not None:
            return await self._handle_in_transaction(command, self.transaction)
        match command.kind:
            case CommandKind.BEGIN:
                return await self._begin(command, authorized)
            case CommandKind.SET | CommandKind.PREPARE | CommandKind.DEALLOCATE:
                return self._change_session(command)
            case CommandKind.COMMIT | CommandKind.ROLLBACK:
                return refusal(AnswerCode.MALFORMED, "no transaction is open")
        return await self._run_autocommit(command, authorized)

    async def _begin(self, command: Command, authorized: AuthorizedRoute) -> Answer:
        if self.executor.accepted.refuses_work:
            return refusal(AnswerCode.OVERLOADED, "the VM is stopping")
        deadline_s = self.executor.deadline_s(authorized.route)
        refused = await self._admit(authorized, deadline_s)
        if refused is not None:
            return refused
        # The endpoint is chosen at the first statement, so that no connection is pinned
        # until then.
        self.transaction = Transaction(
            begin=command,
            begun_at_s=self.executor.clock.now_s(),
            route=authorized.route,
            organisation=authorized.organisation,
        )
        return Answer(state=TransactionState.OPEN)

    def _change_session(self, command: Command) -> Answer:
        match command.kind:
            case CommandKind.SET:
                self.values = {**self.values, command.name: command.argument}
            case CommandKind.PREPARE:
                self.prepared[command.name] = Prepared(
                    access=command.access or RequestKind.READ, shape=command.argument
                )
            case CommandKind.DEALLOCATE:
                if self.prepared.pop(command.name, None) is None:
                    return refusal(
                        AnswerCode.NOT_PREPARED, command.name, state=self.state
                    )
        return Answer(state=self.state)

    async def _run_autocommit(
        self, command: Command, authorized: AuthorizedRoute
    ) -> Answer:
        request = self._request(command, authorized.route, authorized.organisation)
        if request is None:
            return refusal(AnswerCode.NOT_PREPARED, command.name)
        refused = await self._admit(authorized, request.deadline_s)
        if refused is not None:
            return refused
        answer = await self.executor.run_autocommit(request)
        if answer.is_refused_here and authorized.organisation is not None:
            self.quota.refund(authorized.organisation)
        if answer.code is None and request.access is RequestKind.WRITE:
            self._record_commit(authorized.route.service, answer.position)
        return answer.with_state(TransactionState.IDLE)

    async def _admit(
        self, authorized: AuthorizedRoute, deadline_s: float
    ) -> Answer | None:
        if authorized.organisation is None:
            return None
        objective_s = authorized.route.objective_s
        remaining_s = deadline_s - self.executor.clock.now_s()
        try:
            await self.quota.admit(
                authorized.organisation,
                timeout_s=min(objective_s * ADMISSION_FRACTION, max(remaining_s, 0)),
            )
        except RequestError as error:
            return refusal(
                AnswerCode.OVERLOADED, "rate", retry_after_s=error.retry_after_s
            )
        return None

    def _request(
        self, command: Command, route: Route, organisation: Organisation | None
    ) -> StatementRequest | None:
        """Return the request for a command, None for an unknown prepared statement."""
        prepared = None
        access = RequestKind.READ
        if command.kind is CommandKind.EXECUTE:
            prepared = self.prepared.get(command.name)
            if prepared is None:
                return None
            access = prepared.access
        elif command.kind is CommandKind.WRITE:
            access = RequestKind.WRITE
        self.request = StatementRequest(
            command=command,
            route=route,
            organisation=organisation,
            access=access,
            values=self.values,
            last_commit=self.positions.get(route.service),
            deadline_s=self.executor.deadline_s(route),
            prepared=prepared,
        )
        return self.request

    async def _handle_in_transaction(
        self, command: Command, transaction: Transaction
    ) -> Answer:
        is_end = command.kind in (CommandKind.COMMIT, CommandKind.ROLLBACK)
        if transaction.failure is not None:
            return await self._handle_failed(command, transaction)
        if command.kind is CommandKind.BEGIN:
            return refusal(
                AnswerCode.MALFORMED, "a transaction is open", state=self.state
            )
        if command.kind is CommandKind.ROLLBACK:
            await self.close()
            return Answer()
        if command.kind in (
            CommandKind.SET,
            CommandKind.PREPARE,
            CommandKind.DEALLOCATE,
        ):
            return self._change_session(command)
        request = self._request(command, transaction.route, transaction.organisation)
        if request is None:
            return refusal(AnswerCode.NOT_PREPARED, command.name, state=self.state)
        if transaction.has_written and command.kind is CommandKind.COMMIT:
            request.access = RequestKind.WRITE
        answer = await self._run_in_transaction(request, transaction)
        if is_end:
            return await self._finish_commit(answer, transaction)
        if answer.code is None:
            transaction.has_written |= request.access is RequestKind.WRITE
        elif answer.state is TransactionState.FAILED or transaction.pinned is None:
            transaction.failure = refusal(
                AnswerCode.MALFORMED,
                "the transaction has failed",
                state=TransactionState.FAILED,
            )
            await self._release_pinned(transaction)
        return answer.with_state(self.state)

    async def _run_in_transaction(
        self, request: StatementRequest, transaction: Transaction
    ) -> Answer:
        if transaction.pinned is None:
            opening = msgspec.structs.replace(
                request, access=transaction.access, is_transaction=True
            )
            opened = await self.executor.open_transaction(opening, transaction.begin)
            if isinstance(opened, Answer):
                if opened.is_refused_here and transaction.organisation is not None:
                    self.quota.refund(transaction.organisation)
                return opened
            transaction.pinned = opened
        transaction.pinned.connection.set_variables(self.values, request.deadline_s)
        return await self.executor.run_pinned(request, transaction.pinned)

    async def _finish_commit(self, answer: Answer, transaction: Transaction) -> Answer:
        service = transaction.route.service
        if answer.code is None and transaction.has_written:
            self._record_commit(service, answer.position)
        elif answer.code is AnswerCode.IN_DOUBT and not transaction.has_written:
            # A transaction without writes changes nothing, whether committed or not.
            answer = refusal(AnswerCode.ABORTED, answer.detail)
        if transaction.pinned is not None and answer.state is TransactionState.IDLE:
            pinned, transaction.pinned = transaction.pinned, None
            pinned.pool.release(pinned.connection)
        await self.close()
        return answer.with_state(TransactionState.IDLE)

    async def _handle_failed(
        self, command: Command, transaction: Transaction
    ) -> Answer:
        failure = transaction.failure
        if command.kind is CommandKind.ROLLBACK:
            await self.close()
            return Answer()
        if command.kind is CommandKind.COMMIT:
            await self.close()
            return refusal(AnswerCode.ABORTED, failure.detail)
        if failure.code is AnswerCode.ABORTED:
            transaction.failure = refusal(
                AnswerCode.MALFORMED, "the transaction has failed"
            )
        return failure.with_state(TransactionState.FAILED)

    async def _release_pinned(self, transaction: Transaction) -> None:
        if transaction.pinned is not None:
            pinned, transaction.pinned = transaction.pinned, None
            await self.executor.release_pinned(pinned)

    def _record_commit(self, service: ServiceId, position: Position | None) -> None:
        if position is None:
            return
        known = self.positions.get(service)
        self.positions[service] = position if known is None else max(known, position)
