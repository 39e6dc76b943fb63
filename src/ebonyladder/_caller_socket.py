"""One WebSocket of a caller: its calls in flight and open transactions."""

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
    """What a frame asks for; the bodies are those of the HTTP routes."""

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
        Number that the answer carries.
    action : SocketAction
        What to do.
    service : str
        Service of a statement or of a new transaction.
    transaction : str
        Transaction of a later step.
    body : msgspec.Raw
        Body, as that of the HTTP route.
    """

    id: int
    body: msgspec.Raw
    action: SocketAction = SocketAction.STATEMENT
    service: str = ""
    transaction: str = ""


class _Number(msgspec.Struct):
    """Number of a frame whose other fields may be wrong."""

    id: int = 0


class CallerSocket:
    """Serve the frames of one WebSocket until it closes.

    Parameters
    ----------
    socket : web.WebSocketResponse
        Open WebSocket.
    calls : CallerCalls
        Runs the calls.
    key : str
        Key with which the caller connected.
    holder : KeyIdentity
        Holder of the key when the caller connected.
    max_calls : int
        Greatest number of calls in flight; further ones are refused.
    """

    def __init__(
        self,
        *,
        socket: web.WebSocketResponse,
        calls: CallerCalls,
        key: str,
        holder: KeyIdentity,
        max_calls: int = MAX_CALLS_IN_FLIGHT,
    ) -> None:
        self.socket = socket
        self.calls = calls
        self.key = key
        self.holder = holder
        self.max_calls = max_calls
        self.in_flight = 0
        self.transactions: set[str] = set()
        self.has_ended = False

    async def serve(self, request: web.Request) -> None:
        """Run one task for each call; returns once all of them have ended."""
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
                    # Sent by the reading task, which reads no further meanwhile.
                    await self._send(request, _number_of(raw), self._too_many())
            self.has_ended = True
            for transaction in list(self.transactions):
                self._note_ended(transaction)
                calls.create_task(self._roll_back(transaction))

    def _too_many(self) -> Reply:
        return self.calls.refuse(
            refused(
                ErrorCode.OVERLOADED,
                f"more than {self.max_calls} calls are in flight on the connection",
            )
        )

    async def _run(self, request: web.Request, raw: bytes) -> None:
        try:
            reply = await self.calls.run(lambda name: self._call(raw, name))
            await self._send(request, _number_of(raw), reply)
        finally:
            self.in_flight -= 1

    async def _call(self, raw: bytes, name: RequestId) -> CallerAnswer:
        call = decode_body(raw, SocketCall)
        gateway, service = self.calls.gateway, ServiceId(call.service)
        body = bytes(call.body)
        if call.action is SocketAction.STATEMENT:
            asked = decode_body(body, CallerStatement)
            return await gateway.run_statement(self.key, service, asked, name)
        if call.action is SocketAction.BEGIN:
            begun = decode_body(body, CallerTransaction)
            answer = await gateway.begin(self.key, service, begun, name)
            await self._note_begun(answer.transaction)
            return answer
        action = TransactionAction(call.action.value)
        step = decode_body(body, CallerStep)
        answer = await gateway.run_step(self.key, call.transaction, action, step, name)
        if action is not TransactionAction.EXECUTE:
            self._note_ended(call.transaction)
        return answer

    async def _note_begun(self, transaction: str) -> None:
        if self.has_ended:
            await self._roll_back(transaction)
        else:
            self.transactions.add(transaction)
            self.calls.enter()

    def _note_ended(self, transaction: str) -> None:
        if transaction in self.transactions:
            self.transactions.remove(transaction)
            self.calls.leave()

    async def _roll_back(self, transaction: str) -> None:
        """Roll back a transaction whose caller has gone."""
        try:
            await self.calls.gateway.roll_back(self.holder, transaction)
        except EbonyladderError as error:
            # The owner rolls it back when the transaction's time is over.
            logging.info("[callers] Rollback was not delivered. error=%s", error)

    async def _send(self, request: web.Request, number: int, reply: Reply) -> None:
        """Send a reply; the connection of a caller that stops reading is closed."""
        if self.socket.closed:
            return
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self.socket.send_str(
                    f'{{"id":{number},"body":{reply.body.decode()}}}'
                )
        except TimeoutError:
            logging.info("[callers] Caller has stopped reading. frame=%d", number)
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError:
            logging.info("[callers] Answer was not delivered. frame=%d", number)


def _number_of(raw: bytes) -> int:
    """Return the number of a frame, 0 where it cannot be read."""
    try:
        return msgspec.json.decode(raw, type=_Number).id
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        return 0
