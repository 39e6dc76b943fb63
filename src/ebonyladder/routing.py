"""Rendezvous hashing of groups, endpoints and owners; comparison of log positions."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

from ebonyladder.endpoint import EndpointReport
from ebonyladder.types import GroupId, Position

Name = TypeVar("Name", bound=str)


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of ``name`` for ``key``; the highest score wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def rendezvous_order(key: str, names: Iterable[Name]) -> list[Name]:
    """Return ``names`` by descending score; removing one moves only its keys."""
    return sorted(names, key=lambda name: (-rendezvous_score(key, name), name))


def group_of(partition: str, groups: Iterable[GroupId]) -> GroupId:
    """Return the group that stores ``partition``."""
    return max(groups, key=lambda group: (rendezvous_score(partition, group), group))


def is_position_lost(report: EndpointReport, required: Position) -> bool:
    """Tell whether the endpoint's log has replaced the required position.

    Positions of an older term above the start of a newer term belong to entries
    that no majority stored; these entries are discarded.
    """
    return report.log_term > required.term and required.position > report.term_start


def satisfies(report: EndpointReport, required: Position | None) -> bool:
    """Tell whether the endpoint has applied the log up to the required position."""
    if required is None:
        return True
    if report.log_term < required.term or is_position_lost(report, required):
        return False
    return report.applied >= required.position
