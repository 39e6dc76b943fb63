"""Leases in the platform's store, acquired and renewed by conditional update."""

from enum import Enum

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.store import PlatformStore, StoredObject
from ebonyladder.types import Incarnation, VmId

# A contender waits longer than the TTL by this fraction of it, because the clocks
# of two VMs may run at slightly different speeds.
CLOCK_DRIFT = 0.001
# Number of writes whose send time is kept, as an unanswered write can take effect
# after later attempts.
MAX_RECORDED_ATTEMPTS = 16
NEVER_S = float("-inf")


class LeaseState(Enum):
    """Whether the record in the store names this process as the holder."""

    NOT_HELD = "seeking"
    HELD = "held"


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a lease in the store.

    Attributes
    ----------
    nonce : str
        Random text of one ``Lease`` object; tells apart two processes that
        were started with the same VM name and incarnation.
    attempt : int
        Number of the write; tells which of several unanswered writes took
        effect.
    released : bool
        The holder has released the lease; it can be acquired immediately.
    """

    vm: VmId
    incarnation: Incarnation
    nonce: str
    attempt: int
    released: bool = False


class Lease:
    """One lease as one VM holds or awaits it; used by a single task.

    The holder counts the TTL from before it sends the write. A contender counts
    it from after it first reads a version, so its wait always ends later.

    Parameters
    ----------
    store : PlatformStore
        Store that has the record.
    clock : Clock
        Clock of this VM.
    key : str
        Key of the record.
    ttl_s : float
        Seconds for which one write makes the lease valid; the same on all VMs.
    vm : VmId
        This VM.
    incarnation : Incarnation
        Start number of this daemon.
    nonce : str
        Random text, new for each ``Lease`` object.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        clock: Clock,
        key: str,
        ttl_s: float,
        vm: VmId,
        incarnation: Incarnation,
        nonce: str,
    ) -> None:
        self.store = store
        self.clock = clock
        self.key = key
        self.ttl_s = ttl_s
        self.vm = vm
        self.incarnation = incarnation
        self.nonce = nonce
        self.state = LeaseState.NOT_HELD
        self.is_read = False
        self.record: LeaseRecord | None = None
        self.version = 0
        self.version_seen_at_s = NEVER_S
        self.expires_at_s = NEVER_S
        self.attempt = 0
        self.release_attempt = 0
        self.write_sent_at_s: dict[int, float] = {}

    def is_valid(self) -> bool:
        """Tell whether the lease is held and has not expired on this clock."""
        return self.state is LeaseState.HELD and self.clock.now_s() < self.expires_at_s

    def current_holder(self) -> VmId | None:
        """Return the holder, None if its last write is older than the TTL."""
        if self.record is None or self.record.released:
            return None
        is_recent = self.clock.now_s() < self.version_seen_at_s + self.ttl_s
        return self.record.vm if is_recent else None

    def takeover_wait_s(self) -> float:
        """Return the seconds until this VM may acquire the lease."""
        if self.record is None or self.record.released:
            return 0.0
        wait_s = self.ttl_s * (1 + CLOCK_DRIFT)
        return max(0.0, self.version_seen_at_s + wait_s - self.clock.now_s())

    async def read(self) -> None:
        """Read the record; raises ``StoreError`` STORE_UNAVAILABLE."""
        self._apply(await self.store.get(self.key))
        self.is_read = True

    async def watch(self, *, wait_s: float) -> None:
        """Wait up to ``wait_s`` seconds for a newer record."""
        changed = await self.store.watch(
            self.key, after_version=self.version, wait_s=wait_s
        )
        if changed is not None:
            self._apply(changed)

    async def acquire(self) -> None:
        """Acquire the lease, which must have expired or been released.

        Raises
        ------
        StoreError
            LEASE_LOST if the wait is not over or another VM has acquired it;
            STORE_UNAVAILABLE if it is not known whether it was acquired.
        """
        if self.takeover_wait_s() > 0:
            raise self._lost(Step.LEASE_TAKE)
        await self._write(Step.LEASE_TAKE)

    async def renew(self) -> None:
        """Extend the lease, also after it expired if no other VM acquired it.

        Raises
        ------
        StoreError
            LEASE_LOST if another VM has it; STORE_UNAVAILABLE if it is not
            known whether it was extended.
        """
        if self.state is not LeaseState.HELD:
            raise self._lost(Step.LEASE_RENEW)
        await self._write(Step.LEASE_RENEW)

    async def release(self) -> None:
        """Release the lease; it is invalid from the moment of the call.

        If the store does not answer, the write may still arrive later. The
        lease then stays invalid until a renewal has succeeded, because that
        makes the late write fail.

        Raises
        ------
        StoreError
            LEASE_LOST if another VM has it; STORE_UNAVAILABLE if it is not
            known whether it was released.
        """
        self.expires_at_s = NEVER_S
        if self.state is not LeaseState.HELD:
            raise self._lost(Step.LEASE_RELEASE)
        self.release_attempt = self.attempt + 1
        await self._write(Step.LEASE_RELEASE)

    async def _write(self, step: Step) -> None:
        self.attempt += 1
        record = LeaseRecord(
            vm=self.vm,
            incarnation=self.incarnation,
            nonce=self.nonce,
            attempt=self.attempt,
            released=step is Step.LEASE_RELEASE,
        )
        value = msgspec.json.encode(record)
        self.write_sent_at_s[self.attempt] = self.clock.now_s()
        self.write_sent_at_s.pop(self.attempt - MAX_RECORDED_ATTEMPTS, None)
        try:
            version = await self.store.put(
                self.key, value, expected_version=self.version
            )
        except StoreError as error:
            await self._resolve_write(step, error)
        else:
            self._apply(StoredObject(key=self.key, value=value, version=version))

    async def _resolve_write(self, step: Step, error: StoreError) -> None:
        """Read again to learn whether an unanswered or refused write took effect."""
        await self.read()
        if self._is_own_record() and self.record.attempt == self.attempt:
            return
        if error.code is not ErrorCode.STORE_CONFLICT:
            raise error
        if not self._is_own_record():
            raise self._lost(step) from error
        # An earlier write of this lease arrived late, so its version is newer
        # than the one this write expected; a release has to be sent again.
        if step is Step.LEASE_RELEASE:
            raise StoreError(
                code=ErrorCode.STORE_UNAVAILABLE, step=step, peer="store"
            ) from error

    def _apply(self, stored: StoredObject | None) -> None:
        """Apply the stored record; a new version restarts a contender's wait."""
        version = stored.version if stored else 0
        if version != self.version:
            self.version = version
            self.version_seen_at_s = self.clock.now_s()
        self.record = (
            msgspec.json.decode(stored.value, type=LeaseRecord) if stored else None
        )
        if not self._is_own_record() or self.record.released:
            self.state = LeaseState.NOT_HELD
            self.expires_at_s = NEVER_S
            return
        self.state = LeaseState.HELD
        attempt = self.record.attempt
        if attempt > self.release_attempt and attempt in self.write_sent_at_s:
            self.expires_at_s = self.write_sent_at_s[attempt] + self.ttl_s

    def _is_own_record(self) -> bool:
        record = self.record
        return record is not None and (
            record.vm,
            record.incarnation,
            record.nonce,
        ) == (self.vm, self.incarnation, self.nonce)

    def _lost(self, step: Step) -> StoreError:
        holder = self.record.vm if self.record else ""
        return StoreError(code=ErrorCode.LEASE_LOST, step=step, peer=holder)
