"""Records that callers' front ends decode and encode."""

from typing import Annotated, NamedTuple

import msgspec

from ebonyladder.types import (
    EndpointId,
    GroupId,
    RequestId,
    RequestKind,
    Role,
    ServiceId,
    TransactionId,
)

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class CallerStatement(msgspec.Struct, frozen=True, kw_only=True):
    """Statement as a caller sends it.

    Attributes
    ----------
    partition : str
        Names the group that stores the data.
    session : str
        Token of the last answer; empty for a new session.
    max_age_ms : int, optional
        Greatest accepted age of a read's data, in milliseconds.
    idempotent : bool
        True if running the statement twice does no harm.
    deadline_ms : int, optional
        Time that the caller waits, in milliseconds.
    """

    kind: RequestKind
    statement: str
    partition: str
    session: str = ""
    max_age_ms: Milliseconds | None = None
    idempotent: bool = False
    deadline_ms: Milliseconds | None = None


class CallerTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """Begin of a transaction as a caller sends it."""

    partition: str
    session: str = ""
    deadline_ms: Milliseconds | None = None


class CallerStep(msgspec.Struct, frozen=True, kw_only=True):
    """Later step of a transaction as a caller sends it."""

    session: str = ""
    kind: RequestKind = RequestKind.READ
    statement: str = ""
    deadline_ms: Milliseconds | None = None


class CallerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whole answer to a caller."""

    rows: list
    session: str
    request_id: RequestId
    endpoint: EndpointId
    role: Role
    term: int
    position: int
    transaction: str = ""


class TransactionAddress(NamedTuple):
    """Where a transaction runs; callers hold it as an opaque id."""

    service: ServiceId
    group: GroupId
    endpoint: EndpointId
    owner: str
    name: TransactionId
