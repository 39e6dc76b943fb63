"""Interface to the connections between VMs."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ebonyladder.messages import Message
from ebonyladder.types import Address, HopId, Incarnation, VmId, ZoneId


class PeerIdentity(NamedTuple):
    """Authenticated peer at the other end of a connection."""

    vm: VmId
    zone: ZoneId
    incarnation: Incarnation
    address: Address


Handler = Callable[[PeerIdentity, Message], Awaitable[Message]]


class PeerConnections(ABC):
    """Calls to other VMs, and handlers for their calls.

    Attributes
    ----------
    incarnation : Incarnation
        Number of this start of the daemon; greater than those of earlier starts.
    """

    incarnation: Incarnation

    @abstractmethod
    async def identify(self, vm: VmId, *, timeout_s: float) -> PeerIdentity:
        """Return the peer of the connection to a VM; opens one if there is none.

        Raises
        ------
        PeerError
            PEER_UNREACHABLE if the connection could not be opened.
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
            was not sent because the peer has another incarnation, PEER_LOST if
            the connection broke or the timeout expired after it was sent, or the
            error that the peer answered with.
        """

    @abstractmethod
    async def call_address(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a message to an address whose VM is not known yet, return the answer."""

    @abstractmethod
    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler that answers messages of one type."""

    @abstractmethod
    def next_hop(self) -> HopId:
        """Return a new, unique hop id."""
