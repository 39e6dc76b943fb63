"""Confirmation by the relay roots that VMs have applied a version."""

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

POLL_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 64


class ConfirmationRound:
    """Determine which VMs have applied a version.

    Parameters
    ----------
    vm : VmId
        This VM.
    version : ConfigurationVersion
        Version to confirm.
    own_version : callable
        Returns the active version of this VM.
    subtree : SubtreeCounter
        Reports of the children of this VM.
    roots, members : list of VmId
        Relay roots and live VMs at the start.
    peers : PeerConnections
        Connections to other VMs.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        version: ConfigurationVersion,
        own_version: Callable[[], ConfigurationVersion],
        subtree: SubtreeCounter,
        roots: list[VmId],
        peers: PeerConnections,
        members: list[VmId],
    ) -> None:
        self.vm = vm
        self.version = version
        self.own_version = own_version
        self.subtree = subtree
        self.roots = list(roots)
        self.peers = peers
        self.members = members

    async def confirm(self, wait_s: float) -> ConfirmationReport:
        """Query the roots until all VMs are counted or the time is up.

        If the roots' counts do not include all VMs by then, each VM is queried,
        which happens only where some VM lags or changes its parent.
        """
        try:
            async with asyncio.timeout(wait_s):
                reports = await self._query_roots()
                while not self._is_complete(reports):
                    await asyncio.sleep(POLL_INTERVAL_S)
                    reports = await self._query_roots()
        except TimeoutError:
            return await self._query_members()
        return ConfirmationReport(confirmed=sorted(self.members), unconfirmed=[])

    async def require_roots(self, wait_s: float) -> None:
        """Return once most roots have the version; raises NOT_CONFIRMED."""
        needed = len(self.roots) // 2 + 1
        confirmed: set[VmId] = set()
        try:
            async with asyncio.timeout(wait_s):
                while not self.roots or len(confirmed) < needed:
                    confirmed |= await self._confirmed_vms(self.roots)
                    if len(confirmed) < needed:
                        await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise ConfigurationError(
                code=ErrorCode.NOT_CONFIRMED,
                step=Step.CONFIG_SUBMIT,
                message=f"{len(confirmed)} of {len(self.roots)} relay roots have the "
                f"version, {needed} are needed",
            ) from None

    def _is_complete(self, reports: list[SubtreeReport]) -> bool:
        checksum = sum(report.checksum for report in reports) % CHECKSUM_MODULUS
        return (
            sum(report.count for report in reports) == len(self.members)
            and checksum == name_checksum(self.members)
            and not any(report.behind for report in reports)
        )

    async def _query_roots(self) -> list[SubtreeReport]:
        answers = await asyncio.gather(*(self._query_root(root) for root in self.roots))
        return [answer for answer in answers if answer is not None]

    async def _query_root(self, root: VmId) -> SubtreeReport | None:
        if root == self.vm:
            return self.subtree.report(self.version, self.own_version())
        request = ConfirmationRequest(version=self.version)
        try:
            answer = await self.peers.call(root, request, timeout_s=ANSWER_TIMEOUT_S)
        except EbonyladderError:
            return None
        assert isinstance(answer, ConfirmationAnswer)
        return answer.subtree

    async def _query_members(self) -> ConfirmationReport:
        confirmed = await self._confirmed_vms(self.members)
        return ConfirmationReport(
            confirmed=sorted(confirmed),
            unconfirmed=sorted(set(self.members) - confirmed),
        )

    async def _confirmed_vms(self, vms: Iterable[VmId]) -> set[VmId]:
        """Query each VM and return those that have the version."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def query(vm: VmId) -> VmId | None:
            async with limit:
                return vm if await self._has_version(vm) else None

        answers = await asyncio.gather(*(query(vm) for vm in vms))
        return {vm for vm in answers if vm is not None}

    async def _has_version(self, vm: VmId) -> bool:
        if vm == self.vm:
            return self.own_version() >= self.version
        sync = Sync(version=self.version, wait_s=0.0)
        try:
            answer = await self.peers.call(vm, sync, timeout_s=ANSWER_TIMEOUT_S)
        except EbonyladderError:
            return False
        return isinstance(answer, SyncAnswer) and answer.version >= self.version
