"""Interfaces between the operators' front and the other parts of the daemon."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeAlias

import msgspec

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import ConfigurationVersion, GroupId, OrganisationId, VmId

# A view takes the query's arguments and returns data that JSON can carry.
View: TypeAlias = Callable[[Mapping[str, str]], Awaitable[Any]]


class OperatorView(ABC):
    """Named read-only views that operators may ask for.

    The names that the command line shows are ``members``, ``sessions``,
    ``shares``, ``primaries`` and ``explain`` (argument ``request_id``).
    """

    @abstractmethod
    def add_view(self, name: str, view: View) -> None:
        """Add a view; raises ``ValueError`` if the name is taken."""

    @abstractmethod
    def before_metrics(self, refresh: Callable[[], None]) -> None:
        """Call ``refresh`` each time before the metrics are shown."""


class GroupUsage(ABC):
    """Use of the groups' slots, for the capacity check."""

    @abstractmethod
    async def used_slots(self) -> dict[GroupId, float]:
        """Return the slots in use over all VMs, by group."""


class CallerConnections(ABC):
    """Connections that callers hold open to this VM."""

    @abstractmethod
    def open_sockets(self) -> dict[OrganisationId, int]:
        """Return the number of open WebSockets by organisation."""


class ConfirmationReport(msgspec.Struct, frozen=True, kw_only=True):
    """VMs that have a version in force, and those that did not say so."""

    confirmed: list[VmId]
    unconfirmed: list[VmId]


class Confirmation(ABC):
    """Find out where a configuration version is in force."""

    @abstractmethod
    async def confirm(
        self, version: ConfigurationVersion, wait_s: float
    ) -> ConfirmationReport:
        """Wait up to ``wait_s`` seconds for all VMs to have ``version``."""

    @abstractmethod
    async def require_roots(self, version: ConfigurationVersion, wait_s: float) -> None:
        """Return once most relay roots have the version.

        Raises
        ------
        ConfigurationError
            NOT_CONFIRMED after ``wait_s`` seconds; the change may be in force.
        """


class LocalConfirmation(Confirmation):
    """Confirmation for this VM alone.

    Parameters
    ----------
    vm : VmId
        This VM.
    source : ConfigurationSource, optional
        Configuration in force here; without it nothing is confirmed.
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
        """Wait for this VM to have ``version``."""
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
        """Wait for this VM, the only one, to have ``version``."""
        if (await self.confirm(version, wait_s)).unconfirmed:
            raise ConfigurationError(
                code=ErrorCode.NOT_CONFIRMED, step=Step.CONFIG_SUBMIT, peer=self.vm
            )
