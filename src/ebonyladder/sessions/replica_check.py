"""Asks replicas whether they hold a commit."""

import asyncio
from asyncio import FIRST_COMPLETED

import msgspec

from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.commit_decision import ReplicaProof
from ebonyladder.sessions.connection import EndpointConnector, EndpointStatus
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.types import EndpointId, EndpointProcess, Position, Role

# Connections to replicas are closed after this time without a question, in seconds.
IDLE_TIMEOUT_S = 5.0

Question = asyncio.Task[None]


class ReplicaAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Last status of a replica, and when it arrived.

    It may be older than the question, as the connection is kept: what the replica had
    received by then it has received. So its age is for logs only.
    """

    status: EndpointStatus
    answered_at_s: float


class ReplicaCheck:
    """Asks replicas whether they hold commits, with one question for all that wait.

    Replicas that were listed when this VM confirmed its group states last are log
    holders. A failover reads them, or the final log of the primary, so it doesn't lose
    a commit that one of them holds.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints that were listed at that time.
    connector : EndpointConnector
        Opens connections to replicas.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        connector: EndpointConnector,
    ) -> None:
        self.cluster = cluster
        self.control = EndpointControl(connector=connector)
        self.questions: dict[EndpointProcess, Question] = {}
        # Last answers, since one may arrive after the wait for it has ended.
        self.latest: dict[EndpointProcess, ReplicaAnswer] = {}
        self.closing: asyncio.TimerHandle | None = None

    def can_ask(self, primary: EndpointId) -> bool:
        """Tell whether replicas acknowledge a primary's commits."""
        entry = self.cluster.endpoints_when_confirmed.get(primary)
        catalog = self.cluster.catalog
        if entry is None or catalog is None:
            return False
        service = catalog.services.get(entry.service)
        return service is not None and service.sync_replicas > 0

    async def find_proof(
        self, primary: EndpointId, position: Position | None, timeout_s: float
    ) -> ReplicaProof | None:
        """Return the answer of a replica that holds a position of a primary's log.

        Parameters
        ----------
        timeout_s : float
            Longest wait for an answer, in seconds.
        """
        if position is None or not self.can_ask(primary):
            return None
        replicas = self._replicas(primary)
        if (proof := self._known_proof(replicas, position)) is not None:
            return proof
        # The nearest replica usually has the commit, so the others are spared.
        for asked in (replicas[:1], replicas):
            pending = {self._ask(entry) for entry in asked}
            end_at_s = asyncio.get_running_loop().time() + timeout_s / 2
            while pending:
                remaining_s = end_at_s - asyncio.get_running_loop().time()
                answered, pending = await asyncio.wait(
                    pending, timeout=max(remaining_s, 0), return_when=FIRST_COMPLETED
                )
                if (proof := self._known_proof(replicas, position)) is not None:
                    return proof
                if not answered:
                    break
        return None

    def _replicas(self, primary: EndpointId) -> list[EndpointEntry]:
        """Return the replicas listed at the last confirmation, the nearest first."""
        listed = self.cluster.endpoints_when_confirmed
        service = listed[primary].service
        own_zone = self.cluster.zone
        own_region = self.cluster.region(own_zone)
        return sorted(
            (e for e in listed.values() if e.service == service and e.id != primary),
            key=lambda e: (
                e.zone != own_zone,
                self.cluster.region(e.zone) != own_region,
                e.id,
            ),
        )

    def _known_proof(
        self, replicas: list[EndpointEntry], position: Position
    ) -> ReplicaProof | None:
        """Return the first replica's last answer that has a position."""
        for entry in replicas:
            answer = self.latest.get(entry.process)
            if answer is not None and self._has(answer.status, position):
                return ReplicaProof(
                    replica=entry.process,
                    received=answer.status.received,
                    answered_at_s=answer.answered_at_s,
                )
        return None

    def close(self) -> None:
        """Close all connections."""
        if self.closing is not None:
            self.closing.cancel()
        for question in self.questions.values():
            question.cancel()
        self.control.close()

    @staticmethod
    def _has(status: EndpointStatus, position: Position) -> bool:
        # A log that has entries of a newer term may lack the end of the older one.
        return (
            status.role is Role.REPLICA
            and status.received.term == position.term
            and status.received >= position
        )

    def _ask(self, entry: EndpointEntry) -> Question:
        """Return the question to a replica that is under way, or a new one."""
        question = self.questions.get(entry.process)
        if question is None or question.done():
            question = asyncio.create_task(self._request_status(entry))
            self.questions[entry.process] = question
        return question

    async def _request_status(self, entry: EndpointEntry) -> None:
        if self.closing is not None:
            self.closing.cancel()
        loop = asyncio.get_running_loop()
        self.closing = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)
        self.control.discard_closed()
        if entry.process not in self.control.endpoints:
            await self.control.probe([entry])
            found = self.control.endpoints.get(entry.process)
            status = found.status if found is not None else None
        else:
            status = await self.control.status(entry.process)
        if status is not None:
            self.latest[entry.process] = ReplicaAnswer(
                status=status, answered_at_s=self.cluster.clock.now_s()
            )

    def _close_idle(self) -> None:
        self.control.close()
        self.questions.clear()
        self.latest.clear()
