"""Collection of an organisation's tokens from the reserve holders."""

import asyncio
from collections.abc import Callable

import msgspec

from ebonyladder.configuration import OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import PeerError
from ebonyladder.limits import (
    GRANT_TTL_S,
    RESERVES_PER_SHARD,
    TOKEN_TOLERANCE,
    fleet_bucket_size,
    reserve_fraction,
    reserve_order,
    shard_of,
)
from ebonyladder.messages import Grant, GrantRequest
from ebonyladder.peer import PeerConnections
from ebonyladder.types import OrganisationId, VmId

# Leaves time, within GRANT_TTL_S, to pass the tokens on to the requesting VM.
COLLECT_TIMEOUT_S = 0.06
# Limits the rounds for one organisation to 50 a second.
COLLECT_INTERVAL_S = 0.02
# VMs that joined or left since the reserves were acquired shift the order; among
# twice as many VMs as there are reserves, the holders are still found.
MAX_CANDIDATES = 2 * RESERVES_PER_SHARD
# Nothing is requested for this long from a VM that is unreachable or has no reserve.
SKIP_COOLDOWN_S = 5.0


class CollectedTokens(msgspec.Struct, kw_only=True):
    """Tokens that a reserve holder granted, with the time of the request."""

    tokens: float
    requested_at_s: float


class TakenTokens(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens taken from the collected ones and the time of their oldest request."""

    tokens: float
    requested_at_s: float | None


class ReserveCollector:
    """Collect tokens of reserve leases, one round at a time per organisation.

    In a round this VM requests tokens from all likely holders of reserve leases.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerConnections,
        vm: VmId,
        members: Callable[[], list[VmId]],
        suspect: Callable[[VmId], None],
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.vm = vm
        self.members = members
        self.suspect = suspect
        self.collected: dict[OrganisationId, list[CollectedTokens]] = {}
        self.round_started_at_s: dict[OrganisationId, float] = {}
        self.rounds: dict[OrganisationId, asyncio.Future[None]] = {}
        self.skip_until_s: dict[tuple[int, VmId], float] = {}
        self.reserve_counts: dict[tuple[int, VmId], int] = {}
        self.expected_remaining: dict[OrganisationId, float] = {}

    def available(self, organisation: OrganisationId) -> float:
        """Return the collected tokens that have not expired."""
        oldest_valid_at_s = self.clock.now_s() - GRANT_TTL_S
        valid = [
            c
            for c in self.collected.get(organisation, ())
            if c.requested_at_s > oldest_valid_at_s
        ]
        self.collected[organisation] = valid
        return sum(c.tokens for c in valid)

    def take(self, organisation: OrganisationId, requested: float) -> TakenTokens:
        """Take up to ``requested`` collected tokens, in the order of arrival."""
        self.available(organisation)
        taken = 0.0
        requested_at_s = None
        for entry in self.collected[organisation]:
            tokens = min(entry.tokens, requested - taken)
            if tokens <= 0:
                continue
            entry.tokens -= tokens
            taken += tokens
            requested_at_s = (
                entry.requested_at_s
                if requested_at_s is None
                else min(requested_at_s, entry.requested_at_s)
            )
        return TakenTokens(tokens=taken, requested_at_s=requested_at_s)

    def accrued(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Estimate the tokens that the other reserve holders have now."""
        elapsed_s = self.clock.now_s() - self.round_started_at_s.get(
            organisation, float("-inf")
        )
        fleet = fleet_bucket_size(spec)
        fraction = reserve_fraction(fleet.capacity) / RESERVES_PER_SHARD
        fraction *= self._known_reserves(shard_of(organisation))
        added = elapsed_s * fleet.rate_per_s * fraction
        return min(
            fleet.capacity * fraction,
            self.expected_remaining.get(organisation, 0.0) + added,
        )

    def expected(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Return the tokens that a round started now can collect."""
        elapsed_s = self.clock.now_s() - self.round_started_at_s.get(
            organisation, float("-inf")
        )
        return (
            self.accrued(organisation, spec) if elapsed_s >= COLLECT_INTERVAL_S else 0
        )

    def _known_reserves(self, shard: int) -> int:
        """Return how many reserves the candidates hold; all if none is known.

        Reserves of dead VMs must not be counted: too much would be expected of a
        round, and without a whole token the collected fractions expire before the
        next round.
        """
        known = sum(
            self.reserve_counts.get((shard, vm), 0) for vm in self._candidates(shard)
        )
        return known or RESERVES_PER_SHARD

    async def collect(
        self, organisation: OrganisationId, missing: float, *, expected: float
    ) -> None:
        """Run one round, or wait for the one in flight."""
        in_flight = self.rounds.get(organisation)
        if in_flight is not None:
            await asyncio.shield(in_flight)
            return
        done = asyncio.get_running_loop().create_future()
        self.rounds[organisation] = done
        self.round_started_at_s[organisation] = self.clock.now_s()
        self.expected_remaining[organisation] = max(0.0, expected - missing)
        try:
            await self._run_round(organisation, missing)
        finally:
            del self.rounds[organisation]
            done.set_result(None)

    async def _run_round(self, organisation: OrganisationId, missing: float) -> None:
        candidates = self._candidates(shard_of(organisation))
        if candidates:
            fractions = self._fractions(shard_of(organisation), candidates)
            await asyncio.gather(
                *(
                    self._request_from(vm, organisation, missing * fractions[vm])
                    for vm in candidates
                )
            )

    def _fractions(self, shard: int, candidates: list[VmId]) -> dict[VmId, float]:
        """Return the fraction to request of each VM, by the reserves that it holds."""
        known = {vm: self.reserve_counts.get((shard, vm)) for vm in candidates}
        if None in known.values():
            return dict.fromkeys(
                candidates, 1 / min(len(candidates), RESERVES_PER_SHARD)
            )
        total = sum(known.values()) or 1
        return {vm: count / total for vm, count in known.items()}

    def _candidates(self, shard: int) -> list[VmId]:
        now_s = self.clock.now_s()
        return [
            vm
            for vm in reserve_order(shard, self.members())[:MAX_CANDIDATES]
            if vm != self.vm and self.skip_until_s.get((shard, vm), now_s) <= now_s
        ]

    async def _request_from(
        self, vm: VmId, organisation: OrganisationId, requested: float
    ) -> None:
        requested_at_s = self.clock.now_s()
        shard = shard_of(organisation)
        request = GrantRequest(
            organisation=organisation, requested=requested, reserve_only=True
        )
        try:
            grant = await self.peers.call(vm, request, timeout_s=COLLECT_TIMEOUT_S)
        except PeerError:
            self.skip_until_s[(shard, vm)] = requested_at_s + SKIP_COOLDOWN_S
            self.suspect(vm)
            return
        self.reserve_counts[(shard, vm)] = (
            grant.reserves if isinstance(grant, Grant) else 0
        )
        if not isinstance(grant, Grant) or grant.lease_holder != vm:
            self.skip_until_s[(shard, vm)] = requested_at_s + SKIP_COOLDOWN_S
        elif grant.granted > TOKEN_TOLERANCE:
            entry = CollectedTokens(tokens=grant.granted, requested_at_s=requested_at_s)
            self.collected.setdefault(organisation, []).append(entry)
