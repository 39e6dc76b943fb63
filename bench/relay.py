"""Control traffic, store calls and memory of membership and relay.

Uses virtual time and fakes in one process: figures are counts, CPU time, and
times that depend only on the given latency. Bytes are those of the encoded
messages without transport headers.
"""

import asyncio
import json
import time
import tracemalloc
from random import Random

import fire
import msgspec

from ebonyladder._codec import decode, encode
from ebonyladder._members import MemberTable
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.messages import Message, PeerRecord
from ebonyladder.types import Address, Incarnation, VmId, VmState, ZoneId
from tests.fakes import FakePeerConnections
from tests.fleet import Fleet, run_virtual

SIZES = (1, 2, 4, 8, 64, 256)
WARM_UP_S = 20.0
TABLE_SIZE = 3_600
TABLE_ROUNDS = 50


class FleetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Steady state of one fleet.

    Attributes
    ----------
    store_calls_per_s : float
        Store calls of all VMs together.
    sent_bytes_per_vm_s, cpu_ms_per_vm_s : float
        Mean over the VMs; the CPU time includes encoding and decoding.
    oldest_evidence_s : float
        Greatest age of the latest confirmation on any VM, sampled four times a
        second.
    change_s : float
        Time until the last VM had applied a changed configuration, in seconds.
    """

    vms: int
    store_calls_per_s: float
    store_calls: dict[str, float]
    sent_bytes_per_vm_s: float
    most_bytes_per_vm_s: float
    bytes_by_type: dict[str, float]
    cpu_ms_per_vm_s: float
    oldest_evidence_s: float
    change_s: float


class TableFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Memory and CPU time of the member table on one VM."""

    members: int
    bytes_per_member: float
    choice_ms: float


class Meter:
    """Count the bytes that each VM sends by encoding its messages.

    Parameters
    ----------
    latency_s : float
        One-way latency of each message, in seconds.
    """

    def __init__(self, *, latency_s: float) -> None:
        self.latency_s = latency_s
        self.by_vm: dict[str, int] = {}
        self.by_type: dict[str, int] = {}

    def transfer(self, vm: str, message: Message) -> Message:
        """Count the encoded message and return it as the receiver decodes it."""
        data = encode(100_000, message)
        tag = str(type(message).__struct_config__.tag)
        self.by_vm[vm] = self.by_vm.get(vm, 0) + len(data)
        self.by_type[tag] = self.by_type.get(tag, 0) + len(data)
        return decode(data, peer=vm).message

    def attach(self, connections: FakePeerConnections) -> None:
        """Encode and count all calls of one VM."""
        call = connections.call

        async def counted(vm: VmId, message: Message, *, timeout_s: float) -> Message:
            sent = self.transfer(connections.vm, message)
            await asyncio.sleep(self.latency_s)
            answer = self.transfer(vm, await call(vm, sent, timeout_s=timeout_s))
            await asyncio.sleep(self.latency_s)
            return answer

        connections.call = counted

    def clear(self) -> None:
        """Reset all counts."""
        self.by_vm.clear()
        self.by_type.clear()


async def _max_confirmation_age(fleet: Fleet, seconds: float) -> float:
    max_age_s = 0.0
    for _ in range(int(seconds * 4)):
        await asyncio.sleep(0.25)
        ages = [vm.configuration.freshness.age_s() for vm in fleet.vms]
        max_age_s = max(max_age_s, *ages)
    return max_age_s


async def _change_everywhere(fleet: Fleet) -> float:
    started_at_s = fleet.clock.now_s()
    version = await fleet.write("{/* changed */}")
    for vm in fleet.vms:
        while vm.configuration.version < version:
            await vm.configuration.changed.wait()
    return fleet.clock.now_s() - started_at_s


def _store_calls(fleet: Fleet) -> dict[str, int]:
    calls: dict[str, int] = {}
    for vm in fleet.vms:
        for name, count in vm.store.calls.items():
            if name != "watch-end":
                calls[name] = calls.get(name, 0) + count
    return calls


async def _measure(
    count: int, seconds: float, latency_s: float, clock: ManualClock
) -> FleetFigures:
    fleet = Fleet(clock, count)
    meter = Meter(latency_s=latency_s)
    for connections in fleet.network.connections.values():
        meter.attach(connections)
    await fleet.start()
    await asyncio.sleep(WARM_UP_S)
    meter.clear()
    before, cpu_s = _store_calls(fleet), time.process_time()
    max_age_s = await _max_confirmation_age(fleet, seconds)
    cpu_s = time.process_time() - cpu_s
    after = _store_calls(fleet)
    sent, by_type = dict(meter.by_vm), dict(meter.by_type)
    figures = FleetFigures(
        vms=count,
        store_calls_per_s=round(
            (sum(after.values()) - sum(before.values())) / seconds, 2
        ),
        store_calls={
            name: round((after[name] - before.get(name, 0)) / seconds, 2)
            for name in after
        },
        sent_bytes_per_vm_s=round(sum(sent.values()) / count / seconds, 1),
        most_bytes_per_vm_s=round(max(sent.values(), default=0) / seconds, 1),
        bytes_by_type={
            tag: round(size / count / seconds, 1) for tag, size in by_type.items()
        },
        cpu_ms_per_vm_s=round(cpu_s * 1_000 / count / seconds, 3),
        oldest_evidence_s=round(max_age_s, 2),
        change_s=round(await _change_everywhere(fleet), 2),
    )
    await fleet.stop()
    return figures


def _measure_table() -> TableFigures:
    tracemalloc.start()
    table = MemberTable(vm=VmId("self"), clock=ManualClock(), random=Random(1))
    before, _ = tracemalloc.get_traced_memory()
    for number in range(TABLE_SIZE):
        record = PeerRecord(
            vm=VmId(f"arima-a-entry-{number:05}"),
            zone=ZoneId("arima-a" + ""),
            address=Address(f"10.1.{number // 256}.{number % 256}:7001"),
            incarnation=Incarnation(1_700_000_000_000 + number),
            state=VmState.ACTIVE,
            last_contact_ago_s=0.0,
        )
        table.merge(record)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at_s = time.process_time()
    for _ in range(TABLE_ROUNDS):
        table.check_liveness()
        table.ping_targets()
        table.live()
    selection_s = time.process_time() - started_at_s
    return TableFigures(
        members=TABLE_SIZE,
        bytes_per_member=round((after - before) / TABLE_SIZE, 1),
        choice_ms=round(selection_s * 1_000 / TABLE_ROUNDS, 2),
    )


def main(
    *,
    seconds: float = 10.0,
    latency_s: float = 0.02,
    sizes: tuple[int, ...] = SIZES,
) -> None:
    """Print one JSON document, then a table.

    Parameters
    ----------
    seconds : float
        Virtual seconds measured for each size.
    latency_s : float
        One-way latency between VMs, in seconds.
    sizes : tuple of int
        Numbers of VMs.
    """
    fleets = []
    for count in sizes:
        clock = ManualClock()
        fleets.append(run_virtual(_measure(count, seconds, latency_s, clock), clock))
    table = _measure_table()
    print(json.dumps(msgspec.to_builtins({"fleets": fleets, "table": table})))
    print("  VMs  store/s  B/VM/s  most B/s  CPU ms/VM/s  oldest s  change s")
    for row in fleets:
        print(
            f"{row.vms:5} {row.store_calls_per_s:8.2f} {row.sent_bytes_per_vm_s:7.0f} "
            f"{row.most_bytes_per_vm_s:9.0f} {row.cpu_ms_per_vm_s:12.3f} "
            f"{row.oldest_evidence_s:9.2f} {row.change_s:9.2f}"
        )
    print(
        f"table of {table.members}: {table.bytes_per_member:.0f} B per member, "
        f"{table.choice_ms:.2f} ms per second of choosing"
    )


if __name__ == "__main__":
    fire.Fire(main)
