"""Rounds of questions to the relay roots about one version."""

import asyncio
from collections.abc import Callable, Iterable

from ebonyladder._subtree import CHECKSUM_MODULUS, SubtreeCounter, name_checksum
from ebonyladder.kernel.error import ConfigurationError, EbonyladderError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.messages import (
    ConfirmationAnswer,
    ConfirmationRequest,
    SubtreeReport,
    Sync,
    SyncAnswer,
)
from ebonyladder.operator import ConfirmationReport
from ebonyladder.peer import PeerConnections
from ebonyladder.types import ConfigurationVersion, VmId

ROUND_S = 0.25
ANSWER_S = 1.0
DIRECT_CALLS = 64


class ConfirmationRound:
    """Find out which VMs have a version in force.

    Parameters
    ----------
    vm : VmId
        This VM.
    version : ConfigurationVersion
        Version to confirm.
    own_version : callable
        Returns the version in force here.
    subtree : SubtreeCounter
        What the children of this VM report.
    roots, members : list of VmId
        Relay roots and live VMs at the start.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        version: ConfigurationVersion,
        own_version: Callable[[], ConfigurationVersion],
        subtree: SubtreeCounter,
        roots: list[VmId],
        links: PeerConnections,
        members: list[VmId],
    ) -> None:
        self.vm = vm
        self.version = version
        self.own_version = own_version
        self.subtree = subtree
        self.roots = list(roots)
        self.links = links
        self.members = members

    async def confirm(self, wait_s: float) -> ConfirmationReport:
        """Ask the roots until all VMs are counted or the time is up.

        VMs that the roots' counts leave open are then asked one by one, which
        happens only where some VM is behind or changes its parent.
        """
        try:
            async with asyncio.timeout(wait_s):
                reports = await self._ask_roots()
                while not self._is_complete(reports):
                    await asyncio.sleep(ROUND_S)
                    reports = await self._ask_roots()
        except TimeoutError:
            return await self._ask_members()
        return ConfirmationReport(confirmed=sorted(self.members), unconfirmed=[])

    async def require_roots(self, wait_s: float) -> None:
        """Return once most roots have the version; raises NOT_CONFIRMED."""
        needed = len(self.roots) // 2 + 1
        having: set[VmId] = set()
        try:
            async with asyncio.timeout(wait_s):
                while not self.roots or len(having) < needed:
                    having |= await self._having(self.roots)
                    if len(having) < needed:
                        await asyncio.sleep(ROUND_S)
        except TimeoutError:
            raise ConfigurationError(
                code=ErrorCode.NOT_CONFIRMED,
                step=Step.CONFIG_SUBMIT,
                message=f"{len(having)} of {len(self.roots)} relay roots have the "
                f"version, {needed} are needed",
            ) from None

    def _is_complete(self, reports: list[SubtreeReport]) -> bool:
        checksum = sum(report.checksum for report in reports) % CHECKSUM_MODULUS
        return (
            sum(report.count for report in reports) == len(self.members)
            and checksum == name_checksum(self.members)
            and not any(report.behind for report in reports)
        )

    async def _ask_roots(self) -> list[SubtreeReport]:
        answers = await asyncio.gather(*(self._ask_root(root) for root in self.roots))
        return [answer for answer in answers if answer is not None]

    async def _ask_root(self, root: VmId) -> SubtreeReport | None:
        if root == self.vm:
            return self.subtree.report(self.version, self.own_version())
        request = ConfirmationRequest(version=self.version)
        try:
            answer = await self.links.call(root, request, timeout_s=ANSWER_S)
        except EbonyladderError:
            return None
        assert isinstance(answer, ConfirmationAnswer)
        return answer.subtree

    async def _ask_members(self) -> ConfirmationReport:
        having = await self._having(self.members)
        return ConfirmationReport(
            confirmed=sorted(having), unconfirmed=sorted(set(self.members) - having)
        )

    async def _having(self, vms: Iterable[VmId]) -> set[VmId]:
        """Ask VMs one by one and return those that have the version."""
        limit = asyncio.Semaphore(DIRECT_CALLS)

        async def ask(vm: VmId) -> VmId | None:
            async with limit:
                return vm if await self._has(vm) else None

        answers = await asyncio.gather(*(ask(vm) for vm in vms))
        return {vm for vm in answers if vm is not None}

    async def _has(self, vm: VmId) -> bool:
        if vm == self.vm:
            return self.own_version() >= self.version
        sync = Sync(version=self.version, wait_s=0.0)
        try:
            answer = await self.links.call(vm, sync, timeout_s=ANSWER_S)
        except EbonyladderError:
            return False
        return isinstance(answer, SyncAnswer) and answer.version >= self.version
