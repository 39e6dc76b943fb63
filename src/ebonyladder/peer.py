"""Interface to the links between VMs."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ebonyladder.messages import Message
from ebonyladder.types import Address, HopId, Incarnation, VmId, ZoneId


class PeerIdentity(NamedTuple):
    """Authenticated peer of a link."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    address: Address


Handler = Callable[[PeerIdentity, Message], Awaitable[Message]]


class PeerLinks(ABC):
    """Calls to other VMs and handlers for their calls.

    Attributes
    ----------
    incarnation : Incarnation
        Start number of this daemon; larger for each later start.
    """

    incarnation: Incarnation

    @abstractmethod
    async def call(self, vm: VmId, message: Message, *, timeout_s: float) -> Message:
        """Send a message and return the peer's answer.

        Raises
        ------
        PeerError
            PEER_UNREACHABLE if the message was not sent, PEER_LOST if the
            link broke or the time ran out after it was sent, or the error
            that the peer answered with.
        """

    @abstractmethod
    async def call_address(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message to an address whose VM is not known yet."""

    @abstractmethod
    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Answer messages of one type with ``handler``."""

    @abstractmethod
    def next_hop(self) -> HopId:
        """Return a hop id that was never used before."""
