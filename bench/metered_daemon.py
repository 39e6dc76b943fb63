"""Daemon that counts the bytes of its peer and endpoint connections."""

import asyncio
import json
import os
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from websockets.asyncio.connection import Connection

from ebonyladder.daemon import main
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.messages import Message
from ebonyladder.plugins import peer_connections

FOLDER_VARIABLE = "EBONYLADDER_METER_FOLDER"
WRITE_INTERVAL_S = 0.25

byte_counts: Counter[str] = Counter()


def _tag_of(message: Message) -> str:
    return str(type(message).__struct_config__.tag)


def _count_messages() -> None:
    """Count the bytes of encoded peer messages by type and direction."""
    encode, decode = peer_connections.encode, peer_connections.decode

    def counted_encode(number: int, message: Message) -> bytes:
        data = encode(number, message)
        byte_counts[f"sent {_tag_of(message)}"] += len(data)
        byte_counts["peer sent"] += len(data)
        return data

    def counted_decode(data: Any, *, peer: str) -> Any:
        frame = decode(data, peer=peer)
        byte_counts[f"received {_tag_of(frame.message)}"] += len(data)
        byte_counts["peer received"] += len(data)
        return frame

    peer_connections.encode, peer_connections.decode = counted_encode, counted_decode


def _count_sockets() -> None:
    """Count the payload bytes of all WebSockets, including those to endpoints."""
    send: Callable = Connection.send
    data_received: Callable = Connection.data_received

    async def counted_send(self: Connection, message: Any, *args: Any) -> None:
        byte_counts["sockets sent"] += len(message)
        await send(self, message, *args)

    def counted_received(self: Connection, data: bytes) -> None:
        byte_counts["sockets received"] += len(data)
        data_received(self, data)

    Connection.send, Connection.data_received = counted_send, counted_received


@register
class Meter(Plugin):
    """Write the counts to a file that the benchmark reads."""

    name = "meter"

    async def start(self) -> None:
        """Start to write the file periodically."""
        self.kernel.spawn(self._write_periodically(), name="meter")

    async def _write_periodically(self) -> None:
        path = Path(os.environ[FOLDER_VARIABLE]) / f"{self.kernel.settings.vm}.counts"
        while True:
            temporary = path.with_suffix(".part")
            temporary.write_text(json.dumps(byte_counts))
            temporary.replace(path)
            await asyncio.sleep(WRITE_INTERVAL_S)


if __name__ == "__main__":
    _count_messages()
    _count_sockets()
    main()
