"""Relay of the configuration: roots, parents and deltas between versions."""

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
# Bounds the memory for texts of up to 1 MB each.
MAX_HISTORY_BYTES = 4_000_000
MAX_HISTORY_VERSIONS = 64


def relay_roots(zones: dict[VmId, ZoneId]) -> list[VmId]:
    """Return the five relay roots of a view, spread over its zones."""
    by_zone: dict[ZoneId, list[VmId]] = {}
    for vm in rendezvous_order("relay/roots", zones):
        by_zone.setdefault(zones[vm], []).append(vm)
    rounds = zip_longest(*by_zone.values())
    return [vm for one in rounds for vm in one if vm is not None][:ROOT_COUNT]


def tree_order(vms: Iterable[VmId], roots: Sequence[VmId]) -> list[VmId]:
    """Return the VMs in tree order: the roots, then one level after the other."""
    rest = set(vms) - set(roots)
    return [*roots, *rendezvous_order("relay/tree", rest)]


def parents_of(vm: VmId, order: Sequence[VmId], root_count: int) -> list[VmId]:
    """Return the two parents of a VM, none for a root.

    Both are on the level above, so parents never form a cycle within one view.
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
    """Relay roots over which this VM counts majorities.

    The roots of the live view change when this VM is partitioned. With
    majorities of those roots, each side of a partition could conclude that the
    store has an outage. The quorum roots are therefore replaced only if the
    store has confirmed the active version after the change of the view, and
    only while most of the old quorum roots are live, so that successive
    majorities intersect. The first quorum roots need no such confirmation where
    the view contains every VM that the platform lists, since no side of a
    partition can have that view.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.

    Attributes
    ----------
    quorum_roots : list of VmId
        Roots over which majorities are counted; empty before the first are set.
    candidate : list of VmId
        Roots of the live view.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.quorum_roots: list[VmId] = []
        self.candidate: list[VmId] = []
        self.zones: dict[VmId, ZoneId] = {}
        self.candidate_at_s = clock.now_s()

    @property
    def active_roots(self) -> list[VmId]:
        """Roots to use now where no majority is counted; they watch the store."""
        return self.quorum_roots or self.candidate

    def update(
        self,
        zones: dict[VmId, ZoneId],
        current_at_s: float,
        *,
        is_complete: bool = False,
    ) -> None:
        """Update the candidate, and the quorum roots if replacing them is safe.

        Parameters
        ----------
        zones : dict of VmId to ZoneId
            Live VMs and their zones.
        current_at_s : float
            Time at which the store last confirmed the active version.
        is_complete : bool
            The view contains every VM of the platform's list.
        """
        if zones is not self.zones:
            self.zones = zones
            candidate = relay_roots(zones)
            if candidate != self.candidate:
                self.candidate = candidate
                self.candidate_at_s = self.clock.now_s()
        live = [vm for vm in self.quorum_roots if vm in zones]
        is_majority = not self.quorum_roots or len(live) > len(self.quorum_roots) // 2
        is_first = not self.quorum_roots and is_complete
        if is_first or (is_majority and current_at_s >= self.candidate_at_s):
            self.quorum_roots = self.candidate

    def initialize(self, roots: list[VmId]) -> None:
        """Set the quorum roots to those of a peer if there are none yet."""
        if not self.quorum_roots:
            self.quorum_roots = list(roots)


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Change between two texts: the lines between the equal head and tail.

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
    """Return the encoded delta from ``old`` to ``new``."""
    before, after = old.splitlines(keepends=True), new.splitlines(keepends=True)
    head = _common_prefix_length(before, after)
    tail = _common_prefix_length(before[head:][::-1], after[head:][::-1])
    middle = "".join(after[head : len(after) - tail])
    return msgspec.msgpack.encode(
        Delta(base=base, head=head, tail=tail, middle=middle, digest=text_digest(new))
    )


def _common_prefix_length(one: Sequence[str], other: Sequence[str]) -> int:
    count = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        count += 1
    return count


class TextHistory:
    """Recent configuration texts, for deltas between versions."""

    def __init__(self) -> None:
        self.texts: OrderedDict[ConfigurationVersion, str] = OrderedDict()
        self.version = ConfigurationVersion(0)
        self.deltas: dict[ConfigurationVersion, bytes] = {}

    @property
    def text(self) -> str:
        """Newest text, empty before the first."""
        return self.texts.get(self.version, "")

    def add(self, version: ConfigurationVersion, text: str) -> None:
        """Add a text whose version is above all others."""
        self.version = version
        self.texts[version] = text
        self.deltas.clear()
        while len(self.texts) > 1 and (
            len(self.texts) > MAX_HISTORY_VERSIONS
            or sum(len(one) for one in self.texts.values()) > MAX_HISTORY_BYTES
        ):
            self.texts.popitem(last=False)

    def delta_since(self, version: ConfigurationVersion) -> bytes | None:
        """Return the encoded delta from ``version``, None if its text is not kept."""
        if version not in self.texts:
            return None
        if version not in self.deltas:
            old = self.texts[version]
            self.deltas[version] = make_delta(version, old, self.text)
        return self.deltas[version]

    def apply(self, encoded: bytes) -> str | None:
        """Apply an encoded delta; None if its base or its result does not match."""
        try:
            delta = msgspec.msgpack.decode(encoded, type=Delta)
        except msgspec.DecodeError:
            return None
        old = self.texts.get(delta.base)
        if old is None:
            return None
        lines = old.splitlines(keepends=True)
        tail = lines[len(lines) - delta.tail :]
        text = "".join([*lines[: delta.head], delta.middle, *tail])
        return text if text_digest(text) == delta.digest else None
