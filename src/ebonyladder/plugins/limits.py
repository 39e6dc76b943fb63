"""Plug-in for fleet-wide rate limits: leases, grants and admission."""

import asyncio
from functools import partial
from math import floor
from typing import NamedTuple

from absl import logging
from msgspec.structs import replace

from ebonyladder._admission import AdmissionQueue
from ebonyladder._collector import ReserveCollector
from ebonyladder._grant_queue import GrantQueue
from ebonyladder._held_leases import HeldLeases
from ebonyladder._lease_manager import VIEW_STABLE_TIMEOUT_S, LeaseManager
from ebonyladder.configuration import ConfigurationSource, OrganisationSpec
from ebonyladder.kernel.error import ErrorCode, PeerError, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.limits import (
    GRANT_TTL_S,
    MAIN_TTL_S,
    TOKEN_TOLERANCE,
    RateLimits,
    fleet_bucket_size,
    main_order,
    reserve_fraction,
    shard_of,
)
from ebonyladder.membership import Membership
from ebonyladder.messages import Grant, GrantRequest, LeaseTokens, Message
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.store import PlatformStore
from ebonyladder.types import OrganisationId, VmId

# Bounds the messages of one VM for one organisation to 50 a second.
MIN_RETRY_S = 0.02
NO_HOLDER_BACKOFF_S = 0.2
# A VM keeps its position in the grant queue for this long after the time at which
# its next request is due.
QUEUE_GRACE_S = 0.15
MAX_HOLDER_ATTEMPTS = 3
# Requests go for this long to a VM that collects in place of an unreachable main
# holder, before the holder is tried again.
FALLBACK_TTL_S = 1.0
# A starting fleet acquires its main leases only once its view is stable. Until then a
# VM polls for their holders and is not ready: it would refuse requests of organisations
# that keep to their rates.
START_POLL_INTERVAL_S = 0.1
# By then main leases are acquired even in a view that is not stable, and those of a
# fleet that was killed have expired; without the store, tokens come from the reserves.
START_TIMEOUT_S = max(VIEW_STABLE_TIMEOUT_S, MAIN_TTL_S) + 1.0


class CachedHolder(NamedTuple):
    """VM that gets the token requests for a shard until the entry expires."""

    vm: VmId
    expires_at_s: float


@register
class LimitsPlugin(Plugin, RateLimits):
    """Hold limit leases, grant tokens and admit requests."""

    name = "limits"
    provides = (RateLimits,)
    requires = (PlatformStore, PeerConnections, Membership, ConfigurationSource)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm
        self.clock = kernel.clock
        self.held_leases = HeldLeases(clock=self.clock)
        self.queues: dict[OrganisationId, AdmissionQueue] = {}
        self.requesting_organisations: set[OrganisationId] = set()
        self.cached_holders: dict[int, CachedHolder] = {}
        self.grant_queues: dict[OrganisationId, GrantQueue] = {}
        self.ready = asyncio.Event()

    async def start(self) -> None:
        """Start to acquire leases and to answer token requests."""
        self.peers = self.kernel.get(PeerConnections)
        self.membership = self.kernel.get(Membership)
        self.collector = ReserveCollector(
            clock=self.clock,
            peers=self.peers,
            vm=self.vm,
            members=self._members,
            suspect=self.membership.suspect,
        )
        source = self.kernel.get(ConfigurationSource)
        self.held_leases.configure(source.current)
        source.subscribe(self.held_leases.configure)
        self.peers.handle(GrantRequest, self._answer)
        self.lease_manager = LeaseManager(
            kernel=self.kernel,
            store=self.kernel.get(PlatformStore),
            incarnation=self.peers.incarnation,
            active_vms=self._active_vms,
            held_leases=self.held_leases,
        )
        self.lease_manager.start()
        self.kernel.supervise(self._find_holders, name="limits-start")

    async def drain(self) -> None:
        """Release all leases, so that other VMs acquire them immediately."""
        await self.lease_manager.release_all()

    async def admit(self, organisation: OrganisationId, *, wait_s: float) -> None:
        """Take one token, in the order of arrival.

        A ``wait_s`` below ``GRANT_TTL_S`` is raised to it, so that there is time for
        one request to the lease holder.
        """
        spec = self.held_leases.spec_of(organisation)
        if spec is None or spec.rate_per_s <= 0:
            raise RequestError(code=ErrorCode.RATE_EXCEEDED, step=Step.RATE_ADMIT)
        queue = self.queues.get(organisation)
        if queue is None:
            queue = AdmissionQueue(organisation=organisation, clock=self.clock)
            self.queues[organisation] = queue
        queue.rate_per_s = fleet_bucket_size(spec).rate_per_s
        if not queue.waiters and self._take_local(organisation):
            return
        waiter = queue.add(wait_s=max(wait_s, GRANT_TTL_S))
        if organisation not in self.requesting_organisations:
            self.requesting_organisations.add(organisation)
            self.kernel.supervise(
                partial(self._request_tokens, queue), name=f"limits-{organisation}"
            )
        try:
            async with asyncio.timeout(max(wait_s, GRANT_TTL_S)):
                await waiter.admitted
        except TimeoutError:
            queue.remove_ended()
            raise queue.refusal() from None

    def is_ready(self) -> bool:
        """Tell whether the main holders were found or START_TIMEOUT_S is over."""
        return self.ready.is_set()

    def leases_held(self) -> list[LeaseTokens]:
        """Return the valid leases of shards that have organisations."""
        now_s = self.clock.now_s()
        return [
            LeaseTokens(
                lease=name.key,
                remaining_s=round(held.lease.expires_at_s - now_s, 1),
                tokens={
                    organisation: round(bucket.available(), 2)
                    for organisation, bucket in held.buckets.items()
                },
            )
            for leases in self.held_leases.by_shard.values()
            for name, held in leases.items()
            if held.buckets and held.lease.is_valid()
        ]

    async def _find_holders(self) -> None:
        """Find the main holder of each shard in use, for a limited time."""
        found: set[int] = set()
        deadline_s = self.clock.now_s() + START_TIMEOUT_S
        while self.clock.now_s() < deadline_s:
            specs = self.held_leases.specs
            missing = {
                shard: next(iter(specs[shard])) for shard in specs.keys() - found
            }
            if specs and not missing:
                break
            grants = await asyncio.gather(
                *(
                    self._request_from_holder(org, requested=0)
                    for org in missing.values()
                )
            )
            for shard, grant in zip(missing, grants, strict=True):
                if grant.lease_holder is not None:
                    found.add(shard)
            await asyncio.sleep(START_POLL_INTERVAL_S)
        logging.info(
            "[limits] Ready to admit requests. holders=%d shards=%d",
            len(found),
            len(self.held_leases.specs),
        )
        self.ready.set()

    def _take_local(self, organisation: OrganisationId) -> bool:
        """Take a token without a message, if this VM has the main lease."""
        if not self.held_leases.holds_main(shard_of(organisation)):
            return False
        queued = self._grant_queue_of(organisation).total()
        if self._available(organisation) < queued + 1 - TOKEN_TOLERANCE:
            return False
        return self._take(organisation, 1).granted > 0

    async def _request_tokens(self, queue: AdmissionQueue) -> None:
        """Request tokens for all waiting requests; ends when none is left."""
        try:
            while queue.waiters:
                grant = await self._request_from_holder(
                    queue.organisation,
                    requested=len(queue.waiters),
                    wait_s=queue.longest_wait_s(),
                )
                tokens = floor(grant.granted + TOKEN_TOLERANCE)
                queue.resolve(tokens, retry_after_s=grant.retry_after_s)
                if queue.waiters:
                    await asyncio.sleep(grant.retry_after_s)
                    queue.remove_ended()
        finally:
            self.requesting_organisations.discard(queue.organisation)

    async def _request_from_holder(
        self, organisation: OrganisationId, *, requested: int, wait_s: float = 0.0
    ) -> Grant:
        """Return the grant of the main holder, or of a VM that collects for it."""
        shard = shard_of(organisation)
        # A draining VM still answers, but has released its leases.
        order = main_order(shard, self._active_vms()) or [self.vm]
        target = self._cached_holder(shard) or order[0]
        tried: list[VmId] = []
        while target is not None and len(tried) < MAX_HOLDER_ATTEMPTS:
            tried.append(target)
            request = GrantRequest(
                organisation=organisation,
                requested=requested,
                collect_reserves=len(tried) > 1,
                wait_s=wait_s,
            )
            grant = await self._request_from(target, request)
            if grant is not None and grant.lease_holder in (None, target):
                self._cache_holder(shard, target, grant, is_fallback=len(tried) > 1)
                return grant
            reported = [grant.lease_holder] if grant is not None else []
            untried = [vm for vm in reported + order if vm not in tried]
            target = untried[0] if untried else None
        return Grant(granted=0.0, retry_after_s=NO_HOLDER_BACKOFF_S)

    def _cached_holder(self, shard: int) -> VmId | None:
        if self.held_leases.holds_main(shard):
            return self.vm
        cached = self.cached_holders.get(shard)
        if cached is None or cached.expires_at_s < self.clock.now_s():
            return None
        return cached.vm

    def _cache_holder(
        self, shard: int, vm: VmId, grant: Grant, *, is_fallback: bool
    ) -> None:
        """Cache the target of the next requests; a fallback for FALLBACK_TTL_S."""
        if grant.lease_holder == vm:
            self.cached_holders[shard] = CachedHolder(vm, float("inf"))
        elif is_fallback:
            self.cached_holders[shard] = CachedHolder(
                vm, self.clock.now_s() + FALLBACK_TTL_S
            )
        else:
            self.cached_holders.pop(shard, None)

    async def _request_from(self, vm: VmId, request: GrantRequest) -> Grant | None:
        requested_at_s = self.clock.now_s()
        try:
            if vm == self.vm:
                grant = await self._grant(vm, request)
            else:
                grant = await self.peers.call(vm, request, timeout_s=GRANT_TTL_S)
        except PeerError:
            self.cached_holders.pop(shard_of(request.organisation), None)
            self.membership.suspect(vm)
            return None
        if not isinstance(grant, Grant):
            return None
        ttl_s = GRANT_TTL_S if grant.ttl_s is None else grant.ttl_s
        if self.clock.now_s() - requested_at_s > min(GRANT_TTL_S, ttl_s):
            return replace(grant, granted=0.0)
        return grant

    async def _answer(self, peer: PeerIdentity, message: Message) -> Message:
        return await self._grant(peer.vm, message)

    async def _grant(self, requesting_vm: VmId, request: GrantRequest) -> Grant:
        """Decide on a token request of another VM or of this one."""
        organisation = request.organisation
        spec = self.held_leases.spec_of(organisation)
        if spec is None:
            return Grant(granted=0.0, retry_after_s=NO_HOLDER_BACKOFF_S)
        if request.reserve_only:
            return self._grant_reserve(request)
        shard = shard_of(organisation)
        holds_main = self.held_leases.holds_main(shard)
        other = self._other_main_holder(shard)
        if not holds_main and other is not None and not request.collect_reserves:
            return Grant(granted=0.0, lease_holder=other)
        arrived_at_s = self.clock.now_s()
        requested = floor(request.requested)
        grant_queue = self._grant_queue_of(organisation)
        grant_queue.enqueue(requesting_vm, requested, ttl_s=QUEUE_GRACE_S)
        await self._collect(
            organisation, spec, grant_queue.ahead_of(requesting_vm), requested
        )
        grantable = grant_queue.grantable(
            requesting_vm, floor(self._available(organisation) + TOKEN_TOLERANCE)
        )
        grant = self._take(organisation, grantable, arrived_at_s=arrived_at_s)
        retry_after_s = 0.0
        if grant.granted < requested:
            missing = requested - floor(grant.granted)
            grant_queue.enqueue(requesting_vm, missing, ttl_s=QUEUE_GRACE_S)
            ahead = grant_queue.ahead_of(requesting_vm)
            retry_after_s = self._retry_after_s(organisation, spec, ahead)
            grant_queue.enqueue(
                requesting_vm, missing, ttl_s=retry_after_s + QUEUE_GRACE_S
            )
        if retry_after_s > request.wait_s or grant.granted >= requested:
            grant_queue.remove(requesting_vm)
        return Grant(
            granted=grant.granted,
            ttl_s=grant.ttl_s,
            retry_after_s=retry_after_s,
            lease_holder=self.vm if self.held_leases.holds_main(shard) else None,
        )

    def _grant_reserve(self, request: GrantRequest) -> Grant:
        buckets = self.held_leases.buckets_of(request.organisation, reserve_only=True)
        granted = 0.0
        for bucket in buckets:
            granted += bucket.take(request.requested - granted)
        return Grant(
            granted=granted,
            lease_holder=self.vm if buckets else None,
            reserves=len(buckets),
        )

    async def _collect(
        self,
        organisation: OrganisationId,
        spec: OrganisationSpec,
        ahead: int,
        requested: int,
    ) -> None:
        """Collect reserve tokens if that yields at least one more whole token."""
        available = self._available(organisation)
        expected = self.collector.expected(organisation, spec)
        # Fractions beyond whole tokens stay in the reserves, where they do not expire.
        whole_tokens = floor(available + expected + TOKEN_TOLERANCE)
        missing = min(ahead + requested, whole_tokens) - available
        if whole_tokens > ahead and missing > TOKEN_TOLERANCE:
            await self.collector.collect(organisation, missing, expected=expected)

    def _grant_queue_of(self, organisation: OrganisationId) -> GrantQueue:
        grant_queue = self.grant_queues.get(organisation)
        if grant_queue is None:
            grant_queue = GrantQueue(clock=self.clock)
            self.grant_queues[organisation] = grant_queue
        return grant_queue

    def _available(self, organisation: OrganisationId) -> float:
        buckets = self.held_leases.buckets_of(organisation)
        held = sum(bucket.available() for bucket in buckets)
        return held + self.collector.available(organisation)

    def _take(
        self, organisation: OrganisationId, requested: int, *, arrived_at_s: float = 0.0
    ) -> Grant:
        """Take whole tokens; fractions stay where they are."""
        available = floor(self._available(organisation) + TOKEN_TOLERANCE)
        whole_tokens = min(requested, available)
        collected = self.collector.take(organisation, whole_tokens)
        missing = whole_tokens - collected.tokens
        for bucket in self.held_leases.buckets_of(organisation):
            missing -= bucket.take(missing)
        ttl_s = None
        if collected.requested_at_s is not None:
            ttl_s = collected.requested_at_s + GRANT_TTL_S - arrived_at_s
        return Grant(
            granted=floor(whole_tokens - missing + TOKEN_TOLERANCE), ttl_s=ttl_s
        )

    def _retry_after_s(
        self, organisation: OrganisationId, spec: OrganisationSpec, ahead: int
    ) -> float:
        """Return the wait for the first whole token after those queued ahead."""
        fleet = fleet_bucket_size(spec)
        holds_main = self.held_leases.holds_main(shard_of(organisation))
        fraction = 1.0 if holds_main else reserve_fraction(fleet.capacity)
        accrued = self.collector.accrued(organisation, spec)
        missing = max(0.0, ahead + 1 - self._available(organisation) - accrued)
        return max(missing / (fleet.rate_per_s * fraction), MIN_RETRY_S)

    def _other_main_holder(self, shard: int) -> VmId | None:
        holder = self.lease_manager.main_holder(shard)
        return holder if holder != self.vm else None

    def _members(self) -> list[VmId]:
        return [member.vm for member in self.membership.members()]

    def _active_vms(self) -> list[VmId]:
        return [member.vm for member in self.membership.active_vms()]
