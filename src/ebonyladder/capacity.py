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
    slots, remaining_slots : int
        Concurrent statements, before and after the change.
    remaining_endpoints : int
        Endpoints in service after the change.
    majority : int
        Endpoints that the group needs to confirm writes.
    used_slots : float, optional
        Slots in use; None if no component of the daemon reports them.
    """

    group: GroupId
    slots: int
    remaining_slots: int
    remaining_endpoints: int
    majority: int
    used_slots: float | None = None

    @property
    def shortage(self) -> str | None:
        """Return why the change must be refused, None if it may be made."""
        if self.remaining_slots >= self.slots:
            return None
        if self.remaining_endpoints < self.majority:
            return (
                f"group {self.group} would have {self.remaining_endpoints} endpoints "
                f"and needs {self.majority} for its majority"
            )
        if self.used_slots is not None and self.remaining_slots < self.used_slots:
            return (
                f"group {self.group} would have {self.remaining_slots} slots "
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
    in_service = {
        name
        for name, spec in configuration.endpoints.items()
        if spec.zone != zone and configuration.is_endpoint_in_service(name)
    }
    return _capacities(configuration, configuration, in_service, used_slots or {})


def changed_capacity(
    before: Configuration,
    after: Configuration,
    *,
    used_slots: Mapping[GroupId, float] | None = None,
) -> list[GroupCapacity]:
    """Return the capacity of the groups of ``before`` once ``after`` is applied."""
    in_service = {
        name for name in after.endpoints if after.is_endpoint_in_service(name)
    }
    return _capacities(before, after, in_service, used_slots or {})


def _capacities(
    before: Configuration,
    after: Configuration,
    in_service: set[EndpointId],
    used_slots: Mapping[GroupId, float],
) -> list[GroupCapacity]:
    capacities = []
    for name, group in before.groups.items():
        if name not in after.groups:
            continue
        new_group = after.groups[name]
        remaining = [e for e in new_group.endpoints if e in in_service]
        capacities.append(
            GroupCapacity(
                group=name,
                slots=sum(
                    before.endpoints[e].slots
                    for e in group.endpoints
                    if before.is_endpoint_in_service(e)
                ),
                remaining_slots=sum(after.endpoints[e].slots for e in remaining),
                remaining_endpoints=len(remaining),
                majority=new_group.majority,
                used_slots=used_slots.get(name),
            )
        )
    return capacities


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
        CAPACITY with every group whose remaining capacity is insufficient.
    """
    capacities = changed_capacity(before, after, used_slots=used_slots)
    shortages = [c.shortage for c in capacities if c.shortage]
    if shortages:
        raise ConfigurationError(
            code=ErrorCode.CAPACITY,
            step=Step.CONFIG_CHECK,
            message="; ".join(shortages) + "; force the change to make it anyway",
        )
