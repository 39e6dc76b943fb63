"""Change of a service's primary without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. Before a promotion no
more commits can be acknowledged at the old primary, either because it has stepped
down or because all its replicas are paused; the replica that has received most is
then known to hold all of them.
"""

import asyncio
from collections.abc import Awaitable

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    EndpointError,
    ErrorCode,
    StoreError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import OPEN_ORGANISATION
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    EndpointEntry,
    GroupPhase,
    GroupState,
)
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointStatus,
    PromotionClient,
)
from ebonyladder.sessions.endpoint_selector import EVIDENCE_LIMIT_S
from ebonyladder.sessions.fleet import FailoverCoordination
from ebonyladder.types import (
    EndpointId,
    EndpointState,
    Position,
    Role,
    ServiceId,
    Term,
)

# Time for one call on an endpoint, in seconds: a round trip between regions, a new
# connection, and the wait for a slot.
CALL_LIMIT_S = 0.6
# Time for a replica to receive what a primary that stepped down has, in seconds.
CATCH_UP_LIMIT_S = 0.4
# Time until a promoted endpoint must lead, in seconds; the platform takes up to one.
PROMOTE_LIMIT_S = 4.0
POLL_S = 0.05
# VMs that don't answer stop using the old primary when their evidence ends; the rest
# covers clock rates and statements on their way.
BARRIER_S = EVIDENCE_LIMIT_S + 0.5


class FailoverAbortedError(EbonyladderError):
    """A change of primary can't be made safely now."""


class ProbedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint with the link and status of a call that it answered."""

    entry: EndpointEntry
    connection: ControlConnection
    status: EndpointStatus


class Failover:
    """Changes the primary of one service at a time.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    connector : EndpointConnector
        Opens links to endpoints.
    promoter : PromotionClient
        The platform's call.
    coordination : FailoverCoordination
        The other VMs and the store.
    clock : Clock
        Clock of the limits.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        connector: EndpointConnector,
        promoter: PromotionClient,
        coordination: FailoverCoordination,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.connector = connector
        self.promoter = promoter
        self.coordination = coordination
        self.clock = clock

    async def change(self, service: ServiceId, cause: FailoverCause) -> bool:
        """Replace the primary; return whether there is a new one."""
        probes: dict[EndpointId, ProbedEndpoint] = {}
        try:
            return await self._change(service, cause, probes)
        except EbonyladderError as error:
            logging.warning(
                "[failover] Change of primary ended. service=%s cause=%s error=%s",
                service,
                cause.value,
                error,
            )
            return False
        finally:
            for probe in probes.values():
                probe.connection.close()

    async def _change(
        self,
        service: ServiceId,
        cause: FailoverCause,
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> bool:
        members = self.cluster.members(service)
        probes.update(await self._probe(members))
        old = self._former_primary(service, members)
        if not self._is_needed(cause, probes.get(old), probes):
            logging.info(
                "[failover] Primary is kept. service=%s cause=%s", service, cause.value
            )
            if cause is FailoverCause.SILENT:
                self.coordination.note_reached(old)
            return False
        if not any(self._is_candidate(p) for p in probes.values()):
            raise self._aborted(service, "no endpoint can take over")
        moving = await self._begin(service, cause, old or members[0].id)
        already = self._new_leader(moving, probes)
        if already is not None:
            await self._settle(moving, already.entry.id, already.status.term)
            return True
        try:
            chosen = await self._prepare(service, old, members, probes)
            await self._call_platform(service, chosen.entry.id)
        except FailoverAbortedError:
            # Nothing was promoted, so the former primary stays the agreed one.
            await self._resume(probes, old)
            await self._settle(moving, moving.primary, moving.term)
            raise
        # From here on a failure leaves the group moving: the promotion may still
        # take effect, so the former primary must not be used again.
        term = await self._wait_leading(service, chosen)
        await self._settle(moving, chosen.entry.id, term)
        await self._resume(probes, chosen.entry.id)
        return True

    async def _begin(
        self, service: ServiceId, cause: FailoverCause, old: EndpointId
    ) -> GroupState:
        known = self.cluster.groups.get(service)
        moving = GroupState(
            service=service,
            epoch=(known.epoch if known else 0) + 1,
            phase=GroupPhase.MOVING,
            primary=old,
            term=known.term if known else Term(0),
        )
        await self.coordination.write_group(moving)
        logging.info(
            "[failover] Change of primary begins. service=%s cause=%s epoch=%d old=%s",
            service,
            cause.value,
            moving.epoch,
            old,
        )
        await self.coordination.wait_adopted(moving, BARRIER_S)
        return moving

    def _new_leader(
        self, moving: GroupState, probes: dict[EndpointId, ProbedEndpoint]
    ) -> ProbedEndpoint | None:
        """Return an endpoint that an unfinished change has promoted already."""
        leading = [
            p
            for p in probes.values()
            if p.status.role is Role.PRIMARY
            and p.entry.id != moving.primary
            and p.status.term > moving.term
        ]
        return max(leading, key=lambda p: p.status.term, default=None)

    def _former_primary(
        self, service: ServiceId, members: list[EndpointEntry]
    ) -> EndpointId | None:
        group = self.cluster.groups.get(service)
        if group is not None:
            return group.primary
        return next((m.id for m in members if m.role is Role.PRIMARY), None)

    async def _probe(
        self, members: list[EndpointEntry]
    ) -> dict[EndpointId, ProbedEndpoint]:
        found = await asyncio.gather(*(self._probe_one(m) for m in members))
        return {probe.entry.id: probe for probe in found if probe is not None}

    async def _probe_one(self, entry: EndpointEntry) -> ProbedEndpoint | None:
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                connection = await self.connector.open(entry, OPEN_ORGANISATION)
                status = await connection.status()
        except (EndpointError, TimeoutError) as error:
            logging.info(
                "[failover] Endpoint gives no status. endpoint=%s error=%r",
                entry.id,
                error,
            )
            return None
        return ProbedEndpoint(entry=entry, connection=connection, status=status)

    def _is_needed(
        self,
        cause: FailoverCause,
        leading: ProbedEndpoint | None,
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> bool:
        """Tell a primary that has to be replaced from one that is only slow."""
        if leading is None or leading.status.role is not Role.PRIMARY:
            return True
        if cause is FailoverCause.STALLED:
            others = [p for p in probes.values() if p is not leading]
            return all(p.status.received < leading.status.received for p in others)
        return cause not in (FailoverCause.SILENT, FailoverCause.DEMOTED)

    def _is_candidate(self, probe: ProbedEndpoint | None) -> bool:
        return (
            probe is not None
            and probe.entry.state is EndpointState.ACTIVE
            and probe.entry.zone not in self.cluster.closed_zones
        )

    async def _prepare(
        self,
        service: ServiceId,
        old: EndpointId | None,
        members: list[EndpointEntry],
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> ProbedEndpoint:
        """Stop the old order; return an endpoint with every acknowledged commit."""
        term = Term(max(p.status.term for p in probes.values()) + 1)
        leading = probes.get(old) if old else None
        if leading is not None and leading.status.role is Role.PRIMARY:
            stopped = await self._step_down(leading, term)
            if stopped is not None:
                return await self._choose_stopped(leading, stopped, members, probes)
        replicas = [m for m in members if m.id != old or m.id in probes]
        missing = [r.id for r in replicas if r.id not in probes]
        if missing:
            # A commit may have been acknowledged by the missing replica alone.
            raise self._aborted(service, f"no status of {', '.join(missing)}")
        received = {}
        for replica in replicas:
            status = await self._call(
                service, probes[replica.id].connection.pause(term)
            )
            received[replica.id] = status.received
        return self._choose_newest(service, received, probes)

    async def _choose_stopped(
        self,
        leading: ProbedEndpoint,
        stopped: EndpointStatus,
        members: list[EndpointEntry],
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> ProbedEndpoint:
        """Return the successor of a primary that has stepped down."""
        service = leading.entry.service
        limit_s = self.clock.now_s() + CATCH_UP_LIMIT_S
        while True:
            received = {}
            for probe in probes.values():
                if probe is not leading and probe.connection.is_open:
                    status = await self._call(service, probe.connection.status())
                    received[probe.entry.id] = status.received
            best = self._choose_newest(service, received, probes) if received else None
            if best and received[best.entry.id] >= stopped.received:
                return best
            if self.clock.now_s() >= limit_s:
                break
            await asyncio.sleep(POLL_S)
        if best and len(received) == len(members) - 1:
            # What no replica has received was never acknowledged.
            return best
        if self._is_candidate(leading):
            return leading
        raise self._aborted(service, "no replica has the log of the old primary")

    def _choose_newest(
        self,
        service: ServiceId,
        received: dict[EndpointId, Position],
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> ProbedEndpoint:
        newest = max(received.values())
        best = [
            probes[endpoint]
            for endpoint, position in received.items()
            if position == newest and self._is_candidate(probes[endpoint])
        ]
        if not best:
            raise self._aborted(service, "the newest log isn't at a candidate")
        return max(best, key=lambda p: (p.entry.zone == self.cluster.zone, p.entry.id))

    async def _call(
        self, service: ServiceId, call: Awaitable[EndpointStatus]
    ) -> EndpointStatus:
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                return await call
        except (EndpointError, TimeoutError) as error:
            raise self._aborted(service, f"no answer: {error!r}") from error

    async def _step_down(
        self, leading: ProbedEndpoint, term: Term
    ) -> EndpointStatus | None:
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                return await leading.connection.step_down(term)
        except (EndpointError, TimeoutError) as error:
            logging.info(
                "[failover] Primary did not step down. endpoint=%s error=%r",
                leading.entry.id,
                error,
            )
            return None

    async def _call_platform(self, service: ServiceId, chosen: EndpointId) -> None:
        token = self.coordination.fencing_token()
        if token is None:
            raise self._aborted(service, "this VM isn't certain of its duty")
        if not await self.promoter.promote(
            service=service, endpoint=chosen, holder=self.cluster.vm, token=token
        ):
            raise self._aborted(service, f"{chosen} isn't running")

    async def _wait_leading(self, service: ServiceId, probe: ProbedEndpoint) -> Term:
        limit_s = self.clock.now_s() + PROMOTE_LIMIT_S
        while self.clock.now_s() < limit_s:
            status = await self._call(service, probe.connection.status())
            if status.role is Role.PRIMARY:
                return status.term
            await asyncio.sleep(POLL_S)
        raise self._aborted(service, f"{probe.entry.id} does not lead")

    async def _settle(
        self, moving: GroupState, primary: EndpointId, term: Term
    ) -> None:
        stable = msgspec.structs.replace(
            moving,
            epoch=moving.epoch + 1,
            phase=GroupPhase.STABLE,
            primary=primary,
            term=term,
        )
        while True:
            try:
                await self.coordination.write_group(stable)
            except StoreError as error:
                logging.warning("[failover] Group isn't stored yet. error=%s", error)
                await asyncio.sleep(POLL_S * 4)
                if self.coordination.fencing_token() is None:
                    raise
            else:
                logging.info(
                    "[failover] Group is settled. service=%s primary=%s term=%d",
                    stable.service,
                    primary,
                    term,
                )
                return

    async def _resume(
        self, probes: dict[EndpointId, ProbedEndpoint], primary: EndpointId | None
    ) -> None:
        for probe in probes.values():
            if probe.entry.id == primary or not probe.connection.is_open:
                continue
            try:
                async with asyncio.timeout(CALL_LIMIT_S):
                    await probe.connection.resume()
            except (EndpointError, TimeoutError) as error:
                logging.warning(
                    "[failover] Replica did not resume. endpoint=%s error=%r",
                    probe.entry.id,
                    error,
                )

    def _aborted(self, service: ServiceId, message: str) -> FailoverAbortedError:
        return FailoverAbortedError(
            code=ErrorCode.NO_PRIMARY,
            step=Step.PROMOTE,
            peer=service,
            message=message,
        )
