"""Fleet-wide rate of organisations: one budget at the leader, turns lent to VMs."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from enum import Enum
from math import floor

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.limits import BucketSize, TokenBucket
from ebonyladder.sessions.catalog import Organisation
from ebonyladder.sessions.shares import effective_part
from ebonyladder.types import OrganisationId

# Turns that were lent are void this long after they were asked for, in seconds.
LOAN_LIFE_S = 1.2
# A VM asks for the turns of this time ahead, in seconds. What VMs hold unspent can
# be spent at once, so it has to stay below the tolerance of the limits.
AHEAD_S = 0.5
# A leader that hasn't answered for this long is taken for lost by operations that have
# waited in vain, in seconds: a report's period in large fleets and a round trip.
LEADER_SILENCE_S = 0.9
# A loan that isn't answered in this time is asked for again, in seconds.
ANSWER_LIMIT_S = 0.7
# Shortest wait for a turn, in seconds, so that rounding never makes it a busy loop.
LEAST_WAIT_S = 0.001
# Demand is averaged over about this time, in seconds.
DEMAND_WINDOW_S = 1.0
# Parts of the tolerance of a limit: for uneven flows, and for the budget of a leader
# that can't know what was admitted before it. The rest is for loans that overlap.
BURST_PART = 0.3
RESTART_PART = 0.4


class Quota(ABC):
    """Admission of operations by the rate of their organisation."""

    @abstractmethod
    async def admit(self, organisation: Organisation, *, longest_s: float) -> None:
        """Admit one operation, waiting for its turn up to ``longest_s`` seconds.

        Raises
        ------
        RequestError
            RATE_EXCEEDED with ``retry_after_s``, as soon as it is known that the
            turn comes later.
        """

    @abstractmethod
    def refund(self, organisation: Organisation) -> None:
        """Give back the turn of an operation that reached no endpoint.

        Without this, callers that try again while a primary is replaced use up
        their organisation's rate with operations that never ran.
        """


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far the operations of a window may exceed a limit.

    Attributes
    ----------
    window_s : float
        Length of the window, in seconds.
    share : float
        Part of what the limit allows in the window.
    operations : float
        Operations beyond that.
    """

    window_s: float = 5.0
    share: float = 0.0
    operations: float = 0.0

    def of(self, organisation: Organisation) -> float:
        """Return the operations by which a window may exceed the limit."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return allowed * self.share + self.operations


class PermitGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Turns that the leader lends to one VM.

    Attributes
    ----------
    turns : int
        Operations that the VM may admit.
    wait_s : float
        Time until the next turn is there, where fewer than asked for were lent.
    """

    turns: int
    wait_s: float = 0.0


class PermitAllocator:
    """Budgets of all organisations, kept by the leader.

    It answers an organisation whose traffic comes through few VMs, which gets its
    whole rate there, and one that sends many times its rate through all of them.

    Parameters
    ----------
    clock : Clock
        Clock of the buckets.
    tolerance : Tolerance
        How far a window may exceed a limit.
    """

    def __init__(self, *, clock: Clock, tolerance: Tolerance) -> None:
        self.clock = clock
        self.tolerance = tolerance
        self.started_s = clock.now_s()
        self.restart_part = RESTART_PART
        self.buckets: dict[OrganisationId, TokenBucket] = {}

    def start_anew(self, *, is_empty: bool) -> None:
        """Forget the time in which other VMs lent or used the turns.

        Parameters
        ----------
        is_empty : bool
            Whether another VM lends up to now, so that not even the part of the
            tolerance for restarts is free.
        """
        self.buckets.clear()
        self.started_s = self.clock.now_s()
        self.restart_part = 0.0 if is_empty else RESTART_PART

    def lend(
        self, organisation: Organisation, wanted: float, *, part: float
    ) -> PermitGrant:
        """Lend turns.

        Parameters
        ----------
        wanted : float
            Turns that the VM asks for.
        part : float
            Part of the rate that may be lent; VMs that don't report to this leader
            use the rest on their own.
        """
        bucket = self._bucket(organisation)
        bucket.resize(self._size(organisation, part))
        turns = floor(min(wanted, bucket.available()))
        bucket.take(turns)
        missing = 1.0 - bucket.available()
        wait_s = max(missing, 0.0) / max(bucket.size.rate_per_s, 1e-3)
        return PermitGrant(turns=turns, wait_s=wait_s if turns < wanted else 0.0)

    def _bucket(self, organisation: Organisation) -> TokenBucket:
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = TokenBucket(size=self._size(organisation, 1.0), clock=self.clock)
            restart = self.restart_part * self.tolerance.of(organisation)
            bucket.tokens = min(restart, organisation.burst)
            bucket.filled_at_s = self.started_s
            self.buckets[organisation.name] = bucket
        return bucket

    def _size(self, organisation: Organisation, share: float) -> BucketSize:
        extra = BURST_PART * self.tolerance.of(organisation)
        capacity = max(1.0, organisation.burst * share + extra)
        return BucketSize(organisation.rate_per_s * share, capacity)


class Demand:
    """Moving average of the operations that were asked for."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.rate_per_s = 0.0
        self.seen_s = clock.now_s()

    def note(self) -> None:
        """Add one operation."""
        self.rate_per_s = self.current() + 1 / DEMAND_WINDOW_S

    def current(self) -> float:
        """Return the rate, in operations per second."""
        now_s = self.clock.now_s()
        left = max(0.0, 1 - (now_s - self.seen_s) / DEMAND_WINDOW_S)
        self.rate_per_s *= left
        self.seen_s = now_s
        return self.rate_per_s


class PermitResult(Enum):
    """How the wait for a turn ended."""

    LENT = "lent"
    REFUSED = "refused"
    ALONE = "alone"


class OrganisationQuota:
    """Turns, waiting operations and demand of one organisation at one VM."""

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.turns = 0
        self.until_s = clock.now_s()
        self.demand = Demand(clock=clock)
        self.waiting: deque[asyncio.Future[PermitResult]] = deque()
        self.asked = 0
        self.asked_s = float("-inf")
        self.wait_s = 0.0
        # Used only while no leader lends; made anew whenever it is taken up.
        self.own_bucket: TokenBucket | None = None
        self.alone_s = float("-inf")
        self.alone = 0

    def take(self) -> bool:
        """Take a turn that was lent, if there is one."""
        if self.turns < 1 or self.clock.now_s() >= self.until_s:
            self.turns = 0
            return False
        self.turns -= 1
        return True

    def wanted(self) -> int:
        """Return the turns to ask for, beyond those asked for already."""
        now_s = self.clock.now_s()
        held = self.turns if now_s < self.until_s else 0
        pending = self.asked if now_s - self.asked_s < ANSWER_LIMIT_S else 0
        ahead = floor(self.demand.current() * AHEAD_S)
        return max(0, len(self.waiting) + ahead - held - pending)


class GrantedQuota(Quota):
    """Admits by turns that the leader lends.

    Without a leader each VM uses the share of the rate that the last one told it, or
    an equal part if it has never had one.

    Parameters
    ----------
    clock : Clock
        Clock of loans.
    tolerance : Tolerance, optional
        How far a window may exceed a limit; none by default.
    """

    def __init__(self, *, clock: Clock, tolerance: Tolerance | None = None) -> None:
        self.clock = clock
        self.tolerance = tolerance or Tolerance()
        self.vm_count = 1
        self.lent_s = float("-inf")
        # None until a leader has told this process its shares.
        self.shares: dict[OrganisationId, float] | None = None
        self.organisations: dict[OrganisationId, OrganisationQuota] = {}
        self.needed = asyncio.Event()

    async def admit(self, organisation: Organisation, *, longest_s: float) -> None:
        """Admit one operation."""
        organisation_quota = self.organisations.setdefault(
            organisation.name, OrganisationQuota(clock=self.clock)
        )
        organisation_quota.demand.note()
        if not organisation_quota.waiting and organisation_quota.take():
            return
        deadline_s = self.clock.now_s() + longest_s
        if self._has_leader():
            answer = await self._wait_for_turn(organisation_quota, longest_s)
            if answer is PermitResult.LENT:
                return
            if answer is PermitResult.REFUSED and not self._is_leader_silent():
                raise self._refusal(
                    organisation,
                    organisation_quota,
                    organisation_quota.wait_s or longest_s,
                )
        await self._admit_alone(organisation, organisation_quota, deadline_s)

    async def _wait_for_turn(
        self, organisation_quota: OrganisationQuota, longest_s: float
    ) -> PermitResult:
        turn: asyncio.Future[PermitResult] = asyncio.get_running_loop().create_future()
        organisation_quota.waiting.append(turn)
        self.needed.set()
        try:
            async with asyncio.timeout(longest_s):
                return await turn
        except TimeoutError:
            return PermitResult.REFUSED
        finally:
            if turn in organisation_quota.waiting:
                organisation_quota.waiting.remove(turn)

    def lose_leader(self) -> None:
        """Go on with this VM's equal part; operations that wait do so too."""
        self.lent_s = float("-inf")
        for organisation_quota in self.organisations.values():
            while organisation_quota.waiting:
                turn = organisation_quota.waiting.popleft()
                if not turn.done():
                    turn.set_result(PermitResult.ALONE)

    def refund(self, organisation: Organisation) -> None:
        """Give back the turn of an operation that reached no endpoint."""
        organisation_quota = self.organisations.get(organisation.name)
        if organisation_quota is not None:
            organisation_quota.turns += 1
            organisation_quota.until_s = max(
                organisation_quota.until_s, self.clock.now_s() + AHEAD_S
            )

    def wants(self) -> dict[OrganisationId, int]:
        """Return the turns to ask for now, and note them as asked for."""
        self.needed.clear()
        found = {}
        for name, organisation_quota in self.organisations.items():
            wanted = organisation_quota.wanted()
            if wanted:
                found[name] = wanted
                organisation_quota.asked = wanted
                organisation_quota.asked_s = self.clock.now_s()
        return found

    def accept(
        self, loans: Mapping[OrganisationId, PermitGrant], asked_s: float
    ) -> None:
        """Take over turns that were asked for at ``asked_s``."""
        self.lent_s = max(self.lent_s, asked_s)
        for name, grant in loans.items():
            organisation_quota = self.organisations.get(name)
            if organisation_quota is not None:
                self._accept_loan(organisation_quota, grant, asked_s)

    def accept_shares(self, changed: Mapping[OrganisationId, float]) -> None:
        """Take over changed shares, for the time without a leader."""
        if changed:
            self.shares = {**(self.shares or {}), **changed}

    def _accept_loan(
        self, organisation_quota: OrganisationQuota, grant: PermitGrant, asked_s: float
    ) -> None:
        organisation_quota.asked = 0
        organisation_quota.own_bucket = None
        organisation_quota.wait_s = grant.wait_s
        if self.clock.now_s() >= organisation_quota.until_s:
            organisation_quota.turns = 0
        organisation_quota.turns += grant.turns
        organisation_quota.until_s = asked_s + LOAN_LIFE_S
        while organisation_quota.waiting and organisation_quota.take():
            turn = organisation_quota.waiting.popleft()
            if turn.done():
                organisation_quota.turns += 1
            else:
                turn.set_result(PermitResult.LENT)
        if grant.wait_s > 0:
            self._refuse_hopeless(organisation_quota, grant)

    def _refuse_hopeless(
        self, organisation_quota: OrganisationQuota, grant: PermitGrant
    ) -> None:
        """Refuse at once what the next loans won't reach.

        The leader has nothing left to lend, so the next loans are of about the
        size of this one.
        """
        while len(organisation_quota.waiting) > max(1, grant.turns):
            turn = organisation_quota.waiting.pop()
            if not turn.done():
                turn.set_result(PermitResult.REFUSED)

    def _is_leader_silent(self) -> bool:
        return self.clock.now_s() - self.lent_s >= LEADER_SILENCE_S

    def _has_leader(self) -> bool:
        return self.clock.now_s() - self.lent_s < LOAN_LIFE_S

    async def _admit_alone(
        self,
        organisation: Organisation,
        organisation_quota: OrganisationQuota,
        deadline_s: float,
    ) -> None:
        part = self._own_part(organisation)
        size = BucketSize(
            organisation.rate_per_s * part, max(1.0, organisation.burst * part)
        )
        if organisation_quota.own_bucket is None:
            organisation_quota.own_bucket = TokenBucket(size=size, clock=self.clock)
            # Links that come and go must not bring these turns twice in a window.
            if (
                self.clock.now_s() - organisation_quota.alone_s
                >= self.tolerance.window_s
            ):
                restart = RESTART_PART * self.tolerance.of(organisation) * part
                organisation_quota.own_bucket.tokens = min(restart, size.capacity)
        organisation_quota.alone_s = self.clock.now_s()
        bucket = organisation_quota.own_bucket
        bucket.resize(size)
        organisation_quota.alone += 1
        try:
            while bucket.available() < 1.0:
                missing = organisation_quota.alone - bucket.available()
                wait_s = max(missing / max(size.rate_per_s, 1e-3), LEAST_WAIT_S)
                if self.clock.now_s() + wait_s > deadline_s:
                    raise self._refusal(organisation, organisation_quota, wait_s)
                await asyncio.sleep(wait_s)
            bucket.take(1.0)
        finally:
            organisation_quota.alone -= 1

    def _own_part(self, organisation: Organisation) -> float:
        """Return the part of a rate that this VM uses without a leader."""
        if self.shares is None:
            return 1 / max(self.vm_count, 1)
        return effective_part(self.shares.get(organisation.name, 0.0), self.vm_count)

    def _refusal(
        self,
        organisation: Organisation,
        organisation_quota: OrganisationQuota,
        wait_s: float,
    ) -> RequestError:
        logging.info(
            "[quota] Operation is refused. organisation=%s rate_per_s=%.1f "
            "burst=%.1f lent_s_ago=%.2f vms=%d demand_per_s=%.1f waiting=%d "
            "wait_s=%.2f",
            organisation.name,
            organisation.rate_per_s,
            organisation.burst,
            self.clock.now_s() - self.lent_s,
            self.vm_count,
            organisation_quota.demand.current(),
            len(organisation_quota.waiting),
            wait_s,
        )
        return RequestError(
            code=ErrorCode.RATE_EXCEEDED,
            step=Step.RATE_ADMIT,
            peer=organisation.name,
            outcome=Outcome.NOT_RUN,
            retry_after_s=wait_s,
        )
