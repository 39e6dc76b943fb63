"""Plug-in that watches the groups of which this VM owns an endpoint."""

import asyncio
from typing import ClassVar

from absl import logging

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.endpoint import EndpointDriver, ReportStream
from ebonyladder.group import GroupView, GroupWatch
from ebonyladder.kernel.error import EndpointError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.ownership import Ownership
from ebonyladder.types import Address, EndpointId, GroupId

RECONCILE_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 0.25
RECONNECT_BACKOFF_S = 0.1


class WatchedGroup:
    """View of one group and the tasks that update it.

    Attributes
    ----------
    view : GroupView
        State of the group.
    streams : dict of EndpointId to ReportStream
        Open report streams.
    tasks : list of asyncio.Task
        One task for each endpoint and one for the position probes.
    """

    def __init__(self, *, view: GroupView) -> None:
        self.view = view
        self.streams: dict[EndpointId, ReportStream] = {}
        self.tasks: list[asyncio.Task] = []


@register
class OwnedGroupWatch(Plugin, GroupWatch):
    """Keeps one report stream to each endpoint of the watched groups."""

    name: ClassVar[str] = "group-watch"
    provides: ClassVar[tuple[type, ...]] = (GroupWatch,)
    requires: ClassVar[tuple[type, ...]] = (
        EndpointDriver,
        Membership,
        ConfigurationSource,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.watched: dict[GroupId, WatchedGroup] = {}

    async def start(self) -> None:
        """Start to follow changes of ownership."""
        self.driver = self.kernel.get(EndpointDriver)
        self.ownership = Ownership(
            vm=self.kernel.settings.vm,
            membership=self.kernel.get(Membership),
            configuration=self.kernel.get(ConfigurationSource),
            clock=self.kernel.clock,
        )
        self.reconcile_needed = asyncio.Event()
        self.kernel.get(ConfigurationSource).subscribe(
            lambda _: self.reconcile_needed.set()
        )
        self.kernel.spawn(self._follow_ownership(), name="follow-ownership")

    def views(self) -> list[GroupView]:
        """Return the views, by group name."""
        return [watched.view for _, watched in sorted(self.watched.items())]

    def view_of(self, group: GroupId) -> GroupView | None:
        """Return the view of one group, None if it is not watched."""
        watched = self.watched.get(group)
        return watched.view if watched else None

    def notify(self, group: GroupId) -> None:
        """Notify the tasks that wait for a change of the group."""
        if group in self.watched:
            self.watched[group].view.notify_changed()

    async def _follow_ownership(self) -> None:
        while True:
            self.reconcile_needed.clear()
            self._reconcile()
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self.reconcile_needed.wait()
            except TimeoutError:
                pass

    def _reconcile(self) -> None:
        """Watch the currently owned groups with their current endpoints."""
        configuration = self.ownership.configuration.current
        wanted = {
            group: {
                endpoint: configuration.endpoints[endpoint].address
                for endpoint in configuration.groups[group].endpoints
            }
            for group in self.ownership.owned_groups()
        }
        for group, watched in list(self.watched.items()):
            if group not in wanted and watched.view.references:
                continue
            if wanted.get(group) != watched.view.endpoints:
                self._unwatch(group)
        for group, endpoints in wanted.items():
            if group not in self.watched:
                self._watch(group, endpoints)

    def _watch(self, group: GroupId, endpoints: dict[EndpointId, Address]) -> None:
        watched = WatchedGroup(view=GroupView(group=group, endpoints=endpoints))
        self.watched[group] = watched
        for endpoint, address in endpoints.items():
            watched.tasks.append(
                self.kernel.spawn(
                    self._read_reports(watched, endpoint, address),
                    name=f"reports-{endpoint}",
                )
            )
        watched.tasks.append(
            self.kernel.spawn(self._probe(watched), name=f"probe-{group}")
        )
        logging.info("[groups] Group is watched. group=%s", group)

    def _unwatch(self, group: GroupId) -> None:
        for task in self.watched.pop(group).tasks:
            task.cancel()
        logging.info("[groups] Group is no longer watched. group=%s", group)

    async def _read_reports(
        self, watched: WatchedGroup, endpoint: EndpointId, address: Address
    ) -> None:
        """Keep the report stream of one endpoint open and record its reports."""
        clock, view = self.kernel.clock, watched.view
        while True:
            try:
                stream = await self.driver.watch(endpoint=endpoint, address=address)
            except EndpointError as error:
                view.record_disconnect(endpoint, clock.now_s())
                logging.log_every_n_seconds(
                    logging.WARNING, "[groups] No report stream. error=%s", 5, error
                )
                await asyncio.sleep(RECONNECT_BACKOFF_S)
                continue
            watched.streams[endpoint] = stream
            try:
                async for report in stream.reports():
                    view.record_report(report, clock.now_s())
            finally:
                watched.streams.pop(endpoint, None)
                view.record_disconnect(endpoint, clock.now_s())
                await stream.close()
            await asyncio.sleep(RECONNECT_BACKOFF_S)

    async def _probe(self, watched: WatchedGroup) -> None:
        """Probe the positions for reads with bounded staleness."""
        while True:
            number = watched.view.start_probe(self.kernel.clock.now_s())
            for stream in list(watched.streams.values()):
                await stream.probe(number)
            await asyncio.sleep(PROBE_INTERVAL_S)
