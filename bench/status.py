"""Cost of the public status: store calls, bytes, page and merge times."""

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


def made_batch(service: str, hour: int, vms: int, minutes: range) -> HourBatch:
    """Return observations of all VMs in some minutes of an hour."""
    made = HourBatch(service=service, hour=hour)
    for vm in range(vms):
        for minute in minutes:
            made.add((f"entry-vm-{vm}", 1), minute, Counts(served=100, failed=1))
    return made


async def write_hour(writer: HistoryWriter, service: str, hour: int, vms: int) -> list:
    """Write an hour as an aggregator does; return the seconds of each merge."""
    seconds = []
    for start in range(0, 60, MINUTES_PER_WRITE):
        batch = made_batch(service, hour, vms, range(start, start + MINUTES_PER_WRITE))
        begin = time.perf_counter()
        await writer.merge(batch)
        seconds.append(time.perf_counter() - begin)
    return seconds


async def cost_of_an_hour(vms: int) -> dict[str, float]:
    """Return store calls, bytes written and merge times of one service's hour."""
    store = MemoryStore()
    writer = HistoryWriter(store=store)
    await write_hour(writer, "service-0", FIRST_HOUR, vms)
    store.calls.clear()
    seconds = await write_hour(writer, "service-0", FIRST_HOUR + 1, vms)
    value = store.objects[record_key("service-0", FIRST_HOUR + 1)].value
    return {
        "vms": vms,
        "store_reads": store.calls["get"],
        "store_writes": store.calls["put"],
        "record_bytes": len(value),
        "merge_median_ms": 1_000 * statistics.median(seconds),
        "merge_worst_ms": 1_000 * max(seconds),
    }


async def filled_store(services: int, hours: int, vms: int) -> MemoryStore:
    """Return a store with complete histories of all services."""
    store = MemoryStore()
    writer = HistoryWriter(store=store)
    names = [f"service-{i}" for i in range(services)]
    specs = {name: ServiceSpec() for name in names}
    await writer.update_index(Configuration(services=specs), 1, FIRST_HOUR)
    for name in names:
        for hour in range(FIRST_HOUR, FIRST_HOUR + hours):
            await writer.merge(made_batch(name, hour, vms, range(0, 30)))
            await writer.merge(made_batch(name, hour, vms, range(30, 60)))
    return store


def timed_ms(work: object) -> float:
    """Return the median duration of a call in milliseconds."""
    seconds = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        work()
        seconds.append(time.perf_counter() - begin)
    return 1_000 * statistics.median(seconds)


async def cost_of_page(services: int, days: int, vms: int) -> dict[str, float]:
    """Return calls and times of a first read, a later one and the page."""
    hours = days * HOURS_PER_DAY
    store = await filled_store(services, hours, vms)
    reader = SnapshotReader(store=store)
    now_s = float((FIRST_HOUR + hours) * SECONDS_PER_HOUR)
    result: dict[str, float] = {"services": services, "days": days, "vms": vms}
    for name in ("first", "later"):
        store.calls.clear()
        begin = time.perf_counter()
        snapshot = await reader.read(now_s)
        result[f"{name}_read_ms"] = 1_000 * (time.perf_counter() - begin)
        result[f"{name}_read_calls"] = sum(store.calls.values())
        assert snapshot.is_established, snapshot.problems
    for name, render_chunks in (("html", html_chunks), ("json", json_chunks)):
        result[f"{name}_ms"] = timed_ms(
            lambda render=render_chunks: list(render(snapshot, now_s))
        )
        plain = b"".join(render_chunks(snapshot, now_s))
        result[f"{name}_bytes"] = len(plain)
        result[f"{name}_gzip_bytes"] = len(gzip.compress(plain, 6))
    result["pack_ms"] = timed_ms(lambda: pack(snapshot))
    result["packed_bytes"] = len(pack(snapshot))
    return result


def main(services: int = 10, days: int = 90, output: str = "") -> None:
    """Run the bench, print a table, and write JSON where a file is given.

    Parameters
    ----------
    services, days : int
        Size of the history for the page.
    output : str
        File for the JSON; it is printed after the table if empty.
    """
    hours = [asyncio.run(cost_of_an_hour(vms)) for vms in (8, 100, 3_600)]
    page = asyncio.run(cost_of_page(services, days, 8))
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
