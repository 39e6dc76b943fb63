"""Large frames in parts, so that they neither exceed the limit nor block others."""

from collections.abc import Iterator
from typing import Any

import cbor2

from ebonyladder._codec import PROTOCOL_VERSION, Frame, load, refused, unpack

# Small frames of other calls pass between two parts of a large one.
PART_BYTES = 1_000_000
# An endpoint's answer of 16 MB in JSON takes at most 2.5 times as much in CBOR:
# the worst case is a number of three characters and a comma that takes 9 bytes.
MESSAGE_LIMIT_BYTES = 40_000_000


def split(number: int, data: bytes) -> Iterator[bytes]:
    """Yield the frames that carry one large frame.

    Parameters
    ----------
    number : int
        Number of the call.
    data : bytes
        Encoded frame.
    """
    for start in range(0, len(data), PART_BYTES):
        part = {"at": start, "of": len(data)}
        body = data[start : start + PART_BYTES]
        yield cbor2.dumps(
            {"v": PROTOCOL_VERSION, "id": number, "part": part, "b": body}
        )


class FrameReader:
    """Read the frames of one link; puts the parts of a large frame together.

    A sender sends one large frame at a time, so at most one is held, and a part
    that begins another frame replaces one that was left incomplete.

    Parameters
    ----------
    peer : str
        Sender, for errors.
    limit_bytes : int
        Greatest size of a frame put together.
    """

    def __init__(self, *, peer: str, limit_bytes: int = MESSAGE_LIMIT_BYTES) -> None:
        self.peer = peer
        self.limit_bytes = limit_bytes
        self.number = 0
        self.size = 0
        self.held = bytearray()

    def read(self, data: bytes) -> Frame | None:
        """Return the frame that is complete with ``data``, if there is one.

        Raises
        ------
        PeerError
            PEER_REFUSED for an invalid frame, a part that does not continue
            the held ones or a frame above the limit.
        """
        outer = load(data, peer=self.peer)
        if "part" not in outer:
            return unpack(outer, peer=self.peer)
        try:
            self._add(outer)
        except (KeyError, TypeError, ValueError) as error:
            raise refused(self.peer, f"part is not valid: {error}") from error
        if len(self.held) < self.size:
            return None
        whole, self.held = bytes(self.held), bytearray()
        return unpack(load(whole, peer=self.peer), peer=self.peer)

    def _add(self, outer: dict[str, Any]) -> None:
        number, part, body = int(outer["id"]), outer["part"], outer["b"]
        at, size = int(part["at"]), int(part["of"])
        if size > self.limit_bytes:
            raise ValueError(f"frame of {size} bytes exceeds {self.limit_bytes}")
        if at == 0:
            self.number, self.size, self.held = number, size, bytearray()
        expected = (self.number, self.size, len(self.held))
        if (number, size, at) != expected or not 0 < len(body) <= size - at:
            raise ValueError(f"part {(number, size, at)} does not follow {expected}")
        self.held += body
