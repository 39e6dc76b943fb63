"""State of one attempt to replace a primary, and the errors that end it."""

from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import EndpointEntry, GroupState
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.sessions.lead_evidence import find_silent_leader
from ebonyladder.sessions.log_holders import LogHolders
from ebonyladder.types import (
    EndpointProcess,
    EndpointState,
    Position,
    Role,
    ServiceId,
    Term,
)


class FailoverAbortedError(EbonyladderError):
    """A failover can't be made safely now."""


class EndpointNotRunningError(FailoverAbortedError):
    """The platform has refused a promotion, so it won't take effect."""


class SurveyOutdatedError(FailoverAbortedError):
    """A log has changed between the survey and the call to the platform."""


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

    Attributes
    ----------
    primary : EndpointProcess or None
        Last endpoint that may have led: the former primary, or a successor that has
        left since its promotion was requested.
    earlier_successor : EndpointProcess or None
        Endpoint whose promotion an interrupted attempt has requested.
    term : Term
        Term of the calls that pause replicas and make primaries step down.
    members_read_at_s : float
        Time at which the list of members was requested from the store last.
    fenced : dict of EndpointProcess to Position
        Endpoints that must receive nothing more until the promotion takes effect, and
        the positions of their logs: the former primary if it has stepped down,
        otherwise all replicas.
    is_requested : bool
        Whether the promotion may take effect, since its call may have been sent.
    """

    def __init__(
        self,
        *,
        service: ServiceId,
        token: int,
        control: EndpointControl,
        holders: LogHolders,
    ) -> None:
        self.service = service
        self.token = token
        self.control = control
        self.holders = holders
        self.primary: EndpointProcess | None = None
        self.earlier_successor: EndpointProcess | None = None
        self.term = Term(0)
        self.members_read_at_s = float("-inf")
        self.fenced: dict[EndpointProcess, Position] = {}
        self.is_requested = False

    @property
    def by_process(self) -> dict[EndpointProcess, EndpointEntry]:
        """Log holders by their processes."""
        return {entry.process: entry for entry in self.holders.endpoints}

    def gone(self, ended: frozenset[EndpointProcess]) -> frozenset[EndpointProcess]:
        """Return the log holders whose logs are gone for good.

        An endpoint that was started again under its id knows nothing of before. The log
        of one that left is gone unless another has it soon. One that crashed without
        announcing that it leaves may come back with it at any time.

        Parameters
        ----------
        ended : frozenset of EndpointProcess
            Holders that ended so long ago that no other endpoint gets their logs.
        """
        latest = {entry.process for entry in self.holders.latest}
        return frozenset(
            entry.process
            for entry in self.holders.endpoints
            if entry.process not in latest
            or (entry.state is EndpointState.LEAVING and entry.process in ended)
        )

    def find_former_primary(self, group: GroupState | None) -> None:
        """Find the process of the former primary.

        An endpoint that was started again is the former primary only if it still has
        its role, since a new process knows nothing of the log.

        Parameters
        ----------
        group : GroupState or None
            Last known group state of the service.
        """
        if group is not None and group.is_incomplete:
            self.primary = find_silent_leader(self.control, self.holders)
            return
        entries = [
            entry
            for entry in self.holders.endpoints
            if (
                entry.role is Role.PRIMARY
                if group is None
                else entry.id == group.primary
            )
        ]
        entries.sort(key=lambda e: e.process_started_at_ms)
        if not entries:
            self.primary = None
            return
        newest = self.control.endpoints.get(entries[-1].process)
        leads = newest is not None and newest.status.role is Role.PRIMARY
        self.primary = (newest.entry if leads else entries[0]).process

    @property
    def has_stepped_down(self) -> bool:
        """Whether the survey rests on a step-down of the former primary."""
        return self.primary in self.fenced


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
