"""Request to run a statement of a session at an endpoint."""

import msgspec

from ebonyladder.sessions.catalog import OPEN_ORGANISATION, Organisation, Route
from ebonyladder.sessions.command import Answer, Command, Prepared
from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.sessions.endpoint_selector import Target
from ebonyladder.sessions.pool import EndpointConnectionPool
from ebonyladder.types import OrganisationId, Position, RequestKind


class StatementRequest(msgspec.Struct, kw_only=True):
    """Statement with everything that decides where and how it runs.

    Attributes
    ----------
    access : RequestKind
        Whether it may change data.
    values : dict of str to str
        Session variables.
    last_commit : Position or None
        Last commit of the session on the route's service.
    deadline_s : float
        Deadline of the answer, on the daemon's clock.
    is_transaction : bool
        Whether the request opens a transaction.
    was_sent : bool
        Whether it was sent to an endpoint.
    unresolved_attempts : int
        Attempts whose outcome is unknown, so that they may have run.
    has_run : bool
        Whether an endpoint has answered that it ran.
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
    has_run: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether it can't be promised that nothing of it is kept."""
        return self.has_run or self.unresolved_attempts > 0

    @property
    def organisation_id(self) -> OrganisationId:
        """Organisation on whose behalf the statement runs."""
        return self.organisation.name if self.organisation else OPEN_ORGANISATION

    def record_answer(self, answer: Answer) -> None:
        """Record an endpoint's answer."""
        self.has_run |= answer.code is None or not answer.code.is_not_run


class PinnedConnection(msgspec.Struct, kw_only=True):
    """Connection pinned by a transaction from its first statement to its end.

    Attributes
    ----------
    has_written : bool
        Whether the transaction has written; kept by the endpoint's owner.
    """

    pool: EndpointConnectionPool
    connection: PooledConnection
    target: Target
    has_written: bool = False
