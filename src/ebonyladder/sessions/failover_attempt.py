"""State of one attempt to replace a primary, and the errors that end it."""

from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import AcknowledgedRange, EndpointEntry
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.sessions.log_holders import LogHolders
from ebonyladder.sessions.log_survey import LogSurvey
from ebonyladder.types import EndpointProcess, Position, ServiceId


class FailoverAbortedError(EbonyladderError):
    """A failover can't be made safely now."""


class EndpointNotRunningError(FailoverAbortedError):
    """The platform has refused a promotion, so it won't take effect."""


class FailoverAttempt:
    """State of one attempt to replace a primary.

    Parameters
    ----------
    service : ServiceId
        Service whose primary is replaced.
    token : int
        Fencing token of the leadership in which the attempt began.
    control : EndpointControl
        Connections to the endpoints.
    holders : LogHolders
        Log holders, as far as they are known.
    lost : frozenset of EndpointProcess
        Log holders that are taken as gone for good.

    Attributes
    ----------
    primary : EndpointProcess or None
        Former primary.
    earlier_successor : EndpointProcess or None
        Endpoint whose promotion an interrupted attempt has requested.
    members_read_at_s : float
        Time at which the list of members was requested from the store last.
    """

    def __init__(
        self,
        *,
        service: ServiceId,
        token: int,
        control: EndpointControl,
        holders: LogHolders,
        lost: frozenset[EndpointProcess],
    ) -> None:
        self.service = service
        self.token = token
        self.control = control
        self.holders = holders
        self.lost = lost
        self.primary: EndpointProcess | None = None
        self.earlier_successor: EndpointProcess | None = None
        self.members_read_at_s = float("-inf")

    @property
    def by_process(self) -> dict[EndpointProcess, EndpointEntry]:
        """Log holders by their processes."""
        return {entry.process: entry for entry in self.holders.endpoints}

    def survey(
        self,
        received: dict[EndpointProcess, Position],
        acknowledged: AcknowledgedRange,
        *,
        have_all_told: bool,
    ) -> LogSurvey:
        """Return the survey of the logs that were read."""
        return LogSurvey(
            primary=self.primary,
            holders=self.by_process,
            received=received,
            lost=self.lost,
            acknowledged=acknowledged,
            have_all_told=have_all_told,
        )


def aborted(
    service: ServiceId,
    message: str,
    error: type[FailoverAbortedError] = FailoverAbortedError,
) -> FailoverAbortedError:
    """Return the error that ends an attempt."""
    return error(
        code=ErrorCode.NO_PRIMARY,
        step=Step.PROMOTE,
        peer=service,
        message=message,
    )
