"""Observations of one VM per service and minute, before they are recorded."""

from collections.abc import Iterable, Iterator

from ebonyladder.history import ObserverMinutes, observer_id
from ebonyladder.messages import MinuteCounts, MinuteMask, Observations
from ebonyladder.status import (
    MINUTES_PER_HOUR,
    SECONDS_PER_MINUTE,
    CallResult,
    Counts,
    total,
)
from ebonyladder.types import Incarnation, ServiceId, VmId

# Observations older than this are dropped: readers treat earlier hours as fixed.
LATE_LIMIT_HOURS = 48
WRITTEN_KEPT_HOURS = 2

Observer = tuple[VmId, Incarnation]
MinuteKey = tuple[ServiceId, int]


class MinuteLog:
    """Count this VM's calls by service and minute; a closed minute is final."""

    def __init__(self) -> None:
        self.open: dict[MinuteKey, dict[CallResult, int]] = {}
        self.alive: dict[int, set[ServiceId]] = {}
        self.floor = 0

    def observe(self, service: ServiceId, result: CallResult, wall_s: float) -> None:
        """Count one call at the given wall-clock time."""
        minute = self._minute(wall_s)
        self.alive.setdefault(minute, set()).add(service)
        counters = self.open.setdefault((service, minute), {})
        counters[result] = counters.get(result, 0) + 1

    def mark_alive(self, services: Iterable[ServiceId], wall_s: float) -> None:
        """Note that this VM observes the services in the current minute."""
        self.alive.setdefault(self._minute(wall_s), set()).update(services)

    def close(
        self, wall_s: float, *, everything: bool = False
    ) -> dict[MinuteKey, Counts]:
        """Return the minutes that have ended; a quiet one has zero counts.

        A minute in which this VM neither counted nor ran its task, for
        example because it was frozen, is absent.
        """
        now = self._minute(wall_s)
        ended = sorted(m for m in self.alive if everything or m < now)
        keys = [(service, m) for m in ended for service in sorted(self.alive.pop(m))]
        if ended:
            self.floor = max(self.floor, ended[-1] + 1)
        return {key: self._counts(self.open.pop(key, {})) for key in keys}

    def _minute(self, wall_s: float) -> int:
        # A wall clock that steps back must not add to a closed minute.
        return max(self.floor, int(wall_s // SECONDS_PER_MINUTE))

    @staticmethod
    def _counts(counters: dict[CallResult, int]) -> Counts:
        return Counts(**{r.value: n for r, n in counters.items()})


class HourBatch:
    """Minutes of one service and hour by observer, to be merged into a record."""

    def __init__(self, *, service: ServiceId, hour: int) -> None:
        self.service = service
        self.hour = hour
        self.minutes: dict[Observer, dict[int, Counts]] = {}

    def add(self, observer: Observer, minute: int, counts: Counts) -> None:
        """Add one minute of the hour; a repeated one changes nothing."""
        self.minutes.setdefault(observer, {}).setdefault(minute, counts)

    def masks(self) -> dict[Observer, int]:
        """Return the mask of held minutes by observer."""
        return {o: mask_of(minutes) for o, minutes in self.minutes.items()}

    def unrecorded(
        self, recorded: dict[bytes, int]
    ) -> tuple[Counts, tuple[ObserverMinutes, ...]]:
        """Return counts and observers of the minutes not recorded yet."""
        counts: list[Counts] = []
        groups: dict[int, list[bytes]] = {}
        for observer, minutes in self.minutes.items():
            name = observer_id(*observer)
            known = recorded.get(name, 0)
            new = {m: c for m, c in minutes.items() if not known >> m & 1}
            if new:
                counts.extend(new.values())
                groups.setdefault(mask_of(new), []).append(name)
        observed = tuple(
            ObserverMinutes(minutes=mask, observers=b"".join(sorted(names)))
            for mask, names in sorted(groups.items())
        )
        return total(counts), observed


class ObservationBuffer:
    """Observations that are not known to be recorded, from any VM.

    Parameters
    ----------
    limit : int
        Greatest number of held minutes; the oldest hour is dropped beyond it.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.batches: dict[tuple[ServiceId, int], HourBatch] = {}
        self.size = 0

    def add(
        self, observer: Observer, service: ServiceId, minute: int, counts: Counts
    ) -> None:
        """Hold one minute, counted from the epoch."""
        hour, within = divmod(minute, MINUTES_PER_HOUR)
        batch = self.batches.get((service, hour))
        if batch is None:
            batch = HourBatch(service=service, hour=hour)
            self.batches[service, hour] = batch
        if within not in batch.minutes.get(observer, {}):
            batch.add(observer, within, counts)
            self.size += 1

    def trim(self, now_hour: int) -> int:
        """Drop what is too old or too much; return the number of minutes."""
        before = self.size
        for key in sorted(self.batches, key=lambda key: key[1]):
            if key[1] >= now_hour - LATE_LIMIT_HOURS and self.size <= self.limit:
                break
            self._forget_batch(key)
        return before - self.size

    def forget(self, observer: Observer, service: ServiceId, hour: int, mask: int):
        """Drop minutes that are recorded."""
        batch = self.batches.get((service, hour))
        held = batch.minutes.get(observer, {}) if batch else {}
        for minute in [m for m in held if mask >> m & 1]:
            del held[minute]
            self.size -= 1
        if batch and not held:
            batch.minutes.pop(observer, None)
        if batch and not batch.minutes:
            del self.batches[service, hour]

    def messages(self, service: ServiceId) -> Iterator[Observations]:
        """Yield what is held for a service, one message for each observer."""
        by_observer: dict[Observer, list[MinuteCounts]] = {}
        for batch in self.batches.values():
            if batch.service != service:
                continue
            for observer, minutes in batch.minutes.items():
                by_observer.setdefault(observer, []).extend(
                    minute_counts(service, batch.hour, m, c) for m, c in minutes.items()
                )
        for (vm, incarnation), counts in by_observer.items():
            yield Observations(vm=vm, incarnation=incarnation, counts=counts)

    def _forget_batch(self, key: tuple[ServiceId, int]) -> None:
        batch = self.batches.pop(key)
        self.size -= sum(len(minutes) for minutes in batch.minutes.values())


class WrittenMinutes:
    """Minutes that the store is known to have, by observer, service and hour.

    An entry is forgotten ``WRITTEN_KEPT_HOURS`` after its last change; a minute
    that is sent again then is compared with the record again.
    """

    def __init__(self) -> None:
        self.masks: dict[Observer, dict[tuple[ServiceId, int], int]] = {}
        self.noted: dict[tuple[Observer, ServiceId, int], int] = {}

    def note(self, observer: Observer, mask: MinuteMask, now_hour: int) -> None:
        """Add minutes."""
        masks = self.masks.setdefault(observer, {})
        key = (mask.service, mask.hour)
        masks[key] = masks.get(key, 0) | mask.minutes
        self.noted[observer, mask.service, mask.hour] = now_hour

    def has(self, observer: Observer, service: ServiceId, minute: int) -> bool:
        """Tell whether a minute, counted from the epoch, is written."""
        hour, within = divmod(minute, MINUTES_PER_HOUR)
        mask = self.masks.get(observer, {}).get((service, hour), 0)
        return bool(mask >> within & 1)

    def among(
        self, observer: Observer, pending: Iterable[MinuteMask]
    ) -> list[MinuteMask]:
        """Return those of the observer's pending minutes that are written."""
        masks = self.masks.get(observer, {})
        found = []
        for mask in pending:
            both = masks.get((mask.service, mask.hour), 0) & mask.minutes
            if both:
                found.append(
                    MinuteMask(service=mask.service, hour=mask.hour, minutes=both)
                )
        return found

    def of(self, observer: Observer, services: Iterable[ServiceId]) -> list[MinuteMask]:
        """Return the written minutes of an observer."""
        wanted = set(services)
        return [
            MinuteMask(service=service, hour=hour, minutes=mask)
            for (service, hour), mask in self.masks.get(observer, {}).items()
            if service in wanted
        ]

    def trim(self, now_hour: int) -> None:
        """Forget old entries."""
        limit = now_hour - WRITTEN_KEPT_HOURS
        for key in [key for key, noted in self.noted.items() if noted < limit]:
            observer, service, hour = key
            del self.noted[key]
            del self.masks[observer][service, hour]
            if not self.masks[observer]:
                del self.masks[observer]


def minute_counts(
    service: ServiceId, hour: int, minute: int, counts: Counts
) -> MinuteCounts:
    """Return the counts of one minute of an hour as part of a message."""
    return MinuteCounts(
        service=service,
        minute=hour * MINUTES_PER_HOUR + minute,
        served=counts.served,
        failed=counts.failed,
        refused=counts.refused,
    )


def mask_of(minutes: Iterable[int]) -> int:
    """Return the bit mask of minutes of an hour."""
    mask = 0
    for minute in minutes:
        mask |= 1 << minute
    return mask


def masks_of(minutes: Iterable[MinuteKey]) -> list[MinuteMask]:
    """Return minutes, counted from the epoch, as masks by service and hour."""
    masks: dict[tuple[ServiceId, int], int] = {}
    for service, minute in minutes:
        hour, within = divmod(minute, MINUTES_PER_HOUR)
        masks[service, hour] = masks.get((service, hour), 0) | 1 << within
    return [
        MinuteMask(service=service, hour=hour, minutes=mask)
        for (service, hour), mask in masks.items()
    ]
