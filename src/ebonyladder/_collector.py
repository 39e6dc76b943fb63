"""Collection of an organisation's tokens from the reserve holders."""

import asyncio
from collections.abc import Callable

import msgspec

from ebonyladder.configuration import OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import PeerError
from ebonyladder.limits import (
    GRANT_TTL_S,
    RESERVES,
    TOKEN_TOLERANCE,
    fleet_bucket_size,
    reserve_fraction,
    reserve_order,
    shard_of,
)
from ebonyladder.messages import Grant, GrantRequest
from ebonyladder.peer import PeerConnections
from ebonyladder.types import OrganisationId, VmId

# Leaves time for the answer to the VM that asked, within GRANT_TTL_S.
COLLECT_TIMEOUT_S = 0.06
# Limits the rounds for one organisation to 50 a second.
COLLECT_INTERVAL_S = 0.02
# VMs that joined or left since the reserves were acquired shift the order; asking
# twice as many VMs as there are reserves still finds the holders.
CANDIDATES = 2 * RESERVES
# A VM that has no reserve or is unreachable is not asked again for this long.
SKIP_COOLDOWN_S = 5.0


class Collected(msgspec.Struct, kw_only=True):
    """Tokens that a reserve holder granted, with the time of the request."""

    tokens: float
    asked_at_s: float


class Taken(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens taken from the collected ones and the time of their oldest request."""

    tokens: float
    asked_at_s: float | None


class ReserveCollector:
    """Collects tokens of reserve leases, one round at a time per organisation."""

    def __init__(
        self,
        *,
        clock: Clock,
        links: PeerConnections,
        vm: VmId,
        members: Callable[[], list[VmId]],
        suspect: Callable[[VmId], None],
    ) -> None:
        self.clock = clock
        self.links = links
        self.vm = vm
        self.members = members
        self.suspect = suspect
        self.collected: dict[OrganisationId, list[Collected]] = {}
        self.round_started_at_s: dict[OrganisationId, float] = {}
        self.rounds: dict[OrganisationId, asyncio.Future[None]] = {}
        self.skip_until_s: dict[tuple[int, VmId], float] = {}
        self.reserves: dict[tuple[int, VmId], int] = {}
        self.expected_left: dict[OrganisationId, float] = {}

    def available(self, organisation: OrganisationId) -> float:
        """Return the collected tokens that have not expired."""
        oldest_valid_at_s = self.clock.now_s() - GRANT_TTL_S
        valid = [
            c
            for c in self.collected.get(organisation, ())
            if c.asked_at_s > oldest_valid_at_s
        ]
        self.collected[organisation] = valid
        return sum(c.tokens for c in valid)

    def take(self, organisation: OrganisationId, wanted: float) -> Taken:
        """Take up to ``wanted`` collected tokens, those requested first."""
        self.available(organisation)
        taken = 0.0
        asked_at_s = None
        for entry in self.collected[organisation]:
            tokens = min(entry.tokens, wanted - taken)
            if tokens <= 0:
                continue
            entry.tokens -= tokens
            taken += tokens
            asked_at_s = (
                entry.asked_at_s
                if asked_at_s is None
                else min(asked_at_s, entry.asked_at_s)
            )
        return Taken(tokens=taken, asked_at_s=asked_at_s)

    def accrued(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Estimate the tokens that the other reserve holders have now."""
        elapsed_s = self.clock.now_s() - self.round_started_at_s.get(
            organisation, float("-inf")
        )
        fleet = fleet_bucket_size(spec)
        fraction = reserve_fraction(fleet.capacity) / RESERVES
        fraction *= self._known_reserves(shard_of(organisation))
        added = elapsed_s * fleet.rate_per_s * fraction
        return min(
            fleet.capacity * fraction, self.expected_left.get(organisation, 0.0) + added
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
        """Return how many reserves the VMs to ask hold; all if none is known.

        Counting those of dead VMs would start rounds that complete no token, and
        the collected fractions expire before the next round.
        """
        known = sum(self.reserves.get((shard, vm), 0) for vm in self._candidates(shard))
        return known or RESERVES

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
        self.expected_left[organisation] = max(0.0, expected - missing)
        try:
            await self._run_round(organisation, missing)
        finally:
            del self.rounds[organisation]
            done.set_result(None)

    async def _run_round(self, organisation: OrganisationId, missing: float) -> None:
        holders = self._candidates(shard_of(organisation))
        if holders:
            fractions = self._fractions(shard_of(organisation), holders)
            await asyncio.gather(
                *(
                    self._ask(vm, organisation, missing * fractions[vm])
                    for vm in holders
                )
            )

    def _fractions(self, shard: int, holders: list[VmId]) -> dict[VmId, float]:
        """Return the fraction to ask of each VM, by the reserves that it holds."""
        known = {vm: self.reserves.get((shard, vm)) for vm in holders}
        if None in known.values():
            return dict.fromkeys(holders, 1 / min(len(holders), RESERVES))
        total = sum(known.values()) or 1
        return {vm: count / total for vm, count in known.items()}

    def _candidates(self, shard: int) -> list[VmId]:
        now_s = self.clock.now_s()
        return [
            vm
            for vm in reserve_order(shard, self.members())[:CANDIDATES]
            if vm != self.vm and self.skip_until_s.get((shard, vm), now_s) <= now_s
        ]

    async def _ask(self, vm: VmId, organisation: OrganisationId, wanted: float) -> None:
        asked_at_s = self.clock.now_s()
        shard = shard_of(organisation)
        request = GrantRequest(
            organisation=organisation, requested=wanted, reserve_only=True
        )
        try:
            grant = await self.links.call(vm, request, timeout_s=COLLECT_TIMEOUT_S)
        except PeerError:
            self.skip_until_s[(shard, vm)] = asked_at_s + SKIP_COOLDOWN_S
            self.suspect(vm)
            return
        self.reserves[(shard, vm)] = grant.reserves if isinstance(grant, Grant) else 0
        if not isinstance(grant, Grant) or grant.lease_holder != vm:
            self.skip_until_s[(shard, vm)] = asked_at_s + SKIP_COOLDOWN_S
        elif grant.granted > TOKEN_TOLERANCE:
            entry = Collected(tokens=grant.granted, asked_at_s=asked_at_s)
            self.collected.setdefault(organisation, []).append(entry)
