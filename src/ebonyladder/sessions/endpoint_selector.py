"""Choice of the endpoint for a statement."""

from enum import Enum

import msgspec

from ebonyladder.sessions.catalog import Consistency, Organisation, Route
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.connection import MinPosition, ReadBound
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PrimaryPositions
from ebonyladder.types import EndpointId, EndpointState, Position, RequestKind

# Evidence that no change of primary has begun is used for this long, in seconds.
# Whoever changes a primary waits longer than this for VMs that don't answer.
EVIDENCE_LIMIT_S = 1.8
# Load of a near endpoint, in waiting statements for each slot, at which a farther
# one is preferred; it stands for one round trip between regions.
LOAD_OF_A_REGION = 1.0
LOAD_OF_A_ZONE = 0.1


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint for a statement, and the log position that it must hold."""

    entry: EndpointEntry
    is_primary: bool
    min_position: MinPosition = None


class NoTarget(Enum):
    """Why no endpoint can take a statement now."""

    NO_PRIMARY = "the service has no primary that may be used"
    NO_EVIDENCE = "this VM can't confirm that the primary still leads"
    PRIMARY_SUSPECT = "the primary doesn't answer"
    NO_ENDPOINT = "no endpoint of the service may be used"


class EndpointSelector:
    """Chooses the nearest endpoint that may serve a statement.

    It answers the load of reads, which replicas in the VM's own region take as
    long as their logs are recent enough, and the loss of single endpoints.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    positions : PrimaryPositions
        Positions that reads must see.
    pools : PoolSet
        Health and load of the endpoints.
    """

    def __init__(
        self, *, cluster: ClusterView, positions: PrimaryPositions, pools: PoolSet
    ) -> None:
        self.cluster = cluster
        self.positions = positions
        self.pools = pools

    def choose(
        self,
        *,
        route: Route,
        organisation: Organisation | None,
        access: RequestKind,
        own: Position | None,
        tried: frozenset[EndpointId] = frozenset(),
        is_transaction: bool = False,
    ) -> Target | NoTarget:
        """Return the endpoint for a statement or transaction.

        Parameters
        ----------
        access : RequestKind
            WRITE for a transaction that may write.
        own : Position or None
            Last commit of the session on the service.
        tried : frozenset of EndpointId
            Endpoints that have failed to answer; replicas among them are not
            chosen again.
        """
        needs_primary = (
            access is RequestKind.WRITE or route.consistency is Consistency.PRIMARY
        )
        if not needs_primary:
            replica = self._replica(route, organisation, own, tried)
            if replica is not None:
                return replica
        has_reads = is_transaction or access is RequestKind.READ
        return self._primary(route, organisation, has_reads=has_reads)

    def has_evidence(self) -> bool:
        """Tell whether the group states are certain enough for primary reads."""
        age_s = self.cluster.clock.now_s() - self.cluster.evidence_s
        return age_s < EVIDENCE_LIMIT_S

    def _primary(
        self, route: Route, organisation: Organisation | None, *, has_reads: bool
    ) -> Target | NoTarget:
        entry = self.cluster.primary(route.service)
        if entry is None or not self._is_allowed(entry, route, organisation):
            return NoTarget.NO_PRIMARY
        catalog = self.cluster.catalog
        service = catalog.services.get(route.service) if catalog else None
        # A primary that was replaced gets no replica's acknowledgement, so a single
        # write needs no evidence where there are synchronous replicas. A transaction
        # does, since it may also read.
        is_fenced = service is not None and service.sync_replicas > 0
        if not self.has_evidence() and (has_reads or not is_fenced):
            return NoTarget.NO_EVIDENCE
        if self.pools.get(entry.id).health.is_suspect:
            return NoTarget.PRIMARY_SUSPECT
        return Target(entry=entry, is_primary=True)

    def _replica(
        self,
        route: Route,
        organisation: Organisation | None,
        own: Position | None,
        tried: frozenset[EndpointId],
    ) -> Target | None:
        min_position = self.positions.required(
            route.service, max_age_s=route.max_age_s, own=own
        )
        primary = self.cluster.primary(route.service)
        usable = [
            entry
            for entry in self.cluster.members(route.service)
            if entry.id not in tried
            and entry.state is EndpointState.ACTIVE
            and self._is_allowed(entry, route, organisation)
            and not self.pools.get(entry.id).health.is_suspect
            and not self.pools.get(entry.id).health.is_behind
            # An owner elsewhere finds the position that its endpoint needs.
            and (min_position is not None or not self.pools.get(entry.id).is_local)
        ]
        if not usable:
            return None
        entry = min(usable, key=self._cost)
        if not self.pools.get(entry.id).is_local:
            min_position = ReadBound(max_age_s=route.max_age_s, own=own)
        return Target(
            entry=entry,
            is_primary=primary is not None and entry.id == primary.id,
            min_position=min_position,
        )

    def _cost(self, entry: EndpointEntry) -> float:
        cost = self.pools.get(entry.id).load
        if self.cluster.region(entry.zone) != self.cluster.region(self.cluster.zone):
            return cost + LOAD_OF_A_REGION
        return cost + (0.0 if entry.zone == self.cluster.zone else LOAD_OF_A_ZONE)

    def _is_allowed(
        self, entry: EndpointEntry, route: Route, organisation: Organisation | None
    ) -> bool:
        region = self.cluster.region(entry.zone)
        homes = [route.regions, organisation.regions if organisation else frozenset()]
        if any(home and region not in home for home in homes):
            return False
        return entry.zone not in self.cluster.closed_zones
