"""Components and checks that statements and transactions share at the owner."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder._owned_endpoints import OwnedEndpoints, not_owner
from ebonyladder.configuration import Policy
from ebonyladder.confirmation import Confirmer
from ebonyladder.gate import OwnerWriteGate
from ebonyladder.group import GroupMonitor, GroupView
from ebonyladder.kernel.error import EndpointError, ErrorCode, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing
from ebonyladder.types import EndpointId, GroupId, KeyDigest

# A VM that has just become the owner gets its endpoints' first reports in this time.
PRIMARY_WAIT_S = 1.0


class OwnerContext:
    """Components with which an owner runs statements at its endpoints.

    Parameters
    ----------
    kernel : Kernel
        Clock, tasks and the drain state.
    owned : OwnedEndpoints
        Queues and pools.
    groups : GroupMonitor
        Views of groups.
    keys : KeyRing
        Keys that are valid now.
    write_gate : OwnerWriteGate
        Holds writes and transactions during a switchover.
    """

    def __init__(
        self,
        *,
        kernel: Kernel,
        owned: OwnedEndpoints,
        groups: GroupMonitor,
        keys: KeyRing,
        write_gate: OwnerWriteGate,
    ) -> None:
        self.kernel = kernel
        self.clock = kernel.clock
        self.owned = owned
        self.groups = groups
        self.keys = keys
        self.write_gate = write_gate

    @property
    def policy(self) -> Policy:
        """Policy of the active configuration."""
        return self.owned.configuration.current.policy

    def remaining_s(self, deadline_s: float) -> float:
        """Return the seconds until a deadline, 0 if it has passed."""
        return max(0.0, deadline_s - self.clock.now_s())

    @asynccontextmanager
    async def until(
        self, deadline_s: float, step: Step, endpoint: EndpointId
    ) -> AsyncIterator[None]:
        """Bound a block by a deadline; raises ``EndpointError`` DEADLINE."""
        try:
            async with asyncio.timeout(self.remaining_s(deadline_s)):
                yield
        except TimeoutError:
            raise EndpointError(
                code=ErrorCode.DEADLINE, step=step, peer=endpoint
            ) from None

    def view(self, group: GroupId) -> GroupView:
        """Return the view of a group; raises ``RequestError`` NOT_OWNER."""
        view = self.groups.view_of(group)
        if view is None:
            raise not_owner(self.owned.ownership, group)
        return view

    def confirmer(self, view: GroupView) -> Confirmer:
        """Return the object that checks answers for a group."""
        return Confirmer(view=view, clock=self.clock)

    def require_key(self, digest: str, step: Step) -> None:
        """Refuse work whose key has been withdrawn since it was admitted."""
        if digest:
            self.keys.require_valid(KeyDigest(digest), step)

    def require_not_draining(self) -> None:
        """Raise ``RequestError`` DRAINING, not run, once the VM drains."""
        if self.kernel.draining:
            raise RequestError(
                code=ErrorCode.DRAINING,
                step=Step.ROUTE,
                peer=self.kernel.settings.vm,
                retry_after_s=0.0,
            )

    async def require_primary(
        self, view: GroupView, endpoint: EndpointId, deadline_s: float
    ) -> None:
        """Raise NO_PRIMARY, not run, unless the endpoint is the primary.

        Waits only while no primary of the group is known.
        """
        wait_s = min(PRIMARY_WAIT_S, self.remaining_s(deadline_s))
        await view.wait_until(lambda: view.primary is not None, wait_s)
        await self.confirmer(view).require_primary(endpoint, 0.0)
