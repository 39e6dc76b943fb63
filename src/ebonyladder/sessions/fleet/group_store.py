"""Group states in the store: written by the leader, read without one."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cluster_view import ClusterView, GroupState
from ebonyladder.sessions.fleet.leadership import Leadership
from ebonyladder.sessions.fleet.watchers import GroupWatcher
from ebonyladder.sessions.objects import GROUPS, ObjectStore
from ebonyladder.sessions.watch_manager import WatchManager

# Group states confirmed longer ago than this are read from the store, in seconds.
GROUP_STATE_REFRESH_S = 0.9


class GroupStore:
    """Reads and writes the group states.

    Parameters
    ----------
    store : ObjectStore
        Store with the states.
    cluster : ClusterView
        Receives the states and their confirmation.
    watcher : GroupWatcher
        Watch of the states, whose copy has their revisions.
    clock : Clock
        Clock of the confirmations.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        cluster: ClusterView,
        watcher: GroupWatcher,
        clock: Clock,
    ) -> None:
        self.store = store
        self.cluster = cluster
        self.watcher = watcher
        self.clock = clock

    async def write(self, group: GroupState) -> None:
        """Store a group state with a higher epoch, and apply it.

        Raises
        ------
        StoreError
            STORE_CONFLICT if another leader has changed the state.
        """
        latest = self.cluster.groups.get(group.service)
        if latest is not None and latest != group and latest.epoch >= group.epoch:
            raise StoreError(
                code=ErrorCode.STORE_CONFLICT,
                step=Step.STORE_WRITE,
                peer=group.service,
                message=f"epoch {latest.epoch} is stored",
                outcome=Outcome.NOT_RUN,
            )
        content = msgspec.to_builtins(group)
        known = self.watcher.objects.get(group.service)
        try:
            if known is None:
                found = await self.store.create(GROUPS, group.service, content)
            else:
                found = await self.store.replace(
                    GROUPS, group.service, content, known.revision
                )
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(GROUPS, group.service)
            # A retry conflicts with an earlier attempt whose answer was lost.
            if found is None or found.content != content:
                self.watcher.apply_object(group.service, found)
                raise
        self.watcher.objects[group.service] = found
        self.cluster.apply_group(group)

    async def read_all(self) -> bool:
        """Apply the group states in the store; False if it doesn't answer."""
        try:
            list_result = await self.store.list(GROUPS)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "[fleet] Groups could not be read. error=%s", 5, error
            )
            return False
        self.watcher.apply_list(list_result)
        return True

    async def refresh(
        self,
        *,
        watch_manager: WatchManager,
        leadership: Leadership,
        is_registered: Callable[[], Awaitable],
    ) -> None:
        """Confirm the group states from the store while no leader confirms them.

        Parameters
        ----------
        watch_manager : WatchManager
            Tells whether this VM still looks for its first leader.
        leadership : Leadership
            Tells whether the store has the latest group states.
        is_registered : callable
            Tells whether a failover would wait for this VM.
        """
        while True:
            await asyncio.sleep(GROUP_STATE_REFRESH_S / 4)
            sent_at_s = self.clock.now_s()
            is_recent = (
                sent_at_s - self.cluster.groups_confirmed_at_s < GROUP_STATE_REFRESH_S
            )
            if is_recent or not watch_manager.is_decided:
                continue
            if (
                leadership.may_trust_groups
                and await is_registered()
                and await self.read_all()
                # The store may have come back from an older copy meanwhile.
                and leadership.may_trust_groups
                and self.cluster.has_only_restored_groups
            ):
                self.cluster.record_groups_confirmed(sent_at_s)
            await asyncio.sleep(GROUP_STATE_REFRESH_S / 4)
