"""VMs with the callers' front end, peer connections and fake executors."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from ebonyladder.configuration import (
    Configuration,
    ConfigurationSource,
    EndpointSpec,
    GroupSpec,
    ServiceSpec,
)
from ebonyladder.dedup import DeduplicationTable
from ebonyladder.execution import StatementExecutor
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyIdentity, KeyRing, digest_of
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    EndpointSummary,
    Forward,
    ForwardAnswer,
    GroupStateAnswer,
    GroupStateRequest,
    PeerRecord,
    TransactionAction,
    TransactionStep,
)
from ebonyladder.metrics import Metrics
from ebonyladder.peer import PeerConnections
from ebonyladder.plugins.caller_front_end import CallerFrontEnd
from ebonyladder.plugins.peer_connections import WebSocketPeerConnections
from ebonyladder.request_trace import MemoryTrace, RequestTrace
from ebonyladder.settings import Settings, split_address
from ebonyladder.status import StatusObserver, StatusRoutes
from ebonyladder.types import Position, Role, VmState
from standins.address import free_addresses
from tests.fakes import FixedConfiguration

KEY = "key-1"
WRITE = {"kind": "write", "statement": "PUT a 1", "partition": "p"}
READ = {"kind": "read", "statement": "GET a", "partition": "p"}
CONFIGURATION = Configuration(
    services={"ledger": ServiceSpec(groups=("g1",))},
    groups={"g1": GroupSpec(endpoints=("e1",))},
    endpoints={
        "e1": EndpointSpec(address="127.0.0.1:1", zone="z", slots=5, connections=30)
    },
)


class Executor(StatementExecutor):
    """Records what runs; a test can delay a run and set its rows."""

    def __init__(self) -> None:
        self.ran: list[Forward | TransactionStep] = []
        self.open: set[str] = set()
        self.rows: list = ["row"]
        self.began = asyncio.Event()
        self.may_end = asyncio.Event()
        self.may_end.set()

    async def run(self, forward: Forward) -> ForwardAnswer:
        self.ran.append(forward)
        self.began.set()
        await self.may_end.wait()
        return self._answer()

    async def run_step(self, step: TransactionStep) -> ForwardAnswer:
        self.ran.append(step)
        if step.action is TransactionAction.BEGIN:
            self.open.add(step.transaction)
        elif step.transaction not in self.open:
            raise RequestError(code=ErrorCode.TRANSACTION_ENDED, step=Step.EXECUTE)
        if step.action in (TransactionAction.COMMIT, TransactionAction.ROLLBACK):
            self.open.discard(step.transaction)
        self.began.set()
        await self.may_end.wait()
        return self._answer()

    def _answer(self) -> ForwardAnswer:
        at = Position(term=1, position=len(self.ran))
        return ForwardAnswer(rows=self.rows, at=at, endpoint="e1", role=Role.PRIMARY)

    async def group_state(self, group: str, *, wait_s: float) -> GroupStateAnswer:
        summary = EndpointSummary(
            endpoint="e1", role=Role.PRIMARY, reachable=True, lag_s=0.0
        )
        return GroupStateAnswer(group=group, term=1, primary="e1", endpoints=[summary])


class Members(Membership):
    """VMs of one test; only the first is in the endpoints' zone, so it owns them."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}

    def members(self) -> list[PeerRecord]:
        return [
            PeerRecord(
                vm=vm,
                zone="y" if index else "z",
                address=address,
                incarnation=1,
                state=VmState.ACTIVE,
                last_contact_ago_s=0.0,
            )
            for index, (vm, address) in enumerate(self.addresses.items())
        ]

    def owner_order(self, endpoint: str, zone: str) -> list[str]:
        return list(self.addresses)

    def address_of(self, vm: str) -> str | None:
        return self.addresses.get(vm)

    def is_zone_in(self, zone: str) -> bool:
        return True

    def suspect(self, vm: str) -> None:
        pass


class OneKey(KeyRing, RateLimits, StatusObserver, StatusRoutes, Metrics):
    """Admits callers with one key and records the outcomes of their requests."""

    def __init__(self) -> None:
        self.outcomes: list[str] = []

    def identify(self, key: str) -> KeyIdentity:
        if key != KEY:
            raise RequestError(code=ErrorCode.KEY_REFUSED, step=Step.KEY_CHECK)
        return KeyIdentity("org-1", digest_of(key))

    def require_valid(self, digest: str, step: Step) -> None:
        pass

    def on_withdrawn(self, listener: Callable[[str], None]) -> None:
        pass

    async def admit(self, organisation: str, *, wait_s: float) -> None:
        pass

    def observe(self, service: str, result: Any) -> None:
        pass

    def status_routes(self) -> dict:
        return {}

    def observe_request(self, *, outcome: str, **_fields: Any) -> None:
        self.outcomes.append(outcome)

    def observe_step(self, step: Step, seconds: float) -> None:
        pass

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        pass

    def gauge(self, name: str, value: float, **labels: str) -> None:
        pass

    def render(self) -> bytes:
        return b""


class FrontEndVm:
    """One VM with the callers' front end, peer connections and a fake executor."""

    def __init__(self, folder: Path, name: str, members: Members) -> None:
        path = folder / "secret"
        path.write_text("fleet")
        caller, peer = free_addresses(2)
        settings = Settings(
            vm=name,
            zone="z",
            caller=caller,
            peer=members.addresses.setdefault(name, peer),
            operator="127.0.0.1:0",
            store="127.0.0.1:0",
            fleet_secret_file=str(path),
        )
        self.address = caller
        self.host_and_port = split_address(caller)
        self.kernel = Kernel(settings=settings, registry=Registry())
        self.peers = WebSocketPeerConnections(kernel=self.kernel)
        self.executor = Executor()
        self.duplicates = DeduplicationTable(clock=self.kernel.clock)
        self.stub = OneKey()
        provided = (KeyRing, RateLimits, StatusObserver, StatusRoutes, Metrics)
        self.kernel.providers = {
            PeerConnections: self.peers,
            Membership: members,
            StatementExecutor: self.executor,
            ConfigurationSource: FixedConfiguration(CONFIGURATION),
            RequestTrace: MemoryTrace(vm=name, clock=self.kernel.clock),
            **{interface: self.stub for interface in provided},
        }
        self.delivered: asyncio.Queue[Forward | TransactionStep] = asyncio.Queue()
        self.front_end = CallerFrontEnd(kernel=self.kernel)
        self.kernel.plugins = [self.peers, self.front_end]
        for message_type, run in (
            (Forward, self.executor.run),
            (TransactionStep, self.executor.run_step),
        ):
            self.peers.handle(message_type, self._deduplicated(run))
        self.peers.handle(GroupStateRequest, self._group_state)

    def _deduplicated(self, run: Callable) -> Callable:
        async def answer(_peer, message):
            self.delivered.put_nowait(message)
            return await self.duplicates.run(message.hop, lambda: run(message))

        return answer

    async def _group_state(self, _peer, message):
        return await self.executor.group_state(message.group, wait_s=message.wait_s)

    async def __aenter__(self) -> "FrontEndVm":
        await self.kernel.start()
        self.client = aiohttp.ClientSession(
            f"http://{self.address}", headers={"Authorization": f"Bearer {KEY}"}
        )
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.client.close()
        await self.kernel.stop()

    async def post(self, path: str, **options: Any) -> tuple[int, dict]:
        async with self.client.post(path, **options) as answer:
            return answer.status, await answer.json()

    async def statement(self, body: dict) -> tuple[int, dict]:
        return await self.post("/v1/services/ledger/statements", json=body)

    def abort_connections(self) -> None:
        for connection in list(self.peers.connections.values()):
            connection.socket.transport.abort()
