"""WebSocket of a caller: its calls in flight and its open transactions."""

import asyncio
from enum import Enum

import msgspec
from absl import logging
from aiohttp import WSMsgType, web

from ebonyladder._caller_calls import CallerCalls
from ebonyladder._caller_codec import Reply, decode_body, refused
from ebonyladder.caller import (
    CallerAnswer,
    CallerStatement,
    CallerStep,
    CallerTransaction,
)
from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.keys import KeyIdentity
from ebonyladder.messages import TransactionAction
from ebonyladder.types import RequestId, ServiceId

MAX_CALLS_IN_FLIGHT = 64
SEND_TIMEOUT_S = 10.0


class SocketAction(Enum):
    """Action that a frame requests; the bodies are those of the HTTP routes."""

    STATEMENT = "statement"
    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class SocketCall(msgspec.Struct, kw_only=True):
    """Frame of a caller's WebSocket.

    Attributes
    ----------
    id : int
        Number of the call, which its answer repeats.
    action : SocketAction
        Action to run.
    service : str
        Service of a statement or of a new transaction.
    transaction : str
        Transaction of a later step.
    body : msgspec.Raw
        Body as for the HTTP route.
    """

    id: int
    body: msgspec.Raw
    action: SocketAction = SocketAction.STATEMENT
    service: str = ""
    transaction: str = ""


class _FrameId(msgspec.Struct):
    """Id of a frame whose other fields may be invalid."""

    id: int = 0


class CallerSocket:
    """Serve the frames of one WebSocket until it closes.

    Parameters
    ----------
    socket : web.WebSocketResponse
        Open WebSocket.
    calls : CallerCalls
        Runner of the calls.
    key : str
        Key with which the caller connected.
    identity : KeyIdentity
        Identity behind the key when the caller connected.
    max_calls : int
        Maximum number of calls in flight; further ones are refused.
    """

    def __init__(
        self,
        *,
        socket: web.WebSocketResponse,
        calls: CallerCalls,
        key: str,
        identity: KeyIdentity,
        max_calls: int = MAX_CALLS_IN_FLIGHT,
    ) -> None:
        self.socket = socket
        self.calls = calls
        self.key = key
        self.identity = identity
        self.max_calls = max_calls
        self.in_flight = 0
        self.transactions: set[str] = set()
        self.is_closed = False

    async def serve(self, request: web.Request) -> None:
        """Run one task for each call until the WebSocket and all calls have ended."""
        async with asyncio.TaskGroup() as calls:
            async for frame in self.socket:
                if frame.type not in (WSMsgType.TEXT, WSMsgType.BINARY):
                    continue
                data = frame.data
                raw = data.encode() if isinstance(data, str) else data
                if self.in_flight < self.max_calls:
                    self.in_flight += 1
                    calls.create_task(self._run(request, raw))
                else:
                    # Sent by the reading task, so no further frame is read meanwhile.
                    await self._send(request, _frame_id(raw), self._overload_reply())
            self.is_closed = True
            for transaction in list(self.transactions):
                self._record_ended(transaction)
                calls.create_task(self._roll_back(transaction))

    def _overload_reply(self) -> Reply:
        return self.calls.refuse(
            refused(
                ErrorCode.OVERLOADED,
                f"more than {self.max_calls} calls are in flight on the connection",
            )
        )

    async def _run(self, request: web.Request, raw: bytes) -> None:
        try:
            reply = await self.calls.run(lambda request_id: self._call(raw, request_id))
            await self._send(request, _frame_id(raw), reply)
        finally:
            self.in_flight -= 1

    async def _call(self, raw: bytes, request_id: RequestId) -> CallerAnswer:
        call = decode_body(raw, SocketCall)
        gateway, service = self.calls.gateway, ServiceId(call.service)
        body = bytes(call.body)
        if call.action is SocketAction.STATEMENT:
            statement = decode_body(body, CallerStatement)
            return await gateway.run_statement(self.key, service, statement, request_id)
        if call.action is SocketAction.BEGIN:
            begin = decode_body(body, CallerTransaction)
            answer = await gateway.begin(self.key, service, begin, request_id)
            await self._record_begun(answer.transaction)
            return answer
        action = TransactionAction(call.action.value)
        step = decode_body(body, CallerStep)
        answer = await gateway.run_step(
            self.key, call.transaction, action, step, request_id
        )
        if action is not TransactionAction.EXECUTE:
            self._record_ended(call.transaction)
        return answer

    async def _record_begun(self, transaction: str) -> None:
        if self.is_closed:
            await self._roll_back(transaction)
        else:
            self.transactions.add(transaction)
            self.calls.begin_work()

    def _record_ended(self, transaction: str) -> None:
        if transaction in self.transactions:
            self.transactions.remove(transaction)
            self.calls.end_work()

    async def _roll_back(self, transaction: str) -> None:
        """Roll back a transaction whose caller has disconnected."""
        try:
            await self.calls.gateway.roll_back(self.identity, transaction)
        except EbonyladderError as error:
            # The owner rolls it back after the transaction's time limit.
            logging.info("[callers] Rollback was not delivered. error=%s", error)

    async def _send(self, request: web.Request, frame_id: int, reply: Reply) -> None:
        """Send a reply; close the connection if the caller has stopped reading."""
        if self.socket.closed:
            return
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self.socket.send_str(
                    f'{{"id":{frame_id},"body":{reply.body.decode()}}}'
                )
        except TimeoutError:
            logging.info("[callers] Caller has stopped reading. frame=%d", frame_id)
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError:
            logging.info("[callers] Answer was not delivered. frame=%d", frame_id)


def _frame_id(raw: bytes) -> int:
    """Return the id of a frame, 0 if it cannot be decoded."""
    try:
        return msgspec.json.decode(raw, type=_FrameId).id
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        return 0
