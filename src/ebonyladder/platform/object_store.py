"""Client of the platform's object store over HTTP."""

import socket
from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.platform._store_answers import (
    InvalidEraError,
    StoreAnswerError,
    decode_changes,
    decode_era,
    decode_object,
    decode_page,
)
from ebonyladder.platform.sockets import enable_keep_alive
from ebonyladder.sessions.objects import (
    Changes,
    Kind,
    ListResult,
    ObjectStore,
    Revision,
    StoreEra,
    StoreObject,
)
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.store_era import EraObservation, StoreEraTracker

T = TypeVar("T")

STORE_PEER = "store"
# Rises by one when the store comes back from an older copy.
ERA_HEADER = "Store-Era"
# The store's slow answers take 0.25 s.
CALL_TIMEOUT_S = 1.5


def _make_socket(address_info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    enable_keep_alive(sock)
    return sock


class _Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply of the store to a call that it accepted.

    Attributes
    ----------
    era_start : int
        Number in front of the revisions of the reply's era.
    has_new_era : bool
        Whether the call was sent while an earlier era was the known one.
    """

    status: int
    body: bytes
    era_start: int
    has_new_era: bool


@register
class PlatformObjectStore(Plugin, ObjectStore):
    """Objects of the platform's store over HTTP."""

    name: ClassVar[str] = "object-store"
    provides: ClassVar[tuple[type, ...]] = (ObjectStore,)
    requires: ClassVar[tuple[type, ...]] = (Metrics, StoreEraTracker)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.session: ClientSession | None = None

    @property
    def base_url(self) -> str:
        """URL of the objects; the store's address may change with a reload."""
        return f"http://{self.kernel.settings.store}/objects"

    async def start(self) -> None:
        """Open the HTTP session; connections are opened on demand."""
        self.metrics = self.kernel.get(Metrics)
        self.eras = self.kernel.get(StoreEraTracker)
        connector = TCPConnector(limit=0, socket_factory=_make_socket)
        self.session = ClientSession(connector=connector)

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def get(self, kind: Kind, name: str) -> StoreObject | None:
        """Return one object, None if there is none."""
        reply = await self._call(Step.STORE_READ, "GET", f"/{kind}/{name}")
        if reply.status == 404:
            return None
        return self._parse(Step.STORE_READ, reply, decode_object)

    async def list(self, kind: Kind) -> ListResult:
        """Return all objects of a kind."""
        objects: list[StoreObject] = []
        params: dict[str, str] = {}
        first_era_start: int | None = None
        while True:
            reply = await self._call(Step.STORE_READ, "GET", f"/{kind}", params=params)
            if first_era_start not in (None, reply.era_start):
                raise self._error(
                    ErrorCode.STORE_UNAVAILABLE,
                    Step.STORE_READ,
                    "the store came back from a copy between two pages",
                    Outcome.NOT_RUN,
                )
            first_era_start = reply.era_start
            page = self._parse(Step.STORE_READ, reply, decode_page)
            objects += page.result.objects
            if page.continue_after is None:
                return ListResult(objects=tuple(objects), as_of=page.result.as_of)
            params = {"after": page.continue_after}

    async def watch(self, kind: Kind, after: Revision, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` seconds for changes after a revision."""
        if after < self.eras.era_start:
            raise self._history_gone()
        era_start = self.eras.era_start
        params = {
            "watch": str(after - era_start),
            "wait_ms": str(int(wait_s * 1000)),
        }
        reply = await self._call(
            Step.STORE_WATCH,
            "GET",
            f"/{kind}",
            params=params,
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        if reply.has_new_era:
            raise self._history_gone()
        return self._parse(Step.STORE_WATCH, reply, decode_changes)

    async def create(self, kind: Kind, name: str, content: Any) -> StoreObject:
        """Create an object."""
        body = {"meta": {"name": name}, "spec": content}
        reply = await self._call(Step.STORE_WRITE, "POST", f"/{kind}", json=body)
        return self._parse_written(reply)

    async def replace(
        self, kind: Kind, name: str, content: Any, revision: Revision
    ) -> StoreObject:
        """Replace an object that is still at ``revision``."""
        number = self._within_era(revision, f"/{kind}/{name}")
        body = {"meta": {"name": name, "revision": number}, "spec": content}
        reply = await self._call(Step.STORE_WRITE, "PUT", f"/{kind}/{name}", json=body)
        return self._parse_written(reply)

    async def delete(self, kind: Kind, name: str, revision: Revision) -> None:
        """Delete an object that is still at ``revision``."""
        number = self._within_era(revision, f"/{kind}/{name}")
        reply = await self._call(
            Step.STORE_WRITE,
            "DELETE",
            f"/{kind}/{name}",
            params={"revision": str(number)},
        )
        self._require_same_era(reply)

    def _within_era(self, revision: Revision, path: str) -> int:
        """Return a revision as the store numbers it."""
        if revision < self.eras.era_start:
            # The store may have given it out again, for another content.
            raise self._error(
                ErrorCode.STORE_CONFLICT,
                Step.STORE_WRITE,
                f"the revision for {path} is of an earlier era",
                Outcome.NOT_RUN,
            )
        return revision - self.eras.era_start

    async def _call(
        self,
        step: Step,
        method: str,
        path: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        **options: Any,
    ) -> _Reply:
        """Return the reply to one call that the store accepted."""
        if self.session is None or self.session.closed:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                "the daemon is stopping",
                Outcome.NOT_RUN,
            )
        self.metrics.count("store_calls", step=step.value)
        known_when_sent = self.eras.known
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                timeout=ClientTimeout(total=timeout_s),
                **options,
            ) as response:
                # Before the body, which may be cut off, and whatever the status.
                observation = self._record_era(
                    response.headers.get(ERA_HEADER), known_when_sent
                )
                era_start = self.eras.era_start
                body = await response.read()
        except (ClientError, TimeoutError, OSError) as error:
            # A write without an answer may have taken effect, or may still do so.
            outcome = Outcome.UNKNOWN if step is Step.STORE_WRITE else Outcome.NOT_RUN
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE, step, f"no answer: {error!r}", outcome
            ) from error
        if response.status == 409:
            raise self._error(ErrorCode.STORE_CONFLICT, step, f"conflict at {path}")
        if response.status == 410:
            raise self._history_gone()
        is_missing = response.status == 404
        if is_missing and step is Step.STORE_WRITE:
            raise self._error(ErrorCode.STORE_CONFLICT, step, f"no object at {path}")
        if response.status >= 400 and not is_missing:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                f"status {response.status}",
                Outcome.NOT_RUN,
            )
        if observation is EraObservation.LATE:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                "the answer is of an earlier era of the store",
                Outcome.UNKNOWN if step is Step.STORE_WRITE else Outcome.NOT_RUN,
            )
        return _Reply(
            status=response.status,
            body=body,
            era_start=era_start,
            has_new_era=known_when_sent not in (None, self.eras.known),
        )

    def _record_era(
        self, text: str | None, known_when_sent: StoreEra | None
    ) -> EraObservation:
        try:
            era = decode_era(text)
        except InvalidEraError:
            self.eras.record_invalid(text)
            return EraObservation.UNNAMED
        return self.eras.record(era, known_when_sent=known_when_sent)

    def _parse(self, step: Step, reply: _Reply, decode: Callable[..., T]) -> T:
        try:
            return decode(reply.body, era_start=reply.era_start)
        except StoreAnswerError as error:
            # The call was accepted, so a write has taken effect.
            outcome = Outcome.RUN if step is Step.STORE_WRITE else Outcome.NOT_RUN
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE, step, f"invalid answer: {error}", outcome
            ) from error

    def _parse_written(self, reply: _Reply) -> StoreObject:
        """Return the object that a write has stored."""
        self._require_same_era(reply)
        return self._parse(Step.STORE_WRITE, reply, decode_object)

    def _require_same_era(self, reply: _Reply) -> None:
        """Raise ``StoreError`` if a write was answered in a later era.

        Its content is of the earlier one, and its condition was meant for that.
        """
        if reply.has_new_era:
            raise self._error(
                ErrorCode.STORE_UNAVAILABLE,
                Step.STORE_WRITE,
                "the store came back from a copy meanwhile",
                Outcome.UNKNOWN,
            )

    def _history_gone(self) -> StoreError:
        return self._error(
            ErrorCode.NOT_FOUND,
            Step.STORE_WATCH,
            "the history after the revision was removed",
        )

    @staticmethod
    def _error(
        code: ErrorCode, step: Step, message: str, outcome: Outcome | None = None
    ) -> StoreError:
        return StoreError(
            code=code, step=step, peer=STORE_PEER, message=message, outcome=outcome
        )
