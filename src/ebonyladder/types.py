"""Identifiers, states and records that the whole package shares."""

from enum import Enum
from typing import NewType

import msgspec

VmId = NewType("VmId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
OrganisationId = NewType("OrganisationId", str)
ServiceId = NewType("ServiceId", str)
GroupId = NewType("GroupId", str)
EndpointId = NewType("EndpointId", str)
EndpointProcess = NewType("EndpointProcess", str)
RequestId = NewType("RequestId", str)
TransactionId = NewType("TransactionId", str)
KeyDigest = NewType("KeyDigest", str)
Address = NewType("Address", str)
Term = NewType("Term", int)
LogPosition = NewType("LogPosition", int)
Incarnation = NewType("Incarnation", int)
SubmissionId = NewType("SubmissionId", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)


class RequestKind(Enum):
    """Whether a statement may change data."""

    READ = "read"
    WRITE = "write"


class Role(Enum):
    """Role of an endpoint in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class EndpointState(Enum):
    """State of an endpoint in the configuration."""

    ACTIVE = "active"
    LEAVING = "leaving"


class ZoneState(Enum):
    """State of an availability zone in the configuration."""

    IN = "in"
    OUT = "out"


class VmState(Enum):
    """State of a VM in the configuration or the platform's list."""

    ACTIVE = "active"
    DRAIN = "drain"


class Position(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Position in the log of a group.

    Attributes
    ----------
    term : Term
        Term in which the position was written or read.
    position : LogPosition
        Number of log entries up to and including this position.
    """

    term: Term
    position: LogPosition

    def __str__(self) -> str:
        """Return the position for a log line."""
        return f"{self.term}.{self.position}"


class Statement(msgspec.Struct, frozen=True, kw_only=True):
    """Statement of a caller; the proxy interprets only its kind."""

    kind: RequestKind
    text: str


class HopId(msgspec.Struct, frozen=True, kw_only=True):
    """Id of one call that a VM forwards to another.

    Attributes
    ----------
    vm : VmId
        VM that sent the call.
    incarnation : Incarnation
        Start number of that VM's daemon.
    number : int
        Counter within the incarnation; never reused.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
