"""Call counts of VMs by service and minute, before they are in hour records."""

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

# Older observations are evicted: readers treat the records of earlier hours as final.
MAX_OBSERVATION_AGE_HOURS = 48
WRITTEN_RETENTION_HOURS = 2

Observer = tuple[VmId, Incarnation]
MinuteKey = tuple[ServiceId, int]


class MinuteCounter:
    """Count this VM's calls by service and minute; a closed minute is final.

    Attributes
    ----------
    open_counters : dict of MinuteKey to dict
        Calls of the open minutes by result.
    observed_minutes : dict of int to set of ServiceId
        Services that this VM observed, by open minute.
    min_open_minute : int
        Lowest minute since the epoch that is not closed yet.
    """

    def __init__(self) -> None:
        self.open_counters: dict[MinuteKey, dict[CallResult, int]] = {}
        self.observed_minutes: dict[int, set[ServiceId]] = {}
        self.min_open_minute = 0

    def observe(self, service: ServiceId, result: CallResult, wall_s: float) -> None:
        """Count one call at the given wall-clock time."""
        minute = self._open_minute(wall_s)
        self.observed_minutes.setdefault(minute, set()).add(service)
        counters = self.open_counters.setdefault((service, minute), {})
        counters[result] = counters.get(result, 0) + 1

    def mark_observed(self, services: Iterable[ServiceId], wall_s: float) -> None:
        """Record that this VM observes the services in the current minute."""
        self.observed_minutes.setdefault(self._open_minute(wall_s), set()).update(
            services
        )

    def close_minutes(
        self, wall_s: float, *, include_current: bool = False
    ) -> dict[MinuteKey, Counts]:
        """Close and return the minutes that have ended.

        A minute without calls has zero counts. A minute in which this VM
        neither counted a call nor ran its status task, for example because the
        process was paused, is absent.
        """
        now = self._open_minute(wall_s)
        ended = sorted(m for m in self.observed_minutes if include_current or m < now)
        keys = [
            (service, m)
            for m in ended
            for service in sorted(self.observed_minutes.pop(m))
        ]
        if ended:
            self.min_open_minute = max(self.min_open_minute, ended[-1] + 1)
        return {key: self._counts(self.open_counters.pop(key, {})) for key in keys}

    def _open_minute(self, wall_s: float) -> int:
        # A wall clock that steps back must not add to a closed minute.
        return max(self.min_open_minute, int(wall_s // SECONDS_PER_MINUTE))

    @staticmethod
    def _counts(counters: dict[CallResult, int]) -> Counts:
        return Counts(**{r.value: n for r, n in counters.items()})


class HourBatch:
    """Counts of one service and hour by observer and minute, for an hour record."""

    def __init__(self, *, service: ServiceId, hour: int) -> None:
        self.service = service
        self.hour = hour
        self.minutes: dict[Observer, dict[int, Counts]] = {}

    def add(self, observer: Observer, minute: int, counts: Counts) -> None:
        """Add one minute of the hour; a minute that is there already is kept."""
        self.minutes.setdefault(observer, {}).setdefault(minute, counts)

    def masks(self) -> dict[Observer, int]:
        """Return the bit mask of the minutes of the batch by observer."""
        return {o: bit_mask(minutes) for o, minutes in self.minutes.items()}

    def unrecorded(
        self, recorded: dict[bytes, int]
    ) -> tuple[Counts, tuple[ObserverMinutes, ...]]:
        """Return the total and the observers of the minutes not recorded yet.

        Parameters
        ----------
        recorded : dict of bytes to int
            Bit mask of the minutes in the record by observer id.
        """
        counts: list[Counts] = []
        groups: dict[int, list[bytes]] = {}
        for observer, minutes in self.minutes.items():
            name = observer_id(*observer)
            recorded_mask = recorded.get(name, 0)
            new = {m: c for m, c in minutes.items() if not recorded_mask >> m & 1}
            if new:
                counts.extend(new.values())
                groups.setdefault(bit_mask(new), []).append(name)
        observed = tuple(
            ObserverMinutes(minutes=mask, observers=b"".join(sorted(names)))
            for mask, names in sorted(groups.items())
        )
        return total(counts), observed


class ObservationBuffer:
    """Observations of any VM that are not known to be written to the store.

    Parameters
    ----------
    max_minutes : int
        Upper bound of buffered minutes; the oldest hours are evicted beyond it.
    """

    def __init__(self, *, max_minutes: int) -> None:
        self.max_minutes = max_minutes
        self.batches: dict[tuple[ServiceId, int], HourBatch] = {}
        self.size = 0

    def add(
        self, observer: Observer, service: ServiceId, minute: int, counts: Counts
    ) -> None:
        """Add one minute, counted from the epoch."""
        hour, minute_of_hour = divmod(minute, MINUTES_PER_HOUR)
        batch = self.batches.get((service, hour))
        if batch is None:
            batch = HourBatch(service=service, hour=hour)
            self.batches[service, hour] = batch
        if minute_of_hour not in batch.minutes.get(observer, {}):
            batch.add(observer, minute_of_hour, counts)
            self.size += 1

    def evict(self, now_hour: int) -> int:
        """Evict hours by age and size, oldest first; return the number of minutes."""
        size_before = self.size
        for key in sorted(self.batches, key=lambda key: key[1]):
            if (
                key[1] >= now_hour - MAX_OBSERVATION_AGE_HOURS
                and self.size <= self.max_minutes
            ):
                break
            self._remove_batch(key)
        return size_before - self.size

    def remove_minutes(
        self, observer: Observer, service: ServiceId, hour: int, mask: int
    ):
        """Remove minutes that the store or another VM has."""
        batch = self.batches.get((service, hour))
        minutes = batch.minutes.get(observer, {}) if batch else {}
        for minute in [m for m in minutes if mask >> m & 1]:
            del minutes[minute]
            self.size -= 1
        if batch and not minutes:
            batch.minutes.pop(observer, None)
        if batch and not batch.minutes:
            del self.batches[service, hour]

    def messages(self, service: ServiceId) -> Iterator[Observations]:
        """Yield the observations of a service, one message for each observer."""
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

    def _remove_batch(self, key: tuple[ServiceId, int]) -> None:
        batch = self.batches.pop(key)
        self.size -= sum(len(minutes) for minutes in batch.minutes.values())


class WrittenMinutes:
    """Minutes known to be written to the store, by observer, service and hour.

    An entry is evicted ``WRITTEN_RETENTION_HOURS`` after its last change. A minute
    that is sent again after that is compared with the stored record again.
    """

    def __init__(self) -> None:
        self.masks: dict[Observer, dict[tuple[ServiceId, int], int]] = {}
        self.updated_hour: dict[tuple[Observer, ServiceId, int], int] = {}

    def record(self, observer: Observer, mask: MinuteMask, now_hour: int) -> None:
        """Record minutes of an observer as written."""
        masks = self.masks.setdefault(observer, {})
        key = (mask.service, mask.hour)
        masks[key] = masks.get(key, 0) | mask.minutes
        self.updated_hour[observer, mask.service, mask.hour] = now_hour

    def has(self, observer: Observer, service: ServiceId, minute: int) -> bool:
        """Tell whether a minute, counted from the epoch, is written."""
        hour, minute_of_hour = divmod(minute, MINUTES_PER_HOUR)
        mask = self.masks.get(observer, {}).get((service, hour), 0)
        return bool(mask >> minute_of_hour & 1)

    def written_among(
        self, observer: Observer, pending: Iterable[MinuteMask]
    ) -> list[MinuteMask]:
        """Return those of the observer's pending minutes that are written."""
        masks = self.masks.get(observer, {})
        found = []
        for mask in pending:
            written = masks.get((mask.service, mask.hour), 0) & mask.minutes
            if written:
                found.append(
                    MinuteMask(service=mask.service, hour=mask.hour, minutes=written)
                )
        return found

    def written_minutes(
        self, observer: Observer, services: Iterable[ServiceId]
    ) -> list[MinuteMask]:
        """Return all written minutes of an observer for the services."""
        selected = set(services)
        return [
            MinuteMask(service=service, hour=hour, minutes=mask)
            for (service, hour), mask in self.masks.get(observer, {}).items()
            if service in selected
        ]

    def evict(self, now_hour: int) -> None:
        """Evict old entries."""
        oldest = now_hour - WRITTEN_RETENTION_HOURS
        for key in [key for key, hour in self.updated_hour.items() if hour < oldest]:
            observer, service, hour = key
            del self.updated_hour[key]
            del self.masks[observer][service, hour]
            if not self.masks[observer]:
                del self.masks[observer]


def minute_counts(
    service: ServiceId, hour: int, minute: int, counts: Counts
) -> MinuteCounts:
    """Return the counts of one minute of an hour in the form that VMs send."""
    return MinuteCounts(
        service=service,
        minute=hour * MINUTES_PER_HOUR + minute,
        served=counts.served,
        failed=counts.failed,
        refused=counts.refused,
    )


def bit_mask(minutes: Iterable[int]) -> int:
    """Return the bit mask of minutes of an hour."""
    mask = 0
    for minute in minutes:
        mask |= 1 << minute
    return mask


def minute_masks(minutes: Iterable[MinuteKey]) -> list[MinuteMask]:
    """Return minutes, counted from the epoch, as one mask per service and hour."""
    masks: dict[tuple[ServiceId, int], int] = {}
    for service, minute in minutes:
        hour, minute_of_hour = divmod(minute, MINUTES_PER_HOUR)
        masks[service, hour] = masks.get((service, hour), 0) | 1 << minute_of_hour
    return [
        MinuteMask(service=service, hour=hour, minutes=mask)
        for (service, hour), mask in masks.items()
    ]
