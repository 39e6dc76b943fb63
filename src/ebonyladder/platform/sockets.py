"""Socket options against connections that fall silent."""

import socket

# A connection on which nothing is acknowledged ends after about three seconds,
# below the time in which a configuration has to be in force.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PERIOD_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000


def keep_alive(sock: socket.socket) -> None:
    """Let the kernel end the connection when its far end is silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
