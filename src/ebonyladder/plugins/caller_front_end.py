"""Callers' front end: HTTP and WebSocket with JSON bodies."""

import asyncio
import hashlib
import hmac
import logging as standard_logging
import random
from collections.abc import Awaitable, Callable
from typing import ClassVar

from absl import logging
from aiohttp import web

from ebonyladder._caller_calls import CallerCalls, RequestHandler
from ebonyladder._caller_codec import Reply, bearer_key, decode_body, refused
from ebonyladder._caller_connection import (
    HEADER_TIMEOUT_S,
    CallerConnection,
    TimedResponse,
)
from ebonyladder._caller_socket import CallerSocket
from ebonyladder.caller import (
    CallerAnswer,
    CallerStatement,
    CallerStep,
    CallerTransaction,
)
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.dispatch import Dispatcher
from ebonyladder.execution import StatementExecutor
from ebonyladder.gateway import Gateway
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
from ebonyladder.peer import PeerConnections
from ebonyladder.request_trace import RequestTrace
from ebonyladder.settings import split_address
from ebonyladder.status import StatusObserver, StatusRoutes
from ebonyladder.tls import server_context
from ebonyladder.token import TokenSigner
from ebonyladder.types import KeyDigest, OrganisationId, RequestId, ServiceId
from ebonyladder.vm_drain_state import VmDrainState

MAX_BODY_BYTES = 1_048_576
BODY_TIMEOUT_S = 10.0
DRAIN_TIMEOUT_S = 30.0
# A request that is sent while its idle connection is being closed gets no answer. A
# caller that uses its connection within this time gets an answer and closes it.
IDLE_CLOSE_DELAY_S = 1.0
BACKLOG = 4_096
ACTIONS = {
    "statements": TransactionAction.EXECUTE,
    "commit": TransactionAction.COMMIT,
    "rollback": TransactionAction.ROLLBACK,
}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _http_logger() -> standard_logging.Logger:
    """Return the logger of the HTTP library.

    The front end logs errors of its handlers itself. The library would log only
    malformed requests, with a traceback each, so any caller could fill the log.
    """
    logger = standard_logging.getLogger("ebonyladder.callers.http")
    logger.setLevel(standard_logging.CRITICAL)
    return logger


@register
class CallerFrontEnd(Plugin, CallerConnections):
    """Serve callers, with one aiohttp task for each connection."""

    name: ClassVar[str] = "caller-front"
    provides: ClassVar[tuple[type, ...]] = (CallerConnections,)
    requires: ClassVar[tuple[type, ...]] = (
        StatementExecutor,
        PeerConnections,
        Membership,
        ConfigurationSource,
        KeyRing,
        RateLimits,
        StatusObserver,
        StatusRoutes,
        Metrics,
        RequestTrace,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.runner: web.AppRunner | None = None
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Protocol, CallerConnection] = {}
        self.all_closed = asyncio.Event()
        self.sockets: dict[KeyDigest, set[web.WebSocketResponse]] = {}
        self.header_timeout_s = HEADER_TIMEOUT_S
        self.body_timeout_s = BODY_TIMEOUT_S

    async def start(self) -> None:
        """Listen for callers."""
        self.gateway = self._make_gateway()
        self.gateway.keys.on_withdrawn(self._close_sockets)
        self.calls = CallerCalls(gateway=self.gateway, vm=self.kernel.settings.vm)
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._track_request]
        )
        app.router.add_post("/v1/services/{service}/statements", self._statement)
        app.router.add_post("/v1/services/{service}/transactions", self._begin)
        app.router.add_post("/v1/transactions/{transaction}/{action}", self._step)
        app.router.add_get("/v1/connect", self._connect)
        app.router.add_get("/healthz", self._health)
        for path, handler in self.kernel.get(StatusRoutes).status_routes().items():
            app.router.add_get(path, handler)
        # A caller that disconnects does not cancel its request: a write that was
        # sent completes, so that its outcome is known and counted, and its slot is
        # not released while the endpoint still works on it.
        self.runner = web.AppRunner(
            app, access_log=None, handler_cancellation=False, logger=_http_logger()
        )
        await self.runner.setup()
        host, port = split_address(self.kernel.settings.caller)
        context = server_context(self.kernel, self.kernel.settings.caller_tls)
        self.server = await asyncio.get_running_loop().create_server(
            self._accept, host, port, backlog=BACKLOG, ssl=context
        )

    def _accept(self) -> CallerConnection:
        inner = self.runner.server()
        connection = CallerConnection(
            inner=inner,
            timeout_s=self.header_timeout_s,
            on_end=lambda: self._remove(inner),
        )
        self.connections[inner] = connection
        self.all_closed.clear()
        return connection

    def _remove(self, inner: asyncio.Protocol) -> None:
        self.connections.pop(inner, None)
        if not self.connections:
            self.all_closed.set()

    def _make_gateway(self) -> Gateway:
        get, settings = self.kernel.get, self.kernel.settings
        configuration = get(ConfigurationSource)
        secret = hmac.digest(settings.fleet_secret(), b"session-token", hashlib.sha256)
        dispatcher = Dispatcher(
            vm=settings.vm,
            zone=settings.zone,
            executor=get(StatementExecutor),
            peers=get(PeerConnections),
            membership=get(Membership),
            configuration=configuration,
            clock=self.kernel.clock,
            rng=random.Random(),
            trace=get(RequestTrace),
        )
        return Gateway(
            keys=get(KeyRing),
            limits=get(RateLimits),
            configuration=configuration,
            status=get(StatusObserver),
            metrics=get(Metrics),
            signer=TokenSigner(secrets=[secret]),
            dispatcher=dispatcher,
            clock=self.kernel.clock,
            trace=get(RequestTrace),
            drain_state=VmDrainState(
                vm=settings.vm,
                zone=settings.zone,
                configuration=configuration,
                clock=self.kernel.clock,
            ),
        )

    def open_sockets(self) -> dict[OrganisationId, int]:
        """Return the number of open WebSockets by organisation."""
        counts: dict[OrganisationId, int] = {}
        for digest, sockets in self.sockets.items():
            organisations = self.kernel.get(ConfigurationSource).current.organisations
            for organisation, spec in organisations.items():
                if sockets and digest in spec.key_digests:
                    counts[organisation] = counts.get(organisation, 0) + len(sockets)
        return counts

    async def drain(self) -> None:
        """Refuse new work and wait for the requests in flight."""
        self.gateway.is_draining = True
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self.calls.idle.wait()
        except TimeoutError:
            count = self.calls.in_flight
            logging.warning(
                "[callers] Drain timed out with work in flight. count=%d", count
            )

    async def stop(self) -> None:
        """Close the listening socket and idle connections.

        Connections that are accepted until the listener closes get the same time to
        send their request as those that were open before.
        """
        await self._wait_until_closed()
        if self.server is not None:
            self.server.close()
        await self._wait_until_closed()
        for socket in [s for sockets in self.sockets.values() for s in sockets]:
            await socket.close(code=1001, message=b"daemon stops")
        if self.runner is not None:
            await self.runner.cleanup()

    async def _wait_until_closed(self) -> None:
        """Wait until callers have closed their connections, up to a timeout."""
        if not self.connections or not self.gateway.is_draining:
            return
        try:
            async with asyncio.timeout(IDLE_CLOSE_DELAY_S):
                await self.all_closed.wait()
        except TimeoutError:
            count = len(self.connections)
            logging.info("[callers] Idle connections are still open. count=%d", count)

    # HTTP.

    @web.middleware
    async def _track_request(
        self, request: web.Request, handler: Handler
    ) -> web.Response:
        """Stop the header timer; answer unknown routes with an error body."""
        connection = self.connections.get(request.protocol)
        if connection is not None:
            connection.begin_request()
        try:
            return await handler(request)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
            message = f"no route {request.method} {request.path!r}"
            reply = self.calls.refuse(refused(ErrorCode.NOT_FOUND, message))
            return self._response(reply._replace(status=error.status))
        finally:
            if connection is not None:
                connection.end_request()

    async def _read(self, request: web.Request) -> bytes:
        """Return the complete body; refuse a caller that sends it too slowly."""
        try:
            async with asyncio.timeout(self.body_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise refused(
                ErrorCode.BODY_TOO_LARGE, f"body exceeds {MAX_BODY_BYTES} bytes"
            ) from error
        except TimeoutError:
            raise refused(
                ErrorCode.BAD_REQUEST,
                f"body did not arrive within {self.body_timeout_s:.0f} s",
            ) from None
        except (web.RequestPayloadError, ConnectionError) as error:
            raise refused(
                ErrorCode.BAD_REQUEST, f"body cannot be read: {error}"
            ) from error

    async def _serve(self, handler: RequestHandler) -> web.Response:
        return self._response(await self.calls.run(handler))

    def _response(self, reply: Reply) -> web.Response:
        response = TimedResponse(
            status=reply.status, body=reply.body, content_type="application/json"
        )
        error = reply.error
        if self.gateway.is_draining:
            response.force_close()
        if error is None:
            return response
        if error.retry_after_s is not None:
            response.headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
        # The rest of a refused body is not read, so the connection cannot be reused.
        if error.code in (ErrorCode.DRAINING, ErrorCode.BODY_TOO_LARGE):
            response.force_close()
        return response

    async def _statement(self, request: web.Request) -> web.Response:
        async def handle(request_id: RequestId) -> CallerAnswer:
            key = bearer_key(request.headers.get("Authorization", ""))
            body = decode_body(await self._read(request), CallerStatement)
            service = ServiceId(request.match_info["service"])
            return await self.gateway.run_statement(key, service, body, request_id)

        return await self._serve(handle)

    async def _begin(self, request: web.Request) -> web.Response:
        async def handle(request_id: RequestId) -> CallerAnswer:
            key = bearer_key(request.headers.get("Authorization", ""))
            body = decode_body(await self._read(request), CallerTransaction)
            service = ServiceId(request.match_info["service"])
            return await self.gateway.begin(key, service, body, request_id)

        return await self._serve(handle)

    async def _step(self, request: web.Request) -> web.Response:
        async def handle(request_id: RequestId) -> CallerAnswer:
            key = bearer_key(request.headers.get("Authorization", ""))
            action = ACTIONS.get(request.match_info["action"])
            if action is None:
                raise RequestError(code=ErrorCode.NOT_FOUND, step=Step.ROUTE)
            body = decode_body(await self._read(request), CallerStep)
            return await self.gateway.run_step(
                key, request.match_info["transaction"], action, body, request_id
            )

        return await self._serve(handle)

    async def _health(self, _request: web.Request) -> web.Response:
        """Answer the load balancer's health check."""
        if self.gateway.is_unready:
            return web.Response(status=503, text="draining\n")
        try:
            self.gateway.configuration.require_fresh(Step.KEY_CHECK)
        except EbonyladderError as error:
            return web.Response(status=503, text=f"{error.message}\n")
        if not self.gateway.limits.is_ready():
            return web.Response(status=503, text="starting: no holder of the rates\n")
        return web.Response(text="ok\n")

    # WebSocket.

    async def _connect(self, request: web.Request) -> web.StreamResponse:
        """Serve the statements of one WebSocket until it closes."""
        try:
            key = bearer_key(request.headers.get("Authorization", ""))
            identity = self.gateway.keys.identify(key)
        except EbonyladderError as error:
            return self._response(self.calls.refuse(error))
        socket = web.WebSocketResponse(max_msg_size=MAX_BODY_BYTES, heartbeat=30.0)
        await socket.prepare(request)
        sockets = self.sockets.setdefault(identity.digest, set())
        sockets.add(socket)
        try:
            await CallerSocket(
                socket=socket, calls=self.calls, key=key, identity=identity
            ).serve(request)
        finally:
            sockets.discard(socket)
            if not sockets and self.sockets.get(identity.digest) is sockets:
                del self.sockets[identity.digest]
        return socket

    def _close_sockets(self, digest: KeyDigest) -> None:
        """Close the WebSockets of a withdrawn key."""
        for socket in self.sockets.pop(digest, ()):
            self.kernel.spawn(
                socket.close(code=1008, message=b"key withdrawn"),
                name="close-withdrawn",
            )
