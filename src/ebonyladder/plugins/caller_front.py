"""Callers' front: HTTP and WebSocket with JSON bodies."""

import asyncio
import hashlib
import hmac
import random
from collections.abc import Awaitable, Callable
from typing import ClassVar, TypeVar

import msgspec
from absl import logging
from aiohttp import WSMsgType, web

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.dispatch import Dispatcher
from ebonyladder.duty import VmDuty
from ebonyladder.execution import StatementExecutor
from ebonyladder.gateway import (
    CallerAnswer,
    CallerStatement,
    CallerStep,
    CallerTransaction,
    Gateway,
)
from ebonyladder.journal import RequestJournal
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.messages import TransactionAction
from ebonyladder.metrics import Metrics
from ebonyladder.operator import CallerConnections
from ebonyladder.peer import PeerLinks
from ebonyladder.settings import split_address
from ebonyladder.status import StatusObserver, StatusRoutes
from ebonyladder.tls import server_context
from ebonyladder.token import TokenSealer
from ebonyladder.types import KeyDigest, OrganisationId, RequestId, ServiceId

BODY_LIMIT_BYTES = 1_048_576
BODY_TIMEOUT_S = 10.0
DRAIN_LIMIT_S = 30.0
BEARER = "Bearer "

T = TypeVar("T")
Served = Callable[[RequestId], Awaitable[CallerAnswer]]


class SocketCall(msgspec.Struct, kw_only=True):
    """Frame of a caller's WebSocket.

    Attributes
    ----------
    id : int
        Number that the answer carries.
    service : str
        Service of the statement.
    body : msgspec.Raw
        Statement, as in the body of the HTTP route.
    """

    id: int
    service: str
    body: msgspec.Raw


def refusal_of(error: EbonyladderError, name: RequestId, vm: str) -> dict[str, object]:
    """Return the JSON form of an error."""
    fields: dict[str, object] = {
        "code": error.code.value.code,
        "outcome": error.outcome.value,
        "step": error.step.value,
        "peer": error.peer or vm,
        "message": error.message,
        "request_id": name,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = round(error.retry_after_s, 3)
    return {"error": fields}


def decode_body(body: bytes, body_type: type[T]) -> T:
    """Return a decoded body; raises ``RequestError`` BAD_REQUEST."""
    try:
        return msgspec.json.decode(body or b"{}", type=body_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RequestError(
            code=ErrorCode.BAD_REQUEST, step=Step.CALLER_ACCEPT, message=str(error)
        ) from error


def key_of(request: web.Request) -> str:
    """Return the key of a request; raises ``RequestError`` KEY_REFUSED."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise RequestError(code=ErrorCode.KEY_REFUSED, step=Step.KEY_CHECK)
    return header[len(BEARER) :].strip()


@register
class CallerFront(Plugin, CallerConnections):
    """Serve callers; one task of aiohttp for each connection."""

    name: ClassVar[str] = "caller-front"
    provides: ClassVar[tuple[type, ...]] = (CallerConnections,)
    requires: ClassVar[tuple[type, ...]] = (
        StatementExecutor,
        PeerLinks,
        Membership,
        ConfigurationSource,
        KeyRing,
        RateLimits,
        StatusObserver,
        StatusRoutes,
        Metrics,
        RequestJournal,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.runner: web.AppRunner | None = None
        self.in_flight = 0
        self.sockets: dict[KeyDigest, set[web.WebSocketResponse]] = {}
        self.idle = asyncio.Event()
        self.idle.set()

    async def start(self) -> None:
        """Listen for callers."""
        self.gateway = self._make_gateway()
        self.gateway.keys.on_withdrawn(self._close_sockets)
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_post("/v1/services/{service}/statements", self._statement)
        app.router.add_post("/v1/services/{service}/transactions", self._begin)
        app.router.add_post("/v1/transactions/{transaction}/{action}", self._step)
        app.router.add_get("/v1/connect", self._connect)
        app.router.add_get("/healthz", self._health)
        for path, handler in self.kernel.get(StatusRoutes).status_routes().items():
            app.router.add_get(path, handler)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=False)
        await self.runner.setup()
        host, port = split_address(self.kernel.settings.caller)
        context = server_context(self.kernel, self.kernel.settings.caller_tls)
        await web.TCPSite(
            self.runner, host, port, backlog=4096, ssl_context=context
        ).start()

    def _make_gateway(self) -> Gateway:
        get, settings = self.kernel.get, self.kernel.settings
        configuration = get(ConfigurationSource)
        secret = hmac.digest(settings.fleet_secret(), b"session-token", hashlib.sha256)
        dispatcher = Dispatcher(
            vm=settings.vm,
            zone=settings.zone,
            executor=get(StatementExecutor),
            peers=get(PeerLinks),
            membership=get(Membership),
            configuration=configuration,
            clock=self.kernel.clock,
            source=random.Random(),
            journal=get(RequestJournal),
        )
        return Gateway(
            keys=get(KeyRing),
            limits=get(RateLimits),
            configuration=configuration,
            status=get(StatusObserver),
            metrics=get(Metrics),
            sealer=TokenSealer(secrets=[secret]),
            dispatcher=dispatcher,
            clock=self.kernel.clock,
            journal=get(RequestJournal),
            duty=VmDuty(
                vm=settings.vm,
                zone=settings.zone,
                configuration=configuration,
                clock=self.kernel.clock,
            ),
        )

    def connections(self) -> dict[OrganisationId, int]:
        """Return the number of open WebSockets by organisation."""
        found: dict[OrganisationId, int] = {}
        for digest, sockets in self.sockets.items():
            owners = self.kernel.get(ConfigurationSource).current.organisations
            for name, spec in owners.items():
                if sockets and digest in spec.key_digests:
                    found[name] = found.get(name, 0) + len(sockets)
        return found

    async def drain(self) -> None:
        """Refuse new work and wait for the requests under way."""
        self.gateway.is_draining = True
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await self.idle.wait()
        except TimeoutError:
            logging.warning("[callers] Requests were left. count=%d", self.in_flight)

    async def stop(self) -> None:
        """Close the listening socket and idle connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    # HTTP.

    async def _read(self, request: web.Request) -> bytes:
        """Return the whole body; a caller that trickles bytes is refused."""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestError(
                code=ErrorCode.BODY_TOO_LARGE,
                step=Step.CALLER_ACCEPT,
                message=f"body exceeds {BODY_LIMIT_BYTES} bytes",
            ) from error
        except TimeoutError:
            raise RequestError(
                code=ErrorCode.BAD_REQUEST,
                step=Step.CALLER_ACCEPT,
                message=f"body did not arrive within {BODY_TIMEOUT_S:.0f} s",
            ) from None

    async def _serve(self, served: Served) -> web.Response:
        """Run one request and return its answer or refusal."""
        name = self.gateway.new_request_id()
        self.in_flight += 1
        self.idle.clear()
        try:
            answer = await served(name)
            return web.Response(
                body=msgspec.json.encode(answer), content_type="application/json"
            )
        except EbonyladderError as error:
            return self._refuse(error, name)
        except Exception as error:  # noqa: BLE001
            logging.exception("[callers] Request failed. request_id=%s", name)
            return self._refuse(
                RequestError(
                    code=ErrorCode.INTERNAL,
                    step=Step.ANSWER,
                    message=type(error).__name__,
                ),
                name,
            )
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    def _refuse(self, error: EbonyladderError, name: RequestId) -> web.Response:
        logging.debug("[callers] Request was refused. id=%s error=%s", name, error)
        response = web.Response(
            status=error.code.value.http_status,
            body=msgspec.json.encode(refusal_of(error, name, self.kernel.settings.vm)),
            content_type="application/json",
        )
        if error.retry_after_s is not None:
            response.headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
        if error.code is ErrorCode.DRAINING:
            response.force_close()
        return response

    async def _statement(self, request: web.Request) -> web.Response:
        async def served(name: RequestId) -> CallerAnswer:
            key = key_of(request)
            asked = decode_body(await self._read(request), CallerStatement)
            service = ServiceId(request.match_info["service"])
            return await self.gateway.run_statement(key, service, asked, name)

        return await self._serve(served)

    async def _begin(self, request: web.Request) -> web.Response:
        async def served(name: RequestId) -> CallerAnswer:
            key = key_of(request)
            asked = decode_body(await self._read(request), CallerTransaction)
            service = ServiceId(request.match_info["service"])
            return await self.gateway.begin(key, service, asked, name)

        return await self._serve(served)

    async def _step(self, request: web.Request) -> web.Response:
        actions = {
            "statements": TransactionAction.EXECUTE,
            "commit": TransactionAction.COMMIT,
            "rollback": TransactionAction.ROLLBACK,
        }

        async def served(name: RequestId) -> CallerAnswer:
            key = key_of(request)
            action = actions.get(request.match_info["action"])
            if action is None:
                raise RequestError(code=ErrorCode.NOT_FOUND, step=Step.ROUTE)
            asked = decode_body(await self._read(request), CallerStep)
            return await self.gateway.run_step(
                key, request.match_info["transaction"], action, asked, name
            )

        return await self._serve(served)

    async def _health(self, _request: web.Request) -> web.Response:
        """Tell the balancer whether to send callers here."""
        if self.gateway.is_leaving:
            return web.Response(status=503, text="draining\n")
        try:
            self.gateway.configuration.require_fresh(Step.KEY_CHECK)
        except EbonyladderError as error:
            return web.Response(status=503, text=f"{error.message}\n")
        return web.Response(text="ok\n")

    # WebSocket.

    async def _connect(self, request: web.Request) -> web.StreamResponse:
        """Serve the statements of one WebSocket until it closes."""
        try:
            key = key_of(request)
            holder = self.gateway.keys.holder_of(key)
        except EbonyladderError as error:
            return self._refuse(error, self.gateway.new_request_id())
        socket = web.WebSocketResponse(max_msg_size=BODY_LIMIT_BYTES, heartbeat=30.0)
        await socket.prepare(request)

        sockets = self.sockets.setdefault(holder.digest, set())
        sockets.add(socket)
        try:
            async with asyncio.TaskGroup() as calls:
                async for frame in socket:
                    if frame.type in (WSMsgType.TEXT, WSMsgType.BINARY):
                        calls.create_task(self._socket_call(socket, key, frame.data))
        finally:
            sockets.discard(socket)
        return socket

    def _close_sockets(self, digest: KeyDigest) -> None:
        """Close the WebSockets of a key that was withdrawn."""
        for socket in self.sockets.pop(digest, ()):
            self.kernel.spawn(
                socket.close(code=1008, message=b"key withdrawn"),
                name="close-withdrawn",
            )

    async def _socket_call(
        self, socket: web.WebSocketResponse, key: str, data: str | bytes
    ) -> None:
        number = 0

        async def served(name: RequestId) -> CallerAnswer:
            nonlocal number
            raw = data.encode() if isinstance(data, str) else data
            call = decode_body(raw, SocketCall)
            number = call.id
            asked = decode_body(bytes(call.body), CallerStatement)
            return await self.gateway.run_statement(
                key, ServiceId(call.service), asked, name
            )

        response = await self._serve(served)
        if not socket.closed:
            await socket.send_str(f'{{"id":{number},"body":{response.body.decode()}}}')
