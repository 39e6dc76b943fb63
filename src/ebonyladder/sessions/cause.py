"""Reasons for which a primary is replaced."""

from enum import Enum


class FailoverCause(Enum):
    """Why a primary is replaced."""

    UNRESPONSIVE = "the primary doesn't answer"
    STALLED = "commits get no answer at the primary"
    LEAVING = "the primary is leaving"
    UNLISTED = "the primary is no longer listed"
    UNREACHABLE = "most VMs can't reach the primary"
    DEMOTED = "the primary has stepped down"
    INTERRUPTED = "an earlier change was not finished"
