"""Object store in memory."""

import itertools

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.objects import ListResult, ObjectStore, Revision, StoreObject


class MemoryStore(ObjectStore):
    """Objects in memory, without watches; a test sets whether the store answers."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoreObject] = {}
        self.revisions = itertools.count(1)
        self.revision = Revision(0)
        self.is_down = False
        self.writes = 0

    async def get(self, kind, name):
        """Return one object."""
        self._require_up()
        return self.objects.get((kind, name))

    async def list(self, kind):
        """Return all objects of a kind."""
        self._require_up()
        found = tuple(o for (k, _), o in self.objects.items() if k == kind)
        return ListResult(objects=found, as_of=self.revision)

    async def watch(self, kind, after, wait_s):
        """Fail, since no test watches this store."""
        raise NotImplementedError

    async def create(self, kind, name, content):
        """Create an object."""
        self._require(kind, name, None)
        return self._put(kind, name, content)

    async def replace(self, kind, name, content, revision):
        """Replace an object that is still at ``revision``."""
        self._require(kind, name, revision)
        return self._put(kind, name, content)

    async def delete(self, kind, name, revision):
        """Delete an object that is still at ``revision``."""
        self._require(kind, name, revision)
        del self.objects[kind, name]

    def _put(self, kind, name, content) -> StoreObject:
        self.writes += 1
        self.revision = Revision(next(self.revisions))
        found = StoreObject(name=name, revision=self.revision, content=content)
        self.objects[kind, name] = found
        return found

    def _require(self, kind, name, revision) -> None:
        self._require_up()
        found = self.objects.get((kind, name))
        if (found.revision if found else None) != revision:
            raise StoreError(code=ErrorCode.STORE_CONFLICT, step=Step.STORE_WRITE)

    def _require_up(self) -> None:
        if self.is_down:
            raise StoreError(code=ErrorCode.STORE_UNAVAILABLE, step=Step.STORE_READ)
