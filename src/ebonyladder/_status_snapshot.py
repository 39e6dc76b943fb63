"""Snapshot of the public status: services, their hours, and gaps of the history."""

import asyncio
import zlib

import msgspec

from ebonyladder._history_reader import SHOWN_HOURS, ChainReader, HistoryError
from ebonyladder.history import INDEX_KEY, ServiceIndex, ServicePeriod
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.status import Counts, NotObservedReason, ServiceState, worst
from ebonyladder.store import PlatformStore
from ebonyladder.types import ServiceId

# The record of an hour is written within this many seconds after the hour's end.
WRITE_GRACE_S = 300
MAX_SNAPSHOT_BYTES = 64_000_000


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
        Minutes observed, at most 60, and number of VM incarnations that did.
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
        False if the service was removed or renamed; its history stays.
    first_hour : int
        First listed hour.
    checked_hours, not_observed_hours : int
        Hours since the first one, and those of them in which the service was
        listed but not observed.
    hours : list of HourStatus
        Last ``SHOWN_HOURS``, ascending; no hour is left out.
    problem : str
        Why the history could not be read and verified; empty if it could.
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
    read_at_s : float
        Wall-clock time of the last read of the store; 0 if there was none.
    problems : list of str
        Why the history could not be read and verified; empty if it could.
    """

    read_at_s: float = msgspec.field(default=0.0, name="read_s")
    services: list[ServiceStatus] = []
    problems: list[str] = []

    @property
    def is_established(self) -> bool:
        """Tell whether the whole history was read and verified."""
        return not self.problems

    def with_problem(self, problem: str) -> "Snapshot":
        """Return the snapshot with a further problem, so not established."""
        return msgspec.structs.replace(self, problems=[problem, *self.problems])


class SnapshotReader:
    """Read snapshots from the store; keep verified hours between reads."""

    def __init__(self, *, store: PlatformStore) -> None:
        self.store = store
        self.chains: dict[ServiceId, ChainReader] = {}
        self.index = ServiceIndex()
        self.last_complete = Snapshot()

    async def read(self, wall_s: float) -> Snapshot:
        """Return the current status; ``problems`` tells what could not be read."""
        now_hour, since_hour_start_s = divmod(int(wall_s), 3_600)
        problems: list[str] = []
        unavailable = ""
        try:
            self.index = await self._read_index()
        except (StoreError, HistoryError) as error:
            return self.last_complete.with_problem(
                f"The list of services: {error.message}"
            )
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
        written_before = (
            now_hour if since_hour_start_s > WRITE_GRACE_S else now_hour - 1
        )
        view = _View(
            index=self.index,
            chains=self.chains,
            now_hour=now_hour,
            written_before=written_before,
        )
        services = []
        for name, periods in self.index.services.items():
            if any(period.is_public for period in periods):
                services.append(view.service(name, failed.get(name, "")))
                # A service has thousands of hours: let other tasks run in between.
                await asyncio.sleep(0)
        read = Snapshot(read_at_s=wall_s, services=services, problems=problems)
        if not problems:
            self.last_complete = read
        return read

    async def _read_index(self) -> ServiceIndex:
        stored = await self.store.get(INDEX_KEY)
        if stored is None:
            if self.index.services:
                raise _index_error("it is gone from the store")
            return ServiceIndex()
        try:
            return msgspec.json.decode(stored.value, type=ServiceIndex)
        except msgspec.MsgspecError as error:
            raise _index_error(f"it is not valid: {error}") from error


class _View:
    """Derive the hours of services from their verified chains."""

    def __init__(
        self,
        *,
        index: ServiceIndex,
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
        periods = self.index.services[service]
        first = min([periods[0].first, *chain.observed])
        end = self.now_hour if periods[-1].last is None else periods[-1].last
        end = max([end, *(h for h in chain.observed if h <= self.now_hour)])
        shown = range(max(first, self.now_hour - SHOWN_HOURS + 1), end + 1)
        hours = [self.hour(service, hour) for hour in shown]
        missing = sum(
            hour not in chain.observed and period_at(periods, hour) is not None
            for hour in range(first, min(end + 1, self.written_before))
        )
        return ServiceStatus(
            service=service,
            listed=periods[-1].last is None,
            state=self.current_state(hours),
            depends_on=periods[-1].depends_on,
            first_hour=first,
            checked_hours=max(0, end + 1 - first),
            not_observed_hours=missing,
            hours=hours,
            problem=problem,
        )

    def current_state(self, hours: list[HourStatus]) -> ServiceState:
        """Return the state of the newest hour that is not in progress."""
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
        if period_at(self.index.services.get(service, ()), hour) is None:
            return NotObservedReason.NOT_LISTED
        if hour >= self.written_before:
            return NotObservedReason.IN_PROGRESS
        if hour in self.outages:
            return NotObservedReason.STORE_OUTAGE
        return NotObservedReason.NO_VM_REPORTED

    def dependencies(self, service: ServiceId, hour: int) -> set[ServiceId]:
        """Return the direct and indirect dependencies of the service in the hour."""
        found: set[ServiceId] = set()
        unvisited = [service]
        while unvisited:
            period = period_at(self.index.services.get(unvisited.pop(), ()), hour)
            for dependency in period.depends_on if period else ():
                if dependency not in found and dependency != service:
                    found.add(dependency)
                    unvisited.append(dependency)
        return found


def period_at(periods: tuple[ServicePeriod, ...], hour: int) -> ServicePeriod | None:
    """Return the period that contains the hour."""
    for period in reversed(periods):
        if period.first <= hour and (period.last is None or hour <= period.last):
            return period
    return None


def pack(snapshot: Snapshot) -> bytes:
    """Encode and compress the snapshot for another VM."""
    return zlib.compress(msgspec.msgpack.encode(snapshot))


def unpack(data: bytes) -> Snapshot:
    """Decode a snapshot of another VM; raise ``ValueError`` if it is not valid."""
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
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
