"""CPU and latency of statements sent to the owner and through another VM."""

import asyncio
import pstats
import random
import signal
import statistics
import subprocess
import time
from collections import Counter
from typing import NamedTuple

import aiohttp
import fire
import psutil
import uvloop

from standins.deployment import SIALC_STRYD, Deployment, Vm, wait_until

ORGANISATION = "org-bench"
IDLE_S = 1.0
WARM_UP_S = 2.0
PROFILE_ROWS = 45
SITE = SIALC_STRYD._replace(
    slots=50, connections=200, organisations={ORGANISATION: (20_000.0, 20_000.0)}
)


class Load(NamedTuple):
    """Load of one run: sessions that each send in a closed loop.

    Attributes
    ----------
    sessions : int
        Concurrent sessions.
    statements : int
        Statements of all sessions together.
    write_fraction : float
        Fraction of the statements that are writes.
    think_s : float
        Mean think time of a session between two statements, in seconds.
    """

    sessions: int = 8
    statements: int = 3000
    write_fraction: float = 0.0
    think_s: float = 0.0


WARM_UP_LOAD = Load(sessions=8, statements=400, think_s=0.02)


class Result(NamedTuple):
    """Latencies in milliseconds, roles that served the reads, and refusals."""

    latencies_ms: list[float]
    roles: list[str]
    refusals: Counter[str]
    wall_s: float

    def summary(self) -> str:
        """Return a summary of the result in one line."""
        percentiles_ms = statistics.quantiles(self.latencies_ms, n=100)
        replica_fraction = self.roles.count("replica") / max(1, len(self.roles))
        return (
            f"reads={len(self.roles)} replica_share={replica_fraction:.3f} "
            f"read_ms p50={percentiles_ms[49]:.2f} p90={percentiles_ms[89]:.2f} "
            f"p99={percentiles_ms[98]:.2f} "
            f"rate={len(self.latencies_ms) / self.wall_s:.0f}/s "
            f"refusals={dict(self.refusals)}"
        )


class ProfiledDeployment(Deployment):
    """Deployment with one daemon under cProfile."""

    profiled = ""

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        if name == self.profiled:
            profile = f"--profile={self.folder / 'profile'}"
            command = ("-m", "bench.profiled_daemon", *command[2:], profile)
        return super()._spawn(name, *command)


async def run_load(deployment: Deployment, vm: Vm, load: Load) -> Result:
    """Run the load's sessions against one VM."""
    url = f"{vm.url}/v1/services/{SITE.service}/statements"
    headers = {"Authorization": f"Bearer {deployment.keys[ORGANISATION]}"}
    latencies, roles = [], []
    refusals: Counter[str] = Counter()

    async def session(number: int, client: aiohttp.ClientSession) -> None:
        source, token = random.Random(number), ""
        for _ in range(load.statements // load.sessions):
            is_write = source.random() < load.write_fraction
            key = f"k{number}"
            body = {
                "kind": "write" if is_write else "read",
                "statement": f"PUT {key} v" if is_write else f"GET {key}",
                "partition": "p",
                "session": token,
            }
            started_at_s = time.perf_counter()
            async with client.post(url, json=body) as response:
                answer = await response.json()
            answered_at_s = time.perf_counter()
            if "error" in answer:
                refusals[answer["error"]["code"]] += 1
                continue
            token = answer["session"]
            if not is_write:
                latencies.append((answered_at_s - started_at_s) * 1000)
                roles.append(answer["role"])
            if load.think_s:
                await asyncio.sleep(source.expovariate(1 / load.think_s))

    started_at_s = time.perf_counter()
    async with aiohttp.ClientSession(headers=headers) as client:
        await asyncio.gather(*(session(n, client) for n in range(load.sessions)))
    return Result(latencies, roles, refusals, time.perf_counter() - started_at_s)


def cpu_s(deployment: Deployment) -> dict[str, float]:
    """Return the CPU time that each daemon has used, in seconds."""
    cpu_by_vm_s = {}
    for vm in deployment.vms:
        times = psutil.Process(deployment.processes[vm.name].pid).cpu_times()
        cpu_by_vm_s[vm.name] = times.user + times.system
    return cpu_by_vm_s


def measure(deployment: Deployment, vm: Vm, load: Load) -> None:
    """Run a load and print the CPU time that it took in each daemon."""
    # Fills the buckets of the limit leases, which start empty, and opens connections.
    uvloop.run(run_load(deployment, vm, WARM_UP_LOAD))
    idle = cpu_s(deployment)
    time.sleep(IDLE_S)
    before = cpu_s(deployment)
    result = uvloop.run(run_load(deployment, vm, load))
    after = cpu_s(deployment)
    print(f"via {vm.name}: {result.summary()}")
    for name, used_s in after.items():
        idle_s = (before[name] - idle[name]) / IDLE_S * result.wall_s
        each_us = (used_s - before[name] - idle_s) / load.statements * 1e6
        print(f"  {name}: {each_us:.0f} us CPU for each statement")


def entry_vms(deployment: Deployment) -> tuple[Vm, Vm]:
    """Return a VM that owns a replica and the VM that owns the primary.

    The first VM serves the reads sent to it; the second forwards them to a peer.
    """
    wait_until(lambda: deployment.primary_of("g1") is not None, "a primary")
    zone = deployment.endpoints[deployment.primary_of("g1")][1]
    primary_owner = next(vm for vm in deployment.vms if vm.zone == zone)
    replica_owner = next(vm for vm in deployment.vms if vm.zone != zone)
    return replica_owner, primary_owner


def cost(statements: int = 3000, profile: str = "") -> None:
    """Measure the CPU time of reads; ``profile`` names a daemon to profile."""
    deployment = ProfiledDeployment(site=SITE, vms=3, groups=1)
    deployment.profiled = profile
    with deployment:
        time.sleep(WARM_UP_S)
        for vm in entry_vms(deployment):
            measure(deployment, vm, Load(statements=statements))
        if profile:
            deployment.signal(profile, signal.SIGTERM)
            deployment.processes[profile].wait()
            stats = pstats.Stats(str(deployment.folder / "profile"))
            stats.sort_stats("tottime").print_stats(PROFILE_ROWS)


def session_reads(lag_ms: float = 200.0, statements: int = 3000) -> None:
    """Measure session reads with 10% writes, with and without think time."""
    site = SITE._replace(lag_ms=lag_ms)
    with Deployment(site=site, vms=3, groups=1) as deployment:
        time.sleep(WARM_UP_S)
        vm, _ = entry_vms(deployment)
        for think_s in (0.0, 0.05):
            load = Load(
                sessions=16, statements=statements, write_fraction=0.1, think_s=think_s
            )
            print(f"think_s={think_s}")
            measure(deployment, vm, load)


if __name__ == "__main__":
    fire.Fire({"cost": cost, "session_reads": session_reads})
