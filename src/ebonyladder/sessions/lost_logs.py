"""Log holders whose logs don't come back any more."""

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.failover_attempt import FailoverAttempt
from ebonyladder.types import EndpointProcess, ServiceId

# The log of an endpoint that drains is transferred to a new one at its address, and one
# that crashes while it leaves may come back. Time after which neither is waited for, in
# seconds; the platform gives none, ten seconds are those in which a primary must be
# replaced.
LOG_RETURN_TIME_S = 10.0


class LostLogs:
    """Times since which log holders are known to be without their logs.

    Parameters
    ----------
    cluster : ClusterView
        Listed endpoints.
    clock : Clock
        Clock of the times.

    Attributes
    ----------
    since_s : dict of ServiceId to dict of EndpointProcess to float
        Times at which surveys first found log holders to have ended, or to have no
        log.
    """

    def __init__(self, *, cluster: ClusterView, clock: Clock) -> None:
        self.cluster = cluster
        self.clock = clock
        self.since_s: dict[ServiceId, dict[EndpointProcess, float]] = {}

    def record(
        self,
        attempt: FailoverAttempt,
        *,
        ended: frozenset[EndpointProcess],
        empty: frozenset[EndpointProcess],
    ) -> frozenset[EndpointProcess]:
        """Return the log holders whose logs are gone for good.

        An endpoint that has their log by then is listed, and so is a log holder itself.

        Parameters
        ----------
        ended : frozenset of EndpointProcess
            Unlisted holders that are known to have ended.
        empty : frozenset of EndpointProcess
            Holders under whose entries an empty log was read. Either it is theirs, or
            that of a later process, and then theirs is gone.
        """
        now_s = self.clock.now_s()
        ended |= attempt.control.gone
        known = self.since_s.get(attempt.service, {})
        listed = {entry.process for entry in self.cluster.members(attempt.service)}
        # The address of an endpoint that has ended refuses connections for a while
        # only, so what was known of one that isn't listed again stays valid.
        since_s = {
            process: known.get(process, now_s)
            for process in attempt.by_process
            if process in empty
            or (
                process not in attempt.control.endpoints
                and (process in ended or process in known.keys() - listed)
            )
        }
        self.since_s[attempt.service] = since_s
        lasting = frozenset(
            process
            for process, at_s in since_s.items()
            if now_s - at_s >= LOG_RETURN_TIME_S
        )
        return attempt.gone(lasting) | (empty & lasting)
