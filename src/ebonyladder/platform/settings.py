"""Settings file of a session daemon on the platform."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from ebonyladder._schema import address_problem
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.quota import Tolerance
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.types import Address, RegionId, VmId, ZoneId

SETTINGS_VARIABLE = "EBONYLADDER_SETTINGS"
DEFAULT_PATH = "/etc/ebonyladder/settings.toml"


class _Addresses(msgspec.Struct, frozen=True, kw_only=True):
    frontend: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True, kw_only=True):
    grace_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 6.0
    drain_ms: Annotated[float, msgspec.Meta(gt=0, le=3_600_000)] = 7000.0
    quota_window_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 5.0
    # Operations accepted above the rate limit: as a fraction of the allowed ones,
    # and as a number.
    quota_overage: float = 0.0
    quota_slack: float = 0.0


class _Remote(msgspec.Struct, frozen=True, kw_only=True):
    address: str


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    # Fraction of one core that the process gets, and its speed relative to that core.
    cpu_share: float = 1.0
    cores: float = 1.0


class _SettingsFile(msgspec.Struct, frozen=True, kw_only=True):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    bind_addresses: _Addresses
    platform: _Remote
    # Address of the call that promotes an endpoint, not a cloud in the usual sense.
    cloud: _Remote
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def load_settings(path: str) -> SessionSettings:
    """Read the settings file.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID with the name of the invalid field.
    """
    try:
        content = tomllib.loads(Path(path).read_text())
        file = msgspec.convert(content, _SettingsFile)
        _check_addresses(file)
    except (OSError, ValueError, RecursionError, msgspec.ValidationError) as error:
        raise ConfigurationError(
            code=ErrorCode.CONFIGURATION_INVALID,
            step=Step.CONFIG_CHECK,
            peer=path,
            message=f"settings file {path}: {error}",
        ) from error
    peer_port, _ = file.internal_ports
    return SessionSettings(
        vm=VmId(file.node_name),
        zone=ZoneId(file.zone),
        regions={ZoneId(z): RegionId(r) for z, r in file.zones.items()},
        callers=Address(file.bind_addresses.frontend),
        readiness=Address(file.bind_addresses.ready),
        peer=Address(f"{file.ip}:{peer_port}"),
        metrics=Address(f"{file.ip}:{peer_port + 1}"),
        store=Address(file.platform.address),
        promotion=Address(file.cloud.address),
        grace_s=file.bounds.grace_s,
        drain_s=file.bounds.drain_ms / 1000,
        cores=file.limits.cpu_share * file.limits.cores,
        tolerance=Tolerance(
            window_s=file.bounds.quota_window_s,
            share=file.bounds.quota_overage,
            operations=file.bounds.quota_slack,
        ),
    )


def _check_addresses(file: _SettingsFile) -> None:
    """Raise ``ValueError`` for an address that can't be connected to or listened on."""
    first_port, last_port = file.internal_ports
    addresses = {
        "ip and internal_ports": f"{file.ip}:{first_port}",
        "bind_addresses.frontend": file.bind_addresses.frontend,
        "bind_addresses.ready": file.bind_addresses.ready,
        "platform.address": file.platform.address,
        "cloud.address": file.cloud.address,
    }
    for name, address in addresses.items():
        problem = address_problem(address)
        if problem is not None:
            raise ValueError(f"{name}: {problem}")
    if not first_port < last_port <= 65535:
        raise ValueError(f"internal_ports: {first_port} to {last_port} is no range")
