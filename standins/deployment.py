"""Run a store, endpoints and daemons as processes on loopback."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import NamedTuple

from websockets.sync.client import connect

from ebonyladder.document import ConfigurationDocument
from standins.address import free_addresses

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
OPERATOR_KEY = "operator-key-of-the-demo"


class Site(NamedTuple):
    """Properties of one user's deployment: names, sizes and delays."""

    service: str
    zones: tuple[str, ...]
    regions: tuple[str, ...]
    slots: int
    connections: int
    connect_ms: float
    statement_ms: float
    lag_ms: float
    network_ms: float
    organisations: dict[str, tuple[float, float]]


ORGANISATIONS = {
    "org-large-1": (2000.0, 400.0),
    "org-large-2": (2000.0, 400.0),
    **{f"org-{number}": (400.0, 80.0) for number in range(1, 7)},
}
SIALC_STRYD = Site(
    service="square-ledger",
    zones=("caerdydd-a", "bangor-a", "aber-a"),
    regions=("caerdydd", "bangor", "aber"),
    slots=5,
    connections=30,
    connect_ms=10.0,
    statement_ms=1.0,
    lag_ms=200.0,
    network_ms=1.0,
    organisations=ORGANISATIONS,
)
CARONI_BALLAST = SIALC_STRYD._replace(
    service="order-ledger",
    zones=("arima-a", "couva-a", "fernando-a"),
    regions=("arima", "couva", "fernando"),
    slots=3,
    connections=40,
    network_ms=1.5,
)


def wait_until(condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a condition is true.

    Raises
    ------
    TimeoutError
        If it is not true within ``timeout_s`` seconds; the message names ``what``.
    """
    end_at_s = time.monotonic() + timeout_s
    while time.monotonic() < end_at_s:
        if condition():
            return
        time.sleep(POLL_S)
    raise TimeoutError(f"{what} did not happen within {timeout_s:.0f} s")


class Vm(NamedTuple):
    """One daemon of a deployment."""

    name: str
    zone: str
    caller: str
    peer: str
    operator: str

    @property
    def url(self) -> str:
        """Base address for callers."""
        return f"http://{self.caller}"


class Deployment:
    """Store, endpoints and daemons of one deployment, as processes.

    Parameters
    ----------
    site : Site
        Names, sizes and delays.
    vms : int
        Number of daemons, spread over the zones.
    groups : int
        Number of database groups, each with one endpoint in each zone.
    log_level : str
        Log level of the daemons.
    daemon : tuple of str
        Module of the daemons, and further arguments for it.
    """

    def __init__(
        self,
        *,
        site: Site = SIALC_STRYD,
        vms: int = 3,
        groups: int = 3,
        log_level: str = "info",
        daemon: tuple[str, ...] = ("ebonyladder.daemon",),
    ) -> None:
        self.site = site
        self.daemon = daemon
        self.folder = Path(tempfile.mkdtemp(prefix="ebonyladder-"))
        self.log_level = log_level
        self.processes: dict[str, subprocess.Popen] = {}
        self.keys = {name: f"key-of-{name}" for name in site.organisations}
        addresses = iter(free_addresses(1 + 3 * groups + 3 * vms))
        self.store = next(addresses)
        self.endpoints = {
            f"g{group}-{zone}": (next(addresses), zone, f"g{group}")
            for group in range(1, groups + 1)
            for zone in site.zones
        }
        self.vms = [
            Vm(
                f"vm-{number + 1}",
                site.zones[number % len(site.zones)],
                *(next(addresses) for _ in range(3)),
            )
            for number in range(vms)
        ]

    def __enter__(self) -> "Deployment":
        """Start all processes and wait until the daemons accept work."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill all processes."""
        self.stop()

    def start(self) -> None:
        """Start the store, endpoints and daemons; return once the daemons are up."""
        self.start_store()
        for name in self.endpoints:
            self.start_endpoint(name)
        wait_until(self._store_answers, "the start of the store")
        self.set_vm_list()
        self._put_configuration()
        (self.folder / "secret").write_text("fleet-secret-of-the-demo")
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.await_vm(vm)

    def stop(self) -> None:
        """Kill all processes and wait for their end; resume those that are paused."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    # Processes.

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("a")
        process = subprocess.Popen(
            [sys.executable, *command],
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()
        self.processes[name] = process
        return process

    def start_store(self) -> None:
        """Start the store stand-in."""
        host, _, port = self.store.rpartition(":")
        self._spawn("store", "-m", "standins.store", f"--host={host}", f"--port={port}")

    def start_endpoint(self, name: str) -> None:
        """Start one endpoint stand-in; it reads the log of its previous run."""
        site = self.site
        host, _, port = self.endpoints[name][0].rpartition(":")
        self._spawn(
            name,
            "-m",
            "standins.endpoint",
            f"--name={name}",
            f"--host={host}",
            f"--port={port}",
            f"--slots={site.slots}",
            f"--connections={site.connections}",
            f"--connect_ms={site.connect_ms}",
            f"--statement_ms={site.statement_ms}",
            f"--lag_ms={site.lag_ms}",
            f"--network_ms={site.network_ms}",
            f"--data={self.folder / (name + '.data')}",
        )

    def start_vm(self, vm: Vm) -> None:
        """Start one daemon."""
        settings = {
            "vm": vm.name,
            "zone": vm.zone,
            "caller": vm.caller,
            "peer": vm.peer,
            "operator": vm.operator,
            "store": self.store,
            "seeds": [other.peer for other in self.vms if other != vm],
            "fleet_secret_file": str(self.folder / "secret"),
            "operator_key_digests": [digest_of(OPERATOR_KEY)],
            "log_level": self.log_level,
        }
        path = self.folder / f"{vm.name}.json"
        path.write_text("// Settings of one daemon.\n" + json.dumps(settings, indent=2))
        self._spawn(vm.name, "-m", *self.daemon, f"--settings={path}")

    def await_vm(self, vm: Vm) -> None:
        """Wait until a daemon accepts work; raise ``RuntimeError`` if it has ended."""

        def is_up() -> bool:
            if self.processes[vm.name].poll() is not None:
                log = (self.folder / f"{vm.name}.log").read_text().splitlines()
                raise RuntimeError(f"{vm.name} has ended: {log[-1] if log else ''}")
            return self.is_healthy(vm)

        wait_until(is_up, f"the start of {vm.name}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    # Store and configuration.

    def _store_answers(self) -> bool:
        try:
            self.control_store()
        except OSError:
            return False
        return True

    def control_store(self, **fields: object) -> None:
        """Set the outage, the delay or the VM list of the store."""
        request = urllib.request.Request(
            f"http://{self.store}/control",
            data=json.dumps(fields).encode(),
            headers={"Content-Type": "application/json"},
        )
        urllib.request.urlopen(request, timeout=5).close()

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the store by kind."""
        with urllib.request.urlopen(f"http://{self.store}/calls", timeout=5) as answer:
            return json.load(answer)

    def set_vm_list(self, without: tuple[str, ...] = ()) -> None:
        """Set the platform's list of VMs to those of the deployment."""
        listed = [
            {
                "vm": vm.name,
                "zone": vm.zone,
                "peer_address": vm.peer,
                "state": "active",
            }
            for vm in self.vms
            if vm.name not in without
        ]
        self.control_store(vms=listed)

    def configuration(self) -> str:
        """Return the configuration text of the deployment."""
        site = self.site
        groups: dict[str, dict] = {}
        for name, (_, _, group) in self.endpoints.items():
            groups.setdefault(group, {"endpoints": []})["endpoints"].append(name)
        content = {
            "services": {
                site.service: {"groups": sorted(groups), "depends_on": []},
                "booking-site": {"depends_on": [site.service]},
            },
            "groups": groups,
            "endpoints": {
                name: {
                    "address": address,
                    "zone": zone,
                    "slots": site.slots,
                    "connections": site.connections,
                }
                for name, (address, zone, _) in self.endpoints.items()
            },
            "zones": {
                zone: {"region": region}
                for zone, region in zip(site.zones, site.regions, strict=True)
            },
            "organisations": {
                name: {
                    "rate_per_s": rate,
                    "burst": burst,
                    "key_digests": [digest_of(self.keys[name])],
                }
                for name, (rate, burst) in site.organisations.items()
            },
        }
        return "// Configuration of the demo.\n" + json.dumps(content, indent=2)

    def _put_configuration(self) -> None:
        document = ConfigurationDocument(text=self.configuration())
        request = urllib.request.Request(
            f"http://{self.store}/objects/configuration",
            data=document.encode(),
            headers={"X-Expected-Version": "0"},
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=5).close()

    # State as seen from outside.

    def is_healthy(self, vm: Vm) -> bool:
        """Tell whether a daemon accepts new work."""
        try:
            with urllib.request.urlopen(f"{vm.url}/healthz", timeout=2):
                return True
        except OSError:
            return False

    def admin(self, endpoint: str, **fields: object) -> dict:
        """Change the faults of an endpoint and return its state and history."""
        address = self.endpoints[endpoint][0]
        with connect(f"ws://{address}/admin", max_size=None) as connection:
            connection.send(json.dumps(fields))
            return json.loads(connection.recv())

    def history_of(self, endpoint: str) -> list[dict]:
        """Return an endpoint's statement history; wait for one that is starting."""
        histories: list[list[dict]] = []

        def is_up() -> bool:
            try:
                histories.append(self.admin(endpoint, history=True)["history"])
            except OSError:
                return False
            return True

        wait_until(is_up, f"the start of {endpoint}")
        return histories[-1]

    def primary_of(self, group: str) -> str | None:
        """Return a group's primary, as its endpoints report it themselves."""
        primaries: list[tuple[int, str]] = []
        for name, (_, _, of_group) in self.endpoints.items():
            if of_group != group or self.processes[name].poll() is not None:
                continue
            try:
                report = self.admin(name)["report"]
            except OSError:
                continue
            if report["role"] == "primary":
                primaries.append((report["log_term"], name))
        return max(primaries)[1] if primaries else None


def digest_of(key: str) -> str:
    """Return the digest that stands for a key in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()
