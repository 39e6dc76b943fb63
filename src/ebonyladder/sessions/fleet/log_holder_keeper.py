"""Log holders in the store: kept up to date by the leader, read by the next one."""

import asyncio
from collections.abc import Collection

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
# A holder that has been unlisted for this long is gone for good, in seconds: several
# times as long as a crashed database usually needs to come back with its log.
LOST_TIMEOUT_S = 20.0


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
        self.recorded: dict[ServiceId, LogHolders] = {}
        self.next_update_at_s: dict[ServiceId, float] = {}
        self.absent_since_s: dict[EndpointProcess, float] = {}

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
        return True

    def current(self, service: ServiceId) -> LogHolders:
        """Return the holders that are recorded or listed."""
        recorded = self.recorded.get(service, LogHolders(service=service))
        return recorded.with_listed(self.cluster.members(service))

    def lost(self, service: ServiceId) -> frozenset[EndpointProcess]:
        """Return the holders that have been unlisted for the lost timeout."""
        oldest_s = self.clock.now_s() - LOST_TIMEOUT_S
        absent = self.current(service).departed(self.cluster.members(service))
        return frozenset(
            entry.process
            for entry in absent
            if self.absent_since_s.get(entry.process, self.clock.now_s()) <= oldest_s
        )

    def departed_since_s(self, service: ServiceId) -> float:
        """Return when the first holder that isn't listed was missed, now for none."""
        absent = self.current(service).departed(self.cluster.members(service))
        now_s = self.clock.now_s()
        return min(
            (self.absent_since_s.get(entry.process, now_s) for entry in absent),
            default=now_s,
        )

    def due(self) -> list[ServiceId]:
        """Return the services whose recorded holders differ from those listed."""
        now_s = self.clock.now_s()
        services = {entry.service for entry in self.cluster.endpoints.values()}
        return [
            service
            for service in sorted(services)
            if now_s >= self.next_update_at_s.get(service, now_s)
            and not self.recorded.get(
                service, LogHolders(service=service)
            ).has_same_processes(
                LogHolders(
                    service=service, endpoints=tuple(self.cluster.members(service))
                )
            )
        ]

    async def update(self, service: ServiceId, *, may_remove: bool) -> None:
        """Record the listed endpoints; remove departed ones once they aren't needed.

        Parameters
        ----------
        may_remove : bool
            Whether the list of endpoints is up to date.
        """
        self.next_update_at_s[service] = self.clock.now_s() + UPDATE_INTERVAL_S
        listed = self.cluster.members(service)
        target = self.current(service)
        departed = target.departed(listed)
        for entry in listed:
            self.absent_since_s.pop(entry.process, None)
        for entry in departed:
            self.absent_since_s.setdefault(entry.process, self.clock.now_s())
        if departed and may_remove and await self._is_covered(listed, departed):
            target = target.without(departed)
            logging.info(
                "[fleet] Log holders are dropped. service=%s holders=%s",
                service,
                ",".join(
                    f"{e.process}:unlisted/"
                    f"{self.clock.now_s() - self.absent_since_s[e.process]:.2f}s"
                    for e in departed
                ),
            )
        recorded = self.recorded.get(service, LogHolders(service=service))
        if target.has_same_processes(recorded):
            return
        try:
            await self._write(target)
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
            ",".join(entry.process for entry in target.endpoints),
        )

    async def _is_covered(
        self, listed: Collection[EndpointEntry], departed: Collection[EndpointEntry]
    ) -> bool:
        """Tell whether a replica holds all that the departed had acknowledged."""
        primary = self.cluster.primary(listed[0].service)
        if primary is None:
            return False
        listed_ids = {entry.id for entry in listed}
        control = EndpointControl(connector=self.connector)
        try:
            await control.probe(e for e in departed if e.id not in listed_ids)
            if control.endpoints:
                # An entry can expire while its endpoint goes on receiving.
                return False
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
                        "[fleet] Departed log holders are covered. service=%s "
                        "departed=%s answers=%s",
                        primary.service,
                        ",".join(entry.process for entry in departed),
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
                else:
                    self._apply(stored)
            raise
        self.objects[holders.service] = found
        self.recorded[holders.service] = holders

    def _apply(self, stored: StoreObject) -> None:
        """Apply stored holders; an entry that another writer made invalid is kept out.

        Its revision is kept, so that the next update replaces it.
        """
        self.objects[ServiceId(stored.name)] = stored
        holders = convert_content(stored, LogHolders)
        if holders is not None:
            self.recorded[holders.service] = holders
