"""Plug-in that keeps one primary in each monitored group."""

import asyncio
from collections.abc import Collection

from absl import logging

from ebonyladder._fencing import follow
from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.endpoint import EndpointDriver
from ebonyladder.group import GroupMonitor, GroupView
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.promotion import (
    PromotionBlocker,
    PromotionPolicy,
    WriteGate,
    new_promoter_id,
    promote_group,
    switch_over,
)
from ebonyladder.routing import rendezvous_order
from ebonyladder.types import EndpointId, GroupId, VmId

# A change of owners changes the monitored groups without a change of the configuration.
RECONCILE_INTERVAL_S = 1.0
# The VM of the next rank starts a switchover only after the VM before it had time to
# finish: 3 s for transactions and 2 s to catch up.
SWITCHOVER_RANK_DELAY_S = 6.0
SWITCHOVER_BACKOFF_S = 5.0


class GroupController:
    """Control loop that keeps one primary in one group.

    Parameters
    ----------
    view : GroupView
        This VM's view of the group.
    policy : PromotionPolicy
        Conditions under which this VM promotes in the group.
    plugin : PromotionPlugin
        Plug-in that gives access to the other components.
    """

    def __init__(
        self, *, view: GroupView, policy: PromotionPolicy, plugin: "PromotionPlugin"
    ) -> None:
        self.view = view
        self.policy = policy
        self.plugin = plugin
        self.switchover_due_at_s: float | None = None

    async def run(self) -> None:
        """Check the group at each change and when a wait of the policy ends."""
        while True:
            changed = self.view.changed
            recheck_at_s = await self._reconcile()
            await self._wait(changed, recheck_at_s)

    async def _wait(self, changed: asyncio.Event, recheck_at_s: float | None) -> None:
        delay_s = None
        if recheck_at_s is not None:
            delay_s = max(recheck_at_s - self.policy.clock.now_s(), 0.0)
        try:
            async with asyncio.timeout(delay_s):
                await changed.wait()
        except TimeoutError:
            pass

    async def _reconcile(self) -> float | None:
        """Run due actions; return the time of the next check, if known."""
        rank = self.plugin.rank(self.view)
        if rank is None:
            return None
        check = self.policy.check(rank=rank)
        if check.blocker is PromotionBlocker.NONE:
            await self._promote(rank)
            return self.policy.clock.now_s()
        for endpoint in self.policy.stale_endpoints(rank=rank):
            await self._follow(endpoint)
        return self._earlier(check.recheck_at_s, await self._switch_over_if_due(rank))

    @staticmethod
    def _earlier(one: float | None, other: float | None) -> float | None:
        return min((t for t in (one, other) if t is not None), default=None)

    async def _promote(self, rank: int) -> None:
        term = self.policy.next_term()
        self.policy.record_attempt(term)
        logging.info(
            "[promotion] Promotion begins. group=%s term=%d", self.view.group, term
        )
        try:
            await promote_group(
                view=self.view,
                driver=self.plugin.driver,
                term=term,
                promoter=new_promoter_id(self.policy.vm),
                in_service=self.plugin.in_service(self.view),
                preferred=self.policy.reachable_primary(),
            )
        except EbonyladderError as error:
            logging.warning("[promotion] Promotion failed. error=%s", error)
            self.policy.record_failed_attempt(rank=rank)
            return
        self.policy.record_promotion()
        self.plugin.groups.notify(self.view.group)

    async def _follow(self, endpoint: EndpointId) -> None:
        primary = self.view.primary
        if primary is not None:
            await follow(
                view=self.view,
                driver=self.plugin.driver,
                endpoint=endpoint,
                primary=primary,
                term=self.view.term,
            )

    async def _switch_over_if_due(self, rank: int) -> float | None:
        in_service = self.plugin.in_service(self.view)
        primary = self.view.primary
        if primary is None or primary in in_service or not in_service:
            self.switchover_due_at_s = None
            return None
        now_s = self.policy.clock.now_s()
        if self.switchover_due_at_s is None:
            switchover_rank = self.plugin.switchover_rank(self.view, primary, rank)
            self.switchover_due_at_s = now_s + switchover_rank * SWITCHOVER_RANK_DELAY_S
        if now_s < self.switchover_due_at_s:
            return self.switchover_due_at_s
        self.switchover_due_at_s = now_s + SWITCHOVER_BACKOFF_S
        await self._switch_over(in_service)
        return self.switchover_due_at_s

    async def _switch_over(self, in_service: Collection[EndpointId]) -> None:
        logging.info("[promotion] Switchover begins. group=%s", self.view.group)
        try:
            await switch_over(
                view=self.view,
                driver=self.plugin.driver,
                gate=self.plugin.gate,
                policy=self.policy,
                in_service=in_service,
            )
        except EbonyladderError as error:
            logging.warning("[promotion] Switchover failed. error=%s", error)
            return
        self.policy.record_promotion()
        self.plugin.groups.notify(self.view.group)


@register
class PromotionPlugin(Plugin):
    """Run one controller for each group of which this VM owns an endpoint."""

    name = "promotion"
    requires = (
        GroupMonitor,
        EndpointDriver,
        Membership,
        ConfigurationSource,
        WriteGate,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm
        self.controllers: dict[GroupId, GroupController] = {}
        self.tasks: dict[GroupId, asyncio.Task] = {}

    async def start(self) -> None:
        """Start to control the monitored groups."""
        self.groups = self.kernel.get(GroupMonitor)
        self.driver = self.kernel.get(EndpointDriver)
        self.membership = self.kernel.get(Membership)
        self.configuration = self.kernel.get(ConfigurationSource)
        self.gate = self.kernel.get(WriteGate)
        self.configuration.subscribe(self._notify_controllers)
        self.kernel.supervise(self._run_controllers, name="promotion")

    async def drain(self) -> None:
        """Stop all controllers; another VM completes a promotion in flight."""
        for group in list(self.tasks):
            self._stop_controller(group)

    def rank(self, view: GroupView) -> int | None:
        """Return this VM's rank among the owners of the group's endpoints."""
        order = rendezvous_order(view.group, self._owners(view))
        return order.index(self.vm) if self.vm in order else None

    def switchover_rank(self, view: GroupView, primary: EndpointId, rank: int) -> int:
        """Return the rank for switchovers; the primary's owner is first."""
        spec = self.configuration.current.endpoints.get(primary)
        owner = self.membership.owner_of(primary, spec.zone) if spec else None
        return 0 if owner == self.vm else rank + 1

    def in_service(self, view: GroupView) -> frozenset[EndpointId]:
        """Return the group's endpoints that accept new work."""
        current = self.configuration.current
        return frozenset(
            name
            for name in view.endpoints
            if name in current.endpoints and current.is_endpoint_in_service(name)
        )

    def _owners(self, view: GroupView) -> set[VmId]:
        specs = self.configuration.current.endpoints
        owners = {
            self.membership.owner_of(name, specs[name].zone)
            for name in view.endpoints
            if name in specs
        }
        return {owner for owner in owners if owner is not None}

    def _notify_controllers(self, _: Configuration) -> None:
        for controller in self.controllers.values():
            controller.view.notify_changed()

    async def _run_controllers(self) -> None:
        while not self.kernel.draining:
            self.reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def reconcile(self) -> None:
        """Run a controller for each monitored group; restart those that failed."""
        views = {view.group: view for view in self.groups.views()}
        for group, controller in list(self.controllers.items()):
            if views.get(group) is not controller.view or self.tasks[group].done():
                self._stop_controller(group)
        for group, view in views.items():
            if group not in self.controllers:
                self._start_controller(view)

    def _start_controller(self, view: GroupView) -> None:
        policy = PromotionPolicy(view=view, vm=self.vm, clock=self.kernel.clock)
        controller = GroupController(view=view, policy=policy, plugin=self)
        self.controllers[view.group] = controller
        self.tasks[view.group] = self.kernel.spawn(
            controller.run(), name=f"promotion {view.group}"
        )

    def _stop_controller(self, group: GroupId) -> None:
        self.controllers.pop(group, None)
        self.tasks.pop(group).cancel()
