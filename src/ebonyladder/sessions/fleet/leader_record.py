"""Leader record in the store: read, acquired, renewed and released."""

import asyncio
from collections.abc import Callable

import msgspec
from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.sessions.fleet.leadership import (
    LEADER_NAME,
    NO_REVISION,
    LeaderRecord,
    Leadership,
)
from ebonyladder.sessions.objects import LEADERS, ObjectStore, StoreObject
from ebonyladder.sessions.watcher import convert_content
from ebonyladder.types import Address

# Interval of attempts to release the leadership, in seconds.
RELEASE_RETRY_INTERVAL_S = 0.3


class LeaderRecordStore:
    """Exchanges the leader record between the store and this VM's ``Leadership``.

    Parameters
    ----------
    store : ObjectStore
        Store with the record.
    leadership : Leadership
        Decides whether this VM may take over; receives what is read and written.
    address : Address
        Address of this VM for others, which the record names.
    clock : Clock
        Clock of the writes.
    spawn : callable
        Runs a coroutine as a named task.
    on_acquired : callable
        Called when this VM becomes the leader.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        leadership: Leadership,
        address: Address,
        clock: Clock,
        spawn: Callable[..., asyncio.Task[None]],
        on_acquired: Callable[[], None],
    ) -> None:
        self.store = store
        self.leadership = leadership
        self.address = address
        self.clock = clock
        self.spawn = spawn
        self.on_acquired = on_acquired
        self.renewal: asyncio.Task[None] | None = None

    async def read(self) -> bool:
        """Read the record; False if the store doesn't answer."""
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Leader record could not be read. error=%s",
                5,
                error,
            )
            return False
        if found is None:
            self.leadership.apply_record(None, self.leadership.revision)
        else:
            self._apply(found)
        return True

    async def take_over(self) -> None:
        """Acquire the leader lease; the result is recorded even if cancelled."""
        await asyncio.shield(self.spawn(self._write(), name="takeover"))

    def renew(self) -> None:
        """Renew the record in a task of its own, unless a renewal is running.

        A store that hangs must not delay the leader's other work.
        """
        if self.renewal is None or self.renewal.done():
            self.leadership.record_renewal_attempt()
            self.renewal = self.spawn(self._write(), name="renewal")

    def resume(self) -> None:
        """Take the leadership again that the store has lost, in a task of its own."""
        is_idle = self.renewal is None or self.renewal.done()
        if is_idle and self.leadership.needs_resumption():
            self.leadership.record_renewal_attempt()
            self.renewal = self.spawn(self._resume(), name="resumption")

    async def _resume(self) -> None:
        if await self.read() and self.leadership.is_resumable:
            await self._write()

    async def release(self) -> None:
        """Release the leadership, however many attempts the store needs."""
        while True:
            if await self._release_once():
                return
            await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)

    async def _release_once(self) -> bool:
        """Mark the record as released, so that another VM takes over immediately.

        This VM stops leading before that, since a write without an answer may take
        effect, and then another VM leads; it goes on leading while the store doesn't
        even answer a read. Returns False if the store may still name this VM.
        """
        if not await self.read():
            return False
        if not self.leadership.is_named:
            return True
        self.leadership.is_releasing = True
        released = msgspec.structs.replace(self.leadership.record, is_released=True)
        content = msgspec.to_builtins(released)
        try:
            found = await self.store.replace(
                LEADERS, LEADER_NAME, content, self.leadership.revision
            )
        except StoreError as error:
            logging.warning("[fleet] Leadership could not be released. error=%s", error)
            return False
        self.leadership.apply_record(released, found.revision)
        logging.info("[fleet] Leadership is released. token=%d", released.token)
        return True

    async def _write(self) -> None:
        """Acquire or renew the leader lease by a conditional write."""
        try:
            store_revision = NO_REVISION
            if not self.leadership.is_stored:
                store_revision = (await self.store.list(LEADERS)).as_of
                if store_revision < self.leadership.era_start:
                    return
            is_resumed = self.leadership.is_resumable
            record = self.leadership.next_record(
                self.address, store_revision=store_revision
            )
            sent_at_s = self.clock.now_s()
            content = msgspec.to_builtins(record)
            if not self.leadership.is_stored:
                found = await self.store.create(LEADERS, LEADER_NAME, content)
            else:
                found = await self.store.replace(
                    LEADERS, LEADER_NAME, content, self.leadership.revision
                )
        except StoreError as error:
            logging.info("[fleet] Leader record could not be written. error=%s", error)
            if error.code is ErrorCode.STORE_CONFLICT:
                await self._reread()
            return
        was_named = self.leadership.is_named
        self.leadership.record_renewal(
            record, found.revision, sent_at_s, is_resumed=is_resumed
        )
        if not was_named and self.leadership.is_named:
            logging.info(
                "[fleet] Leadership is acquired. token=%d resumed=%s",
                record.token,
                is_resumed,
            )
            self.on_acquired()

    async def _reread(self) -> None:
        """Read the holder of the leader lease after a conflict.

        The record may be this process's own write whose answer was lost; that doesn't
        make the leader lease valid, since the time of that write isn't known.
        """
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.info("[fleet] Leader record could not be read. error=%s", error)
            return
        if found is not None:
            self._apply(found)

    def _apply(self, found: StoreObject) -> None:
        record = convert_content(found, LeaderRecord)
        if record is None:
            self.leadership.apply_unreadable_record(found.revision)
        else:
            self.leadership.apply_record(record, found.revision)
