"""Capacity that remains when endpoints or zones go out of service."""

from collections.abc import Mapping

import msgspec

from ebonyladder.configuration import Configuration
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, GroupId, ZoneId


class GroupCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a group before and after a change.

    Attributes
    ----------
    slots, slots_left : int
        Statements at once, now and after the change.
    endpoints_left : int
        Endpoints in service after the change.
    majority : int
        Endpoints that the group needs to confirm writes.
    used_slots : float, optional
        Slots in use; None where no part of the daemon reports them.
    """

    group: GroupId
    slots: int
    slots_left: int
    endpoints_left: int
    majority: int
    used_slots: float | None = None

    @property
    def shortage(self) -> str | None:
        """Return why the change must not go ahead, None if it may."""
        if self.slots_left >= self.slots:
            return None
        if self.endpoints_left < self.majority:
            return (
                f"group {self.group} would have {self.endpoints_left} endpoints "
                f"and needs {self.majority} for its majority"
            )
        if self.used_slots is not None and self.slots_left < self.used_slots:
            return (
                f"group {self.group} would have {self.slots_left} slots "
                f"and uses {self.used_slots:g}"
            )
        return None


def remaining_capacity(
    configuration: Configuration,
    zone: ZoneId,
    *,
    used_slots: Mapping[GroupId, float] | None = None,
) -> list[GroupCapacity]:
    """Return the capacity of every group without the endpoints of ``zone``."""
    staying = {
        name
        for name, spec in configuration.endpoints.items()
        if spec.zone != zone and configuration.is_endpoint_in_service(name)
    }
    return _capacities(configuration, configuration, staying, used_slots or {})


def changed_capacity(
    before: Configuration,
    after: Configuration,
    *,
    used_slots: Mapping[GroupId, float] | None = None,
) -> list[GroupCapacity]:
    """Return the capacity of the groups of ``before`` once ``after`` is in force."""
    staying = {name for name in after.endpoints if after.is_endpoint_in_service(name)}
    return _capacities(before, after, staying, used_slots or {})


def _capacities(
    before: Configuration,
    after: Configuration,
    staying: set[EndpointId],
    used_slots: Mapping[GroupId, float],
) -> list[GroupCapacity]:
    found = []
    for name, group in before.groups.items():
        if name not in after.groups:
            continue
        new_group = after.groups[name]
        left = [e for e in new_group.endpoints if e in staying]
        found.append(
            GroupCapacity(
                group=name,
                slots=sum(
                    before.endpoints[e].slots
                    for e in group.endpoints
                    if before.is_endpoint_in_service(e)
                ),
                slots_left=sum(after.endpoints[e].slots for e in left),
                endpoints_left=len(left),
                majority=new_group.majority,
                used_slots=used_slots.get(name),
            )
        )
    return found


def require_capacity(
    before: Configuration,
    after: Configuration,
    *,
    used_slots: Mapping[GroupId, float] | None = None,
) -> None:
    """Refuse a change that leaves a group without majority or enough slots.

    Raises
    ------
    ConfigurationError
        CAPACITY with every group that falls short.
    """
    capacities = changed_capacity(before, after, used_slots=used_slots)
    shortages = [c.shortage for c in capacities if c.shortage]
    if shortages:
        raise ConfigurationError(
            code=ErrorCode.CAPACITY,
            step=Step.CONFIG_CHECK,
            message="; ".join(shortages) + "; force the change to make it anyway",
        )
