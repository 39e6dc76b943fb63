"""Endpoint driver for JSON over WebSocket, one statement at a time."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, ClassVar

import msgspec
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.frames import CloseCode

from ebonyladder.endpoint import (
    EndpointAnswer,
    EndpointConnection,
    EndpointDriver,
    EndpointReport,
    FenceVote,
    ReportStream,
)
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.types import (
    Address,
    EndpointId,
    LogPosition,
    OrganisationId,
    Position,
    RequestKind,
    Role,
    Statement,
    Term,
    VmId,
)

OPEN_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 1.0
# A partitioned endpoint never answers the closing handshake.
CLOSE_TIMEOUT_S = 0.2
MAX_ANSWER_BYTES = 16_000_000


class _Answer(msgspec.Struct, kw_only=True):
    """Answer frame of an endpoint."""

    id: int = 0
    error: str = ""
    message: str = ""
    rows: list = []
    term: int = 0
    position: int = 0
    role: str = "replica"


_ANSWER = msgspec.json.Decoder(_Answer)
_REPORT = msgspec.json.Decoder(EndpointReport)


async def _open_socket(
    endpoint: EndpointId, address: Address, path: str
) -> ClientConnection:
    try:
        return await connect(
            f"ws://{address}/{path}",
            max_size=MAX_ANSWER_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            compression=None,
            proxy=None,
            ping_interval=None,
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        raise _connect_error(endpoint, error) from error


def _is_too_large(error: Exception) -> bool:
    """Tell whether this side closed the connection for a frame above the limit."""
    return (
        isinstance(error, ConnectionClosed)
        and error.sent is not None
        and error.sent.code == CloseCode.MESSAGE_TOO_BIG
        and not error.rcvd_then_sent
    )


def _connect_error(endpoint: EndpointId, error: Exception) -> EndpointError:
    return EndpointError(
        code=ErrorCode.CONNECT_FAILED,
        step=Step.CONNECT,
        peer=endpoint,
        message=f"no connection to {endpoint}: {error!r}",
    )


class WebSocketEndpointConnection(EndpointConnection):
    """Connection to one endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        Endpoint at the remote side.
    socket : ClientConnection
        Open WebSocket.
    """

    def __init__(self, *, endpoint: EndpointId, socket: ClientConnection) -> None:
        self.endpoint = endpoint
        self.socket = socket
        self.request_number = 0
        self.is_usable = True

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be used."""
        return self.is_usable and self.socket.close_code is None

    async def execute(
        self, *, organisation: OrganisationId, statement: Statement
    ) -> EndpointAnswer:
        """Run one statement."""
        try:
            return await self._request(
                Step.EXECUTE,
                op="execute",
                organisation=organisation,
                kind=statement.kind.value,
                text=statement.text,
            )
        except EndpointError as error:
            is_read = statement.kind is RequestKind.READ
            if error.code is ErrorCode.ANSWER_TOO_LARGE and is_read:
                error.outcome = Outcome.RUN
            raise

    async def begin(self, *, organisation: OrganisationId) -> None:
        """Open a transaction."""
        await self._request(Step.BEGIN, op="begin", organisation=organisation)

    async def commit(self) -> EndpointAnswer:
        """Commit the open transaction."""
        return await self._request(Step.COMMIT, op="commit")

    async def rollback(self) -> None:
        """Roll back the open transaction."""
        await self._request(Step.ROLLBACK, op="rollback")

    async def close(self) -> None:
        """Close the connection."""
        self.is_usable = False
        await self.socket.close()

    async def _request(self, step: Step, **fields: Any) -> EndpointAnswer:
        """Send one request and return its answer.

        A request that is cancelled or fails leaves the connection unusable: its late
        answer could otherwise be taken for the answer of the next request.
        """
        self.request_number += 1
        was_usable, self.is_usable = self.is_usable, False
        if not was_usable:
            raise _connect_error(self.endpoint, RuntimeError("connection is in use"))
        try:
            await self.socket.send(
                msgspec.json.encode({"id": self.request_number, **fields})
            )
            answer = _ANSWER.decode(await self.socket.recv())
        except (ConnectionClosed, msgspec.DecodeError) as error:
            if _is_too_large(error):
                raise self._too_large_error(step) from error
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=step,
                peer=self.endpoint,
                message=f"connection to {self.endpoint} was lost: {error!r}",
            ) from error
        if answer.id != self.request_number:
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=step,
                peer=self.endpoint,
                message=(
                    f"answer {answer.id} does not match request {self.request_number}"
                ),
            )
        self.is_usable = True
        if answer.error:
            raise self._refused_error(step, answer)
        return EndpointAnswer(
            rows=answer.rows,
            at=Position(term=Term(answer.term), position=LogPosition(answer.position)),
            role=Role(answer.role),
        )

    def _too_large_error(self, step: Step) -> EndpointError:
        """Return the error for an answer above the size limit.

        The endpoint ran the statement. Since the position in the answer is not
        known, it is unknown whether a majority has a write.
        """
        return EndpointError(
            code=ErrorCode.ANSWER_TOO_LARGE,
            step=step,
            peer=self.endpoint,
            message=f"answer exceeds {MAX_ANSWER_BYTES} bytes; request fewer rows",
        )

    def _refused_error(self, step: Step, answer: _Answer) -> EndpointError:
        is_not_primary = answer.error == "not-primary"
        return EndpointError(
            code=ErrorCode.NO_PRIMARY if is_not_primary else ErrorCode.ENDPOINT_REFUSED,
            step=step,
            peer=self.endpoint,
            message=answer.message,
            outcome=Outcome.NOT_RUN,
        )


class WebSocketReportStream(ReportStream):
    """Report stream of one endpoint."""

    def __init__(self, *, socket: ClientConnection) -> None:
        self.socket = socket

    async def reports(self) -> AsyncIterator[EndpointReport]:
        """Yield reports until the connection ends."""
        try:
            async for frame in self.socket:
                yield _REPORT.decode(frame)
        except ConnectionClosed:
            return

    async def probe(self, number: int) -> None:
        """Request a report that carries ``number``."""
        try:
            await self.socket.send(msgspec.json.encode({"probe": number}))
        except ConnectionClosed:
            return

    async def close(self) -> None:
        """Close the stream."""
        await self.socket.close()


@register
class WebSocketEndpointDriver(Plugin, EndpointDriver):
    """Driver for endpoints that speak JSON over WebSocket."""

    name: ClassVar[str] = "endpoint-driver"
    provides: ClassVar[tuple[type, ...]] = (EndpointDriver,)

    async def connect(
        self, *, endpoint: EndpointId, address: Address
    ) -> EndpointConnection:
        """Open a connection for statements; wait for the endpoint's first frame."""
        socket = await _open_socket(endpoint, address, "sql")
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await socket.recv()
        except (ConnectionClosed, TimeoutError) as error:
            await socket.close()
            raise _connect_error(endpoint, error) from error
        return WebSocketEndpointConnection(endpoint=endpoint, socket=socket)

    async def open_report_stream(
        self, *, endpoint: EndpointId, address: Address
    ) -> ReportStream:
        """Open a report stream."""
        return WebSocketReportStream(
            socket=await _open_socket(endpoint, address, "reports")
        )

    async def _send_control(
        self, step: Step, endpoint: EndpointId, address: Address, **fields: Any
    ) -> dict[str, Any]:
        socket = await _open_socket(endpoint, address, "control")
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                await socket.send(msgspec.json.encode(fields))
                answer = msgspec.json.decode(await socket.recv())
        except (ConnectionClosed, TimeoutError) as error:
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=step,
                peer=endpoint,
                message=f"no answer from {endpoint}: {error!r}",
            ) from error
        finally:
            await socket.close()
        if "error" in answer:
            raise EndpointError(
                code=ErrorCode.FENCED,
                step=step,
                peer=endpoint,
                message=answer["message"],
            )
        return answer

    async def fence(
        self, *, endpoint: EndpointId, address: Address, term: Term, promoter: VmId
    ) -> FenceVote:
        """Request the endpoint's vote."""
        answer = await self._send_control(
            Step.FENCE, endpoint, address, op="fence", term=term, promoter=promoter
        )
        return FenceVote(
            endpoint=endpoint,
            log_term=answer["log_term"],
            received=answer["received"],
        )

    async def promote(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        term: Term,
        promoter: VmId,
        followers: dict[EndpointId, Address],
    ) -> Position:
        """Make the endpoint primary of ``term``."""
        answer = await self._send_control(
            Step.PROMOTE, endpoint, address, op="promote", term=term, promoter=promoter
        )
        return Position(term=Term(answer["term"]), position=answer["position"])

    async def follow(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        term: Term,
        primary: EndpointId,
        primary_address: Address,
    ) -> None:
        """Make the endpoint replicate from ``primary``."""
        await self._send_control(
            Step.FOLLOW,
            endpoint,
            address,
            op="follow",
            term=term,
            primary=primary,
            primary_address=primary_address,
        )
