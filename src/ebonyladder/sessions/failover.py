"""Failover of a service's primary without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. Before a promotion no
more commits can be acknowledged at the old primary, either because it has stepped
down or because all its replicas are paused. The replica with the newest log then
holds all acknowledged commits.
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
from ebonyladder.sessions.endpoint_selector import GROUP_STATE_TTL_S
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.types import (
    EndpointId,
    EndpointState,
    Position,
    Role,
    ServiceId,
    Term,
)

# Timeout of one call to an endpoint: a round trip between regions, a new
# connection, and the wait for a slot.
CALL_TIMEOUT_S = 0.6
# Time for a replica to receive the log of a primary that has stepped down.
CATCH_UP_TIMEOUT_S = 0.4
# Time until a promoted endpoint must be primary; the platform takes up to 1 s.
PROMOTE_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.05
# VMs that don't respond stop using the old primary when their group states expire; the
# rest covers differing clock rates and statements in flight.
BARRIER_TIMEOUT_S = GROUP_STATE_TTL_S + 0.5


class FailoverAbortedError(EbonyladderError):
    """A failover can't be made safely now."""


class ProbedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint that answered a status call, with its connection and status."""

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
        Opens connections to endpoints.
    promoter : PromotionClient
        Platform call that promotes an endpoint.
    coordination : FailoverCoordination
        The other VMs and the store.
    clock : Clock
        Clock of the timeouts.

    Attributes
    ----------
    has_no_calls : asyncio.Event
        Set while no call to the platform is in flight.
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
        self.calls_in_flight = 0
        self.has_no_calls = asyncio.Event()
        self.has_no_calls.set()

    async def replace_primary(self, service: ServiceId, cause: FailoverCause) -> bool:
        """Replace the primary; return whether there is a new one."""
        probes: dict[EndpointId, ProbedEndpoint] = {}
        try:
            return await self._replace_primary(service, cause, probes)
        except EbonyladderError as error:
            logging.warning(
                "[failover] Failover failed. service=%s cause=%s error=%s",
                service,
                cause.value,
                error,
            )
            return False
        finally:
            for probe in probes.values():
                probe.connection.close()

    async def _replace_primary(
        self,
        service: ServiceId,
        cause: FailoverCause,
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> bool:
        members = self.cluster.members(service)
        probes.update(await self._probe(members))
        old_primary = self._former_primary(service, members)
        if not self._is_needed(cause, probes.get(old_primary), probes):
            logging.info(
                "[failover] Primary is kept. service=%s cause=%s", service, cause.value
            )
            if cause is FailoverCause.UNRESPONSIVE:
                self.coordination.record_reachable(old_primary)
            return False
        if not any(self._is_candidate(p) for p in probes.values()):
            raise self._aborted(service, "no endpoint can take over")
        moving = await self._begin(service, cause, old_primary or members[0].id)
        promoted = self._find_promoted(moving, probes)
        if promoted is not None:
            await self._store_stable(moving, promoted.entry.id, promoted.status.term)
            return True
        try:
            chosen = await self._choose_successor(service, old_primary, members, probes)
            await self._call_platform(service, chosen.entry.id)
        except FailoverAbortedError:
            # Nothing was promoted, so the group keeps its former primary.
            await self._resume(probes, old_primary)
            await self._store_stable(moving, moving.primary, moving.term)
            raise
        # From here on a failure leaves the group in phase MOVING: the promotion may
        # still take effect, so the former primary must not be used again.
        term = await self._wait_promoted(service, chosen)
        await self._store_stable(moving, chosen.entry.id, term)
        await self._resume(probes, chosen.entry.id)
        return True

    async def _begin(
        self, service: ServiceId, cause: FailoverCause, old_primary: EndpointId
    ) -> GroupState:
        known = self.cluster.groups.get(service)
        moving = GroupState(
            service=service,
            epoch=(known.epoch if known else 0) + 1,
            phase=GroupPhase.MOVING,
            primary=old_primary,
            term=known.term if known else Term(0),
        )
        await self.coordination.write_group(moving)
        logging.info(
            "[failover] Failover begins. service=%s cause=%s epoch=%d old=%s",
            service,
            cause.value,
            moving.epoch,
            old_primary,
        )
        await self.coordination.wait_applied(moving, BARRIER_TIMEOUT_S)
        return moving

    def _find_promoted(
        self, moving: GroupState, probes: dict[EndpointId, ProbedEndpoint]
    ) -> ProbedEndpoint | None:
        """Return an endpoint that an interrupted failover has promoted."""
        promoted = [
            p
            for p in probes.values()
            if p.status.role is Role.PRIMARY
            and p.entry.id != moving.primary
            and p.status.term > moving.term
        ]
        return max(promoted, key=lambda p: p.status.term, default=None)

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
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = await self.connector.open(entry, OPEN_ORGANISATION)
                status = await connection.status()
        except (EndpointError, TimeoutError) as error:
            logging.info(
                "[failover] Status call failed. endpoint=%s error=%r",
                entry.id,
                error,
            )
            return None
        return ProbedEndpoint(entry=entry, connection=connection, status=status)

    def _is_needed(
        self,
        cause: FailoverCause,
        primary_probe: ProbedEndpoint | None,
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> bool:
        """Return whether the primary must be replaced; False if it is only slow."""
        if primary_probe is None or primary_probe.status.role is not Role.PRIMARY:
            return True
        if cause is FailoverCause.STALLED:
            others = [p for p in probes.values() if p is not primary_probe]
            return all(
                p.status.received < primary_probe.status.received for p in others
            )
        return cause not in (FailoverCause.UNRESPONSIVE, FailoverCause.DEMOTED)

    def _is_candidate(self, probe: ProbedEndpoint | None) -> bool:
        return (
            probe is not None
            and probe.entry.state is EndpointState.ACTIVE
            and probe.entry.zone not in self.cluster.closed_zones
        )

    async def _choose_successor(
        self,
        service: ServiceId,
        old_primary: EndpointId | None,
        members: list[EndpointEntry],
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> ProbedEndpoint:
        """Stop commits; return an endpoint that has every acknowledged one."""
        term = Term(max(p.status.term for p in probes.values()) + 1)
        primary_probe = probes.get(old_primary) if old_primary else None
        if primary_probe is not None and primary_probe.status.role is Role.PRIMARY:
            final_status = await self._step_down(primary_probe, term)
            if final_status is not None:
                return await self._choose_after_step_down(
                    primary_probe, final_status, members, probes
                )
        replicas = [m for m in members if m.id != old_primary or m.id in probes]
        missing = [r.id for r in replicas if r.id not in probes]
        if missing:
            # A commit may have been acknowledged by the missing replica only.
            raise self._aborted(service, f"no status of {', '.join(missing)}")
        received = {}
        for replica in replicas:
            status = await self._call(
                service, probes[replica.id].connection.pause(term)
            )
            received[replica.id] = status.received
        return self._choose_newest(service, received, probes)

    async def _choose_after_step_down(
        self,
        primary_probe: ProbedEndpoint,
        final_status: EndpointStatus,
        members: list[EndpointEntry],
        probes: dict[EndpointId, ProbedEndpoint],
    ) -> ProbedEndpoint:
        """Return the successor of a primary that has stepped down."""
        service = primary_probe.entry.service
        deadline_s = self.clock.now_s() + CATCH_UP_TIMEOUT_S
        while True:
            received = {}
            for probe in probes.values():
                if probe is not primary_probe and probe.connection.is_open:
                    status = await self._call(service, probe.connection.status())
                    received[probe.entry.id] = status.received
            best = self._choose_newest(service, received, probes) if received else None
            if best and received[best.entry.id] >= final_status.received:
                return best
            if self.clock.now_s() >= deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        if best and len(received) == len(members) - 1:
            # What no replica has received was never acknowledged.
            return best
        if self._is_candidate(primary_probe):
            return primary_probe
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
            raise self._aborted(service, "no candidate has the newest log")
        return max(best, key=lambda p: (p.entry.zone == self.cluster.zone, p.entry.id))

    async def _call(
        self, service: ServiceId, call: Awaitable[EndpointStatus]
    ) -> EndpointStatus:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call
        except (EndpointError, TimeoutError) as error:
            raise self._aborted(service, f"no answer: {error!r}") from error

    async def _step_down(
        self, primary_probe: ProbedEndpoint, term: Term
    ) -> EndpointStatus | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await primary_probe.connection.step_down(term)
        except (EndpointError, TimeoutError) as error:
            logging.info(
                "[failover] Primary did not step down. endpoint=%s error=%r",
                primary_probe.entry.id,
                error,
            )
            return None

    async def _call_platform(self, service: ServiceId, chosen: EndpointId) -> None:
        token = self.coordination.fencing_token()
        if token is None:
            raise self._aborted(service, "this VM holds no valid leader lease")
        self.calls_in_flight += 1
        self.has_no_calls.clear()
        try:
            is_running = await self.promoter.promote(
                service=service, endpoint=chosen, holder=self.cluster.vm, token=token
            )
        finally:
            self.calls_in_flight -= 1
            if not self.calls_in_flight:
                self.has_no_calls.set()
        if not is_running:
            raise self._aborted(service, f"{chosen} isn't running")

    async def _wait_promoted(self, service: ServiceId, probe: ProbedEndpoint) -> Term:
        deadline_s = self.clock.now_s() + PROMOTE_TIMEOUT_S
        while self.clock.now_s() < deadline_s:
            status = await self._call(service, probe.connection.status())
            if status.role is Role.PRIMARY:
                return status.term
            await asyncio.sleep(POLL_INTERVAL_S)
        raise self._aborted(service, f"{probe.entry.id} did not become primary")

    async def _store_stable(
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
                logging.warning(
                    "[failover] Storing the group state failed. error=%s", error
                )
                await asyncio.sleep(POLL_INTERVAL_S * 4)
                if self.coordination.fencing_token() is None:
                    raise
            else:
                logging.info(
                    "[failover] Group state is stored. service=%s primary=%s term=%d",
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
                async with asyncio.timeout(CALL_TIMEOUT_S):
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
