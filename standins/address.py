"""Free loopback addresses for processes and servers that are about to start."""

import socket

# Outgoing connections use 127.0.0.1, so their local ports never occupy the port of a
# listener that is about to start.
LISTEN_ADDRESS = "127.0.0.7"


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses on which nothing listens at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind((LISTEN_ADDRESS, 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return [f"{LISTEN_ADDRESS}:{port}" for port in ports]
