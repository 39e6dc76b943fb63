"""Collection of an organisation's tokens from the reserve holders."""

import asyncio
from collections.abc import Callable

import msgspec

from ebonyladder.configuration import OrganisationSpec
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import PeerError
from ebonyladder.limits import (
    GRANT_VOID_S,
    RESERVE_SHARE,
    RESERVES,
    TOKEN_TOLERANCE,
    fleet_capacity,
    reserve_order,
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

    def expected(self, organisation: OrganisationId, spec: OrganisationSpec) -> float:
        """Estimate the tokens that the reserve holders have now."""
        share = RESERVE_SHARE * RESERVES
        since_s = self.clock.now_s() - self.round_s.get(organisation, float("-inf"))
        if since_s < COLLECT_INTERVAL_S:
            return 0.0
        return min(fleet_capacity(spec), since_s * spec.rate_per_s) * share

    async def collect(self, organisation: OrganisationId, missing: float) -> None:
        """Run one round, or wait for the one that is under way."""
        under_way = self.rounds.get(organisation)
        if under_way is not None:
            await asyncio.shield(under_way)
            return
        done = asyncio.get_running_loop().create_future()
        self.rounds[organisation] = done
        self.round_s[organisation] = self.clock.now_s()
        try:
            await self._run_round(organisation, missing)
        finally:
            del self.rounds[organisation]
            done.set_result(None)

    async def _run_round(self, organisation: OrganisationId, missing: float) -> None:
        holders = self._candidates(shard_of(organisation))
        if holders:
            wanted = missing / min(len(holders), RESERVES)
            await asyncio.gather(
                *(self._ask(vm, organisation, wanted) for vm in holders)
            )

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
        if not isinstance(grant, Grant) or grant.holder != vm:
            self.skipped_s[(shard, vm)] = asked_s + SKIP_S
        elif grant.granted > TOKEN_TOLERANCE:
            entry = Collected(tokens=grant.granted, asked_s=asked_s)
            self.collected.setdefault(organisation, []).append(entry)
