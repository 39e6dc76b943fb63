"""Steps of interactive transactions at the owner of their endpoint."""

import asyncio

from absl import logging

from ebonyladder._owned_endpoints import OwnedEndpoint
from ebonyladder._owner_context import OwnerContext
from ebonyladder.confirmation import Confirmer
from ebonyladder.endpoint import EndpointConnection
from ebonyladder.kernel.error import EbonyladderError, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.messages import ForwardAnswer, TransactionAction, TransactionStep
from ebonyladder.transaction import OpenTransaction, TransactionTable
from ebonyladder.types import RequestKind, TransactionId

ROLLBACK_TIMEOUT_S = 1.0
ACTION_STEPS = {
    TransactionAction.BEGIN: Step.BEGIN,
    TransactionAction.EXECUTE: Step.EXECUTE,
    TransactionAction.COMMIT: Step.COMMIT,
    TransactionAction.ROLLBACK: Step.ROLLBACK,
}


class TransactionRunner:
    """Begin, continue and end the transactions of owned endpoints.

    A transaction stays on the VM and the connection where it began, even if
    another VM becomes the owner of the endpoint.

    Parameters
    ----------
    context : OwnerContext
        Group views, keys, write gate and endpoints.
    """

    def __init__(self, *, context: OwnerContext) -> None:
        self.context = context
        self.kernel = context.kernel
        self.table = TransactionTable()

    async def run(self, step: TransactionStep) -> ForwardAnswer:
        """Run one step of an interactive transaction."""
        deadline_s = self.context.clock.now_s() + step.remaining_s
        if step.action is TransactionAction.BEGIN:
            return await self._begin(step, deadline_s)
        transaction = self.table.get(step.transaction, step.organisation)
        async with transaction.lock:
            transaction = self.table.get(step.transaction, step.organisation)
            try:
                return await self._run_in(transaction, step, deadline_s)
            except BaseException as error:
                await self._abort(step, error)
                raise

    async def _begin(self, step: TransactionStep, deadline_s: float) -> ForwardAnswer:
        """Begin a transaction; the write gate counts it as in flight until its end."""
        context = self.context
        context.require_not_draining()
        view = context.view(step.group)
        with view.use():
            await context.require_primary(view, step.endpoint, deadline_s)
            gate = context.write_gate.gate_of(step.group)
            await gate.begin_work(context.remaining_s(deadline_s))
            try:
                context.require_not_draining()
                await context.require_primary(view, step.endpoint, deadline_s)
                owned = context.owned.require(step.endpoint, RequestKind.WRITE)
                connection = await self._begin_at(owned, step, deadline_s)
            except BaseException:
                gate.end_work()
                raise
            self._register(step, owned, connection)
        return self._answer_uncommitted(step, [], context.confirmer(view))

    async def _begin_at(
        self, owned: OwnedEndpoint, step: TransactionStep, deadline_s: float
    ) -> EndpointConnection:
        context = self.context
        connection = await owned.pool.acquire(context.remaining_s(deadline_s))
        try:
            context.require_key(step.key_digest, Step.BEGIN)
            async with context.until(deadline_s, Step.BEGIN, step.endpoint):
                await connection.begin(organisation=step.organisation)
        except BaseException:
            owned.pool.release(connection)
            raise
        return connection

    def _register(
        self,
        step: TransactionStep,
        owned: OwnedEndpoint,
        connection: EndpointConnection,
    ) -> None:
        ttl_s = self.context.policy.transaction_limit_ms / 1000
        view = self.context.view(step.group)
        view.references += 1
        transaction = OpenTransaction(
            organisation=step.organisation,
            group=step.group,
            endpoint=step.endpoint,
            connection=connection,
            expires_at_s=self.context.clock.now_s() + ttl_s,
            view=view,
            owned=owned,
        )
        self.table.add(step.transaction, transaction)
        self.kernel.spawn(
            self._expire(step.transaction, ttl_s), name=f"expire-{step.transaction}"
        )

    async def _run_in(
        self, transaction: OpenTransaction, step: TransactionStep, deadline_s: float
    ) -> ForwardAnswer:
        """Run one step on the transaction's own connection."""
        context = self.context
        context.require_key(step.key_digest, Step.EXECUTE)
        connection = transaction.connection
        confirmer = context.confirmer(transaction.view)
        step_name = ACTION_STEPS[step.action]
        async with context.until(deadline_s, step_name, transaction.endpoint):
            if step.action is TransactionAction.ROLLBACK:
                await connection.rollback()
                self._end(step.transaction)
                return self._answer_uncommitted(step, [], confirmer)
            async with transaction.owned.queue.slot(
                organisation=step.organisation, deadline_s=deadline_s
            ):
                if step.action is TransactionAction.EXECUTE:
                    answer = await connection.execute(
                        organisation=step.organisation, statement=step.statement
                    )
                    return self._answer_uncommitted(step, answer.rows, confirmer)
                answer = await connection.commit()
        self.table.remove(step.transaction)
        transaction.owned.pool.release(connection)
        try:
            # A switchover waits until the write gate counts the transaction as ended,
            # so the term does not change before the commit is confirmed.
            await confirmer.confirm(
                transaction.endpoint, answer, context.remaining_s(deadline_s)
            )
        finally:
            self._end_work(transaction)
        return ForwardAnswer(
            rows=[], at=answer.at, endpoint=transaction.endpoint, role=answer.role
        )

    @staticmethod
    def _answer_uncommitted(
        step: TransactionStep, rows: list, confirmer: Confirmer
    ) -> ForwardAnswer:
        """Return the answer to a step other than COMMIT."""
        primary = step.endpoint
        return ForwardAnswer(
            rows=rows,
            at=confirmer.position(primary),
            endpoint=primary,
            role=confirmer.view.latest_reports[primary].report.role,
        )

    async def _abort(self, step: TransactionStep, error: BaseException) -> None:
        """Roll back after a failed step.

        Nothing takes effect before COMMIT is sent, so the error of any other step
        gets the outcome NOT_RUN once the connection has been released.
        """
        transaction = self.table.remove(step.transaction)
        if transaction is None:
            return
        connection = transaction.connection
        if connection.is_open:
            try:
                async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                    await connection.rollback()
            except (EbonyladderError, TimeoutError):
                logging.info("[endpoints] Rollback was not confirmed.")
        self._release(transaction)
        is_commit = step.action is TransactionAction.COMMIT
        if isinstance(error, EbonyladderError) and not is_commit:
            error.outcome = Outcome.NOT_RUN

    async def _expire(self, transaction_id: TransactionId, ttl_s: float) -> None:
        """Roll back a transaction that has reached its time limit."""
        await asyncio.sleep(ttl_s)
        transaction = self.table.open.get(transaction_id)
        if transaction is None:
            return
        async with transaction.lock:
            if self.table.remove(transaction_id) is not None:
                try:
                    await transaction.connection.rollback()
                except EbonyladderError as error:
                    logging.info("[endpoints] Rollback failed. error=%s", error)
                self._release(transaction)

    def _end(self, transaction_id: TransactionId) -> None:
        transaction = self.table.remove(transaction_id)
        if transaction is not None:
            self._release(transaction)

    def _release(self, transaction: OpenTransaction) -> None:
        transaction.owned.pool.release(transaction.connection)
        self._end_work(transaction)

    def _end_work(self, transaction: OpenTransaction) -> None:
        """Release the view; the write gate no longer counts the transaction."""
        transaction.view.references -= 1
        self.context.write_gate.gate_of(transaction.group).end_work()
