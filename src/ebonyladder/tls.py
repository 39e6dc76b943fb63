"""TLS contexts that reload changed certificates while they are in use."""

import ssl
from abc import ABC, abstractmethod
from pathlib import Path
from typing import NamedTuple

from absl import logging

from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.step import Step
from ebonyladder.settings import TlsSettings


class FileStamp(NamedTuple):
    """File metadata that shows whether a file was replaced or written."""

    inode: int
    modified_ns: int
    size: int


class Certificates(ABC):
    """TLS contexts of this daemon; usable before the provider has started."""

    @abstractmethod
    def server(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of a listening socket."""

    @abstractmethod
    def client(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of connections that this daemon opens."""


def server_context(kernel: Kernel, tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context of a listening socket, None without TLS."""
    return None if tls is None else kernel.get(Certificates).server(tls)


def client_context(kernel: Kernel, tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context of connections to other VMs, None without TLS."""
    return None if tls is None else kernel.get(Certificates).client(tls)


class ReloadableContext:
    """Context that reloads changed files for later handshakes.

    Parameters
    ----------
    tls : TlsSettings
        Files of the certificate, its key and the trusted authorities.
    purpose : ssl.Purpose
        CLIENT_AUTH for listening sockets, SERVER_AUTH for opened connections.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID if the files cannot be used.
    """

    def __init__(self, *, tls: TlsSettings, purpose: ssl.Purpose) -> None:
        self.tls = tls
        self.purpose = purpose
        self.stamps = self.read_stamps()
        try:
            self.context = self._new_context()
        except (OSError, ssl.SSLError) as error:
            raise ConfigurationError(
                code=ErrorCode.CONFIGURATION_INVALID,
                step=Step.CONFIG_CHECK,
                peer=tls.certificate,
                message=f"certificate {tls.certificate} cannot be used: {error}",
            ) from error

    def read_stamps(self) -> dict[str, FileStamp]:
        """Return the current stamps of the files that exist."""
        stamps = {}
        for name in (self.tls.certificate, self.tls.key, self.tls.authority):
            try:
                status = Path(name).stat() if name else None
            except OSError:
                status = None
            if status is not None:
                stamps[name] = FileStamp(
                    status.st_ino, status.st_mtime_ns, status.st_size
                )
        return stamps

    def reload(self, stamps: dict[str, FileStamp]) -> bool:
        """Reload files that have changed; tell whether they were reloaded.

        If the files don't match each other, for example while they are being
        replaced, the current certificate stays in use. An authority that is removed
        from its file stays trusted until the daemon restarts.
        """
        if stamps == self.stamps:
            return False
        try:
            self._new_context()
            self._load(self.context)
        except (OSError, ssl.SSLError) as error:
            logging.warning(
                "[tls] Certificate could not be reloaded. file=%s error=%s",
                self.tls.certificate,
                error,
            )
            return False
        self.stamps = stamps
        logging.info("[tls] Certificate reloaded. file=%s", self.tls.certificate)
        return True

    def _new_context(self) -> ssl.SSLContext:
        context = ssl.create_default_context(self.purpose)
        # Addresses are numeric and VMs prove their names with the fleet
        # secret, so certificates need not contain host names.
        context.check_hostname = False
        if self.tls.authority:
            context.verify_mode = ssl.CERT_REQUIRED
        else:
            context.verify_mode = ssl.CERT_NONE
        self._load(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self.tls.certificate, self.tls.key)
        if self.tls.authority:
            context.load_verify_locations(self.tls.authority)
