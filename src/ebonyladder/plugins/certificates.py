"""Plug-in that reloads the certificates of all listening sockets and links."""

import asyncio
import ssl

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.settings import TlsSettings
from ebonyladder.tls import Certificates, WatchedContext

CHECK_INTERVAL_S = 5.0


@register
class CertificatesPlugin(Plugin, Certificates):
    """Keep the contexts and look after their files in one task."""

    name = "certificates"
    provides = (Certificates,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.watched: list[WatchedContext] = []

    async def start(self) -> None:
        """Begin to look after the files."""
        self.kernel.spawn(self._follow_files(), name="certificates")

    def server(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of a listening socket."""
        return self._watch(tls, ssl.Purpose.CLIENT_AUTH)

    def client(self, tls: TlsSettings) -> ssl.SSLContext:
        """Return the context of links that this daemon opens."""
        return self._watch(tls, ssl.Purpose.SERVER_AUTH)

    def _watch(self, tls: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext:
        watched = WatchedContext(tls=tls, purpose=purpose)
        self.watched.append(watched)
        return watched.context

    async def _follow_files(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for watched in self.watched:
                # A file system that hangs must not hold up the daemon.
                stamps = await asyncio.to_thread(watched.read_stamps)
                watched.reload(stamps)
