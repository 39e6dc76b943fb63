"""Statement of a session on its way to an endpoint."""

import msgspec

from ebonyladder.sessions.catalog import OPEN_ORGANISATION, Organisation, Route
from ebonyladder.sessions.command import Command, Prepared
from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.sessions.endpoint_selector import Target
from ebonyladder.sessions.pool import EndpointConnectionPool
from ebonyladder.types import OrganisationId, Position, RequestKind


class StatementRequest(msgspec.Struct, kw_only=True):
    """One statement with all that decides where and how it runs.

    Attributes
    ----------
    access : RequestKind
        Whether it may change data.
    own : Position or None
        Last commit of the session on the route's service.
    deadline_s : float
        Time on the daemon's clock after which no answer is waited for.
    was_sent : bool
        Whether it was sent to an endpoint at all.
    open_attempts : int
        Attempts of which it isn't known that they did not run.
    """

    command: Command
    route: Route
    organisation: Organisation | None
    access: RequestKind
    values: dict[str, str]
    own: Position | None
    deadline_s: float
    prepared: Prepared | None = None
    is_transaction: bool = False
    was_sent: bool = False
    open_attempts: int = 0

    @property
    def organisation_id(self) -> OrganisationId:
        """Organisation on whose behalf the statement runs."""
        return self.organisation.name if self.organisation else OPEN_ORGANISATION


class PinnedConnection(msgspec.Struct, kw_only=True):
    """Link that a transaction holds from its first statement to its end."""

    pool: EndpointConnectionPool
    connection: PooledConnection
    target: Target
