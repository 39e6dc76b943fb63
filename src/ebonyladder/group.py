"""State of a database group as its endpoints report it."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from ebonyladder.apply_lag import ApplyLag
from ebonyladder.endpoint import EndpointReport
from ebonyladder.types import (
    Address,
    EndpointId,
    GroupId,
    LogPosition,
    Position,
    Role,
    Term,
)

MAX_PROBES = 64


class ReceivedReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report of an endpoint and the time at which this VM received it."""

    report: EndpointReport
    at_s: float


class PositionProbe(msgspec.Struct, kw_only=True):
    """Request to all endpoints of a group for their positions.

    Reads with bounded staleness need its result.

    Attributes
    ----------
    number : int
        Number that the requested reports carry.
    sent_at_s : float
        Time just before the request was sent, on this VM's clock.
    answers : dict of EndpointId to EndpointReport
        Reports received so far.
    """

    number: int
    sent_at_s: float
    answers: dict[EndpointId, EndpointReport]


class PositionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Position of a primary that a majority confirmed.

    All writes that were acknowledged by ``sent_at_s`` are at or before ``at``.
    """

    sent_at_s: float
    at: Position


class GroupView:
    """One VM's view of a group.

    One task for each endpoint records its reports; decisions are made from them.

    Parameters
    ----------
    group : GroupId
        Monitored group.
    endpoints : dict of EndpointId to Address
        Endpoints of the group.

    Attributes
    ----------
    references : int
        Number of requests and transactions that use the view. The view is updated
        until the last one ends, even when the VM no longer owns an endpoint of the
        group.
    changed : asyncio.Event
        Set at the next change and then replaced by a new event. A task that
        gets the event before it reads the state misses no later change.
    """

    def __init__(self, *, group: GroupId, endpoints: dict[EndpointId, Address]) -> None:
        self.group = group
        self.endpoints = endpoints
        self.latest_reports: dict[EndpointId, ReceivedReport] = {}
        self.apply_lag = {name: ApplyLag() for name in endpoints}
        self.disconnected_since_s: dict[EndpointId, float] = {}
        self.probes: deque[PositionProbe] = deque(maxlen=MAX_PROBES)
        self.position_samples: deque[PositionSample] = deque(maxlen=MAX_PROBES)
        self.term = Term(0)
        self.probe_number = 0
        self.references = 0
        self.changed = asyncio.Event()

    @contextmanager
    def use(self) -> Iterator[None]:
        """Keep the view updated during the block."""
        self.references += 1
        try:
            yield
        finally:
            self.references -= 1

    def notify_changed(self) -> None:
        """Notify the tasks that wait for a change."""
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def wait_until(self, condition: Callable[[], bool], wait_s: float) -> bool:
        """Wait up to ``wait_s`` seconds for ``condition``; tell whether it holds."""
        # Most calls need no wait, and then a timer would cost more than the check.
        if condition():
            return True
        try:
            async with asyncio.timeout(wait_s):
                while not condition():
                    await self.changed.wait()
        except TimeoutError:
            return condition()
        return True

    @property
    def majority(self) -> int:
        """Smallest number of endpoints that is more than half."""
        return len(self.endpoints) // 2 + 1

    @property
    def primary(self) -> EndpointId | None:
        """Endpoint that reports the primary role in the highest known term."""
        for name, latest in self.latest_reports.items():
            report = latest.report
            if report.role is Role.PRIMARY and report.log_term == self.term:
                return name
        return None

    def record_report(self, report: EndpointReport, now_s: float) -> None:
        """Record one report."""
        self.latest_reports[report.endpoint] = ReceivedReport(report=report, at_s=now_s)
        self.apply_lag.setdefault(report.endpoint, ApplyLag()).record(report, now_s)
        self.disconnected_since_s.pop(report.endpoint, None)
        self.term = max(self.term, report.fence_term, report.log_term)
        if report.probe:
            self._record_probe_answer(report)
        self.notify_changed()

    def record_disconnect(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that the report stream of an endpoint has ended."""
        self.disconnected_since_s.setdefault(endpoint, now_s)
        self.notify_changed()

    def is_reachable(
        self, endpoint: EndpointId, *, now_s: float, timeout_s: float
    ) -> bool:
        """Tell whether the endpoint is connected and reported within ``timeout_s``."""
        latest = self.latest_reports.get(endpoint)
        if latest is None or endpoint in self.disconnected_since_s:
            return False
        return now_s - latest.at_s < timeout_s

    def start_probe(self, now_s: float) -> int:
        """Start a probe; return the number to send to all endpoints."""
        self.probe_number += 1
        self.probes.append(
            PositionProbe(number=self.probe_number, sent_at_s=now_s, answers={})
        )
        return self.probe_number

    def _record_probe_answer(self, report: EndpointReport) -> None:
        probe = next((p for p in self.probes if p.number == report.probe), None)
        if probe is not None:
            probe.answers[report.endpoint] = report
            self._complete_probe(probe)

    def _complete_probe(self, probe: PositionProbe) -> None:
        """Store a position sample once a majority confirms the probe's primary.

        If a majority has voted in no term above the primary's, no later term had
        acknowledged a write when the probe was sent.
        """
        for report in probe.answers.values():
            if report.role is not Role.PRIMARY:
                continue
            confirming = [
                other
                for other in probe.answers.values()
                if other.fence_term <= report.log_term
            ]
            if len(confirming) >= self.majority:
                self.position_samples.append(
                    PositionSample(
                        sent_at_s=probe.sent_at_s,
                        at=Position(term=report.log_term, position=report.received),
                    )
                )
                self.probes.remove(probe)
                return

    def is_confirmed(self, at: Position) -> bool:
        """Tell whether a majority has ``at`` in its log in the same term."""
        confirming = [
            latest
            for latest in self.latest_reports.values()
            if latest.report.log_term == at.term
            and latest.report.received >= at.position
        ]
        return len(confirming) >= self.majority

    def staleness_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the upper bound of the staleness of an endpoint's data."""
        latest = self.latest_reports.get(endpoint)
        if latest is None:
            return float("inf")
        report = latest.report
        proven_at_s = [
            sample.sent_at_s
            for sample in self.position_samples
            if report.log_term == sample.at.term
            and report.applied >= sample.at.position
        ]
        return now_s - max(proven_at_s) if proven_at_s else float("inf")

    def lag_entries(self, endpoint: EndpointId) -> int:
        """Return how many log entries an endpoint has not applied yet."""
        latest = self.latest_reports.get(endpoint)
        newest = max(
            (other.report.received for other in self.latest_reports.values()),
            default=0,
        )
        return newest - latest.report.applied if latest else newest

    def newest_received(self) -> LogPosition:
        """Return the highest log position reported in the current term."""
        return LogPosition(
            max(
                (
                    latest.report.received
                    for latest in self.latest_reports.values()
                    if latest.report.log_term == self.term
                ),
                default=0,
            )
        )


class GroupMonitor(ABC):
    """Views of the groups of which this VM owns an endpoint."""

    @abstractmethod
    def views(self) -> list[GroupView]:
        """Return the views, by group name."""

    @abstractmethod
    def view_of(self, group: GroupId) -> GroupView | None:
        """Return the view of one group; None if it is not monitored."""

    @abstractmethod
    def notify(self, group: GroupId) -> None:
        """Notify the tasks that wait for a change of the group."""
