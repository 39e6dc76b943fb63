"""Collection of an organisation's tokens from the reserve holders."""

import asyncio
from collections.abc import Callable

import msgspec

from ebonyladder.configuration import OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import PeerError
from ebonyladder.limits import (
    GRANT_VOID_S,
    RESERVES,
    TOKEN_TOLERANCE,
    fleet_size,
    reserve_order,
    reserve_part,
    shard_of,
)
from ebonyladder.messages import Grant, GrantRequest
from ebonyladder.peer import PeerLinks
from ebonyladder.types import OrganisationId, VmId

# Leaves time for the answer to the VM that asked, within GRANT_VOID_S.
COLLECT_TIMEOUT_S = 0.06
# At most this many rounds a second for one organisation: 1 / interval.
COLLECT_INTERVAL_S = 0.02
# VMs that came or went since the reserves were taken shift the order; asking
# twice as many VMs as there are reserves finds the holders in their new places.
CANDIDATES = 2 * RESERVES
# A VM without a reserve, or out of reach, is not asked again for this long.
SKIP_S = 5.0


class Collected(msgspec.Struct, kw_only=True):
    """Tokens that a reserve holder granted, with the time they were asked for."""

    tokens: float
    asked_s: float


class Taken(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens taken from the collected ones and the oldest time of asking."""

    tokens: float
    asked_s: float | None


class Collector:
    """Ask the reserve holders; one round at a time for each organisation."""

    def __init__(
        self,
        *,
        clock: Clock,
        links: PeerLinks,
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
        self.round_s: dict[OrganisationId, float] = {}
        self.rounds: dict[OrganisationId, asyncio.Future[None]] = {}
        self.skipped_s: dict[tuple[int, VmId], float] = {}
        self.reserves: dict[tuple[int, VmId], int] = {}
        self.left: dict[OrganisationId, float] = {}

    def available(self, organisation: OrganisationId) -> float:
        """Return the collected tokens that are not void."""
        oldest_s = self.clock.now_s() - GRANT_VOID_S
        usable = [
            c for c in self.collected.get(organisation, ()) if c.asked_s > oldest_s
        ]
        self.collected[organisation] = usable
        return sum(c.tokens for c in usable)

    def take(self, organisation: OrganisationId, wanted: float) -> Taken:
        """Take up to ``wanted`` collected tokens, those asked for first."""
        self.available(organisation)
        taken = 0.0
        asked_s = None
        for entry in self.collected[organisation]:
            part = min(entry.tokens, wanted - taken)
            if part <= 0:
                continue
            entry.tokens -= part
            taken += part
            asked_s = entry.asked_s if asked_s is None else min(asked_s, entry.asked_s)
        return Taken(tokens=taken, asked_s=asked_s)

    def accrued(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Estimate the tokens that the other reserve holders have now."""
        since_s = self.clock.now_s() - self.round_s.get(organisation, float("-inf"))
        fleet = fleet_size(spec)
        share = reserve_part(fleet.capacity) / RESERVES
        share *= self._known_reserves(shard_of(organisation))
        added = since_s * fleet.rate_per_s * share
        return min(fleet.capacity * share, self.left.get(organisation, 0.0) + added)

    def expected(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Return the tokens that a round begun now can bring."""
        since_s = self.clock.now_s() - self.round_s.get(organisation, float("-inf"))
        return self.accrued(organisation, spec) if since_s >= COLLECT_INTERVAL_S else 0

    def _known_reserves(self, shard: int) -> int:
        """Return the reserves of the VMs that would be asked; all if none is known.

        Counting dead ones would start rounds that complete no token, and the
        fractions they bring are void before the next round.
        """
        known = sum(self.reserves.get((shard, vm), 0) for vm in self._candidates(shard))
        return known or RESERVES

    async def collect(
        self, organisation: OrganisationId, missing: float, *, expected: float
    ) -> None:
        """Run one round, or wait for the one that is under way."""
        under_way = self.rounds.get(organisation)
        if under_way is not None:
            await asyncio.shield(under_way)
            return
        done = asyncio.get_running_loop().create_future()
        self.rounds[organisation] = done
        self.round_s[organisation] = self.clock.now_s()
        self.left[organisation] = max(0.0, expected - missing)
        try:
            await self._run_round(organisation, missing)
        finally:
            del self.rounds[organisation]
            done.set_result(None)

    async def _run_round(self, organisation: OrganisationId, missing: float) -> None:
        holders = self._candidates(shard_of(organisation))
        if holders:
            parts = self._parts(shard_of(organisation), holders)
            await asyncio.gather(
                *(self._ask(vm, organisation, missing * parts[vm]) for vm in holders)
            )

    def _parts(self, shard: int, holders: list[VmId]) -> dict[VmId, float]:
        """Return the part to ask of each VM, by the reserves that it holds."""
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
            if vm != self.vm and self.skipped_s.get((shard, vm), now_s) <= now_s
        ]

    async def _ask(self, vm: VmId, organisation: OrganisationId, wanted: float) -> None:
        asked_s = self.clock.now_s()
        shard = shard_of(organisation)
        request = GrantRequest(organisation=organisation, wanted=wanted, reserve=True)
        try:
            grant = await self.links.call(vm, request, timeout_s=COLLECT_TIMEOUT_S)
        except PeerError:
            self.skipped_s[(shard, vm)] = asked_s + SKIP_S
            self.suspect(vm)
            return
        self.reserves[(shard, vm)] = grant.reserves if isinstance(grant, Grant) else 0
        if not isinstance(grant, Grant) or grant.holder != vm:
            self.skipped_s[(shard, vm)] = asked_s + SKIP_S
        elif grant.granted > TOKEN_TOLERANCE:
            entry = Collected(tokens=grant.granted, asked_s=asked_s)
            self.collected.setdefault(organisation, []).append(entry)
