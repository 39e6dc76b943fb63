"""Runs statements of sessions on endpoints, and decides which may be retried."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.catalog import Route
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.command import (
    INTERNAL_COMMAND_ID,
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.commit_confirmation import CommitConfirmation
from ebonyladder.sessions.commit_decision import CommitReporter, SentCommit
from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.sessions.endpoint_selector import EndpointSelector, NoTarget, Target
from ebonyladder.sessions.pool import EndpointConnectionPool, PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.sessions.refusals import fail_read, refuse, time_out
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.sessions.statement_request import PinnedConnection, StatementRequest
from ebonyladder.sessions.target_choice import TargetChoice
from ebonyladder.types import EndpointId, RequestKind

# Codes of an attempt to read that got no connection, or no answer.
INCONCLUSIVE_CODES = (AnswerCode.OVERLOADED, AnswerCode.FAILED)
# Backoff before a statement that was not run is retried.
RETRY_BACKOFF_S = 0.03
# A read without an answer for this long is sent to another endpoint as well: several
# times the duration of a usual statement, well below the routes' latency objectives.
HEDGE_DELAY_S = 0.35
# Transit time of the answer to the caller.
ANSWER_MARGIN_S = 0.02
# Timeout of a rollback; its connection is closed then.
ROLLBACK_TIMEOUT_S = 0.5

ROLLBACK = Command(id=INTERNAL_COMMAND_ID, kind=CommandKind.ROLLBACK, text="ROLLBACK")


class Executor:
    """Runs statements on endpoints.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    selector : EndpointSelector
        Chooses endpoints.
    pools : PoolSet
        Connections to them.
    positions : PrimaryPositions
        Receives the positions of primaries.
    replica_check : ReplicaCheck
        Asks replicas for commits that can't be confirmed otherwise.
    metrics : Metrics
        Receives the number of commits by what confirmed them.
    clock : Clock
        Clock of the deadlines.

    Attributes
    ----------
    accepted : AcceptedRequests
        Requests that run on this VM.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        selector: EndpointSelector,
        pools: PoolSet,
        positions: PrimaryPositions,
        replica_check: ReplicaCheck,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.selector = selector
        self.pools = pools
        self.positions = positions
        self.confirmation = CommitConfirmation(
            cluster=cluster, replica_check=replica_check, clock=clock
        )
        self.commit_reporter = CommitReporter(metrics=metrics, clock=clock)
        self.targets = TargetChoice(cluster=cluster, selector=selector, clock=clock)
        self.accepted = AcceptedRequests(clock=clock)
        self.clock = clock

    def deadline_s(self, route: Route) -> float:
        """Return the deadline of a statement that starts now."""
        timeout_s = route.statement_timeout_s - ANSWER_MARGIN_S
        return self.accepted.limit_s(self.clock.now_s() + timeout_s)

    async def run_autocommit(self, request: StatementRequest) -> Answer:
        """Run a statement outside of a transaction."""
        if request.access is RequestKind.WRITE:
            return await self._write(request)
        return await self._read(request)

    async def open_transaction(
        self, request: StatementRequest, begin: Command
    ) -> PinnedConnection | Answer:
        """Open a transaction at an endpoint, or return why there is none.

        The command of ``request`` is not run; its access chooses the endpoint.
        """
        tried: set[EndpointId] = set()
        while True:
            try:
                target = await self.targets.choose(request, tried)
                if isinstance(target, NoTarget):
                    return refuse(request, target.value)
                pool, connection = await self._acquire_connection(
                    request, target, tried
                )
            except EndpointError as error:
                if not await self._backoff(request, tried, error.peer):
                    return refuse(request, error.message)
                continue
            try:
                with self._track(pool, request, target, is_commit=False):
                    answer = await self._with_deadline(
                        request,
                        connection.begin(begin, min_position=target.min_position),
                    )
            except (EndpointError, TimeoutError):
                connection.close()
                pool.release(connection)
                if not await self._backoff(request, tried, target.entry.id):
                    return refuse(request, "the endpoint did not answer")
                continue
            except BaseException:
                connection.close()
                pool.release(connection)
                raise
            if answer.code is None:
                self.record_position(target, answer)
                return PinnedConnection(pool=pool, connection=connection, target=target)
            pool.release(connection)
            if not await self._backoff_after_refusal(request, tried, target, answer):
                return answer.with_state(TransactionState.FAILED)

    async def run_pinned(
        self, request: StatementRequest, pinned: PinnedConnection
    ) -> Answer:
        """Run a statement of an open transaction.

        The access of a COMMIT is WRITE if the transaction has written.
        """
        is_commit = request.command.kind is CommandKind.COMMIT
        is_write_commit = is_commit and request.access is RequestKind.WRITE
        entry = pinned.target.entry
        sent = self.confirmation.sent(entry, is_direct=pinned.pool.is_local)
        if is_write_commit and not self._is_current_primary(entry):
            pinned.connection.close()
            return refusal(AnswerCode.ABORTED, "the primary changed")
        if self._remaining_s(request) <= 0:
            pinned.connection.close()
            return refusal(
                AnswerCode.ABORTED,
                "the deadline passed before the statement was sent",
                state=TransactionState.FAILED,
            )
        while True:
            try:
                with self._track(
                    pinned.pool, request, pinned.target, is_commit=is_commit
                ):
                    answer = await self._with_deadline(
                        request,
                        pinned.connection.run(
                            request.command, prepared=request.prepared
                        ),
                    )
                    request.record_answer(answer)
            except TimeoutError:
                pinned.connection.close()
                if is_commit:
                    return refusal(AnswerCode.IN_DOUBT, "no answer to the commit")
                # Without a commit the endpoint rolls back when the connection closes.
                return refusal(
                    AnswerCode.ABORTED,
                    "statement timeout",
                    state=TransactionState.FAILED,
                )
            except EndpointError as error:
                if is_commit and error.outcome is not Outcome.NOT_RUN:
                    return refusal(AnswerCode.IN_DOUBT, error.message)
                return refusal(
                    AnswerCode.ABORTED, error.message, state=TransactionState.FAILED
                )
            # A second refusal may be a copy of the first one, which leaves a commit in
            # doubt; after the first one the caller can repeat the operation.
            may_retry = (
                answer.code is AnswerCode.OVERLOADED
                and answer.state is TransactionState.OPEN
                and not is_write_commit
                and self._remaining_s(request) > RETRY_BACKOFF_S
            )
            self.cluster.record_seen(entry.process, answer.position)
            if not may_retry:
                break
            await asyncio.sleep(RETRY_BACKOFF_S)
        if not is_commit and answer.state is TransactionState.IDLE:
            # Further statements would run outside the transaction.
            pinned.connection.close()
            answer = answer.with_state(TransactionState.FAILED)
        if is_write_commit and answer.code is None:
            return await self._confirm_commit(request, sent, answer)
        return answer

    async def release_pinned(self, pinned: PinnedConnection) -> None:
        """Release a transaction's connection, rolling back what may be open."""
        connection = pinned.connection
        try:
            if connection.is_reusable:
                now_s = self.clock.now_s()
                end_s = self.accepted.limit_s(now_s + ROLLBACK_TIMEOUT_S)
                connection.set_variables(connection.values, end_s)
                async with asyncio.timeout(max(end_s - now_s, 0)):
                    answer = await connection.run(ROLLBACK)
                if answer.state is not TransactionState.IDLE:
                    connection.close()
        except (EndpointError, TimeoutError):
            logging.info(
                "[executor] Rollback was not answered; the connection is closed. "
                "endpoint=%s",
                connection.endpoint,
            )
            connection.close()
        except BaseException:
            connection.close()
            raise
        finally:
            pinned.pool.release(connection)

    async def _read(self, request: StatementRequest) -> Answer:
        """Run a read, also at a second endpoint if the first doesn't respond."""
        tried: set[EndpointId] = set()
        attempts = {asyncio.create_task(self._attempt_read(request, tried))}
        is_hedged = False
        try:
            while True:
                remaining_s = self._remaining_s(request)
                wait_s = remaining_s if is_hedged else min(remaining_s, HEDGE_DELAY_S)
                done, attempts = await asyncio.wait(
                    attempts,
                    timeout=max(wait_s, 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answers = [task.result() for task in done]
                # After an inconclusive one, the other attempt may still succeed.
                final = [a for a in answers if a.code not in INCONCLUSIVE_CODES]
                if final or (answers and not attempts):
                    return (final or answers)[0]
                if self._remaining_s(request) <= 0:
                    return time_out(request)
                if not is_hedged:
                    is_hedged = True
                    second = self._attempt_read(request, tried)
                    attempts.add(asyncio.create_task(second))
        finally:
            for task in attempts:
                task.cancel()

    async def _attempt_read(
        self, request: StatementRequest, tried: set[EndpointId]
    ) -> Answer:
        while True:
            try:
                target = await self.targets.choose(request, tried)
                if isinstance(target, NoTarget):
                    return fail_read(request, target.value)
                answer = await self._send(request, target, tried)
            except EndpointError as error:
                # A read changes nothing, so it may run again after any failure.
                if not await self._backoff(request, tried, error.peer):
                    return fail_read(request, error.message)
                continue
            if answer.code is None:
                return answer
            if not await self._backoff_after_refusal(request, tried, target, answer):
                return answer

    async def _write(self, request: StatementRequest) -> Answer:
        tried: set[EndpointId] = set()
        while True:
            try:
                target = await self.targets.choose(request, tried)
                if isinstance(target, NoTarget):
                    return refuse(request, target.value)
                is_direct = self.pools.get(target.entry.id).is_local
                sent = self.confirmation.sent(target.entry, is_direct=is_direct)
                async with asyncio.timeout(max(self._remaining_s(request), 0)):
                    answer = await self._send(request, target, tried)
            except TimeoutError:
                return time_out(request)
            except EndpointError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    return refusal(AnswerCode.IN_DOUBT, error.message)
                if not await self._backoff(request, tried, error.peer):
                    return refuse(request, error.message)
                continue
            if answer.code is None:
                return await self._confirm_commit(request, sent, answer)
            if not await self._backoff_after_refusal(request, tried, target, answer):
                return answer

    async def _confirm_commit(
        self, request: StatementRequest, sent: SentCommit, answer: Answer
    ) -> Answer:
        """Return the answer to a commit once it is known to be durable."""
        position = answer.position
        decision = await self.confirmation.wait(sent, position, request.deadline_s)
        self.commit_reporter.report(request.command.id, sent, position, decision)
        if decision.is_durable:
            return answer
        return refusal(AnswerCode.IN_DOUBT, "the primary was replaced")

    def _is_current_primary(self, entry: EndpointEntry) -> bool:
        """Tell whether an endpoint may still commit."""
        primary = self.cluster.primary(entry.service)
        is_primary = primary is not None and primary.id == entry.id
        return is_primary and self.selector.has_current_groups()

    async def _send(
        self, request: StatementRequest, target: Target, tried: set[EndpointId]
    ) -> Answer:
        pool, connection = await self._acquire_connection(request, target, tried)
        tried.add(target.entry.id)
        try:
            is_write = request.access is RequestKind.WRITE
            with self._track(pool, request, target, is_commit=is_write):
                sent_at_s = self.clock.now_s()
                answer = await connection.run(
                    request.command,
                    min_position=target.min_position,
                    prepared=request.prepared,
                )
                request.record_answer(answer)
        except BaseException:
            connection.close()
            raise
        finally:
            pool.release(connection)
        self.cluster.record_seen(target.entry.process, answer.position)
        self.record_position(target, answer, sent_at_s)
        return answer

    async def _acquire_connection(
        self, request: StatementRequest, target: Target, tried: set[EndpointId]
    ) -> tuple[EndpointConnectionPool, PooledConnection]:
        """Return a connection with the session's variables, if the target is valid.

        Raises ``EndpointError``, not run, if the primary changed meanwhile.
        """
        pool = self.pools.get(target.entry.id)
        connection = await pool.acquire(
            request.organisation_id, request.values, request.deadline_s
        )
        try:
            connection.set_variables(request.values, request.deadline_s)
            # The primary may have changed while the statement waited.
            self.targets.require(request, target, tried)
            self._require_time(request, target)
        except BaseException:
            pool.release(connection)
            raise
        return pool, connection

    def _require_time(self, request: StatementRequest, target: Target) -> None:
        """Raise ``EndpointError``, not run, if an answer would come too late."""
        if self._remaining_s(request) <= 0:
            raise EndpointError(
                code=ErrorCode.DEADLINE,
                step=Step.EXECUTE,
                peer=target.entry.id,
                message="the deadline passed before the statement was sent",
                outcome=Outcome.NOT_RUN,
            )

    @contextmanager
    def _track(
        self,
        pool: EndpointConnectionPool,
        request: StatementRequest,
        target: Target,
        *,
        is_commit: bool,
    ) -> Iterator[None]:
        """Update load and health of the endpoint for a command in flight."""
        request.was_sent = True
        request.unresolved_attempts += 1
        pool.running += 1
        command_number = pool.health.record_sent(is_commit=is_commit)
        try:
            yield
        except BaseException as error:
            pool.health.record_lost(command_number)
            if isinstance(error, EndpointError) and error.outcome is Outcome.NOT_RUN:
                request.unresolved_attempts -= 1
            raise
        else:
            request.unresolved_attempts -= 1
            pool.health.record_answer(command_number)
        finally:
            pool.running -= 1

    async def _with_deadline(self, request: StatementRequest, call) -> Answer:
        async with asyncio.timeout(max(self._remaining_s(request), 0)):
            return await call

    async def _backoff_after_refusal(
        self,
        request: StatementRequest,
        tried: set[EndpointId],
        target: Target,
        answer: Answer,
    ) -> bool:
        """Wait if a refused statement may be retried; return whether it may."""
        if not answer.code.is_not_run or answer.code is AnswerCode.MALFORMED:
            return False
        pool = self.pools.pools.get(target.entry.id)
        if answer.code is AnswerCode.BEHIND and pool is not None:
            pool.health.mark_lagging()
            tried.add(target.entry.id)
            return self._remaining_s(request) > RETRY_BACKOFF_S
        return await self._backoff(request, tried, target.entry.id)

    async def _backoff(
        self, request: StatementRequest, tried: set[EndpointId], peer: str
    ) -> bool:
        """Wait before another attempt; False if no time remains for one."""
        tried.add(EndpointId(peer))
        if self._remaining_s(request) <= 2 * RETRY_BACKOFF_S:
            return False
        await asyncio.sleep(RETRY_BACKOFF_S)
        return True

    def record_position(
        self, target: Target, answer: Answer, sent_at_s: float | None = None
    ) -> None:
        """Record the primary's position in an answer as a sample."""
        if not target.is_primary or answer.position is None or sent_at_s is None:
            return
        pool = self.pools.pools.get(target.entry.id)
        if pool is None or not pool.is_local:
            # The endpoint has left meanwhile, or its owner records the samples.
            return
        group = self.cluster.groups.get(target.entry.service)
        if group is not None and answer.position.term < group.term:
            return
        if answer.code is None and self.selector.has_current_groups():
            self.positions.record(
                target.entry.service,
                PositionSample(sent_at_s=sent_at_s, position=answer.position),
            )

    def _remaining_s(self, request: StatementRequest) -> float:
        return request.deadline_s - self.clock.now_s()
