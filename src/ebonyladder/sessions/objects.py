"""Interface to the objects of the store, by kind and name."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any, NewType

import msgspec

Kind = NewType("Kind", str)
# Revision of the store with its era in front, so that a later one is always higher.
Revision = NewType("Revision", int)
StoreEra = NewType("StoreEra", int)

# Kinds of the daemon's own objects.
GROUPS = Kind("ebonyladder-groups")
VMS = Kind("ebonyladder-vms")
LEADERS = Kind("ebonyladder-leaders")
LOG_HOLDERS = Kind("ebonyladder-log-holders")


class Unreadable(Enum):
    """Marks content that can't be decoded."""

    UNREADABLE = "unreadable"


# Matches no schema, so that whoever converts the content gets a ``ValidationError``.
UNREADABLE = Unreadable.UNREADABLE


class StoreObject(msgspec.Struct, frozen=True, kw_only=True):
    """Object of the store.

    Attributes
    ----------
    revision : Revision
        Revision of the object's last change.
    content : Any
        Value that was written last, ``UNREADABLE`` if it can't be decoded.
    """

    name: str
    revision: Revision
    content: Any


class ListResult(msgspec.Struct, frozen=True, kw_only=True):
    """All objects of a kind at one revision of the store."""

    objects: tuple[StoreObject, ...]
    as_of: Revision


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Change of one object."""

    object: StoreObject
    is_removed: bool


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a kind up to one revision of the store."""

    changes: tuple[Change, ...]
    as_of: Revision


class ObjectStore(ABC):
    """Objects of the platform's store; every call is counted and billed.

    All methods raise ``StoreError``: STORE_UNAVAILABLE if no answer arrived (a write
    may have taken effect), STORE_CONFLICT if a condition doesn't hold, and NOT_FOUND
    if the history after the revision of a watch was compacted.

    A store that has come back from an older copy may give a revision out again. So a
    condition on a revision of an earlier era doesn't hold, the history after it is
    gone, and a write counts as unanswered if a later era has begun meanwhile.
    """

    @abstractmethod
    async def get(self, kind: Kind, name: str) -> StoreObject | None:
        """Return one object, None if there is none."""

    @abstractmethod
    async def list(self, kind: Kind) -> ListResult:
        """Return all objects of a kind."""

    @abstractmethod
    async def watch(self, kind: Kind, after: Revision, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` seconds for changes after a revision."""

    @abstractmethod
    async def create(self, kind: Kind, name: str, content: Any) -> StoreObject:
        """Create an object; STORE_CONFLICT if it exists."""

    @abstractmethod
    async def replace(
        self, kind: Kind, name: str, content: Any, revision: Revision
    ) -> StoreObject:
        """Replace an object; STORE_CONFLICT if it isn't at ``revision``."""

    @abstractmethod
    async def delete(self, kind: Kind, name: str, revision: Revision) -> None:
        """Delete an object; STORE_CONFLICT if it isn't at ``revision``."""
