"""Errors with a stable code, an outcome, and the step and peer of the failure."""

from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple

from ebonyladder.kernel.step import Step


class Outcome(Enum):
    """Whether a refused or failed request took effect."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


class ErrorInfo(NamedTuple):
    """Description of one error code."""

    code: str
    outcome: Outcome
    http_status: int
    meaning: str


class ErrorCode(Enum):
    """All error codes; ``docs/errors.md`` is generated from this table."""

    BAD_REQUEST = ErrorInfo(
        "bad-request", Outcome.NOT_RUN, 400, "The request is malformed."
    )
    BODY_TOO_LARGE = ErrorInfo(
        "body-too-large", Outcome.NOT_RUN, 413, "The body exceeds the size limit."
    )
    KEY_REFUSED = ErrorInfo(
        "key-refused", Outcome.NOT_RUN, 401, "The key is missing, unknown or withdrawn."
    )
    KEY_WITHDRAWN = ErrorInfo(
        "key-withdrawn",
        Outcome.RUN,
        401,
        "The key was withdrawn while the statement ran; its answer is withheld.",
    )
    TOKEN_REFUSED = ErrorInfo(
        "token-refused",
        Outcome.NOT_RUN,
        400,
        "The session token is invalid or belongs to another organisation.",
    )
    POSITION_LOST = ErrorInfo(
        "position-lost",
        Outcome.NOT_RUN,
        409,
        "The session's position is not in the current log of the group.",
    )
    NOT_FOUND = ErrorInfo(
        "not-found", Outcome.NOT_RUN, 404, "No such service, transaction or route."
    )
    RATE_EXCEEDED = ErrorInfo(
        "rate-exceeded",
        Outcome.NOT_RUN,
        429,
        "The organisation is above its rate and burst.",
    )
    OVERLOADED = ErrorInfo(
        "overloaded",
        Outcome.NOT_RUN,
        503,
        "The endpoint's queue cannot serve the request before its deadline.",
    )
    REPLICA_BEHIND = ErrorInfo(
        "replica-behind",
        Outcome.NOT_RUN,
        503,
        "The replica has not applied the required position.",
    )
    NO_PRIMARY = ErrorInfo(
        "no-primary", Outcome.NOT_RUN, 503, "The group has no reachable primary."
    )
    NO_ENDPOINT = ErrorInfo(
        "no-endpoint", Outcome.NOT_RUN, 503, "No endpoint can serve the request."
    )
    NOT_OWNER = ErrorInfo(
        "not-owner",
        Outcome.NOT_RUN,
        503,
        "The VM does not own the endpoint's connections.",
    )
    CONNECT_FAILED = ErrorInfo(
        "connect-failed",
        Outcome.NOT_RUN,
        503,
        "No connection to the endpoint could be opened.",
    )
    CONNECTION_LOST = ErrorInfo(
        "connection-lost",
        Outcome.UNKNOWN,
        502,
        "The connection broke after the statement was sent.",
    )
    NOT_CONFIRMED = ErrorInfo(
        "not-confirmed",
        Outcome.UNKNOWN,
        504,
        "The write was not confirmed by a majority of the group in time.",
    )
    STALE_TERM = ErrorInfo(
        "stale-term",
        Outcome.UNKNOWN,
        503,
        "The answering primary has been replaced.",
    )
    ENDPOINT_REFUSED = ErrorInfo(
        "endpoint-refused",
        Outcome.NOT_RUN,
        422,
        "The endpoint refused the statement and did not run it.",
    )
    ANSWER_TOO_LARGE = ErrorInfo(
        "answer-too-large",
        Outcome.UNKNOWN,
        422,
        "The answer exceeds the size limit; ask for fewer rows.",
    )
    TRANSACTION_ENDED = ErrorInfo(
        "transaction-ended",
        Outcome.NOT_RUN,
        409,
        "The transaction is unknown here or has been rolled back.",
    )
    DEADLINE = ErrorInfo(
        "deadline", Outcome.UNKNOWN, 504, "The deadline passed during the step."
    )
    DUPLICATE = ErrorInfo(
        "duplicate", Outcome.UNKNOWN, 409, "The hop was delivered twice."
    )
    PEER_UNREACHABLE = ErrorInfo(
        "peer-unreachable",
        Outcome.NOT_RUN,
        503,
        "The peer could not be reached and the message was not sent.",
    )
    PEER_REPLACED = ErrorInfo(
        "peer-replaced",
        Outcome.NOT_RUN,
        503,
        "The peer was restarted or replaced and the message was not sent.",
    )
    PEER_LOST = ErrorInfo(
        "peer-lost",
        Outcome.UNKNOWN,
        502,
        "The connection to the peer broke after the message was sent.",
    )
    PEER_REFUSED = ErrorInfo(
        "peer-refused",
        Outcome.NOT_RUN,
        502,
        "The peer refused the handshake or the message.",
    )
    STALE_CONFIGURATION = ErrorInfo(
        "stale-configuration",
        Outcome.NOT_RUN,
        503,
        "The VM cannot confirm that its configuration is current.",
    )
    DRAINING = ErrorInfo(
        "draining", Outcome.NOT_RUN, 503, "The VM accepts no new work; use another VM."
    )
    STORE_UNAVAILABLE = ErrorInfo(
        "store-unavailable",
        Outcome.UNKNOWN,
        503,
        "The platform's store did not answer.",
    )
    STORE_CONFLICT = ErrorInfo(
        "store-conflict",
        Outcome.NOT_RUN,
        409,
        "The object has another version than expected.",
    )
    CONFIGURATION_INVALID = ErrorInfo(
        "configuration-invalid",
        Outcome.NOT_RUN,
        422,
        "The configuration text has errors.",
    )
    CAPACITY = ErrorInfo(
        "capacity",
        Outcome.NOT_RUN,
        409,
        "The remaining capacity would be insufficient.",
    )
    FENCED = ErrorInfo(
        "fenced",
        Outcome.NOT_RUN,
        409,
        "The endpoint has voted for another promoter or a later term.",
    )
    LEASE_LOST = ErrorInfo(
        "lease-lost",
        Outcome.NOT_RUN,
        409,
        "The lease has expired or is held by another VM.",
    )
    INTERNAL = ErrorInfo(
        "internal", Outcome.UNKNOWN, 500, "An unexpected failure in the daemon."
    )


class EbonyladderError(Exception):
    """Base class of the project's errors.

    Parameters
    ----------
    code : ErrorCode
        Stable code of the error.
    step : Step
        Step at which the error occurred.
    message : str
        One plain sentence; by default the meaning of the code.
    peer : str
        VM, endpoint or store at which the error occurred; empty for this VM.
    outcome : Outcome, optional
        Overrides the code's default outcome where the point of failure proves
        another one.
    retry_after_s : float, optional
        Seconds after which a retry may succeed.
    """

    def __init__(
        self,
        *,
        code: ErrorCode,
        step: Step,
        message: str = "",
        peer: str = "",
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        self.code = code
        self.step = step
        self.peer = peer
        self.message = message or code.value.meaning
        self.outcome = outcome or code.value.outcome
        self.retry_after_s = retry_after_s
        super().__init__(self.message)

    def __str__(self) -> str:
        """Return the message with code, step, peer and outcome."""
        return (
            f"{self.message} (code={self.code.value.code} step={self.step.value} "
            f"peer={self.peer or '-'} outcome={self.outcome.value})"
        )


class RequestError(EbonyladderError):
    """A caller's request was refused or failed."""


class StoreError(EbonyladderError):
    """A call on the platform's store failed."""


class EndpointError(EbonyladderError):
    """A call on an endpoint failed."""


class PeerError(EbonyladderError):
    """A call on another VM failed."""


class Problem(NamedTuple):
    """One error in a configuration text or a settings file.

    Attributes
    ----------
    path : str
        Dotted path of the field; empty where only the line is known.
    line : int
        Line in the text, from 1; 0 where it is unknown.
    problem : str
        What is wrong.
    fix : str
        How to correct it.
    """

    path: str
    line: int
    problem: str
    fix: str

    def __str__(self) -> str:
        """Return the problem on one line."""
        location = f"line {self.line}" if self.line else ""
        location = ", ".join(field for field in (location, self.path) if field)
        return f"{location or 'text'}: {self.problem}; {self.fix}"


class ConfigurationError(EbonyladderError):
    """A configuration text or a settings file has errors.

    Parameters
    ----------
    problems : sequence of Problem
        All errors that were found in the text.
    **fields
        Arguments of ``EbonyladderError``.
    """

    def __init__(self, *, problems: Sequence[Problem] = (), **fields: Any) -> None:
        self.problems = tuple(problems)
        if self.problems and not fields.get("message"):
            fields["message"] = "\n".join(str(problem) for problem in self.problems)
        super().__init__(**fields)


def error_code(code: str) -> ErrorCode:
    """Return the code with the given stable name, INTERNAL if it is unknown."""
    for member in ErrorCode:
        if member.value.code == code:
            return member
    return ErrorCode.INTERNAL
