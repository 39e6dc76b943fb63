"""Cost of the public status: store calls, bytes, rendering and merge times."""

import asyncio
import gzip
import json
import platform
import statistics
import time

from fire import Fire

from ebonyladder._history_writer import HistoryWriter
from ebonyladder._status_html import html_chunks, json_chunks
from ebonyladder._status_snapshot import SnapshotReader, pack
from ebonyladder.configuration import Configuration, ServiceSpec
from ebonyladder.history import record_key
from ebonyladder.observation import HourBatch
from ebonyladder.status import HOURS_PER_DAY, SECONDS_PER_HOUR, Counts
from tests.fakes import MemoryStore

FIRST_HOUR = 500_000
MINUTES_PER_WRITE = 10
REPEATS = 5


def make_batch(service: str, hour: int, vms: int, minutes: range) -> HourBatch:
    """Return observations of all VMs in some minutes of an hour."""
    batch = HourBatch(service=service, hour=hour)
    for vm in range(vms):
        for minute in minutes:
            batch.add((f"entry-vm-{vm}", 1), minute, Counts(served=100, failed=1))
    return batch


async def write_hour(writer: HistoryWriter, service: str, hour: int, vms: int) -> list:
    """Write an hour as an aggregator does; return the seconds that each merge took."""
    durations_s = []
    for start in range(0, 60, MINUTES_PER_WRITE):
        batch = make_batch(service, hour, vms, range(start, start + MINUTES_PER_WRITE))
        started_at_s = time.perf_counter()
        await writer.merge(batch)
        durations_s.append(time.perf_counter() - started_at_s)
    return durations_s


async def measure_hour(vms: int) -> dict[str, float]:
    """Measure store calls, record size and merge times of one service's hour."""
    store = MemoryStore()
    writer = HistoryWriter(store=store)
    await write_hour(writer, "service-0", FIRST_HOUR, vms)
    store.calls.clear()
    durations_s = await write_hour(writer, "service-0", FIRST_HOUR + 1, vms)
    value = store.objects[record_key("service-0", FIRST_HOUR + 1)].value
    return {
        "vms": vms,
        "store_reads": store.calls["get"],
        "store_writes": store.calls["put"],
        "record_bytes": len(value),
        "merge_median_ms": 1_000 * statistics.median(durations_s),
        "merge_worst_ms": 1_000 * max(durations_s),
    }


async def make_store(services: int, hours: int, vms: int) -> MemoryStore:
    """Return a store with complete histories of all services."""
    store = MemoryStore()
    writer = HistoryWriter(store=store)
    names = [f"service-{i}" for i in range(services)]
    specs = {name: ServiceSpec() for name in names}
    await writer.update_index(Configuration(services=specs), 1, FIRST_HOUR)
    for name in names:
        for hour in range(FIRST_HOUR, FIRST_HOUR + hours):
            await writer.merge(make_batch(name, hour, vms, range(0, 30)))
            await writer.merge(make_batch(name, hour, vms, range(30, 60)))
    return store


def median_duration_ms(call: object) -> float:
    """Return the median duration of a call in milliseconds."""
    durations_s = []
    for _ in range(REPEATS):
        started_at_s = time.perf_counter()
        call()
        durations_s.append(time.perf_counter() - started_at_s)
    return 1_000 * statistics.median(durations_s)


async def measure_page(services: int, days: int, vms: int) -> dict[str, float]:
    """Measure the calls and times of a first read, a later read and the page."""
    hours = days * HOURS_PER_DAY
    store = await make_store(services, hours, vms)
    reader = SnapshotReader(store=store)
    now_s = float((FIRST_HOUR + hours) * SECONDS_PER_HOUR)
    result: dict[str, float] = {"services": services, "days": days, "vms": vms}
    for name in ("first", "later"):
        store.calls.clear()
        started_at_s = time.perf_counter()
        snapshot = await reader.read(now_s)
        result[f"{name}_read_ms"] = 1_000 * (time.perf_counter() - started_at_s)
        result[f"{name}_read_calls"] = sum(store.calls.values())
        assert snapshot.is_established, snapshot.problems
    for name, render in (("html", html_chunks), ("json", json_chunks)):
        result[f"{name}_ms"] = median_duration_ms(
            lambda r=render: list(r(snapshot, now_s))
        )
        body = b"".join(render(snapshot, now_s))
        result[f"{name}_bytes"] = len(body)
        result[f"{name}_gzip_bytes"] = len(gzip.compress(body, 6))
    result["pack_ms"] = median_duration_ms(lambda: pack(snapshot))
    result["packed_bytes"] = len(pack(snapshot))
    return result


def main(services: int = 10, days: int = 90, output: str = "") -> None:
    """Run the benchmark, print a table and write the results as JSON.

    Parameters
    ----------
    services, days : int
        Size of the history for the page.
    output : str
        Path of the JSON file; if empty, the JSON is printed after the table.
    """
    hours = [asyncio.run(measure_hour(vms)) for vms in (8, 100, 3_600)]
    page = asyncio.run(measure_page(services, days, 8))
    for row in hours:
        print(" ".join(f"{name}={value:.6g}" for name, value in row.items()))
    for name, value in page.items():
        print(f"{name:<20}{value:>14.1f}")
    result = {"python": platform.python_version(), "hour": hours, "page": page}
    text = json.dumps(result, indent=1)
    if not output:
        print(text)
        return
    with open(output, "w") as file:
        file.write(text)


if __name__ == "__main__":
    Fire(main)
