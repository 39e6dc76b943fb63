"""What a failover must know before it promotes an endpoint.

A commit is acknowledged once a replica has received it. The log of the promoted
endpoint must hold every commit that any endpoint has acknowledged, whether or not a
caller was told of it. Silence shows nothing: an endpoint that doesn't answer may go on
receiving and acknowledging. So one of these must be known:

- the former primary has stepped down, and the log holds its final position;
- the former primary doesn't answer, every other log holder was paused and read, and the
  log holds the newest position of them. What none of them had received was never
  acknowledged.

A final position is required in full, also if all other logs end before it: a replica
that isn't listed yet may have received the rest. Only a successor whose promotion may
still take effect needs no more than the newest of the other logs.

If the logs of all others are gone for good, waiting can't bring anything back, and the
newest log that is left is promoted.
"""

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.types import EndpointProcess, Position


class SurveyBasis(Enum):
    """What shows that a position covers every acknowledged commit."""

    ALL_REPLICAS = "all-replicas"
    FINAL_POSITION = "final-position"
    ALL_THAT_IS_LEFT = "all-that-is-left"
    NONE = "none"


class LogSurvey(msgspec.Struct, frozen=True, kw_only=True):
    """Logs of a service's endpoints once no commit can be acknowledged.

    Attributes
    ----------
    primary : EndpointProcess or None
        Last endpoint that may have led.
    holders : dict of EndpointProcess to EndpointEntry
        Log holders, the former primary among them.
    received : dict of EndpointProcess to Position
        Last log positions of the endpoints that answered: the former primary only if
        it acknowledges nothing more, and replicas that receive nothing more from it.
    known : Position
        Position that the log is known to have reached, since callers were told of it.
    pending : EndpointProcess or None
        Endpoint whose promotion was requested and may still take effect.
    gone : frozenset of EndpointProcess
        Log holders whose logs are gone for good.
    """

    primary: EndpointProcess | None
    holders: Mapping[EndpointProcess, EndpointEntry]
    received: Mapping[EndpointProcess, Position]
    known: Position
    pending: EndpointProcess | None = None
    gone: frozenset[EndpointProcess] = frozenset()

    @property
    def missing(self) -> list[EndpointProcess]:
        """Log holders that didn't answer and may have received from the primary.

        A later process of the primary's endpoint has started after the primary ended.
        """
        primary = self.holders.get(self.primary)
        return sorted(
            process
            for process, entry in self.holders.items()
            if process != self.primary
            and process not in self.received
            and not (
                primary is not None
                and entry.id == primary.id
                and entry.process_started_at_ms > primary.process_started_at_ms
            )
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
    def newest_replicated(self) -> Position | None:
        """Newest position of those whose logs were received as replicas.

        An endpoint that started at the former primary's address after that one had
        ended has its log, and with it commits that no replica may have received.
        """
        primary = self.holders.get(self.primary)
        others = [
            position
            for process, position in self.received.items()
            if process != self.primary
            and not (
                primary is not None
                and self.holders[process].address == primary.address
                and self.holders[process].process_started_at_ms
                > primary.process_started_at_ms
            )
        ]
        return max(others, default=None)

    @property
    def may_lead_pending(self) -> bool:
        """Whether the pending successor holds all that replicas have acknowledged."""
        position = self.received.get(self.pending)
        return (
            position is not None
            and not self.missing
            and position >= self.known
            and position == self.newest_replicated
        )

    @property
    def basis(self) -> SurveyBasis:
        """What shows that ``required_position`` covers every acknowledged commit.

        Replicas that lack a known position show that another one, which isn't known,
        had received it. A primary whose final position is older than that, or than a
        replica's log, isn't the last one that led, or has started again without its
        log.
        """
        newest = self.newest
        final = self.received.get(self.primary)
        has_all = newest is not None and newest >= self.known and not self.missing
        has_final = final is not None and final >= max(newest or final, self.known)
        # Nobody sends the final log to a pending successor any more, and its promotion
        # can't be withdrawn; it was requested when no other log had more.
        if self.may_lead_pending:
            return SurveyBasis.ALL_REPLICAS
        if has_final:
            return SurveyBasis.FINAL_POSITION
        if has_all:
            return SurveyBasis.ALL_REPLICAS
        unread = {self.primary, *self.missing} - {None}
        if newest is not None and unread <= self.gone:
            return SurveyBasis.ALL_THAT_IS_LEFT
        return SurveyBasis.NONE

    def required_position(self) -> Position | None:
        """Return a position that covers every acknowledged commit, None if unknown."""
        basis = self.basis
        if basis is SurveyBasis.FINAL_POSITION:
            return self.received[self.primary]
        if self.may_lead_pending:
            return self.received[self.pending]
        return None if basis is SurveyBasis.NONE else self.newest

    def eligible(self, required: Position) -> list[EndpointEntry]:
        """Return the endpoints whose logs hold a position."""
        return [
            self.holders[process]
            for process, position in self.received.items()
            if position >= required
        ]

    def successor(
        self, cost: Callable[[EndpointEntry], object], *, required: Position
    ) -> EndpointEntry | None:
        """Return the endpoint of least cost whose log holds a position."""
        return min(self.eligible(required), key=cost, default=None)
