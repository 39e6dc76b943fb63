"""Ownership of connections to endpoints in large fleets."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.sessions.catalog import Service
from ebonyladder.sessions.cluster_view import ClusterView, VmEntry
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.ownership import assign_owners, needs_owners
from ebonyladder.types import (
    Address,
    EndpointId,
    Incarnation,
    ServiceId,
    VmId,
    ZoneId,
)
from standins.platform import ZONES, configuration
from standins.statement_client import StatementClient
from tests.platform_fleet import running_fleet, until
from tests.session_fakes import SERVICE, cluster


def service(max_connections: int) -> Service:
    """Return a service whose endpoints accept this many connections."""
    return Service(
        name=ServiceId(SERVICE), max_connections=max_connections, sync_replicas=1
    )


def vm(name: str, zone: str, cores: float = 1.0) -> VmEntry:
    """Return a registered VM."""
    return VmEntry(
        vm=VmId(name),
        address=Address(f"{name}:1"),
        zone=ZoneId(zone),
        incarnation=Incarnation(1),
        cores=cores,
    )


class TestNeedsOwners:
    def test_vms_of_a_small_fleet_hold_their_own_connections(self):
        # Guards against forwarding in a fleet of eight, which doesn't need it.
        assert not needs_owners(service(32), vm_count=8)

    def test_vms_of_a_large_fleet_share_connections(self):
        # Guards against connections of 86 VMs to an endpoint that accepts 80.
        assert needs_owners(service(80), vm_count=86)
        assert needs_owners(service(198), vm_count=72)


class TestAssignment:
    def setup_method(self):
        self.cluster = cluster(ManualClock())
        self.cluster.fleet = {ZoneId("a"): 40, ZoneId("b"): 40}

    def owners(self, *entries: VmEntry, leader: str = "nobody") -> dict[str, str]:
        """Return the owners' names by endpoint."""
        found = assign_owners(
            cluster=self.cluster,
            vms={entry.vm: entry for entry in entries},
            leader=VmId(leader),
        )
        return {endpoint: owner.vm for endpoint, owner in found.items()}

    def test_owner_is_in_the_endpoint_s_zone(self):
        # Guards against statements that cross zones between owner and endpoint.
        found = self.owners(vm("a-1", "a"), vm("b-1", "b"))
        assert found == {"near": "a-1", "primary": "b-1", "far": "b-1"}

    def test_larger_vms_own_and_share_the_endpoints(self):
        # Guards against a small VM, or only one large VM, serving most statements.
        found = self.owners(
            vm("a-1", "a"),
            vm("b-1", "b", 0.5),
            vm("b-2", "b", 2.0),
            vm("b-3", "b", 2.0),
        )
        assert {found["primary"], found["far"]} == {"b-2", "b-3"}

    def test_leader_owns_nothing_while_another_vm_can(self):
        # Guards against an endpoint that becomes unreachable when the leader fails.
        found = self.owners(vm("b-1", "b"), vm("b-2", "b"), leader="b-1")
        assert "b-1" not in found.values()

    def test_leader_owns_an_endpoint_that_its_owner_can_t_reach(self):
        # Guards against a service that stops because its primary's owner is
        # partitioned.
        self.cluster.owners = assign_owners(
            cluster=self.cluster,
            vms={VmId("b-9"): vm("b-9", "b")},
            leader=VmId("nobody"),
        )
        found = assign_owners(
            cluster=self.cluster,
            vms={VmId("b-9"): vm("b-9", "b"), VmId("a-1"): vm("a-1", "a")},
            leader=VmId("a-1"),
            reachable_from_leader=frozenset({EndpointId("primary")}),
        )
        assert found[EndpointId("primary")].vm == "a-1"
        assert found[EndpointId("far")].vm == "b-9"

    @pytest.mark.parametrize("is_leader", [False, True])
    def test_draining_vm_owns_nothing_while_another_vm_can(self, is_leader):
        # Guards against statements that are forwarded to a VM until it is gone.
        first = vm("b-9", "b")
        self.cluster.owners = assign_owners(
            cluster=self.cluster, vms={first.vm: first}, leader=VmId("nobody")
        )
        found = assign_owners(
            cluster=self.cluster,
            vms={first.vm: first, VmId("a-1"): vm("a-1", "a")},
            leader=first.vm if is_leader else VmId("a-1"),
            reachable_from_leader=frozenset({EndpointId("primary")}),
            draining=frozenset({first.vm}),
        )
        assert {owner.vm for owner in found.values()} == {"a-1"}

    def test_draining_vms_own_endpoints_if_no_other_vm_can(self):
        # Guards against an endpoint without an owner while all VMs stop.
        only = vm("b-9", "b")
        found = assign_owners(
            cluster=self.cluster,
            vms={only.vm: only},
            leader=VmId("nobody"),
            draining=frozenset({only.vm}),
        )
        assert {owner.vm for owner in found.values()} == {"b-9"}

    def test_reporting_owner_stays(self):
        # Guards against connections that are opened again whenever a VM joins.
        first = assign_owners(
            cluster=self.cluster,
            vms={VmId("b-9"): vm("b-9", "b")},
            leader=VmId("nobody"),
        )
        self.cluster.owners = first
        found = self.owners(vm("b-9", "b"), vm("b-1", "b", 4.0), vm("a-1", "a"))
        assert found["primary"] == "b-9"


@pytest.mark.xdist_group("processes")
class TestForwarding:
    """Guards against statements that fail when an endpoint has an owner.

    The endpoints accept too few connections for all three daemons.
    """

    @staticmethod
    async def require_owners(fleet, timeout_ms: int = 1000) -> None:
        """Reduce the connections that endpoints accept, and wait for the owners."""
        found = configuration(2)
        for route in found["routes"]:
            route["timeout_ms"] = timeout_ms
        found["services"][0]["max_connections"] = 6
        fleet.platform.store.put("config", "main", found)
        for index in range(3):
            cluster = fleet.cluster(index)
            await until(lambda cluster=cluster: len(cluster.owners) == 3, "owners")

    def test_statements_reach_endpoints_through_their_owners(self):
        async def scenario():
            async with running_fleet() as fleet:
                await self.require_owners(fleet)
                clients = [
                    await StatementClient.connect(fleet.address(i), "book")
                    for i in range(3)
                ]
                for number, client in enumerate(clients):
                    assert (await client.query(f"WRITE a {number}"))[0][
                        :8
                    ] == "COMPLETE"
                    assert (await client.query("READ a"))[0] == f"ROW {number}"
                    await client.query("BEGIN")
                    await client.query(f"WRITE b {number}")
                    assert (await client.query("READ b"))[0] == f"ROW {number}"
                    assert (await client.query("COMMIT"))[-1][:7] == "READY I"
                return fleet.platform.service

        service = asyncio.run(scenario())
        assert service.databases["i-0"].data == {"a": "2", "b": "2"}

    def test_transaction_with_pauses_outlasts_the_statement_timeout(self):
        # Guards against a transaction whose later statements inherit the deadline
        # of its first one.
        async def scenario():
            async with running_fleet() as fleet:
                await self.require_owners(fleet)
                for database in fleet.platform.service.databases.values():
                    database.statement_s = 0.05
                client = await StatementClient.connect(fleet.address(2), "pay")
                await client.query("BEGIN")
                for number in range(4):
                    answer = await client.query(f"WRITE a {number}")
                    assert answer[0].startswith("COMPLETE"), answer
                    await asyncio.sleep(0.5)
                answer = await client.query("COMMIT")
                assert answer[0].startswith("COMPLETE"), answer

        asyncio.run(scenario())

    def test_transaction_of_a_disconnected_caller_is_rolled_back_at_the_owner(self):
        # Guards against a transaction that stays open at the owner when its caller's
        # connection to another VM ends.
        async def scenario():
            async with running_fleet() as fleet:
                await self.require_owners(fleet)
                client = await StatementClient.connect(fleet.address(2), "pay")
                await client.query("BEGIN")
                await client.query("WRITE a one")
                client.close()
                other = await StatementClient.connect(fleet.address(1), "pay")
                answer = await other.query("WRITE a two")
                return answer, fleet.platform.service.databases["i-0"].data

        answer, data = asyncio.run(scenario())
        assert answer[0].startswith("COMPLETE")
        assert data == {"a": "two"}

    def test_writes_continue_after_the_owner_has_stopped(self):
        # Guards against an endpoint that stays unreachable after its owner has stopped.
        async def scenario():
            async with running_fleet() as fleet:
                await self.require_owners(fleet)
                owner = fleet.cluster(0).owners["i-0"].vm
                index = next(
                    i for i, k in enumerate(fleet.kernels) if k.settings.vm == owner
                )
                others = [i for i in range(3) if i != index]
                await fleet.kernels[index].stop()
                client = await StatementClient.connect(fleet.address(others[0]), "pay")
                for attempt in range(30):
                    answer = await client.query(f"WRITE a {attempt}")
                    if answer[0].startswith("COMPLETE"):
                        return
                raise AssertionError("no write after the owner has stopped")

        asyncio.run(scenario())


@pytest.mark.xdist_group("processes")
class TestStop:
    """Guards against failures of statements whose endpoint's owner stops."""

    @staticmethod
    async def stop(kernel: Kernel, grace_s: float) -> None:
        """Drain and stop a VM, as SIGTERM does."""
        kernel.reload(msgspec.structs.replace(kernel.settings, grace_s=grace_s))
        await kernel.drain()
        await kernel.stop()

    @staticmethod
    @asynccontextmanager
    async def running_owners():
        """Run a fleet in which the leader isn't the primary's owner.

        The first daemon leads, and shares the primary's zone with another one.
        """
        async with running_fleet() as fleet:
            await fleet.add(next(iter(ZONES)))
            await until(fleet.has_leader, "contact of all VMs with the leader")
            await TestForwarding.require_owners(fleet, timeout_ms=10_000)
            yield fleet

    @staticmethod
    def find_vms(fleet) -> tuple[Kernel, Kernel, Kernel]:
        """Return the leader, the primary's owner and another VM."""
        leader = next(
            kernel
            for kernel in fleet.kernels
            if kernel.get(FailoverCoordination).fencing_token() is not None
        )
        name = fleet.cluster(0).owners["i-0"].vm
        owner = next(k for k in fleet.kernels if k.settings.vm == name)
        others = [k for k in fleet.kernels if k not in (leader, owner)]
        assert len(others) == len(fleet.kernels) - 2
        return leader, owner, others[0]

    def test_commit_that_runs_at_the_owner_is_answered(self):
        async def scenario():
            async with self.running_owners() as fleet:
                _, owner, other = self.find_vms(fleet)
                address = other.settings.callers
                client = await StatementClient.connect(address, "pay")
                await client.query("BEGIN")
                await client.query("WRITE a 1")
                for database in fleet.platform.service.databases.values():
                    database.statement_s = 1.0
                stopping = asyncio.create_task(self.stop(owner, grace_s=3.0))
                # The owner accepts no more work before the commit is answered.
                await asyncio.sleep(1.0)
                answer = await client.query("COMMIT")
                await stopping
                return answer

        answer = asyncio.run(scenario())
        assert answer[0].startswith("COMPLETE"), answer

    @pytest.mark.parametrize("stops_leader", [False, True])
    def test_statements_succeed_while_a_vm_stops(self, stops_leader):
        # Guards against statements in doubt, and against an owner that is used until
        # it is gone.
        async def scenario():
            async with self.running_owners() as fleet:
                for database in fleet.platform.service.databases.values():
                    database.statement_s = 0.3
                leader, owner, other = self.find_vms(fleet)
                stopped = leader if stops_leader else owner
                address = other.settings.callers
                stopping = asyncio.create_task(self.stop(stopped, grace_s=4.0))
                calls = []
                while not stopping.done():
                    calls.append(asyncio.create_task(self.write(address)))
                    await asyncio.sleep(0.1)
                return await asyncio.gather(*calls)

        answers = asyncio.run(scenario())
        assert len(answers) >= 10
        assert [a for a in answers if not a[0].startswith("COMPLETE")] == []

    def test_owner_changes_as_soon_as_it_drains(self):
        async def scenario():
            async with self.running_owners() as fleet:
                _, owner, _ = self.find_vms(fleet)
                stopping = asyncio.create_task(self.stop(owner, grace_s=20.0))
                name = owner.settings.vm
                for kernel in fleet.kernels:
                    view = kernel.get(ClusterView)
                    await until(
                        lambda view=view: all(
                            o.vm != name for o in view.owners.values()
                        ),
                        "another owner",
                    )
                assert not stopping.done()
                stopping.cancel()

        asyncio.run(scenario())

    @staticmethod
    async def write(address: str) -> list[str]:
        """Return the answer to a write of a new session."""
        client = await StatementClient.connect(address, "pay")
        return await client.query("WRITE a 1")
