"""Run statements at the endpoints that this VM owns."""

import asyncio
from typing import ClassVar, cast

from absl import logging

from ebonyladder.configuration import Configuration, ConfigurationSource, EndpointSpec
from ebonyladder.confirmation import Confirmer
from ebonyladder.dedup import DuplicateTable
from ebonyladder.endpoint import EndpointAnswer, EndpointConnection, EndpointDriver
from ebonyladder.execution import StatementExecutor
from ebonyladder.group import GroupView, GroupWatch
from ebonyladder.kernel.error import (
    EbonyladderError,
    EndpointError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    EndpointSummary,
    Forward,
    ForwardAnswer,
    GroupStateAnswer,
    GroupStateRequest,
    Message,
    TransactionAction,
    TransactionStep,
)
from ebonyladder.ownership import Ownership
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.pool import ConnectionPool, owner_limit
from ebonyladder.queue import FairQueue
from ebonyladder.transaction import OpenTransaction, TransactionTable
from ebonyladder.types import EndpointId, GroupId, KeyDigest, RequestKind, TransactionId

# A report stream sends at least ten reports a second.
REACHABLE_S = 0.5


class OwnedEndpoint:
    """Endpoint with its queue and connections.

    Attributes
    ----------
    spec : EndpointSpec
        Specification by which queue and pool were made.
    """

    def __init__(
        self, *, spec: EndpointSpec, queue: FairQueue, pool: ConnectionPool
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.pool = pool


@register
class OwnedEndpointLinks(Plugin, StatementExecutor):
    """Queue, run and confirm the statements of owned endpoints."""

    name: ClassVar[str] = "endpoint-links"
    provides: ClassVar[tuple[type, ...]] = (StatementExecutor,)
    requires: ClassVar[tuple[type, ...]] = (
        EndpointDriver,
        GroupWatch,
        PeerLinks,
        Membership,
        ConfigurationSource,
        KeyRing,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.endpoints: dict[EndpointId, OwnedEndpoint] = {}
        self.transactions = TransactionTable()
        self.duplicates = DuplicateTable(clock=kernel.clock)

    async def start(self) -> None:
        """Answer the calls of other VMs."""
        get = self.kernel.get
        self.driver = get(EndpointDriver)
        self.groups = get(GroupWatch)
        self.keys = get(KeyRing)
        self.configuration = get(ConfigurationSource)
        self.ownership = Ownership(
            vm=self.kernel.settings.vm,
            membership=get(Membership),
            configuration=self.configuration,
            clock=self.kernel.clock,
        )
        peers = get(PeerLinks)
        peers.handle(Forward, self._answer_forward)
        peers.handle(TransactionStep, self._answer_step)
        peers.handle(GroupStateRequest, self._answer_group_state)
        self.configuration.subscribe(self._resize)

    async def drain(self) -> None:
        """Let open transactions and queued statements end."""
        limit_s = self.configuration.current.policy.transaction_limit_ms / 1000
        try:
            async with asyncio.timeout(limit_s):
                await self.transactions.empty.wait()
                await self.duplicates.drain()
        except TimeoutError:
            logging.warning("[endpoints] Work was left at the end of the drain.")

    async def stop(self) -> None:
        """Close all connections."""
        for owned in self.endpoints.values():
            await owned.pool.close()

    # Calls of other VMs.

    async def _answer_forward(self, _peer: PeerIdentity, message: Message) -> Message:
        forward = cast(Forward, message)
        return await self.duplicates.run(forward.hop, lambda: self.run(forward))

    async def _answer_step(self, _peer: PeerIdentity, message: Message) -> Message:
        step = cast(TransactionStep, message)
        return await self.duplicates.run(step.hop, lambda: self.run_step(step))

    async def _answer_group_state(
        self, _peer: PeerIdentity, message: Message
    ) -> Message:
        request = cast(GroupStateRequest, message)
        return await self.group_state(request.group, wait_s=request.wait_s)

    # Group state.

    async def group_state(self, group: GroupId, *, wait_s: float) -> GroupStateAnswer:
        """Return the state of a group that this VM watches."""
        view = self._view(group)
        await view.wait_until(lambda: view.primary is not None, wait_s)
        now_s = self.kernel.clock.now_s()
        return GroupStateAnswer(
            group=group,
            term=view.term,
            primary=view.primary,
            endpoints=[self._summary(view, name, now_s) for name in view.endpoints],
        )

    @staticmethod
    def _summary(view: GroupView, name: EndpointId, now_s: float) -> EndpointSummary:
        heard = view.heard.get(name)
        return EndpointSummary(
            endpoint=name,
            role=heard.report.role if heard else None,
            reachable=heard is not None and now_s - heard.at_s < REACHABLE_S,
            lag_s=view.age_s(name, now_s),
        )

    def _view(self, group: GroupId) -> GroupView:
        view = self.groups.view_of(group)
        if view is None:
            raise self._not_owner(group)
        return view

    def _not_owner(self, what: str) -> RequestError:
        return RequestError(
            code=ErrorCode.NOT_OWNER,
            step=Step.ROUTE,
            peer=self.kernel.settings.vm,
            message=f"this VM does not own {what}",
            retry_after_s=0.1,
        )

    # Statements.

    async def run(self, forward: Forward) -> ForwardAnswer:
        """Run one statement at an owned endpoint."""
        deadline_s = self.kernel.clock.now_s() + forward.deadline_left_s
        owned = self._owned(forward.endpoint)
        confirmer = Confirmer(view=self._view(forward.group), clock=self.kernel.clock)
        await self._require_ready(confirmer, forward)
        async with owned.queue.slot(
            organisation=forward.organisation, deadline_s=deadline_s
        ):
            connection = await owned.pool.acquire(self._left_s(deadline_s))
            try:
                self._require_key(forward.key_digest, Step.EXECUTE)
                answer = await self._execute(connection, forward, deadline_s)
            finally:
                owned.pool.release(connection)
        await confirmer.confirm(forward.endpoint, answer, self._left_s(deadline_s))
        return ForwardAnswer(
            rows=answer.rows, at=answer.at, endpoint=forward.endpoint, role=answer.role
        )

    async def _require_ready(self, confirmer: Confirmer, forward: Forward) -> None:
        """Wait until the endpoint can serve the statement."""
        wait_s = forward.replica_wait_s
        if wait_s is None:
            wait_s = self.configuration.current.policy.replica_wait_ms / 1000
        wait_s = min(wait_s, forward.deadline_left_s)
        if forward.statement.kind is RequestKind.READ:
            await confirmer.require_readable(forward, wait_s)
        else:
            await confirmer.require_primary(forward.endpoint, 0.0)

    async def _execute(
        self, connection: EndpointConnection, forward: Forward, deadline_s: float
    ) -> EndpointAnswer:
        try:
            async with asyncio.timeout(self._left_s(deadline_s)):
                return await connection.execute(
                    organisation=forward.organisation, statement=forward.statement
                )
        except TimeoutError:
            raise EndpointError(
                code=ErrorCode.DEADLINE, step=Step.EXECUTE, peer=forward.endpoint
            ) from None

    # Transactions.

    async def run_step(self, step: TransactionStep) -> ForwardAnswer:
        """Run one step of an interactive transaction."""
        deadline_s = self.kernel.clock.now_s() + step.deadline_left_s
        if step.action is TransactionAction.BEGIN:
            return await self._begin(step, deadline_s)
        transaction = self.transactions.get(step.transaction, step.organisation)
        async with transaction.lock:
            transaction = self.transactions.get(step.transaction, step.organisation)
            try:
                answer = await self._run_in(transaction, step, deadline_s)
            except BaseException as error:
                await self._abort(step, error)
                raise
        return answer

    async def _begin(self, step: TransactionStep, deadline_s: float) -> ForwardAnswer:
        owned = self._owned(step.endpoint)
        confirmer = Confirmer(view=self._view(step.group), clock=self.kernel.clock)
        await confirmer.require_primary(step.endpoint, 0.0)
        connection = await owned.pool.acquire(self._left_s(deadline_s))
        try:
            self._require_key(step.key_digest, Step.BEGIN)
            async with asyncio.timeout(self._left_s(deadline_s)):
                await connection.begin(organisation=step.organisation)
        except BaseException:
            owned.pool.release(connection)
            raise
        limit_s = self.configuration.current.policy.transaction_limit_ms / 1000
        transaction = OpenTransaction(
            organisation=step.organisation,
            group=step.group,
            endpoint=step.endpoint,
            connection=connection,
            ends_s=self.kernel.clock.now_s() + limit_s,
        )
        self.transactions.add(step.transaction, transaction)
        self.kernel.spawn(
            self._expire(step.transaction, limit_s), name=f"expire-{step.transaction}"
        )
        return self._step_answer(step, [], confirmer)

    async def _run_in(
        self, transaction: OpenTransaction, step: TransactionStep, deadline_s: float
    ) -> ForwardAnswer:
        """Run one step on the transaction's own connection."""
        self._require_key(step.key_digest, Step.EXECUTE)
        connection = transaction.connection
        confirmer = Confirmer(
            view=self._view(transaction.group), clock=self.kernel.clock
        )
        async with asyncio.timeout(self._left_s(deadline_s)):
            if step.action is TransactionAction.ROLLBACK:
                await connection.rollback()
                self._end(step.transaction)
                return self._step_answer(step, [], confirmer)
            owned = self.endpoints[transaction.endpoint]
            async with owned.queue.slot(
                organisation=step.organisation, deadline_s=deadline_s
            ):
                if step.action is TransactionAction.EXECUTE:
                    answer = await connection.execute(
                        organisation=step.organisation, statement=step.statement
                    )
                    return self._step_answer(step, answer.rows, confirmer)
                answer = await connection.commit()
        self._end(step.transaction)
        await confirmer.confirm(transaction.endpoint, answer, self._left_s(deadline_s))
        return ForwardAnswer(
            rows=[], at=answer.at, endpoint=transaction.endpoint, role=answer.role
        )

    @staticmethod
    def _step_answer(
        step: TransactionStep, rows: list, confirmer: Confirmer
    ) -> ForwardAnswer:
        """Return the answer of a step that has not committed anything."""
        primary = step.endpoint
        return ForwardAnswer(
            rows=rows,
            at=confirmer.position(primary),
            endpoint=primary,
            role=confirmer.view.heard[primary].report.role,
        )

    async def _abort(self, step: TransactionStep, error: BaseException) -> None:
        """Roll back after a failed step.

        Before COMMIT is sent nothing has run, so the failure of a statement is
        turned into a not-run outcome once the connection is given up.
        """
        transaction = self.transactions.remove(step.transaction)
        if transaction is None:
            return
        connection = transaction.connection
        if connection.is_open:
            try:
                async with asyncio.timeout(1.0):
                    await connection.rollback()
            except (EbonyladderError, TimeoutError):
                logging.info("[endpoints] Rollback was not confirmed.")
        self._release(transaction)
        is_commit = step.action is TransactionAction.COMMIT
        if isinstance(error, EbonyladderError) and not is_commit:
            error.outcome = Outcome.NOT_RUN

    async def _expire(self, name: TransactionId, limit_s: float) -> None:
        """Roll back a transaction that is open for too long."""
        await asyncio.sleep(limit_s)
        transaction = self.transactions.open.get(name)
        if transaction is None:
            return
        async with transaction.lock:
            if self.transactions.remove(name) is not None:
                try:
                    await transaction.connection.rollback()
                except EbonyladderError as error:
                    logging.info("[endpoints] Rollback failed. error=%s", error)
                self._release(transaction)

    def _end(self, name: TransactionId) -> None:
        transaction = self.transactions.remove(name)
        if transaction is not None:
            self._release(transaction)

    def _release(self, transaction: OpenTransaction) -> None:
        self.endpoints[transaction.endpoint].pool.release(transaction.connection)

    # Owned endpoints.

    def _owned(self, endpoint: EndpointId) -> OwnedEndpoint:
        """Return queue and pool of an owned endpoint in service."""
        configuration = self.configuration.current
        spec = configuration.endpoints.get(endpoint)
        if spec is None or not self.ownership.owns(endpoint):
            raise self._not_owner(endpoint)
        if not configuration.is_endpoint_in_service(endpoint):
            raise RequestError(
                code=ErrorCode.NO_ENDPOINT,
                step=Step.ROUTE,
                peer=endpoint,
                message=f"{endpoint} is out of service",
            )
        owned = self.endpoints.get(endpoint)
        if owned is None or owned.spec.address != spec.address:
            owned = self._make(endpoint, spec)
            self.endpoints[endpoint] = owned
        return owned

    def _make(self, endpoint: EndpointId, spec: EndpointSpec) -> OwnedEndpoint:
        return OwnedEndpoint(
            spec=spec,
            queue=FairQueue(
                endpoint=endpoint, slots=spec.slots, clock=self.kernel.clock
            ),
            pool=ConnectionPool(
                endpoint=endpoint,
                address=spec.address,
                driver=self.driver,
                limit=owner_limit(spec.connections),
            ),
        )

    def _resize(self, configuration: Configuration) -> None:
        """Apply changed slots of endpoints."""
        for name, owned in self.endpoints.items():
            spec = configuration.endpoints.get(name)
            if spec is not None and spec.slots != owned.queue.slots:
                owned.queue.resize(spec.slots)

    def _require_key(self, digest: str, step: Step) -> None:
        if digest:
            self.keys.require_valid(KeyDigest(digest), step)

    def _left_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self.kernel.clock.now_s())
