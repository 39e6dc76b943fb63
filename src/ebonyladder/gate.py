"""Gate that holds the writes and transactions of a group at its owner."""

import asyncio
from abc import abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.promotion import WriteGate
from ebonyladder.types import GroupId


class GroupGate:
    """Gate for the writes and transactions of one group on this VM.

    Parameters
    ----------
    group : GroupId
        Group; errors name it as their peer.

    Attributes
    ----------
    in_flight : int
        Writes and transactions that have begun and not ended.
    close_count : int
        Number of times that the gate was closed.
    """

    def __init__(self, *, group: GroupId) -> None:
        self.group = group
        self.in_flight = 0
        self.close_count = 0
        self.opened = asyncio.Event()
        self.opened.set()
        self.idle = asyncio.Event()
        self.idle.set()

    async def begin_work(self, wait_s: float) -> None:
        """Begin a write or transaction; wait while the gate is closed.

        Raises
        ------
        RequestError
            NO_PRIMARY, not run, if it is closed for more than ``wait_s`` seconds.
        """
        if not self.opened.is_set():
            try:
                async with asyncio.timeout(wait_s):
                    # The gate can close again before this task runs.
                    while not self.opened.is_set():
                        await self.opened.wait()
            except TimeoutError:
                raise RequestError(
                    code=ErrorCode.NO_PRIMARY,
                    step=Step.SWITCHOVER,
                    peer=self.group,
                    outcome=Outcome.NOT_RUN,
                    retry_after_s=1.0,
                ) from None
        self.in_flight += 1
        self.idle.clear()

    def end_work(self) -> None:
        """End a write or transaction that has begun."""
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()

    async def close(self, timeout_s: float) -> bool:
        """Hold new writes; tell whether those in flight ended in ``timeout_s``."""
        self.close_count += 1
        self.opened.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return False
        return True

    def open(self) -> None:
        """Admit writes again, also those that wait."""
        self.opened.set()


class OwnerWriteGate(WriteGate):
    """Write gate with the operations that the owner of an endpoint uses."""

    @abstractmethod
    def gate_of(self, group: GroupId) -> GroupGate:
        """Return the gate of a group on this VM."""

    @asynccontextmanager
    async def write(self, group: GroupId, wait_s: float) -> AsyncIterator[None]:
        """Count a write as in flight within the block."""
        gate = self.gate_of(group)
        await gate.begin_work(wait_s)
        try:
            yield
        finally:
            gate.end_work()
