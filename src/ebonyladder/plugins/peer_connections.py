"""Connections between VMs: WebSockets with CBOR frames, one task for each."""

import asyncio
import secrets
import time
from contextlib import suppress
from ssl import SSLContext
from typing import ClassVar, cast

from absl import logging
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from ebonyladder._chunks import FrameReader
from ebonyladder._codec import (
    MAX_FRAME_BYTES,
    Frame,
    decode,
    encode,
    error_of,
    failure_of,
)
from ebonyladder._handshake import proof_of, require_proof
from ebonyladder._peer_connection import ConnectionWriter, PeerConnection
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, PeerError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.membership import Membership
from ebonyladder.messages import Failure, Hello, Message, Proof, Welcome
from ebonyladder.peer import Handler, PeerConnections, PeerIdentity
from ebonyladder.settings import split_address
from ebonyladder.tls import client_context, server_context
from ebonyladder.types import Address, HopId, Incarnation, VmId

OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0
NONCE_BYTES = 16
HANDSHAKE_NUMBER = 0


@register
class WebSocketPeerConnections(Plugin, PeerConnections):
    """Calls between VMs over authenticated WebSockets.

    The first call to a peer opens a connection, which carries calls in one
    direction. A one-way partition thus affects only one of the two connections.
    """

    name: ClassVar[str] = "peer-links"
    provides: ClassVar[tuple[type, ...]] = (PeerConnections,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        # In milliseconds, so that a restarted daemon has a greater number than before.
        self.incarnation = Incarnation(time.time_ns() // 1_000_000)
        self.secret = kernel.settings.fleet_secret()
        self.handlers: dict[type[Message], Handler] = {}
        self.connections: dict[Address, PeerConnection] = {}
        self.opening: dict[Address, asyncio.Task[PeerConnection]] = {}
        self.server: Server | None = None
        self.client_tls: SSLContext | None = None
        self.hop_count = 0

    async def start(self) -> None:
        """Listen for peers."""
        host, port = split_address(self.kernel.settings.peer)
        tls = self.kernel.settings.peer_tls
        self.client_tls = client_context(self.kernel, tls)
        self.server = await serve(
            self._accept,
            host,
            port,
            ssl=server_context(self.kernel, tls),
            max_size=MAX_FRAME_BYTES,
            compression=None,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        )

    async def stop(self) -> None:
        """Close all connections and the listening socket."""
        for connection in list(self.connections.values()):
            await connection.socket.close()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler that answers messages of one type."""
        self.handlers[message_type] = handler

    def next_hop(self) -> HopId:
        """Return a new, unique hop id."""
        self.hop_count += 1
        return HopId(
            vm=self.kernel.settings.vm,
            incarnation=self.incarnation,
            number=self.hop_count,
        )

    async def identify(self, vm: VmId, *, timeout_s: float) -> PeerIdentity:
        """Return the peer of the connection to a VM; opens one if there is none."""
        return (await self._connection_to(vm, timeout_s)).identity

    async def call(
        self,
        vm: VmId,
        message: Message,
        *,
        timeout_s: float,
        incarnation: Incarnation | None = None,
    ) -> Message:
        """Send a message to a VM and return its answer."""
        connection = await self._connection_to(vm, timeout_s)
        actual = connection.identity
        if incarnation is not None and (actual.vm, actual.incarnation) != (
            vm,
            incarnation,
        ):
            raise PeerError(code=ErrorCode.PEER_REPLACED, step=Step.PEER_CALL, peer=vm)
        return await connection.call(message, timeout_s)

    async def _connection_to(self, vm: VmId, timeout_s: float) -> PeerConnection:
        address = self.kernel.get(Membership).address_of(vm)
        if address is None:
            raise _unreachable(vm, "address of the VM is not known")
        return self.connections.get(address) or await self._open_once(
            address, timeout_s
        )

    async def call_address(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message to an address and return the answer."""
        connection = self.connections.get(address)
        if connection is None:
            connection = await self._open_once(address, timeout_s)
        return await connection.call(message, timeout_s)

    async def _open_once(self, address: Address, timeout_s: float) -> PeerConnection:
        task = self.opening.get(address)
        if task is None:
            task = asyncio.create_task(self._open(address))
            self.opening[address] = task
            task.add_done_callback(lambda done: self._finish_open(address, done))
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            raise _unreachable(address, "opening the connection timed out") from None

    def _finish_open(
        self, address: Address, task: asyncio.Task[PeerConnection]
    ) -> None:
        self.opening.pop(address, None)
        if not task.cancelled() and task.exception() is not None:
            logging.info("[peer] Connection failed. error=%s", task.exception())

    async def _open(self, address: Address) -> PeerConnection:
        """Open and authenticate a connection, then start its reading task."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                socket = await connect(
                    f"{'wss' if self.client_tls else 'ws'}://{address}/",
                    ssl=self.client_tls,
                    max_size=MAX_FRAME_BYTES,
                    compression=None,
                    proxy=None,
                    close_timeout=CLOSE_TIMEOUT_S,
                    ping_interval=PING_INTERVAL_S,
                    ping_timeout=PING_TIMEOUT_S,
                )
                try:
                    identity = await self._client_handshake(socket, address)
                except BaseException:
                    socket.transport.abort()
                    raise
        except (OSError, TimeoutError, WebSocketException) as error:
            raise _unreachable(address, f"connection failed: {error!r}") from error
        connection = PeerConnection(socket=socket, identity=identity)
        self.connections[address] = connection
        task = self.kernel.spawn(connection.read_answers(), name=f"peer-{identity.vm}")
        task.add_done_callback(lambda _: self._remove(address, connection))
        return connection

    def _remove(self, address: Address, connection: PeerConnection) -> None:
        if self.connections.get(address) is connection:
            del self.connections[address]

    async def _client_handshake(
        self, socket: Connection, address: Address
    ) -> PeerIdentity:
        """Authenticate both sides with the fleet secret; return the peer."""
        settings = self.kernel.settings
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(
            vm=settings.vm,
            zone=settings.zone,
            incarnation=self.incarnation,
            address=settings.peer,
            nonce=nonce,
        )
        await socket.send(encode(HANDSHAKE_NUMBER, hello))
        welcome = decode(await socket.recv(), peer=address).message
        if isinstance(welcome, Failure):
            raise error_of(welcome)
        if not isinstance(welcome, Welcome):
            raise _refused(address, "expected a welcome")
        require_proof(self.secret, nonce, welcome.vm, welcome.proof)
        proof = Proof(proof=proof_of(self.secret, welcome.nonce, settings.vm))
        await socket.send(encode(HANDSHAKE_NUMBER, proof))
        return PeerIdentity(welcome.vm, welcome.zone, welcome.incarnation, address)

    async def _accept(self, socket: ServerConnection) -> None:
        """Authenticate one peer and answer its calls until the connection closes."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                identity = await self._server_handshake(socket)
        except EbonyladderError as error:
            logging.warning("[peer] Peer was refused. error=%s", error)
            failure = failure_of(error, peer=self.kernel.settings.vm)
            await socket.send(encode(HANDSHAKE_NUMBER, failure))
            return
        except (ConnectionClosed, TimeoutError):
            return
        # The task group of the calls raises its errors as an exception group.
        try:
            await self._answer_calls(socket, identity)
        except* ConnectionClosed:
            logging.info("[peer] Connection of a peer closed. peer=%s", identity.vm)
        except* PeerError as group:
            error = cast(PeerError, group.exceptions[0])
            logging.warning("[peer] Frame was refused. error=%s", error)
            failure = failure_of(error, peer=self.kernel.settings.vm)
            with suppress(ConnectionClosed):
                await socket.send(encode(HANDSHAKE_NUMBER, failure))

    async def _server_handshake(self, socket: ServerConnection) -> PeerIdentity:
        settings = self.kernel.settings
        hello = decode(await socket.recv(), peer="unknown").message
        if not isinstance(hello, Hello):
            raise _refused("unknown", "expected a hello")
        nonce = secrets.token_bytes(NONCE_BYTES)
        welcome = Welcome(
            vm=settings.vm,
            zone=settings.zone,
            incarnation=self.incarnation,
            nonce=nonce,
            proof=proof_of(self.secret, hello.nonce, settings.vm),
        )
        await socket.send(encode(HANDSHAKE_NUMBER, welcome))
        proof = decode(await socket.recv(), peer=hello.vm).message
        if not isinstance(proof, Proof):
            raise _refused(hello.vm, "expected a proof")
        require_proof(self.secret, nonce, hello.vm, proof.proof)
        return PeerIdentity(hello.vm, hello.zone, hello.incarnation, hello.address)

    async def _answer_calls(
        self, socket: ServerConnection, identity: PeerIdentity
    ) -> None:
        """Run one task for each call, so that a slow call delays no other."""
        reader, writer = FrameReader(peer=identity.vm), ConnectionWriter(socket=socket)
        async with asyncio.TaskGroup() as calls:
            async for data in socket:
                frame = reader.read(data)
                if frame is not None:
                    calls.create_task(self._answer(writer, identity, frame))

    async def _answer(
        self,
        writer: ConnectionWriter,
        identity: PeerIdentity,
        frame: Frame,
    ) -> None:
        answer: Message
        message = frame.message
        try:
            handler = self.handlers.get(type(message))
            if handler is None:
                raise _refused(identity.vm, f"no handler for {type(message).__name__}")
            answer = await handler(identity, message)
        except EbonyladderError as error:
            answer = failure_of(error, peer=self.kernel.settings.vm)
        except Exception as error:  # noqa: BLE001
            logging.exception("[peer] Call failed. peer=%s", identity.vm)
            answer = failure_of(
                PeerError(
                    code=ErrorCode.INTERNAL, step=Step.PEER_CALL, message=repr(error)
                ),
                peer=self.kernel.settings.vm,
            )
        try:
            try:
                await writer.send(frame.number, answer)
            except PeerError as error:
                failure = failure_of(error, peer=self.kernel.settings.vm)
                await writer.send(frame.number, failure)
        except ConnectionClosed:
            logging.info("[peer] Answer was not delivered. peer=%s", identity.vm)


def _refused(peer: str, message: str) -> PeerError:
    return PeerError(
        code=ErrorCode.PEER_REFUSED, step=Step.PEER_HELLO, peer=peer, message=message
    )


def _unreachable(peer: str, message: str) -> PeerError:
    return PeerError(
        code=ErrorCode.PEER_UNREACHABLE,
        step=Step.PEER_CALL,
        peer=peer,
        message=message,
    )
