"""Questions to all VMs about what each of them holds."""

import asyncio
from typing import TypeVar

import msgspec
from absl import logging

from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.membership import Membership
from ebonyladder.messages import LocalReport, LocalRequest, Message
from ebonyladder.peer import PeerConnections
from ebonyladder.types import VmId

ASK_TIMEOUT_S = 1.0
ASKED_AT_ONCE = 32

T = TypeVar("T")


class FleetAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Reports by VM, and the VMs that did not answer."""

    reports: dict[VmId, LocalReport]
    missing: list[VmId]


class FleetView:
    """Ask every live VM for its local report.

    Parameters
    ----------
    vm : VmId
        This VM, which is not asked over a link.
    peers, membership : PeerConnections, Membership
        Links to the VMs and the view of them.
    """

    def __init__(
        self, *, vm: VmId, peers: PeerConnections, membership: Membership
    ) -> None:
        self.vm = vm
        self.peers = peers
        self.membership = membership

    async def ask(self, own: LocalReport) -> FleetAnswers:
        """Return the reports of all live VMs."""
        limit = asyncio.Semaphore(ASKED_AT_ONCE)

        async def ask_one(vm: VmId) -> LocalReport | None:
            async with limit:
                return await self.ask_vm(vm, LocalRequest())

        others = [m.vm for m in self.membership.members() if m.vm != self.vm]
        answers = await asyncio.gather(*(ask_one(vm) for vm in others))
        found = dict(zip(others, answers, strict=True))
        reports = {vm: answer for vm, answer in found.items() if answer is not None}
        return FleetAnswers(
            reports={self.vm: own, **reports},
            missing=[vm for vm in others if vm not in reports],
        )

    async def ask_vm(self, vm: VmId, request: LocalRequest) -> LocalReport | None:
        """Return the report of one VM, None if it does not answer."""
        try:
            answer: Message = await self.peers.call(
                vm, request, timeout_s=ASK_TIMEOUT_S
            )
        except EbonyladderError as error:
            logging.info("[operator] VM did not report. error=%s", error)
            return None
        return answer if isinstance(answer, LocalReport) else None
