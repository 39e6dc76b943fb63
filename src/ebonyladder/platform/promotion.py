"""Client of the platform's call that promotes an endpoint."""

import socket
import struct
from collections.abc import Callable
from typing import ClassVar

import msgspec
from absl import logging
from aiohttp import (
    BytesPayload,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from aiohttp.abc import AbstractStreamWriter

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import PromotionClient
from ebonyladder.sessions.registry import register
from ebonyladder.types import EndpointId, ServiceId, VmId

PROMOTION_PEER = "promotion"


class GuardedBody(BytesPayload):
    """Body that is sent, together with the headers, only if ``may_send`` allows it.

    Connecting may take long, and the VM may be paused meanwhile. Nothing is awaited
    between this check and the write to the socket.
    """

    def __init__(self, content: object, *, may_send: Callable[[], bool]) -> None:
        super().__init__(msgspec.json.encode(content), content_type="application/json")
        self.may_send = may_send
        self.is_rejected = False

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or end the request."""
        if not self.may_send():
            self.is_rejected = True
            raise ClientError("the request may not be sent any more")
        await super().write_with_length(writer, content_length)


def _make_socket(address_info: tuple) -> socket.socket:
    """Return a socket that discards what wasn't transmitted when it is closed.

    A call that has timed out must not reach the platform once a partition heals.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return sock


@register
class PlatformPromotionClient(Plugin, PromotionClient):
    """Calls the platform to promote an endpoint."""

    name: ClassVar[str] = "promotion-call"
    provides: ClassVar[tuple[type, ...]] = (PromotionClient,)

    @property
    def url(self) -> str:
        """URL of the call; the platform's address may change with a reload."""
        return f"http://{self.kernel.settings.promotion}/promote"

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
        """Promote an endpoint; False if it isn't running."""
        headers = {
            "X-Ebonyladder-Lease-Holder": holder,
            "X-Ebonyladder-Fencing-Token": str(token),
        }

        content = {"service": service, "id": endpoint}
        body = GuardedBody(content, may_send=may_send)
        timeout = ClientTimeout(total=timeout_s)
        connector = TCPConnector(socket_factory=_make_socket)
        try:
            async with (
                ClientSession(timeout=timeout, connector=connector) as session,
                session.post(self.url, data=body, headers=headers) as response,
            ):
                status = response.status
        except (ClientError, TimeoutError, OSError) as error:
            outcome = Outcome.NOT_RUN if body.is_rejected else Outcome.UNKNOWN
            raise self._error(f"no answer: {error!r}", outcome) from error
        logging.info(
            "[platform] Promotion requested. service=%s endpoint=%s token=%d status=%d",
            service,
            endpoint,
            token,
            status,
        )
        if status == 409:
            return False
        if status != 200:
            raise self._error(f"status {status}", Outcome.NOT_RUN)
        return True

    @staticmethod
    def _error(message: str, outcome: Outcome) -> StoreError:
        return StoreError(
            code=ErrorCode.STORE_UNAVAILABLE,
            step=Step.PROMOTE,
            peer=PROMOTION_PEER,
            message=message,
            outcome=outcome,
        )
