"""Serves statements of other VMs on the connections that this VM owns."""

import asyncio

from absl import logging
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.command import Answer, AnswerCode, TransactionState
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.freshness import Sample
from ebonyladder.sessions.link import EndpointLink, ReadBound
from ebonyladder.sessions.messages import (
    Envelope,
    Failure,
    Forward,
    Reply,
    SampleRequest,
    decode,
    encode,
)
from ebonyladder.sessions.placement import Target
from ebonyladder.sessions.pool import EndpointPool, LinkPool
from ebonyladder.sessions.work import Holding
from ebonyladder.types import Position

# Time for a reply's way to another VM, in seconds: one way between regions and a busy
# VM at the far end. A statement that got no link by then is told as not run in time.
REPLY_WAY_S = 0.05
# Least time that a forwarded statement gets, in seconds, so that one which arrives at
# its deadline ends with an error of its own.
LEAST_LEFT_S = 0.005


class OwnerService:
    """Runs forwarded statements, one task for each connection of a VM.

    Parameters
    ----------
    executor : Executor
        Pools, positions and placement of this VM.
    clock : Clock
        Clock of deadlines.
    """

    def __init__(self, *, executor: Executor, clock: Clock) -> None:
        self.executor = executor
        self.clock = clock

    async def serve(self, connection: ServerConnection) -> None:
        """Serve one VM until its connection ends; then roll back what is open."""
        held: dict[int, Holding] = {}
        running: set[asyncio.Task[None]] = set()
        try:
            async for data in connection:
                envelope = decode(data, Envelope)
                task = asyncio.create_task(self._serve(connection, envelope, held))
                running.add(task)
                task.add_done_callback(running.discard)
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[owner] Connection of a VM ended. error=%r", error)
        finally:
            for task in running:
                task.cancel()
            for holding in list(held.values()):
                holding.link.close()
                holding.pool.release(holding.link)

    async def _serve(
        self, connection: ServerConnection, envelope: Envelope, held: dict[int, Holding]
    ) -> None:
        if envelope.release is not None:
            holding = held.pop(envelope.release.handle, None)
            if holding is not None:
                await self.executor.end_held(holding)
            return
        if envelope.sample is not None:
            reply = self._sample(envelope.sample)
        else:
            reply = await self._run(envelope.forward, held)
        try:
            await connection.send(encode(reply))
        except (WebSocketException, OSError) as error:
            logging.info("[owner] Reply isn't sent. error=%r", error)

    def _sample(self, request: SampleRequest) -> Reply:
        samples = self.executor.freshness.samples.get(request.service)
        if not samples:
            return Reply(id=request.id)
        newest = samples[-1]
        return Reply(
            id=request.id,
            position=newest.position,
            age_s=self.clock.now_s() - newest.sent_s,
        )

    async def _run(self, forward: Forward, held: dict[int, Holding]) -> Reply:
        pool = self.executor.pools.pools.get(forward.endpoint)
        load = pool.load if pool is not None else 0.0
        try:
            async with asyncio.timeout(max(forward.left_s, LEAST_LEFT_S)):
                answer = await self._answer(forward, pool, held)
        except EndpointError as error:
            return Reply(id=forward.id, failure=Failure.of(error), load=load)
        except TimeoutError:
            error = self._error(forward, "no answer in time", Outcome.UNKNOWN)
            return Reply(id=forward.id, failure=Failure.of(error), load=load)
        return Reply(id=forward.id, answer=answer, load=load)

    async def _answer(
        self, forward: Forward, pool: LinkPool | None, held: dict[int, Holding]
    ) -> Answer:
        if forward.handle and not forward.is_begin:
            return await self._run_held(forward, held)
        if not isinstance(pool, EndpointPool):
            raise self._error(forward, "this VM doesn't own the endpoint")
        after = self._position(forward, pool)
        if isinstance(after, Answer):
            return after
        deadline_s = self.clock.now_s() + forward.left_s
        link = await pool.take(
            forward.organisation, forward.values, deadline_s - REPLY_WAY_S
        )
        target = Target(entry=pool.entry, is_primary=forward.needs_primary)
        try:
            # The primary may have changed while the statement waited for the link.
            self._require_primary(forward, pool)
            link.align(forward.values, deadline_s)
            sent_s = self.clock.now_s()
            answer = await self._send(forward, pool, link, after)
            self.executor.learn(target, answer, sent_s)
        except BaseException:
            link.close()
            pool.release(link)
            raise
        if forward.is_begin and answer.state is TransactionState.OPEN:
            held[forward.handle] = Holding(pool=pool, link=link, target=target)
        else:
            pool.release(link)
        return answer

    async def _run_held(self, forward: Forward, held: dict[int, Holding]) -> Answer:
        holding = held.get(forward.handle)
        if holding is None:
            raise self._error(forward, "the transaction has ended")
        deadline_s = self.clock.now_s() + forward.left_s
        holding.link.align(forward.values, deadline_s)
        try:
            answer = await self._send(forward, holding.pool, holding.link, None)
        except BaseException:
            held.pop(forward.handle, None)
            holding.link.close()
            holding.pool.release(holding.link)
            raise
        if answer.state is TransactionState.IDLE:
            held.pop(forward.handle, None)
            holding.pool.release(holding.link)
        return answer

    async def _send(
        self,
        forward: Forward,
        pool: EndpointPool,
        link: EndpointLink,
        after: Position | None,
    ) -> Answer:
        pool.running += 1
        ticket = pool.health.sent(is_commit=False)
        try:
            if forward.is_begin:
                answer = await link.begin(forward.command, after=after)
            else:
                answer = await link.run(
                    forward.command, after=after, prepared=forward.prepared
                )
        except BaseException:
            pool.health.lost(ticket)
            raise
        finally:
            pool.running -= 1
        pool.health.answered(ticket)
        return answer

    def _position(self, forward: Forward, pool: EndpointPool) -> Position | Answer:
        """Return the position that a read needs, or the refusal without one."""
        self._require_primary(forward, pool)
        if not isinstance(forward.after, ReadBound):
            return None
        needed = self.executor.freshness.required(
            pool.entry.service,
            max_age_s=forward.after.max_age_s,
            own=forward.after.own,
        )
        if needed is None:
            return Answer(code=AnswerCode.BEHIND, detail="no recent position")
        return needed

    def _require_primary(self, forward: Forward, pool: EndpointPool) -> None:
        if not forward.needs_primary:
            return
        primary = self.executor.roster.primary(pool.entry.service)
        if primary is None or primary.id != forward.endpoint:
            raise self._error(forward, "the endpoint isn't the primary now")
        if not self.executor.placement.has_evidence():
            raise self._error(forward, "the owner can't confirm the primary")

    def _error(
        self, forward: Forward, message: str, outcome: Outcome = Outcome.NOT_RUN
    ) -> EndpointError:
        is_not_run = outcome is Outcome.NOT_RUN
        return EndpointError(
            code=ErrorCode.NOT_OWNER if is_not_run else ErrorCode.CONNECTION_LOST,
            step=Step.FORWARD,
            peer=forward.endpoint,
            message=message,
            outcome=outcome,
        )

    async def sample_primaries(self, period_s: float) -> None:
        """Keep positions of the primaries whose replicas this VM owns."""
        while True:
            await asyncio.sleep(period_s)
            pools = list(self.executor.pools.pools.values())
            owned = {p.entry.service for p in pools if p.is_local}
            for service in owned if self.executor.roster.owners else ():
                entry = self.executor.roster.primary(service)
                pool = self.executor.pools.pools.get(entry.id) if entry else None
                if pool is None or pool.is_local:
                    continue
                sent_s = self.clock.now_s()
                try:
                    async with asyncio.timeout(period_s * 2):
                        reply = await pool.sample()
                except (EndpointError, TimeoutError) as error:
                    logging.log_every_n_seconds(
                        logging.INFO, "[owner] No position. error=%r", 5, error
                    )
                    continue
                if reply.position is not None:
                    sample = Sample(
                        sent_s=sent_s - reply.age_s, position=reply.position
                    )
                    self.executor.freshness.note(service, sample)
