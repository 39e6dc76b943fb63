"""Interfaces between the operators' front end and other components."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeAlias

import msgspec

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import ConfigurationVersion, GroupId, OrganisationId, VmId

# A view takes the arguments of the query and returns data that can be JSON-encoded.
View: TypeAlias = Callable[[Mapping[str, str]], Awaitable[Any]]


class OperatorViewRegistry(ABC):
    """Registry of the read-only views that operators can query by name.

    The names that the command line shows are ``members``, ``sessions``,
    ``shares``, ``primaries`` and ``explain`` (argument ``request_id``).
    """

    @abstractmethod
    def add_view(self, name: str, view: View) -> None:
        """Add a view; raises ``ValueError`` if the name is taken."""

    @abstractmethod
    def before_metrics(self, refresh: Callable[[], None]) -> None:
        """Call ``refresh`` each time before the metrics are rendered."""


class GroupUsage(ABC):
    """Slots in use, for the capacity check."""

    @abstractmethod
    async def used_slots(self) -> dict[GroupId, float]:
        """Return the number of slots in use on all VMs, by group."""


class CallerConnections(ABC):
    """Connections that callers hold open to this VM."""

    @abstractmethod
    def open_sockets(self) -> dict[OrganisationId, int]:
        """Return the number of open WebSockets by organisation."""


class ConfirmationReport(msgspec.Struct, frozen=True, kw_only=True):
    """VMs that confirmed that they have applied a version, and all others."""

    confirmed: list[VmId]
    unconfirmed: list[VmId]


class Confirmation(ABC):
    """Confirmation by VMs that they have applied a configuration version."""

    @abstractmethod
    async def confirm(
        self, version: ConfigurationVersion, wait_s: float
    ) -> ConfirmationReport:
        """Wait up to ``wait_s`` seconds until all VMs have applied ``version``."""

    @abstractmethod
    async def require_roots(self, version: ConfigurationVersion, wait_s: float) -> None:
        """Wait until most relay roots have applied the version.

        Raises
        ------
        ConfigurationError
            NOT_CONFIRMED after ``wait_s`` seconds; some VMs may have applied it.
        """


class LocalConfirmation(Confirmation):
    """Confirmation by this VM only.

    Parameters
    ----------
    vm : VmId
        This VM.
    source : ConfigurationSource, optional
        Configuration that is active on this VM; without it nothing is confirmed.
    """

    def __init__(self, *, vm: VmId, source: ConfigurationSource | None) -> None:
        self.vm = vm
        self.source = source
        self.changed = asyncio.Event()
        if source is not None:
            source.subscribe(lambda _: self.changed.set())

    async def confirm(
        self, version: ConfigurationVersion, wait_s: float
    ) -> ConfirmationReport:
        """Wait until this VM has applied ``version``."""
        if self.source is None:
            return ConfirmationReport(confirmed=[], unconfirmed=[self.vm])
        try:
            async with asyncio.timeout(wait_s):
                while self.source.version < version:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            return ConfirmationReport(confirmed=[], unconfirmed=[self.vm])
        return ConfirmationReport(confirmed=[self.vm], unconfirmed=[])

    async def require_roots(self, version: ConfigurationVersion, wait_s: float) -> None:
        """Wait until this VM has applied ``version``."""
        if (await self.confirm(version, wait_s)).unconfirmed:
            raise ConfigurationError(
                code=ErrorCode.NOT_CONFIRMED, step=Step.CONFIG_SUBMIT, peer=self.vm
            )
