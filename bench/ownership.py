"""CPU time to decide which groups a VM monitors, with many VMs and endpoints."""

import json
import time

import fire

from ebonyladder.configuration import (
    Configuration,
    EndpointSpec,
    GroupSpec,
    ZoneSpec,
)
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.ownership import Ownership
from ebonyladder.types import VmState
from tests.fakes import FixedConfiguration
from tests.limit_fleet import FixedMembership

RECONCILE_INTERVAL_S = 0.5
ENDPOINTS_PER_GROUP = 3


class ZonedMembership(FixedMembership):
    """Membership that does not change, with VMs spread over zones."""

    def __init__(self, *, vms: int, zones: int) -> None:
        super().__init__([f"entry-{number:05}" for number in range(vms)], set())
        records = super().members()
        self.records = [
            type(record)(
                vm=record.vm,
                zone=f"zone-{number % zones}",
                address=record.address,
                incarnation=1,
                state=VmState.ACTIVE,
                last_contact_ago_s=0.0,
            )
            for number, record in enumerate(records)
        ]

    def members(self) -> list:
        """Return the same list each time, as the plug-in does."""
        return self.records


def make_configuration(endpoints: int, zones: int) -> Configuration:
    """Return a configuration with groups of three endpoints, spread over zones."""
    names = [f"endpoint-{number:05}" for number in range(endpoints)]
    starts = range(0, endpoints, ENDPOINTS_PER_GROUP)
    return Configuration(
        endpoints={
            name: EndpointSpec(
                address="127.0.0.1:1", zone=f"zone-{n % zones}", slots=5, connections=30
            )
            for n, name in enumerate(names)
        },
        groups={
            f"group-{n}": GroupSpec(endpoints=tuple(names[n : n + ENDPOINTS_PER_GROUP]))
            for n in starts
        },
        zones={f"zone-{n}": ZoneSpec(region="region") for n in range(zones)},
    )


def main(
    *, vms: int = 3_600, endpoints: int = 7_700, zones: int = 19, rounds: int = 3
) -> None:
    """Print the CPU time of the first and of later ownership decisions.

    Parameters
    ----------
    vms, endpoints, zones : int
        Size of the fleet and of the configuration.
    rounds : int
        Decisions after the first.
    """
    clock = ManualClock()
    ownership = Ownership(
        vm="entry-00007",
        membership=ZonedMembership(vms=vms, zones=zones),
        configuration=FixedConfiguration(make_configuration(endpoints, zones)),
        clock=clock,
    )
    times_s = []
    for _ in range(rounds + 1):
        started_at_s = time.process_time()
        groups = ownership.owned_groups()
        times_s.append(round(time.process_time() - started_at_s, 4))
        clock.advance(RECONCILE_INTERVAL_S)
    print(json.dumps({"vms": vms, "endpoints": endpoints, "cpu_s": times_s}))
    print(f"groups watched by one VM: {len(groups)}")


if __name__ == "__main__":
    fire.Fire(main)
