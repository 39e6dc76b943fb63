"""One forwarded statement at the owner of its endpoint."""

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    CommandKind,
    TransactionState,
)
from ebonyladder.sessions.commit_decision import SentCommit
from ebonyladder.sessions.connection import PooledConnection, ReadBound
from ebonyladder.sessions.endpoint_selector import Target
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.messages import ForwardedStatement
from ebonyladder.sessions.pool import DirectPool, EndpointConnectionPool
from ebonyladder.sessions.statement_request import PinnedConnection
from ebonyladder.types import Position

# Transit time of a reply, in seconds: one way between regions, to a busy VM. A
# statement stops waiting for a connection this long before its deadline, so that the
# reply "not run" arrives in time.
REPLY_TRANSIT_S = 0.05


class ForwardedTransaction(msgspec.Struct, kw_only=True):
    """Transaction of another VM.

    Attributes
    ----------
    begun_at_s : float
        Time at which its BEGIN arrived.
    pinned : PinnedConnection or None
        Its connection, None until BEGIN is answered.
    is_running : bool
        Whether a statement is running on it.
    is_released : bool
        Whether the other VM has given it up.
    """

    begun_at_s: float
    pinned: PinnedConnection | None = None
    is_running: bool = True
    is_released: bool = False


# Open transactions of one VM, by their handles.
Transactions = dict[int, ForwardedTransaction]


class ForwardedAttempt:
    """Runs one forwarded statement on a connection of this VM.

    Parameters
    ----------
    executor : Executor
        Pools, positions and endpoint selector of this VM.
    clock : Clock
        Clock of deadlines.
    forward : ForwardedStatement
        The statement.
    transactions : dict of int to ForwardedTransaction
        Open transactions of its sender.

    Attributes
    ----------
    deadline_s : float
        Deadline of the statement; earlier than its sender's if this VM is stopping.
    was_sent : bool
        Whether the statement was sent to the endpoint.
    """

    def __init__(
        self,
        *,
        executor: Executor,
        clock: Clock,
        forward: ForwardedStatement,
        transactions: Transactions,
    ) -> None:
        self.executor = executor
        self.clock = clock
        self.forward = forward
        self.transactions = transactions
        self.pool: EndpointConnectionPool | None = executor.pools.pools.get(
            forward.endpoint
        )
        self.deadline_s = executor.accepted.limit_s(clock.now_s() + forward.remaining_s)
        self.was_sent = False

    @property
    def load(self) -> float:
        """Load of the endpoint, which the sender is told."""
        return self.pool.load if self.pool is not None else 0.0

    async def run(self) -> Answer:
        """Run the statement and return the endpoint's answer.

        Raises
        ------
        EndpointError
            If there is no answer.
        """
        is_new = self.forward.is_begin or not self.forward.handle
        if is_new and self.executor.accepted.refuses_work:
            raise self.error("the owner is stopping")
        if self.forward.is_begin:
            return await self._begin()
        if self.forward.handle:
            return await self._run_pinned()
        answer, pinned = await self._run_on_new()
        if pinned is not None:
            pinned.pool.release(pinned.connection)
        return answer

    def interruption(self, message: str) -> EndpointError:
        """Return the error of an attempt that was ended early."""
        if not self.was_sent:
            return self.error(message)
        if self.forward.handle and self.forward.command.kind is not CommandKind.COMMIT:
            # Its connection is closed, so that the endpoint rolls back.
            return self.error(f"{message}; the transaction is rolled back")
        return self.error(message, Outcome.UNKNOWN)

    def error(self, message: str, outcome: Outcome = Outcome.NOT_RUN) -> EndpointError:
        """Return an error of the statement."""
        is_not_run = outcome is Outcome.NOT_RUN
        return EndpointError(
            code=ErrorCode.NOT_OWNER if is_not_run else ErrorCode.CONNECTION_LOST,
            step=Step.FORWARD,
            peer=self.forward.endpoint,
            message=message,
            outcome=outcome,
        )

    async def _begin(self) -> Answer:
        handle = self.forward.handle
        transaction = ForwardedTransaction(begun_at_s=self.clock.now_s())
        self.transactions[handle] = transaction
        try:
            answer, pinned = await self._run_on_new()
        except BaseException:
            self.transactions.pop(handle, None)
            raise
        if pinned is None:
            self.transactions.pop(handle, None)
        elif transaction.is_released:
            await self.executor.release_pinned(pinned)
        elif answer.state is TransactionState.OPEN:
            transaction.pinned = pinned
        else:
            self.transactions.pop(handle, None)
            pinned.pool.release(pinned.connection)
        transaction.is_running = False
        return answer

    async def _run_on_new(self) -> tuple[Answer, PinnedConnection | None]:
        """Run the statement on a connection of the pool; return both.

        There is no connection if the statement wasn't sent.
        """
        forward, pool = self.forward, self.pool
        if not isinstance(pool, DirectPool):
            raise self.error("this VM doesn't own the endpoint")
        min_position = self._min_position(pool)
        if isinstance(min_position, Answer):
            return min_position, None
        connection = await pool.acquire(
            forward.organisation, forward.values, self.deadline_s - REPLY_TRANSIT_S
        )
        target = Target(entry=pool.entry, is_primary=forward.needs_primary)
        try:
            # The primary may have changed during the wait for the connection.
            self._require_primary(pool)
            connection.set_variables(forward.values, self.deadline_s)
            sent = self.executor.confirmation.sent(pool.entry)
            answer = await self._send(pool, connection, min_position)
            self.executor.record_position(target, answer, sent.sent_at_s)
            if forward.is_write and not forward.is_begin:
                await self._prove(sent, answer)
        except BaseException:
            connection.close()
            pool.release(connection)
            raise
        pinned = PinnedConnection(pool=pool, connection=connection, target=target)
        return answer, pinned

    async def _run_pinned(self) -> Answer:
        forward = self.forward
        transaction = self.transactions.get(forward.handle)
        if transaction is None or transaction.is_running:
            raise self.error("the transaction has ended")
        pinned = transaction.pinned
        pinned.connection.set_variables(forward.values, self.deadline_s)
        sent = self.executor.confirmation.sent(pinned.pool.entry)
        pinned.has_written |= forward.is_write
        transaction.is_running = True
        try:
            answer = await self._send(pinned.pool, pinned.connection, None)
            if forward.command.kind is CommandKind.COMMIT and pinned.has_written:
                await self._prove(sent, answer)
        except BaseException:
            self.transactions.pop(forward.handle, None)
            pinned.connection.close()
            pinned.pool.release(pinned.connection)
            raise
        transaction.is_running = False
        if answer.state is TransactionState.IDLE or transaction.is_released:
            self.transactions.pop(forward.handle, None)
            pinned.pool.release(pinned.connection)
        return answer

    async def _prove(self, sent: SentCommit, answer: Answer) -> None:
        """Raise ``EndpointError``, unknown, unless a replica holds a commit."""
        if answer.code is not None:
            return
        deadline_s = self.deadline_s - REPLY_TRANSIT_S
        confirmation = self.executor.confirmation
        if not await confirmation.prove(sent, answer.position, deadline_s):
            raise self.error("no replica is known to hold the commit", Outcome.UNKNOWN)

    async def _send(
        self,
        pool: DirectPool,
        connection: PooledConnection,
        min_position: Position | None,
    ) -> Answer:
        pool.running += 1
        command_number = pool.health.record_sent(is_commit=False)
        self.was_sent = True
        try:
            if self.forward.is_begin:
                answer = await connection.begin(
                    self.forward.command, min_position=min_position
                )
            else:
                answer = await connection.run(
                    self.forward.command,
                    min_position=min_position,
                    prepared=self.forward.prepared,
                )
        except BaseException:
            pool.health.record_lost(command_number)
            raise
        finally:
            pool.running -= 1
        pool.health.record_answer(command_number)
        return answer

    def _min_position(self, pool: DirectPool) -> Position | Answer | None:
        """Return the position that a read needs, or a refusal if none is recent."""
        self._require_primary(pool)
        read_bound = self.forward.read_bound
        if not isinstance(read_bound, ReadBound):
            return None
        required = self.executor.positions.required_position(
            pool.entry.service,
            max_age_s=read_bound.max_age_s,
            last_commit=read_bound.last_commit,
        )
        if required is None:
            return Answer(
                code=AnswerCode.BEHIND,
                detail="no recent position",
            )
        return required

    def _require_primary(self, pool: DirectPool) -> None:
        if not self.forward.needs_primary:
            return
        primary = self.executor.cluster.primary(pool.entry.service)
        if primary is None or primary.id != self.forward.endpoint:
            raise self.error("the endpoint isn't the primary now")
        if not self.executor.selector.has_current_groups():
            raise self.error("the owner can't confirm the primary")
