"""Relay of the configuration: roots, parents and changes between versions."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from itertools import zip_longest

import msgspec
import xxhash

from ebonyladder.kernel.clock import Clock
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import ConfigurationVersion, VmId, ZoneId

ROOT_COUNT = 5
TREE_DEGREE = 8
# Bounds the memory that texts of 1 MB take.
HISTORY_BYTES = 4_000_000
HISTORY_VERSIONS = 64


def relay_roots(zones: dict[VmId, ZoneId]) -> list[VmId]:
    """Return the five relay roots of a view, spread over its zones."""
    by_zone: dict[ZoneId, list[VmId]] = {}
    for vm in rendezvous_order("relay/roots", zones):
        by_zone.setdefault(zones[vm], []).append(vm)
    rounds = zip_longest(*by_zone.values())
    return [vm for one in rounds for vm in one if vm is not None][:ROOT_COUNT]


def tree_order(vms: Iterable[VmId], roots: Sequence[VmId]) -> list[VmId]:
    """Return the VMs in tree order: the roots, then level after level."""
    rest = set(vms) - set(roots)
    return [*roots, *rendezvous_order("relay/tree", rest)]


def parents_of(vm: VmId, order: Sequence[VmId], root_count: int) -> list[VmId]:
    """Return the two parents of a VM, none for a root.

    Both are of the level above, so parents never form a cycle in one view.
    """
    index = order.index(vm) if vm in order else len(order)
    if index < root_count or root_count == 0:
        return []
    first = (index - root_count) // TREE_DEGREE
    start, width = 0, root_count
    while first >= start + width:
        start, width = start + width, width * TREE_DEGREE
    second = start + (first - start + 1) % width
    return [order[first]] if first == second else [order[first], order[second]]


class RootSet:
    """Relay roots that this VM counts majorities over.

    The roots of the live view change when this VM is cut off. Counting a
    majority over those would make each side of a partition believe in a store
    outage. New roots are therefore taken over only with evidence from the
    store that is newer than the change of the view, and only while most of
    the old roots are live, so that successive majorities intersect. The first
    roots need no such evidence where the view holds every VM that the
    platform lists, since no side of a partition can have that view.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.pinned: list[VmId] = []
        self.candidate: list[VmId] = []
        self.zones: dict[VmId, ZoneId] = {}
        self.candidate_at_s = clock.now_s()

    @property
    def watchers(self) -> list[VmId]:
        """Roots to use where no majority is counted."""
        return self.pinned or self.candidate

    def update(
        self, zones: dict[VmId, ZoneId], current_at_s: float, *, is_whole: bool = False
    ) -> None:
        """Take over the roots of the view if that is safe.

        ``is_whole`` tells that the view holds every VM of the platform's list.
        """
        if zones is not self.zones:
            self.zones = zones
            candidate = relay_roots(zones)
            if candidate != self.candidate:
                self.candidate = candidate
                self.candidate_at_s = self.clock.now_s()
        live = [vm for vm in self.pinned if vm in zones]
        is_majority = not self.pinned or len(live) > len(self.pinned) // 2
        is_first = not self.pinned and is_whole
        if is_first or (is_majority and current_at_s >= self.candidate_at_s):
            self.pinned = self.candidate

    def adopt(self, roots: list[VmId]) -> None:
        """Take over a peer's roots on a VM that has none yet."""
        if not self.pinned:
            self.pinned = list(roots)


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Change between two texts: the lines between equal head and tail.

    Attributes
    ----------
    base : ConfigurationVersion
        Version that the change applies to.
    head, tail : int
        Number of equal lines at the beginning and at the end.
    digest : int
        Hash of the resulting text.
    """

    base: ConfigurationVersion
    head: int
    tail: int
    middle: str
    digest: int


def text_digest(text: str) -> int:
    """Return a hash of a text, for comparison only."""
    return xxhash.xxh3_64_intdigest(text.encode())


def make_delta(base: ConfigurationVersion, old: str, new: str) -> bytes:
    """Return the encoded change from ``old`` to ``new``."""
    before, after = old.splitlines(keepends=True), new.splitlines(keepends=True)
    head = _equal_lines(before, after)
    tail = _equal_lines(before[head:][::-1], after[head:][::-1])
    middle = "".join(after[head : len(after) - tail])
    return msgspec.msgpack.encode(
        Delta(base=base, head=head, tail=tail, middle=middle, digest=text_digest(new))
    )


def _equal_lines(one: Sequence[str], other: Sequence[str]) -> int:
    count = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        count += 1
    return count


class TextHistory:
    """Recent configuration texts, for changes between versions."""

    def __init__(self) -> None:
        self.texts: OrderedDict[ConfigurationVersion, str] = OrderedDict()
        self.version = ConfigurationVersion(0)
        self.changes: dict[ConfigurationVersion, bytes] = {}

    @property
    def text(self) -> str:
        """Newest text, empty before the first."""
        return self.texts.get(self.version, "")

    def add(self, version: ConfigurationVersion, text: str) -> None:
        """Add a text whose version is above all others."""
        self.version = version
        self.texts[version] = text
        self.changes.clear()
        while len(self.texts) > 1 and (
            len(self.texts) > HISTORY_VERSIONS
            or sum(len(one) for one in self.texts.values()) > HISTORY_BYTES
        ):
            self.texts.popitem(last=False)

    def changes_since(self, version: ConfigurationVersion) -> bytes | None:
        """Return the change from ``version``, None if its text is not kept."""
        if version not in self.texts:
            return None
        if version not in self.changes:
            old = self.texts[version]
            self.changes[version] = make_delta(version, old, self.text)
        return self.changes[version]

    def apply(self, changes: bytes) -> str | None:
        """Return the text after a change, None if it does not fit."""
        try:
            delta = msgspec.msgpack.decode(changes, type=Delta)
        except msgspec.DecodeError:
            return None
        old = self.texts.get(delta.base)
        if old is None:
            return None
        lines = old.splitlines(keepends=True)
        tail = lines[len(lines) - delta.tail :]
        text = "".join([*lines[: delta.head], delta.middle, *tail])
        return text if text_digest(text) == delta.digest else None
