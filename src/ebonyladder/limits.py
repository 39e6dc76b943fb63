"""Fleet-wide rate and burst of organisations."""

from abc import ABC, abstractmethod

from ebonyladder.types import OrganisationId


class RateLimits(ABC):
    """Admission by the fleet-wide rate and burst of an organisation."""

    @abstractmethod
    async def admit(self, organisation: OrganisationId, *, wait_s: float) -> None:
        """Take one token, waiting for it up to ``wait_s`` seconds.

        Raises
        ------
        RequestError
            RATE_EXCEEDED with ``retry_after_s`` if no token could be had.
        """
