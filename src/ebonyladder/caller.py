"""Bodies of callers' requests and answers."""

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
    """Body of a statement request.

    Attributes
    ----------
    partition : str
        Partition key, which selects the group that stores the data.
    session : str
        Session token of the previous answer; empty for a new session.
    max_age_ms : int, optional
        Maximum age of a read's data, in milliseconds.
    idempotent : bool
        True if the statement may run more than once.
    deadline_ms : int, optional
        Time for which the caller waits, in milliseconds.
    """

    kind: RequestKind
    statement: str
    partition: str
    session: str = ""
    max_age_ms: Milliseconds | None = None
    idempotent: bool = False
    deadline_ms: Milliseconds | None = None


class CallerTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the request that begins a transaction."""

    partition: str
    session: str = ""
    deadline_ms: Milliseconds | None = None


class CallerStep(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the request for a later step of a transaction."""

    session: str = ""
    kind: RequestKind = RequestKind.READ
    statement: str = ""
    deadline_ms: Milliseconds | None = None


class CallerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the answer to a caller."""

    rows: list
    session: str
    request_id: RequestId
    endpoint: EndpointId
    role: Role
    term: int
    position: int
    transaction: str = ""


class TransactionAddress(NamedTuple):
    """Location of a transaction; joined into the opaque id that callers get."""

    service: ServiceId
    group: GroupId
    endpoint: EndpointId
    owner: str
    transaction: TransactionId
