"""Addresses of processes that are about to start."""

import socket

from standins.address import LISTEN_ADDRESS, free_addresses


class TestFreeAddresses:
    """Guards against a process that finds its port taken by a connection."""

    def test_connection_with_the_same_port_leaves_the_address_free(self) -> None:
        _, port = free_addresses(1)[0].split(":")
        with socket.socket() as server, socket.socket() as client:
            server.bind(("127.0.0.1", 0))
            server.listen()
            # Where the kernel takes a connection's port from the same range.
            client.bind(("127.0.0.1", int(port)))
            client.connect(server.getsockname())
            with socket.socket() as listener:
                listener.bind((LISTEN_ADDRESS, int(port)))
                listener.listen()

    def test_addresses_differ(self) -> None:
        assert len(set(free_addresses(50))) == 50
