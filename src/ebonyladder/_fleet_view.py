"""Queries to all live VMs for their local reports."""

import asyncio
from typing import TypeVar

import msgspec
from absl import logging

from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.membership import Membership
from ebonyladder.messages import LocalReport, LocalRequest, Message
from ebonyladder.peer import PeerConnections
from ebonyladder.types import VmId

QUERY_TIMEOUT_S = 1.0
MAX_CONCURRENT_QUERIES = 32

T = TypeVar("T")


class FleetAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Reports by VM, and the VMs that did not answer."""

    reports: dict[VmId, LocalReport]
    missing: list[VmId]


class FleetView:
    """Query every live VM for its local report.

    Parameters
    ----------
    vm : VmId
        This VM, which is not queried over the network.
    peers, membership : PeerConnections, Membership
        Connections to the other VMs and the list of live ones.
    """

    def __init__(
        self, *, vm: VmId, peers: PeerConnections, membership: Membership
    ) -> None:
        self.vm = vm
        self.peers = peers
        self.membership = membership

    async def query(self, own: LocalReport) -> FleetAnswers:
        """Return the reports of all live VMs, with ``own`` for this VM."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query_one(vm: VmId) -> LocalReport | None:
            async with semaphore:
                return await self.query_vm(vm, LocalRequest())

        others = [m.vm for m in self.membership.members() if m.vm != self.vm]
        answers = await asyncio.gather(*(query_one(vm) for vm in others))
        answer_by_vm = dict(zip(others, answers, strict=True))
        reports = {
            vm: answer for vm, answer in answer_by_vm.items() if answer is not None
        }
        return FleetAnswers(
            reports={self.vm: own, **reports},
            missing=[vm for vm in others if vm not in reports],
        )

    async def query_vm(self, vm: VmId, request: LocalRequest) -> LocalReport | None:
        """Return the report of one VM; None if it did not answer."""
        try:
            answer: Message = await self.peers.call(
                vm, request, timeout_s=QUERY_TIMEOUT_S
            )
        except EbonyladderError as error:
            logging.info("[operator] VM did not report. error=%s", error)
            return None
        return answer if isinstance(answer, LocalReport) else None
