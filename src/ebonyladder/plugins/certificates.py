"""Plug-in that reloads the certificates of listening sockets and connections."""

import asyncio
import ssl

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.settings import TlsSettings
from ebonyladder.tls import Certificates, ReloadableContext

CHECK_INTERVAL_S = 5.0


@register
class CertificatesPlugin(Plugin, Certificates):
    """Keep the TLS contexts and check their files for changes in one task."""

    name = "certificates"
    provides = (Certificates,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.contexts: list[ReloadableContext] = []

    async def start(self) -> None:
        """Start to check the files."""
        self.kernel.supervise(self._watch_files, name="certificates")

    def server(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of a listening socket."""
        return self._add_context(tls, ssl.Purpose.CLIENT_AUTH)

    def client(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of connections that this daemon opens."""
        return self._add_context(tls, ssl.Purpose.SERVER_AUTH)

    def _add_context(self, tls: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext:
        reloadable = ReloadableContext(tls=tls, purpose=purpose)
        self.contexts.append(reloadable)
        return reloadable.context

    async def _watch_files(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for reloadable in self.contexts:
                # A file system that hangs must not block the event loop.
                stamps = await asyncio.to_thread(reloadable.read_stamps)
                reloadable.reload(stamps)
