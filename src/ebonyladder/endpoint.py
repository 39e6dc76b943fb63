"""Interfaces to database endpoints; each protocol is implemented by a plug-in."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import msgspec

from ebonyladder.types import (
    Address,
    EndpointId,
    LogPosition,
    OrganisationId,
    Position,
    Role,
    Statement,
    Term,
    VmId,
)


class EndpointReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that an endpoint reports about itself.

    Attributes
    ----------
    endpoint : EndpointId
        Reporting endpoint.
    role : Role
        Role that the endpoint assumes it has.
    fence_term : Term
        Highest term that it has voted for or follows.
    log_term : Term
        Term of the last entry or term start in its log.
    term_start : LogPosition
        Position at which ``log_term`` began.
    received : LogPosition
        Last position in its log.
    applied : LogPosition
        Last position that is visible to reads.
    primary_contact_age_s : float
        Seconds since the last replication message of its primary.
    probe : int
        Number of the probe that this report answers, 0 for none.
    """

    endpoint: EndpointId
    role: Role
    fence_term: Term
    log_term: Term
    term_start: LogPosition
    received: LogPosition
    applied: LogPosition
    primary_contact_age_s: float
    probe: int = 0


class EndpointAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of an endpoint to one statement.

    Attributes
    ----------
    rows : list
        All rows of the answer.
    at : Position
        Position at which the statement ran.
    role : Role
        Role in which the endpoint ran it.
    """

    rows: list
    at: Position
    role: Role


class FenceVote(msgspec.Struct, frozen=True, kw_only=True):
    """Vote of an endpoint for one promoter in one term."""

    endpoint: EndpointId
    log_term: Term
    received: LogPosition


class EndpointConnection(ABC):
    """Connection to an endpoint that runs one statement at a time.

    Methods raise ``EndpointError``; its outcome is NOT_RUN only where the
    endpoint refused the statement or nothing was sent.
    """

    @abstractmethod
    async def execute(
        self, *, organisation: OrganisationId, statement: Statement
    ) -> EndpointAnswer:
        """Run one statement, inside the open transaction if there is one."""

    @abstractmethod
    async def begin(self, *, organisation: OrganisationId) -> None:
        """Open a transaction."""

    @abstractmethod
    async def commit(self) -> EndpointAnswer:
        """Commit the open transaction."""

    @abstractmethod
    async def rollback(self) -> None:
        """Roll back the open transaction; wait until the endpoint has confirmed it."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection; the endpoint rolls back an open transaction."""

    @property
    @abstractmethod
    def is_open(self) -> bool:
        """Tell whether the connection can be used."""


class ReportStream(ABC):
    """Stream of an endpoint's reports over a separate connection."""

    @abstractmethod
    def reports(self) -> AsyncIterator[EndpointReport]:
        """Yield reports until the connection ends."""

    @abstractmethod
    async def probe(self, number: int) -> None:
        """Request a report that carries ``number``."""

    @abstractmethod
    async def close(self) -> None:
        """Close the stream."""


class EndpointDriver(ABC):
    """Open connections to endpoints and send the control calls of a promotion."""

    @abstractmethod
    async def connect(
        self, *, endpoint: EndpointId, address: Address
    ) -> EndpointConnection:
        """Open a connection; raise ``EndpointError`` CONNECT_FAILED on failure."""

    @abstractmethod
    async def open_report_stream(
        self, *, endpoint: EndpointId, address: Address
    ) -> ReportStream:
        """Open a report stream; raise ``EndpointError`` CONNECT_FAILED on failure."""

    @abstractmethod
    async def fence(
        self, *, endpoint: EndpointId, address: Address, term: Term, promoter: VmId
    ) -> FenceVote:
        """Request the endpoint's vote for ``promoter`` in ``term``.

        After its vote the endpoint rejects everything of lower terms. It votes for
        one promoter in a term; the others get ``EndpointError`` FENCED.
        """

    @abstractmethod
    async def promote(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        term: Term,
        promoter: VmId,
        followers: dict[EndpointId, Address],
    ) -> Position:
        """Make the endpoint primary of ``term``; return where the term starts."""

    @abstractmethod
    async def follow(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        term: Term,
        primary: EndpointId,
        primary_address: Address,
    ) -> None:
        """Make the endpoint replicate from ``primary`` in ``term``."""
