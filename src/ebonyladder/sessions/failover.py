"""Failover of a service's primary without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. Before a promotion no
more commits can be acknowledged at the old primary, either because it has stepped
down or because all its replicas are paused. ``LogSurvey`` decides which log then holds
all acknowledged commits.
"""

import asyncio

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    StoreError,
)
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    EndpointEntry,
    GroupPhase,
    GroupState,
)
from ebonyladder.sessions.connection import EndpointConnector, PromotionClient
from ebonyladder.sessions.endpoint_control import EndpointControl, ProbedEndpoint
from ebonyladder.sessions.endpoint_selector import GROUP_STATE_TTL_S
from ebonyladder.sessions.failover_attempt import (
    EndpointNotRunningError,
    FailoverAbortedError,
    FailoverAttempt,
    SurveyOutdatedError,
    aborted,
)
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.lead_evidence import find_last_leader
from ebonyladder.sessions.successor import SuccessorChooser
from ebonyladder.types import (
    EndpointId,
    EndpointProcess,
    Position,
    Role,
    ServiceId,
    Term,
)

# Time until a promoted endpoint must be primary; the platform takes up to 1 s.
PROMOTE_TIMEOUT_S = 4.0
# Longest time for the platform to answer a promotion call, in seconds.
PROMOTION_CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05
# The same after a call without an answer, which may not have arrived, in seconds.
UNANSWERED_TIMEOUT_S = 1.0
# VMs that don't respond stop using the old primary when their group states expire; the
# rest covers differing clock rates and statements in flight.
BARRIER_TIMEOUT_S = GROUP_STATE_TTL_S + 0.5
# Former primary of a group state if no holder is known to have led: the end of any
# replica's log would pass for its final position.
UNKNOWN_PRIMARY = EndpointId("")


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
    unanswered_at_s : float
        Time at which the last call ended without an answer.
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
        self.chooser = SuccessorChooser(
            cluster=cluster, coordination=coordination, clock=clock
        )
        self.unanswered_at_s = float("-inf")
        self.calls_in_flight = 0
        self.has_no_calls = asyncio.Event()
        self.has_no_calls.set()

    async def replace_primary(self, service: ServiceId, cause: FailoverCause) -> bool:
        """Replace the primary; return whether there is a new one."""
        control = EndpointControl(connector=self.connector)
        try:
            return await self._replace_primary(service, cause, control)
        except EbonyladderError as error:
            logging.warning(
                "[failover] Failover failed. service=%s cause=%s error=%s",
                service,
                cause.value,
                error,
            )
            return False
        finally:
            control.close()

    async def _replace_primary(
        self, service: ServiceId, cause: FailoverCause, control: EndpointControl
    ) -> bool:
        token = self.coordination.fencing_token()
        if token is None:
            raise aborted(service, "this VM holds no valid leader lease")
        holders = self.coordination.log_holders(service)
        attempt = FailoverAttempt(
            service=service,
            token=token,
            control=control,
            holders=holders,
        )
        await control.probe(holders.latest)
        attempt.find_former_primary(self.cluster.groups.get(service))
        if not self._is_needed(cause, attempt):
            logging.info(
                "[failover] Primary is kept. service=%s cause=%s", service, cause.value
            )
            if cause is FailoverCause.UNRESPONSIVE:
                self.coordination.record_reachable(
                    attempt.by_process[attempt.primary].id
                )
            if cause is FailoverCause.STALLED:
                # A leader that ended may have left replicas paused.
                await self._resume(attempt, except_for=attempt.primary)
            return False
        if not control.endpoints:
            raise aborted(service, "no endpoint can take over")
        moving = await self._begin(attempt, cause)
        attempt.find_former_primary(self.cluster.groups.get(service))
        if attempt.earlier_successor is None and not self._is_needed(cause, attempt):
            logging.info("[failover] Primary answers again. service=%s", service)
            await self._give_up(attempt, moving)
            return False
        await control.refresh()
        promoted = self._find_promoted(moving, attempt)
        if promoted is not None:
            if promoted.entry.process != moving.successor and (
                promoted.status.term > moving.term
            ):
                moving = msgspec.structs.replace(moving, inherited=None)
            term = promoted.status.term
            await self._store_stable(attempt, moving, promoted.entry, term)
            await self._resume(attempt, except_for=promoted.entry.process)
            return True
        await self._promote(attempt, moving)
        return True

    async def _promote(self, attempt: FailoverAttempt, moving: GroupState) -> None:
        """Choose the successor, and have the platform promote it."""
        begun = moving
        try:
            self._replace_departed_successor(attempt)
            chosen, inherited = await self.chooser.choose(attempt)
        except FailoverAbortedError:
            await self._give_up(attempt, begun)
            raise
        # The successor is stored before the call: another leader then promotes no
        # other endpoint while this call may still take effect.
        moving = msgspec.structs.replace(
            moving,
            epoch=moving.epoch + 1,
            successor=chosen.process,
            inherited=inherited,
        )
        called_at_s = self.clock.now_s()
        await self.coordination.store_successor(moving)
        fence = asyncio.create_task(self.chooser.keep_fenced(attempt, chosen))
        try:
            try:
                await self._require_current(attempt, chosen, inherited)
                timeout_s = await self._call_platform(attempt, chosen, called_at_s)
            except (SurveyOutdatedError, EndpointNotRunningError):
                begun = msgspec.structs.replace(begun, epoch=moving.epoch)
                await self._give_up(attempt, begun)
                raise
            # From here on a failure leaves the group in phase MOVING: the promotion may
            # still take effect, so the former primary must not be used again.
            term = await self._wait_promoted(attempt, chosen, timeout_s)
        finally:
            fence.cancel()
            await asyncio.wait([fence])
        await self._store_stable(attempt, moving, chosen, term)
        await self._resume(attempt, except_for=chosen.process)

    async def _require_current(
        self, attempt: FailoverAttempt, chosen: EndpointEntry, position: Position
    ) -> None:
        """Raise ``SurveyOutdatedError`` if a log has changed since the survey."""
        if not await self.chooser.is_current(attempt, chosen, position):
            raise aborted(
                attempt.service,
                "a log has changed since the survey",
                error=SurveyOutdatedError,
            )

    async def _begin(
        self, attempt: FailoverAttempt, cause: FailoverCause
    ) -> GroupState:
        known = self.cluster.groups.get(attempt.service)
        if known is not None:
            attempt.earlier_successor = known.successor
            moving = msgspec.structs.replace(
                known,
                epoch=self.cluster.next_epoch(attempt.service),
                phase=GroupPhase.MOVING,
            )
        else:
            former = attempt.by_process.get(attempt.primary)
            moving = GroupState(
                service=attempt.service,
                epoch=self.cluster.next_epoch(attempt.service),
                phase=GroupPhase.MOVING,
                primary=UNKNOWN_PRIMARY if former is None else former.id,
            )
        self._require_leading(attempt)
        await self.coordination.write_group(moving)
        logging.info(
            "[failover] Failover begins. service=%s cause=%s epoch=%d old=%s token=%d "
            "earlier_successor=%s recorded=%s unlisted=%s answers=%s",
            attempt.service,
            cause.value,
            moving.epoch,
            attempt.primary,
            attempt.token,
            attempt.earlier_successor or "-",
            ",".join(self.coordination.recorded_log_holders(attempt.service)) or "-",
            ",".join(
                e.process
                for e in attempt.holders.departed(self.cluster.members(attempt.service))
            )
            or "-",
            attempt.control.describe(attempt.by_process),
        )
        probing = asyncio.create_task(self._probe_again(attempt))
        try:
            await self.coordination.wait_applied(moving, BARRIER_TIMEOUT_S)
        finally:
            probing.cancel()
            await asyncio.wait([probing])
        # The next leader's failover would meet the pauses of this one.
        self._require_leading(attempt)
        return moving

    @staticmethod
    async def _probe_again(attempt: FailoverAttempt) -> None:
        """Probe the endpoints that haven't answered yet, as a partition may heal."""
        control = attempt.control
        while True:
            await asyncio.sleep(2 * POLL_INTERVAL_S)
            await control.probe(
                entry
                for entry in attempt.holders.latest
                if entry.process not in control.endpoints
            )

    def _find_promoted(
        self, moving: GroupState, attempt: FailoverAttempt
    ) -> ProbedEndpoint | None:
        """Return an endpoint that leads already.

        Either an interrupted failover has promoted it, or it is the former primary,
        which came back with its log under another id at the same address.
        """
        if moving.is_incomplete and attempt.earlier_successor is None:
            members = self.cluster.members(attempt.service)
            return find_last_leader(
                attempt.control,
                attempt.holders,
                min_term=moving.term,
                listed={entry.process for entry in members},
            )
        former = attempt.by_process.get(attempt.primary)
        may_have_come_back = (
            former is not None
            and former.process in attempt.control.gone
            and attempt.earlier_successor is None
        )
        promoted = [
            p
            for p in attempt.control.endpoints.values()
            if p.status.role is Role.PRIMARY
            and p.entry.id != moving.primary
            and (
                (
                    p.status.term > moving.term
                    and attempt.earlier_successor in (None, p.entry.process)
                )
                or (
                    may_have_come_back
                    and p.entry.address == former.address
                    and p.status.term == moving.term
                )
            )
        ]
        return max(promoted, key=lambda p: p.status.term, default=None)

    def _replace_departed_successor(self, attempt: FailoverAttempt) -> None:
        """Let another endpoint take over from an earlier successor that has left.

        It may have led and acknowledged commits, so the survey treats it as the former
        primary: every other log holder must be read.
        """
        successor = attempt.earlier_successor
        if successor is None or successor in attempt.control.endpoints:
            return
        listed = {e.process for e in self.cluster.members(attempt.service)}
        if successor in listed:
            raise aborted(
                attempt.service,
                f"{successor}, whose promotion may take effect, doesn't answer",
            )
        attempt.primary = successor

    def _is_needed(self, cause: FailoverCause, attempt: FailoverAttempt) -> bool:
        """Return whether the primary must be replaced; False if it is only slow."""
        probes = attempt.control.endpoints
        found = probes.get(attempt.primary)
        if found is None or found.status.role is not Role.PRIMARY:
            return True
        # Commits stall at a primary whose log no replica receives, so none of them can
        # take over from its final position.
        return cause not in (
            FailoverCause.UNRESPONSIVE,
            FailoverCause.DEMOTED,
            FailoverCause.STALLED,
        )

    async def _call_platform(
        self, attempt: FailoverAttempt, chosen: EndpointEntry, called_at_s: float
    ) -> float:
        """Request the promotion within this VM's leadership.

        Return the longest time to wait for its effect, in seconds. The call ends before
        another leader may request one for the service: that one waits for the group
        state stored at ``called_at_s`` to be interrupted.
        """
        remaining_s = min(
            called_at_s + PROMOTION_CALL_TIMEOUT_S - self.clock.now_s(),
            self.coordination.lease_remaining_s(),
        )
        if remaining_s <= 0 or not self._is_leading(attempt):
            raise aborted(attempt.service, "the leader lease has expired")

        def may_send() -> bool:
            attempt.is_requested = (
                self._is_leading(attempt)
                and self.clock.now_s() < called_at_s + PROMOTION_CALL_TIMEOUT_S
            )
            return attempt.is_requested

        self.calls_in_flight += 1
        self.has_no_calls.clear()
        try:
            is_running = await self.promoter.promote(
                service=attempt.service,
                endpoint=chosen.id,
                holder=self.cluster.vm,
                token=attempt.token,
                timeout_s=remaining_s,
                may_send=may_send,
            )
        except StoreError as error:
            if error.outcome is not Outcome.UNKNOWN:
                raise
            logging.warning(
                "[failover] Promotion call wasn't answered. service=%s endpoint=%s "
                "error=%s",
                attempt.service,
                chosen.process,
                error,
            )
            self.unanswered_at_s = self.clock.now_s()
            return UNANSWERED_TIMEOUT_S
        finally:
            self.calls_in_flight -= 1
            if not self.calls_in_flight:
                self.has_no_calls.set()
        if not is_running:
            raise aborted(
                attempt.service,
                f"{chosen.process} isn't running",
                error=EndpointNotRunningError,
            )
        return PROMOTE_TIMEOUT_S

    def _is_leading(self, attempt: FailoverAttempt) -> bool:
        """Tell whether the leadership in which an attempt began still lasts."""
        return self.coordination.fencing_token() == attempt.token

    def _require_leading(self, attempt: FailoverAttempt) -> None:
        if not self._is_leading(attempt):
            raise aborted(attempt.service, "the leadership has ended")

    async def _give_up(self, attempt: FailoverAttempt, moving: GroupState) -> None:
        """Return to the former primary, unless a promotion may still take effect."""
        former = attempt.by_process.get(attempt.primary)
        if attempt.earlier_successor is not None or former is None:
            return
        await self._resume(attempt, except_for=attempt.primary)
        await self._store_stable(attempt, moving, former, moving.term)

    async def _wait_promoted(
        self, attempt: FailoverAttempt, chosen: EndpointEntry, timeout_s: float
    ) -> Term:
        deadline_s = self.clock.now_s() + timeout_s
        while self.clock.now_s() < deadline_s:
            status = await attempt.control.status(chosen.process)
            if status is None:
                raise aborted(attempt.service, f"{chosen.process} has no status")
            if status.role is Role.PRIMARY:
                return status.term
            await asyncio.sleep(POLL_INTERVAL_S)
        raise aborted(attempt.service, f"{chosen.process} did not become primary")

    async def _store_stable(
        self,
        attempt: FailoverAttempt,
        moving: GroupState,
        primary: EndpointEntry,
        term: Term,
    ) -> None:
        stable = msgspec.structs.replace(
            moving,
            epoch=moving.epoch + 1,
            phase=GroupPhase.STABLE,
            primary=primary.id,
            term=term,
            successor=None,
            is_incomplete=False,
        )
        while True:
            try:
                await self.coordination.write_group(stable)
            except StoreError as error:
                logging.warning(
                    "[failover] Storing the group state failed. error=%s", error
                )
                if error.code is ErrorCode.STORE_CONFLICT:
                    # Another leader has begun a failover of the service.
                    raise
                await asyncio.sleep(POLL_INTERVAL_S * 4)
                if not self._is_leading(attempt):
                    raise
            else:
                logging.info(
                    "[failover] Group state is stored. service=%s primary=%s term=%d",
                    stable.service,
                    primary.id,
                    term,
                )
                return

    async def _resume(
        self, attempt: FailoverAttempt, *, except_for: EndpointProcess | None
    ) -> None:
        """Let the replicas receive again, unless another leader may have paused them.

        A failover of the next leader relies on its own pauses.
        """
        if not self._is_leading(attempt):
            return
        await attempt.control.resume(
            p for p in attempt.control.endpoints if p != except_for
        )
