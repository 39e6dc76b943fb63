"""Path of a caller's request: key, token, rate, route, answer.

Front ends decode requests into the records of this module and encode what it
returns; they decide nothing.
"""

import secrets

import msgspec

from ebonyladder.caller import (
    CallerAnswer,
    CallerStatement,
    CallerStep,
    CallerTransaction,
    TransactionAddress,
)
from ebonyladder.choice import RoutedStatement
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.dispatch import Dispatcher
from ebonyladder.journal import SEPARATOR, RequestJournal
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyHolder, KeyRing
from ebonyladder.limits import RateLimits
from ebonyladder.messages import ForwardAnswer, TransactionAction, TransactionStep
from ebonyladder.metrics import Metrics
from ebonyladder.routing import group_of
from ebonyladder.status import CallResult, StatusObserver
from ebonyladder.token import SessionToken, TokenSealer
from ebonyladder.types import (
    GroupId,
    RequestId,
    ServiceId,
    Statement,
    TransactionId,
    VmId,
)
from ebonyladder.vm_drain_state import VmDrainState

RATE_WAIT_S = 0.5
REQUEST_ID_BYTES = 9
# The caller's fault; the service is not at fault for these.
CALLER_CODES = frozenset(
    {
        ErrorCode.BAD_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.KEY_REFUSED,
        ErrorCode.KEY_WITHDRAWN,
        ErrorCode.TOKEN_REFUSED,
        ErrorCode.NOT_FOUND,
        ErrorCode.RATE_EXCEEDED,
        ErrorCode.ENDPOINT_REFUSED,
        ErrorCode.ANSWER_TOO_LARGE,
        ErrorCode.TRANSACTION_ENDED,
    }
)


class Gateway:
    """Serve callers' requests.

    Parameters
    ----------
    keys, limits, configuration, status, metrics
        Parts that check, admit and count requests.
    sealer : TokenSealer
        Signs session tokens.
    dispatcher : Dispatcher
        Routes statements.
    clock : Clock
        Clock for deadlines.
    duty : VmDrainState, optional
        Operators' word on this VM.
    journal : RequestJournal, optional
        Journal of requests, for operators.
    """

    def __init__(
        self,
        *,
        keys: KeyRing,
        limits: RateLimits,
        configuration: ConfigurationSource,
        status: StatusObserver,
        metrics: Metrics,
        sealer: TokenSealer,
        dispatcher: Dispatcher,
        clock: Clock,
        duty: VmDrainState | None = None,
        journal: RequestJournal | None = None,
    ) -> None:
        self.keys = keys
        self.limits = limits
        self.configuration = configuration
        self.status = status
        self.metrics = metrics
        self.sealer = sealer
        self.dispatcher = dispatcher
        self.clock = clock
        self.duty = duty
        self.journal = journal
        self.is_draining = False

    @property
    def is_leaving(self) -> bool:
        """True if the balancer should send callers to other VMs."""
        return self.is_draining or (self.duty is not None and self.duty.is_draining)

    @property
    def takes_work(self) -> bool:
        """False if new work is refused."""
        return not self.is_draining and (self.duty is None or self.duty.accepts_work)

    def new_request_id(self) -> RequestId:
        """Return an id that no other request has; it names this VM."""
        token = secrets.token_urlsafe(REQUEST_ID_BYTES)
        return RequestId(f"{self.dispatcher.vm}{SEPARATOR}{token}")

    async def run_statement(
        self, key: str, service: ServiceId, asked: CallerStatement, name: RequestId
    ) -> CallerAnswer:
        """Run one statement of a caller.

        Raises
        ------
        EbonyladderError
            With the outcome of the request.
        """
        started_s = self.clock.now_s()
        holder: KeyHolder | None = None
        try:
            holder = self._holder(key)
            answer = await self._run_statement(holder, service, asked, name)
        except EbonyladderError as error:
            self._note(name, Step.ANSWER, error)
            self._observe(holder, service, asked.kind.value, started_s, error)
            raise
        self._note(name, Step.ANSWER)
        self._observe(holder, service, asked.kind.value, started_s, None)
        return answer

    async def _run_statement(
        self,
        holder: KeyHolder,
        service: ServiceId,
        asked: CallerStatement,
        name: RequestId,
    ) -> CallerAnswer:
        token = self._token(asked.session, holder)
        group = self._group(service, asked.partition)
        deadline_s = self._deadline_s(asked.deadline_ms)
        await self._admit(holder, deadline_s)
        self._note(name, Step.RATE_ADMIT)
        max_age_s = None if asked.max_age_ms is None else asked.max_age_ms / 1000
        answer = await self.dispatcher.run(
            RoutedStatement(
                organisation=holder.organisation,
                service=service,
                group=group,
                statement=Statement(kind=asked.kind, text=asked.statement),
                deadline_s=deadline_s,
                key_digest=holder.digest,
                request_id=name,
                required=token.positions.get(group),
                max_age_s=max_age_s,
                idempotent=asked.idempotent,
            )
        )
        self._require_still_valid(holder)
        return self._answer(token, group, answer, name)

    async def begin(
        self, key: str, service: ServiceId, asked: CallerTransaction, name: RequestId
    ) -> CallerAnswer:
        """Open a transaction on the primary of the partition's group."""
        holder = self._holder(key)
        token = self._token(asked.session, holder)
        group = self._group(service, asked.partition)
        deadline_s = self._deadline_s(asked.deadline_ms)
        await self._admit(holder, deadline_s)

        async def attempt() -> CallerAnswer:
            return await self._begin(holder, token, service, group, deadline_s, name)

        return await self.dispatcher.reroute(group, deadline_s, attempt)

    async def _begin(
        self,
        holder: KeyHolder,
        token: SessionToken,
        service: ServiceId,
        group: GroupId,
        deadline_s: float,
        name: RequestId,
    ) -> CallerAnswer:
        """Try once to open a transaction; its id names the owner for later steps."""
        state = await self.dispatcher.directory.state_of(group, deadline_s)
        owner = state.primary and self.dispatcher.ownership.owner_of(state.primary)
        if state.primary is None or owner is None:
            raise RequestError(
                code=ErrorCode.NO_PRIMARY, step=Step.ROUTE, peer=group, retry_after_s=1
            )
        address = TransactionAddress(
            service,
            group,
            state.primary,
            owner,
            TransactionId(secrets.token_urlsafe(REQUEST_ID_BYTES)),
        )
        answer = await self._send_step(
            holder, address, TransactionAction.BEGIN, CallerStep(), deadline_s, name
        )
        # The primary may have entries that no majority has yet.
        opened = self._answer(token, None, answer, name)
        return msgspec.structs.replace(opened, transaction="~".join(address))

    async def run_step(
        self,
        key: str,
        transaction: str,
        action: TransactionAction,
        asked: CallerStep,
        name: RequestId,
    ) -> CallerAnswer:
        """Run a later step of a transaction."""
        started_s = self.clock.now_s()
        holder = self._holder(key, is_new_work=False)
        token = self._token(asked.session, holder)
        address = self._transaction(transaction)
        deadline_s = self._deadline_s(asked.deadline_ms)
        try:
            if action is TransactionAction.EXECUTE:
                await self._admit(holder, deadline_s)
            answer = await self._send_step(
                holder, address, action, asked, deadline_s, name
            )
            self._require_still_valid(holder)
        except EbonyladderError as error:
            self._observe(holder, address.service, action.value, started_s, error)
            raise
        self._observe(holder, address.service, action.value, started_s, None)
        if action is not TransactionAction.COMMIT:
            # Uncommitted work must not raise the position that reads wait for.
            return self._answer(token, None, answer, name)
        return self._answer(token, address.group, answer, name)

    async def roll_back(self, holder: KeyHolder, transaction: str) -> None:
        """Roll back the transaction of a caller that has gone.

        The key is not checked: one that was withdrawn meanwhile must not keep
        its transaction open.
        """
        await self._send_step(
            holder,
            self._transaction(transaction),
            TransactionAction.ROLLBACK,
            CallerStep(),
            self._deadline_s(None),
            self.new_request_id(),
        )

    async def _send_step(
        self,
        holder: KeyHolder,
        address: TransactionAddress,
        action: TransactionAction,
        asked: CallerStep,
        deadline_s: float,
        name: RequestId,
    ) -> ForwardAnswer:
        step = TransactionStep(
            hop=self.dispatcher.peers.next_hop(),
            organisation=holder.organisation,
            group=address.group,
            endpoint=address.endpoint,
            transaction=address.name,
            action=action,
            deadline_left_s=max(0.0, deadline_s - self.clock.now_s()),
            statement=Statement(kind=asked.kind, text=asked.statement),
            key_digest=holder.digest,
            request_id=name,
        )
        executor = self.dispatcher.executor
        if self.journal is not None:
            self.journal.note(
                name, Step.ROUTE, endpoint=address.endpoint, owner=address.owner
            )
        try:
            return await self.dispatcher.send_to(
                VmId(address.owner), step, lambda: executor.run_step(step)
            )
        except EbonyladderError as error:
            if action is not TransactionAction.COMMIT:
                # Without a COMMIT the endpoint keeps nothing of a transaction.
                error.outcome = Outcome.NOT_RUN
            self._note(name, Step.ANSWER, error)
            raise

    def _note(
        self, name: RequestId, step: Step, error: EbonyladderError | None = None
    ) -> None:
        if self.journal is not None:
            self.journal.note(name, step, error=error)

    # Checks.

    def _holder(self, key: str, *, is_new_work: bool = True) -> KeyHolder:
        if is_new_work and not self.takes_work:
            raise RequestError(
                code=ErrorCode.DRAINING, step=Step.CALLER_ACCEPT, retry_after_s=0.0
            )
        self.configuration.require_fresh(Step.KEY_CHECK)
        return self.keys.holder_of(key)

    def _require_still_valid(self, holder: KeyHolder) -> None:
        """Withhold the answer from a key that was withdrawn meanwhile.

        The statement has run and was confirmed by then, so the outcome is RUN.
        """
        try:
            self.keys.require_valid(holder.digest, Step.ANSWER)
        except EbonyladderError as error:
            is_withdrawn = error.code is ErrorCode.KEY_REFUSED
            raise RequestError(
                code=ErrorCode.KEY_WITHDRAWN if is_withdrawn else error.code,
                step=Step.ANSWER,
                outcome=Outcome.RUN,
            ) from error

    def _token(self, sealed: str, holder: KeyHolder) -> SessionToken:
        if not sealed:
            return SessionToken(organisation=holder.organisation)
        return self.sealer.open(sealed, organisation=holder.organisation)

    async def _admit(self, holder: KeyHolder, deadline_s: float) -> None:
        left_s = max(0.0, deadline_s - self.clock.now_s())
        await self.limits.admit(holder.organisation, wait_s=min(RATE_WAIT_S, left_s))

    def _group(self, service: ServiceId, partition: str) -> GroupId:
        spec = self.configuration.current.services.get(service)
        if spec is None or not spec.groups:
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                message=f"no service {service!r} with groups",
            )
        return group_of(partition, spec.groups)

    def _transaction(self, sealed: str) -> TransactionAddress:
        """Return where a transaction runs, checked against the configuration."""
        parts = sealed.split("~")
        if len(parts) == len(TransactionAddress._fields):
            address = TransactionAddress(*parts)
            current = self.configuration.current
            service = current.services.get(address.service)
            group = current.groups.get(address.group)
            if (
                service is not None
                and group is not None
                and address.group in service.groups
                and address.endpoint in group.endpoints
            ):
                return address
        raise RequestError(code=ErrorCode.TRANSACTION_ENDED, step=Step.ROUTE)

    def _deadline_s(self, asked_ms: int | None) -> float:
        policy = self.configuration.current.policy
        wanted_ms = policy.default_deadline_ms if asked_ms is None else asked_ms
        return self.clock.now_s() + min(wanted_ms, policy.max_deadline_ms) / 1000

    # Answers.

    def _answer(
        self,
        token: SessionToken,
        group: GroupId | None,
        answer: ForwardAnswer,
        name: RequestId,
    ) -> CallerAnswer:
        seen = token if group is None else token.advanced(group, answer.at)
        return CallerAnswer(
            rows=answer.rows,
            session=self.sealer.seal(seen),
            request_id=name,
            endpoint=answer.endpoint,
            role=answer.role,
            term=answer.at.term,
            position=answer.at.position,
        )

    def _observe(
        self,
        holder: KeyHolder | None,
        service: ServiceId,
        request_class: str,
        started_s: float,
        error: EbonyladderError | None,
    ) -> None:
        """Count the request for metrics and for the public status."""
        if holder is not None:
            self.metrics.observe_request(
                organisation=holder.organisation,
                request_class=request_class,
                outcome=error.code.value.code if error else "served",
                seconds=self.clock.now_s() - started_s,
            )
        if service not in self.configuration.current.services:
            return
        if error is None:
            self.status.observe(service, CallResult.SERVED)
        elif error.code in CALLER_CODES:
            self.status.observe(service, CallResult.REFUSED)
        else:
            self.status.observe(service, CallResult.FAILED)
