"""State of a group and its primary, queried from the VMs that monitor the group."""

from typing import NamedTuple, cast

from ebonyladder.execution import StatementExecutor
from ebonyladder.hop import ANSWER_MARGIN_S
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.membership import Membership
from ebonyladder.messages import GroupStateAnswer, GroupStateRequest
from ebonyladder.ownership import Ownership
from ebonyladder.peer import PeerConnections
from ebonyladder.types import GroupId

GROUP_STATE_TTL_S = 1.0
GROUP_STATE_WAIT_S = 1.0


class _CachedState(NamedTuple):
    state: GroupStateAnswer
    expires_at_s: float


class GroupDirectory:
    """States of groups, cached for ``GROUP_STATE_TTL_S`` seconds.

    Parameters
    ----------
    executor : StatementExecutor
        Returns the states of the groups that this VM monitors.
    peers : PeerConnections
        Connections to the other monitors.
    membership : Membership
        View of the VMs; a monitor whose call fails is suspected there.
    ownership : Ownership
        Owners of endpoints, which are the monitors of their groups.
    clock : Clock
        Clock of the cache and of deadlines.
    """

    def __init__(
        self,
        *,
        executor: StatementExecutor,
        peers: PeerConnections,
        membership: Membership,
        ownership: Ownership,
        clock: Clock,
    ) -> None:
        self.executor = executor
        self.peers = peers
        self.membership = membership
        self.ownership = ownership
        self.clock = clock
        self.states: dict[GroupId, _CachedState] = {}

    def invalidate(self, group: GroupId) -> None:
        """Remove the cached state, after a failure that may be due to a change."""
        self.states.pop(group, None)

    async def state_of(self, group: GroupId, deadline_s: float) -> GroupStateAnswer:
        """Return the state of a group, from the cache or from a monitor.

        Raises
        ------
        EbonyladderError
            Error of the last monitor that was queried.
        """
        cached = self.states.get(group)
        now_s = self.clock.now_s()
        if cached is not None and cached.expires_at_s > now_s:
            return cached.state
        wait_s = min(GROUP_STATE_WAIT_S, max(0.0, deadline_s - now_s))
        state = await self._query_monitors(group, wait_s)
        self.states[group] = _CachedState(state, now_s + GROUP_STATE_TTL_S)
        return state

    async def _query_monitors(self, group: GroupId, wait_s: float) -> GroupStateAnswer:
        failure: EbonyladderError = RequestError(
            code=ErrorCode.NO_ENDPOINT,
            step=Step.ROUTE,
            peer=group,
            message=f"no VM monitors {group}",
            retry_after_s=1.0,
        )
        for monitor in self.ownership.monitors_of(group):
            try:
                if monitor == self.ownership.vm:
                    return await self.executor.group_state(group, wait_s=wait_s)
                request = GroupStateRequest(group=group, wait_s=wait_s)
                answer = await self.peers.call(
                    monitor, request, timeout_s=wait_s + ANSWER_MARGIN_S
                )
                return cast(GroupStateAnswer, answer)
            except EbonyladderError as error:
                self.membership.suspect(monitor)
                failure = error
        # A state request runs no statement, so its outcome is known even without an
        # answer.
        failure.outcome = Outcome.NOT_RUN
        raise failure
