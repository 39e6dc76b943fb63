"""Open connection between two VMs."""

import asyncio

from absl import logging
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ebonyladder._chunks import CHUNK_BYTES, MAX_MESSAGE_BYTES, FrameReader, split
from ebonyladder._codec import encode, error_of
from ebonyladder.kernel.error import ErrorCode, Outcome, PeerError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Failure, Message
from ebonyladder.peer import PeerIdentity


class ConnectionWriter:
    """Send messages on one peer connection.

    Parameters
    ----------
    socket : Connection
        Authenticated WebSocket.
    """

    def __init__(self, *, socket: Connection) -> None:
        self.socket = socket
        # The receiver reassembles only one large frame at a time.
        self.large_frame_lock = asyncio.Lock()

    async def send(self, number: int, message: Message) -> None:
        """Send one message, a large one in chunks.

        Raises
        ------
        PeerError
            ANSWER_TOO_LARGE if the message is too large, before anything is
            sent. The outcome is RUN, since only answers can be that large.
        """
        data = encode(number, message)
        if len(data) <= CHUNK_BYTES:
            await self.socket.send(data)
            return
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(
                code=ErrorCode.ANSWER_TOO_LARGE,
                step=Step.PEER_CALL,
                message=f"{len(data)} bytes, {MAX_MESSAGE_BYTES} bytes allowed",
                outcome=Outcome.RUN,
            )
        async with self.large_frame_lock:
            for chunk in split(number, data):
                await self.socket.send(chunk)


class PeerConnection:
    """Open connection to one peer; answers are matched to calls by number.

    Parameters
    ----------
    socket : Connection
        Authenticated WebSocket.
    identity : PeerIdentity
        Peer at the other end.
    """

    def __init__(self, *, socket: Connection, identity: PeerIdentity) -> None:
        self.socket = socket
        self.identity = identity
        self.writer = ConnectionWriter(socket=socket)
        self.number = 0
        self.pending: dict[int, asyncio.Future[Message]] = {}

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send one message and return its answer."""
        self.number += 1
        number = self.number
        answer = asyncio.get_running_loop().create_future()
        self.pending[number] = answer
        try:
            await self.writer.send(number, message)
            async with asyncio.timeout(timeout_s):
                return await answer
        except (ConnectionClosed, TimeoutError) as error:
            raise PeerError(
                code=ErrorCode.PEER_LOST,
                step=Step.PEER_CALL,
                peer=self.identity.vm,
                message=f"no answer from the peer: {error!r}",
            ) from error
        finally:
            del self.pending[number]

    async def read_answers(self) -> None:
        """Resolve calls with their answers until the connection closes."""
        reader = FrameReader(peer=self.identity.vm)
        try:
            async for data in self.socket:
                frame = reader.read(data)
                if frame is None:
                    continue
                answer = self.pending.get(frame.number)
                if answer is None or answer.done():
                    continue
                if isinstance(frame.message, Failure):
                    answer.set_exception(error_of(frame.message))
                else:
                    answer.set_result(frame.message)
        except (ConnectionClosed, PeerError) as error:
            logging.info(
                "[peer] Connection closed. peer=%s error=%s", self.identity.vm, error
            )
        finally:
            await self.socket.close()
            self._fail_pending()

    def _fail_pending(self) -> None:
        for answer in self.pending.values():
            if not answer.done():
                answer.set_exception(
                    PeerError(
                        code=ErrorCode.PEER_LOST,
                        step=Step.PEER_CALL,
                        peer=self.identity.vm,
                    )
                )
