"""Hour records of the public status and the chain that links them.

The chain is in the order of writing. ``status/<service>/head`` holds the last
record in full; its conditional move appends an hour, and only then is the
record's own object created from it. A writer that stops in between leaves a
head that the next writer, or a reader, completes. Keys pad the hour to eight
digits, so that one ``list`` call reads a segment of 100 hours.
"""

import hashlib

import msgspec

from ebonyladder.status import MINUTES_PER_HOUR, Counts, total
from ebonyladder.types import ConfigurationVersion, ServiceId

INDEX_KEY = "status/index"
HOUR_DIGITS = 8
SEGMENT_HOURS = 100
ALL_MINUTES = (1 << MINUTES_PER_HOUR) - 1


class ObserverMinutes(msgspec.Struct, frozen=True, kw_only=True):
    """Observers that reported the same minutes.

    Attributes
    ----------
    minutes : int
        Bit mask of minutes of the hour.
    observers : bytes
        Concatenated ids of ``OBSERVER_BYTES`` bytes, sorted. Names would
        exceed the store's value limit with thousands of VMs.
    """

    minutes: int
    observers: bytes


class Supplement(msgspec.Struct, frozen=True, kw_only=True):
    """Observations added to a record after it was written.

    Attributes
    ----------
    previous_digest : str
        Digest of the record as it was before this supplement.
    """

    counts: Counts
    observed: tuple[ObserverMinutes, ...]
    previous_digest: str
    outage_hours: tuple[int, ...] = ()


class HourRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one hour of one service.

    Attributes
    ----------
    hour : int
        Hours since the Unix epoch, UTC.
    sequence : int
        Place in the service's chain, from 1.
    counts : Counts
        What callers got, without the supplements.
    observed : tuple of ObserverMinutes
        Minutes by observer, without the supplements.
    previous_hour : int, optional
        Hour of the record before this one in the chain; None for the first.
    previous_digest : str
        Digest of that record when this one was written.
    outage_hours : tuple of int
        Hours in which the writer could not reach the store.
    """

    service: ServiceId
    hour: int
    sequence: int
    counts: Counts
    observed: tuple[ObserverMinutes, ...]
    previous_hour: int | None = None
    previous_digest: str = ""
    outage_hours: tuple[int, ...] = ()
    supplements: tuple[Supplement, ...] = ()

    def digests(self) -> list[str]:
        """Return the digest of the base and after each supplement, in hex.

        Raises
        ------
        ValueError
            If a supplement does not link to the digest before it.
        """
        base = msgspec.structs.replace(self, supplements=())
        found = [_digest(base)]
        for supplement in self.supplements:
            if supplement.previous_digest != found[-1]:
                raise ValueError(
                    f"a supplement of hour {self.hour} does not link to the record"
                )
            found.append(_digest(supplement))
        return found

    def parts(self) -> list["HourRecord | Supplement"]:
        """Return the base and the supplements."""
        return [self, *self.supplements]

    def total_counts(self) -> Counts:
        """Return the counts with the supplements."""
        return total(part.counts for part in self.parts())

    def minutes(self) -> int:
        """Return the mask of minutes that at least one VM observed."""
        mask = 0
        for part in self.parts():
            for group in part.observed:
                mask |= group.minutes
        return mask

    def minutes_by_observer(self) -> dict[bytes, int]:
        """Return the mask of recorded minutes by observer id."""
        masks: dict[bytes, int] = {}
        for part in self.parts():
            for group in part.observed:
                for observer in split_observers(group.observers):
                    masks[observer] = masks.get(observer, 0) | group.minutes
        return masks


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a service's chain: its last record, without supplements."""

    last: HourRecord


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Span of hours in which a service was configured the same way.

    Attributes
    ----------
    first, last : int
        First and last hour; ``last`` is None while the span lasts.
    """

    first: int
    last: int | None = None
    depends_on: tuple[ServiceId, ...] = ()
    is_public: bool = True


class Index(msgspec.Struct, frozen=True, kw_only=True):
    """Services that are or were listed, under ``status/index``.

    Attributes
    ----------
    version : ConfigurationVersion
        Configuration that the index reflects; a lower one never changes it.
    """

    version: ConfigurationVersion = ConfigurationVersion(0)
    services: dict[ServiceId, tuple[Listing, ...]] = {}


OBSERVER_BYTES = 8


def observer_id(vm: str, incarnation: int) -> bytes:
    """Return the id under which records name a VM's incarnation."""
    text = f"{vm}\x00{incarnation}".encode()
    return hashlib.sha256(text).digest()[:OBSERVER_BYTES]


def split_observers(joined: bytes) -> list[bytes]:
    """Return the single ids of concatenated ones."""
    size = OBSERVER_BYTES
    return [joined[at : at + size] for at in range(0, len(joined), size)]


def record_key(service: ServiceId, hour: int) -> str:
    """Return the store key of an hour record."""
    return f"status/{service}/{hour:0{HOUR_DIGITS}d}"


def segment_prefix(service: ServiceId, hour: int) -> str:
    """Return the key prefix of the segment that contains the hour."""
    return record_key(service, hour)[: -len(str(SEGMENT_HOURS - 1))]


def head_key(service: ServiceId) -> str:
    """Return the store key of a chain's head."""
    return f"status/{service}/head"


def encode(value: msgspec.Struct) -> bytes:
    """Return a record in canonical JSON: keys sorted, no spaces."""
    return msgspec.json.encode(value, order="sorted")


def _digest(value: msgspec.Struct) -> str:
    return hashlib.sha256(encode(value)).hexdigest()
