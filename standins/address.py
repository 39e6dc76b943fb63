"""Loopback addresses for processes and servers that are about to start."""

import socket

# Connections start from 127.0.0.1, so their ports never take one of a listener that
# is about to start.
LISTEN_ADDRESS = "127.0.0.7"


def free_addresses(count: int) -> list[str]:
    """Return different addresses that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind((LISTEN_ADDRESS, 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return [f"{LISTEN_ADDRESS}:{port}" for port in ports]
