"""Choice of the endpoint that takes over from a primary."""

import asyncio
from collections.abc import Mapping

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.connection import EndpointStatus
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.sessions.failover_attempt import FailoverAttempt, aborted
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.log_survey import LogSurvey
from ebonyladder.sessions.lost_logs import LostLogs
from ebonyladder.types import EndpointProcess, EndpointState, Position, Role, Term

# Time for a replica to receive the log of a primary that has stepped down, in seconds.
CATCH_UP_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.05
# An endpoint that starts again without its log answers under its old entry until it has
# registered. The list of members is read this long after the connections were opened,
# in seconds, so that it names the processes that answer.
REGISTRATION_TIME_S = 0.5
# Time within which a database that joins has received a log, in seconds.
FIRST_RECEIPT_TIME_S = 1.0
# Interval between checks for endpoints that have to be fenced, in seconds.
FENCE_INTERVAL_S = 0.1


class SuccessorChooser:
    """Stops the commits of a service and chooses the next primary.

    Parameters
    ----------
    cluster : ClusterView
        Closed zones and the zone of this VM.
    coordination : FailoverCoordination
        Reads the members of the service.
    clock : Clock
        Clock of the timeouts.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        coordination: FailoverCoordination,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.coordination = coordination
        self.clock = clock
        self.lost_logs = LostLogs(cluster=cluster, clock=clock)

    async def choose(self, attempt: FailoverAttempt) -> tuple[EndpointEntry, Position]:
        """Stop commits; return an endpoint that has every acknowledged one.

        The position is that of its log.
        """
        probes = attempt.control.endpoints
        if not probes:
            raise aborted(attempt.service, "no endpoint answers any more")
        attempt.term = Term(max(p.status.term for p in probes.values()) + 1)
        await self._let_earlier_successor_catch_up(attempt)
        final_positions = await self._step_down_primaries(attempt)
        if attempt.primary in final_positions:
            final_position = final_positions[attempt.primary]
            survey = await self._survey_stepped_down(attempt, final_position)
            attempt.fenced = {attempt.primary: final_position}
        else:
            survey = await self._survey_paused(attempt)
            attempt.fenced = dict(survey.received)
        required = survey.required_position()
        self._log_survey(attempt, survey, required)
        if required is None:
            missing = ", ".join(survey.missing) or "any replica"
            raise aborted(attempt.service, f"no status of {missing}")
        chosen = survey.successor(
            lambda entry: self._cost(entry, attempt), required=required
        )
        earlier = attempt.earlier_successor
        if earlier is not None and earlier != attempt.primary:
            # Its promotion may still take effect, so no other endpoint is promoted.
            eligible = {entry.process for entry in survey.eligible(required)}
            chosen = attempt.by_process[earlier] if earlier in eligible else None
        if chosen is None:
            raise aborted(attempt.service, f"no endpoint may lead from {required}")
        logging.info(
            "[failover] Successor is chosen. service=%s endpoint=%s required=%s "
            "basis=%s received=%s missing=%s stepped_down=%s",
            attempt.service,
            chosen.process,
            required,
            survey.basis.value,
            ",".join(f"{p}:{at}" for p, at in sorted(survey.received.items())),
            ",".join(survey.missing) or "-",
            attempt.has_stepped_down,
        )
        return chosen, survey.received[chosen.process]

    async def is_current(
        self, attempt: FailoverAttempt, chosen: EndpointEntry, position: Position
    ) -> bool:
        """Tell whether nothing that the survey rests on has changed since.

        Storing the successor takes up to seconds in a slow store. A replica that joins
        or starts again meanwhile isn't paused.
        """
        surveyed = attempt.by_process.keys()
        positions = {chosen.process: position, **attempt.fenced}
        _, statuses = await asyncio.gather(
            self._add_members(attempt), attempt.control.current_statuses(positions)
        )
        changed = [p for p in attempt.by_process if p not in surveyed]
        for process, fenced_at in positions.items():
            status = statuses.get(process)
            if (
                status is None
                or status.role is not Role.REPLICA
                or status.received < fenced_at
                or (process in attempt.fenced and status.received > fenced_at)
            ):
                changed.append(process)
        if changed:
            logging.info(
                "[failover] Survey is out of date. service=%s changed=%s answers=%s",
                attempt.service,
                ",".join(changed),
                attempt.control.describe(changed),
            )
        return not changed

    async def keep_fenced(
        self, attempt: FailoverAttempt, chosen: EndpointEntry
    ) -> None:
        """Keep other endpoints from receiving until the promotion takes effect.

        Handles replicas that join or start again after the survey, and a former primary
        that can be reached again. The successor receives from the call on.
        """
        running: dict[EndpointProcess, asyncio.Task[None]] = {}
        resuming: asyncio.Task[bool] | None = None
        async with asyncio.TaskGroup() as group:
            while self.coordination.fencing_token() == attempt.token:
                attempt.control.discard_closed()
                members = self.cluster.members(attempt.service)
                attempt.holders = attempt.holders.with_listed(members)
                fenced = attempt.control.endpoints.keys() | {chosen.process}
                for entry in attempt.holders.latest:
                    is_running = entry.process in running and (
                        not running[entry.process].done()
                    )
                    if entry.process not in fenced and not is_running:
                        running[entry.process] = group.create_task(
                            self._fence(attempt, entry)
                        )
                must_resume = attempt.is_requested and not attempt.has_stepped_down
                if must_resume and (
                    resuming is None or (resuming.done() and not resuming.result())
                ):
                    resuming = group.create_task(self._resume(attempt, chosen))
                await asyncio.sleep(FENCE_INTERVAL_S)

    @staticmethod
    async def _resume(attempt: FailoverAttempt, chosen: EndpointEntry) -> bool:
        """Let the successor receive; return whether it does.

        Its log holds what it acknowledges. If it stayed paused, it would lack what a
        replica that joins meanwhile receives from a primary that is silent to this VM,
        and what that primary holds when it steps down. The attempt's own connections
        are left alone, since the status of the successor is requested over them.
        """
        control = EndpointControl(connector=attempt.control.connector)
        try:
            await control.probe([chosen])
            return chosen.process in await control.resume([chosen.process])
        finally:
            control.close()

    @staticmethod
    async def _fence(attempt: FailoverAttempt, entry: EndpointEntry) -> None:
        """Pause a replica, or make a primary step down, if it answers."""
        control = attempt.control
        await control.probe([entry])
        found = control.endpoints.get(entry.process)
        if found is None:
            return
        term = Term(max(attempt.term, found.status.term + 1))
        if found.status.role is Role.PRIMARY:
            is_fenced = await control.step_down(entry.process, term) is not None
        elif not attempt.has_stepped_down:
            is_fenced = entry.process in await control.pause([entry.process], term)
        else:
            is_fenced = True
        if not is_fenced:
            # It is tried again over another connection.
            found.connection.close()
            return
        logging.info(
            "[failover] Endpoint is fenced after the survey. service=%s answer=%s",
            attempt.service,
            control.describe([entry.process]),
        )

    async def _let_earlier_successor_catch_up(self, attempt: FailoverAttempt) -> None:
        """Let the only endpoint that may be promoted receive what the primary has.

        It is paused since the earlier attempt, and a primary that has stepped down
        sends nothing more. So this one steps down only once the successor has its log.
        """
        control = attempt.control
        primary = control.endpoints.get(attempt.primary)
        earlier = attempt.earlier_successor
        if (
            earlier not in control.endpoints
            or primary is None
            or primary.status.role is not Role.PRIMARY
        ):
            return
        others = control.endpoints.keys() - {attempt.primary, earlier}
        await control.pause(others, attempt.term)
        await control.resume([earlier])
        deadline_s = self.clock.now_s() + CATCH_UP_TIMEOUT_S
        while True:
            current = await control.current_statuses([attempt.primary])
            sent = current.get(attempt.primary)
            received = await control.status(earlier)
            if sent is None or received is None or received.received >= sent.received:
                return
            if self.clock.now_s() >= deadline_s:
                raise aborted(
                    attempt.service,
                    f"{earlier} hasn't received the log up to {sent.received}",
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _step_down_primaries(
        self, attempt: FailoverAttempt
    ) -> dict[EndpointProcess, Position]:
        """Make all primaries step down; return the final positions of their logs."""
        primaries = [
            process
            for process, probe in attempt.control.endpoints.items()
            if probe.status.role is Role.PRIMARY
        ]
        statuses = await asyncio.gather(
            *(attempt.control.step_down(p, attempt.term) for p in primaries)
        )
        return {
            process: status.received
            for process, status in zip(primaries, statuses, strict=True)
            if status is not None and status.role is Role.REPLICA
        }

    def _log_survey(
        self, attempt: FailoverAttempt, survey: LogSurvey, required: Position | None
    ) -> None:
        """Log what the decision about the successor is made from."""
        listed = {e.process for e in self.cluster.members(attempt.service)}
        logging.info(
            "[failover] Logs are surveyed. service=%s basis=%s required=%s primary=%s "
            "unlisted=%s missing=%s known=%s members_read_s_ago=%.2f answers=%s",
            attempt.service,
            survey.basis.value,
            required or "-",
            survey.primary,
            ",".join(sorted(survey.holders.keys() - listed)) or "-",
            ",".join(survey.missing) or "-",
            survey.known,
            self.clock.now_s() - attempt.members_read_at_s,
            attempt.control.describe(survey.holders),
        )

    async def _survey_stepped_down(
        self, attempt: FailoverAttempt, final_position: Position
    ) -> LogSurvey:
        """Wait until a replica has the log of a primary that has stepped down."""
        await self._add_members(attempt)
        deadline_s = self.clock.now_s() + CATCH_UP_TIMEOUT_S
        while True:
            received = await self._read_current(attempt)
            has_candidate = any(
                position >= final_position
                and self._is_active(attempt.by_process[process])
                for process, position in received.items()
                if process != attempt.primary
            )
            if has_candidate or self.clock.now_s() >= deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        if not has_candidate:
            # A replica that had just joined may have registered by now.
            await self._add_members(attempt)
            received = await self._read_current(attempt)
        received[attempt.primary] = final_position
        return self._survey(attempt, received)

    @staticmethod
    async def _read_current(
        attempt: FailoverAttempt,
    ) -> dict[EndpointProcess, Position]:
        """Return the log positions of the replicas that answer."""
        control = attempt.control
        return replica_positions(await control.current_statuses(control.endpoints))

    async def _survey_paused(self, attempt: FailoverAttempt) -> LogSurvey:
        """Pause all replicas, also those that join meanwhile, and read their logs."""
        control = attempt.control
        paused: set[EndpointProcess] = set()
        has_waited = False
        while True:
            replicas = {
                process
                for process, probe in control.endpoints.items()
                if process != attempt.primary or probe.status.role is Role.REPLICA
            }
            if not replicas - paused:
                break
            paused |= (await control.pause(replicas - paused, attempt.term)).keys()
            if not replicas <= paused:
                break
            if not has_waited:
                await self._wait_registered(attempt)
                has_waited = True
            await self._add_members(attempt)
            # A pause has an effect only in a term above the replica's. The status of a
            # paused one may have the pause's term.
            newest_term = max(
                (
                    probe.status.term
                    for process, probe in control.endpoints.items()
                    if process not in paused or probe.status.term > attempt.term
                ),
                default=Term(0),
            )
            if newest_term >= attempt.term:
                attempt.term = Term(newest_term + 1)
                paused.clear()
        # The pauses took effect one after the other, and a replica that was started
        # again since then has lost its pause together with its connection. An answer
        # that is older than the last pause is found by ``is_current``.
        received = replica_positions(await control.statuses())
        return self._survey(
            attempt,
            {
                process: position
                for process, position in received.items()
                if process in paused
                # A primary that started again without its log has no final position.
                and (process != attempt.primary or position.position)
            },
        )

    def _survey(
        self, attempt: FailoverAttempt, received: dict[EndpointProcess, Position]
    ) -> LogSurvey:
        """Return the survey of the logs that were read."""
        known = self.coordination.acknowledged(attempt.service)
        # What callers were told is forgotten if all VMs end, the group state isn't.
        inherited = self.cluster.groups[attempt.service].inherited or known
        has_commits = any(at.position for at in (known, inherited, *received.values()))
        return LogSurvey(
            primary=attempt.primary,
            holders=attempt.by_process,
            received={
                process: position
                for process, position in received.items()
                if not has_commits or self._is_of(process, position, attempt)
            },
            known=known,
            pending=attempt.earlier_successor,
            gone=self.lost_logs.record(
                attempt,
                ended=self.coordination.ended_log_holders(attempt.service),
                empty=frozenset(
                    process
                    for process, at in received.items()
                    if has_commits and not at.position and process != attempt.primary
                ),
            ),
        )

    def _is_of(
        self, process: EndpointProcess, position: Position, attempt: FailoverAttempt
    ) -> bool:
        """Tell whether a position that was read may be that of a listed process.

        A connection names only the endpoint, so a process that has started again
        without its log answers under the entry of the one before. It is recognized if
        the list names the new one, by a log that is shorter than it was, of which only
        the end of an older term than the primary's may have been rolled back, or by an
        empty log of an endpoint that has been listed for long.
        """
        known_s = self.clock.now_s() - self.coordination.known_since_s(process)
        has_lost_log = not position.position and known_s > FIRST_RECEIPT_TIME_S
        latest = {entry.process for entry in attempt.holders.latest}
        seen = self.cluster.seen.get(process)
        group = self.cluster.groups[attempt.service]
        is_shorter = seen is not None and seen.term >= group.term and position < seen
        return process in latest and not is_shorter and not has_lost_log

    @staticmethod
    async def _wait_registered(attempt: FailoverAttempt) -> None:
        """Wait until the processes that answer must have registered."""
        opened_at_s = [p.opened_at_s for p in attempt.control.endpoints.values()]
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(opened_at_s) + REGISTRATION_TIME_S - now_s)

    async def _add_members(self, attempt: FailoverAttempt) -> None:
        """Probe the endpoints that joined the service since the attempt began."""
        read_at_s = self.clock.now_s()
        members = await self.coordination.read_members(attempt.service)
        attempt.members_read_at_s = read_at_s
        known = attempt.by_process
        attempt.holders = attempt.holders.with_listed(members)
        await attempt.control.probe(m for m in members if m.process not in known)

    def _is_active(self, entry: EndpointEntry) -> bool:
        return (
            entry.state is EndpointState.ACTIVE
            and entry.zone not in self.cluster.closed_zones
        )

    def _cost(
        self, entry: EndpointEntry, attempt: FailoverAttempt
    ) -> tuple[bool, bool, bool, str]:
        """Prefer active endpoints of open zones, then those of this VM's zone.

        An endpoint that leaves may have the only copy of a commit; as the primary it
        passes its log on before another failover replaces it.
        """
        return (
            entry.process == attempt.primary,
            not self._is_active(entry),
            entry.zone != self.cluster.zone,
            entry.id,
        )


def replica_positions(
    statuses: Mapping[EndpointProcess, EndpointStatus],
) -> dict[EndpointProcess, Position]:
    """Return the log positions of the replicas among endpoints."""
    return {
        process: status.received
        for process, status in statuses.items()
        if status.role is Role.REPLICA
    }
