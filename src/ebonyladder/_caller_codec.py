"""JSON encoding of callers' requests, answers and errors."""

from typing import NamedTuple, TypeVar

import msgspec

from ebonyladder.caller import CallerAnswer
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import RequestId

BEARER = "Bearer "

T = TypeVar("T")


class Reply(NamedTuple):
    """Encoded answer or error of one request.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        JSON body.
    error : EbonyladderError, optional
        Error that the body carries.
    """

    status: int
    body: bytes
    error: EbonyladderError | None = None


def refused(code: ErrorCode, message: str) -> RequestError:
    """Return the error of a request that is refused before any check."""
    return RequestError(code=code, step=Step.CALLER_ACCEPT, message=message)


def decode_body(body: bytes, body_type: type[T]) -> T:
    """Return the decoded body; raises ``RequestError`` BAD_REQUEST."""
    try:
        return msgspec.json.decode(body or b"{}", type=body_type)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise refused(ErrorCode.BAD_REQUEST, str(error)) from error


def bearer_key(header: str) -> str:
    """Return the bearer key of an Authorization header.

    Raises
    ------
    RequestError
        KEY_REFUSED if the header has no bearer key.
    """
    if not header.startswith(BEARER):
        raise RequestError(code=ErrorCode.KEY_REFUSED, step=Step.KEY_CHECK)
    # aiohttp decodes bytes outside UTF-8 to surrogates, which cannot be hashed.
    return header[len(BEARER) :].strip().encode(errors="replace").decode()


def answer_reply(answer: CallerAnswer) -> Reply:
    """Return the encoded form of an answer."""
    return Reply(200, msgspec.json.encode(answer))


def error_reply(error: EbonyladderError, request_id: RequestId, vm: str) -> Reply:
    """Return the encoded form of an error."""
    fields: dict[str, object] = {
        "code": error.code.value.code,
        "outcome": error.outcome.value,
        "step": error.step.value,
        "peer": error.peer or vm,
        "message": error.message,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = round(error.retry_after_s, 3)
    body = msgspec.json.encode({"error": fields})
    return Reply(error.code.value.http_status, body, error)
