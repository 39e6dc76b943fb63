"""One open link between two VMs."""

import asyncio

from absl import logging
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ebonyladder._codec import encode, error_of
from ebonyladder._parts import MESSAGE_LIMIT_BYTES, PART_BYTES, FrameReader, split
from ebonyladder.kernel.error import ErrorCode, Outcome, PeerError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Failure, Message
from ebonyladder.peer import PeerIdentity


class LinkWriter:
    """Send messages on one link.

    Parameters
    ----------
    socket : Connection
        Authenticated WebSocket.
    """

    def __init__(self, *, socket: Connection) -> None:
        self.socket = socket
        # The receiver holds the parts of one large frame only.
        self.large = asyncio.Lock()

    async def send(self, number: int, message: Message) -> None:
        """Send one message, a large one in parts.

        Raises
        ------
        PeerError
            ANSWER_TOO_LARGE if nothing was sent because of the size; its
            outcome is RUN, since only answers can be as large.
        """
        data = encode(number, message)
        if len(data) <= PART_BYTES:
            await self.socket.send(data)
            return
        if len(data) > MESSAGE_LIMIT_BYTES:
            raise PeerError(
                code=ErrorCode.ANSWER_TOO_LARGE,
                step=Step.PEER_CALL,
                message=f"{len(data)} bytes exceed {MESSAGE_LIMIT_BYTES} of a link",
                outcome=Outcome.RUN,
            )
        async with self.large:
            for part in split(number, data):
                await self.socket.send(part)


class PeerLink:
    """Open link to one peer; answers are matched to calls by number.

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
        self.writer = LinkWriter(socket=socket)
        self.number = 0
        self.waiting: dict[int, asyncio.Future[Message]] = {}

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send one message and return the answer to it."""
        self.number += 1
        number = self.number
        answer = asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
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
            del self.waiting[number]

    async def read_answers(self) -> None:
        """Hand each answer to its call until the link ends."""
        reader = FrameReader(peer=self.identity.vm)
        try:
            async for data in self.socket:
                frame = reader.read(data)
                if frame is None:
                    continue
                answer = self.waiting.get(frame.number)
                if answer is None or answer.done():
                    continue
                if isinstance(frame.message, Failure):
                    answer.set_exception(error_of(frame.message))
                else:
                    answer.set_result(frame.message)
        except (ConnectionClosed, PeerError) as error:
            logging.info(
                "[peer] Link has ended. peer=%s error=%s", self.identity.vm, error
            )
        finally:
            await self.socket.close()
            self._fail_waiting()

    def _fail_waiting(self) -> None:
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(
                    PeerError(
                        code=ErrorCode.PEER_LOST,
                        step=Step.PEER_CALL,
                        peer=self.identity.vm,
                    )
                )
