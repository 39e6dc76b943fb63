"""Decision when to promote in a database group, and planned switchover."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Collection
from enum import Enum

import msgspec
from absl import logging

from ebonyladder._fencing import Promotion, new_ballot, promote_group
from ebonyladder.endpoint import EndpointDriver, EndpointReport
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.routing import rendezvous_score
from ebonyladder.types import EndpointId, GroupId, Role, Term, VmId

SILENCE_S = 0.4
RANK_DELAY_S = 0.1
DAMPING_S = 5.0
# Time for a rival that has fenced to promote and for the primary's first report:
# four one-way trips between regions (20 ms each), a connection and a report.
RIVAL_WAIT_S = 0.5
# Spreads the attempts of promoters that took the same rank by different views.
BACKOFF_SPREAD_S = 0.2
FOLLOW_AGAIN_S = 1.0
TRANSACTION_LIMIT_S = 3.0
CATCH_UP_LIMIT_S = 2.0


class Hindrance(Enum):
    """Reason why a VM does not promote now."""

    NONE = "none"
    PRIMARY_HEARD = "primary-heard"
    NO_MAJORITY = "no-majority"
    PRIMARY_IN_CONTACT = "primary-in-contact"
    RIVAL = "rival"
    RANK = "rank"
    BACKOFF = "backoff"
    DAMPED = "damped"


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one check of the conditions.

    Attributes
    ----------
    hindrance : Hindrance
        NONE if this VM should promote now.
    again_s : float, optional
        Time at which the result can change without a change of the view.
    """

    hindrance: Hindrance
    again_s: float | None = None


class PromotionPolicy:
    """Decide when this VM promotes in one group, and what needs FOLLOW.

    A single task owns it.

    Parameters
    ----------
    view : GroupView
        This VM's view of the group.
    vm : VmId
        This VM.
    clock : Clock
        Clock of the view's reports.
    """

    def __init__(self, *, view: GroupView, vm: VmId, clock: Clock) -> None:
        self.view = view
        self.vm = vm
        self.clock = clock
        self.started_s = clock.now_s()
        self.term = view.term
        self.term_seen_s = float("-inf")
        self.led_term: Term | None = None
        self.primary_since_s = float("-inf")
        self.met_since_s: float | None = None
        self.not_before_s = float("-inf")
        self.tried_term = Term(0)
        self.stale_since_s: dict[EndpointId, float] = {}

    def observe(self) -> None:
        """Note changes of term and primary; called at each change of the view."""
        now_s = self.clock.now_s()
        if self.view.term > self.term:
            self.term = self.view.term
            # A term that was there at the start may be old.
            if self.view.latest_reports and now_s > self.started_s + SILENCE_S:
                self.term_seen_s = now_s
        if self.view.primary is not None and self.led_term != self.view.term:
            if self.led_term is not None:
                self.primary_since_s = now_s
            self.led_term = self.view.term

    def next_term(self) -> Term:
        """Return a term above all that are known or were tried."""
        return Term(max(self.view.term, self.tried_term) + 1)

    def check(self, *, rank: int) -> Check:
        """Check the conditions of a promotion.

        Parameters
        ----------
        rank : int
            This VM's place among the group's promoters, 0 first.
        """
        self.observe()
        now_s = self.clock.now_s()
        unmet = self._unmet(now_s)
        if unmet is not None:
            self.met_since_s = None
            return unmet
        if self.met_since_s is None:
            self.met_since_s = now_s
        holds = [
            (self.met_since_s + rank * RANK_DELAY_S, Hindrance.RANK),
            (self.not_before_s, Hindrance.BACKOFF),
        ]
        if self.view.primary is None:
            rival_s = self.term_seen_s + RIVAL_WAIT_S + rank * RANK_DELAY_S
            holds.append((rival_s, Hindrance.RIVAL))
        else:
            holds.append((self.primary_since_s + DAMPING_S, Hindrance.DAMPED))
        until_s, hindrance = max(holds, key=lambda hold: hold[0])
        if now_s < until_s:
            return Check(hindrance=hindrance, again_s=until_s)
        return Check(hindrance=Hindrance.NONE)

    def note_attempt(self, term: Term) -> None:
        """Note that an attempt in ``term`` begins."""
        self.tried_term = term

    def note_lost(self, *, rank: int) -> None:
        """Back off after a lost vote or an unconfirmed promotion."""
        spread = rendezvous_score(f"{self.view.group}/{self.tried_term}", self.vm)
        delay_s = (rank + 1) * RANK_DELAY_S + BACKOFF_SPREAD_S * spread / 2**64
        self.not_before_s = self.clock.now_s() + delay_s

    def note_promoted(self) -> None:
        """Give the new primary time to be heard before another attempt."""
        self.not_before_s = self.clock.now_s() + RIVAL_WAIT_S

    def reachable_leader(self) -> EndpointId | None:
        """Return the reachable endpoint that led last and still believes it does.

        After a vote that led to no promotion it is the preferred choice, so
        that connections and transactions move least.
        """
        now_s = self.clock.now_s()
        leaders = [
            (latest.report.log_term, name)
            for name, latest in self.view.latest_reports.items()
            if latest.report.role is Role.PRIMARY and self._is_reachable(name, now_s)
        ]
        return max(leaders)[1] if leaders else None

    def stale_endpoints(self, *, rank: int) -> list[EndpointId]:
        """Return the reachable endpoints that do not follow the primary.

        Each is returned again only ``FOLLOW_AGAIN_S`` later. These are former
        primaries, followers of an older term and endpoints whose FOLLOW was
        lost.
        """
        now_s = self.clock.now_s()
        primary = self.view.primary
        if primary is None or not self._is_reachable(primary, now_s):
            self.stale_since_s.clear()
            return []
        due = []
        for name, latest in self.view.latest_reports.items():
            if name == primary or self._follows(latest.report):
                self.stale_since_s.pop(name, None)
            elif self._is_reachable(name, now_s):
                since_s = self.stale_since_s.setdefault(name, now_s)
                if now_s >= since_s + SILENCE_S + rank * RANK_DELAY_S:
                    self.stale_since_s[name] = now_s + FOLLOW_AGAIN_S - SILENCE_S
                    due.append(name)
        return due

    def _unmet(self, now_s: float) -> Check | None:
        """Return the first condition that does not hold, None if all hold."""
        primary = self.view.primary
        heard_s = self.view.latest_reports[primary].at_s if primary else self.started_s
        if now_s < heard_s + SILENCE_S:
            return Check(hindrance=Hindrance.PRIMARY_HEARD, again_s=heard_s + SILENCE_S)
        witnesses = [
            latest.report
            for name, latest in self.view.latest_reports.items()
            if name != primary and self._is_reachable(name, now_s)
        ]
        if len(witnesses) < self.view.majority:
            return Check(hindrance=Hindrance.NO_MAJORITY)
        if any(self._is_in_contact(report) for report in witnesses):
            return Check(hindrance=Hindrance.PRIMARY_IN_CONTACT)
        return None

    def _is_reachable(self, endpoint: EndpointId, now_s: float) -> bool:
        return self.view.is_reachable(endpoint, now_s=now_s, timeout_s=SILENCE_S)

    def _is_in_contact(self, report: EndpointReport) -> bool:
        """Tell whether a report shows contact with the highest term's primary.

        Contact with a primary of a lower term does not count: after a vote in
        the higher term that primary is no longer the group's.
        """
        return (
            report.role is Role.REPLICA
            and report.fence_term == self.view.term
            and report.primary_contact_age_s < SILENCE_S
        )

    def _follows(self, report: EndpointReport) -> bool:
        return (
            report.role is Role.REPLICA
            and report.fence_term == self.view.term
            and report.primary_contact_age_s < FOLLOW_AGAIN_S
        )


class WriteGate(ABC):
    """Hold back writes to a group's primary during a planned switchover."""

    @abstractmethod
    async def close(self, group: GroupId, *, limit_s: float) -> bool:
        """Admit no new write or transaction; wait for those under way.

        Returns
        -------
        bool
            True if all ended within ``limit_s`` seconds.
        """

    @abstractmethod
    def open(self, group: GroupId) -> None:
        """Admit writes again, at whichever primary the group has."""


async def switch_over(
    *,
    view: GroupView,
    driver: EndpointDriver,
    gate: WriteGate,
    policy: PromotionPolicy,
    in_service: Collection[EndpointId],
    catch_up_limit_s: float = CATCH_UP_LIMIT_S,
) -> Promotion:
    """Move the primary role to an endpoint in service, without lost writes.

    Raises
    ------
    EndpointError
        NO_ENDPOINT if no endpoint in service follows the primary, DEADLINE
        (NOT_RUN) if the target did not catch up, or the errors of
        ``promote_group``.
    """
    target = _switchover_target(view, policy.clock.now_s(), in_service)
    try:
        if not await gate.close(view.group, limit_s=TRANSACTION_LIMIT_S):
            logging.warning(
                "[promotion] Open transactions will be rolled back. group=%s",
                view.group,
            )
        await _wait_caught_up(view, target, policy.clock.now_s(), catch_up_limit_s)
        term = policy.next_term()
        policy.note_attempt(term)
        return await promote_group(
            view=view,
            driver=driver,
            term=term,
            ballot=new_ballot(policy.vm),
            in_service=in_service,
            preferred=target,
        )
    finally:
        gate.open(view.group)


def _switchover_target(
    view: GroupView, now_s: float, in_service: Collection[EndpointId]
) -> EndpointId:
    candidates = [
        (view.latest_reports[name].report.received, name)
        for name in in_service
        if name != view.primary
        and view.is_reachable(name, now_s=now_s, timeout_s=SILENCE_S)
        and view.latest_reports[name].report.log_term == view.term
    ]
    if not candidates or view.primary is None:
        raise EndpointError(
            code=ErrorCode.NO_ENDPOINT, step=Step.SWITCHOVER, peer=view.group
        )
    return max(candidates)[1]


async def _wait_caught_up(
    view: GroupView, target: EndpointId, closed_s: float, limit_s: float
) -> None:
    """Wait until the target has all that the primary had after ``closed_s``."""
    try:
        async with asyncio.timeout(limit_s):
            while not _is_caught_up(view, target, closed_s):
                await view.changed.wait()
    except TimeoutError:
        raise EndpointError(
            code=ErrorCode.DEADLINE,
            step=Step.SWITCHOVER,
            peer=target,
            outcome=Outcome.NOT_RUN,
        ) from None


def _is_caught_up(view: GroupView, target: EndpointId, closed_s: float) -> bool:
    primary = view.primary
    if primary is None or view.latest_reports[primary].at_s <= closed_s:
        return False
    report = view.latest_reports[target].report
    newest = view.latest_reports[primary].report
    return report.log_term == newest.log_term and report.received >= newest.received
