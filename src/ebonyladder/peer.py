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
    async def identify(self, vm: VmId, *, timeout_s: float) -> PeerIdentity:
        """Return the peer of the link to a VM, opening the link if need be.

        Raises
        ------
        PeerError
            PEER_UNREACHABLE if the link could not be opened.
        """

    @abstractmethod
    async def call(
        self,
        vm: VmId,
        message: Message,
        *,
        timeout_s: float,
        incarnation: Incarnation | None = None,
    ) -> Message:
        """Send a message and return the peer's answer.

        Parameters
        ----------
        vm : VmId
            Receiver.
        message : Message
            Message to send.
        timeout_s : float
            Seconds to wait for the answer.
        incarnation : Incarnation, optional
            Send only to this incarnation of the VM.

        Raises
        ------
        PeerError
            PEER_UNREACHABLE if the message was not sent, PEER_REPLACED if it
            was not sent because another incarnation answers, PEER_LOST if the
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
