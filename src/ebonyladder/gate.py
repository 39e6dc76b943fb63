"""Gate that every write and transaction of a group passes at its owner."""

import asyncio
from abc import abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.promotion import WriteGate
from ebonyladder.types import GroupId


class GroupGate:
    """Writes and transactions of one group on this VM.

    Parameters
    ----------
    group : GroupId
        Group, the peer in errors.

    Attributes
    ----------
    under_way : int
        Writes and transactions that passed and have not ended.
    closings : int
        Number of times that the gate was closed.
    """

    def __init__(self, *, group: GroupId) -> None:
        self.group = group
        self.under_way = 0
        self.closings = 0
        self.opened = asyncio.Event()
        self.opened.set()
        self.idle = asyncio.Event()
        self.idle.set()

    async def enter(self, wait_s: float) -> None:
        """Pass, or wait for the gate to open.

        Raises
        ------
        RequestError
            NO_PRIMARY, not run, if it is closed for more than ``wait_s`` seconds.
        """
        if not self.opened.is_set():
            try:
                async with asyncio.timeout(wait_s):
                    # It can close again before this task runs.
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
        self.under_way += 1
        self.idle.clear()

    def leave(self) -> None:
        """End a write or transaction that has passed."""
        self.under_way -= 1
        if not self.under_way:
            self.idle.set()

    async def close(self, limit_s: float) -> bool:
        """Hold back what comes; tell whether the rest ended in ``limit_s``."""
        self.closings += 1
        self.opened.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self.idle.wait()
        except TimeoutError:
            return False
        return True

    def open(self) -> None:
        """Let pass what waits."""
        self.opened.set()


class WriteAdmission(WriteGate):
    """Write gate that the owner's statements pass."""

    @abstractmethod
    def gate_of(self, group: GroupId) -> GroupGate:
        """Return the gate of a group on this VM."""

    @asynccontextmanager
    async def write(self, group: GroupId, wait_s: float) -> AsyncIterator[None]:
        """Count a write as under way within the block."""
        gate = self.gate_of(group)
        await gate.enter(wait_s)
        try:
            yield
        finally:
            gate.leave()
