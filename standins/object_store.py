"""Stand-in for the users' object store, written from its API description."""

import asyncio
import copy
import json
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from aiohttp import web

MAX_HISTORY_EVENTS = 1_000
# Kinds that the operator and the databases write.
FOREIGN_KINDS = ("config", "evacuations", "servers")


class Outage(Enum):
    """Fault that the store shows to all requests."""

    NONE = "none"
    UNAVAILABLE = "busy"
    TOO_MANY_REQUESTS = "many"
    NO_RESPONSE = "silent"


@dataclass(frozen=True)
class StoreCopy:
    """Content of the store at one time, to which it may come back."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class RawContent(str):
    """JSON text that is sent as it is, such as one that no decoder accepts."""


def dump(value: Any) -> str:
    """Return a value as JSON, with the text of each ``RawContent`` in its place."""
    if isinstance(value, RawContent):
        return str(value)
    if isinstance(value, dict):
        pairs = (f"{json.dumps(key)}: {dump(item)}" for key, item in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(dump, value)) + "]"
    return json.dumps(value)


class ObjectStoreServer:
    """Objects by kind and name, with revisions, conditional writes and watches.

    A test sets ``outage``, ``lost_answers`` and ``era`` while the store serves.

    Attributes
    ----------
    era : str or None
        Value of the header in all answers, refused ones too; None for no header.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: deque[tuple[int, str, dict[str, Any], bool]] = deque(
            maxlen=MAX_HISTORY_EVENTS
        )
        self.oldest_revision = 1
        self.outage = Outage.NONE
        self.lost_answers = 0
        self.era: str | None = None
        # Number of times that the store has come back from a copy.
        self.returns = 0
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the web application."""
        app = web.Application(middlewares=[self.apply_faults], client_max_size=2 << 20)
        app.on_response_prepare.append(self.add_era)
        app.router.add_get("/objects/{kind}", self.list)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_get("/objects/{kind}/{name}", self.get)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_delete("/objects/{kind}/{name}", self.delete)
        return app

    @web.middleware
    async def apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        """Count the request, then apply the outage and the lost answers."""
        self.calls[request.method] += 1
        if self.outage is Outage.NO_RESPONSE:
            await asyncio.Event().wait()
        if self.outage is not Outage.NONE:
            raise (
                web.HTTPServiceUnavailable()
                if self.outage is Outage.UNAVAILABLE
                else (web.HTTPTooManyRequests())
            )
        response = await handler(request)
        if self.lost_answers and request.method != "GET":
            self.lost_answers -= 1
            request.transport.close()
        return response

    async def add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        """Name the era in an answer."""
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally, as an operator does."""
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current["spec"] == spec:
            return self.revision
        self.revision += 1
        stored = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind][name] = stored
        self._record_event(kind, stored, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._record_event(kind, found, removed=True)

    def compact(self, *, without_notify: bool = False) -> None:
        """Discard the history of events.

        With ``without_notify``, watches that wait at the time receive nothing until
        their wait ends.
        """
        self.history.clear()
        self.oldest_revision = self.revision + 1
        if not without_notify:
            self._notify_changed()

    def put_without_notify(self, kind: str, name: str, spec: Any) -> None:
        """Write an object without notifying waiting watches; discard the history."""
        changed = self.changed
        self.changed = asyncio.Event()
        self.put(kind, name, spec)
        self.changed = changed
        self.compact(without_notify=True)

    def take_copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(objects=copy.deepcopy(self.objects), revision=self.revision)

    async def come_back(
        self, older: StoreCopy, *, away_s: float = 0.0, rewrite_s: float = 0.0
    ) -> None:
        """Be away for a moment, then go on from an older copy in the next era.

        What was acknowledged since the copy is gone, and its revisions are given out
        again. What the operator and the databases had written is written again.

        Parameters
        ----------
        away_s : float
            Time for which the store refuses all calls, in seconds.
        rewrite_s : float
            Time from its return until that content is written again, in seconds.
        """
        if away_s:
            self.outage = Outage.UNAVAILABLE
            await asyncio.sleep(away_s)
        latest = {kind: dict(self.objects.get(kind, {})) for kind in FOREIGN_KINDS}
        self.objects = copy.deepcopy(older.objects)
        self.revision = older.revision
        self.history.clear()
        self.oldest_revision = self.revision + 1
        self.returns += 1
        self.era = str(int(self.era or 0) + 1)
        self.outage = Outage.NONE
        self._notify_changed()
        await asyncio.sleep(rewrite_s)
        self._write_again(latest, older.revision)

    def _write_again(
        self, latest: dict[str, dict[str, dict[str, Any]]], copied_at: int
    ) -> None:
        """Write what others had written, unless they have written again themselves."""
        for kind, objects in latest.items():
            restored = self.objects.setdefault(kind, {})
            for name in set(restored) - set(objects):
                if restored[name]["meta"]["revision"] <= copied_at:
                    self.remove(kind, name)
            for name, written in objects.items():
                found = restored.get(name)
                if found is None or found["meta"]["revision"] <= copied_at:
                    self.put(kind, name, written["spec"])

    def _record_event(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def list(self, request: web.Request) -> web.Response:
        """List the objects of a kind, or wait for its events."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        items = sorted(
            self.objects.get(kind, {}).values(), key=lambda o: o["meta"]["name"]
        )
        page = {"items": items, "has_more": False, "as_of": self.revision}
        return web.json_response(page, dumps=dump)

    async def _watch(self, kind: str, query) -> web.Response:
        after, returns = int(query["watch"]), self.returns
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while True:
                    self._require_history(after, returns)
                    changed = self.changed
                    events = [
                        {"object": item, "removed": removed}
                        for revision, event_kind, item, removed in self.history
                        if revision > after and event_kind == kind
                    ]
                    if events:
                        break
                    await changed.wait()
        except TimeoutError:
            self._require_history(after, returns)
            events = []
        return web.json_response({"events": events, "as_of": self.revision}, dumps=dump)

    def _require_history(self, after: int, returns: int) -> None:
        """Answer with 410 if the store lacks the revision or what came after it."""
        is_known = self.oldest_revision <= after + 1 <= self.revision + 1
        if not is_known or returns != self.returns:
            raise web.HTTPGone()

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            raise web.HTTPNotFound()
        return web.json_response(found, dumps=dump)

    async def create(self, request: web.Request) -> web.Response:
        """Create an object."""
        kind = request.match_info["kind"]
        body = await request.json()
        name = body["meta"]["name"]
        current = self.objects.get(kind, {}).get(name)
        if current is not None:
            raise web.HTTPConflict(text=dump(current))
        self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name], dumps=dump)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace an object; a stated revision must be the current one."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            raise web.HTTPNotFound()
        revision = body["meta"].get("revision")
        if revision is not None and revision != current["meta"]["revision"]:
            raise web.HTTPConflict(text=dump(current))
        self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name], dumps=dump)

    async def delete(self, request: web.Request) -> web.Response:
        """Remove an object; a stated revision must be the current one."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            raise web.HTTPNotFound()
        expected = request.query.get("revision")
        if expected is not None and int(expected) != current["meta"]["revision"]:
            raise web.HTTPConflict(text=dump(current))
        self.remove(kind, name)
        return web.json_response(current, dumps=dump)
