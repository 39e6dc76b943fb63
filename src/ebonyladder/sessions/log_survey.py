"""What a failover must know before it promotes an endpoint.

The log of the promoted endpoint must hold every acknowledged commit. That is known in
three cases: it holds everything that the former primary held after its last
acknowledgement, or everything that any log holder but the former primary has received,
since a commit that none of them received was never acknowledged, or everything that
callers were told.
"""

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from ebonyladder.sessions.cluster_view import AcknowledgedRange, EndpointEntry
from ebonyladder.types import EndpointProcess, Position


class SurveyBasis(Enum):
    """What shows that a position covers every acknowledged commit."""

    ALL_REPLICAS = "all-replicas"
    FINAL_POSITION = "final-position"
    ALL_TOLD = "all-told"
    ALL_LOST = "all-lost"
    NONE = "none"


class LogSurvey(msgspec.Struct, frozen=True, kw_only=True):
    """Logs of a service's endpoints once no commit can be acknowledged.

    Attributes
    ----------
    primary : EndpointProcess or None
        Former primary.
    holders : dict of EndpointProcess to EndpointEntry
        Log holders, the former primary among them.
    lost : frozenset of EndpointProcess
        Log holders that are taken as gone for good.
    acknowledged : AcknowledgedRange
        Last commit of which callers are known to have been told.
    have_all_told : bool
        Whether that covers all that callers were told.
    received : dict of EndpointProcess to Position
        Last log positions of the endpoints that answered: the former primary only if
        it acknowledges nothing more, and replicas that receive nothing more from it.
    """

    primary: EndpointProcess | None
    holders: Mapping[EndpointProcess, EndpointEntry]
    received: Mapping[EndpointProcess, Position]
    acknowledged: AcknowledgedRange
    lost: frozenset[EndpointProcess] = frozenset()
    have_all_told: bool = False

    @property
    def missing(self) -> list[EndpointProcess]:
        """Log holders other than the former primary that didn't answer."""
        return sorted(
            process
            for process in self.holders
            if process != self.primary and process not in self.received
        )

    @property
    def newest(self) -> Position | None:
        """Newest position of the log holders other than the former primary."""
        others = [
            position
            for process, position in self.received.items()
            if process != self.primary
        ]
        return max(others, default=None)

    @property
    def basis(self) -> SurveyBasis:
        """What shows that ``required_position`` covers every acknowledged commit.

        NONE if some log holders didn't answer, and neither did the former primary, and
        callers may have been told of commits that the logs which were read lack. If all
        that didn't answer are lost, no other log can hold more.
        """
        newest = self.newest
        # A replica that isn't known may have acknowledged what callers were told.
        has_told = newest is not None and newest >= self.acknowledged.lower
        if has_told and not self.missing:
            return SurveyBasis.ALL_REPLICAS
        if self.primary in self.received:
            return SurveyBasis.FINAL_POSITION
        has_all_told = has_told and newest >= self.acknowledged.upper
        if self.have_all_told and has_all_told:
            return SurveyBasis.ALL_TOLD
        if newest is not None and {self.primary, *self.missing} <= self.lost:
            return SurveyBasis.ALL_LOST
        return SurveyBasis.NONE

    def required_position(self) -> Position | None:
        """Return a position that covers every acknowledged commit, None if unknown."""
        basis = self.basis
        if basis is SurveyBasis.NONE:
            return None
        if basis is SurveyBasis.FINAL_POSITION:
            return self.received[self.primary]
        return self.newest

    def successor(
        self, cost: Callable[[EndpointEntry], object], *, required: Position
    ) -> EndpointEntry | None:
        """Return the endpoint of least cost whose log holds a position."""
        eligible = [
            self.holders[process]
            for process, position in self.received.items()
            if position >= required
        ]
        return min(eligible, key=cost, default=None)
