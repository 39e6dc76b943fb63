"""Pools for endpoints that another VM owns: statements are forwarded to that VM."""

import asyncio
import itertools

from absl import logging
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import EndpointEntry, Owner
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    Prepared,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.connection import MinPosition, PooledConnection, ReadBound
from ebonyladder.sessions.health import EndpointHealth
from ebonyladder.sessions.messages import (
    MAX_ENCODED_BYTES,
    Envelope,
    ForwardedStatement,
    ForwardReply,
    MessageTooLargeError,
    PositionRequest,
    ReleaseTransaction,
    decode,
    encode_bounded,
)
from ebonyladder.sessions.pool import EndpointConnectionPool
from ebonyladder.types import OrganisationId

# Path of the connections on which statements are forwarded.
FORWARD_PATH = "/forward"
# Longest time to connect to an owner, in seconds.
CONNECT_TIMEOUT_S = 0.6


class OwnerChannel:
    """Connection to one owner; one task receives its replies.

    Parameters
    ----------
    owner : Owner
        VM to connect to.
    """

    def __init__(self, *, owner: Owner) -> None:
        self.owner = owner
        self.connection: ClientConnection | None = None
        self.open_lock = asyncio.Lock()
        # Number of attempts to connect that have failed, and the cause of the last one.
        self.failure_count = 0
        self.failure_cause: Exception | None = None
        self.receiver: asyncio.Task[None] | None = None
        # Requests that wait for a reply, by their ids.
        self.pending: dict[int, asyncio.Future[ForwardReply]] = {}
        # Ids of requests and handles of transactions.
        self.ids = itertools.count(1)

    async def open(self) -> None:
        """Connect, unless the channel is open; those that wait share an attempt.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run.
        """
        failure_count = self.failure_count
        async with self.open_lock:
            if self.connection is not None:
                return
            if self.failure_cause is not None and self.failure_count > failure_count:
                raise self._error(self.failure_cause, Outcome.NOT_RUN)
            try:
                self.connection = await connect(
                    f"ws://{self.owner.address}{FORWARD_PATH}",
                    compression=None,
                    max_size=MAX_ENCODED_BYTES,
                    open_timeout=CONNECT_TIMEOUT_S,
                    close_timeout=0.2,
                    ping_interval=1.0,
                    ping_timeout=1.0,
                    proxy=None,
                )
            except (WebSocketException, OSError, TimeoutError) as error:
                self.failure_count += 1
                self.failure_cause = error
                raise self._error(error, Outcome.NOT_RUN) from error
            self.receiver = asyncio.create_task(self._receive(self.connection))

    async def call(self, envelope: Envelope, request_id: int) -> ForwardReply:
        """Send a message and return its reply.

        Raises
        ------
        EndpointError
            CONNECTION_LOST; the outcome is unknown once the message was sent.
        MessageTooLargeError
            If the message exceeds the size limit; it isn't sent.
        """
        await self.open()
        reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        # Retrieves the exception, since asyncio logs an error if nobody does; the
        # caller may be cancelled when the channel ends.
        reply.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.pending[request_id] = reply
        try:
            await self.send(envelope)
            return await reply
        finally:
            self.pending.pop(request_id, None)

    async def send(self, envelope: Envelope) -> None:
        """Send a message without waiting for a reply."""
        data = encode_bounded(envelope)
        connection = self.connection
        if connection is None:
            raise self._error(ConnectionError("closed"), Outcome.NOT_RUN)
        try:
            await connection.send(data)
        except (WebSocketException, OSError) as error:
            raise self._error(error, Outcome.UNKNOWN) from error

    async def _receive(self, connection: ClientConnection) -> None:
        cause: Exception = ConnectionError("closed")
        try:
            async for data in connection:
                reply = decode(data, ForwardReply)
                pending = self.pending.get(reply.id)
                if pending is not None and not pending.done():
                    pending.set_result(reply)
        except (WebSocketException, OSError, ValueError) as error:
            cause = error
        finally:
            self.connection = None
            # After an invalid reply the connection is still open.
            connection.transport.abort()
            for pending in self.pending.values():
                if not pending.done():
                    pending.set_exception(self._error(cause, Outcome.UNKNOWN))
            logging.info("[owner] Channel ended. vm=%s error=%r", self.owner.vm, cause)

    def close(self) -> None:
        """Close the connection."""
        if self.receiver is not None:
            self.receiver.cancel()
        if self.connection is not None:
            self.connection.transport.abort()

    def _error(self, cause: Exception, outcome: Outcome) -> EndpointError:
        is_sent = outcome is Outcome.UNKNOWN
        return EndpointError(
            code=ErrorCode.CONNECTION_LOST if is_sent else ErrorCode.CONNECT_FAILED,
            step=Step.FORWARD,
            peer=self.owner.vm,
            message=f"connection to the endpoint's owner failed: {cause!r}",
            outcome=outcome,
        )


class OwnerChannels:
    """Channels to owners, one for each owner."""

    def __init__(self) -> None:
        self.channels: dict[Owner, OwnerChannel] = {}

    def get(self, owner: Owner) -> OwnerChannel:
        """Return the channel to an owner, whether open or not."""
        return self.channels.setdefault(owner, OwnerChannel(owner=owner))

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()


class ForwardedConnection(PooledConnection):
    """Logical connection to an endpoint through its owner.

    It pins a connection of the owner only during a transaction.

    Parameters
    ----------
    pool : ForwardingPool
        Pool that the connection belongs to.
    organisation : OrganisationId
        Organisation on whose behalf it is used.
    deadline_s : float
        Deadline of the statement that the connection was acquired for.

    Attributes
    ----------
    handle : int
        Id of the open transaction at the owner; 0 for none.
    """

    def __init__(
        self, *, pool: "ForwardingPool", organisation: OrganisationId, deadline_s: float
    ) -> None:
        self.pool = pool
        self.endpoint = pool.entry.id
        self.organisation = organisation
        self.deadline_s = deadline_s
        self.values: dict[str, str] = {}
        self.handle = 0
        self.is_open = True

    def set_variables(self, values: dict[str, str], deadline_s: float) -> None:
        """Set the variables and the deadline that are sent with the next command."""
        self.values = values
        self.deadline_s = deadline_s

    async def begin(
        self, command: Command, *, min_position: MinPosition = None
    ) -> Answer:
        """Open a transaction at the owner."""
        self.handle = next(self.pool.channel.ids)
        answer = await self._forward(command, min_position, None, is_begin=True)
        if answer.state is not TransactionState.OPEN:
            self.handle = 0
        return answer

    async def run(
        self,
        command: Command,
        *,
        min_position: MinPosition = None,
        prepared: Prepared | None = None,
    ) -> Answer:
        """Run a command at the owner."""
        answer = await self._forward(command, min_position, prepared, is_begin=False)
        if answer.state is TransactionState.IDLE:
            self.handle = 0
        return answer

    def close(self) -> None:
        """Close the connection; the owner rolls back an open transaction."""
        if not self.is_open:
            return
        self.is_open = False
        if self.handle:
            self.pool.release_handle(self.handle)

    async def _forward(
        self,
        command: Command,
        min_position: MinPosition,
        prepared: Prepared | None,
        *,
        is_begin: bool,
    ) -> Answer:
        channel = self.pool.channel
        request_id = next(channel.ids)
        forward = ForwardedStatement(
            id=request_id,
            endpoint=self.endpoint,
            organisation=self.organisation,
            command=command,
            remaining_s=max(self.deadline_s - self.pool.clock.now_s(), 0.0),
            values=self.values,
            handle=self.handle,
            is_begin=is_begin,
            needs_primary=min_position is None and (is_begin or not self.handle),
            read_bound=min_position if isinstance(min_position, ReadBound) else None,
            prepared=prepared,
        )
        try:
            reply = await channel.call(Envelope(forward=forward), request_id)
        except MessageTooLargeError as error:
            return refusal(
                AnswerCode.MALFORMED,
                f"the statement with the session's values is too large: {error}",
                state=self._state(is_begin=is_begin),
            )
        except BaseException:
            self.close()
            raise
        self.pool.owner_load = reply.load
        if reply.failure is not None:
            self.close()
            raise reply.failure.to_error()
        return reply.answer

    def _state(self, *, is_begin: bool) -> TransactionState:
        has_transaction = self.handle and not is_begin
        return TransactionState.OPEN if has_transaction else TransactionState.IDLE


class ForwardingPool(EndpointConnectionPool):
    """Forwards statements to the owner of an endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        Entry of the endpoint.
    owner : Owner
        VM that holds its connections.
    channel : OwnerChannel
        Channel to that VM.
    clock : Clock
        Clock of deadlines.
    """

    def __init__(
        self, *, entry: EndpointEntry, owner: Owner, channel: OwnerChannel, clock: Clock
    ) -> None:
        self.entry = entry
        self.owner = owner
        self.channel = channel
        self.clock = clock
        self.health = EndpointHealth(clock=clock)
        self.running = 0
        self.owner_load = 0.0
        self.release_tasks: set[asyncio.Task[None]] = set()

    @property
    def load(self) -> float:
        """Statements at the endpoint per slot, as its owner last reported."""
        return self.owner_load + self.running / max(self.entry.slots, 1)

    async def acquire(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> ForwardedConnection:
        """Return a connection; the owner acquires its own with the first command."""
        try:
            await self.channel.open()
        except EndpointError:
            self.health.mark_unreachable()
            raise
        return ForwardedConnection(
            pool=self, organisation=organisation, deadline_s=deadline_s
        )

    def release(self, connection: PooledConnection) -> None:
        """Close the connection."""
        connection.close()

    def release_handle(self, handle: int) -> None:
        """Let the owner roll back a transaction, without waiting for it."""
        task = asyncio.create_task(self._release(handle))
        self.release_tasks.add(task)
        task.add_done_callback(self.release_tasks.discard)

    async def _release(self, handle: int) -> None:
        try:
            await self.channel.send(Envelope(release=ReleaseTransaction(handle=handle)))
        except EndpointError as error:
            # The owner also rolls back when its connection to this VM ends.
            logging.info("[owner] Transaction could not be released. error=%s", error)

    async def probe(self) -> bool:
        """Tell whether the owner can be reached."""
        try:
            await self.channel.open()
        except EndpointError:
            return False
        return True

    async def sample(self) -> ForwardReply:
        """Request a recent log position of the service's primary from the owner."""
        request_id = next(self.channel.ids)
        request = PositionRequest(id=request_id, service=self.entry.service)
        return await self.channel.call(Envelope(sample=request), request_id)

    def close(self) -> None:
        """Do nothing: the channel is shared by all pools of the owner."""
