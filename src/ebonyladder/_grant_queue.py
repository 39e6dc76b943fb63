"""Order in which VMs that request an organisation's tokens get them."""

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import VmId


class PendingRequest(msgspec.Struct, kw_only=True):
    """Tokens that one VM requested and was not granted yet."""

    vm: VmId
    tokens: int
    expires_at_s: float


class GrantQueue:
    """Pending token requests for one organisation, in the order of arrival.

    Without this order a VM that backs off before its next request would lose each
    new token to a VM whose request arrives at that moment.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.requests: list[PendingRequest] = []

    def enqueue(self, vm: VmId, requested: int, *, ttl_s: float) -> None:
        """Set the tokens that a VM requests; only additional ones go to the end."""
        expires_at_s = self.clock.now_s() + ttl_s
        missing = requested
        for request in self._unexpired():
            if request.vm == vm:
                request.tokens = min(request.tokens, missing)
                request.expires_at_s = expires_at_s
                missing -= request.tokens
        if missing:
            self.requests.append(
                PendingRequest(vm=vm, tokens=missing, expires_at_s=expires_at_s)
            )

    def remove(self, vm: VmId) -> None:
        """Remove the requests of a VM."""
        self.requests = [request for request in self.requests if request.vm != vm]

    def total(self) -> int:
        """Return the tokens of all requests."""
        return sum(request.tokens for request in self._unexpired())

    def ahead_of(self, vm: VmId) -> int:
        """Return the tokens requested ahead of the first request of a VM."""
        ahead = 0
        for request in self._unexpired():
            if request.vm == vm:
                break
            ahead += request.tokens
        return ahead

    def grantable(self, vm: VmId, available: int) -> int:
        """Return how many of the available tokens the VM may get in this order."""
        grantable = 0
        for request in self._unexpired():
            granted = min(request.tokens, available)
            available -= granted
            grantable += granted if request.vm == vm else 0
        return grantable

    def _unexpired(self) -> list[PendingRequest]:
        now_s = self.clock.now_s()
        self.requests = [
            r for r in self.requests if r.tokens and r.expires_at_s > now_s
        ]
        return self.requests
