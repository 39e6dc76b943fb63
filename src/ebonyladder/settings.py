"""Settings of one daemon."""

from pathlib import Path

import json5
import msgspec

from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import Address, KeyDigest, VmId, ZoneId


class TlsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Files of one certificate."""

    certificate: str
    key: str
    authority: str = ""


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes
    ----------
    vm : VmId
        Name of this VM.
    zone : ZoneId
        Availability zone of this VM.
    caller, peer, operator : Address
        Addresses to listen on, as ``ip:port``.
    store : Address
        Address of the platform's store.
    seeds : tuple of Address
        Peer addresses that are tried before the platform's list is known.
    fleet_secret_file : str
        File with the secret that VMs prove to each other.
    operator_key_digests : tuple of KeyDigest
        SHA-256 digests, in hex, of the operators' keys.
    """

    vm: VmId
    zone: ZoneId
    caller: Address
    peer: Address
    operator: Address
    store: Address
    fleet_secret_file: str
    seeds: tuple[Address, ...] = ()
    operator_key_digests: tuple[KeyDigest, ...] = ()
    caller_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
    operator_tls: TlsSettings | None = None
    store_timeout_ms: int = 1_000
    log_level: str = "info"

    def fleet_secret(self) -> bytes:
        """Return the fleet secret."""
        return Path(self.fleet_secret_file).read_bytes().strip()


def load_settings(path: str) -> Settings:
    """Read a settings file in JSON with comments.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID with the path of the field.
    """
    try:
        return msgspec.convert(
            json5.loads(Path(path).read_text()), Settings, strict=True
        )
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            code=ErrorCode.CONFIGURATION_INVALID,
            step=Step.CONFIG_CHECK,
            peer=path,
            message=f"settings file {path}: {error}",
        ) from error


def split_address(address: Address) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
