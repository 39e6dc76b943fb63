"""Choice of the endpoint that takes over from a primary."""

import asyncio

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.failover_attempt import FailoverAttempt, aborted
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.log_survey import LogSurvey
from ebonyladder.types import EndpointProcess, EndpointState, Position, Role, Term

# Time for a replica to receive the log of a primary that has stepped down, in seconds.
CATCH_UP_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.05


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

    async def choose(self, attempt: FailoverAttempt) -> tuple[EndpointEntry, Position]:
        """Stop commits; return an endpoint that has every acknowledged one.

        The position is that of its log.
        """
        probes = attempt.control.endpoints
        term = Term(max(p.status.term for p in probes.values()) + 1)
        found = probes.get(attempt.primary)
        final_status = None
        if found is not None and found.status.role is Role.PRIMARY:
            final_status = await attempt.control.step_down(attempt.primary, term)
        if final_status is not None:
            survey = await self._survey_stepped_down(attempt, final_status.received)
        else:
            survey = await self._survey_paused(attempt, term)
        required = survey.required_position()
        self._log_survey(attempt, survey, required)
        if required is None:
            missing = ", ".join(survey.missing) or "any replica"
            raise aborted(attempt.service, f"no status of {missing}")
        chosen = survey.successor(
            lambda entry: self._cost(entry, attempt), required=required
        )
        if chosen is None:
            raise aborted(attempt.service, "no endpoint has the newest log")
        logging.info(
            "[failover] Successor is chosen. service=%s endpoint=%s required=%s "
            "basis=%s received=%s missing=%s stepped_down=%s",
            attempt.service,
            chosen.process,
            required,
            survey.basis.value,
            ",".join(f"{p}:{at}" for p, at in sorted(survey.received.items())),
            ",".join(survey.missing) or "-",
            final_status is not None,
        )
        return chosen, survey.received[chosen.process]

    def _log_survey(
        self, attempt: FailoverAttempt, survey: LogSurvey, required: Position | None
    ) -> None:
        """Log what the decision about the successor is made from."""
        listed = {e.process for e in self.cluster.members(attempt.service)}
        told = survey.acknowledged
        logging.info(
            "[failover] Logs are surveyed. service=%s basis=%s required=%s primary=%s "
            "unlisted=%s missing=%s lost=%s told=%s..%s all_told=%s "
            "members_read_s_ago=%.2f answers=%s",
            attempt.service,
            survey.basis.value,
            required or "-",
            survey.primary,
            ",".join(sorted(survey.holders.keys() - listed)) or "-",
            ",".join(survey.missing) or "-",
            ",".join(sorted(survey.lost)) or "-",
            told.lower,
            told.upper,
            survey.have_all_told,
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
            statuses = await attempt.control.statuses()
            received = {p: s.received for p, s in statuses.items()}
            received[attempt.primary] = final_position
            has_candidate = any(
                position >= final_position
                and self._is_active(attempt.by_process[process])
                for process, position in received.items()
                if process != attempt.primary
            )
            if has_candidate:
                return self._survey(attempt, received)
            if self.clock.now_s() >= deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        # A replica that had just joined may have registered by now.
        await self._add_members(attempt)
        statuses = await attempt.control.statuses()
        received = {p: s.received for p, s in statuses.items()}
        return self._survey(attempt, received | {attempt.primary: final_position})

    async def _survey_paused(self, attempt: FailoverAttempt, term: Term) -> LogSurvey:
        """Pause all replicas, also those that join meanwhile, and read their logs."""
        control = attempt.control
        paused: set[EndpointProcess] = set()
        while True:
            replicas = {
                process
                for process, probe in control.endpoints.items()
                if process != attempt.primary or probe.status.role is Role.REPLICA
            }
            if not replicas - paused:
                break
            paused |= (await control.pause(replicas - paused, term)).keys()
            if not replicas <= paused:
                break
            await self._add_members(attempt)
        # The pauses took effect one after the other, and a replica that was started
        # again since then has lost its pause together with its connection.
        statuses = await control.statuses()
        received = {
            process: statuses[process].received
            for process in paused
            if process in statuses and statuses[process].role is Role.REPLICA
        }
        return self._survey(attempt, received)

    def _survey(
        self, attempt: FailoverAttempt, received: dict[EndpointProcess, Position]
    ) -> LogSurvey:
        """Return the survey of the logs that were read."""
        group = self.cluster.groups[attempt.service]
        return attempt.survey(
            received,
            self.coordination.acknowledged(attempt.service),
            have_all_told=self.coordination.have_all_told(group),
        )

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
