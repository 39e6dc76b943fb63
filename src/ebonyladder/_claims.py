"""Order in which the VMs that ask for an organisation's tokens get them."""

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import VmId


class Claim(msgspec.Struct, kw_only=True):
    """Tokens that one VM asked for and did not get yet."""

    vm: VmId
    tokens: int
    until_s: float


class Claims:
    """Unmet requests for tokens of one organisation, in the order of arrival.

    Without this order a VM that waits for its next try loses each new token to
    a VM that asks at that moment.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.claims: list[Claim] = []

    def place(self, vm: VmId, wanted: int, *, valid_s: float) -> None:
        """Set the tokens that a VM wants; only additional ones go to the end."""
        until_s = self.clock.now_s() + valid_s
        missing = wanted
        for claim in self._live():
            if claim.vm == vm:
                claim.tokens = min(claim.tokens, missing)
                claim.until_s = until_s
                missing -= claim.tokens
        if missing:
            self.claims.append(Claim(vm=vm, tokens=missing, until_s=until_s))

    def drop(self, vm: VmId) -> None:
        """Remove the claims of a VM."""
        self.claims = [claim for claim in self.claims if claim.vm != vm]

    def total(self) -> int:
        """Return the tokens of all claims."""
        return sum(claim.tokens for claim in self._live())

    def ahead_of(self, vm: VmId) -> int:
        """Return the tokens claimed before the first claim of a VM."""
        ahead = 0
        for claim in self._live():
            if claim.vm == vm:
                break
            ahead += claim.tokens
        return ahead

    def due(self, vm: VmId, available: int) -> int:
        """Return how many of the available tokens are the VM's turn."""
        due = 0
        for claim in self._live():
            part = min(claim.tokens, available)
            available -= part
            due += part if claim.vm == vm else 0
        return due

    def _live(self) -> list[Claim]:
        now_s = self.clock.now_s()
        self.claims = [c for c in self.claims if c.tokens and c.until_s > now_s]
        return self.claims
