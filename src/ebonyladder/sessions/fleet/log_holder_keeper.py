"""Log holders in the store: kept up to date by the leader, read by the next one.

An endpoint that isn't listed any more may still run: its entry expires if it is cut
from the store, and it goes on receiving and acknowledging. So a holder is dropped only
if its process is known to have ended and a replica holds what the primary held after
that.
"""

import asyncio
from collections.abc import Collection
from enum import Enum

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.connection import EndpointConnector
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.sessions.log_holders import LogHolders, is_covered
from ebonyladder.sessions.objects import LOG_HOLDERS, ObjectStore, StoreObject
from ebonyladder.sessions.watcher import convert_content
from ebonyladder.types import EndpointProcess, ServiceId

# Interval between attempts to update the holders of a service, in seconds.
UPDATE_INTERVAL_S = 1.0
# Longest wait for a replica to receive what the primary held when it was asked, in
# seconds.
CATCH_UP_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.05
# Interval between questions to an unlisted holder, in seconds: short at first, since
# the address of an endpoint that has left refuses connections only for a while.
MIN_PROBE_INTERVAL_S = 0.3
MAX_PROBE_INTERVAL_S = 5.0


class EndEvidence(Enum):
    """What showed that the process of a log holder has ended."""

    NOT_LISTENING = "not-listening"
    RESTARTED = "restarted"
    # Another leader has stored that it ended.
    STORED = "stored"


class LogHolderKeeper:
    """Log holders of all services.

    Parameters
    ----------
    cluster : ClusterView
        Listed endpoints and groups.
    store : ObjectStore
        Store with the holders, so that they outlast a change of the leader.
    connector : EndpointConnector
        Opens connections to endpoints.
    clock : Clock
        Clock of the intervals.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        store: ObjectStore,
        connector: EndpointConnector,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.store = store
        self.connector = connector
        self.clock = clock
        self.objects: dict[ServiceId, StoreObject] = {}
        # Holders as stored, and as this VM knows them: a write may fail or be due.
        self.recorded: dict[ServiceId, LogHolders] = {}
        self.known: dict[ServiceId, LogHolders] = {}
        self.next_update_at_s: dict[ServiceId, float] = {}
        # Time at which this VM first knew of each holder, -inf for those that another
        # leader had stored: this one can't know for how long they have been listed.
        self.known_since_s: dict[EndpointProcess, float] = {}
        # Unlisted holders whose processes have ended, with what showed it.
        self.ended: dict[EndpointProcess, EndEvidence] = {}
        self.next_probe_at_s: dict[EndpointProcess, float] = {}
        self.probe_interval_s: dict[EndpointProcess, float] = {}

    async def load(self) -> bool:
        """Read the holders from the store; False if it doesn't answer."""
        try:
            found = await self.store.list(LOG_HOLDERS)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Log holders could not be read. error=%s",
                5,
                error,
            )
            return False
        for stored in found.objects:
            self._apply(stored)
        for service in self.recorded.keys() - {stored.name for stored in found.objects}:
            # The store has lost them, so they are stored again.
            self.recorded.pop(service)
            self.objects.pop(service, None)
        return True

    def record_return(self) -> None:
        """Keep the listed endpoints as holders before the list is read again.

        A store that has come back from an older copy lacks what joined since, until it
        registers again; one that has ended meanwhile never does.
        """
        for service in {entry.service for entry in self.cluster.endpoints.values()}:
            self.current(service)

    def current(self, service: ServiceId) -> LogHolders:
        """Return the holders that are known or listed."""
        return self.record_listed(service, self.cluster.members(service))

    def record_listed(
        self, service: ServiceId, listed: Collection[EndpointEntry]
    ) -> LogHolders:
        """Add listed endpoints to the holders, and return these.

        They stay holders if they are unlisted before they could be stored.
        """
        known = self.known.get(service, LogHolders(service=service))
        self.known[service] = known.with_listed(listed)
        now_s = self.clock.now_s()
        for entry in listed:
            self.known_since_s.setdefault(entry.process, now_s)
        return self.known[service]

    def due(self) -> list[ServiceId]:
        """Return the services whose holders have to be stored, probed or dropped."""
        now_s = self.clock.now_s()
        for entry in self.cluster.endpoints.values():
            self._forget(entry.process)
        services = {entry.service for entry in self.cluster.endpoints.values()}
        return [
            service
            for service in sorted(services)
            if self._must_update(service)
            and (
                now_s >= self.next_update_at_s.get(service, now_s)
                or self._to_probe(service)
            )
        ]

    def _must_update(self, service: ServiceId) -> bool:
        """Tell whether a holder isn't stored or has departed."""
        holders = self._to_store(service)
        recorded = self.recorded.get(service, LogHolders(service=service))
        departed = holders.departed(self.cluster.members(service))
        return bool(departed) or not holders.has_same_processes(recorded)

    def _to_store(self, service: ServiceId) -> LogHolders:
        """Return the holders with those that are known to have ended."""
        return msgspec.structs.replace(
            self.current(service), ended=tuple(sorted(self.ended_processes(service)))
        )

    async def update(self, service: ServiceId, *, may_remove: bool) -> None:
        """Record the listed endpoints; drop departed ones once they aren't needed.

        Parameters
        ----------
        may_remove : bool
            Whether the list of endpoints is up to date.
        """
        self.next_update_at_s[service] = self.clock.now_s() + UPDATE_INTERVAL_S
        await self._probe_departed(service)
        if may_remove and self._ended(service) and await self._is_covered(service):
            self._drop_ended(service)
        holders = self._to_store(service)
        recorded = self.recorded.get(service, LogHolders(service=service))
        if holders.has_same_processes(recorded):
            return
        try:
            await self._write(holders)
        except StoreError as error:
            logging.info(
                "[fleet] Log holders could not be stored. service=%s error=%s",
                service,
                error,
            )
            return
        logging.info(
            "[fleet] Log holders are stored. service=%s holders=%s",
            service,
            ",".join(entry.process for entry in holders.endpoints),
        )

    def ended_processes(self, service: ServiceId) -> frozenset[EndpointProcess]:
        """Return the departed holders whose processes have ended."""
        return frozenset(entry.process for entry in self._ended(service))

    def _ended(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the departed holders whose processes have ended."""
        departed = self.current(service).departed(self.cluster.members(service))
        return [entry for entry in departed if entry.process in self.ended]

    def _drop_ended(self, service: ServiceId) -> None:
        """Drop the ended holders, except those that are listed again."""
        ended = self._ended(service)
        self.known[service] = self.current(service).without(ended)
        logging.info(
            "[fleet] Log holders are dropped. service=%s holders=%s",
            service,
            ",".join(f"{e.process}:{self.ended[e.process].value}" for e in ended),
        )
        for entry in ended:
            self._forget(entry.process)
            self.known_since_s.pop(entry.process, None)

    def _to_probe(self, service: ServiceId) -> list[EndpointEntry]:
        """Return the departed holders that are to be asked whether they still run."""
        now_s = self.clock.now_s()
        return [
            entry
            for entry in self.current(service).departed(self.cluster.members(service))
            if entry.process not in self.ended
            and now_s >= self.next_probe_at_s.get(entry.process, now_s)
        ]

    async def _probe_departed(self, service: ServiceId) -> None:
        """Look for evidence that the processes of departed holders have ended."""
        listed = {entry.id: entry for entry in self.cluster.members(service)}
        to_probe = self._to_probe(service)
        for entry in to_probe:
            interval_s = self.probe_interval_s.get(entry.process, MIN_PROBE_INTERVAL_S)
            self.next_probe_at_s[entry.process] = self.clock.now_s() + interval_s
            self.probe_interval_s[entry.process] = min(
                2 * interval_s, MAX_PROBE_INTERVAL_S
            )
        # A newer process answers at the address of an earlier one.
        restarted = [
            entry
            for entry in to_probe
            if entry.id in listed
            and listed[entry.id].process_started_at_ms > entry.process_started_at_ms
        ]
        asked = [entry for entry in to_probe if entry.id not in listed]
        control = EndpointControl(connector=self.connector)
        try:
            await control.probe(asked)
        finally:
            control.close()
        found = {entry.process: EndEvidence.RESTARTED for entry in restarted} | {
            entry.process: EndEvidence.NOT_LISTENING
            for entry in asked
            if entry.process in control.gone
        }
        for process, evidence in found.items():
            self.ended[process] = evidence
            logging.info(
                "[fleet] Log holder has ended. service=%s endpoint=%s evidence=%s",
                service,
                process,
                evidence.value,
            )

    def _forget(self, process: EndpointProcess) -> None:
        """Forget what is known of the end of a holder."""
        self.ended.pop(process, None)
        self.next_probe_at_s.pop(process, None)
        self.probe_interval_s.pop(process, None)

    async def _is_covered(self, service: ServiceId) -> bool:
        """Tell whether a replica holds all that ended holders had acknowledged."""
        listed = self.cluster.members(service)
        primary = self.cluster.primary(service)
        if primary is None:
            return False
        control = EndpointControl(connector=self.connector)
        try:
            await control.probe([primary])
            probe = control.endpoints.get(primary.process)
            if probe is None:
                return False
            await control.probe(e for e in listed if e.process != primary.process)
            deadline_s = self.clock.now_s() + CATCH_UP_TIMEOUT_S
            while True:
                statuses = await control.statuses()
                statuses.pop(primary.process, None)
                if is_covered(probe.status, statuses.values()):
                    logging.info(
                        "[fleet] Ended log holders are covered. service=%s answers=%s",
                        primary.service,
                        control.describe(entry.process for entry in listed),
                    )
                    return True
                if self.clock.now_s() >= deadline_s:
                    return False
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            control.close()

    async def _write(self, holders: LogHolders) -> None:
        content = msgspec.to_builtins(holders)
        known = self.objects.get(holders.service)
        try:
            if known is None:
                found = await self.store.create(LOG_HOLDERS, holders.service, content)
            else:
                found = await self.store.replace(
                    LOG_HOLDERS, holders.service, content, known.revision
                )
        except StoreError as error:
            if error.code is ErrorCode.STORE_CONFLICT:
                stored = await self.store.get(LOG_HOLDERS, holders.service)
                if stored is None:
                    self.objects.pop(holders.service, None)
                    self.recorded.pop(holders.service, None)
                else:
                    self._apply(stored)
            raise
        self.objects[holders.service] = found
        self.recorded[holders.service] = holders

    def _apply(self, stored: StoreObject) -> None:
        """Apply stored holders; an entry that another writer made invalid is kept out.

        Its revision is kept, so that the next update replaces it.
        """
        former = self.objects.get(ServiceId(stored.name))
        self.objects[ServiceId(stored.name)] = stored
        holders = convert_content(stored, LogHolders)
        if holders is None:
            return
        for entry in holders.endpoints:
            self.known_since_s.setdefault(entry.process, float("-inf"))
        for process in holders.ended:
            self.ended.setdefault(process, EndEvidence.STORED)
        known = self.record_listed(holders.service, holders.endpoints)
        before = self.recorded.get(holders.service, holders)
        is_later_era = former is not None and (
            former.revision < self.cluster.era_start < stored.revision
        )
        # What another leader has dropped since then had ended. A copy lacks what was
        # stored after it was taken.
        dropped = [] if is_later_era else before.departed(holders.endpoints)
        self.known[holders.service] = known.without(dropped)
        self.recorded[holders.service] = holders
