"""Delivery of one message to an owner, retransmitted after a connection loss."""

import asyncio
from typing import cast

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.membership import Membership
from ebonyladder.messages import Forward, ForwardAnswer, TransactionStep
from ebonyladder.peer import PeerConnections
from ebonyladder.types import Incarnation, VmId

# Transit time of the owner's refusal, so that it arrives before the timeout here.
ANSWER_MARGIN_S = 0.05
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# An idempotent request is not sent more often as the same hop: it can run elsewhere.
MAX_SENDS_IDEMPOTENT = 2


class HopSender:
    """Deliver messages to owners and recover answers lost with a connection.

    A hop is retransmitted with the same hop id and only to the incarnation of
    the owner that the first delivery went to. The owner's deduplication table
    answers it without running it a second time.

    Parameters
    ----------
    peers : PeerConnections
        Connections to the owners.
    membership : Membership
        View of the VMs; retransmission stops once it lacks the owner's address.
    clock : Clock
        Clock for the deadline.
    """

    def __init__(
        self, *, peers: PeerConnections, membership: Membership, clock: Clock
    ) -> None:
        self.peers = peers
        self.membership = membership
        self.clock = clock

    async def send(
        self,
        owner: VmId,
        message: Forward | TransactionStep,
        *,
        is_idempotent: bool = False,
    ) -> ForwardAnswer:
        """Return the owner's answer to a message.

        Parameters
        ----------
        owner : VmId
            VM that runs the message.
        message : Forward or TransactionStep
            Message with its hop id; ``remaining_s`` bounds all transmissions.
        is_idempotent : bool
            True if the request may be sent to another owner as a new hop.

        Raises
        ------
        EbonyladderError
            The owner's refusal, PEER_UNREACHABLE or PEER_REPLACED (not run) if
            nothing was sent, or PEER_LOST (unknown) if the message was sent
            and the owner was replaced, is no longer in the view or did not answer
            in time.
        """
        deadline_s = self.clock.now_s() + message.remaining_s
        identity = await self.peers.identify(owner, timeout_s=message.remaining_s)
        incarnation = identity.incarnation
        try:
            return await self._send_once(owner, message, incarnation, deadline_s)
        except EbonyladderError as error:
            if error.code is not ErrorCode.PEER_LOST:
                raise
            self.membership.suspect(owner)
            first_error = error
        sends, backoff_s = 1, MIN_BACKOFF_S
        while self._may_retransmit(owner, deadline_s, sends, is_idempotent):
            try:
                answer = await self._send_once(owner, message, incarnation, deadline_s)
                logging.info("[hop] Answer arrived by retransmission. owner=%s", owner)
                return answer
            except EbonyladderError as error:
                if error.code is ErrorCode.PEER_REPLACED:
                    break
                if error.code not in (
                    ErrorCode.PEER_LOST,
                    ErrorCode.PEER_UNREACHABLE,
                ):
                    raise
            sends += 1
            await asyncio.sleep(min(backoff_s, max(0.0, deadline_s - self._now_s())))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise first_error

    async def _send_once(
        self,
        owner: VmId,
        message: Forward | TransactionStep,
        incarnation: Incarnation,
        deadline_s: float,
    ) -> ForwardAnswer:
        remaining_s = max(0.0, deadline_s - self._now_s())
        answer = await self.peers.call(
            owner,
            msgspec.structs.replace(message, remaining_s=remaining_s),
            timeout_s=remaining_s + ANSWER_MARGIN_S,
            incarnation=incarnation,
        )
        return cast(ForwardAnswer, answer)

    def _may_retransmit(
        self, owner: VmId, deadline_s: float, sends: int, is_idempotent: bool
    ) -> bool:
        if is_idempotent and sends >= MAX_SENDS_IDEMPOTENT:
            return False
        if self.membership.address_of(owner) is None:
            return False
        return self._now_s() < deadline_s

    def _now_s(self) -> float:
        return self.clock.now_s()
