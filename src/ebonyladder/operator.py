"""Operators' view of a change: which VMs have it in force."""

from abc import ABC, abstractmethod

import msgspec

from ebonyladder.types import ConfigurationVersion, VmId


class ConfirmationReport(msgspec.Struct, frozen=True, kw_only=True):
    """VMs that have a configuration version in force and those that do not."""

    confirmed: list[VmId]
    unconfirmed: list[VmId]


class Confirmation(ABC):
    """Confirmation of a configuration version by the VMs."""

    @abstractmethod
    async def confirm(
        self, version: ConfigurationVersion, wait_s: float
    ) -> ConfirmationReport:
        """Return which live VMs have the version within ``wait_s`` seconds."""

    @abstractmethod
    async def require_roots(self, version: ConfigurationVersion, wait_s: float) -> None:
        """Return once most relay roots have the version.

        Raises
        ------
        ConfigurationError
            NOT_CONFIRMED after ``wait_s`` seconds; the change may be in force.
        """
