"""Demonstration of the whole system on loopback through the command line."""

import json
import subprocess
import sys
import time
from typing import Any

import fire

from standins.deployment import OPERATOR_KEY, SIALC_STRYD, Deployment, Vm, wait_until

ORGANISATION = "org-1"
PARTITION = "town-square-1"
FAILOVER_TIMEOUT_S = 20.0


class StepError(Exception):
    """Step of the demonstration whose result is not the expected one."""


class Demo:
    """Steps of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        Running deployment.
    """

    def __init__(self, *, deployment: Deployment) -> None:
        self.deployment = deployment
        self.service = deployment.site.service
        self.key = ""
        self.digest = ""
        self.session = ""
        self.group = ""

    def run(self) -> None:
        """Run all steps."""
        for step in (
            self.grant_key,
            self.write_and_read_elsewhere,
            self.run_transaction,
            self.take_zone_out_and_in,
            self.kill_primary,
            self.withdraw_key,
            self.show_status,
        ):
            print(f"\n== {step.__doc__}")
            step()

    # Commands.

    def operator(self, *words: str) -> dict[str, Any]:
        """Run an operator's command on the first VM."""
        vm = self.deployment.vms[0]
        return self._command(
            *words, f"--operator=http://{vm.operator}", f"--key={OPERATOR_KEY}"
        )

    def caller(self, vm: Vm, *words: str, refused: bool = False) -> dict[str, Any]:
        """Run a caller's command on one VM."""
        return self._command(
            "call",
            *words,
            f"--service={self.service}",
            f"--partition={PARTITION}",
            f"--daemon={vm.url}",
            f"--key={self.key}",
            refused=refused,
        )

    def _command(self, *words: str, refused: bool = False) -> dict[str, Any]:
        done = subprocess.run(
            [sys.executable, "-m", "ebonyladder.cli", *words, "--json"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if (done.returncode == 0) is refused:
            raise StepError(
                f"command {' '.join(words[:3])} exited with {done.returncode}: "
                f"{done.stdout.strip() or done.stderr.strip()}"
            )
        return json.loads(done.stdout)

    def _write(self, vm: Vm, text: str) -> dict[str, Any]:
        options = [f"--session={self.session}"] if self.session else []
        answer = self.caller(vm, "write", text, *options)
        self.session = answer["session"]
        return answer

    # Steps.

    def grant_key(self) -> None:
        """An operator grants a key."""
        granted = self.operator("key", "grant", ORGANISATION)
        self.key, self.digest = granted["key"], granted["digest"]
        print(f"active on {len(granted['confirmed'])} VMs")

    def write_and_read_elsewhere(self) -> None:
        """A session writes through one VM and reads its write through another."""
        first, second = self.deployment.vms[:2]
        written = self._write(first, "PUT pitch reserved")
        print(f"written at {written['endpoint']}, position {written['position']}")
        self.group = self.deployment.endpoints[written["endpoint"]][2]
        read = self.caller(second, "read", "GET pitch", f"--session={self.session}")
        if read["rows"] != ["reserved"]:
            raise StepError(f"the session did not read back its own write: {read}")
        print(f"read back through {second.name} from a {read['role']}")
        wait_until(lambda: self._is_read_from_replica(second), "a read at a replica")

    def _is_read_from_replica(self, vm: Vm) -> bool:
        read = self.caller(vm, "read", "GET pitch", f"--session={self.session}")
        if read["role"] == "replica":
            print(f"read from replica {read['endpoint']}: {read['rows']}")
        return read["role"] == "replica"

    def run_transaction(self) -> None:
        """A transaction of several statements commits as a whole."""
        done = self.caller(
            self.deployment.vms[0],
            "transaction",
            "PUT artist asha",
            "ADD payments 25",
            "read:GET artist",
        )
        self.session = done["commit"]["session"]
        print(f"committed at position {done['commit']['position']}")

    def take_zone_out_and_in(self) -> None:
        """An operator takes a zone out and brings it back."""
        zone = self.deployment.site.zones[1]
        out = self.operator("zone", "out", zone)
        print(f"{zone} is out, confirmed by {len(out['confirmed'])} VMs")
        answer = self._write(self.deployment.vms[0], "PUT pitch moved")
        if self.deployment.endpoints[answer["endpoint"]][1] == zone:
            raise StepError(f"{zone} still got new work: {answer}")
        back = self.operator("zone", "in", zone)
        print(f"{zone} is back, confirmed by {len(back['confirmed'])} VMs")

    def kill_primary(self) -> None:
        """A primary is killed while writes continue."""
        primary = self.deployment.primary_of(self.group)
        if primary is None:
            raise StepError(f"{self.group} has no primary")
        self.deployment.kill(primary)
        killed_at_s = time.monotonic()
        while time.monotonic() < killed_at_s + FAILOVER_TIMEOUT_S:
            try:
                answer = self._write(self.deployment.vms[0], "PUT pitch safe")
            except StepError:
                continue
            gap_s = time.monotonic() - killed_at_s
            print(
                f"{primary} was killed; {answer['endpoint']} served a write in term "
                f"{answer['term']} {gap_s:.2f} s later, command start included"
            )
            return
        raise StepError(f"no write within {FAILOVER_TIMEOUT_S:.0f} s of the kill")

    def withdraw_key(self) -> None:
        """An operator withdraws the key; the next request is refused."""
        self.operator("key", "withdraw", self.digest)
        for vm in self.deployment.vms:
            refused = self.caller(vm, "read", "GET pitch", refused=True)["error"]
            print(f"{vm.name}: {refused['code']}, {refused['outcome']}")

    def show_status(self) -> None:
        """Anybody reads the public status."""
        vm = self.deployment.vms[0]
        print(f"page: {vm.url}/status")
        done = subprocess.run(
            [sys.executable, "-m", "scripts.show_status", f"{vm.url}/status.json"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if done.returncode:
            raise StepError(done.stderr.strip().splitlines()[-1])
        print(done.stdout.strip())


def main(keep: bool = False) -> None:
    """Run the demonstration.

    Parameters
    ----------
    keep : bool
        Keep the processes running afterwards, until interrupted.
    """
    with Deployment(site=SIALC_STRYD, vms=3) as deployment:
        print(f"{len(deployment.processes)} processes are up")
        try:
            Demo(deployment=deployment).run()
        except (StepError, TimeoutError, subprocess.TimeoutExpired) as error:
            sys.exit(f"demo failed: {error}")
        print("\nThe demonstration is complete.")
        if keep:
            describe(deployment)
            try:
                while True:
                    time.sleep(60)
            except KeyboardInterrupt:
                print("stopping")


def describe(deployment: Deployment) -> None:
    """Print the addresses and keys that manual requests need."""
    for vm in deployment.vms:
        print(f"{vm.name} in {vm.zone}: callers {vm.url}, operators {vm.operator}")
    print(f"operator key: {OPERATOR_KEY}")
    name = next(iter(deployment.keys))
    print(f"key of {name}: {deployment.keys[name]}")
    print("Interrupt with Ctrl-C.")


if __name__ == "__main__":
    fire.Fire(main)
