"""Client of the platform's call that promotes an endpoint."""

from typing import ClassVar

from absl import logging
from aiohttp import ClientError, ClientSession, ClientTimeout

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import PromotionClient
from ebonyladder.sessions.registry import register
from ebonyladder.types import EndpointId, ServiceId, VmId

PROMOTION_PEER = "promotion"
CALL_TIMEOUT_S = 1.0


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
        self, *, service: ServiceId, endpoint: EndpointId, holder: VmId, token: int
    ) -> bool:
        """Promote an endpoint; False if it isn't running."""
        headers = {
            "X-Ebonyladder-Lease-Holder": holder,
            "X-Ebonyladder-Fencing-Token": str(token),
        }
        try:
            async with (
                ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_S)) as session,
                session.post(
                    self.url, json={"service": service, "id": endpoint}, headers=headers
                ) as response,
            ):
                status = response.status
        except (ClientError, TimeoutError, OSError) as error:
            raise self._error(f"no answer: {error!r}", Outcome.UNKNOWN) from error
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
