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
from ebonyladder.sessions.command import (
    OWN_COMMAND,
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.freshness import Freshness, Sample
from ebonyladder.sessions.link import EndpointLink
from ebonyladder.sessions.placement import NoTarget, Placement, Target
from ebonyladder.sessions.pool import LinkPool, Pools
from ebonyladder.sessions.roster import Roster
from ebonyladder.sessions.work import Holding, Work
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
    roster : Roster
        Endpoints and groups.
    placement : Placement
        Choice of endpoints.
    pools : Pools
        Links to them.
    freshness : Freshness
        Receives the positions of primaries.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        placement: Placement,
        pools: Pools,
        freshness: Freshness,
        clock: Clock,
    ) -> None:
        self.roster = roster
        self.placement = placement
        self.pools = pools
        self.freshness = freshness
        self.clock = clock
        self.changed = asyncio.Event()
        roster.listeners.append(self._note_change)

    def deadline_s(self, route: Route) -> float:
        """Return the deadline of a statement that starts now."""
        return self.clock.now_s() + route.statement_timeout_s - ANSWER_MARGIN_S

    async def run_alone(self, work: Work) -> Answer:
        """Run a statement outside of a transaction."""
        if work.access is RequestKind.WRITE:
            return await self._write(work)
        return await self._read(work)

    async def open_transaction(self, work: Work, begin: Command) -> Holding | Answer:
        """Open a transaction at an endpoint, or return why there is none.

        The command of ``work`` is not run; its access chooses the endpoint.
        """
        tried: set[EndpointId] = set()
        while True:
            try:
                target = await self._target(work, tried)
                if isinstance(target, NoTarget):
                    return self._refuse(work, target.value)
                pool, link = await self._link(work, target)
            except EndpointError as error:
                if not await self._pause(work, tried, error.peer):
                    return self._refuse(work, error.message)
                continue
            try:
                with self._sending(pool, work, target, is_commit=False):
                    answer = await self._within(
                        work, link.begin(begin, after=target.after)
                    )
            except (EndpointError, TimeoutError):
                pool.release(link)
                if not await self._pause(work, tried, target.entry.id):
                    return self._refuse(work, "the endpoint did not answer")
                continue
            except BaseException:
                link.close()
                pool.release(link)
                raise
            if answer.code is None:
                self.learn(target, answer)
                return Holding(pool=pool, link=link, target=target)
            pool.release(link)
            if not await self._after_refusal(work, tried, target, answer):
                return answer.with_state(TransactionState.FAILED)

    async def run_held(self, work: Work, holding: Holding) -> Answer:
        """Run a statement of an open transaction."""
        is_commit = work.command.kind is CommandKind.COMMIT
        while True:
            try:
                with self._sending(
                    holding.pool, work, holding.target, is_commit=is_commit
                ):
                    answer = await self._within(
                        work, holding.link.run(work.command, prepared=work.prepared)
                    )
            except TimeoutError:
                holding.link.close()
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
                and self._left_s(work) > RETRY_PAUSE_S
            )
            if not may_repeat:
                return answer
            await asyncio.sleep(RETRY_PAUSE_S)

    async def end_held(self, holding: Holding) -> None:
        """Release a transaction's link, rolling back what may be open."""
        link = holding.link
        try:
            if link.is_open:
                link.align(link.values, self.clock.now_s() + ROLLBACK_LIMIT_S)
                async with asyncio.timeout(ROLLBACK_LIMIT_S):
                    answer = await link.run(ROLLBACK)
                if answer.state is not TransactionState.IDLE:
                    link.close()
        except (EndpointError, TimeoutError):
            logging.info(
                "[executor] Rollback got no answer; the connection is closed. "
                "endpoint=%s",
                link.endpoint,
            )
            link.close()
        except BaseException:
            link.close()
            raise
        finally:
            holding.pool.release(link)

    async def _read(self, work: Work) -> Answer:
        """Run a read, at a second endpoint too where the first is silent."""
        tried: set[EndpointId] = set()
        running: set[asyncio.Task[Answer]] = set()
        try:
            while True:
                running.add(asyncio.create_task(self._attempt_read(work, tried)))
                while running:
                    left_s = self._left_s(work)
                    is_hedged = len(running) > 1
                    wait_s = left_s if is_hedged else min(left_s, HEDGE_S)
                    done, running = await asyncio.wait(
                        running,
                        timeout=max(wait_s, 0),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    if done:
                        return done.pop().result()
                    if self._left_s(work) <= 0:
                        return self._timeout(work)
                    if not is_hedged:
                        break
        finally:
            for task in running:
                task.cancel()

    async def _attempt_read(self, work: Work, tried: set[EndpointId]) -> Answer:
        while True:
            try:
                target = await self._target(work, tried)
                if isinstance(target, NoTarget):
                    return self._fail_read(work, target.value)
                answer = await self._send(work, target, tried)
            except EndpointError as error:
                # A read changes nothing, so it may run again after any failure.
                if not await self._pause(work, tried, error.peer):
                    return self._fail_read(work, error.message)
                continue
            if answer.code is None:
                return answer
            if not await self._after_refusal(work, tried, target, answer):
                return answer

    async def _write(self, work: Work) -> Answer:
        tried: set[EndpointId] = set()
        while True:
            try:
                target = await self._target(work, tried)
                if isinstance(target, NoTarget):
                    return self._refuse(work, target.value)
                async with asyncio.timeout(max(self._left_s(work), 0)):
                    answer = await self._send(work, target, tried)
            except TimeoutError:
                return self._timeout(work)
            except EndpointError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    return refusal(AnswerCode.IN_DOUBT, error.message)
                if not await self._pause(work, tried, error.peer):
                    return self._refuse(work, error.message)
                continue
            if answer.code is None:
                return answer
            if not await self._after_refusal(work, tried, target, answer):
                return answer

    async def _send(self, work: Work, target: Target, tried: set[EndpointId]) -> Answer:
        pool, link = await self._link(work, target)
        tried.add(target.entry.id)
        try:
            is_write = work.access is RequestKind.WRITE
            with self._sending(pool, work, target, is_commit=is_write):
                sent_s = self.clock.now_s()
                answer = await link.run(
                    work.command, after=target.after, prepared=work.prepared
                )
        except BaseException:
            link.close()
            raise
        finally:
            pool.release(link)
        self.learn(target, answer, sent_s)
        return answer

    async def _link(self, work: Work, target: Target) -> tuple[LinkPool, EndpointLink]:
        """Return a link with the session's values, for a target still valid."""
        pool = self.pools.get(target.entry.id)
        link = await pool.take(work.organisation_id, work.values, work.deadline_s)
        link.align(work.values, work.deadline_s)
        # The wait for the link may have outlasted what the choice was based on.
        again = self.placement.choose(
            route=work.route,
            organisation=work.organisation,
            access=work.access,
            own=work.own,
            is_transaction=work.is_transaction,
        )
        if target.is_primary and target.after is None and again != target:
            pool.release(link)
            raise EndpointError(
                code=ErrorCode.NO_PRIMARY,
                step=Step.ROUTE,
                peer=target.entry.id,
                message="the primary changed during the wait",
                outcome=Outcome.NOT_RUN,
            )
        return pool, link

    @contextmanager
    def _sending(
        self, pool: LinkPool, work: Work, target: Target, *, is_commit: bool
    ) -> Iterator[None]:
        """Keep load and health of the endpoint while a command is under way."""
        work.was_sent = True
        work.open_attempts += 1
        pool.running += 1
        ticket = pool.health.sent(is_commit=is_commit)
        try:
            yield
        except BaseException as error:
            pool.health.lost(ticket)
            if isinstance(error, EndpointError) and error.outcome is Outcome.NOT_RUN:
                work.open_attempts -= 1
            raise
        else:
            work.open_attempts -= 1
            pool.health.answered(ticket)
        finally:
            pool.running -= 1

    async def _within(self, work: Work, running) -> Answer:
        async with asyncio.timeout(max(self._left_s(work), 0)):
            return await running

    async def _target(self, work: Work, tried: set[EndpointId]) -> Target | NoTarget:
        """Choose an endpoint, waiting for one while that may help."""
        began_s = self.clock.now_s()
        while True:
            self.changed.clear()
            target = self.placement.choose(
                route=work.route,
                organisation=work.organisation,
                access=work.access,
                own=work.own,
                tried=frozenset(tried),
                is_transaction=work.is_transaction,
            )
            if isinstance(target, Target):
                return target
            # Without evidence this VM is cut off, and another one may serve the
            # caller; a missing primary is missing everywhere.
            is_local = target is NoTarget.NO_EVIDENCE
            limit_s = began_s + LOCAL_WAIT_S if is_local else work.deadline_s
            if limit_s - self.clock.now_s() <= ABSENCE_POLL_S:
                return target
            try:
                async with asyncio.timeout(ABSENCE_POLL_S):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _after_refusal(
        self, work: Work, tried: set[EndpointId], target: Target, answer: Answer
    ) -> bool:
        """Decide whether to try again after an endpoint's refusal; pause if so."""
        if not answer.code.is_not_run or answer.code is AnswerCode.MALFORMED:
            return False
        pool = self.pools.pools.get(target.entry.id)
        if answer.code is AnswerCode.BEHIND and pool is not None:
            pool.health.behind()
            tried.add(target.entry.id)
            return self._left_s(work) > RETRY_PAUSE_S
        return await self._pause(work, tried, target.entry.id)

    async def _pause(self, work: Work, tried: set[EndpointId], peer: str) -> bool:
        """Wait before another try; False where no time is left for one."""
        tried.add(EndpointId(peer))
        if self._left_s(work) <= 2 * RETRY_PAUSE_S:
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
        group = self.roster.groups.get(target.entry.service)
        if group is not None and answer.position.term < group.term:
            return
        if answer.code is None and self.placement.has_evidence():
            self.freshness.note(
                target.entry.service, Sample(sent_s=sent_s, position=answer.position)
            )

    def _refuse(self, work: Work, detail: str) -> Answer:
        answer = refusal(AnswerCode.OVERLOADED, detail, retry_after_s=PRIMARY_RETRY_S)
        return msgspec.structs.replace(answer, is_refused_here=not work.was_sent)

    def _fail_read(self, work: Work, detail: str) -> Answer:
        """Refuse a read; one that may have run isn't told as not run."""
        if work.open_attempts:
            return refusal(AnswerCode.FAILED, detail)
        return self._refuse(work, detail)

    def _timeout(self, work: Work) -> Answer:
        if work.open_attempts == 0:
            # The time went by in a queue, so the caller may try again.
            return self._refuse(work, "no endpoint was free in time")
        return refusal(AnswerCode.TIMEOUT, "statement timeout")

    def _left_s(self, work: Work) -> float:
        return work.deadline_s - self.clock.now_s()

    def _note_change(self) -> None:
        self.changed.set()
