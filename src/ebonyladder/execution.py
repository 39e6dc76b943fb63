"""Interface of statement execution at the owner of an endpoint."""

from abc import ABC, abstractmethod

from ebonyladder.messages import (
    Forward,
    ForwardAnswer,
    GroupStateAnswer,
    TransactionStep,
)
from ebonyladder.types import GroupId, OrganisationId


class StatementExecutor(ABC):
    """Run statements at the endpoints that this VM owns."""

    @abstractmethod
    async def run(self, forward: Forward) -> ForwardAnswer:
        """Run one statement; raises ``EbonyladderError``."""

    @abstractmethod
    async def run_step(self, step: TransactionStep) -> ForwardAnswer:
        """Run one step of an interactive transaction."""

    @abstractmethod
    async def group_state(self, group: GroupId, *, wait_s: float) -> GroupStateAnswer:
        """Return the state of a group of which this VM owns an endpoint.

        Waits up to ``wait_s`` seconds for a primary to be known. Raises
        ``RequestError`` NOT_OWNER if this VM doesn't monitor the group.
        """

    def open_transactions(self) -> dict[OrganisationId, int]:
        """Return the number of open transactions by organisation."""
        return {}

    def used_slots(self) -> dict[GroupId, float]:
        """Return the slots in use on this VM plus requests that wait, by group."""
        return {}
