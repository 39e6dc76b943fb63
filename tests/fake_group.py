"""Simulated database group in memory, with failures at each step and checkers."""

import asyncio
from random import Random

from bench.virtual import LoopClock
from ebonyladder.endpoint import EndpointDriver, EndpointReport, FenceVote
from ebonyladder.group import GroupView
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.plugins.promotion import GroupController
from ebonyladder.promotion import PromotionPolicy, WriteGate
from ebonyladder.types import Position, Role

TICK_INTERVAL_S = 0.05
NAMES = ("db-a", "db-b", "db-c")


class FakeEndpoint:
    """Endpoint whose votes and log survive a crash."""

    binds_votes = True

    def __init__(self, name: str) -> None:
        self.name = name
        self.role = Role.REPLICA
        self.fence_term = self.log_term = self.term_start = 0
        self.voted_for = ""
        self.primary = ""
        self.contact_at_s = float("-inf")
        self.log: list[tuple[int, str]] = []
        self.is_up = True

    def vote(self, term: int, promoter: str) -> FenceVote:
        repeated = term == self.fence_term and promoter == self.voted_for
        unbound = term == self.fence_term and not self.binds_votes
        if term <= self.fence_term and not (repeated or unbound):
            raise error(ErrorCode.FENCED, self.name)
        self.fence_term, self.voted_for = term, promoter
        if not repeated:
            self.role, self.primary = Role.FENCED, ""
        return FenceVote(
            endpoint=self.name, log_term=self.log_term, received=len(self.log)
        )

    def become_primary(self, term: int, promoter: str) -> Position:
        if (term, promoter) != (self.fence_term, self.voted_for):
            raise error(ErrorCode.FENCED, self.name)
        if self.log_term < term:
            self.role, self.primary = Role.PRIMARY, ""
            self.log_term, self.term_start = term, len(self.log)
        return Position(term=term, position=self.term_start)

    def follow(self, term: int, primary: str) -> None:
        if term < self.fence_term:
            raise error(ErrorCode.FENCED, self.name)
        if term > self.fence_term:
            self.fence_term, self.voted_for = term, ""
        self.role, self.primary = Role.REPLICA, primary

    def replicate(self, source: "FakeEndpoint", now_s: float, random: Random) -> None:
        if source.role is not Role.PRIMARY or self.primary != source.name:
            return
        if self.fence_term != source.log_term:
            return
        # Each message carries only some of the missing entries, so replicas lag.
        same_term = self.log_term == source.log_term
        min_length = len(self.log) if same_term else source.term_start
        max_length = len(source.log)
        self.log = source.log[: random.randint(min(min_length, max_length), max_length)]
        self.log_term, self.term_start = source.log_term, source.term_start
        self.contact_at_s = now_s

    def report(self, now_s: float) -> EndpointReport:
        return EndpointReport(
            endpoint=self.name,
            role=self.role,
            fence_term=self.fence_term,
            log_term=self.log_term,
            term_start=self.term_start,
            received=len(self.log),
            applied=len(self.log),
            primary_contact_age_s=now_s - self.contact_at_s,
        )


def error(code: ErrorCode, peer: str, outcome: Outcome | None = None) -> EndpointError:
    return EndpointError(code=code, step=Step.FENCE, peer=peer, outcome=outcome)


class FakeVm(EndpointDriver):
    """Promoter with its own view and network; also replaces the plug-in."""

    def __init__(self, group: "FakeGroup", name: str, rank: int) -> None:
        self.group = group
        self.name = name
        self.assigned_rank = rank
        self.calls = 0
        self.dies_after = 0
        self.view = GroupView(group="group-1", endpoints={n: n for n in NAMES})
        self.driver = self.groups = self
        self.gate = group.gate
        self.start()

    def start(self) -> None:
        self.policy = PromotionPolicy(
            view=self.view, vm=self.name, clock=self.group.clock
        )
        controller = GroupController(view=self.view, policy=self.policy, plugin=self)
        self.task = asyncio.create_task(controller.run())

    def rank(self, view: GroupView) -> int:
        return self.assigned_rank

    def switchover_rank(self, view, primary, rank) -> int:
        return rank

    def in_service(self, view: GroupView) -> frozenset:
        return frozenset(NAMES) - self.group.out_of_service

    def notify(self, group) -> None:
        pass

    async def connect(self, *, endpoint, address):
        raise NotImplementedError

    async def open_report_stream(self, *, endpoint, address):
        raise NotImplementedError

    async def fence(self, *, endpoint, address, term, promoter) -> FenceVote:
        return await self._call(endpoint, lambda e: e.vote(term, promoter))

    async def promote(self, *, endpoint, address, term, promoter, followers):
        def promote(target: FakeEndpoint) -> Position:
            start = target.become_primary(term, promoter)
            self.group.promoted.append((term, endpoint))
            return start

        return await self._call(endpoint, promote)

    async def follow(self, *, endpoint, address, term, primary, primary_address):
        await self._call(endpoint, lambda e: e.follow(term, primary))

    async def _call(self, endpoint: str, action):
        group, random = self.group, self.group.random
        await asyncio.sleep(random.uniform(0.001, 0.025))
        if not group.is_connected(self.name, endpoint):
            if random.random() < 0.5:
                await asyncio.sleep(3_600)
            raise error(ErrorCode.CONNECT_FAILED, endpoint)
        result = action(group.endpoints[endpoint])
        self.calls += 1
        if self.dies_after and self.calls >= self.dies_after:
            self.dies_after = 0
            self.task.cancel()
        await asyncio.sleep(random.uniform(0.001, 0.025))
        if random.random() < group.answer_loss_rate:
            raise error(ErrorCode.CONNECTION_LOST, endpoint)
        return result


class FakeGate(WriteGate):
    """Gate that records its calls."""

    def __init__(self) -> None:
        self.is_closed = False
        self.calls: list[str] = []

    async def close(self, group, *, timeout_s: float) -> bool:
        self.is_closed = True
        self.calls.append("close")
        return True

    def open(self, group) -> None:
        self.is_closed = False
        self.calls.append("open")


class FakeGroup:
    """Three endpoints, three VMs and a client that writes continuously."""

    def __init__(self, *, seed: int, endpoint_class: type = FakeEndpoint) -> None:
        self.random = Random(seed)
        self.clock = LoopClock()
        self.endpoints = {name: endpoint_class(name) for name in NAMES}
        self.unreachable: set[frozenset[str]] = set()
        self.out_of_service: set[str] = set()
        self.gate = FakeGate()
        self.answer_loss_rate = 0.0
        self.promoted: list[tuple[int, str]] = []
        self.acknowledged: list[str] = []
        self.unconfirmed: list[tuple[FakeVm, Position, str]] = []
        self.write_count = 0
        self.vms = [FakeVm(self, f"vm-{n}", n) for n in range(3)]

    def is_connected(self, one: str, other: str) -> bool:
        up = all(self.endpoints[n].is_up for n in (one, other) if n in self.endpoints)
        return up and frozenset((one, other)) not in self.unreachable

    async def run(self, seconds: float) -> None:
        ends_at_s = self.clock.now_s() + seconds
        while self.clock.now_s() < ends_at_s:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        now_s = self.clock.now_s()
        for source in self.endpoints.values():
            for target in self.endpoints.values():
                if target is not source and self.is_connected(source.name, target.name):
                    target.replicate(source, now_s, self.random)
        for vm in self.vms:
            for name, endpoint in self.endpoints.items():
                if self.is_connected(vm.name, name):
                    vm.view.record_report(endpoint.report(now_s), now_s)
                else:
                    vm.view.record_disconnect(name, now_s)
        self._write()

    def _write(self) -> None:
        """Write through each VM; acknowledge the writes that its view confirms."""
        self.acknowledged += [
            value for vm, at, value in self.unconfirmed if vm.view.is_confirmed(at)
        ]
        self.unconfirmed = [
            w for w in self.unconfirmed if not w[0].view.is_confirmed(w[1])
        ]
        for vm in self.vms:
            target = self.endpoints.get(vm.view.primary or "")
            if target is None or not self.is_connected(vm.name, target.name):
                continue
            if target.role is Role.PRIMARY and not self.gate.is_closed:
                self.write_count += 1
                value = f"write-{self.write_count}"
                target.log.append((target.log_term, value))
                at = Position(term=target.log_term, position=len(target.log))
                self.unconfirmed.append((vm, at, value))

    def partition(self, name: str) -> None:
        others = [vm.name for vm in self.vms] + list(NAMES)
        self.unreachable |= {
            frozenset((name, other)) for other in others if other != name
        }

    def heal(self) -> None:
        self.unreachable.clear()
        self.answer_loss_rate = 0.0
        for endpoint in self.endpoints.values():
            endpoint.is_up = True
        for vm in self.vms:
            vm.dies_after = 0
            if vm.task.done():
                if not vm.task.cancelled():
                    vm.task.result()
                vm.start()

    def primary(self) -> FakeEndpoint | None:
        term = max(e.fence_term for e in self.endpoints.values())
        primaries = [
            e
            for e in self.endpoints.values()
            if e.role is Role.PRIMARY and e.log_term == term
        ]
        return primaries[0] if primaries else None

    def inject_failure(self) -> None:
        """Inject one random failure or end one."""
        name = self.random.choice(NAMES)
        vm = self.random.choice(self.vms)
        event = self.random.randrange(7)
        if event == 0:
            self.endpoints[name].is_up = False
        elif event == 1:
            self.partition(name)
        elif event == 2:
            self.unreachable.add(frozenset((vm.name, name)))
        elif event == 3:
            vm.dies_after = vm.calls + self.random.randint(1, 6)
        elif event == 4:
            self.answer_loss_rate = 0.2
        elif event == 5 and (primary := self.primary()):
            primary.is_up = False
        else:
            self.heal()
        # VMs disagree on the owners, so several may take the same rank.
        for vm in self.vms:
            vm.assigned_rank = self.random.choice((0, 0, 1, 2))

    def violations(self) -> list[str]:
        """Return the violations; the checks use no decision of the code under test."""
        violations = []
        for term in {term for term, _ in self.promoted}:
            primaries = {name for t, name in self.promoted if t == term}
            if len(primaries) > 1:
                violations.append(f"two primaries in term {term}: {sorted(primaries)}")
        primary = self.primary()
        if primary is None:
            return [*violations, "no primary after recovery"]
        kept = {value for _, value in primary.log}
        lost = [value for value in self.acknowledged if value not in kept]
        if lost:
            violations.append(f"{len(lost)} acknowledged writes lost, first {lost[0]}")
        if any(e.log_term != primary.log_term for e in self.endpoints.values()):
            violations.append("an endpoint does not follow after recovery")
        return violations
