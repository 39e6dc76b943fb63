"""Encoding of messages between VMs as CBOR frames."""

from typing import Any, NamedTuple

import cbor2
import msgspec

from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    PeerError,
    error_code,
)
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Failure, Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4_000_000


class Frame(NamedTuple):
    """One decoded frame."""

    number: int
    message: Message


def _message_types() -> dict[str, type[Message]]:
    return {t.__struct_config__.tag: t for t in Message.__subclasses__()}


def encode(number: int, message: Message) -> bytes:
    """Return the CBOR frame with a message.

    Parameters
    ----------
    number : int
        Number of the call; an answer carries the number of its call.
    message : Message
        Message to send.
    """
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    tag = body.pop("type")
    return cbor2.dumps({"v": PROTOCOL_VERSION, "t": tag, "id": number, "b": body})


def decode(data: bytes, *, peer: str) -> Frame:
    """Return the decoded frame; raises as ``load`` and ``unpack`` do."""
    return unpack(load(data, peer=peer), peer=peer)


def load(data: bytes, *, peer: str) -> dict[str, Any]:
    """Return the fields of a frame, with its message still encoded.

    Raises
    ------
    PeerError
        PEER_REFUSED for invalid CBOR or an unknown version.
    """
    try:
        outer: Any = cbor2.loads(data)
        version = outer["v"]
    except (
        cbor2.CBORError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
    ) as error:
        raise refused(peer, f"frame is not valid: {error}") from error
    if version != PROTOCOL_VERSION:
        raise refused(peer, f"protocol version {version!r} is not supported, use 1")
    return outer


def unpack(outer: dict[str, Any], *, peer: str) -> Frame:
    """Return the frame with its message decoded.

    Raises
    ------
    PeerError
        PEER_REFUSED for an unknown type or a body that does not fit the type.
    """
    try:
        message_type = _TYPES[outer["t"]]
        body = {**outer["b"], "type": outer["t"]}
        message = msgspec.convert(body, message_type, builtin_types=(bytes,))
        return Frame(int(outer["id"]), message)
    except (KeyError, TypeError, ValueError) as error:
        raise refused(peer, f"message is not valid: {error}") from error


def refused(peer: str, message: str) -> PeerError:
    """Return the error for a frame that is refused."""
    return PeerError(
        code=ErrorCode.PEER_REFUSED, step=Step.PEER_CALL, peer=peer, message=message
    )


def failure_of(error: EbonyladderError, *, peer: str) -> Failure:
    """Return the message that carries an error to another VM."""
    return Failure(
        code=error.code.value.code,
        outcome=error.outcome.value,
        step=error.step.value,
        peer=error.peer or peer,
        message=error.message,
        retry_after_s=error.retry_after_s,
    )


def error_of(failure: Failure) -> PeerError:
    """Return the error that a peer's message carries."""
    return PeerError(
        code=error_code(failure.code),
        step=Step(failure.step),
        peer=failure.peer,
        message=failure.message,
        outcome=Outcome(failure.outcome),
        retry_after_s=failure.retry_after_s,
    )


_TYPES = _message_types()
