"""Quota standbys, which grant permits while the leader is unreachable."""

import asyncio
import json
import signal
import urllib.request

import pytest

from ebonyladder.sessions.cluster_view import VmEntry
from ebonyladder.sessions.fleet.standbys import (
    STANDBY_COUNT,
    choose_standbys,
    order_report_targets,
)
from ebonyladder.types import Address, Incarnation, VmId, ZoneId
from soak.fleet import SoakFleet, SoakVm
from standins.object_store import Outage
from standins.platform import configuration
from standins.statement_client import StatementClient

START_TIMEOUT_S = 20.0
# Time until the rate shares have followed the demand.
LEARN_S = 3.0
# Longer than the TTL of grants, shorter than the takeover timeout.
LOST_S = 1.5
# Without a standby the VM would have an equal fraction, 2 operations a second.
RATE_PER_S = 10
WRITES = 25
WRITES_TIMEOUT_S = 6.0


def fleet(*vms: tuple[str, str, float]) -> dict[VmId, VmEntry]:
    """Return VMs by name, zone and number of cores."""
    return {
        VmId(name): VmEntry(
            vm=VmId(name),
            address=Address(f"{name}:1"),
            zone=ZoneId(zone),
            incarnation=Incarnation(1),
            cores=cores,
        )
        for name, zone, cores in vms
    }


class TestChooseStandbys:
    """Guards against standbys that fail with the leader or are too small."""

    VMS = fleet(
        ("leader", "a", 2.0),
        ("small", "a", 0.5),
        ("owner", "b", 2.0),
        ("large", "b", 2.0),
        ("larger", "b", 4.0),
        ("distant", "c", 1.0),
    )

    def choose(self, vms=VMS, known=()) -> list[str]:
        owners = [VmId("owner")]
        found = choose_standbys(vms, leader=VmId("leader"), owners=owners, known=known)
        return list(found)

    def test_large_vms_of_different_zones_without_endpoints_come_first(self):
        assert self.choose() == ["larger", "distant"]

    def test_current_standbys_stay_while_they_report(self):
        assert self.choose(known=["large", "gone"]) == ["large", "distant"]

    def test_standbys_are_chosen_in_a_fleet_of_one_zone(self):
        vms = fleet(("leader", "a", 1.0), ("x", "a", 1.0), ("y", "a", 1.0))
        assert self.choose(vms) == ["x", "y"]
        assert len(self.choose(vms)) == STANDBY_COUNT

    def test_leader_without_other_vms_has_no_standbys(self):
        assert self.choose(fleet(("leader", "a", 1.0))) == []


class TestReportOrder:
    """Guards against one second without grants, and two standbys in a loop.

    Connecting to an unreachable leader takes a second. Standbys that report to each
    other would both wait for grants.
    """

    STANDBYS = dict.fromkeys((VmId("one"), VmId("two")), Address("a:1"))

    def order(self, own: str, *, is_leader_lost: bool) -> list[str]:
        found = order_report_targets(
            VmId(own),
            leader={VmId("leader"): Address("a:1")},
            standbys=self.STANDBYS,
            is_leader_lost=is_leader_lost,
        )
        return list(found)

    def test_leader_comes_first_until_its_connection_is_lost(self):
        assert self.order("vm", is_leader_lost=False) == ["leader", "one", "two"]
        assert self.order("vm", is_leader_lost=True) == ["one", "two", "leader"]

    def test_standby_reports_only_to_those_before_it(self):
        assert self.order("one", is_leader_lost=True) == ["leader"]
        assert self.order("two", is_leader_lost=True) == ["one", "leader"]


def state_of(vm: SoakVm) -> dict:
    """Return the VM's ``/state``, empty before it answers."""
    url = f"http://{vm.host}:{vm.ports[1]}/state"
    try:
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            return json.load(answer)
    except OSError:
        return {}


async def wait_for_standbys(soak: SoakFleet) -> list[SoakVm]:
    """Wait until all VMs know the standbys; return leader, standbys, other VMs."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            states = [await asyncio.to_thread(state_of, vm) for vm in soak.vms]
            named = [state.get("deputies", []) for state in states]
            if len(named[0]) == STANDBY_COUNT and all(one == named[0] for one in named):
                break
            await asyncio.sleep(0.2)
    by_name = {state["vm"]: vm for state, vm in zip(states, soak.vms, strict=True)}
    standbys = [by_name[name] for name in named[0]]
    leader = next(
        vm for vm in soak.vms if "Leadership is acquired" in vm.log_path.read_text()
    )
    rest = [vm for vm in soak.vms if vm not in (leader, *standbys)]
    return [leader, *standbys, *rest]


async def write(vm: SoakVm, count: int) -> int:
    """Run writes one after the other; return how many were acknowledged."""
    client = await StatementClient.connect(vm.address, "pay")
    try:
        answers = [await client.query(f"WRITE key {n}") for n in range(count)]
    finally:
        client.close()
    return sum(lines[0].startswith("COMPLETE") for lines in answers if lines)


@pytest.mark.xdist_group("processes")
class TestLostLeader:
    """Guards against refusals within the rate limit in an outage of the store."""

    def test_caller_at_a_vm_without_a_share_is_served(self, tmp_path):
        async def scenario() -> int:
            soak = SoakFleet(folder=tmp_path, size=5)
            try:
                await soak.start()
                leader, _, _, busy, idle = await wait_for_standbys(soak)
                changed = configuration(2, rate_per_s=RATE_PER_S)
                soak.platform.store.put("config", "main", changed)
                async with asyncio.timeout(START_TIMEOUT_S):
                    await write(busy, WRITES)
                await asyncio.sleep(LEARN_S)
                soak.platform.store.outage = Outage.UNAVAILABLE
                leader.send(signal.SIGKILL)
                await asyncio.sleep(LOST_S)
                async with asyncio.timeout(WRITES_TIMEOUT_S):
                    return await write(idle, WRITES)
            finally:
                await soak.stop()

        assert asyncio.run(scenario()) == WRITES
