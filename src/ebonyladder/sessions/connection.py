"""Interfaces to endpoints: connections, and the calls that change roles."""

from abc import ABC, abstractmethod

import msgspec

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


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint says of itself.

    Attributes
    ----------
    term : Term
        Newest term that the endpoint knows.
    received : Position
        Last place in its log, whether applied or not.
    """

    role: Role
    term: Term
    received: Position


class ReadBound(msgspec.Struct, frozen=True, kw_only=True):
    """What a read must see, to be resolved by the VM that owns the endpoint.

    Attributes
    ----------
    max_age_s : float
        Greatest age of what the read sees, in seconds.
    own : Position or None
        Last commit of the session.
    """

    max_age_s: float
    own: Position | None = None


# Log position that a statement needs; None where the endpoint is the primary.
MinPosition = Position | ReadBound | None


class PooledConnection(ABC):
    """Connection to one endpoint on behalf of one organisation.

    A link runs one command at a time. All methods raise ``EndpointError`` and
    leave the link closed where no whole answer came.

    Attributes
    ----------
    endpoint : EndpointId
        Endpoint at the far end.
    organisation : OrganisationId
        Organisation that the endpoint was told.
    values : dict of str to str
        Session values in force on the connection.
    is_open : bool
        Whether the link can run another command.
    """

    endpoint: EndpointId
    organisation: OrganisationId
    values: dict[str, str]
    is_open: bool

    @abstractmethod
    def align(self, values: dict[str, str], deadline_s: float) -> None:
        """Give the connection exactly these values before its next command.

        ``deadline_s`` is the time on the daemon's clock until which that command's
        answer is waited for.
        """

    @abstractmethod
    async def begin(
        self, command: Command, *, min_position: MinPosition = None
    ) -> Answer:
        """Open a transaction, on a log that holds ``min_position`` at least."""

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
    """Link that can also ask an endpoint about itself and change its role."""

    @abstractmethod
    async def status(self) -> EndpointStatus:
        """Return the endpoint's status."""

    @abstractmethod
    async def pause(self, term: Term) -> EndpointStatus:
        """Stop a replica from receiving until it is resumed or promoted."""

    @abstractmethod
    async def resume(self) -> EndpointStatus:
        """Let a paused replica receive again."""

    @abstractmethod
    async def step_down(self, term: Term) -> EndpointStatus:
        """Make a primary of a lower term a replica."""


class EndpointConnector(ABC):
    """Opens links to endpoints."""

    @abstractmethod
    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> ControlConnection:
        """Open a link.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run, where the endpoint can't be reached or
            refuses the connection.
        """


class PromotionClient(ABC):
    """Platform call that names the next primary of a service."""

    @abstractmethod
    async def promote(
        self, *, service: ServiceId, endpoint: EndpointId, holder: VmId, token: int
    ) -> bool:
        """Promote an endpoint; False where it isn't running.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE where no answer came; the promotion may happen.
        """
