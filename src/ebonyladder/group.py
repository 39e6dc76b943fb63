"""State of a database group, gathered from its endpoints' reports."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from ebonyladder.catch_up import CatchUp
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

PROBE_HISTORY = 64


class HeardReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report with the time at which it arrived, on this VM's clock."""

    report: EndpointReport
    at_s: float


class Probe(msgspec.Struct, kw_only=True):
    """Question to all endpoints of a group, for bounded-age reads.

    Attributes
    ----------
    number : int
        Number that the answers carry.
    sent_s : float
        Time before the question was sent, on this VM's clock.
    answers : dict of EndpointId to EndpointReport
        Answers so far.
    """

    number: int
    sent_s: float
    answers: dict[EndpointId, EndpointReport]


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Proof that all writes acknowledged by ``sent_s`` are within ``at``."""

    sent_s: float
    at: Position


class GroupView:
    """What one VM knows of a group.

    One task per endpoint feeds reports in; decisions read them.

    Parameters
    ----------
    group : GroupId
        Group that is watched.
    endpoints : dict of EndpointId to Address
        Endpoints of the group.

    Attributes
    ----------
    users : int
        Requests and transactions that depend on the view; it is fed until the
        last one ends, also when the VM no longer owns an endpoint.
    changed : asyncio.Event
        Set at the next change and then replaced, so that each wait on it
        begins with the state as it was read.
    """

    def __init__(self, *, group: GroupId, endpoints: dict[EndpointId, Address]) -> None:
        self.group = group
        self.endpoints = endpoints
        self.heard: dict[EndpointId, HeardReport] = {}
        self.catch_up = {name: CatchUp() for name in endpoints}
        self.link_down_since_s: dict[EndpointId, float] = {}
        self.probes: deque[Probe] = deque(maxlen=PROBE_HISTORY)
        self.evidence: deque[Evidence] = deque(maxlen=PROBE_HISTORY)
        self.term = Term(0)
        self.probe_number = 0
        self.users = 0
        self.changed = asyncio.Event()

    @contextmanager
    def use(self) -> Iterator[None]:
        """Keep the view fed within the block."""
        self.users += 1
        try:
            yield
        finally:
            self.users -= 1

    def wake(self) -> None:
        """Wake those who wait for a change."""
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def wait_until(self, condition: Callable[[], bool], wait_s: float) -> bool:
        """Wait until ``condition`` holds; False if ``wait_s`` seconds passed."""
        # Most calls need no wait; a timer for each of them costs more than that.
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
        for name, heard in self.heard.items():
            report = heard.report
            if report.role is Role.PRIMARY and report.log_term == self.term:
                return name
        return None

    def hear(self, report: EndpointReport, now_s: float) -> None:
        """Take in one report."""
        self.heard[report.endpoint] = HeardReport(report=report, at_s=now_s)
        self.catch_up.setdefault(report.endpoint, CatchUp()).note(report, now_s)
        self.link_down_since_s.pop(report.endpoint, None)
        self.term = max(self.term, report.fence_term, report.log_term)
        if report.probe:
            self._answer_probe(report)
        self.wake()

    def lose_link(self, endpoint: EndpointId, now_s: float) -> None:
        """Note that the report stream of an endpoint has ended."""
        self.link_down_since_s.setdefault(endpoint, now_s)
        self.wake()

    def is_reachable(
        self, endpoint: EndpointId, *, now_s: float, silence_s: float
    ) -> bool:
        """Tell whether the endpoint was heard within ``silence_s`` seconds."""
        heard = self.heard.get(endpoint)
        if heard is None or endpoint in self.link_down_since_s:
            return False
        return now_s - heard.at_s < silence_s

    def start_probe(self, now_s: float) -> int:
        """Begin a probe; returns the number to send to all endpoints."""
        self.probe_number += 1
        self.probes.append(Probe(number=self.probe_number, sent_s=now_s, answers={}))
        return self.probe_number

    def _answer_probe(self, report: EndpointReport) -> None:
        probe = next((p for p in self.probes if p.number == report.probe), None)
        if probe is not None:
            probe.answers[report.endpoint] = report
            self._conclude_probe(probe)

    def _conclude_probe(self, probe: Probe) -> None:
        """Turn a probe into evidence once a majority confirms its primary.

        A majority without a vote above the primary's term proves that no later
        term had acknowledged a write when the probe was sent.
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
                self.evidence.append(
                    Evidence(
                        sent_s=probe.sent_s,
                        at=Position(term=report.log_term, position=report.received),
                    )
                )
                self.probes.remove(probe)
                return

    def is_confirmed(self, at: Position) -> bool:
        """Tell whether a majority has ``at`` in its log in the same term."""
        holders = [
            heard
            for heard in self.heard.values()
            if heard.report.log_term == at.term and heard.report.received >= at.position
        ]
        return len(holders) >= self.majority

    def age_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the greatest possible age of an endpoint's data in seconds."""
        heard = self.heard.get(endpoint)
        if heard is None:
            return float("inf")
        report = heard.report
        proven = [
            proof.sent_s
            for proof in self.evidence
            if report.log_term == proof.at.term and report.applied >= proof.at.position
        ]
        return now_s - max(proven) if proven else float("inf")

    def lag_entries(self, endpoint: EndpointId) -> int:
        """Return how many entries an endpoint has yet to apply."""
        heard = self.heard.get(endpoint)
        newest = max((h.report.received for h in self.heard.values()), default=0)
        return newest - heard.report.applied if heard else newest

    def newest_received(self) -> LogPosition:
        """Return the highest log position reported in the current term."""
        return LogPosition(
            max(
                (
                    h.report.received
                    for h in self.heard.values()
                    if h.report.log_term == self.term
                ),
                default=0,
            )
        )


class GroupWatch(ABC):
    """Views of the groups of which this VM owns an endpoint."""

    @abstractmethod
    def views(self) -> list[GroupView]:
        """Return the views, by group name."""

    @abstractmethod
    def view_of(self, group: GroupId) -> GroupView | None:
        """Return the view of one group, None if it is not watched."""

    @abstractmethod
    def notify(self, group: GroupId) -> None:
        """Wake those who wait for a change of the group, after a promotion."""
