"""Plug-in that holds writes here and at the former owners of endpoints."""

import asyncio
from typing import ClassVar, cast

from absl import logging

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.gate import GroupGate, OwnerWriteGate
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.messages import HoldWrites, Message, WritesHeld
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.promotion import CATCH_UP_TIMEOUT_S, WriteGate
from ebonyladder.types import GroupId, VmId

# Transit time of the call and its answer, beyond the time for writes to end.
ANSWER_MARGIN_S = 0.2
# A former owner admits writes again by itself after the time that catching up and
# promoting can take, in case the VM that runs the switchover fails meanwhile.
REMOTE_HOLD_TTL_S = CATCH_UP_TIMEOUT_S + 1.0


@register
class WriteGatePlugin(Plugin, OwnerWriteGate):
    """Hold writes of groups during planned switchovers.

    When a zone goes out of service, its endpoints get other owners, so writes
    and transactions may be in flight at the former owner as well.
    """

    name: ClassVar[str] = "write-gate"
    provides: ClassVar[tuple[type, ...]] = (WriteGate, OwnerWriteGate)
    requires: ClassVar[tuple[type, ...]] = (
        PeerConnections,
        Membership,
        ConfigurationSource,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.gates: dict[GroupId, GroupGate] = {}

    async def start(self) -> None:
        """Register the handler of requests to hold or admit writes."""
        self.peers = self.kernel.get(PeerConnections)
        self.membership = self.kernel.get(Membership)
        self.configuration = self.kernel.get(ConfigurationSource)
        self.peers.handle(HoldWrites, self._answer_hold)

    def gate_of(self, group: GroupId) -> GroupGate:
        """Return the gate of a group on this VM."""
        gate = self.gates.get(group)
        if gate is None:
            gate = self.gates[group] = GroupGate(group=group)
        return gate

    async def close(self, group: GroupId, *, timeout_s: float) -> bool:
        """Hold writes here and at former owners; wait for those in flight."""
        ended = await asyncio.gather(
            self.gate_of(group).close(timeout_s),
            *(
                self._send_hold_writes(vm, group, timeout_s)
                for vm in self.former_owners(group)
            ),
        )
        return all(ended)

    def open(self, group: GroupId) -> None:
        """Admit writes again here and at former owners."""
        self.gate_of(group).open()
        for vm in self.former_owners(group):
            self.kernel.spawn(
                self._send_hold_writes(vm, group, 0.0), name=f"open-writes-{group}"
            )

    def former_owners(self, group: GroupId) -> set[VmId]:
        """Return the other VMs that owned endpoints now out of service."""
        current = self.configuration.current
        spec = current.groups.get(group)
        owners = {
            self.membership.owner_within(name, current.endpoints[name].zone)
            for name in (spec.endpoints if spec else ())
            if not current.is_endpoint_in_service(name)
        }
        return {vm for vm in owners if vm is not None} - {self.kernel.settings.vm}

    async def _send_hold_writes(
        self, vm: VmId, group: GroupId, timeout_s: float
    ) -> bool:
        """Hold writes at another VM, or admit them again with a timeout of 0 s."""
        message = HoldWrites(group=group, timeout_s=timeout_s)
        try:
            answer = await self.peers.call(
                vm, message, timeout_s=timeout_s + ANSWER_MARGIN_S
            )
        except EbonyladderError as error:
            logging.info("[gate] Former owner did not answer. error=%s", error)
            return False
        return cast(WritesHeld, answer).ended

    async def _answer_hold(self, _peer: PeerIdentity, message: Message) -> Message:
        hold = cast(HoldWrites, message)
        gate = self.gate_of(hold.group)
        if hold.timeout_s <= 0:
            gate.open()
            return WritesHeld(ended=True)
        ended = await gate.close(hold.timeout_s)
        self.kernel.spawn(
            self._reopen_after_timeout(gate, gate.close_count),
            name=f"hold-writes-{hold.group}",
        )
        return WritesHeld(ended=ended)

    @staticmethod
    async def _reopen_after_timeout(gate: GroupGate, close_count: int) -> None:
        await asyncio.sleep(REMOTE_HOLD_TTL_S)
        if gate.close_count == close_count:
            gate.open()
