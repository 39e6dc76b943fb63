"""Endpoints that may hold commits which no other endpoint holds.

A commit is acknowledged once one replica has received it, also one that leaves. The
log of a replica that has left is gone, so until another replica is known to hold what
it had acknowledged, the only copy may be at the primary.
"""

from collections.abc import Collection

import msgspec

from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.connection import EndpointStatus
from ebonyladder.types import EndpointProcess, Role, ServiceId


class LogHolders(msgspec.Struct, frozen=True, kw_only=True):
    """Log holders of a service, kept in the store.

    Attributes
    ----------
    endpoints : tuple of EndpointEntry
        Entries under which the endpoints were listed, the primary's among them.
    ended : tuple of EndpointProcess
        Unlisted ones whose processes are known to have ended. Their addresses may be
        silent by the time at which another leader asks.
    """

    service: ServiceId
    endpoints: tuple[EndpointEntry, ...] = ()
    ended: tuple[EndpointProcess, ...] = ()

    @property
    def latest(self) -> list[EndpointEntry]:
        """Entries of the latest process of each endpoint.

        An earlier one can't be asked any more: the later one answers at its address.
        """
        by_start = sorted(self.endpoints, key=lambda e: e.process_started_at_ms)
        return list({entry.id: entry for entry in by_start}.values())

    def with_listed(self, listed: Collection[EndpointEntry]) -> "LogHolders":
        """Return the same holders, and the listed endpoints with their new entries."""
        by_process = {entry.process: entry for entry in (*self.endpoints, *listed)}
        return LogHolders(
            service=self.service,
            endpoints=tuple(by_process[process] for process in sorted(by_process)),
        )

    def departed(self, listed: Collection[EndpointEntry]) -> list[EndpointEntry]:
        """Return the holders that aren't listed any more."""
        processes = {entry.process for entry in listed}
        return [entry for entry in self.endpoints if entry.process not in processes]

    def without(self, departed: Collection[EndpointEntry]) -> "LogHolders":
        """Return the holders other than ``departed``."""
        processes = {entry.process for entry in departed}
        return LogHolders(
            service=self.service,
            endpoints=tuple(e for e in self.endpoints if e.process not in processes),
        )

    def has_same_processes(self, other: "LogHolders") -> bool:
        """Tell whether the other value names the same endpoints in the same states."""
        return self.ended == other.ended and {
            (e.process, e.state) for e in self.endpoints
        } == {(e.process, e.state) for e in other.endpoints}


def is_covered(
    primary: EndpointStatus | None, replicas: Collection[EndpointStatus]
) -> bool:
    """Tell whether a replica holds all that departed holders had acknowledged.

    Parameters
    ----------
    primary : EndpointStatus or None
        Status of the primary, requested after the holders had departed; None if it
        didn't answer.
    replicas : collection of EndpointStatus
        Statuses of the listed replicas, requested after that of the primary.
    """
    if primary is None or primary.role is not Role.PRIMARY:
        return False
    return any(
        replica.role is Role.REPLICA and replica.received >= primary.received
        for replica in replicas
    )
