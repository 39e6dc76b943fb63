"""Statement of a session that is to run at an endpoint."""

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
    last_commit : Position or None
        Last commit of the session on the route's service.
    deadline_s : float
        Time on the daemon's clock until which an answer is waited for.
    was_sent : bool
        Whether it was sent to an endpoint at all.
    unresolved_attempts : int
        Attempts that may have run, without a known outcome.
    """

    command: Command
    route: Route
    organisation: Organisation | None
    access: RequestKind
    values: dict[str, str]
    last_commit: Position | None
    deadline_s: float
    prepared: Prepared | None = None
    is_transaction: bool = False
    was_sent: bool = False
    unresolved_attempts: int = 0

    @property
    def organisation_id(self) -> OrganisationId:
        """Organisation on whose behalf the statement runs."""
        return self.organisation.name if self.organisation else OPEN_ORGANISATION


class PinnedConnection(msgspec.Struct, kw_only=True):
    """Connection pinned by a transaction from its first statement to its end."""

    pool: EndpointConnectionPool
    connection: PooledConnection
    target: Target
