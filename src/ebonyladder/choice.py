"""Choice of the endpoint that runs a statement."""

import random

import msgspec

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import EndpointSummary, GroupStateAnswer
from ebonyladder.slow_start import SlowStart
from ebonyladder.types import (
    EndpointId,
    GroupId,
    KeyDigest,
    OrganisationId,
    Position,
    RequestKind,
    Role,
    ServiceId,
    Statement,
    ZoneId,
)


class RoutedStatement(msgspec.Struct, frozen=True, kw_only=True):
    """Statement of a caller that has passed the checks and the rate limit.

    Attributes
    ----------
    required_position : Position, optional
        Position that the session has seen in the group.
    max_age_s : float, optional
        Maximum staleness of a read's data, in seconds.
    deadline_s : float
        Time on this VM's clock at which the caller stops waiting.
    """

    organisation: OrganisationId
    service: ServiceId
    group: GroupId
    statement: Statement
    deadline_s: float
    key_digest: KeyDigest
    request_id: str
    required_position: Position | None = None
    max_age_s: float | None = None
    idempotent: bool = False


class PreviousAttempts:
    """Results of the earlier attempts of a statement.

    Attributes
    ----------
    endpoints : set of EndpointId
        Endpoints that were tried.
    is_replica_behind : bool
        True once a replica has refused because it lacked the session's position.
    """

    def __init__(self) -> None:
        self.endpoints: set[EndpointId] = set()
        self.is_replica_behind = False


class EndpointChoice:
    """Choose endpoints by kind of statement, zone, lag and weight.

    Parameters
    ----------
    zone : ZoneId
        Zone of this VM, whose replicas are preferred.
    configuration : ConfigurationSource
        Endpoints and their states.
    slow_start : SlowStart
        Weights of endpoints that have just returned.
    rng : random.Random
        Random source for the choice among equal replicas.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        configuration: ConfigurationSource,
        slow_start: SlowStart,
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.configuration = configuration
        self.slow_start = slow_start
        self.rng = rng

    def choose(
        self,
        routed: RoutedStatement,
        state: GroupStateAnswer,
        previous: PreviousAttempts,
    ) -> EndpointId:
        """Return the endpoint for a statement.

        Reads prefer a replica in this VM's zone, then other replicas, then the
        primary. Once a replica was behind, the primary comes first, since the
        other replicas usually are behind too. Writes go to the primary.

        Raises
        ------
        RequestError
            NO_PRIMARY or NO_ENDPOINT, not run.
        """
        if routed.statement.kind is RequestKind.WRITE:
            return self._require_primary(state)
        ranked = sorted(
            (summary for summary in state.endpoints if self._can_read(summary)),
            key=lambda summary: self._read_rank(routed, summary, previous),
        )
        if not ranked:
            raise RequestError(
                code=ErrorCode.NO_ENDPOINT,
                step=Step.ROUTE,
                peer=state.group,
                message=f"no endpoint of {state.group} can serve reads",
                retry_after_s=1.0,
            )
        return ranked[0].endpoint

    @staticmethod
    def _require_primary(state: GroupStateAnswer) -> EndpointId:
        if state.primary is None:
            raise RequestError(
                code=ErrorCode.NO_PRIMARY,
                step=Step.ROUTE,
                peer=state.group,
                retry_after_s=1.0,
            )
        return state.primary

    def _can_read(self, summary: EndpointSummary) -> bool:
        configuration = self.configuration.current
        return (
            summary.reachable
            and summary.role is not None
            and summary.endpoint in configuration.endpoints
            and configuration.is_endpoint_in_service(summary.endpoint)
        )

    def _read_rank(
        self,
        routed: RoutedStatement,
        summary: EndpointSummary,
        previous: PreviousAttempts,
    ) -> tuple[bool, bool, bool, bool, bool, float]:
        """Return the sort key of an endpoint for a read; the lowest is chosen.

        During its slow start an endpoint comes after the others for the fraction
        of reads that exceeds its weight.
        """
        wait_s = self.configuration.current.policy.replica_wait_ms / 1000
        zone = self.configuration.current.endpoints[summary.endpoint].zone
        is_primary = summary.role is Role.PRIMARY
        is_too_stale = (
            not is_primary
            and routed.max_age_s is not None
            and summary.lag_s > routed.max_age_s + wait_s
        )
        return (
            summary.endpoint in previous.endpoints,
            is_too_stale,
            self.rng.random() >= self.slow_start.weight(summary.endpoint),
            is_primary is not previous.is_replica_behind,
            zone != self.zone,
            self.rng.random(),
        )
