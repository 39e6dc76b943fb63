"""What the endpoints of a service show about which of them led last.

Needed where the store may have lost group states: it then names a former primary, or
none. An endpoint that was promoted since is in a newer term, and so is every endpoint
that has received from it. One that doesn't answer may be the one that leads.
"""

from collections.abc import Collection

from ebonyladder.sessions.endpoint_control import EndpointControl, ProbedEndpoint
from ebonyladder.sessions.log_holders import LogHolders
from ebonyladder.types import EndpointProcess, Role, Term


def find_last_leader(
    control: EndpointControl,
    holders: LogHolders,
    *,
    min_term: Term,
    listed: Collection[EndpointProcess],
) -> ProbedEndpoint | None:
    """Return the endpoint that leads in the newest term, None if it isn't known.

    Every log holder must answer, but for one that isn't listed: no VM sends statements
    to it, and without another holder it has acknowledged nothing in a newer term.

    Parameters
    ----------
    control : EndpointControl
        Endpoints that answer, with their statuses.
    holders : LogHolders
        All endpoints that may have been promoted.
    min_term : Term
        Newest term in which an endpoint is known to have led.
    listed : collection of EndpointProcess
        Endpoints that are listed now.
    """
    answers = [
        control.endpoints[entry.process]
        for entry in holders.latest
        if entry.process in control.endpoints
    ]
    silent = [e for e in holders.latest if e.process not in control.endpoints]
    if not answers or len(silent) > 1 or any(e.process in listed for e in silent):
        return None
    newest_term = max(min_term, *(found.status.term for found in answers))
    leading = [
        found
        for found in answers
        if found.status.role is Role.PRIMARY and found.status.term == newest_term
    ]
    return leading[0] if len(leading) == 1 else None


def find_silent_leader(
    control: EndpointControl, holders: LogHolders
) -> EndpointProcess | None:
    """Return the only log holder that doesn't answer, None if there are more or none.

    If no other one leads, it may have led last. Every commit that it has acknowledged
    was received by one of the others.
    """
    silent = [
        e.process for e in holders.endpoints if e.process not in control.endpoints
    ]
    return silent[0] if len(silent) == 1 else None
