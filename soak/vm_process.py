"""Run a daemon whose connections to databases and other VMs pass its VM's proxy.

All VMs of a soak test are processes of one host, so only a proxy for each VM can make a
database or the leader silent to some VMs only.
"""

import os
import socket

import uvloop

from ebonyladder.platform.__main__ import main
from soak.proxy import CONNECTED

PROXY_VARIABLE = "SOAK_VM_PROXY"


class ProxiedLoop(uvloop.Loop):
    """Event loop that connects through the VM's proxy.

    Connections that are given their socket, such as those of the HTTP client, don't.
    """

    async def create_connection(
        self, protocol_factory, host=None, port=None, *, sock=None, **options
    ):
        """Connect through the proxy."""
        if sock is None:
            sock = await self._connect(f"{host}:{port}")
        return await super().create_connection(protocol_factory, sock=sock, **options)

    async def _connect(self, destination: str) -> socket.socket:
        """Return a socket that the proxy has connected to a destination."""
        sock = socket.socket()
        try:
            sock.setblocking(False)
            host, port = os.environ[PROXY_VARIABLE].split(":")
            await self.sock_connect(sock, (host, int(port)))
            await self.sock_sendall(sock, f"{destination}\n".encode())
            if await self.sock_recv(sock, 1) != CONNECTED:
                raise ConnectionRefusedError(f"{destination} refuses connections")
        except BaseException:
            sock.close()
            raise
        return sock


if __name__ == "__main__":
    # What ``uvloop.run`` creates.
    uvloop.Loop = ProxiedLoop
    main()
