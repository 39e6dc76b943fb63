"""Reasons for which a primary is replaced."""

from enum import Enum


class FailoverCause(Enum):
    """Why a primary is replaced."""

    SILENT = "the primary doesn't answer"
    STALLED = "commits get no answer at the primary"
    LEAVING = "the primary is leaving"
    GONE = "the primary is no longer listed"
    CUT_OFF = "most VMs can't reach the primary"
    DEMOTED = "the primary has stepped down"
    UNFINISHED = "an earlier change was not finished"
