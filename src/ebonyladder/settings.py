"""Settings of one daemon."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from ebonyladder._schema import (
    Finding,
    address_problem,
    invalid,
    is_digest,
    raise_findings,
    read_checked,
)
from ebonyladder._text import Path as TextPath
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import Address, KeyDigest, VmId, ZoneId

MAX_STORE_TIMEOUT_MS = 60_000


class TlsSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Files of one certificate, in PEM form.

    Attributes
    ----------
    certificate, key : str
        Certificate with its chain, and its private key.
    authority : str
        CA certificates that verify the other side's certificate; empty to
        require none.
    """

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
        Peer addresses to contact before the platform's list of VMs is loaded.
    fleet_secret_file : str
        File with the secret by which VMs authenticate each other.
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
        CONFIGURATION_INVALID with the path and line of each bad field.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            code=ErrorCode.CONFIGURATION_INVALID,
            step=Step.CONFIG_CHECK,
            peer=path,
            message=f"settings file {path}: {error}",
        ) from error
    try:
        parsed, settings = read_checked(text, Settings)
        raise_findings(parsed, _findings(settings))
    except ConfigurationError as error:
        raise invalid(list(error.problems), peer=path) from error
    return settings


def _findings(settings: Settings) -> Iterator[Finding]:
    for name in ("caller", "peer", "operator", "store"):
        yield from _address_findings(getattr(settings, name), (name,))
    for name in ("caller_tls", "peer_tls", "operator_tls"):
        yield from _tls_findings(getattr(settings, name), name)
    for index, seed in enumerate(settings.seeds):
        yield from _address_findings(seed, ("seeds", index))
    for index, digest in enumerate(settings.operator_key_digests):
        if not is_digest(digest):
            yield Finding(
                path=("operator_key_digests", index),
                problem="bad digest",
                fix="write the SHA-256 of the key as 64 lower-case hex digits",
            )
    if not 1 <= settings.store_timeout_ms <= MAX_STORE_TIMEOUT_MS:
        yield Finding(
            path=("store_timeout_ms",),
            problem=f"time out of range: {settings.store_timeout_ms}",
            fix=f"write 1 to {MAX_STORE_TIMEOUT_MS} milliseconds",
        )


def _tls_findings(tls: TlsSettings | None, name: str) -> Iterator[Finding]:
    if tls is None:
        return
    for field in ("certificate", "key", "authority"):
        file = getattr(tls, field)
        is_optional = field == "authority"
        if not (is_optional and not file) and not Path(file).is_file():
            yield Finding(
                path=(name, field),
                problem=f"no file {file!r}",
                fix="write the path of a PEM file that the daemon can read",
            )


def _address_findings(address: Address, path: TextPath) -> Iterator[Finding]:
    # Tests use port 0, for which the system chooses a free port.
    problem = address_problem(address, min_port=0)
    if problem:
        yield Finding(path=path, problem=problem, fix="write 'ip:port'")


def split_address(address: Address) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
