"""Store that can come back from a copy some seconds old.

Written from the terms of the platform: what was acknowledged since the copy is gone,
revisions go back and are given out again, a watch from a revision that the store
doesn't have gets 410, the header ``Store-Era`` rises by one, and what the operator and
the databases wrote is written again.
"""

import asyncio
import copy
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from standins.object_store import ObjectStoreServer, Outage, dump

# Kinds that the operator and the databases write.
FOREIGN_KINDS = ("config", "evacuations", "servers")


@dataclass(frozen=True)
class StoreCopy:
    """Content of the store at one time."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class DrillStore(ObjectStoreServer):
    """Stand-in store with eras."""

    def __init__(self) -> None:
        super().__init__()
        self.era = "1"

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(copy.deepcopy(self.objects), self.revision)

    async def return_to(self, old: StoreCopy, *, away_s: float) -> None:
        """Be away for a moment, and come back from a copy."""
        self.outage = Outage.UNAVAILABLE
        await asyncio.sleep(away_s)
        foreign = {
            kind: {n: o["spec"] for n, o in self.objects.get(kind, {}).items()}
            for kind in FOREIGN_KINDS
        }
        self.objects = copy.deepcopy(old.objects)
        self.revision = old.revision
        self.history.clear()
        self.oldest_revision = self.revision + 1
        self.era = str(int(self.era) + 1)
        for kind, written in foreign.items():
            for name in set(self.objects.get(kind, {})) - set(written):
                self.remove(kind, name)
            for name, spec in written.items():
                self.put(kind, name, spec)
        self.outage = Outage.NONE
        self._notify_changed()

    async def _watch(self, kind: str, query) -> web.Response:
        after, era = int(query["watch"]), self.era
        events: list[dict[str, Any]] = []
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not events:
                    changed = self.changed
                    self._require_history(after, era)
                    events = [
                        {"object": item, "removed": removed}
                        for revision, event_kind, item, removed in self.history
                        if revision > after and event_kind == kind
                    ]
                    if not events:
                        await changed.wait()
        except TimeoutError:
            self._require_history(after, era)
        return web.json_response({"events": events, "as_of": self.revision}, dumps=dump)

    def _require_history(self, after: int, era: str) -> None:
        is_unknown = not self.oldest_revision <= after + 1 <= self.revision + 1
        if is_unknown or era != self.era:
            raise web.HTTPGone()
