"""Snapshot of the public status: all services, their hours, what is missing."""

import asyncio
import zlib

import msgspec

from ebonyladder._history_reader import KEPT_HOURS, ChainReader, HistoryError
from ebonyladder.history import INDEX_KEY, Index, Listing
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.status import Counts, NotObservedReason, ServiceState, worst
from ebonyladder.store import PlatformStore
from ebonyladder.types import ServiceId

# The record of an hour that has ended is written within this many seconds.
WRITE_GRACE_S = 300
SNAPSHOT_LIMIT_BYTES = 64_000_000


class HourStatus(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """One hour of one service.

    Attributes
    ----------
    state : ServiceState
        Worst of the service's own state and those of its dependencies.
    own : ServiceState
        State that the service's own counts show.
    reason : NotObservedReason, optional
        Why the hour has no observations; None if it has.
    minutes, observers : int
        Minutes observed, at most 60, and VMs that observed.
    """

    hour: int
    state: ServiceState
    own: ServiceState
    reason: NotObservedReason | None = None
    minutes: int = 0
    observers: int = 0
    counts: Counts = Counts()


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """History of one service.

    Attributes
    ----------
    listed : bool
        False if the service was removed or renamed; its past remains.
    first_hour : int
        First listed hour.
    checked_hours, not_observed_hours : int
        Hours since the first one, and those of them without observations
        while the service was listed.
    hours : list of HourStatus
        Last ``KEPT_HOURS``, ascending; no hour is left out.
    problem : str
        Why the history is not established; empty if it is.
    """

    service: ServiceId
    listed: bool
    state: ServiceState
    depends_on: tuple[ServiceId, ...]
    first_hour: int
    checked_hours: int
    not_observed_hours: int
    hours: list[HourStatus]
    problem: str = ""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Public status at one time.

    Attributes
    ----------
    read_s : float
        Wall-clock time of the last read of the store; 0 if there was none.
    problems : list of str
        Why the history is not established; empty if it is complete.
    """

    read_s: float = 0.0
    services: list[ServiceStatus] = []
    problems: list[str] = []

    @property
    def is_established(self) -> bool:
        """Tell whether the whole history was read and checked."""
        return not self.problems

    def with_problem(self, problem: str) -> "Snapshot":
        """Return the snapshot marked as not established."""
        return msgspec.structs.replace(self, problems=[problem, *self.problems])


class SnapshotReader:
    """Read the store into snapshots; keeps checked hours between reads."""

    def __init__(self, *, store: PlatformStore) -> None:
        self.store = store
        self.chains: dict[ServiceId, ChainReader] = {}
        self.index = Index()
        self.last = Snapshot()

    async def read(self, wall_s: float) -> Snapshot:
        """Return the status now; what could not be read is in ``problems``."""
        now_hour, into_hour_s = divmod(int(wall_s), 3_600)
        problems: list[str] = []
        unavailable = ""
        try:
            self.index = await self._read_index()
        except (StoreError, HistoryError) as error:
            return self.last.with_problem(f"The list of services: {error.message}")
        failed: dict[ServiceId, str] = {}
        for service in self.index.services:
            if service not in self.chains:
                self.chains[service] = ChainReader(store=self.store, service=service)
            if unavailable:
                failed[service] = unavailable
                continue
            chain = self.chains[service]
            try:
                await chain.refresh(now_hour)
            except (StoreError, HistoryError) as error:
                failed[service] = error.message
                problems.append(f"{service}: {error.message}")
                if error.code is ErrorCode.STORE_UNAVAILABLE:
                    unavailable = error.message
        written_before = now_hour if into_hour_s > WRITE_GRACE_S else now_hour - 1
        view = _View(
            index=self.index,
            chains=self.chains,
            now_hour=now_hour,
            written_before=written_before,
        )
        services = []
        for name, spans in self.index.services.items():
            if any(span.is_public for span in spans):
                services.append(view.service(name, failed.get(name, "")))
                # Thousands of hours: other tasks run between the services.
                await asyncio.sleep(0)
        read = Snapshot(read_s=wall_s, services=services, problems=problems)
        if not problems:
            self.last = read
        return read

    async def _read_index(self) -> Index:
        stored = await self.store.get(INDEX_KEY)
        if stored is None:
            if self.index.services:
                raise _index_error("it is gone from the store")
            return Index()
        try:
            return msgspec.json.decode(stored.value, type=Index)
        except msgspec.MsgspecError as error:
            raise _index_error(f"it is not valid: {error}") from error


class _View:
    """Derive the hours of services from their checked chains."""

    def __init__(
        self,
        *,
        index: Index,
        chains: dict[ServiceId, ChainReader],
        now_hour: int,
        written_before: int,
    ) -> None:
        self.index = index
        self.chains = chains
        self.now_hour = now_hour
        self.written_before = written_before
        self.outages = set().union(*(c.outages for c in chains.values()))

    def service(self, service: ServiceId, problem: str) -> ServiceStatus:
        """Return the whole status of one service."""
        chain = self.chains[service]
        spans = self.index.services[service]
        first = min([spans[0].first, *chain.observed])
        end = self.now_hour if spans[-1].last is None else spans[-1].last
        end = max([end, *(h for h in chain.observed if h <= self.now_hour)])
        shown = range(max(first, self.now_hour - KEPT_HOURS + 1), end + 1)
        hours = [self.hour(service, hour) for hour in shown]
        missing = sum(
            hour not in chain.observed and span_of(spans, hour) is not None
            for hour in range(first, min(end + 1, self.written_before))
        )
        return ServiceStatus(
            service=service,
            listed=spans[-1].last is None,
            state=self.current_state(hours),
            depends_on=spans[-1].depends_on,
            first_hour=first,
            checked_hours=max(0, end + 1 - first),
            not_observed_hours=missing,
            hours=hours,
            problem=problem,
        )

    def current_state(self, hours: list[HourStatus]) -> ServiceState:
        """Return the state of the newest hour that is due."""
        for status in reversed(hours):
            if status.reason is not NotObservedReason.IN_PROGRESS:
                return status.state
        return ServiceState.NOT_OBSERVED

    def hour(self, service: ServiceId, hour: int) -> HourStatus:
        """Return one hour of one service."""
        own = self.own_state(service, hour)
        reason = self.reason(service, hour)
        states = [own]
        if reason is not NotObservedReason.NOT_LISTED:
            states += [
                self.own_state(dependency, hour)
                for dependency in self.dependencies(service, hour)
                if self.reason(dependency, hour) is not NotObservedReason.IN_PROGRESS
            ]
        summary = self.chains[service].hours.get(hour)
        return HourStatus(
            hour=hour,
            state=worst(states),
            own=own,
            reason=reason,
            minutes=summary.minutes if summary else 0,
            observers=summary.observers if summary else 0,
            counts=summary.counts if summary else Counts(),
        )

    def own_state(self, service: ServiceId, hour: int) -> ServiceState:
        """Return the state that the service's own counts show."""
        chain = self.chains.get(service)
        summary = chain.hours.get(hour) if chain else None
        return summary.state() if summary else ServiceState.NOT_OBSERVED

    def reason(self, service: ServiceId, hour: int) -> NotObservedReason | None:
        """Return why the hour has no observations, None if it has some."""
        if self.own_state(service, hour) is not ServiceState.NOT_OBSERVED:
            return None
        if span_of(self.index.services.get(service, ()), hour) is None:
            return NotObservedReason.NOT_LISTED
        if hour >= self.written_before:
            return NotObservedReason.IN_PROGRESS
        if hour in self.outages:
            return NotObservedReason.STORE_OUTAGE
        return NotObservedReason.NO_VM_REPORTED

    def dependencies(self, service: ServiceId, hour: int) -> set[ServiceId]:
        """Return all services that the service depended on, also indirectly."""
        found: set[ServiceId] = set()
        waiting = [service]
        while waiting:
            span = span_of(self.index.services.get(waiting.pop(), ()), hour)
            for dependency in span.depends_on if span else ():
                if dependency not in found and dependency != service:
                    found.add(dependency)
                    waiting.append(dependency)
        return found


def span_of(spans: tuple[Listing, ...], hour: int) -> Listing | None:
    """Return the span that contains the hour."""
    for span in reversed(spans):
        if span.first <= hour and (span.last is None or hour <= span.last):
            return span
    return None


def pack(snapshot: Snapshot) -> bytes:
    """Return the snapshot compressed, for another VM."""
    return zlib.compress(msgspec.msgpack.encode(snapshot))


def unpack(data: bytes) -> Snapshot:
    """Return the snapshot that another VM packed; raises ``ValueError``."""
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(data, SNAPSHOT_LIMIT_BYTES)
        return msgspec.msgpack.decode(plain, type=Snapshot)
    except zlib.error as error:
        raise ValueError(f"compressed snapshot is not valid: {error}") from error


def _index_error(message: str) -> HistoryError:
    return HistoryError(
        code=ErrorCode.INTERNAL,
        step=Step.STATUS_READ,
        peer="store",
        message=message,
    )
