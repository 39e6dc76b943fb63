"""Conditions for a promotion in a group, and planned switchovers."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Collection
from enum import Enum

import msgspec
from absl import logging

from ebonyladder._fencing import Promotion, new_promoter_id, promote_group
from ebonyladder.endpoint import EndpointDriver, EndpointReport
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.routing import rendezvous_score
from ebonyladder.types import EndpointId, GroupId, Role, Term, VmId

REPORT_TIMEOUT_S = 0.4
RANK_DELAY_S = 0.1
PROMOTION_COOLDOWN_S = 5.0
# Time for another promoter that has gathered votes to promote, and for the first
# report of its primary: four one-way trips between regions (20 ms each), a connection
# and a report.
OTHER_PROMOTER_WAIT_S = 0.5
# Separates the attempts of promoters that have the same rank, as their views differ.
BACKOFF_JITTER_S = 0.2
FOLLOW_RETRY_INTERVAL_S = 1.0
# Time for writes and transactions in flight to end before a switchover.
WRITES_END_TIMEOUT_S = 3.0
CATCH_UP_TIMEOUT_S = 2.0


class PromotionBlocker(Enum):
    """Reason why this VM does not promote now."""

    NONE = "none"
    PRIMARY_REACHABLE = "primary-heard"
    NO_MAJORITY = "no-majority"
    PRIMARY_IN_CONTACT = "primary-in-contact"
    OTHER_PROMOTER = "rival"
    RANK = "rank"
    BACKOFF = "backoff"
    COOLDOWN = "damped"


class PromotionCheck(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one check of the conditions of a promotion.

    Attributes
    ----------
    blocker : PromotionBlocker
        NONE if this VM should promote now.
    recheck_at_s : float, optional
        Time at which the result can change even if the view doesn't.
    """

    blocker: PromotionBlocker
    recheck_at_s: float | None = None


class PromotionPolicy:
    """Decide when this VM promotes in one group, and which endpoints need FOLLOW.

    Only one task uses it.

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
        self.started_at_s = clock.now_s()
        self.term = view.term
        self.term_seen_at_s = float("-inf")
        self.last_primary_term: Term | None = None
        self.primary_since_s = float("-inf")
        self.conditions_met_since_s: float | None = None
        self.next_attempt_at_s = float("-inf")
        self.attempted_term = Term(0)
        self.stale_since_s: dict[EndpointId, float] = {}

    def update(self) -> None:
        """Record changes of term and primary; called at each change of the view."""
        now_s = self.clock.now_s()
        if self.view.term > self.term:
            self.term = self.view.term
            # A term that was known at the start may be old.
            if (
                self.view.latest_reports
                and now_s > self.started_at_s + REPORT_TIMEOUT_S
            ):
                self.term_seen_at_s = now_s
        if self.view.primary is not None and self.last_primary_term != self.view.term:
            if self.last_primary_term is not None:
                self.primary_since_s = now_s
            self.last_primary_term = self.view.term

    def next_term(self) -> Term:
        """Return a term above all that are known or were attempted."""
        return Term(max(self.view.term, self.attempted_term) + 1)

    def check(self, *, rank: int) -> PromotionCheck:
        """Check the conditions of a promotion.

        Parameters
        ----------
        rank : int
            This VM's rank among the group's promoters; 0 promotes first.
        """
        self.update()
        now_s = self.clock.now_s()
        unmet = self._unmet_condition(now_s)
        if unmet is not None:
            self.conditions_met_since_s = None
            return unmet
        if self.conditions_met_since_s is None:
            self.conditions_met_since_s = now_s
        waits = [
            (self.conditions_met_since_s + rank * RANK_DELAY_S, PromotionBlocker.RANK),
            (self.next_attempt_at_s, PromotionBlocker.BACKOFF),
        ]
        if self.view.primary is None:
            other_promoter_deadline_s = (
                self.term_seen_at_s + OTHER_PROMOTER_WAIT_S + rank * RANK_DELAY_S
            )
            waits.append((other_promoter_deadline_s, PromotionBlocker.OTHER_PROMOTER))
        else:
            waits.append(
                (self.primary_since_s + PROMOTION_COOLDOWN_S, PromotionBlocker.COOLDOWN)
            )
        recheck_at_s, blocker = max(waits, key=lambda wait: wait[0])
        if now_s < recheck_at_s:
            return PromotionCheck(blocker=blocker, recheck_at_s=recheck_at_s)
        return PromotionCheck(blocker=PromotionBlocker.NONE)

    def record_attempt(self, term: Term) -> None:
        """Record that an attempt in ``term`` begins."""
        self.attempted_term = term

    def record_failed_attempt(self, *, rank: int) -> None:
        """Back off after an attempt without a majority or without confirmation."""
        jitter = rendezvous_score(f"{self.view.group}/{self.attempted_term}", self.vm)
        backoff_s = (rank + 1) * RANK_DELAY_S + BACKOFF_JITTER_S * jitter / 2**64
        self.next_attempt_at_s = self.clock.now_s() + backoff_s

    def record_promotion(self) -> None:
        """Wait for the new primary's first report before another attempt."""
        self.next_attempt_at_s = self.clock.now_s() + OTHER_PROMOTER_WAIT_S

    def reachable_primary(self) -> EndpointId | None:
        """Return the newest primary that is reachable and still reports that role.

        It is preferred after votes in a higher term that led to no promotion, so
        that the fewest connections and transactions have to move.
        """
        now_s = self.clock.now_s()
        primaries = [
            (latest.report.log_term, name)
            for name, latest in self.view.latest_reports.items()
            if latest.report.role is Role.PRIMARY and self._is_reachable(name, now_s)
        ]
        return max(primaries)[1] if primaries else None

    def stale_endpoints(self, *, rank: int) -> list[EndpointId]:
        """Return the reachable endpoints that do not follow the primary.

        These are former primaries, followers of an older term and endpoints
        whose FOLLOW was lost. Each is returned again only after
        ``FOLLOW_RETRY_INTERVAL_S``.
        """
        now_s = self.clock.now_s()
        primary = self.view.primary
        if primary is None or not self._is_reachable(primary, now_s):
            self.stale_since_s.clear()
            return []
        stale = []
        for name, latest in self.view.latest_reports.items():
            if name == primary or self._follows(latest.report):
                self.stale_since_s.pop(name, None)
            elif self._is_reachable(name, now_s):
                since_s = self.stale_since_s.setdefault(name, now_s)
                if now_s >= since_s + REPORT_TIMEOUT_S + rank * RANK_DELAY_S:
                    # Due again REPORT_TIMEOUT_S after this time, plus the rank's delay.
                    self.stale_since_s[name] = (
                        now_s + FOLLOW_RETRY_INTERVAL_S - REPORT_TIMEOUT_S
                    )
                    stale.append(name)
        return stale

    def _unmet_condition(self, now_s: float) -> PromotionCheck | None:
        """Return the first condition that does not hold, None if all hold."""
        primary = self.view.primary
        last_report_at_s = (
            self.view.latest_reports[primary].at_s if primary else self.started_at_s
        )
        if now_s < last_report_at_s + REPORT_TIMEOUT_S:
            return PromotionCheck(
                blocker=PromotionBlocker.PRIMARY_REACHABLE,
                recheck_at_s=last_report_at_s + REPORT_TIMEOUT_S,
            )
        reachable = [
            latest.report
            for name, latest in self.view.latest_reports.items()
            if name != primary and self._is_reachable(name, now_s)
        ]
        if len(reachable) < self.view.majority:
            return PromotionCheck(blocker=PromotionBlocker.NO_MAJORITY)
        if any(self._is_in_contact(report) for report in reachable):
            return PromotionCheck(blocker=PromotionBlocker.PRIMARY_IN_CONTACT)
        return None

    def _is_reachable(self, endpoint: EndpointId, now_s: float) -> bool:
        return self.view.is_reachable(endpoint, now_s=now_s, timeout_s=REPORT_TIMEOUT_S)

    def _is_in_contact(self, report: EndpointReport) -> bool:
        """Tell whether a report shows contact with the primary of the highest term.

        Contact with a primary of a lower term does not count: after a vote in
        a higher term it is no longer the primary of the group.
        """
        return (
            report.role is Role.REPLICA
            and report.fence_term == self.view.term
            and report.primary_contact_age_s < REPORT_TIMEOUT_S
        )

    def _follows(self, report: EndpointReport) -> bool:
        return (
            report.role is Role.REPLICA
            and report.fence_term == self.view.term
            and report.primary_contact_age_s < FOLLOW_RETRY_INTERVAL_S
        )


class WriteGate(ABC):
    """Hold writes to a group's primary during a planned switchover."""

    @abstractmethod
    async def close(self, group: GroupId, *, timeout_s: float) -> bool:
        """Hold new writes and transactions; wait for those in flight.

        Returns
        -------
        bool
            True if all ended within ``timeout_s`` seconds.
        """

    @abstractmethod
    def open(self, group: GroupId) -> None:
        """Admit writes again, at whichever endpoint is primary then."""


async def switch_over(
    *,
    view: GroupView,
    driver: EndpointDriver,
    gate: WriteGate,
    policy: PromotionPolicy,
    in_service: Collection[EndpointId],
    catch_up_timeout_s: float = CATCH_UP_TIMEOUT_S,
) -> Promotion:
    """Move the primary role to an endpoint in service without losing writes.

    Raises
    ------
    EndpointError
        NO_ENDPOINT if no endpoint in service follows the primary, DEADLINE
        (NOT_RUN) if the target did not catch up, or the errors of
        ``promote_group``.
    """
    target = _switchover_target(view, policy.clock.now_s(), in_service)
    try:
        if not await gate.close(view.group, timeout_s=WRITES_END_TIMEOUT_S):
            logging.warning(
                "[promotion] Open transactions will be rolled back. group=%s",
                view.group,
            )
        await _wait_caught_up(view, target, policy.clock.now_s(), catch_up_timeout_s)
        term = policy.next_term()
        policy.record_attempt(term)
        return await promote_group(
            view=view,
            driver=driver,
            term=term,
            promoter=new_promoter_id(policy.vm),
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
        and view.is_reachable(name, now_s=now_s, timeout_s=REPORT_TIMEOUT_S)
        and view.latest_reports[name].report.log_term == view.term
    ]
    if not candidates or view.primary is None:
        raise EndpointError(
            code=ErrorCode.NO_ENDPOINT, step=Step.SWITCHOVER, peer=view.group
        )
    return max(candidates)[1]


async def _wait_caught_up(
    view: GroupView, target: EndpointId, held_at_s: float, timeout_s: float
) -> None:
    """Wait until the target has received all that the primary had at ``held_at_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            while not _is_caught_up(view, target, held_at_s):
                await view.changed.wait()
    except TimeoutError:
        raise EndpointError(
            code=ErrorCode.DEADLINE,
            step=Step.SWITCHOVER,
            peer=target,
            outcome=Outcome.NOT_RUN,
        ) from None


def _is_caught_up(view: GroupView, target: EndpointId, held_at_s: float) -> bool:
    primary = view.primary
    if primary is None or view.latest_reports[primary].at_s <= held_at_s:
        return False
    at_target = view.latest_reports[target].report
    at_primary = view.latest_reports[primary].report
    return (
        at_target.log_term == at_primary.log_term
        and at_target.received >= at_primary.received
    )
