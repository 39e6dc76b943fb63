"""Large frames in chunks, which stay below the frame limit and block no other call."""

from collections.abc import Iterator
from typing import Any

import cbor2

from ebonyladder._codec import PROTOCOL_VERSION, Frame, load, refused, unpack

# Small frames of other calls are sent between two chunks of a large frame.
CHUNK_BYTES = 1_000_000
# An endpoint's answer of 16 MB in JSON takes at most 2.5 times as much in CBOR: in
# the worst case a number of three characters and its comma take 9 bytes.
MAX_MESSAGE_BYTES = 40_000_000


def split(number: int, data: bytes) -> Iterator[bytes]:
    """Yield the chunks of one large frame, each a frame of its own.

    Parameters
    ----------
    number : int
        Number of the call.
    data : bytes
        Encoded frame.
    """
    for start in range(0, len(data), CHUNK_BYTES):
        extent = {"at": start, "of": len(data)}
        body = data[start : start + CHUNK_BYTES]
        yield cbor2.dumps(
            {"v": PROTOCOL_VERSION, "id": number, "part": extent, "b": body}
        )


class FrameReader:
    """Read the frames of one connection and reassemble large ones from chunks.

    A sender sends one large frame at a time, so at most one is buffered, and the
    first chunk of a frame replaces an earlier frame that was left incomplete.

    Parameters
    ----------
    peer : str
        Sender, for errors.
    max_bytes : int
        Maximum size of a reassembled frame.
    """

    def __init__(self, *, peer: str, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.peer = peer
        self.max_bytes = max_bytes
        self.number = 0
        self.size = 0
        self.buffer = bytearray()

    def read(self, data: bytes) -> Frame | None:
        """Return the frame that ``data`` completes, None if it completes none.

        Raises
        ------
        PeerError
            PEER_REFUSED for an invalid frame, a chunk that does not follow the
            buffered ones or a frame above the limit.
        """
        outer = load(data, peer=self.peer)
        if "part" not in outer:
            return unpack(outer, peer=self.peer)
        try:
            self._add(outer)
        except (KeyError, TypeError, ValueError) as error:
            raise refused(self.peer, f"chunk is not valid: {error}") from error
        if len(self.buffer) < self.size:
            return None
        complete, self.buffer = bytes(self.buffer), bytearray()
        return unpack(load(complete, peer=self.peer), peer=self.peer)

    def _add(self, outer: dict[str, Any]) -> None:
        number, extent, body = int(outer["id"]), outer["part"], outer["b"]
        offset, size = int(extent["at"]), int(extent["of"])
        if size > self.max_bytes:
            raise ValueError(f"frame of {size} bytes exceeds {self.max_bytes}")
        if offset == 0:
            self.number, self.size, self.buffer = number, size, bytearray()
        expected = (self.number, self.size, len(self.buffer))
        if (number, size, offset) != expected or not 0 < len(body) <= size - offset:
            raise ValueError(f"chunk {(number, size, offset)}, expected {expected}")
        self.buffer += body
