"""HTTP front end for operators: configuration, small edits and views."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any, TypeVar

import msgspec
from absl import logging
from aiohttp import web

from ebonyladder.configuration import ConfigurationSource, parse_configuration
from ebonyladder.document import load_document
from ebonyladder.edit import AnyEdit
from ebonyladder.kernel.error import (
    ConfigurationError,
    EbonyladderError,
    ErrorCode,
    RequestError,
)
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.operator import (
    Confirmation,
    GroupUsage,
    LocalConfirmation,
    OperatorViewRegistry,
    View,
)
from ebonyladder.settings import split_address
from ebonyladder.store import PlatformStore
from ebonyladder.submission import (
    SubmissionResult,
    VersionConflictError,
    diff_texts,
    submit,
    submit_edit,
)
from ebonyladder.tls import server_context
from ebonyladder.types import (
    ConfigurationVersion,
    GroupId,
    KeyDigest,
    SubmissionId,
    VmId,
)

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# A text of 1 MB is longer as a JSON string: escapes at most double the length of
# printable ASCII.
MAX_BODY_BYTES = 4_000_000
DEFAULT_CONFIRM_WAIT_S = 5.0
MAX_CONFIRM_WAIT_S = 60.0
SHUTDOWN_TIMEOUT_S = 5.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# MAX_STALENESS_S of the configuration, plus the time until a VM notices it.
UNCONFIRMED_STOP_AFTER_S = 5.0


class TextBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request for a check or a diff."""

    text: str


class SubmitBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the submission of a text."""

    text: str
    base_version: int
    submission_id: SubmissionId
    force: bool = False
    wait_s: float = DEFAULT_CONFIRM_WAIT_S


class EditBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the submission of a small edit."""

    edit: AnyEdit
    submission_id: SubmissionId
    force: bool = False
    wait_s: float = DEFAULT_CONFIRM_WAIT_S


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """Rollout of an accepted change to the VMs.

    Attributes
    ----------
    is_active : bool
        True if most relay roots have applied it, so that no VM works without it
        for longer than ``unconfirmed_stop_after_s`` seconds.
    confirmed, unconfirmed : list of VmId
        VMs that confirmed that they have applied it, and all others.
    """

    is_active: bool = msgspec.field(name="is_in_force")
    confirmed: list[VmId]
    unconfirmed: list[VmId]
    unconfirmed_stop_after_s: float


@register
class OperatorFrontEnd(Plugin, OperatorViewRegistry):
    """Serve the operators' API on its own address."""

    name = "operator_front"
    provides = (OperatorViewRegistry,)
    requires = (PlatformStore,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.views: dict[str, View] = {}
        self.refreshers: list[Callable[[], None]] = []
        self.local_confirmation: LocalConfirmation | None = None
        self.runner: web.AppRunner | None = None

    def add_view(self, name: str, view: View) -> None:
        """Add a view; raises ``ValueError`` if the name is taken."""
        if name in self.views:
            raise ValueError(f"two views are named {name!r}")
        self.views[name] = view

    def before_metrics(self, refresh: Callable[[], None]) -> None:
        """Call ``refresh`` each time before the metrics are rendered."""
        self.refreshers.append(refresh)

    async def start(self) -> None:
        """Listen on the operators' address."""
        settings = self.kernel.settings
        host, port = split_address(settings.operator)
        self.runner = web.AppRunner(self.application(), access_log=None)
        await self.runner.setup()
        site = web.TCPSite(
            self.runner,
            host,
            port,
            ssl_context=server_context(self.kernel, settings.operator_tls),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await site.start()
        logging.info("[operator] Listening. address=%s", settings.operator)

    async def stop(self) -> None:
        """Stop listening once requests in flight have ended or timed out."""
        if self.runner is not None:
            await self.runner.cleanup()

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            middlewares=[_answer_errors, self._require_operator],
            client_max_size=MAX_BODY_BYTES,
        )
        app.router.add_get("/v1/configuration", self._show)
        app.router.add_post("/v1/configuration", self._submit)
        app.router.add_post("/v1/configuration/check", self._check)
        app.router.add_post("/v1/configuration/diff", self._diff)
        app.router.add_post("/v1/configuration/edits", self._edit)
        app.router.add_get("/v1/views/{name}", self._view)
        app.router.add_get("/metrics", self._metrics)
        return app

    @web.middleware
    async def _require_operator(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        digests = self.kernel.settings.operator_key_digests
        if scheme != "Bearer" or not is_operator_key(key, digests):
            logging.warning("[operator] Key was refused. remote=%s", request.remote)
            raise RequestError(code=ErrorCode.KEY_REFUSED, step=Step.KEY_CHECK)
        return await handler(request)

    @property
    def _store(self) -> PlatformStore:
        return self.kernel.get(PlatformStore)

    async def _show(self, request: web.Request) -> web.Response:
        current = await load_document(self._store)
        return web.json_response(
            {
                "version": current.version,
                "text": current.document.text,
                "digest": current.document.digest,
            }
        )

    async def _check(self, request: web.Request) -> web.Response:
        parse_configuration((await _body(request, TextBody)).text)
        return web.json_response({"valid": True})

    async def _diff(self, request: web.Request) -> web.Response:
        body = await _body(request, TextBody)
        current = await load_document(self._store)
        difference = diff_texts(
            current.document.text,
            body.text,
            old_name=f"version {current.version}",
            new_name="given text",
        )
        return web.json_response({"version": current.version, "diff": difference})

    async def _submit(self, request: web.Request) -> web.Response:
        body = await _body(request, SubmitBody)
        accepted = await submit(
            self._store,
            text=body.text,
            base_version=body.base_version,
            submission_id=body.submission_id,
            force=body.force,
            used_slots=await self._used_slots(),
        )
        return await self._answer_accepted(accepted, body, "text")

    async def _edit(self, request: web.Request) -> web.Response:
        body = await _body(request, EditBody)
        accepted = await submit_edit(
            self._store,
            edit=body.edit,
            submission_id=body.submission_id,
            force=body.force,
            used_slots=await self._used_slots(),
        )
        return await self._answer_accepted(accepted, body, type(body.edit).__name__)

    async def _used_slots(self) -> dict[GroupId, float]:
        usage = self.kernel.providers.get(GroupUsage)
        return await usage.used_slots() if isinstance(usage, GroupUsage) else {}

    async def _answer_accepted(
        self, accepted: SubmissionResult, body: SubmitBody | EditBody, change: str
    ) -> web.Response:
        logging.info(
            "[operator] Configuration accepted. version=%d submission=%s change=%s "
            "force=%s",
            accepted.version,
            body.submission_id,
            change,
            body.force,
        )
        wait_s = min(max(body.wait_s, 0.0), MAX_CONFIRM_WAIT_S)
        rollout = await wait_for_rollout(self._confirmation(), accepted.version, wait_s)
        return web.json_response(
            {**msgspec.to_builtins(accepted), **msgspec.to_builtins(rollout)}
        )

    def _confirmation(self) -> Confirmation:
        # Providers start after this plug-in, so they are looked up on each use.
        provider = self.kernel.providers.get(Confirmation)
        if isinstance(provider, Confirmation):
            return provider
        if self.local_confirmation is None:
            source = self.kernel.providers.get(ConfigurationSource)
            self.local_confirmation = LocalConfirmation(
                vm=self.kernel.settings.vm,
                source=source if isinstance(source, ConfigurationSource) else None,
            )
        return self.local_confirmation

    async def _metrics(self, _request: web.Request) -> web.Response:
        metrics = self.kernel.providers.get(Metrics)
        if not isinstance(metrics, Metrics):
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                message="this daemon has no metrics",
            )
        for refresh in self.refreshers:
            refresh()
        return web.Response(
            body=metrics.render(), headers={"Content-Type": METRICS_CONTENT_TYPE}
        )

    async def _view(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        view = self.views.get(name)
        if view is None:
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                message=f"no component of this daemon provides the view {name!r}",
            )
        data = msgspec.to_builtins(await view(request.query))
        return web.json_response({"view": name, "data": data})


async def wait_for_rollout(
    confirmation: Confirmation, version: ConfigurationVersion, wait_s: float
) -> Rollout:
    """Wait for most relay roots, then for all VMs, up to ``wait_s`` in total.

    Before most roots have applied the change, VMs that work during a store outage
    may not know of it, so it must not be reported as active.
    """
    started_at_s = monotonic()
    is_active = True
    try:
        await confirmation.require_roots(version, wait_s)
    except ConfigurationError as error:
        logging.warning("[operator] Change is not active yet. error=%s", error)
        is_active = False
    remaining_s = max(0.0, wait_s - (monotonic() - started_at_s))
    report = await confirmation.confirm(version, remaining_s)
    return Rollout(
        confirmed=report.confirmed,
        unconfirmed=report.unconfirmed,
        is_active=is_active,
        unconfirmed_stop_after_s=UNCONFIRMED_STOP_AFTER_S,
    )


def is_operator_key(key: str, digests: tuple[KeyDigest, ...]) -> bool:
    """Tell whether the key has one of the digests, in constant time."""
    digest = hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()
    matches = [hmac.compare_digest(digest, candidate) for candidate in digests]
    return any(matches)


@web.middleware
async def _answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except EbonyladderError as error:
        return web.json_response(
            {"error": error_body(error)}, status=error.code.value.http_status
        )
    except web.HTTPException as error:
        code = {404: ErrorCode.NOT_FOUND, 413: ErrorCode.BODY_TOO_LARGE}.get(
            error.status, ErrorCode.BAD_REQUEST
        )
        refusal = RequestError(code=code, step=Step.CALLER_ACCEPT, message=error.reason)
        return web.json_response({"error": error_body(refusal)}, status=error.status)


def error_body(error: EbonyladderError) -> dict[str, Any]:
    """Return an error as JSON data."""
    body: dict[str, Any] = {
        "code": error.code.value.code,
        "outcome": error.outcome.value,
        "step": error.step.value,
        "peer": error.peer,
        "message": error.message,
    }
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
    if isinstance(error, ConfigurationError) and error.problems:
        body["problems"] = [problem._asdict() for problem in error.problems]
    if isinstance(error, VersionConflictError):
        body["current_version"] = error.current_version
    return body


async def _body(request: web.Request, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise RequestError(
            code=ErrorCode.BAD_REQUEST, step=Step.CALLER_ACCEPT, message=str(error)
        ) from error
