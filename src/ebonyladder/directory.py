"""Which endpoint of a group is primary, asked from the VMs that watch it."""

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

GROUP_STATE_CACHE_S = 1.0
GROUP_STATE_WAIT_S = 1.0


class _CachedState(NamedTuple):
    state: GroupStateAnswer
    until_s: float


class GroupDirectory:
    """States of groups, kept for a short time.

    Parameters
    ----------
    executor : StatementExecutor
        Answers for the groups that this VM watches.
    peers : PeerConnections
        Links to other watchers.
    membership : Membership
        Told of watchers that do not answer.
    ownership : Ownership
        Tells which VMs watch a group.
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

    def forget(self, group: GroupId) -> None:
        """Ask again at the next use, after a failure that may be a change."""
        self.states.pop(group, None)

    async def state_of(self, group: GroupId, deadline_s: float) -> GroupStateAnswer:
        """Return the state of a group, from a VM that watches it.

        Raises
        ------
        EbonyladderError
            The last watcher's error.
        """
        cached = self.states.get(group)
        now_s = self.clock.now_s()
        if cached is not None and cached.until_s > now_s:
            return cached.state
        wait_s = min(GROUP_STATE_WAIT_S, max(0.0, deadline_s - now_s))
        state = await self._ask_watchers(group, wait_s)
        self.states[group] = _CachedState(state, now_s + GROUP_STATE_CACHE_S)
        return state

    async def _ask_watchers(self, group: GroupId, wait_s: float) -> GroupStateAnswer:
        failure: EbonyladderError = RequestError(
            code=ErrorCode.NO_ENDPOINT,
            step=Step.ROUTE,
            peer=group,
            message=f"no VM watches {group}",
            retry_after_s=1.0,
        )
        for watcher in self.ownership.watchers_of(group):
            try:
                if watcher == self.ownership.vm:
                    return await self.executor.group_state(group, wait_s=wait_s)
                request = GroupStateRequest(group=group, wait_s=wait_s)
                answer = await self.peers.call(
                    watcher, request, timeout_s=wait_s + ANSWER_MARGIN_S
                )
                return cast(GroupStateAnswer, answer)
            except EbonyladderError as error:
                self.membership.suspect(watcher)
                failure = error
        # Asking for the state runs nothing, whatever became of the question.
        failure.outcome = Outcome.NOT_RUN
        raise failure
