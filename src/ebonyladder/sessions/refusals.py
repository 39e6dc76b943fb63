"""What a caller is told of a statement that no endpoint has answered."""

import msgspec

from ebonyladder.sessions.command import Answer, AnswerCode, refusal
from ebonyladder.sessions.statement_request import StatementRequest

# Retry-After of a refusal during a failover.
PRIMARY_RETRY_AFTER_S = 0.5


def refuse(request: StatementRequest, detail: str) -> Answer:
    """Refuse a statement that hasn't run."""
    answer = refusal(AnswerCode.OVERLOADED, detail, retry_after_s=PRIMARY_RETRY_AFTER_S)
    return msgspec.structs.replace(answer, is_refused_here=not request.was_sent)


def fail_read(request: StatementRequest, detail: str) -> Answer:
    """Refuse a read; one that may have run isn't reported as not run."""
    if request.may_have_run:
        return refusal(AnswerCode.FAILED, detail)
    return refuse(request, detail)


def time_out(request: StatementRequest) -> Answer:
    """Answer a statement at its deadline; one that wasn't sent may be retried."""
    if not request.may_have_run:
        return refuse(request, "no endpoint was free in time")
    return refusal(AnswerCode.TIMEOUT, "statement timeout")


def give_up(request: StatementRequest | None, detail: str) -> Answer:
    """Answer a statement that was ended early; None for a command that runs here."""
    if request is None:
        return refusal(AnswerCode.OVERLOADED, detail)
    if not request.may_have_run:
        return refuse(request, detail)
    return refusal(AnswerCode.TIMEOUT, detail)
