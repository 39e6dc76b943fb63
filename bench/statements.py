"""CPU and latency of statements through an owner and through a peer."""

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
SETTLE_S = 2.0
PROFILE_ROWS = 45
SITE = SIALC_STRYD._replace(
    slots=50, connections=200, organisations={ORGANISATION: (20_000.0, 20_000.0)}
)


class Load(NamedTuple):
    """Statements of one run: sessions in a closed loop.

    Attributes
    ----------
    sessions : int
        Sessions at once.
    statements : int
        Statements of all sessions together.
    write_share : float
        Share of writes.
    think_s : float
        Mean pause of a session between two statements, in seconds.
    """

    sessions: int = 8
    statements: int = 3000
    write_share: float = 0.0
    think_s: float = 0.0


WARM_UP = Load(sessions=8, statements=400, think_s=0.02)


class Result(NamedTuple):
    """Latencies in milliseconds, roles that served the reads, and refusals."""

    latencies_ms: list[float]
    roles: list[str]
    refusals: Counter[str]
    wall_s: float

    def line(self) -> str:
        """Return the result on one line."""
        cuts = statistics.quantiles(self.latencies_ms, n=100)
        share = self.roles.count("replica") / max(1, len(self.roles))
        return (
            f"reads={len(self.roles)} replica_share={share:.3f} "
            f"read_ms p50={cuts[49]:.2f} p90={cuts[89]:.2f} p99={cuts[98]:.2f} "
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


async def drive(deployment: Deployment, vm: Vm, load: Load) -> Result:
    """Run the load's sessions against one VM."""
    url = f"{vm.url}/v1/services/{SITE.service}/statements"
    headers = {"Authorization": f"Bearer {deployment.keys[ORGANISATION]}"}
    latencies, roles = [], []
    refusals: Counter[str] = Counter()

    async def session(number: int, client: aiohttp.ClientSession) -> None:
        source, token = random.Random(number), ""
        for _ in range(load.statements // load.sessions):
            is_write = source.random() < load.write_share
            key = f"k{number}"
            body = {
                "kind": "write" if is_write else "read",
                "statement": f"PUT {key} v" if is_write else f"GET {key}",
                "partition": "p",
                "session": token,
            }
            started_s = time.perf_counter()
            async with client.post(url, json=body) as answer:
                answered = await answer.json()
            answered_s = time.perf_counter()
            if "error" in answered:
                refusals[answered["error"]["code"]] += 1
                continue
            token = answered["session"]
            if not is_write:
                latencies.append((answered_s - started_s) * 1000)
                roles.append(answered["role"])
            if load.think_s:
                await asyncio.sleep(source.expovariate(1 / load.think_s))

    started_s = time.perf_counter()
    async with aiohttp.ClientSession(headers=headers) as client:
        await asyncio.gather(*(session(n, client) for n in range(load.sessions)))
    return Result(latencies, roles, refusals, time.perf_counter() - started_s)


def cpu_s(deployment: Deployment) -> dict[str, float]:
    """Return the CPU seconds of each daemon so far."""
    found = {}
    for vm in deployment.vms:
        times = psutil.Process(deployment.processes[vm.name].pid).cpu_times()
        found[vm.name] = times.user + times.system
    return found


def measure(deployment: Deployment, vm: Vm, load: Load) -> None:
    """Run a load and print the CPU that it took at each daemon."""
    # The buckets of limit leases start empty, connections are not open yet.
    uvloop.run(drive(deployment, vm, WARM_UP))
    idle = cpu_s(deployment)
    time.sleep(IDLE_S)
    before = cpu_s(deployment)
    result = uvloop.run(drive(deployment, vm, load))
    after = cpu_s(deployment)
    print(f"via {vm.name}: {result.line()}")
    for name, used_s in after.items():
        idle_s = (before[name] - idle[name]) / IDLE_S * result.wall_s
        each_us = (used_s - before[name] - idle_s) / load.statements * 1e6
        print(f"  {name}: {each_us:.0f} us CPU for each statement")


def entries(deployment: Deployment) -> tuple[Vm, Vm]:
    """Return a VM that owns a replica and the VM that owns the primary.

    Reads through the first stay there; those through the second go to a peer.
    """
    wait_until(lambda: deployment.primary_of("g1") is not None, "a primary")
    zone = deployment.endpoints[deployment.primary_of("g1")][1]
    away = next(vm for vm in deployment.vms if vm.zone == zone)
    local = next(vm for vm in deployment.vms if vm.zone != zone)
    return local, away


def cost(statements: int = 3000, profile: str = "") -> None:
    """Measure the CPU of reads; ``profile`` names a daemon to profile."""
    deployment = ProfiledDeployment(site=SITE, vms=3, groups=1)
    deployment.profiled = profile
    with deployment:
        time.sleep(SETTLE_S)
        for vm in entries(deployment):
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
        time.sleep(SETTLE_S)
        vm, _ = entries(deployment)
        for think_s in (0.0, 0.05):
            load = Load(
                sessions=16, statements=statements, write_share=0.1, think_s=think_s
            )
            print(f"think_s={think_s}")
            measure(deployment, vm, load)


if __name__ == "__main__":
    fire.Fire({"cost": cost, "session_reads": session_reads})
