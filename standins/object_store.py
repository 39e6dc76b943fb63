"""Stand-in for the users' object store, by the description of its calls."""

import asyncio
import json
from collections import Counter, deque
from enum import Enum
from typing import Any

from aiohttp import web

HISTORY_LIMIT = 1_000


class Outage(Enum):
    """How the store fails."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"


class ObjectStoreServer:
    """Objects by kind and name, with revisions, conditions and watches.

    A test sets ``outage`` and ``lost_answers`` while the store serves.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: deque[tuple[int, str, dict[str, Any], bool]] = deque(
            maxlen=HISTORY_LIMIT
        )
        self.oldest = 1
        self.outage = Outage.NONE
        self.lost_answers = 0
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the web application."""
        app = web.Application(middlewares=[self.guard], client_max_size=2 << 20)
        app.router.add_get("/objects/{kind}", self.list)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_get("/objects/{kind}/{name}", self.get)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_delete("/objects/{kind}/{name}", self.delete)
        return app

    @web.middleware
    async def guard(self, request: web.Request, handler) -> web.StreamResponse:
        """Count the call, then apply the outage and lost answers."""
        self.calls[request.method] += 1
        if self.outage is Outage.SILENT:
            await asyncio.Event().wait()
        if self.outage is not Outage.NONE:
            raise (
                web.HTTPServiceUnavailable()
                if self.outage is Outage.BUSY
                else (web.HTTPTooManyRequests())
            )
        response = await handler(request)
        if self.lost_answers and request.method != "GET":
            self.lost_answers -= 1
            request.transport.close()
        return response

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object without a condition, as an operator does."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        found = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind][name] = found
        self._note(kind, found, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, removed=True)

    def compact(self, *, is_silent: bool = False) -> None:
        """Forget the history.

        With ``is_silent``, watches that wait now hear nothing until their time is up.
        """
        self.history.clear()
        self.oldest = self.revision + 1
        if not is_silent:
            self._wake()

    def put_unheard(self, kind: str, name: str, spec: Any) -> None:
        """Write an object that no waiting watch hears of, then forget the history."""
        changed = self.changed
        self.changed = asyncio.Event()
        self.put(kind, name, spec)
        self.changed = changed
        self.compact(is_silent=True)

    def _note(self, kind: str, found: dict[str, Any], *, removed: bool) -> None:
        self.history.append((self.revision, kind, found, removed))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def list(self, request: web.Request) -> web.Response:
        """List a kind, or wait for its changes."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        items = sorted(
            self.objects.get(kind, {}).values(), key=lambda o: o["meta"]["name"]
        )
        return web.json_response(
            {"items": items, "has_more": False, "as_of": self.revision}
        )

    async def _watch(self, kind: str, query) -> web.Response:
        after = int(query["watch"])
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while True:
                    if after + 1 < self.oldest:
                        raise web.HTTPGone()
                    changed = self.changed
                    events = [
                        {"object": found, "removed": removed}
                        for revision, of, found, removed in self.history
                        if revision > after and of == kind
                    ]
                    if events:
                        break
                    await changed.wait()
        except TimeoutError as error:
            if after + 1 < self.oldest:
                raise web.HTTPGone() from error
            events = []
        return web.json_response({"events": events, "as_of": self.revision})

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            raise web.HTTPNotFound()
        return web.json_response(found)

    async def create(self, request: web.Request) -> web.Response:
        """Create an object."""
        kind = request.match_info["kind"]
        body = await request.json()
        name = body["meta"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if known is not None:
            raise web.HTTPConflict(text=json.dumps(known))
        self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name])

    async def replace(self, request: web.Request) -> web.Response:
        """Replace an object, on condition."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            raise web.HTTPNotFound()
        revision = body["meta"].get("revision")
        if revision is not None and revision != known["meta"]["revision"]:
            raise web.HTTPConflict(text=json.dumps(known))
        self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name])

    async def delete(self, request: web.Request) -> web.Response:
        """Remove an object, on condition."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            raise web.HTTPNotFound()
        wanted = request.query.get("revision")
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            raise web.HTTPConflict(text=json.dumps(known))
        self.remove(kind, name)
        return web.json_response(known)
