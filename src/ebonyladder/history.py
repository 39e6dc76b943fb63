"""Hour records of the public status and the hash chain that links them.

The chain is in the order of writing. ``status/<service>/head`` contains the last
record without its supplements. A conditional write of the head appends an hour;
only then is the record stored under its own key. If a writer stops in between,
the next writer creates that object from the head, and a reader takes the record
from the head. Keys pad the hour to eight digits, so that one ``list`` call reads a
segment of 100 hours.
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
    """Observers of the same minutes of an hour.

    Attributes
    ----------
    minutes : int
        Bit mask of minutes of the hour.
    observers : bytes
        Concatenated ids of ``OBSERVER_BYTES`` bytes each, sorted. With thousands
        of VMs, their names would exceed the store's value limit.
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
        Position in the service's chain, from 1.
    counts : Counts
        Calls by result, without the supplements.
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
        """Return the digests of the base record and of each supplement, in hex.

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

    def base_and_supplements(self) -> list["HourRecord | Supplement"]:
        """Return the base record and the supplements."""
        return [self, *self.supplements]

    def total_counts(self) -> Counts:
        """Return the counts with the supplements."""
        return total(entry.counts for entry in self.base_and_supplements())

    def minutes(self) -> int:
        """Return the mask of minutes that at least one VM observed."""
        mask = 0
        for entry in self.base_and_supplements():
            for group in entry.observed:
                mask |= group.minutes
        return mask

    def minutes_by_observer(self) -> dict[bytes, int]:
        """Return the mask of recorded minutes by observer id."""
        masks: dict[bytes, int] = {}
        for entry in self.base_and_supplements():
            for group in entry.observed:
                for observer in split_observers(group.observers):
                    masks[observer] = masks.get(observer, 0) | group.minutes
        return masks


class ChainHead(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a service's chain: its last record, without supplements."""

    last: HourRecord


class ServicePeriod(msgspec.Struct, frozen=True, kw_only=True):
    """Period in which the configuration of a service stayed the same.

    Attributes
    ----------
    first, last : int
        First and last hour; ``last`` is None for the current period.
    """

    first: int
    last: int | None = None
    depends_on: tuple[ServiceId, ...] = ()
    is_public: bool = True


class ServiceIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Index of present and past services, stored under ``status/index``.

    Attributes
    ----------
    version : ConfigurationVersion
        Configuration version that the index reflects; a lower one never changes it.
    """

    version: ConfigurationVersion = ConfigurationVersion(0)
    services: dict[ServiceId, tuple[ServicePeriod, ...]] = {}


OBSERVER_BYTES = 8


def observer_id(vm: str, incarnation: int) -> bytes:
    """Return the id of a VM's incarnation in records."""
    text = f"{vm}\x00{incarnation}".encode()
    return hashlib.sha256(text).digest()[:OBSERVER_BYTES]


def split_observers(concatenated: bytes) -> list[bytes]:
    """Split concatenated observer ids."""
    size = OBSERVER_BYTES
    return [
        concatenated[offset : offset + size]
        for offset in range(0, len(concatenated), size)
    ]


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
    """Encode as canonical JSON: keys sorted, no spaces."""
    return msgspec.json.encode(value, order="sorted")


def _digest(value: msgspec.Struct) -> str:
    return hashlib.sha256(encode(value)).hexdigest()
