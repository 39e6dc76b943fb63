"""Plug-in with the views that operators can query."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping

import msgspec
from absl import logging

from ebonyladder._fleet_view import FleetAnswers, FleetView
from ebonyladder.configuration import ConfigurationSource
from ebonyladder.execution import StatementExecutor
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    GroupStateAnswer,
    GroupStateRequest,
    LocalReport,
    LocalRequest,
    Message,
)
from ebonyladder.operator import CallerConnections, GroupUsage, OperatorViewRegistry
from ebonyladder.ownership import Ownership
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.request_trace import RequestTrace, TraceEntry, entry_vm_of
from ebonyladder.types import (
    Address,
    EndpointId,
    GroupId,
    OrganisationId,
    VmId,
    VmState,
    ZoneId,
)

STATE_TIMEOUT_S = 1.0
SESSIONS_NOTE = (
    "sessions are kept in the callers' signed tokens, not on VMs; shown are open "
    "transactions and WebSocket connections"
)


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """Live VM; ``state`` is ``drain`` if it reports so or operators configured it."""

    vm: VmId
    zone: ZoneId
    zone_is_in: bool
    address: Address
    state: VmState


class SessionsRow(msgspec.Struct, frozen=True, kw_only=True):
    """Open transactions and WebSockets of one organisation on one VM."""

    vm: VmId
    organisation: OrganisationId
    transactions: int
    sockets: int


class PrimaryRow(msgspec.Struct, frozen=True, kw_only=True):
    """State of one group.

    Attributes
    ----------
    lag_s : dict of EndpointId to float
        Maximum age of each endpoint's data, in seconds; -1 if it is unknown.
    """

    group: GroupId
    primary: EndpointId | None
    term: int
    lag_s: dict[EndpointId, float]
    reported_by: VmId | None


@register
class OperatorViews(Plugin, GroupUsage):
    """Collect views from all VMs, so that any VM can show them."""

    name = "operator-views"
    provides = (GroupUsage,)
    requires = (
        OperatorViewRegistry,
        Membership,
        PeerConnections,
        ConfigurationSource,
        StatementExecutor,
        RateLimits,
        RequestTrace,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.vm = kernel.settings.vm

    async def start(self) -> None:
        """Register the views and the handler for requests of other VMs."""
        get = self.kernel.get
        self.membership = get(Membership)
        self.peers = get(PeerConnections)
        self.configuration = get(ConfigurationSource)
        self.executor = get(StatementExecutor)
        self.limits = get(RateLimits)
        self.trace = get(RequestTrace)
        self.ownership = Ownership(
            vm=self.vm,
            membership=self.membership,
            configuration=self.configuration,
            clock=self.kernel.clock,
        )
        self.fleet = FleetView(vm=self.vm, peers=self.peers, membership=self.membership)
        self.peers.handle(LocalRequest, self._answer_local)
        registry = get(OperatorViewRegistry)
        registry.add_view("members", self._members)
        registry.add_view("sessions", self._sessions)
        registry.add_view("shares", self._shares)
        registry.add_view("primaries", self._primaries)
        registry.add_view("explain", self._explain)

    # Local report

    async def _answer_local(self, _peer: PeerIdentity, message: Message) -> Message:
        assert isinstance(message, LocalRequest)
        return self.local_report(message.request_id)

    def local_report(self, request_id: str = "") -> LocalReport:
        """Return the resources in use on this VM, or its trace of one request."""
        if request_id:
            return LocalReport(entries=self.trace.entries(request_id))
        # A front end for callers is optional: a test or an embedder may run none.
        front_end = self.kernel.providers.get(CallerConnections)
        connections = front_end.open_sockets() if front_end is not None else {}
        return LocalReport(
            transactions=self.executor.open_transactions(),
            sockets=connections,
            leases=self.limits.leases_held(),
            used_slots=self.executor.used_slots(),
        )

    async def _query_all(self) -> FleetAnswers:
        return await self.fleet.query(self.local_report())

    # Views

    async def _members(self, _query: Mapping[str, str]) -> dict:
        rows = [
            MemberRow(
                vm=member.vm,
                zone=member.zone,
                zone_is_in=self.membership.is_zone_in(member.zone),
                address=member.address,
                state=member.state,
            )
            for member in self.membership.members()
        ]
        return {"seen_by": self.vm, "members": rows}

    async def _sessions(self, _query: Mapping[str, str]) -> dict:
        answers = await self._query_all()
        rows = [
            SessionsRow(
                vm=vm,
                organisation=organisation,
                transactions=report.transactions.get(organisation, 0),
                sockets=report.sockets.get(organisation, 0),
            )
            for vm, report in sorted(answers.reports.items())
            for organisation in sorted(report.transactions.keys() | report.sockets)
        ]
        return {"note": SESSIONS_NOTE, "open": rows, "missing": answers.missing}

    async def _shares(self, _query: Mapping[str, str]) -> dict:
        answers = await self._query_all()
        leases = {vm: report.leases for vm, report in sorted(answers.reports.items())}
        return {"leases": leases, "missing": answers.missing}

    async def _primaries(self, _query: Mapping[str, str]) -> dict:
        groups = sorted(self.configuration.current.groups)
        rows = await asyncio.gather(*(self._primary(group) for group in groups))
        return {"groups": rows}

    async def _primary(self, group: GroupId) -> PrimaryRow:
        for monitor in self.ownership.monitors_of(group):
            try:
                state = await self._group_state(monitor, group)
            except EbonyladderError:
                continue
            return PrimaryRow(
                group=group,
                primary=state.primary,
                term=state.term,
                lag_s={
                    summary.endpoint: _finite(summary.lag_s)
                    for summary in state.endpoints
                },
                reported_by=monitor,
            )
        return PrimaryRow(group=group, primary=None, term=0, lag_s={}, reported_by=None)

    async def _group_state(self, monitor: VmId, group: GroupId) -> GroupStateAnswer:
        if monitor == self.vm:
            return await self.executor.group_state(group, wait_s=0.0)
        request = GroupStateRequest(group=group)
        answer = await self.peers.call(monitor, request, timeout_s=STATE_TIMEOUT_S)
        assert isinstance(answer, GroupStateAnswer)
        return answer

    async def _explain(self, query: Mapping[str, str]) -> dict:
        """Collect a request's trace from its entry VM and the owners named there."""
        request_id = query.get("request_id", "")
        entry_vm = entry_vm_of(request_id)
        if not entry_vm:
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                message=f"{request_id!r} is not a request id of this deployment",
            )
        entries_by_vm: dict[VmId, list[TraceEntry]] = {}
        missing: list[VmId] = []
        pending = [entry_vm]
        while pending:
            vm = pending.pop()
            entries = await self._entries(vm, request_id)
            if entries is None:
                missing.append(vm)
                continue
            entries_by_vm[vm] = entries
            owners = {VmId(entry.owner) for entry in entries if entry.owner}
            pending = sorted({*pending, *owners} - entries_by_vm.keys() - {*missing})
        entries = sorted(
            (entry for vm_entries in entries_by_vm.values() for entry in vm_entries),
            key=lambda entry: entry.wall_s,
        )
        if not entries and not missing:
            raise RequestError(
                code=ErrorCode.NOT_FOUND,
                step=Step.ROUTE,
                peer=entry_vm,
                message=f"{entry_vm} has no trace of {request_id}; it may be too old",
            )
        return {"request_id": request_id, "entries": entries, "missing": missing}

    async def _entries(self, vm: VmId, request_id: str) -> list[TraceEntry] | None:
        if vm == self.vm:
            return self.trace.entries(request_id)
        report = await self.fleet.query_vm(vm, LocalRequest(request_id=request_id))
        return None if report is None else report.entries

    # Slots in use

    async def used_slots(self) -> dict[GroupId, float]:
        """Return the number of slots in use on the VMs that answer, by group."""
        used: dict[GroupId, float] = defaultdict(float)
        answers = await self._query_all()
        if answers.missing:
            logging.warning(
                "[operator] VMs did not report their slots in use. missing=%s",
                ",".join(answers.missing),
            )
        for report in answers.reports.values():
            for group, slots in report.used_slots.items():
                used[group] += slots
        return dict(used)


def _finite(lag_s: float) -> float:
    return round(lag_s, 3) if lag_s != float("inf") else -1.0
