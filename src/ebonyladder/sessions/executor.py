"""Runs statements of sessions on endpoints, and decides what may be tried again."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import Route
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.command import (
    OWN_COMMAND,
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.sessions.endpoint_selector import EndpointSelector, NoTarget, Target
from ebonyladder.sessions.pool import EndpointConnectionPool, PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.sessions.statement_request import PinnedConnection, StatementRequest
from ebonyladder.types import EndpointId, RequestKind

# Pause before a statement that was not run is tried again, in seconds.
RETRY_PAUSE_S = 0.03
# A read without an answer for this long is sent to another endpoint as well, in
# seconds: several times a usual statement, well below the routes' objectives.
HEDGE_S = 0.35
# A primary's absence is looked at again at least this often, in seconds.
ABSENCE_POLL_S = 0.1
# A VM that is cut off refuses after this time, in seconds, so that the caller's next
# try reaches another VM.
LOCAL_WAIT_S = 0.15
# Time kept for the answer's way to the caller, in seconds.
ANSWER_MARGIN_S = 0.02
# Retry-After of a refusal while a primary is replaced, in seconds.
PRIMARY_RETRY_S = 0.5
# Time for a rollback before its connection is closed instead, in seconds.
ROLLBACK_LIMIT_S = 0.5

ROLLBACK = Command(id=OWN_COMMAND, kind=CommandKind.ROLLBACK, text="ROLLBACK")


class Executor:
    """Runs statements on endpoints.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    selector : EndpointSelector
        Choice of endpoints.
    pools : PoolSet
        Links to them.
    positions : PrimaryPositions
        Receives the positions of primaries.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        selector: EndpointSelector,
        pools: PoolSet,
        positions: PrimaryPositions,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.selector = selector
        self.pools = pools
        self.positions = positions
        self.clock = clock
        self.changed = asyncio.Event()
        cluster.listeners.append(self._note_change)

    def deadline_s(self, route: Route) -> float:
        """Return the deadline of a statement that starts now."""
        return self.clock.now_s() + route.statement_timeout_s - ANSWER_MARGIN_S

    async def run_alone(self, request: StatementRequest) -> Answer:
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
                target = await self._target(request, tried)
                if isinstance(target, NoTarget):
                    return self._refuse(request, target.value)
                pool, connection = await self._link(request, target)
            except EndpointError as error:
                if not await self._pause(request, tried, error.peer):
                    return self._refuse(request, error.message)
                continue
            try:
                with self._sending(pool, request, target, is_commit=False):
                    answer = await self._within(
                        request,
                        connection.begin(begin, min_position=target.min_position),
                    )
            except (EndpointError, TimeoutError):
                pool.release(connection)
                if not await self._pause(request, tried, target.entry.id):
                    return self._refuse(request, "the endpoint did not answer")
                continue
            except BaseException:
                connection.close()
                pool.release(connection)
                raise
            if answer.code is None:
                self.learn(target, answer)
                return PinnedConnection(pool=pool, connection=connection, target=target)
            pool.release(connection)
            if not await self._after_refusal(request, tried, target, answer):
                return answer.with_state(TransactionState.FAILED)

    async def run_held(
        self, request: StatementRequest, pinned: PinnedConnection
    ) -> Answer:
        """Run a statement of an open transaction."""
        is_commit = request.command.kind is CommandKind.COMMIT
        while True:
            try:
                with self._sending(
                    pinned.pool, request, pinned.target, is_commit=is_commit
                ):
                    answer = await self._within(
                        request,
                        pinned.connection.run(
                            request.command, prepared=request.prepared
                        ),
                    )
            except TimeoutError:
                pinned.connection.close()
                if is_commit:
                    return refusal(AnswerCode.IN_DOUBT, "no answer to the commit")
                # Without a commit the endpoint rolls back when the link closes.
                return refusal(
                    AnswerCode.ABORTED,
                    "statement timeout",
                    state=TransactionState.FAILED,
                )
            except EndpointError as error:
                if is_commit:
                    return refusal(AnswerCode.IN_DOUBT, error.message)
                return refusal(
                    AnswerCode.ABORTED, error.message, state=TransactionState.FAILED
                )
            may_repeat = (
                answer.code is AnswerCode.OVERLOADED
                and answer.state is TransactionState.OPEN
                and self._left_s(request) > RETRY_PAUSE_S
            )
            if not may_repeat:
                return answer
            await asyncio.sleep(RETRY_PAUSE_S)

    async def end_held(self, pinned: PinnedConnection) -> None:
        """Release a transaction's link, rolling back what may be open."""
        connection = pinned.connection
        try:
            if connection.is_open:
                connection.align(
                    connection.values, self.clock.now_s() + ROLLBACK_LIMIT_S
                )
                async with asyncio.timeout(ROLLBACK_LIMIT_S):
                    answer = await connection.run(ROLLBACK)
                if answer.state is not TransactionState.IDLE:
                    connection.close()
        except (EndpointError, TimeoutError):
            logging.info(
                "[executor] Rollback got no answer; the connection is closed. "
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
        """Run a read, at a second endpoint too where the first is silent."""
        tried: set[EndpointId] = set()
        running: set[asyncio.Task[Answer]] = set()
        try:
            while True:
                running.add(asyncio.create_task(self._attempt_read(request, tried)))
                while running:
                    left_s = self._left_s(request)
                    is_hedged = len(running) > 1
                    wait_s = left_s if is_hedged else min(left_s, HEDGE_S)
                    done, running = await asyncio.wait(
                        running,
                        timeout=max(wait_s, 0),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    if done:
                        return done.pop().result()
                    if self._left_s(request) <= 0:
                        return self._timeout(request)
                    if not is_hedged:
                        break
        finally:
            for task in running:
                task.cancel()

    async def _attempt_read(
        self, request: StatementRequest, tried: set[EndpointId]
    ) -> Answer:
        while True:
            try:
                target = await self._target(request, tried)
                if isinstance(target, NoTarget):
                    return self._fail_read(request, target.value)
                answer = await self._send(request, target, tried)
            except EndpointError as error:
                # A read changes nothing, so it may run again after any failure.
                if not await self._pause(request, tried, error.peer):
                    return self._fail_read(request, error.message)
                continue
            if answer.code is None:
                return answer
            if not await self._after_refusal(request, tried, target, answer):
                return answer

    async def _write(self, request: StatementRequest) -> Answer:
        tried: set[EndpointId] = set()
        while True:
            try:
                target = await self._target(request, tried)
                if isinstance(target, NoTarget):
                    return self._refuse(request, target.value)
                async with asyncio.timeout(max(self._left_s(request), 0)):
                    answer = await self._send(request, target, tried)
            except TimeoutError:
                return self._timeout(request)
            except EndpointError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    return refusal(AnswerCode.IN_DOUBT, error.message)
                if not await self._pause(request, tried, error.peer):
                    return self._refuse(request, error.message)
                continue
            if answer.code is None:
                return answer
            if not await self._after_refusal(request, tried, target, answer):
                return answer

    async def _send(
        self, request: StatementRequest, target: Target, tried: set[EndpointId]
    ) -> Answer:
        pool, connection = await self._link(request, target)
        tried.add(target.entry.id)
        try:
            is_write = request.access is RequestKind.WRITE
            with self._sending(pool, request, target, is_commit=is_write):
                sent_s = self.clock.now_s()
                answer = await connection.run(
                    request.command,
                    min_position=target.min_position,
                    prepared=request.prepared,
                )
        except BaseException:
            connection.close()
            raise
        finally:
            pool.release(connection)
        self.learn(target, answer, sent_s)
        return answer

    async def _link(
        self, request: StatementRequest, target: Target
    ) -> tuple[EndpointConnectionPool, PooledConnection]:
        """Return a link with the session's values, for a target still valid."""
        pool = self.pools.get(target.entry.id)
        connection = await pool.take(
            request.organisation_id, request.values, request.deadline_s
        )
        connection.align(request.values, request.deadline_s)
        # The wait for the link may have outlasted what the choice was based on.
        again = self.selector.choose(
            route=request.route,
            organisation=request.organisation,
            access=request.access,
            own=request.own,
            is_transaction=request.is_transaction,
        )
        if target.is_primary and target.min_position is None and again != target:
            pool.release(connection)
            raise EndpointError(
                code=ErrorCode.NO_PRIMARY,
                step=Step.ROUTE,
                peer=target.entry.id,
                message="the primary changed during the wait",
                outcome=Outcome.NOT_RUN,
            )
        return pool, connection

    @contextmanager
    def _sending(
        self,
        pool: EndpointConnectionPool,
        request: StatementRequest,
        target: Target,
        *,
        is_commit: bool,
    ) -> Iterator[None]:
        """Keep load and health of the endpoint while a command is under way."""
        request.was_sent = True
        request.open_attempts += 1
        pool.running += 1
        ticket = pool.health.sent(is_commit=is_commit)
        try:
            yield
        except BaseException as error:
            pool.health.lost(ticket)
            if isinstance(error, EndpointError) and error.outcome is Outcome.NOT_RUN:
                request.open_attempts -= 1
            raise
        else:
            request.open_attempts -= 1
            pool.health.answered(ticket)
        finally:
            pool.running -= 1

    async def _within(self, request: StatementRequest, running) -> Answer:
        async with asyncio.timeout(max(self._left_s(request), 0)):
            return await running

    async def _target(
        self, request: StatementRequest, tried: set[EndpointId]
    ) -> Target | NoTarget:
        """Choose an endpoint, waiting for one while that may help."""
        began_s = self.clock.now_s()
        while True:
            self.changed.clear()
            target = self.selector.choose(
                route=request.route,
                organisation=request.organisation,
                access=request.access,
                own=request.own,
                tried=frozenset(tried),
                is_transaction=request.is_transaction,
            )
            if isinstance(target, Target):
                return target
            # Without evidence this VM is cut off, and another one may serve the
            # caller; a missing primary is missing everywhere.
            is_local = target is NoTarget.NO_EVIDENCE
            limit_s = began_s + LOCAL_WAIT_S if is_local else request.deadline_s
            if limit_s - self.clock.now_s() <= ABSENCE_POLL_S:
                return target
            try:
                async with asyncio.timeout(ABSENCE_POLL_S):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _after_refusal(
        self,
        request: StatementRequest,
        tried: set[EndpointId],
        target: Target,
        answer: Answer,
    ) -> bool:
        """Decide whether to try again after an endpoint's refusal; pause if so."""
        if not answer.code.is_not_run or answer.code is AnswerCode.MALFORMED:
            return False
        pool = self.pools.pools.get(target.entry.id)
        if answer.code is AnswerCode.BEHIND and pool is not None:
            pool.health.behind()
            tried.add(target.entry.id)
            return self._left_s(request) > RETRY_PAUSE_S
        return await self._pause(request, tried, target.entry.id)

    async def _pause(
        self, request: StatementRequest, tried: set[EndpointId], peer: str
    ) -> bool:
        """Wait before another try; False where no time is left for one."""
        tried.add(EndpointId(peer))
        if self._left_s(request) <= 2 * RETRY_PAUSE_S:
            return False
        await asyncio.sleep(RETRY_PAUSE_S)
        return True

    def learn(
        self, target: Target, answer: Answer, sent_s: float | None = None
    ) -> None:
        """Take a position of the primary as a sample of freshness."""
        if not target.is_primary or answer.position is None or sent_s is None:
            return
        if not self.pools.get(target.entry.id).is_local:
            # The endpoint's owner keeps the samples.
            return
        group = self.cluster.groups.get(target.entry.service)
        if group is not None and answer.position.term < group.term:
            return
        if answer.code is None and self.selector.has_evidence():
            self.positions.note(
                target.entry.service,
                PositionSample(sent_s=sent_s, position=answer.position),
            )

    def _refuse(self, request: StatementRequest, detail: str) -> Answer:
        answer = refusal(AnswerCode.OVERLOADED, detail, retry_after_s=PRIMARY_RETRY_S)
        return msgspec.structs.replace(answer, is_refused_here=not request.was_sent)

    def _fail_read(self, request: StatementRequest, detail: str) -> Answer:
        """Refuse a read; one that may have run isn't told as not run."""
        if request.open_attempts:
            return refusal(AnswerCode.FAILED, detail)
        return self._refuse(request, detail)

    def _timeout(self, request: StatementRequest) -> Answer:
        if request.open_attempts == 0:
            # The time went by in a queue, so the caller may try again.
            return self._refuse(request, "no endpoint was free in time")
        return refusal(AnswerCode.TIMEOUT, "statement timeout")

    def _left_s(self, request: StatementRequest) -> float:
        return request.deadline_s - self.clock.now_s()

    def _note_change(self) -> None:
        self.changed.set()
