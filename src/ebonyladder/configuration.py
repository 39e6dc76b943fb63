"""Configuration: services, groups, endpoints, zones, VMs and organisations."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from ebonyladder._references import configuration_findings
from ebonyladder._schema import raise_findings, read_checked
from ebonyladder.kernel.step import Step
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    EndpointState,
    GroupId,
    KeyDigest,
    OrganisationId,
    RegionId,
    ServiceId,
    VmId,
    VmState,
    ZoneId,
    ZoneState,
)

CONFIGURATION_KEY = "configuration"


class ServiceSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Listed service, what it depends on and the groups that store its data."""

    depends_on: tuple[ServiceId, ...] = ()
    groups: tuple[GroupId, ...] = ()
    listed: bool = True


class GroupSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Database group: one primary and its replicas."""

    endpoints: tuple[EndpointId, ...]

    @property
    def majority(self) -> int:
        """Smallest number of endpoints that is more than half."""
        return len(self.endpoints) // 2 + 1


class EndpointSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Endpoint: one database of a group.

    Attributes
    ----------
    address : Address
        IP address and port.
    slots : int
        Statements that it runs concurrently.
    connections : int
        Connections that it accepts from all VMs together.
    """

    address: Address
    zone: ZoneId
    slots: int
    connections: int
    state: EndpointState = EndpointState.ACTIVE


class ZoneSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Availability zone."""

    region: RegionId
    state: ZoneState = ZoneState.IN


class VmSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """State of a VM as operators have configured it."""

    state: VmState = VmState.ACTIVE


class OrganisationSpec(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Organisation with its fleet-wide rate and burst.

    Attributes
    ----------
    rate_per_s : float
        Requests a second over all VMs.
    burst : float
        Requests in one burst over all VMs.
    key_digests : tuple of KeyDigest
        SHA-256 digests, in hex, of the keys granted.
    """

    rate_per_s: float
    burst: float
    key_digests: tuple[KeyDigest, ...] = ()


class RouteSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """HTTP route; an open one needs no key."""

    open: bool = False


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Time limits, in milliseconds."""

    replica_wait_ms: int = 100
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 30_000
    transaction_limit_ms: int = 10_000


class Configuration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Content of one configuration text."""

    services: dict[ServiceId, ServiceSpec] = {}
    groups: dict[GroupId, GroupSpec] = {}
    endpoints: dict[EndpointId, EndpointSpec] = {}
    zones: dict[ZoneId, ZoneSpec] = {}
    vms: dict[VmId, VmSpec] = {}
    organisations: dict[OrganisationId, OrganisationSpec] = {}
    routes: dict[str, RouteSpec] = {}
    policy: Policy = Policy()

    def group_of_endpoint(self, endpoint: EndpointId) -> GroupId | None:
        """Return the group that lists the endpoint."""
        for name, group in self.groups.items():
            if endpoint in group.endpoints:
                return name
        return None

    def is_endpoint_in_service(self, endpoint: EndpointId) -> bool:
        """Tell whether the endpoint may get new work."""
        spec = self.endpoints[endpoint]
        return spec.state is EndpointState.ACTIVE and self.is_zone_in(spec.zone)

    def is_zone_in(self, zone: ZoneId) -> bool:
        """Tell whether operators have the zone in service."""
        spec = self.zones.get(zone)
        return spec is None or spec.state is ZoneState.IN


def parse_configuration(text: str) -> Configuration:
    """Return the configuration that a text of JSON with comments describes.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID with every problem: its path, its line and a fix.
    """
    parsed, configuration = read_checked(text, Configuration)
    raise_findings(parsed, configuration_findings(configuration))
    return configuration


class ConfigurationSource(ABC):
    """Active configuration of this VM.

    Attributes
    ----------
    current : Configuration
        Active configuration; empty before the first one is known.
    version : ConfigurationVersion
        Its version in the store, 0 before the first one is known.
    """

    current: Configuration
    version: ConfigurationVersion

    @abstractmethod
    def require_fresh(self, step: Step) -> None:
        """Raise ``RequestError`` STALE_CONFIGURATION without a recent confirmation."""

    @abstractmethod
    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that is applied."""
