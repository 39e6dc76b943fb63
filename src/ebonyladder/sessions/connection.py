"""Interfaces to endpoints: connections, and the calls that change roles."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NewType

import msgspec

from ebonyladder.kernel.error import EndpointError
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.command import Answer, Command, Prepared
from ebonyladder.types import (
    EndpointId,
    OrganisationId,
    Position,
    Role,
    ServiceId,
    Term,
    VmId,
)

ConnectionId = NewType("ConnectionId", int)


class EndpointGoneError(EndpointError):
    """No process of the endpoint accepts connections at its address.

    Unlike silence, which may end, this shows that the process has ended.
    """


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status that an endpoint reports.

    Attributes
    ----------
    term : Term
        Newest term known to the endpoint.
    received : Position
        Last position in its log, whether applied or not.
    """

    role: Role
    term: Term
    received: Position


class ReadBound(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of a read, from which the endpoint's owner derives a position.

    Attributes
    ----------
    max_age_s : float
        Maximum staleness of what the read sees, in seconds.
    last_commit : Position or None
        Last commit of the session.
    """

    max_age_s: float
    last_commit: Position | None = msgspec.field(default=None, name="own")


# Log position that a statement needs; None where the endpoint is the primary.
MinPosition = Position | ReadBound | None


class PooledConnection(ABC):
    """Connection to one endpoint on behalf of one organisation.

    A connection runs one command at a time. If no complete answer arrives, or only one
    that may be a copy of an earlier answer, every method raises ``EndpointError`` and
    leaves the connection closed. So does a call that is cancelled.

    Attributes
    ----------
    endpoint : EndpointId
        Endpoint that it connects to.
    organisation : OrganisationId
        Organisation that was sent to the endpoint.
    values : dict of str to str
        Session variables that are set on the connection.
    is_open : bool
        Whether the connection can run another command.
    is_reusable : bool
        Whether the connection can run commands of another statement or transaction.
    """

    endpoint: EndpointId
    organisation: OrganisationId
    values: dict[str, str]
    is_open: bool

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can run commands of another statement."""
        return self.is_open

    @abstractmethod
    def set_variables(self, values: dict[str, str], deadline_s: float) -> None:
        """Set exactly these session variables before the next command.

        ``deadline_s`` is the time on the daemon's clock until which that command's
        answer is waited for.
        """

    @abstractmethod
    async def begin(
        self, command: Command, *, min_position: MinPosition = None
    ) -> Answer:
        """Open a transaction on a log that holds at least ``min_position``."""

    @abstractmethod
    async def run(
        self,
        command: Command,
        *,
        min_position: MinPosition = None,
        prepared: Prepared | None = None,
    ) -> Answer:
        """Run a command; ``prepared`` is the statement that EXECUTE names."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection; the endpoint rolls back what is open."""


class ControlConnection(PooledConnection):
    """Connection that can also request an endpoint's status and change its role.

    A call that the endpoint refuses for want of a slot raises ``EndpointError`` with
    the code OVERLOADED and leaves the connection open.

    The endpoint may send a copy of an earlier answer before that of a call, and nothing
    tells them apart. Only the first call's answer is sure to be its own.
    """

    @abstractmethod
    async def status(self) -> EndpointStatus:
        """Return the endpoint's status."""

    @abstractmethod
    async def pause(self, term: Term) -> EndpointStatus:
        """Stop a replica from receiving the log until it is resumed or promoted."""

    @abstractmethod
    async def resume(self) -> EndpointStatus:
        """Let a paused replica receive the log again."""

    @abstractmethod
    async def step_down(self, term: Term) -> EndpointStatus:
        """Make a primary of a lower term a replica."""


class EndpointConnector(ABC):
    """Opens connections to endpoints."""

    @abstractmethod
    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> ControlConnection:
        """Open a connection.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run, if the endpoint can't be reached or
            refuses the connection; ``EndpointGoneError`` if its process has ended.
        """


class PromotionClient(ABC):
    """Platform call that promotes an endpoint to primary of a service."""

    @abstractmethod
    async def promote(
        self,
        *,
        service: ServiceId,
        endpoint: EndpointId,
        holder: VmId,
        token: int,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> bool:
        """Promote an endpoint; False if it isn't running.

        Parameters
        ----------
        timeout_s : float
            Time after which the call ends and what wasn't transmitted is discarded,
            in seconds.
        may_send : callable
            Called once the connection is open, immediately before the request is sent.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE if no answer arrived; the promotion may still happen,
            unless the outcome is NOT_RUN.
        """
