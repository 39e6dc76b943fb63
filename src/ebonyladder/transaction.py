"""Interactive transactions at the owner of their endpoint."""

import asyncio

from ebonyladder._owned_endpoints import OwnedEndpoint
from ebonyladder.endpoint import EndpointConnection
from ebonyladder.group import GroupView
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, GroupId, OrganisationId, TransactionId


class OpenTransaction:
    """Transaction with the connection that it owns until its end.

    Parameters
    ----------
    organisation : OrganisationId
        Organisation that opened it; no other may use it.
    group : GroupId
        Group on which it runs.
    endpoint : EndpointId
        Endpoint on which it runs.
    connection : EndpointConnection
        Its connection.
    ends_s : float
        Time on the owner's clock at which it is rolled back.
    view : GroupView
        State of the group, which is fed until the transaction ends.
    owned : OwnedEndpoint
        Queue and pool of the endpoint.
    """

    def __init__(
        self,
        *,
        organisation: OrganisationId,
        group: GroupId,
        endpoint: EndpointId,
        connection: EndpointConnection,
        ends_s: float,
        view: GroupView,
        owned: OwnedEndpoint,
    ) -> None:
        self.organisation = organisation
        self.group = group
        self.endpoint = endpoint
        self.connection = connection
        self.ends_s = ends_s
        self.view = view
        self.owned = owned
        # One statement at a time; a second one waits for the first.
        self.lock = asyncio.Lock()


class TransactionTable:
    """Open transactions of one owner, by id."""

    def __init__(self) -> None:
        self.open: dict[TransactionId, OpenTransaction] = {}
        self.empty = asyncio.Event()
        self.empty.set()

    def add(self, name: TransactionId, transaction: OpenTransaction) -> None:
        """Add a transaction."""
        self.open[name] = transaction
        self.empty.clear()

    def get(self, name: TransactionId, organisation: OrganisationId) -> OpenTransaction:
        """Return a transaction of an organisation.

        Raises
        ------
        RequestError
            TRANSACTION_ENDED, not run, if it is unknown, has ended or belongs
            to another organisation.
        """
        found = self.open.get(name)
        if found is None or found.organisation != organisation:
            raise RequestError(
                code=ErrorCode.TRANSACTION_ENDED,
                step=Step.EXECUTE,
                outcome=Outcome.NOT_RUN,
            )
        return found

    def remove(self, name: TransactionId) -> OpenTransaction | None:
        """Remove a transaction; None if it has been removed already."""
        found = self.open.pop(name, None)
        if not self.open:
            self.empty.set()
        return found

    def count_on(self, endpoint: EndpointId) -> int:
        """Return the number of open transactions on an endpoint."""
        return sum(found.endpoint == endpoint for found in self.open.values())
