"""Free addresses for processes that a test is about to start."""

import socket

from standins.address import LISTEN_ADDRESS, free_addresses


class TestFreeAddresses:
    """Guards against a process whose port is in use by an outgoing connection."""

    def test_connection_from_the_same_port_leaves_the_address_free(self) -> None:
        _, port = free_addresses(1)[0].split(":")
        with socket.socket() as server, socket.socket() as client:
            server.bind(("127.0.0.1", 0))
            server.listen()
            # The kernel may choose this port for an outgoing connection too.
            client.bind(("127.0.0.1", int(port)))
            client.connect(server.getsockname())
            with socket.socket() as listener:
                listener.bind((LISTEN_ADDRESS, int(port)))
                listener.listen()

    def test_addresses_differ(self) -> None:
        assert len(set(free_addresses(50))) == 50
