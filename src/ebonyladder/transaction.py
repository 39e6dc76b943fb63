"""Open interactive transactions at the owner of their endpoint."""

import asyncio

from ebonyladder._owned_endpoints import OwnedEndpoint
from ebonyladder.endpoint import EndpointConnection
from ebonyladder.group import GroupView
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, GroupId, OrganisationId, TransactionId


class OpenTransaction:
    """Transaction with the connection that it uses exclusively until its end.

    Parameters
    ----------
    organisation : OrganisationId
        Organisation that opened it; no other may use it.
    group : GroupId
        Group on which it runs.
    endpoint : EndpointId
        Endpoint on which it runs.
    connection : EndpointConnection
        Connection used by this transaction only.
    expires_at_s : float
        Time on the owner's clock at which it is rolled back.
    view : GroupView
        View of the group, which is kept up to date until the transaction ends.
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
        expires_at_s: float,
        view: GroupView,
        owned: OwnedEndpoint,
    ) -> None:
        self.organisation = organisation
        self.group = group
        self.endpoint = endpoint
        self.connection = connection
        self.expires_at_s = expires_at_s
        self.view = view
        self.owned = owned
        # Serializes the steps of the transaction.
        self.lock = asyncio.Lock()


class TransactionTable:
    """Open transactions of one owner, by id."""

    def __init__(self) -> None:
        self.open: dict[TransactionId, OpenTransaction] = {}
        self.empty = asyncio.Event()
        self.empty.set()

    def add(self, transaction_id: TransactionId, transaction: OpenTransaction) -> None:
        """Add a transaction."""
        self.open[transaction_id] = transaction
        self.empty.clear()

    def get(
        self, transaction_id: TransactionId, organisation: OrganisationId
    ) -> OpenTransaction:
        """Return a transaction of an organisation.

        Raises
        ------
        RequestError
            TRANSACTION_ENDED, not run, if it is unknown, has ended or belongs
            to another organisation.
        """
        transaction = self.open.get(transaction_id)
        if transaction is None or transaction.organisation != organisation:
            raise RequestError(
                code=ErrorCode.TRANSACTION_ENDED,
                step=Step.EXECUTE,
                outcome=Outcome.NOT_RUN,
            )
        return transaction

    def remove(self, transaction_id: TransactionId) -> OpenTransaction | None:
        """Remove a transaction; None if it has been removed already."""
        transaction = self.open.pop(transaction_id, None)
        if not self.open:
            self.empty.set()
        return transaction

    def count_on(self, endpoint: EndpointId) -> int:
        """Return the number of open transactions on an endpoint."""
        return sum(
            transaction.endpoint == endpoint for transaction in self.open.values()
        )
