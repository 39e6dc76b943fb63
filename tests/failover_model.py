"""Random failures around the failover code, in virtual time and from one seed.

The decisions are those of the daemon; databases, store and platform are simulated.
``python -m tests.failover_model SEED`` prints the log of one seed, and a range of
seeds, ``FIRST LAST``, prints what was found in each.
"""

import asyncio
import logging as python_logging
import re
import sys
from collections import Counter, deque
from contextlib import contextmanager
from random import Random

from absl import logging

from bench.virtual import LoopClock, run_virtual
from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    EndpointEntry,
    GroupPhase,
    GroupState,
)
from ebonyladder.sessions.connection import PromotionClient
from ebonyladder.sessions.endpoint_registry import EndpointRegistry
from ebonyladder.sessions.failover import BARRIER_TIMEOUT_S, Failover
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.fleet.failure_detector import FailureDetector
from ebonyladder.sessions.fleet.group_store import GroupStore
from ebonyladder.sessions.fleet.log_holder_keeper import LogHolderKeeper
from ebonyladder.sessions.fleet.watchers import GroupWatcher
from ebonyladder.sessions.objects import GROUPS, LOG_HOLDERS, ObjectStore
from ebonyladder.sessions.watcher import convert_content
from ebonyladder.types import (
    EndpointId,
    EndpointProcess,
    EndpointState,
    LogPosition,
    Position,
    RegionId,
    Role,
    Term,
    VmId,
    ZoneId,
)
from tests.failover_databases import (
    SERVICE,
    Database,
    DatabaseService,
    LostCommit,
    SimulatedConnector,
    is_silent,
)
from tests.failover_successions import crash_while_leaving, hand_over, kill_all_vms
from tests.store_fakes import MemoryStore

# Time at which the virtual clock begins.
START_S = 1000.0
TICK_S = 0.02
LIST_INTERVAL_S = 0.1
LEASE_REMAINING_S = 2.0
# A commit that was acknowledged this long ago has been reported by its VM.
TOLD_AFTER_S = 0.05
ZONES = {ZoneId("a"): RegionId("north"), ZoneId("b"): RegionId("south")}
# A primary that acknowledges nothing for this long is stalled.
STALLED_TIMEOUT_S = 0.8
# All faults have ended; a primary must be there within this time.
RECOVERY_TIMEOUT_S = 30.0
# From this seed on, each run prefers some faults and leaves others out.
FIRST_UNEVEN_SEED = 100_000
# From this seed on, databases also send control answers twice, some of them late.
FIRST_REPEATING_SEED = 200_000
# From this seed on, logs also move to new databases, and all VMs may be killed.
FIRST_SUCCESSION_SEED = 500_000
# From this seed on, a VM that led before may lead again, with what it remembers.
FIRST_RETURN_SEED = 600_000
UNAVAILABLE = ErrorCode.STORE_UNAVAILABLE


class FaultyStore(ObjectStore):
    """Store as one VM reaches it: slow, away, or without some of its answers."""

    def __init__(self, *, store: MemoryStore, random: Random) -> None:
        self.store = store
        self.random = random
        self.is_down = False
        self.loses_answers = False
        self.rejects_holders = False
        self.late: set[asyncio.Task] = set()

    async def get(self, kind, name):
        """Return one object."""
        await self._reach()
        return await self.store.get(kind, name)

    async def list(self, kind):
        """Return all objects of a kind."""
        await self._reach()
        return await self.store.list(kind)

    async def watch(self, kind, after, wait_s):
        """Fail, since the model gives the VMs what they watch."""
        raise NotImplementedError

    async def create(self, kind, name, content):
        """Create an object."""
        return await self._write(kind, lambda: self.store.create(kind, name, content))

    async def replace(self, kind, name, content, revision):
        """Replace an object."""
        return await self._write(
            kind, lambda: self.store.replace(kind, name, content, revision)
        )

    async def delete(self, kind, name, revision):
        """Delete an object."""
        return await self._write(kind, lambda: self.store.delete(kind, name, revision))

    async def _reach(self) -> None:
        await asyncio.sleep(self.random.uniform(0.005, 0.06))
        if self.is_down:
            raise StoreError(code=UNAVAILABLE, step=Step.STORE_READ)

    async def _write(self, kind, write):
        await self._reach()
        if self.rejects_holders and kind == LOG_HOLDERS:
            raise StoreError(code=UNAVAILABLE, step=Step.STORE_WRITE)
        if not self.loses_answers or self.random.random() < 0.5:
            return await write()
        delay_s = self.random.choice((0.0, self.random.uniform(0.3, 2.0)))
        task = asyncio.create_task(self._write_late(write, delay_s))
        self.late.add(task)
        task.add_done_callback(self.late.discard)
        await asyncio.sleep(0.2)
        raise StoreError(code=UNAVAILABLE, step=Step.STORE_WRITE)

    @staticmethod
    async def _write_late(write, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            await write()
        except StoreError:
            return


class SimulatedPlatform(PromotionClient):
    """Promotion calls of one VM; their effects may be late or never come."""

    def __init__(self, *, model: "FailoverModel") -> None:
        self.model = model

    async def promote(self, *, service, endpoint, holder, token, timeout_s, may_send):
        """Promote a database some hundred milliseconds after the call."""
        model, random = self.model, self.model.platform_random
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(random.uniform(0.01, 0.08))
                if not may_send():
                    raise self._error(Outcome.NOT_RUN)
                is_lost = model.loses_promotions and random.random() < 0.8
                delay_s = random.uniform(0.1, 2.5) if is_lost else 0.0
                reaches = not is_lost or random.random() < 0.7
                found = asyncio.create_task(
                    model.accept_promotion(endpoint, token, delay_s, reaches)
                )
                model.keep(found)
                if is_lost:
                    await asyncio.sleep(timeout_s)
                is_accepted = await asyncio.shield(found)
                await asyncio.sleep(random.uniform(0.01, 0.08))
        except TimeoutError:
            raise self._error(Outcome.UNKNOWN) from None
        return is_accepted

    @staticmethod
    def _error(outcome: Outcome) -> StoreError:
        return StoreError(code=UNAVAILABLE, step=Step.PROMOTE, outcome=outcome)


class LeaderVm(FailoverCoordination):
    """One VM with the daemon's failover code; all others are part of the model."""

    def __init__(self, *, model: "FailoverModel", name: str, token: int) -> None:
        self.model = model
        self.name = name
        self.token = token
        self.random = Random(f"{model.seed} {name}")
        clock = model.clock
        self.cluster = ClusterView(
            vm=VmId(name), zone=ZoneId("a"), regions=ZONES, clock=clock
        )
        self.store = FaultyStore(store=model.store, random=self.random)
        self.watcher = GroupWatcher(store=self.store, cluster=self.cluster)
        self.group_store = GroupStore(
            store=self.store, cluster=self.cluster, watcher=self.watcher, clock=clock
        )
        self.registry = EndpointRegistry(cluster=self.cluster, clock=clock)
        self.connector = connector = SimulatedConnector(
            service=model.service,
            vm=name,
            seed=model.seed,
            has_copies=model.seed >= FIRST_REPEATING_SEED,
        )
        self.keeper = LogHolderKeeper(
            cluster=self.cluster, store=self.store, connector=connector, clock=clock
        )
        self.detector = FailureDetector(cluster=self.cluster, clock=clock)
        self.failover = Failover(
            cluster=self.cluster,
            connector=connector,
            promoter=SimulatedPlatform(model=model),
            coordination=self,
            clock=clock,
        )
        self.has_lease = True
        self.has_watch = True
        self.watch_delay = 0
        self.forced: FailoverCause | None = None
        self.unreachable_since_s: float | None = None
        self.tasks: set[asyncio.Task] = set()
        self.busy: set[str] = set()
        self.main = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Do what the leader does between its failovers."""
        is_loaded = False
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            self.apply_list()
            if not is_loaded:
                is_loaded = await self.keeper.load() and (
                    await self.group_store.read_all()
                )
                continue
            if not self.has_lease:
                return
            if "failover" not in self.busy:
                cause = self.cause()
                if cause is not None:
                    self.start("failover", self.replace_primary(cause))
            if self.keeper.due() and "holders" not in self.busy:
                self.start(
                    "holders", self.keeper.update(SERVICE, may_remove=self.has_watch)
                )

    def start(self, name: str, coroutine) -> None:
        """Run one duty at a time."""
        self.busy.add(name)
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: self.busy.discard(name))
        task.add_done_callback(self.model.record_error)

    def apply_list(self) -> None:
        """Apply the list as it was some time ago."""
        if self.has_watch:
            history = self.model.lists
            self.registry.update(
                dict(history[max(len(history) - 1 - self.watch_delay, 0)])
            )
            self.registry.expire()

    def cause(self) -> FailoverCause | None:
        """Return why the leader replaces the primary, None for no reason."""
        primary = self.cluster.primary(SERVICE)
        suspects = frozenset() if primary is None else frozenset({primary.id})
        is_silent = suspects and not self.model.answers(self.name, primary.id)
        is_stalled = suspects and self.model.is_stalled(primary.id)
        found = self.detector.failover_cause(
            SERVICE,
            unresponsive=suspects if is_silent else frozenset(),
            stalled=suspects if is_stalled else frozenset(),
        )
        if found is None and self.forced is not None and primary is not None:
            found, self.forced = self.forced, None
        return found

    async def replace_primary(self, cause: FailoverCause) -> None:
        """Run one failover, as the daemon does."""
        is_replaced = False
        try:
            is_replaced = await self.failover.replace_primary(SERVICE, cause)
        finally:
            self.detector.record_attempt(SERVICE, is_replaced=is_replaced)

    async def write_group(self, group: GroupState) -> None:
        """Store a group state."""
        await self.group_store.write(group)

    async def store_successor(self, group: GroupState) -> None:
        """Store the successor."""
        await self.group_store.write(group)

    async def wait_applied(self, group: GroupState, timeout_s: float) -> None:
        """Wait for the other VMs, sometimes for one that doesn't report."""
        is_slow = self.random.random() < 0.1
        wait_s = BARRIER_TIMEOUT_S if is_slow else self.random.uniform(0.03, 0.4)
        await asyncio.sleep(min(wait_s, timeout_s))
        self.model.has_barrier = True

    def record_reachable(self, endpoint: EndpointId) -> None:
        """Do nothing, since the model has no owners."""

    def fencing_token(self) -> int | None:
        """Return the token while the lease is valid."""
        return self.token if self.has_lease else None

    def lease_remaining_s(self) -> float:
        """Return the remaining time of the lease."""
        return LEASE_REMAINING_S if self.has_lease else 0.0

    def log_holders(self, service):
        """Return the log holders."""
        return self.keeper.current(service)

    def recorded_log_holders(self, service) -> list[EndpointProcess]:
        """Return the log holders that are stored."""
        recorded = self.keeper.recorded.get(service)
        return [] if recorded is None else [e.process for e in recorded.endpoints]

    def ended_log_holders(self, service) -> frozenset[EndpointProcess]:
        """Return the unlisted log holders that have ended."""
        return self.keeper.ended_processes(service)

    def known_since_s(self, process) -> float:
        """Return when this VM first knew of a log holder."""
        now_s = self.model.clock.now_s()
        return self.keeper.known_since_s.get(process, now_s)

    def acknowledged(self, service) -> Position:
        """Return the last commit that a VM has had time to report."""
        told = self.model.service.told(TOLD_AFTER_S)
        if told is None or told.at_s < self.model.vms_killed_at_s:
            return Position(term=Term(0), position=LogPosition(0))
        return Position(term=Term(told.term), position=LogPosition(told.number))

    async def read_members(self, service) -> list[EndpointEntry]:
        """Read the list from the store."""
        await self.store.list(GROUPS)
        members = list(self.model.service.listed.values())
        self.keeper.record_listed(service, members)
        return members

    def lead_again(self, token: int) -> None:
        """Lead with another token, and with the memory of the former leadership."""
        self.token = token
        self.has_lease = True
        self.main = asyncio.create_task(self.run())

    def cancel(self) -> None:
        """End all tasks where they wait."""
        for task in (self.main, *self.tasks):
            task.cancel()


class FailoverModel:
    """Service, store and leaders with random failures.

    Parameters
    ----------
    seed : int
        Seed of all choices. Writes go on during the failovers of odd seeds; with even
        seeds they stop once the VMs have applied that the primary changes. A promotion
        ends all pauses in two seeds of four. The platform checks fencing tokens, except
        in one of three seeds from ``FIRST_UNEVEN_SEED`` on. Databases send answers
        twice from ``FIRST_REPEATING_SEED`` on. Logs move to new databases, and all VMs
        are killed, from ``FIRST_SUCCESSION_SEED`` on. A VM that led before may lead
        again from ``FIRST_RETURN_SEED`` on.
    """

    def __init__(self, *, seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.platform_random = Random(f"{seed} platform")
        self.clock = LoopClock()
        self.service = DatabaseService(
            random=Random(f"{seed} replication"), resumes_all=seed % 4 < 2
        )
        self.store = MemoryStore()
        self.lists: deque[dict[str, EndpointEntry]] = deque(maxlen=20)
        self.loses_promotions = False
        self.has_barrier = False
        self.has_lost_log = False
        self.vms_killed_at_s = float("-inf")
        self.checks_tokens = seed < FIRST_UNEVEN_SEED or seed % 3 > 0
        self.highest_token = 0
        self.group: GroupState | None = None
        self.group_revision = 0
        self.tasks: set[asyncio.Task] = set()
        self.ends: list[tuple[float, int, object]] = []
        self.names = 0
        self.lines: list[str] = []
        self.choice: tuple[float, str] | None = None
        self.violations: list[str] = []
        # Commits whose loss isn't counted, by reason.
        self.uncounted: Counter[str] = Counter()
        for zone in ("b", "a", "b", "a")[: self.random.choice((3, 3, 4))]:
            self.start_database(zone)
        first = self.service.current["db-1"]
        first.role, first.term = Role.PRIMARY, 1
        self.service.term = 1
        self.service.refresh_list()
        self.lists.append(dict(self.service.listed))
        self.vms = 0
        self.connectors: list[SimulatedConnector] = []
        self.leader: LeaderVm | None = None
        # VMs that have led and remember what they knew then.
        self.former_leaders: list[LeaderVm] = []
        self.start_leader()

    def start_database(self, zone: str) -> Database:
        """Start a database under a new id."""
        self.names += 1
        name = f"db-{self.names}"
        return self.service.add(
            name, zone=zone, address=f"host-{self.names}", born_ms=self.now_ms()
        )

    def now_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return int(self.clock.now_s() * 1000)

    def start_leader(self) -> None:
        """Let the next VM lead, or one that led before."""
        self.vms += 1
        may_return = self.seed >= FIRST_RETURN_SEED and self.former_leaders
        if may_return and self.random.random() < 0.6:
            self.leader = self.random.choice(self.former_leaders)
            self.leader.lead_again(self.vms)
            self.record(f"{self.leader.name} leads again, token={self.vms}")
            return
        self.leader = LeaderVm(model=self, name=f"vm-{self.vms}", token=self.vms)
        self.connectors.append(self.leader.connector)

    def keep(self, task: asyncio.Task) -> None:
        """Hold a task of the platform until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_error(self, task: asyncio.Task) -> None:
        """Record an error that ended a task of the daemon."""
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(f"unexpected error: {task.exception()!r}")

    def record(self, line: str) -> None:
        """Add a line to the trace."""
        self.lines.append(f"{self.clock.now_s() - START_S:8.3f} {line}")
        if "Failover begins." in line:
            self.choice = None
        elif "Successor is chosen." in line:
            self.choice = (self.clock.now_s(), line)

    async def accept_promotion(
        self, name: str, token: int, delay_s: float, reaches: bool
    ) -> bool:
        """Accept a promotion call that arrives after a time."""
        choice = self.choice
        called_at_s = self.clock.now_s()
        await asyncio.sleep(delay_s)
        database = self.service.current.get(name)
        is_fenced = token < self.highest_token and self.checks_tokens
        if is_fenced or not reaches:
            self.record(f"promote of {name} token={token} isn't executed")
            return False
        self.highest_token = max(token, self.highest_token)
        if database is None or not database.is_up:
            return False
        self.record(f"promote of {database.process} token={token} is accepted")
        self.keep(asyncio.create_task(self._take_effect(database, called_at_s, choice)))
        return True

    async def _take_effect(self, database: Database, called_at_s, choice) -> None:
        await asyncio.sleep(self.platform_random.uniform(0.15, 0.8))
        lost = self.service.take_effect(database)
        self.record(
            f"promote takes effect: {database.process} term={database.term} "
            f"received={len(database.log)} up={database.is_up}"
        )
        by_branch: dict[str, list[LostCommit]] = {}
        for found in lost:
            if found.is_counted:
                by_branch.setdefault(branch(found, choice), []).append(found)
            else:
                way = "never listed" if found.holders else "all logs gone"
                self.uncounted[f"{way} ({branch(found, choice)})"] += 1
        for kind, commits in by_branch.items():
            first = commits[0].acknowledgement
            self.violations.append(
                f"{kind}: promote of {database.process} term={database.term} "
                f"called={called_at_s - START_S:.3f} "
                f"effect={self.clock.now_s() - START_S:.3f} lacks {len(commits)} "
                f"commits, first {first.term}.{first.number} of {first.primary} "
                f"acknowledged={first.at_s - START_S:.3f} "
                f"receivers={','.join(first.receivers)} "
                f"holders={','.join(commits[0].holders)}"
            )
            self.record(f"LOST {self.violations[-1]}")

    def answers(self, vm: str, name: str) -> bool:
        """Return whether a database answers a VM."""
        database = self.service.current.get(name)
        return (
            database is not None
            and database.is_up
            and not is_silent(database, vm)
            and vm not in database.refused
        )

    def is_stalled(self, name: str) -> bool:
        """Return whether a primary has acknowledged nothing for a while."""
        database = self.service.current.get(name)
        return database is not None and database.waiting_s > STALLED_TIMEOUT_S

    def may_write(self, database: Database) -> bool:
        """Return whether VMs send commits to a database."""
        found = self.store.objects.get((GROUPS, SERVICE))
        if found is not None and found.revision != self.group_revision:
            self.group_revision = found.revision
            self.group = convert_content(found, GroupState)
            if self.group.phase is GroupPhase.STABLE:
                self.has_barrier = False
        if self.seed % 2 or self.group is None:
            return True
        is_usable = self.group.phase is GroupPhase.STABLE or not self.has_barrier
        return is_usable and self.group.primary == database.name

    async def run(self) -> None:
        """Run the failures, end them, and check that the service recovers."""
        ticker = asyncio.create_task(self._tick_all())
        try:
            await asyncio.sleep(1.0)
            for _ in range(self.random.randint(6, 16)):
                self.inject()
                await asyncio.sleep(self.random.choice((0.1, 0.5, 1.0, 2.0, 3.0)))
            self.heal()
            self.recovered_s = await self._recover()
            if self.recovered_s is None and self.may_stay_without_primary:
                is_lost = self.service.acknowledged.keys() - self.held
                way = "commits are lost" if is_lost else "processes have ended"
                self.uncounted[f"no primary, {way}"] += 1
            elif self.recovered_s is None:
                self.violations.append("no primary after recovery")
        finally:
            ticker.cancel()
            self.leader.cancel()

    async def _tick_all(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            self.service.tick(TICK_S, self.may_write)
            ticks += 1
            if ticks % 5 == 0:
                self.service.refresh_list()
                self.lists.append(dict(self.service.listed))
            now_s = self.clock.now_s()
            for end in [e for e in self.ends if e[0] <= now_s]:
                self.ends.remove(end)
                end[2]()

    def end_after(self, duration_s: float, action) -> None:
        """Call ``action`` after a time, or when all faults end."""
        self.ends.append((self.clock.now_s() + duration_s, len(self.ends), action))

    async def _recover(self) -> float | None:
        """Return the time until a primary acknowledges commits, None for too long."""
        begun_s = self.clock.now_s()
        while self.clock.now_s() - begun_s < RECOVERY_TIMEOUT_S:
            await asyncio.sleep(0.2)
            primary = self.service.primary()
            group = self.leader.cluster.groups.get(SERVICE)
            is_stable = group is None or (
                group.phase is GroupPhase.STABLE
                and primary is not None
                and group.primary == primary.name
            )
            told = self.service.told(0.0)
            if (
                is_stable
                and primary is not None
                and primary.state is EndpointState.ACTIVE
                and told is not None
                and told.primary == primary.process
                and told.at_s > self.clock.now_s() - 0.5
            ):
                return self.clock.now_s() - begun_s
        return None

    @property
    def held(self) -> set[int]:
        """Commits in the logs that aren't lost."""
        return {
            commit
            for database in self.service.processes.values()
            if not database.is_log_lost
            for _, commit in database.log
        }

    @property
    def may_stay_without_primary(self) -> bool:
        """Whether nobody can know a log that holds all acknowledged commits.

        That is so once the process of the former primary, or of a successor that may
        lead, and that of another log holder have ended, or once the last log with a
        commit is lost.
        """
        ended = {p for p, d in self.service.processes.items() if d.has_ended}
        if self.service.acknowledged.keys() - self.held:
            return True
        holders = self.leader.keeper.current(SERVICE).endpoints
        group = self.leader.cluster.groups.get(SERVICE)
        leading = {"db-1" if group is None else group.primary}
        if group is not None and group.successor is not None:
            leading.add(group.successor.partition("@")[0])
        by_start = sorted(holders, key=lambda e: e.process_started_at_ms)
        first = {entry.id: entry.process for entry in reversed(by_start)}
        ended_holders = {e.process for e in holders} & ended
        # An entry that isn't held any more is that of a process that has ended.
        return any(
            (first.get(name) is None or first[name] in ended)
            and ended_holders - {first.get(name)}
            for name in leading
        )

    def inject(self) -> None:
        """Begin one random fault."""
        random = self.random
        running = self.service.running()
        primary = self.service.primary()
        if not running:
            return
        target = random.choice(running)
        if primary is not None and random.random() < 0.4:
            target = primary
        replicas = [d for d in running if d is not primary] or running
        faults = (
            (3, lambda: self.cut(target, random.choice(running))),
            (3, lambda: self.isolate(random.choice(replicas))),
            (2, lambda: self.isolate(target)),
            (3, lambda: self.silence(target)),
            (1, lambda: self.refuse(target)),
            (2, lambda: self.be_busy(target)),
            (4, lambda: self.lapse(random.choice(replicas))),
            (1, lambda: self.lapse(target)),
            (3, lambda: self.crash(target)),
            (2, lambda: self.freeze(target)),
            (2, lambda: self.restart_without_log(target)),
            (2, lambda: self.release(target)),
            (1, self.fail_store),
            (1, self.reject_holders),
            (1, self.lose_store_answers),
            (1, self.stop_watch),
            (1, self.delay_watch),
            (3, self.change_leader),
            (3, self.lose_promotions),
            (3, self.force),
        )
        if self.seed >= FIRST_SUCCESSION_SEED:
            faults += (
                (4, lambda: hand_over(self, target)),
                (4, lambda: crash_while_leaving(self, target)),
                (2, lambda: kill_all_vms(self)),
            )
        weights = [
            weight * factor
            for (weight, _), factor in zip(
                faults, self.factors(len(faults)), strict=True
            )
        ]
        random.choices([f for _, f in faults], weights)[0]()

    def factors(self, count: int) -> list[int]:
        """Return how much more often than usual each fault occurs in this run."""
        if self.seed < FIRST_UNEVEN_SEED:
            return [1] * count
        random = Random(f"{self.seed} factors")
        return [random.choice((0, 1, 1, 5)) for _ in range(count)] or [1]

    def duration_s(self) -> float:
        """Return for how long a fault lasts."""
        return self.random.choice((0.2, 0.6, 1.5, 3.0, 5.0, 9.0))

    def cut(self, one: Database, other: Database) -> None:
        """Cut the link between two databases."""
        if one is other:
            return
        self.record(f"fault: cut {one.name} {other.name}")
        one.cut_from.add(other.name)
        other.cut_from.add(one.name)

        def join() -> None:
            one.cut_from.discard(other.name)
            other.cut_from.discard(one.name)

        self.end_after(self.duration_s(), join)

    def isolate(self, database: Database) -> None:
        """Cut a database from all databases and from this leader."""
        for other in self.service.running():
            if self.random.random() < 0.8:
                self.cut(database, other)
        self.silence(database)

    def silence(self, database: Database) -> None:
        """Keep a database from answering the leader."""
        vm = self.leader.name
        self.record(f"fault: {database.name} is silent to {vm}")
        database.silent_to.add(vm)
        self.end_after(self.duration_s(), lambda: database.silent_to.discard(vm))

    def refuse(self, database: Database) -> None:
        """Let a database refuse new connections of the leader."""
        vm = self.leader.name
        self.record(f"fault: {database.name} refuses {vm}")
        database.refused.add(vm)
        self.end_after(self.duration_s(), lambda: database.refused.discard(vm))

    def be_busy(self, database: Database) -> None:
        """Let a database answer BUSY to control calls."""
        self.record(f"fault: {database.name} is busy")
        database.is_busy = True
        self.end_after(self.duration_s(), lambda: setattr(database, "is_busy", False))

    def lapse(self, database: Database) -> None:
        """Keep a database's heartbeats from the store."""
        self.record(f"fault: {database.name} sends no heartbeats")
        database.has_heartbeats = False
        duration_s = self.random.choice((2.0, 5.0, 10.0, 25.0))
        self.end_after(duration_s, lambda: setattr(database, "has_heartbeats", True))

    def crash(self, database: Database) -> None:
        """End a database's process; it comes back with its log, or never."""
        is_lost = self.random.random() < 0.15 and self._may_lose()
        self.record(f"fault: {database.process} crashes, lost={is_lost}")
        database.end(self.clock.now_s(), is_log_lost=is_lost)
        if is_lost:
            return
        has_new_name = self.random.random() < 0.5

        def start() -> None:
            name = database.name
            if has_new_name:
                self.names += 1
                name = f"db-{self.names}"
            new = self.service.start_again(database, name, self.now_ms())
            self.record(f"{new.process} has the log of {database.process}")

        self.end_after(self.duration_s(), start)

    def freeze(self, database: Database) -> None:
        """Stop a database for a while."""
        self.record(f"fault: {database.process} is frozen")
        database.is_frozen = True
        self.end_after(self.duration_s(), lambda: setattr(database, "is_frozen", False))

    def _may_lose(self) -> bool:
        """Return whether a log may be lost, of which there is one in each run."""
        may_lose = len(self.service.running()) > 2 and not self.has_lost_log
        self.has_lost_log |= may_lose
        return may_lose

    def restart_without_log(self, database: Database) -> None:
        """Start a database again under its id, without its log."""
        if not self._may_lose():
            return
        self.record(f"fault: {database.process} restarts without its log")
        database.end(self.clock.now_s(), is_log_lost=True)

        def start() -> None:
            new = self.service.add(
                database.name,
                zone=database.zone,
                address=database.address,
                born_ms=self.now_ms(),
            )
            self.record(f"{new.process} starts")

        self.end_after(self.random.choice((0.05, 0.5, 2.0)), start)

    def release(self, database: Database) -> None:
        """Let a new database join and an old one drain and end."""
        new = self.start_database(database.zone)
        self.record(f"fault: {new.process} joins, {database.process} drains")
        if self.random.random() < 0.4:
            new.has_heartbeats = False
            self.end_after(
                self.random.choice((0.1, 0.5, 2.0)),
                lambda: setattr(new, "has_heartbeats", True),
            )
        database.state = EndpointState.LEAVING

        def end() -> None:
            # A primary drains until it has been replaced.
            if not database.is_up:
                return
            if database.role is Role.PRIMARY:
                self.end_after(1.0, end)
                return
            self.record(f"{database.process} has left")
            database.end(self.clock.now_s(), is_log_lost=True)
            database.has_heartbeats = False
            database.seen_at_s = float("-inf")

        self.end_after(self.random.choice((1.0, 3.0, 6.0)), end)

    def fail_store(self) -> None:
        """Cut the leader from the store, with its watch."""
        leader = self.leader
        self.record(f"fault: store is down for {leader.name}")
        leader.store.is_down, leader.has_watch = True, False

        def end() -> None:
            leader.store.is_down, leader.has_watch = False, True

        self.end_after(self.duration_s(), end)

    def reject_holders(self) -> None:
        """Reject the leader's writes of the log holders."""
        store = self.leader.store
        self.record("fault: writes of the holders are rejected")
        store.rejects_holders = True
        self.end_after(
            self.duration_s(), lambda: setattr(store, "rejects_holders", False)
        )

    def lose_store_answers(self) -> None:
        """Lose half of the answers to the leader's writes."""
        store = self.leader.store
        self.record("fault: answers of the store are lost")
        store.loses_answers = True
        self.end_after(
            self.duration_s(), lambda: setattr(store, "loses_answers", False)
        )

    def stop_watch(self) -> None:
        """Stop the leader's watch of the entries."""
        leader = self.leader
        self.record(f"fault: watch of {leader.name} stops")
        leader.has_watch = False
        self.end_after(self.duration_s(), lambda: setattr(leader, "has_watch", True))

    def delay_watch(self) -> None:
        """Delay what the leader's watch brings."""
        leader = self.leader
        leader.watch_delay = self.random.choice((2, 5, 15))
        self.record(f"fault: watch of {leader.name} is late by {leader.watch_delay}")
        self.end_after(self.duration_s(), lambda: setattr(leader, "watch_delay", 0))

    def change_leader(self) -> None:
        """End the leader's lease, with its tasks or not, and start the next one."""
        leader = self.leader
        leader.has_lease = False
        is_ended = self.random.random() < 0.5
        self.record(f"fault: {leader.name} loses its lease, ends={is_ended}")
        if leader not in self.former_leaders:
            self.former_leaders.append(leader)
        if is_ended:
            leader.cancel()

        def start() -> None:
            if self.leader is leader and not leader.has_lease:
                self.start_leader()

        self.end_after(self.random.choice((0.6, 1.0, 2.0)), start)

    def lose_promotions(self) -> None:
        """Let promotion calls stay unanswered."""
        self.record("fault: promotion calls get no answer")
        self.loses_promotions = True
        self.end_after(
            self.duration_s(), lambda: setattr(self, "loses_promotions", False)
        )

    def force(self) -> None:
        """Let the other VMs' reports cause a failover."""
        self.leader.forced = self.random.choice(
            (FailoverCause.LEAVING, FailoverCause.UNREACHABLE, FailoverCause.STALLED)
        )
        self.record(f"fault: cause {self.leader.forced.name}")

    def heal(self) -> None:
        """End all faults."""
        self.record("all faults end")
        while self.ends:
            self.ends.sort(key=lambda end: end[:2])
            ends, self.ends = self.ends, []
            waiting = [
                e for e in ends if e[2].__qualname__.endswith("release.<locals>.end")
            ]
            for end in ends:
                if end in waiting:
                    self.ends.append(end)
                else:
                    end[2]()
            if len(self.ends) == len(waiting):
                break


def branch(lost: LostCommit, choice: tuple[float, str] | None) -> str:
    """Return which decision let a commit be lost, from the log line of the choice."""
    if choice is None:
        return "earlier successor"
    at_s, line = choice
    way = "stepped down" if "stepped_down=True" in line else "paused"
    basis = re.search(r"basis=(\S+)", line)
    if basis is not None:
        way = f"{way}, {basis[1]}"
    missing = re.search(r"missing=(\S+)", line)
    if missing is not None and missing[1] != "-":
        return f"{way}, holders missing"
    if lost.acknowledgement.at_s > at_s:
        return f"{way}, acknowledged after the survey"
    received = re.search(r"received=(\S*)", line)
    names = {part.split(":")[0] for part in received[1].split(",")}
    if names & set(lost.acknowledgement.receivers):
        return f"{way}, receiver was read"
    return f"{way}, receiver unknown"


class TraceHandler(python_logging.Handler):
    """Adds the daemon's log lines to a model's trace."""

    def __init__(self, model: FailoverModel) -> None:
        super().__init__()
        self.model = model

    def emit(self, record: python_logging.LogRecord) -> None:
        """Add one line."""
        self.model.record(record.getMessage())


@contextmanager
def traced(model: FailoverModel):
    """Send the daemon's log lines to a model only."""
    logger = logging.get_absl_logger()
    known = logger.handlers, logger.propagate, logger.level
    logger.handlers, logger.propagate = [TraceHandler(model)], False
    logger.setLevel(python_logging.INFO)
    try:
        yield
    finally:
        logger.handlers, logger.propagate, level = known
        # Assigning the level would leave what the logger has cached for the other one.
        logger.setLevel(level)


async def _run(seed: int) -> FailoverModel:
    model = FailoverModel(seed=seed)
    with traced(model):
        await model.run()
    return model


def run_seed(seed: int) -> FailoverModel:
    """Run one seed in virtual time."""
    return run_virtual(_run(seed))


def main(arguments: list[str]) -> None:
    """Print the trace of one seed, or the findings of a range."""
    seeds = [int(a) for a in arguments]
    if len(seeds) == 1:
        model = run_seed(seeds[0])
        print("\n".join([*model.lines, *model.violations]))
        return
    kinds: Counter[str] = Counter()
    for seed in range(seeds[0], seeds[1]):
        model = run_seed(seed)
        for violation in model.violations:
            kinds[violation.partition(":")[0]] += 1
            print(f"seed {seed}: {violation}")
        kinds["promotions"] += model.service.promotions
        kinds["connections"] += sum(c.opened for c in model.connectors)
        kinds.update({f"uncounted, {k}": n for k, n in model.uncounted.items()})
    for kind, count in sorted(kinds.items()):
        print(f"{count:6} {kind}")


if __name__ == "__main__":
    main(sys.argv[1:])
