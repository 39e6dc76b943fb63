"""Plug-in for fleet-wide rate limits: leases, grants and admission."""

import asyncio
from math import floor
from typing import NamedTuple

from absl import logging
from msgspec.structs import replace

from ebonyladder._admission import AdmissionQueue
from ebonyladder._claims import Claims
from ebonyladder._collector import Collector
from ebonyladder._holdings import Holdings
from ebonyladder._lease_keeper import VIEW_SETTLE_LIMIT_S, LeaseKeeper
from ebonyladder.configuration import ConfigurationSource, OrganisationSpec
from ebonyladder.kernel.error import ErrorCode, PeerError, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.limits import (
    GRANT_VOID_S,
    MAIN_DURATION_S,
    TOKEN_TOLERANCE,
    RateLimits,
    fleet_size,
    main_order,
    reserve_part,
    shard_of,
)
from ebonyladder.membership import Membership
from ebonyladder.messages import Grant, GrantRequest, LeaseShare, Message
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.store import PlatformStore
from ebonyladder.types import OrganisationId, VmId

# Bounds the messages of one VM for one organisation to 50 a second.
RETRY_FLOOR_S = 0.02
NO_HOLDER_RETRY_S = 0.2
# A VM keeps its place this long after the time at which it should ask again.
CLAIM_GRACE_S = 0.15
HOLDER_TRIES = 3
# A VM that collects in place of an unreachable holder is asked this long before
# the holder is tried again.
FALLBACK_S = 1.0
# A starting fleet takes its main leases once its view has settled; a request that
# comes earlier waits in vain and would be refused for a rate that it keeps.
START_POLL_S = 0.1
# By then main leases are tried for in any view, and those of a fleet that was
# killed have lapsed; without the store, tokens come from the reserves.
START_LIMIT_S = max(VIEW_SETTLE_LIMIT_S, MAIN_DURATION_S) + 1.0


class Believed(NamedTuple):
    """VM to ask for tokens of a shard, until a time on this VM's clock."""

    vm: VmId
    until_s: float


@register
class LimitsPlugin(Plugin, RateLimits):
    """Hold limit leases, grant tokens and admit requests."""

    name = "limits"
    provides = (RateLimits,)
    requires = (PlatformStore, PeerLinks, Membership, ConfigurationSource)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.holdings = Holdings(clock=self.clock)
        self.queues: dict[OrganisationId, AdmissionQueue] = {}
        self.pumps: set[OrganisationId] = set()
        self.main_holders: dict[int, Believed] = {}
        self.claims: dict[OrganisationId, Claims] = {}
        self.started = asyncio.Event()

    async def start(self) -> None:
        """Start to hold leases and to answer requests for tokens."""
        self.links = self.kernel.get(PeerLinks)
        self.membership = self.kernel.get(Membership)
        self.collector = Collector(
            clock=self.clock,
            links=self.links,
            vm=self.vm,
            members=self._members,
            suspect=self.membership.suspect,
        )
        source = self.kernel.get(ConfigurationSource)
        self.holdings.configure(source.current)
        source.subscribe(self.holdings.configure)
        self.links.handle(GrantRequest, self._answer)
        self.keeper = LeaseKeeper(
            kernel=self.kernel,
            store=self.kernel.get(PlatformStore),
            incarnation=self.links.incarnation,
            workers=self._workers,
            holdings=self.holdings,
        )
        self.keeper.start()
        self.kernel.spawn(self._find_holders(), name="limits-start")

    async def drain(self) -> None:
        """Release all leases, so that other VMs take them at once."""
        await self.keeper.release_all()

    async def admit(self, organisation: OrganisationId, *, wait_s: float) -> None:
        """Take one token, in the order of arrival.

        A request waits for at least one round trip, ``GRANT_VOID_S``.
        """
        spec = self.holdings.spec_of(organisation)
        if spec is None or spec.rate_per_s <= 0:
            raise RequestError(code=ErrorCode.RATE_EXCEEDED, step=Step.RATE_ADMIT)
        queue = self.queues.get(organisation)
        if queue is None:
            queue = AdmissionQueue(organisation=organisation, clock=self.clock)
            self.queues[organisation] = queue
        queue.rate_per_s = fleet_size(spec).rate_per_s
        if not queue.waiters and self._take_local(organisation):
            return
        waiter = queue.add(wait_s=max(wait_s, GRANT_VOID_S))
        if organisation not in self.pumps:
            self.pumps.add(organisation)
            self.kernel.spawn(self._pump(queue), name=f"limits-{organisation}")
        try:
            async with asyncio.timeout(max(wait_s, GRANT_VOID_S)):
                await waiter.admitted
        except TimeoutError:
            queue.drop_ended()
            raise queue.refusal() from None

    def is_ready(self) -> bool:
        """Tell whether each shard's main holder has answered since the start."""
        return self.started.is_set()

    def leases_held(self) -> list[LeaseShare]:
        """Return the valid leases of shards that have organisations."""
        now_s = self.clock.now_s()
        return [
            LeaseShare(
                lease=name.key,
                left_s=round(holding.lease.end_s - now_s, 1),
                tokens={
                    organisation: round(bucket.available(), 2)
                    for organisation, bucket in holding.buckets.items()
                },
            )
            for holdings in self.holdings.held.values()
            for name, holding in holdings.items()
            if holding.buckets and holding.lease.is_valid()
        ]

    async def _find_holders(self) -> None:
        """Ask for the main holder of each shard in use, for a limited time."""
        found: set[int] = set()
        end_s = self.clock.now_s() + START_LIMIT_S
        while self.clock.now_s() < end_s:
            in_use = self.holdings.specs
            missing = {
                shard: next(iter(in_use[shard])) for shard in in_use.keys() - found
            }
            if in_use and not missing:
                break
            grants = await asyncio.gather(
                *(self._ask_holder(org, wanted=0) for org in missing.values())
            )
            for shard, grant in zip(missing, grants, strict=True):
                if grant.holder is not None:
                    found.add(shard)
            await asyncio.sleep(START_POLL_S)
        logging.info(
            "[limits] Callers are admitted from now on. holders=%d shards=%d",
            len(found),
            len(self.holdings.specs),
        )
        self.started.set()

    def _take_local(self, organisation: OrganisationId) -> bool:
        """Take a token without asking anybody, where this VM has the main lease."""
        if not self.holdings.holds_main(shard_of(organisation)):
            return False
        claimed = self._claims_of(organisation).total()
        if self._available(organisation) < claimed + 1 - TOKEN_TOLERANCE:
            return False
        return self._take(organisation, 1).granted > 0

    async def _pump(self, queue: AdmissionQueue) -> None:
        """Ask for the tokens of all requests that wait; ends when none does."""
        try:
            while queue.waiters:
                grant = await self._ask_holder(
                    queue.organisation,
                    wanted=len(queue.waiters),
                    wait_s=queue.longest_wait_s(),
                )
                tokens = floor(grant.granted + TOKEN_TOLERANCE)
                queue.settle(tokens, retry_after_s=grant.retry_after_s)
                if queue.waiters:
                    await asyncio.sleep(grant.retry_after_s)
                    queue.drop_ended()
        finally:
            self.pumps.discard(queue.organisation)

    async def _ask_holder(
        self, organisation: OrganisationId, *, wanted: int, wait_s: float = 0.0
    ) -> Grant:
        """Return the grant of the main holder, or of a VM that collects for it."""
        shard = shard_of(organisation)
        # A VM that drains answers still, but has released its leases.
        order = main_order(shard, self._workers()) or [self.vm]
        target = self._believed_holder(shard) or order[0]
        tried: list[VmId] = []
        while target is not None and len(tried) < HOLDER_TRIES:
            tried.append(target)
            request = GrantRequest(
                organisation=organisation,
                wanted=wanted,
                collect=len(tried) > 1,
                wait_s=wait_s,
            )
            grant = await self._ask_vm(target, request)
            if grant is not None and grant.holder in (None, target):
                self._believe(shard, target, grant, is_fallback=len(tried) > 1)
                return grant
            named = [grant.holder] if grant is not None else []
            untried = [vm for vm in named + order if vm not in tried]
            target = untried[0] if untried else None
        return Grant(granted=0.0, retry_after_s=NO_HOLDER_RETRY_S)

    def _believed_holder(self, shard: int) -> VmId | None:
        if self.holdings.holds_main(shard):
            return self.vm
        believed = self.main_holders.get(shard)
        if believed is None or believed.until_s < self.clock.now_s():
            return None
        return believed.vm

    def _believe(
        self, shard: int, vm: VmId, grant: Grant, *, is_fallback: bool
    ) -> None:
        """Remember whom to ask next time; a VM that only collects for a while."""
        if grant.holder == vm:
            self.main_holders[shard] = Believed(vm, float("inf"))
        elif is_fallback:
            self.main_holders[shard] = Believed(vm, self.clock.now_s() + FALLBACK_S)
        else:
            self.main_holders.pop(shard, None)

    async def _ask_vm(self, vm: VmId, request: GrantRequest) -> Grant | None:
        asked_s = self.clock.now_s()
        try:
            if vm == self.vm:
                grant = await self._grant(vm, request)
            else:
                grant = await self.links.call(vm, request, timeout_s=GRANT_VOID_S)
        except PeerError:
            self.main_holders.pop(shard_of(request.organisation), None)
            self.membership.suspect(vm)
            return None
        if not isinstance(grant, Grant):
            return None
        valid_s = GRANT_VOID_S if grant.valid_s is None else grant.valid_s
        if self.clock.now_s() - asked_s > min(GRANT_VOID_S, valid_s):
            return replace(grant, granted=0.0)
        return grant

    async def _answer(self, peer: PeerIdentity, message: Message) -> Message:
        return await self._grant(peer.vm, message)

    async def _grant(self, asker: VmId, request: GrantRequest) -> Grant:
        """Decide on a request for tokens of another VM or of this one."""
        organisation = request.organisation
        spec = self.holdings.spec_of(organisation)
        if spec is None:
            return Grant(granted=0.0, retry_after_s=NO_HOLDER_RETRY_S)
        if request.reserve:
            return self._grant_reserve(request)
        shard = shard_of(organisation)
        holds_main = self.holdings.holds_main(shard)
        other = self._other_holder(shard)
        if not holds_main and other is not None and not request.collect:
            return Grant(granted=0.0, holder=other)
        arrived_s = self.clock.now_s()
        wanted = floor(request.wanted)
        claims = self._claims_of(organisation)
        claims.place(asker, wanted, valid_s=CLAIM_GRACE_S)
        await self._collect(organisation, spec, claims.ahead_of(asker), wanted)
        due = claims.due(asker, floor(self._available(organisation) + TOKEN_TOLERANCE))
        grant = self._take(organisation, due, arrived_s=arrived_s)
        retry_after_s = 0.0
        if grant.granted < wanted:
            missing = wanted - floor(grant.granted)
            claims.place(asker, missing, valid_s=CLAIM_GRACE_S)
            ahead = claims.ahead_of(asker)
            retry_after_s = self._retry_after_s(organisation, spec, ahead)
            claims.place(asker, missing, valid_s=retry_after_s + CLAIM_GRACE_S)
        if retry_after_s > request.wait_s or grant.granted >= wanted:
            claims.drop(asker)
        return Grant(
            granted=grant.granted,
            valid_s=grant.valid_s,
            retry_after_s=retry_after_s,
            holder=self.vm if self.holdings.holds_main(shard) else None,
        )

    def _grant_reserve(self, request: GrantRequest) -> Grant:
        buckets = self.holdings.buckets_of(request.organisation, reserve_only=True)
        granted = 0.0
        for bucket in buckets:
            granted += bucket.take(request.wanted - granted)
        return Grant(
            granted=granted,
            holder=self.vm if buckets else None,
            reserves=len(buckets),
        )

    async def _collect(
        self,
        organisation: OrganisationId,
        spec: OrganisationSpec,
        ahead: int,
        wanted: int,
    ) -> None:
        """Collect reserve tokens where they complete at least one more token."""
        available = self._available(organisation)
        expected = self.collector.expected(organisation, spec)
        # Fractions beyond whole tokens stay in the reserves, where they are not void.
        whole = floor(available + expected + TOKEN_TOLERANCE)
        missing = min(ahead + wanted, whole) - available
        if whole > ahead and missing > TOKEN_TOLERANCE:
            await self.collector.collect(organisation, missing, expected=expected)

    def _claims_of(self, organisation: OrganisationId) -> Claims:
        claims = self.claims.get(organisation)
        if claims is None:
            claims = Claims(clock=self.clock)
            self.claims[organisation] = claims
        return claims

    def _available(self, organisation: OrganisationId) -> float:
        buckets = self.holdings.buckets_of(organisation)
        held = sum(bucket.available() for bucket in buckets)
        return held + self.collector.available(organisation)

    def _take(
        self, organisation: OrganisationId, wanted: int, *, arrived_s: float = 0.0
    ) -> Grant:
        """Take whole tokens; fractions stay where they are."""
        available = floor(self._available(organisation) + TOKEN_TOLERANCE)
        whole = min(wanted, available)
        collected = self.collector.take(organisation, whole)
        missing = whole - collected.tokens
        for bucket in self.holdings.buckets_of(organisation):
            missing -= bucket.take(missing)
        valid_s = None
        if collected.asked_s is not None:
            valid_s = collected.asked_s + GRANT_VOID_S - arrived_s
        return Grant(granted=floor(whole - missing + TOKEN_TOLERANCE), valid_s=valid_s)

    def _retry_after_s(
        self, organisation: OrganisationId, spec: OrganisationSpec, ahead: int
    ) -> float:
        """Return the wait for the first whole token after those claimed ahead."""
        fleet = fleet_size(spec)
        holds_main = self.holdings.holds_main(shard_of(organisation))
        part = 1.0 if holds_main else reserve_part(fleet.capacity)
        accrued = self.collector.accrued(organisation, spec)
        missing = max(0.0, ahead + 1 - self._available(organisation) - accrued)
        return max(missing / (fleet.rate_per_s * part), RETRY_FLOOR_S)

    def _other_holder(self, shard: int) -> VmId | None:
        holder = self.keeper.main_holder(shard)
        return holder if holder != self.vm else None

    def _members(self) -> list[VmId]:
        return [member.vm for member in self.membership.members()]

    def _workers(self) -> list[VmId]:
        return [member.vm for member in self.membership.workers()]
