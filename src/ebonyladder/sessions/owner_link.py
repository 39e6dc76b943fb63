"""Links to endpoints whose connections another VM holds."""

import asyncio
import itertools

from absl import logging
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import EndpointEntry, Owner
from ebonyladder.sessions.command import Answer, Command, Prepared, TransactionState
from ebonyladder.sessions.connection import MinPosition, PooledConnection, ReadBound
from ebonyladder.sessions.health import EndpointHealth
from ebonyladder.sessions.messages import (
    Envelope,
    ForwardedStatement,
    ForwardReply,
    PositionRequest,
    ReleaseTransaction,
    decode,
    encode,
)
from ebonyladder.sessions.pool import EndpointConnectionPool
from ebonyladder.types import OrganisationId

# Path of the connections on which statements are forwarded.
FORWARD_PATH = "/forward"
# Time to connect to an owner, in seconds.
CONNECT_LIMIT_S = 0.6
MESSAGE_LIMIT = 4 * 1024 * 1024


class OwnerChannel:
    """Connection to one owner; one task receives its replies.

    Parameters
    ----------
    owner : Owner
        VM at the far end.
    """

    def __init__(self, *, owner: Owner) -> None:
        self.owner = owner
        self.connection: ClientConnection | None = None
        self.opening = asyncio.Lock()
        self.receiver: asyncio.Task[None] | None = None
        self.waiting: dict[int, asyncio.Future[ForwardReply]] = {}
        self.numbers = itertools.count(1)

    async def open(self) -> None:
        """Connect, unless the channel is open.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run.
        """
        async with self.opening:
            if self.connection is not None:
                return
            try:
                self.connection = await connect(
                    f"ws://{self.owner.address}{FORWARD_PATH}",
                    compression=None,
                    max_size=MESSAGE_LIMIT,
                    open_timeout=CONNECT_LIMIT_S,
                    close_timeout=0.2,
                    ping_interval=1.0,
                    ping_timeout=1.0,
                    proxy=None,
                )
            except (WebSocketException, OSError, TimeoutError) as error:
                raise self._error(error, Outcome.NOT_RUN) from error
            self.receiver = asyncio.create_task(self._receive(self.connection))

    async def call(self, envelope: Envelope, number: int) -> ForwardReply:
        """Send a message and return its reply.

        Raises
        ------
        EndpointError
            CONNECTION_LOST; the outcome is unknown once the message was sent.
        """
        await self.open()
        reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        # The caller may be cancelled at the moment at which the channel ends.
        reply.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.waiting[number] = reply
        try:
            await self.send(envelope)
            return await reply
        finally:
            self.waiting.pop(number, None)

    async def send(self, envelope: Envelope) -> None:
        """Send a message that has no reply."""
        connection = self.connection
        if connection is None:
            raise self._error(ConnectionError("closed"), Outcome.NOT_RUN)
        try:
            await connection.send(encode(envelope))
        except (WebSocketException, OSError) as error:
            raise self._error(error, Outcome.UNKNOWN) from error

    async def _receive(self, connection: ClientConnection) -> None:
        cause: Exception = ConnectionError("closed")
        try:
            async for data in connection:
                reply = decode(data, ForwardReply)
                waiting = self.waiting.get(reply.id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(reply)
        except (WebSocketException, OSError, ValueError) as error:
            cause = error
        finally:
            self.connection = None
            for waiting in self.waiting.values():
                if not waiting.done():
                    waiting.set_exception(self._error(cause, Outcome.UNKNOWN))
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
            message=f"no way to the endpoint's owner: {cause!r}",
            outcome=outcome,
        )


class OwnerChannels:
    """Channels to owners, one for each VM."""

    def __init__(self) -> None:
        self.channels: dict[Owner, OwnerChannel] = {}

    def get(self, owner: Owner) -> OwnerChannel:
        """Return the channel to an owner, opened or not."""
        return self.channels.setdefault(owner, OwnerChannel(owner=owner))

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()


class ForwardedConnection(PooledConnection):
    """Link through an endpoint's owner; holds a transaction there, or nothing.

    Parameters
    ----------
    pool : ForwardingPool
        Pool that the link belongs to.
    organisation : OrganisationId
        Organisation on whose behalf it is used.
    deadline_s : float
        Deadline of the statement that the link was taken for.
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
        """Send these values, and the time that is left, with the next command."""
        self.values = values
        self.deadline_s = deadline_s

    async def begin(
        self, command: Command, *, min_position: MinPosition = None
    ) -> Answer:
        """Open a transaction at the owner."""
        self.handle = next(self.pool.channel.numbers)
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
        """Let the owner roll the transaction back."""
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
        number = next(channel.numbers)
        forward = ForwardedStatement(
            id=number,
            endpoint=self.endpoint,
            organisation=self.organisation,
            command=command,
            left_s=max(self.deadline_s - self.pool.clock.now_s(), 0.0),
            values=self.values,
            handle=self.handle,
            is_begin=is_begin,
            needs_primary=min_position is None and (is_begin or not self.handle),
            after=min_position if isinstance(min_position, ReadBound) else None,
            prepared=prepared,
        )
        try:
            reply = await channel.call(Envelope(forward=forward), number)
        except BaseException:
            self.close()
            raise
        self.pool.owner_load = reply.load
        if reply.failure is not None:
            self.close()
            raise reply.failure.error()
        return reply.answer


class ForwardingPool(EndpointConnectionPool):
    """Links of this VM to an endpoint that another VM owns.

    Parameters
    ----------
    entry : EndpointEntry
        Endpoint at the far end.
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
        self.releases: set[asyncio.Task[None]] = set()

    @property
    def load(self) -> float:
        """Statements at the endpoint for each slot, as its owner said last."""
        return self.owner_load + self.running / max(self.entry.slots, 1)

    async def acquire(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> ForwardedConnection:
        """Return a link; the owner's connection is taken with the first command."""
        try:
            await self.channel.open()
        except EndpointError:
            self.health.mark_unreachable()
            raise
        return ForwardedConnection(
            pool=self, organisation=organisation, deadline_s=deadline_s
        )

    def release(self, connection: PooledConnection) -> None:
        """End the link."""
        connection.close()

    def release_handle(self, handle: int) -> None:
        """Tell the owner that a transaction has ended."""
        task = asyncio.create_task(self._release(handle))
        self.releases.add(task)
        task.add_done_callback(self.releases.discard)

    async def _release(self, handle: int) -> None:
        try:
            await self.channel.send(Envelope(release=ReleaseTransaction(handle=handle)))
        except EndpointError as error:
            # The owner rolls back when its connection to this VM ends.
            logging.info("[owner] Transaction isn't released. error=%s", error)

    async def probe(self) -> bool:
        """Tell whether the owner can be reached."""
        try:
            await self.channel.open()
        except EndpointError:
            return False
        return True

    async def sample(self) -> ForwardReply:
        """Ask the owner for a recent log position of the endpoint."""
        number = next(self.channel.numbers)
        request = PositionRequest(id=number, service=self.entry.service)
        return await self.channel.call(Envelope(sample=request), number)

    def close(self) -> None:
        """Leave the channel to the other pools of this owner."""
