"""Whether this VM should get new sessions."""

from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.sessions.roster import Roster


class Readiness:
    """Ready once the VM could serve, until it drains.

    A VM that has lost the store stays ready: it serves with what it knows, and a
    shared outage must not take all VMs from the balancer.

    Parameters
    ----------
    kernel : Kernel
        Tells whether the VM drains.
    roster : Roster
        Configuration and endpoints.
    """

    def __init__(self, *, kernel: Kernel, roster: Roster) -> None:
        self.kernel = kernel
        self.roster = roster
        self.was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the VM should get new sessions."""
        is_ready = (
            not self.kernel.draining
            and self.roster.catalog is not None
            and bool(self.roster.endpoints)
        )
        if is_ready != self.was_ready:
            logging.info(
                "[readiness] Readiness changes. ready=%s config=%d endpoints=%d",
                is_ready,
                self.roster.version,
                len(self.roster.endpoints),
            )
        self.was_ready = is_ready
        return is_ready
