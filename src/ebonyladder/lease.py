"""Leases in the platform's store, taken and renewed by conditional update."""

from enum import Enum

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.store import PlatformStore, StoredObject
from ebonyladder.types import Incarnation, VmId

# A taker waits this much longer than the duration, relative to it, because the
# clocks of two machines may run at slightly different speeds.
CLOCK_DRIFT = 0.001
REMEMBERED_ATTEMPTS = 16
NEVER_S = float("-inf")


class LeaseState(Enum):
    """Tell whether the store names this process as the holder."""

    SEEKING = "seeking"
    HELD = "held"


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a lease in the store.

    Attributes
    ----------
    nonce : str
        Random text of one ``Lease`` object; tells apart two processes that
        were started with the same VM name and incarnation.
    attempt : int
        Number of the write; tells which of several unanswered writes counted.
    released : bool
        The holder has given the lease up; it can be taken at once.
    """

    vm: VmId
    incarnation: Incarnation
    nonce: str
    attempt: int
    released: bool = False


class Lease:
    """One lease, seen from one VM; used by a single task.

    The holder counts the end from before it sent the write. A taker counts
    from after it first read a version, so the taker's wait always ends later.

    Parameters
    ----------
    store : PlatformStore
        Store that has the record.
    clock : Clock
        Clock of this VM.
    key : str
        Key of the record.
    duration_s : float
        Seconds for which one write holds the lease; the same on all VMs.
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
        duration_s: float,
        vm: VmId,
        incarnation: Incarnation,
        nonce: str,
    ) -> None:
        self.store = store
        self.clock = clock
        self.key = key
        self.duration_s = duration_s
        self.vm = vm
        self.incarnation = incarnation
        self.nonce = nonce
        self.state = LeaseState.SEEKING
        self.is_observed = False
        self.record: LeaseRecord | None = None
        self.version = 0
        self.seen_s = NEVER_S
        self.end_s = NEVER_S
        self.attempt = 0
        self.release_attempt = 0
        self.sent_s: dict[int, float] = {}

    def is_valid(self) -> bool:
        """Tell whether the lease is held and has not ended on this clock."""
        return self.state is LeaseState.HELD and self.clock.now_s() < self.end_s

    def seen_holder(self) -> VmId | None:
        """Return the holder, None unless it wrote within the duration."""
        if self.record is None or self.record.released:
            return None
        is_recent = self.clock.now_s() < self.seen_s + self.duration_s
        return self.record.vm if is_recent else None

    def wait_left_s(self) -> float:
        """Return the seconds until this VM may take the lease."""
        if self.record is None or self.record.released:
            return 0.0
        wait_s = self.duration_s * (1 + CLOCK_DRIFT)
        return max(0.0, self.seen_s + wait_s - self.clock.now_s())

    async def observe(self) -> None:
        """Read the record; raises ``StoreError`` STORE_UNAVAILABLE."""
        self._note(await self.store.get(self.key))
        self.is_observed = True

    async def watch(self, *, wait_s: float) -> None:
        """Wait up to ``wait_s`` seconds for a newer record."""
        changed = await self.store.watch(
            self.key, after_version=self.version, wait_s=wait_s
        )
        if changed is not None:
            self._note(changed)

    async def take(self) -> None:
        """Take the lease, which must have ended or been released.

        Raises
        ------
        StoreError
            LEASE_LOST if the wait is not over or another VM was faster;
            STORE_UNAVAILABLE if it is not known whether it was taken.
        """
        if self.wait_left_s() > 0:
            raise self._lost(Step.LEASE_TAKE)
        await self._write(Step.LEASE_TAKE)

    async def renew(self) -> None:
        """Extend the lease; also after its end, if nobody has taken it.

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
        """Give the lease up; it is not valid from the moment of the call.

        If the store does not answer, the write may still arrive later. The
        lease then stays invalid until a renewal has succeeded, because that
        makes the late write fail.

        Raises
        ------
        StoreError
            LEASE_LOST if another VM has it; STORE_UNAVAILABLE if it is not
            known whether it was released.
        """
        self.end_s = NEVER_S
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
        self.sent_s[self.attempt] = self.clock.now_s()
        self.sent_s.pop(self.attempt - REMEMBERED_ATTEMPTS, None)
        try:
            version = await self.store.put(
                self.key, value, expected_version=self.version
            )
        except StoreError as error:
            await self._settle(step, error)
        else:
            self._note(StoredObject(key=self.key, value=value, version=version))

    async def _settle(self, step: Step, error: StoreError) -> None:
        """Read again to learn whether an unanswered or refused write counted."""
        await self.observe()
        if self._is_mine() and self.record.attempt == self.attempt:
            return
        if error.code is not ErrorCode.STORE_CONFLICT:
            raise error
        if not self._is_mine():
            raise self._lost(step) from error
        # An earlier write of this lease arrived late, so its version is newer
        # than the one this write expected; a release has to be sent again.
        if step is Step.LEASE_RELEASE:
            raise StoreError(
                code=ErrorCode.STORE_UNAVAILABLE, step=step, peer="store"
            ) from error

    def _note(self, stored: StoredObject | None) -> None:
        """Adopt what the store has; a new version restarts the taker's wait."""
        version = stored.version if stored else 0
        if version != self.version:
            self.version = version
            self.seen_s = self.clock.now_s()
        self.record = (
            msgspec.json.decode(stored.value, type=LeaseRecord) if stored else None
        )
        if not self._is_mine() or self.record.released:
            self.state = LeaseState.SEEKING
            self.end_s = NEVER_S
            return
        self.state = LeaseState.HELD
        attempt = self.record.attempt
        if attempt > self.release_attempt and attempt in self.sent_s:
            self.end_s = self.sent_s[attempt] + self.duration_s

    def _is_mine(self) -> bool:
        record = self.record
        return record is not None and (
            record.vm,
            record.incarnation,
            record.nonce,
        ) == (self.vm, self.incarnation, self.nonce)

    def _lost(self, step: Step) -> StoreError:
        holder = self.record.vm if self.record else ""
        return StoreError(code=ErrorCode.LEASE_LOST, step=step, peer=holder)
