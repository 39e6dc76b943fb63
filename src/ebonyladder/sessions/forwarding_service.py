"""Service for other VMs: runs their statements on endpoints that this VM owns."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, Outcome
from ebonyladder.sessions.command import Answer
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.forwarded_attempt import (
    ForwardedAttempt,
    ForwardedTransaction,
    Transactions,
)
from ebonyladder.sessions.messages import (
    Envelope,
    ForwardedStatement,
    ForwardReply,
    PositionRequest,
    StatementFailure,
    decode,
    encode_bounded,
)
from ebonyladder.sessions.primary_positions import PositionSample

# Minimum time that a forwarded statement gets, in seconds, so that one which arrives at
# its deadline ends with an error of its own.
MIN_REMAINING_S = 0.005
# Interval at which the transactions of other VMs are checked during a drain, in
# seconds.
DRAIN_CHECK_INTERVAL_S = 0.05


class ForwardingService:
    """Runs forwarded statements, with one task for each connection of a VM.

    Parameters
    ----------
    executor : Executor
        Pools, positions and endpoint selector of this VM.
    clock : Clock
        Clock of deadlines.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Requests of other VMs that run or whose reply isn't sent yet.
    transactions : dict of ServerConnection to dict
        Open transactions of each VM.
    """

    def __init__(self, *, executor: Executor, clock: Clock) -> None:
        self.executor = executor
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()
        self.transactions: dict[ServerConnection, Transactions] = {}

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a VM until its connection ends, then roll back its transactions."""
        transactions = self.transactions.setdefault(connection, {})
        tasks: set[asyncio.Task[None]] = set()
        try:
            async for data in connection:
                envelope = decode(data, Envelope)
                task = self._spawn(self._serve(connection, envelope, transactions))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[owner] Connection of a VM ended. error=%r", error)
        finally:
            for task in tasks:
                task.cancel()
            del self.transactions[connection]
            for transaction in list(transactions.values()):
                await self._release(transaction, may_roll_back=False)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    @property
    def is_busy(self) -> bool:
        """Whether a request or a transaction of another VM isn't finished."""
        return bool(self.tasks) or any(self.transactions.values())

    async def drain(self) -> None:
        """Return once no work of other VMs is open and the VM takes no more of it.

        Answers the load of a planned stop: other VMs forward statements until they
        know the endpoints' next owner, and end their open transactions at this one.
        """
        while (drain := self.executor.accepted.drain) is not None:
            now_s = self.clock.now_s()
            if drain.is_over(now_s) or (drain.refuses_work(now_s) and not self.is_busy):
                break
            if drain.ends_requests(now_s):
                self.executor.accepted.reschedule()
            self._abort_transactions(drain, now_s)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _abort_transactions(self, drain: DrainPlan, now_s: float) -> None:
        """Roll back the idle transactions for which the schedule gives no more time.

        A later statement of such a transaction is refused, as not run.
        """
        for transactions in self.transactions.values():
            for handle, transaction in list(transactions.items()):
                is_due = drain.aborts_transaction(transaction.begun_at_s, now_s)
                if is_due and not transaction.is_running:
                    del transactions[handle]
                    self._spawn(self._release(transaction))

    async def _serve(
        self,
        connection: ServerConnection,
        envelope: Envelope,
        transactions: Transactions,
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
            failure = self._attempt(envelope.forward, {}).error(
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

    def _attempt(
        self, forward: ForwardedStatement, transactions: Transactions
    ) -> ForwardedAttempt:
        return ForwardedAttempt(
            executor=self.executor,
            clock=self.clock,
            forward=forward,
            transactions=transactions,
        )

    async def _run(
        self, forward: ForwardedStatement, transactions: Transactions
    ) -> ForwardReply:
        """Run a statement and return its reply, whatever happens to it."""
        attempt = self._attempt(forward, transactions)
        remaining_s = attempt.deadline_s - self.clock.now_s()
        load = attempt.load
        try:
            async with (
                self.executor.accepted.accept(),
                asyncio.timeout(max(remaining_s, MIN_REMAINING_S)),
            ):
                answer = await self._execute(attempt)
        except EndpointError as error:
            failure = error
        except TimeoutError:
            failure = attempt.interruption("no answer in time")
        except Exception as error:
            # Without a reply the caller would wait until its deadline.
            logging.exception(
                "[owner] Statement failed unexpectedly. request=%s endpoint=%s",
                forward.command.id,
                forward.endpoint,
            )
            failure = attempt.error(f"unexpected error: {error!r}", Outcome.UNKNOWN)
        else:
            return ForwardReply(id=forward.id, answer=answer, load=load)
        return ForwardReply(
            id=forward.id, failure=StatementFailure.from_error(failure), load=load
        )

    async def _execute(self, attempt: ForwardedAttempt) -> Answer:
        return await attempt.run()

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
