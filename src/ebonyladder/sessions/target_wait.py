"""How long a statement waits for an endpoint that may serve it."""

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.endpoint_selector import NoTarget
from ebonyladder.types import ServiceId

# A statement that can't be served soon is refused after this time, in seconds, so that
# the caller's next attempt may reach another VM or find a primary.
SHORT_WAIT_S = 0.15
# A service without a primary for longer than a failover takes is not expected to get
# one within a statement's timeout, in seconds.
LONG_OUTAGE_S = 3.0
# Reasons that hold at every VM.
OUTAGES = (NoTarget.NO_PRIMARY, NoTarget.LEFT_PRIMARY, NoTarget.PRIMARY_SUSPECT)


class TargetWait:
    """Decides until when statements wait, from how long services had no primary.

    Answers the load of a service whose primary has the only copy of a commit and is
    down: without a limit all its statements would wait until their timeouts.

    Parameters
    ----------
    clock : Clock
        Clock of the outages.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.outage_since_s: dict[ServiceId, float] = {}

    def record_primary(self, service: ServiceId) -> None:
        """Record that a service has a primary that may be used."""
        self.outage_since_s.pop(service, None)

    def end_s(
        self,
        reason: NoTarget,
        service: ServiceId,
        *,
        started_at_s: float,
        deadline_s: float,
    ) -> float:
        """Return the time at which a statement's wait for an endpoint ends.

        Parameters
        ----------
        started_at_s, deadline_s : float
            Start of the wait, and the statement's deadline, in seconds.
        """
        now_s = self.clock.now_s()
        is_brief = reason is NoTarget.STALE_GROUPS
        if reason in OUTAGES:
            since_s = self.outage_since_s.setdefault(service, now_s)
            is_brief = now_s - since_s >= LONG_OUTAGE_S
        # With stale group states this VM is partitioned, and another one may serve the
        # caller; a missing primary is missing at every VM.
        return min(deadline_s, started_at_s + SHORT_WAIT_S) if is_brief else deadline_s
