"""Plug-in that monitors the groups of which this VM owns an endpoint."""

import asyncio
from functools import partial
from typing import ClassVar

from absl import logging

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.endpoint import EndpointDriver, ReportStream
from ebonyladder.group import GroupMonitor, GroupView
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


class MonitoredGroup:
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
class OwnedGroupMonitor(Plugin, GroupMonitor):
    """Keep one report stream open to each endpoint of the monitored groups."""

    name: ClassVar[str] = "group-watch"
    provides: ClassVar[tuple[type, ...]] = (GroupMonitor,)
    requires: ClassVar[tuple[type, ...]] = (
        EndpointDriver,
        Membership,
        ConfigurationSource,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.monitored: dict[GroupId, MonitoredGroup] = {}

    async def start(self) -> None:
        """Start the task that adapts the monitored groups to the ownership."""
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
        self.kernel.supervise(self._run_reconciliation, name="follow-ownership")

    def views(self) -> list[GroupView]:
        """Return the views, by group name."""
        return [monitored.view for _, monitored in sorted(self.monitored.items())]

    def view_of(self, group: GroupId) -> GroupView | None:
        """Return the view of one group; None if it is not monitored."""
        monitored = self.monitored.get(group)
        return monitored.view if monitored else None

    def notify(self, group: GroupId) -> None:
        """Notify the tasks that wait for a change of the group."""
        if group in self.monitored:
            self.monitored[group].view.notify_changed()

    async def _run_reconciliation(self) -> None:
        while True:
            self.reconcile_needed.clear()
            self._reconcile()
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self.reconcile_needed.wait()
            except TimeoutError:
                pass

    def _reconcile(self) -> None:
        """Monitor the currently owned groups with their current endpoints.

        A group that is no longer owned stays monitored while its view is in use.
        """
        configuration = self.ownership.configuration.current
        owned = {
            group: {
                endpoint: configuration.endpoints[endpoint].address
                for endpoint in configuration.groups[group].endpoints
            }
            for group in self.ownership.owned_groups()
        }
        for group, monitored in list(self.monitored.items()):
            if group not in owned and monitored.view.references:
                continue
            if owned.get(group) != monitored.view.endpoints:
                self._stop_monitoring(group)
        for group, endpoints in owned.items():
            if group not in self.monitored:
                self._start_monitoring(group, endpoints)

    def _start_monitoring(
        self, group: GroupId, endpoints: dict[EndpointId, Address]
    ) -> None:
        monitored = MonitoredGroup(view=GroupView(group=group, endpoints=endpoints))
        self.monitored[group] = monitored
        for endpoint, address in endpoints.items():
            monitored.tasks.append(
                self.kernel.supervise(
                    partial(self._read_reports, monitored, endpoint, address),
                    name=f"reports-{endpoint}",
                )
            )
        monitored.tasks.append(
            self.kernel.supervise(
                partial(self._probe, monitored), name=f"probe-{group}"
            )
        )
        logging.info("[groups] Started to monitor the group. group=%s", group)

    def _stop_monitoring(self, group: GroupId) -> None:
        for task in self.monitored.pop(group).tasks:
            task.cancel()
        logging.info("[groups] Stopped monitoring the group. group=%s", group)

    async def _read_reports(
        self, monitored: MonitoredGroup, endpoint: EndpointId, address: Address
    ) -> None:
        """Read the report stream of one endpoint; reconnect whenever it ends."""
        clock, view = self.kernel.clock, monitored.view
        while True:
            try:
                stream = await self.driver.open_report_stream(
                    endpoint=endpoint, address=address
                )
            except EndpointError as error:
                view.record_disconnect(endpoint, clock.now_s())
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "[groups] Report stream could not be opened. error=%s",
                    5,
                    error,
                )
                await asyncio.sleep(RECONNECT_BACKOFF_S)
                continue
            monitored.streams[endpoint] = stream
            try:
                async for report in stream.reports():
                    view.record_report(report, clock.now_s())
            finally:
                monitored.streams.pop(endpoint, None)
                view.record_disconnect(endpoint, clock.now_s())
                await stream.close()
            await asyncio.sleep(RECONNECT_BACKOFF_S)

    async def _probe(self, monitored: MonitoredGroup) -> None:
        """Probe the positions periodically, for reads with bounded staleness."""
        while True:
            number = monitored.view.start_probe(self.kernel.clock.now_s())
            for stream in list(monitored.streams.values()):
                await stream.probe(number)
            await asyncio.sleep(PROBE_INTERVAL_S)
