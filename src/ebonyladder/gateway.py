"""Handling of a caller's request: key, session token, rate limit, route, answer.

Front ends decode requests into the records of ``caller`` and encode the answers
that this module returns; they make no decisions.
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
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyIdentity, KeyRing
from ebonyladder.limits import RateLimits
from ebonyladder.messages import ForwardAnswer, TransactionAction, TransactionStep
from ebonyladder.metrics import Metrics
from ebonyladder.request_trace import REQUEST_ID_SEPARATOR, RequestTrace
from ebonyladder.routing import group_of
from ebonyladder.status import CallResult, StatusObserver
from ebonyladder.token import SessionToken, TokenSigner
from ebonyladder.types import (
    GroupId,
    RequestId,
    ServiceId,
    Statement,
    TransactionId,
    VmId,
)
from ebonyladder.vm_drain_state import VmDrainState

MAX_RATE_WAIT_S = 0.5
REQUEST_ID_BYTES = 9
# Errors caused by the caller; counted as refused, not as failures of the service.
CALLER_ERROR_CODES = frozenset(
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
        Components that check, admit and count requests.
    signer : TokenSigner
        Signs session tokens.
    dispatcher : Dispatcher
        Routes statements.
    clock : Clock
        Clock for deadlines.
    drain_state : VmDrainState, optional
        Drain state of this VM as configured by operators.
    trace : RequestTrace, optional
        Trace of recent requests, for operators.
    """

    def __init__(
        self,
        *,
        keys: KeyRing,
        limits: RateLimits,
        configuration: ConfigurationSource,
        status: StatusObserver,
        metrics: Metrics,
        signer: TokenSigner,
        dispatcher: Dispatcher,
        clock: Clock,
        drain_state: VmDrainState | None = None,
        trace: RequestTrace | None = None,
    ) -> None:
        self.keys = keys
        self.limits = limits
        self.configuration = configuration
        self.status = status
        self.metrics = metrics
        self.signer = signer
        self.dispatcher = dispatcher
        self.clock = clock
        self.drain_state = drain_state
        self.trace = trace
        self.is_draining = False

    @property
    def is_unready(self) -> bool:
        """True if the load balancer should send callers to other VMs."""
        return self.is_draining or (
            self.drain_state is not None and self.drain_state.is_draining
        )

    @property
    def accepts_work(self) -> bool:
        """False if new work is refused."""
        return not self.is_draining and (
            self.drain_state is None or self.drain_state.accepts_work
        )

    def new_request_id(self) -> RequestId:
        """Return a unique id for a request; it contains the name of this VM."""
        suffix = secrets.token_urlsafe(REQUEST_ID_BYTES)
        return RequestId(f"{self.dispatcher.vm}{REQUEST_ID_SEPARATOR}{suffix}")

    async def run_statement(
        self,
        key: str,
        service: ServiceId,
        request: CallerStatement,
        request_id: RequestId,
    ) -> CallerAnswer:
        """Run one statement of a caller.

        Raises
        ------
        EbonyladderError
            With the outcome of the request.
        """
        started_at_s = self.clock.now_s()
        identity: KeyIdentity | None = None
        try:
            identity = self._identify(key)
            answer = await self._run_statement(identity, service, request, request_id)
        except EbonyladderError as error:
            self._trace_step(request_id, Step.ANSWER, error)
            self._observe(identity, service, request.kind.value, started_at_s, error)
            raise
        self._trace_step(request_id, Step.ANSWER)
        self._observe(identity, service, request.kind.value, started_at_s, None)
        return answer

    async def _run_statement(
        self,
        identity: KeyIdentity,
        service: ServiceId,
        request: CallerStatement,
        request_id: RequestId,
    ) -> CallerAnswer:
        token = self._session_token(request.session, identity)
        group = self._group(service, request.partition)
        deadline_s = self._deadline_s(request.deadline_ms)
        await self._admit(identity, deadline_s)
        self._trace_step(request_id, Step.RATE_ADMIT)
        max_age_s = None if request.max_age_ms is None else request.max_age_ms / 1000
        answer = await self.dispatcher.run(
            RoutedStatement(
                organisation=identity.organisation,
                service=service,
                group=group,
                statement=Statement(kind=request.kind, text=request.statement),
                deadline_s=deadline_s,
                key_digest=identity.digest,
                request_id=request_id,
                required_position=token.positions.get(group),
                max_age_s=max_age_s,
                idempotent=request.idempotent,
            )
        )
        self._require_still_valid(identity)
        return self._answer(token, group, answer, request_id)

    async def begin(
        self,
        key: str,
        service: ServiceId,
        request: CallerTransaction,
        request_id: RequestId,
    ) -> CallerAnswer:
        """Open a transaction on the primary of the partition's group."""
        identity = self._identify(key)
        token = self._session_token(request.session, identity)
        group = self._group(service, request.partition)
        deadline_s = self._deadline_s(request.deadline_ms)
        await self._admit(identity, deadline_s)

        async def attempt() -> CallerAnswer:
            return await self._begin(
                identity, token, service, group, deadline_s, request_id
            )

        return await self.dispatcher.reroute(group, deadline_s, attempt)

    async def _begin(
        self,
        identity: KeyIdentity,
        token: SessionToken,
        service: ServiceId,
        group: GroupId,
        deadline_s: float,
        request_id: RequestId,
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
            identity,
            address,
            TransactionAction.BEGIN,
            CallerStep(),
            deadline_s,
            request_id,
        )
        # The session doesn't advance: the primary may have entries that no
        # majority has yet.
        opened = self._answer(token, None, answer, request_id)
        return msgspec.structs.replace(opened, transaction="~".join(address))

    async def run_step(
        self,
        key: str,
        transaction: str,
        action: TransactionAction,
        request: CallerStep,
        request_id: RequestId,
    ) -> CallerAnswer:
        """Run a later step of a transaction."""
        started_at_s = self.clock.now_s()
        identity = self._identify(key, is_new_work=False)
        token = self._session_token(request.session, identity)
        address = self._decode_transaction(transaction)
        deadline_s = self._deadline_s(request.deadline_ms)
        try:
            if action is TransactionAction.EXECUTE:
                await self._admit(identity, deadline_s)
            answer = await self._send_step(
                identity, address, action, request, deadline_s, request_id
            )
            self._require_still_valid(identity)
        except EbonyladderError as error:
            self._observe(identity, address.service, action.value, started_at_s, error)
            raise
        self._observe(identity, address.service, action.value, started_at_s, None)
        if action is not TransactionAction.COMMIT:
            # Reads of the session must not wait for uncommitted entries.
            return self._answer(token, None, answer, request_id)
        return self._answer(token, address.group, answer, request_id)

    async def roll_back(self, identity: KeyIdentity, transaction: str) -> None:
        """Roll back the transaction of a caller that has disconnected.

        The key is not checked, so that the transaction of a key that was
        withdrawn meanwhile ends too.
        """
        await self._send_step(
            identity,
            self._decode_transaction(transaction),
            TransactionAction.ROLLBACK,
            CallerStep(),
            self._deadline_s(None),
            self.new_request_id(),
        )

    async def _send_step(
        self,
        identity: KeyIdentity,
        address: TransactionAddress,
        action: TransactionAction,
        request: CallerStep,
        deadline_s: float,
        request_id: RequestId,
    ) -> ForwardAnswer:
        step = TransactionStep(
            hop=self.dispatcher.peers.next_hop(),
            organisation=identity.organisation,
            group=address.group,
            endpoint=address.endpoint,
            transaction=address.transaction,
            action=action,
            remaining_s=max(0.0, deadline_s - self.clock.now_s()),
            statement=Statement(kind=request.kind, text=request.statement),
            key_digest=identity.digest,
            request_id=request_id,
        )
        executor = self.dispatcher.executor
        if self.trace is not None:
            self.trace.record(
                request_id, Step.ROUTE, endpoint=address.endpoint, owner=address.owner
            )
        try:
            return await self.dispatcher.send_to(
                VmId(address.owner), step, lambda: executor.run_step(step)
            )
        except EbonyladderError as error:
            if action is not TransactionAction.COMMIT:
                # The endpoint stores nothing of a transaction before its COMMIT.
                error.outcome = Outcome.NOT_RUN
            self._trace_step(request_id, Step.ANSWER, error)
            raise

    def _trace_step(
        self, request_id: RequestId, step: Step, error: EbonyladderError | None = None
    ) -> None:
        if self.trace is not None:
            self.trace.record(request_id, step, error=error)

    # Checks.

    def _identify(self, key: str, *, is_new_work: bool = True) -> KeyIdentity:
        if is_new_work and not self.accepts_work:
            raise RequestError(
                code=ErrorCode.DRAINING, step=Step.CALLER_ACCEPT, retry_after_s=0.0
            )
        self.configuration.require_fresh(Step.KEY_CHECK)
        return self.keys.identify(key)

    def _require_still_valid(self, identity: KeyIdentity) -> None:
        """Refuse the answer to a key that was withdrawn while the statement ran.

        The statement has run and is confirmed, so the outcome is RUN.
        """
        try:
            self.keys.require_valid(identity.digest, Step.ANSWER)
        except EbonyladderError as error:
            is_withdrawn = error.code is ErrorCode.KEY_REFUSED
            raise RequestError(
                code=ErrorCode.KEY_WITHDRAWN if is_withdrawn else error.code,
                step=Step.ANSWER,
                outcome=Outcome.RUN,
            ) from error

    def _session_token(self, signed: str, identity: KeyIdentity) -> SessionToken:
        if not signed:
            return SessionToken(organisation=identity.organisation)
        return self.signer.verify(signed, organisation=identity.organisation)

    async def _admit(self, identity: KeyIdentity, deadline_s: float) -> None:
        remaining_s = max(0.0, deadline_s - self.clock.now_s())
        await self.limits.admit(
            identity.organisation, wait_s=min(MAX_RATE_WAIT_S, remaining_s)
        )

    def _group(self, service: ServiceId, partition: str) -> GroupId:
        spec = self.configuration.current.services.get(service)
        if spec is None or not spec.groups:
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                message=f"no service {service!r} with groups",
            )
        return group_of(partition, spec.groups)

    def _decode_transaction(self, encoded: str) -> TransactionAddress:
        """Decode a transaction's address and check it against the configuration."""
        fields = encoded.split("~")
        if len(fields) == len(TransactionAddress._fields):
            address = TransactionAddress(*fields)
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

    def _deadline_s(self, requested_ms: int | None) -> float:
        policy = self.configuration.current.policy
        deadline_ms = (
            policy.default_deadline_ms if requested_ms is None else requested_ms
        )
        return self.clock.now_s() + min(deadline_ms, policy.max_deadline_ms) / 1000

    # Answers.

    def _answer(
        self,
        token: SessionToken,
        group: GroupId | None,
        answer: ForwardAnswer,
        request_id: RequestId,
    ) -> CallerAnswer:
        session = token if group is None else token.advanced(group, answer.at)
        return CallerAnswer(
            rows=answer.rows,
            session=self.signer.sign(session),
            request_id=request_id,
            endpoint=answer.endpoint,
            role=answer.role,
            term=answer.at.term,
            position=answer.at.position,
        )

    def _observe(
        self,
        identity: KeyIdentity | None,
        service: ServiceId,
        request_class: str,
        started_at_s: float,
        error: EbonyladderError | None,
    ) -> None:
        """Count the request in the metrics and in the public status."""
        if identity is not None:
            self.metrics.observe_request(
                organisation=identity.organisation,
                request_class=request_class,
                outcome=error.code.value.code if error else "served",
                seconds=self.clock.now_s() - started_at_s,
            )
        if service not in self.configuration.current.services:
            return
        if error is None:
            self.status.observe(service, CallResult.SERVED)
        elif error.code in CALLER_ERROR_CODES:
            self.status.observe(service, CallResult.REFUSED)
        else:
            self.status.observe(service, CallResult.FAILED)
