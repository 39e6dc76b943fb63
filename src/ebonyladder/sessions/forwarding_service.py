"""Service for other VMs: runs their statements on endpoints that this VM owns."""

import asyncio

import msgspec
from absl import logging
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

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
from ebonyladder.sessions.messages import (
    Envelope,
    ForwardedStatement,
    ForwardReply,
    PositionRequest,
    StatementFailure,
    decode,
    encode_bounded,
)
from ebonyladder.sessions.pool import DirectPool, EndpointConnectionPool
from ebonyladder.sessions.primary_positions import PositionSample
from ebonyladder.sessions.statement_request import PinnedConnection
from ebonyladder.types import Position

# Transit time of a reply, in seconds: one way between regions, to a busy VM. A
# statement stops waiting for a connection this long before its deadline, so that the
# reply "not run" arrives in time.
REPLY_TRANSIT_S = 0.05
# Minimum time that a forwarded statement gets, in seconds, so that one which arrives at
# its deadline ends with an error of its own.
MIN_REMAINING_S = 0.005


class ForwardedTransaction(msgspec.Struct, kw_only=True):
    """Transaction of another VM.

    Attributes
    ----------
    pinned : PinnedConnection or None
        Its connection, None until BEGIN is answered.
    is_running : bool
        Whether a statement is running on it.
    is_released : bool
        Whether the other VM has given it up.
    """

    pinned: PinnedConnection | None = None
    is_running: bool = True
    is_released: bool = False


class ForwardingService:
    """Runs forwarded statements, with one task for each connection of a VM.

    Parameters
    ----------
    executor : Executor
        Pools, positions and endpoint selector of this VM.
    clock : Clock
        Clock of deadlines.
    """

    def __init__(self, *, executor: Executor, clock: Clock) -> None:
        self.executor = executor
        self.clock = clock

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a VM until its connection ends, then roll back its transactions."""
        transactions: dict[int, ForwardedTransaction] = {}
        tasks: set[asyncio.Task[None]] = set()
        try:
            async for data in connection:
                envelope = decode(data, Envelope)
                task = asyncio.create_task(
                    self._serve(connection, envelope, transactions)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[owner] Connection of a VM ended. error=%r", error)
        finally:
            for task in tasks:
                task.cancel()
            for transaction in list(transactions.values()):
                await self._release(transaction, may_roll_back=False)

    async def _serve(
        self,
        connection: ServerConnection,
        envelope: Envelope,
        transactions: dict[int, ForwardedTransaction],
    ) -> None:
        if envelope.release is not None:
            transaction = transactions.pop(envelope.release.handle, None)
            if transaction is not None:
                await self._release(transaction)
            return
        if envelope.sample is not None:
            reply = self._latest_sample(envelope.sample)
        else:
            reply = await self._run(envelope.forward, transactions)
        try:
            await connection.send(self._encode_reply(reply, envelope))
        except (WebSocketException, OSError) as error:
            logging.info("[owner] Reply could not be sent. error=%r", error)

    def _encode_reply(self, reply: ForwardReply, envelope: Envelope) -> bytes:
        """Return an encoded reply, or a failure if the reply can't be encoded."""
        try:
            return encode_bounded(reply)
        except ValueError as error:
            # Besides a reply that is too large: text that CBOR can't hold.
            logging.info("[owner] Reply can't be encoded. error=%s", error)
            if envelope.forward is None:
                return encode_bounded(ForwardReply(id=reply.id))
            failure = self._error(
                envelope.forward,
                f"the answer can't be sent: {error}",
                Outcome.UNKNOWN if reply.failure is None else reply.failure.outcome,
            )
            return encode_bounded(
                ForwardReply(
                    id=reply.id,
                    failure=StatementFailure.from_error(failure),
                    load=reply.load,
                )
            )

    def _latest_sample(self, request: PositionRequest) -> ForwardReply:
        samples = self.executor.positions.samples.get(request.service)
        if not samples:
            return ForwardReply(id=request.id)
        latest = samples[-1]
        return ForwardReply(
            id=request.id,
            position=latest.position,
            age_s=self.clock.now_s() - latest.sent_at_s,
        )

    async def _run(
        self, forward: ForwardedStatement, transactions: dict[int, ForwardedTransaction]
    ) -> ForwardReply:
        pool = self.executor.pools.pools.get(forward.endpoint)
        load = pool.load if pool is not None else 0.0
        try:
            async with asyncio.timeout(max(forward.remaining_s, MIN_REMAINING_S)):
                answer = await self._execute(forward, pool, transactions)
        except EndpointError as error:
            return ForwardReply(
                id=forward.id, failure=StatementFailure.from_error(error), load=load
            )
        except TimeoutError:
            error = self._error(forward, "no answer in time", Outcome.UNKNOWN)
            return ForwardReply(
                id=forward.id, failure=StatementFailure.from_error(error), load=load
            )
        except Exception as error:
            # Without a reply the caller would wait until its deadline.
            logging.exception(
                "[owner] Statement failed unexpectedly. request=%s endpoint=%s",
                forward.command.id,
                forward.endpoint,
            )
            failure = self._error(
                forward, f"unexpected error: {error!r}", Outcome.UNKNOWN
            )
            return ForwardReply(
                id=forward.id, failure=StatementFailure.from_error(failure), load=load
            )
        return ForwardReply(id=forward.id, answer=answer, load=load)

    async def _execute(
        self,
        forward: ForwardedStatement,
        pool: EndpointConnectionPool | None,
        transactions: dict[int, ForwardedTransaction],
    ) -> Answer:
        if forward.is_begin:
            return await self._begin(forward, pool, transactions)
        if forward.handle:
            return await self._run_pinned(forward, transactions)
        answer, pinned = await self._run_on_new(forward, pool)
        if pinned is not None:
            pinned.pool.release(pinned.connection)
        return answer

    async def _begin(
        self,
        forward: ForwardedStatement,
        pool: EndpointConnectionPool | None,
        transactions: dict[int, ForwardedTransaction],
    ) -> Answer:
        transaction = ForwardedTransaction()
        transactions[forward.handle] = transaction
        try:
            answer, pinned = await self._run_on_new(forward, pool)
        except BaseException:
            transactions.pop(forward.handle, None)
            raise
        if pinned is None:
            transactions.pop(forward.handle, None)
        elif transaction.is_released:
            await self.executor.release_pinned(pinned)
        elif answer.state is TransactionState.OPEN:
            transaction.pinned = pinned
        else:
            transactions.pop(forward.handle, None)
            pinned.pool.release(pinned.connection)
        transaction.is_running = False
        return answer

    async def _run_on_new(
        self, forward: ForwardedStatement, pool: EndpointConnectionPool | None
    ) -> tuple[Answer, PinnedConnection | None]:
        """Run a statement on a connection of the pool; return both.

        There is no connection if the statement wasn't sent.
        """
        if not isinstance(pool, DirectPool):
            raise self._error(forward, "this VM doesn't own the endpoint")
        min_position = self._min_position(forward, pool)
        if isinstance(min_position, Answer):
            return min_position, None
        deadline_s = self.clock.now_s() + forward.remaining_s
        connection = await pool.acquire(
            forward.organisation, forward.values, deadline_s - REPLY_TRANSIT_S
        )
        target = Target(entry=pool.entry, is_primary=forward.needs_primary)
        try:
            # The primary may have changed during the wait for the connection.
            self._require_primary(forward, pool)
            connection.set_variables(forward.values, deadline_s)
            sent = self.executor.confirmation.sent(pool.entry)
            answer = await self._send(forward, pool, connection, min_position)
            self.executor.record_position(target, answer, sent.sent_at_s)
            if forward.is_write and not forward.is_begin:
                await self._prove(forward, sent, answer)
        except BaseException:
            connection.close()
            pool.release(connection)
            raise
        pinned = PinnedConnection(pool=pool, connection=connection, target=target)
        return answer, pinned

    async def _run_pinned(
        self,
        forward: ForwardedStatement,
        transactions: dict[int, ForwardedTransaction],
    ) -> Answer:
        transaction = transactions.get(forward.handle)
        if transaction is None or transaction.is_running:
            raise self._error(forward, "the transaction has ended")
        pinned = transaction.pinned
        deadline_s = self.clock.now_s() + forward.remaining_s
        pinned.connection.set_variables(forward.values, deadline_s)
        sent = self.executor.confirmation.sent(pinned.pool.entry)
        pinned.has_written |= forward.is_write
        transaction.is_running = True
        try:
            answer = await self._send(forward, pinned.pool, pinned.connection, None)
            if forward.command.kind is CommandKind.COMMIT and pinned.has_written:
                await self._prove(forward, sent, answer)
        except BaseException:
            transactions.pop(forward.handle, None)
            pinned.connection.close()
            pinned.pool.release(pinned.connection)
            raise
        transaction.is_running = False
        if answer.state is TransactionState.IDLE or transaction.is_released:
            transactions.pop(forward.handle, None)
            pinned.pool.release(pinned.connection)
        return answer

    async def _release(
        self, transaction: ForwardedTransaction, *, may_roll_back: bool = True
    ) -> None:
        """Roll back a transaction; its connection goes back to the pool once.

        A statement that is running on it gives the connection back.
        """
        transaction.is_released = True
        pinned = transaction.pinned
        if pinned is None:
            return
        if transaction.is_running or not may_roll_back:
            pinned.connection.close()
        if not transaction.is_running:
            await self.executor.release_pinned(pinned)

    async def _prove(
        self, forward: ForwardedStatement, sent: SentCommit, answer: Answer
    ) -> None:
        """Raise ``EndpointError``, unknown, unless a replica holds a commit."""
        if answer.code is not None:
            return
        deadline_s = sent.sent_at_s + forward.remaining_s - REPLY_TRANSIT_S
        confirmation = self.executor.confirmation
        if not await confirmation.prove(sent, answer.position, deadline_s):
            raise self._error(
                forward, "no replica is known to hold the commit", Outcome.UNKNOWN
            )

    async def _send(
        self,
        forward: ForwardedStatement,
        pool: DirectPool,
        connection: PooledConnection,
        min_position: Position | None,
    ) -> Answer:
        pool.running += 1
        command_number = pool.health.record_sent(is_commit=False)
        try:
            if forward.is_begin:
                answer = await connection.begin(
                    forward.command, min_position=min_position
                )
            else:
                answer = await connection.run(
                    forward.command,
                    min_position=min_position,
                    prepared=forward.prepared,
                )
        except BaseException:
            pool.health.record_lost(command_number)
            raise
        finally:
            pool.running -= 1
        pool.health.record_answer(command_number)
        return answer

    def _min_position(
        self, forward: ForwardedStatement, pool: DirectPool
    ) -> Position | Answer:
        """Return the position that a read needs, or a refusal if none is recent."""
        self._require_primary(forward, pool)
        if not isinstance(forward.read_bound, ReadBound):
            return None
        required = self.executor.positions.required_position(
            pool.entry.service,
            max_age_s=forward.read_bound.max_age_s,
            last_commit=forward.read_bound.last_commit,
        )
        if required is None:
            return Answer(
                code=AnswerCode.BEHIND,
                detail="no recent position",
            )
        return required

    def _require_primary(self, forward: ForwardedStatement, pool: DirectPool) -> None:
        if not forward.needs_primary:
            return
        primary = self.executor.cluster.primary(pool.entry.service)
        if primary is None or primary.id != forward.endpoint:
            raise self._error(forward, "the endpoint isn't the primary now")
        if not self.executor.selector.has_current_groups():
            raise self._error(forward, "the owner can't confirm the primary")

    def _error(
        self,
        forward: ForwardedStatement,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> EndpointError:
        is_not_run = outcome is Outcome.NOT_RUN
        return EndpointError(
            code=ErrorCode.NOT_OWNER if is_not_run else ErrorCode.CONNECTION_LOST,
            step=Step.FORWARD,
            peer=forward.endpoint,
            message=message,
            outcome=outcome,
        )

    async def sample_primaries(self, interval_s: float) -> None:
        """Fetch positions of the primaries whose replicas this VM owns."""
        while True:
            await asyncio.sleep(interval_s)
            pools = list(self.executor.pools.pools.values())
            owned_services = {p.entry.service for p in pools if p.is_local}
            for service in owned_services if self.executor.cluster.owners else ():
                entry = self.executor.cluster.primary(service)
                pool = self.executor.pools.pools.get(entry.id) if entry else None
                if pool is None or pool.is_local:
                    continue
                sent_at_s = self.clock.now_s()
                try:
                    async with asyncio.timeout(interval_s * 2):
                        reply = await pool.sample()
                except (EndpointError, TimeoutError) as error:
                    logging.log_every_n_seconds(
                        logging.INFO,
                        "[owner] Position of the primary is unavailable. error=%r",
                        5,
                        error,
                    )
                    continue
                if reply.position is not None:
                    sample = PositionSample(
                        sent_at_s=sent_at_s - reply.age_s, position=reply.position
                    )
                    self.executor.positions.record(service, sample)
