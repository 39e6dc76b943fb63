"""Client sessions through real daemons to stand-ins of the users' platform."""

import asyncio
import time

import pytest

from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.cluster_view import GroupPhase
from ebonyladder.sessions.watcher import SHORT_WAIT_S
from standins.object_store import Outage
from standins.platform import SERVICE, configuration
from standins.statement_client import StatementClient
from tests.platform_fleet import running_fleet, until

pytestmark = pytest.mark.xdist_group("processes")


class TestCalmDay:
    def test_sessions_write_and_read_on_all_vms(self):
        async def play():
            async with running_fleet() as fleet:
                writer = await StatementClient.connect(fleet.address(0), "book")
                assert writer.greeting == "READY I -"
                assert (await writer.query("WRITE a one"))[0].startswith("COMPLETE s")
                assert (await writer.query("READ a"))[0] == "ROW one"
                reader = await StatementClient.connect(fleet.address(2), "pay")
                assert (await reader.query("READ a"))[0] == "ROW one"
                return fleet.platform.service.executed

        runs = asyncio.run(play())
        assert {run.organisation for run in runs} == {"council"}

    def test_transaction_commits_on_one_connection(self):
        async def play():
            async with running_fleet() as fleet:
                client = await StatementClient.connect(fleet.address(1), "pay")
                assert await client.query("SET zone w") == ["COMPLETE -", "READY I -"]
                await client.query("PREPARE s1 WRITE q2c")
                assert (await client.query("BEGIN"))[-1] == "READY T -"
                assert (await client.query("EXECUTE s1 a two"))[-1][:7] == "READY T"
                assert (await client.query("READ a"))[0] == "ROW two"
                assert (await client.query("COMMIT"))[-1][:7] == "READY I"
                return fleet.platform.service

        service = asyncio.run(play())
        assert service.databases["i-0"].data == {"a": "two"}
        assert all(run.values == {"zone": "w"} for run in service.executed)

    def test_vm_that_joins_a_led_fleet_leaves_the_watching_to_the_leader(self):
        # Guards against a fleet that calls the store more often the larger it is:
        # each VM used to list and watch five kinds at its start.
        async def play():
            async with running_fleet() as fleet:
                await until(fleet.has_leader, "a leader")
                metrics = (await fleet.add("a")).get(Metrics)
                joined = fleet.cluster(3)
                await until(lambda: joined.catalog is not None, "the catalog")
                await until(lambda: joined.endpoints, "the endpoints")
                await until(lambda: joined.vm_count == 4, "the new VM")
                return metrics.render().decode()

        text = asyncio.run(play())
        calls = [line for line in text.splitlines() if "store_calls" in line]
        assert any(Step.STORE_WRITE.value in line for line in calls)
        assert not any(Step.STORE_WATCH.value in line for line in calls)

    def test_unknown_database_and_key_are_refused(self):
        async def play():
            async with running_fleet() as fleet:
                first = await StatementClient.connect(fleet.address(0), "nothing")
                second = await StatementClient.connect(
                    fleet.address(0), "pay", "nobody"
                )
                return first.greeting, second.greeting, await second.read_line()

        first, second, rest = asyncio.run(play())
        assert first.startswith("ERROR NODB")
        assert second.startswith("ERROR UNAUTH")
        assert rest == ""


class TestPrimaryCrash:
    def test_writes_go_on_at_a_replica_with_every_commit(self):
        # Guards against a service that stays without a primary, and lost commits.
        async def play():
            async with running_fleet() as fleet:
                client = await StatementClient.connect(fleet.address(1), "pay")
                await client.query("WRITE a one")
                await fleet.platform.service.databases["i-0"].stop()
                for attempt in range(30):
                    answer = await client.query(f"WRITE b {attempt}")
                    if answer[0].startswith("COMPLETE"):
                        break
                else:
                    raise AssertionError("no write after the crash")
                group = fleet.cluster(1).groups[SERVICE]
                assert group.phase is GroupPhase.STABLE
                return fleet.platform.service, group.primary

        service, primary = asyncio.run(play())
        assert [token for _, token in service.promotions] == [1]
        assert service.databases[primary].data["a"] == "one"


class TestConfiguration:
    def test_withdrawn_key_closes_idle_sessions_on_all_vms(self):
        # Guards against a withdrawn key that keeps an open connection.
        async def play():
            async with running_fleet() as fleet:
                clients = [
                    await StatementClient.connect(fleet.address(i), "pay")
                    for i in range(3)
                ]
                fleet.platform.store.put(
                    "config", "main", configuration(2, keys=("other",))
                )
                return [await client.read_line() for client in clients]

        assert asyncio.run(play()) == ["", "", ""]

    def test_version_reaches_vms_while_the_store_turns_watches_away(self):
        # Guards against a VM that stays at an old version after its history is gone.
        async def play():
            async with running_fleet() as fleet:
                fleet.platform.store.put("config", "main", configuration(5))
                fleet.platform.store.compact()
                for index in range(3):
                    cluster = fleet.cluster(index)
                    await until(lambda r=cluster: r.version == 5, "version 5")

        asyncio.run(play())

    def test_version_that_no_watch_hears_of_is_in_force_in_time(self):
        # Guards against a watch that hears nothing after the history was dropped:
        # on sialc-stryd scale-1 a VM stayed at an old version for 7 s.
        async def play():
            async with running_fleet() as fleet:
                await asyncio.sleep(1.0)
                fleet.platform.store.put_without_notify(
                    "config", "main", configuration(5)
                )
                started_s = time.monotonic()
                for index in range(3):
                    cluster = fleet.cluster(index)
                    await until(lambda r=cluster: r.version == 5, "version 5")
                return time.monotonic() - started_s

        assert asyncio.run(play()) < 2 * SHORT_WAIT_S


class TestStoreOutage:
    @pytest.mark.parametrize(
        "outage", [Outage.UNAVAILABLE, Outage.TOO_MANY_REQUESTS, Outage.NO_RESPONSE]
    )
    def test_primary_is_read_through_an_outage(self, outage):
        # Guards against evidence that ends with the store although the leader and
        # all VMs hear each other.
        async def play():
            async with running_fleet() as fleet:
                clients = [
                    await StatementClient.connect(fleet.address(i), "pay")
                    for i in range(3)
                ]
                fleet.platform.store.outage = outage
                for _ in range(10):
                    await asyncio.sleep(0.5)
                    answers = [await c.query("READ a") for c in clients]
                    assert all(a[-1].startswith("READY I 1.") for a in answers)

        asyncio.run(play())


class TestBadInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"QUERY 1 READ a\r\n",
            b"HELLO\r\n",
            b"\xff\xfe\r\n",
            b"STARTUP\r\n",
            b"x" * (2 << 20),
        ],
    )
    def test_connection_that_breaks_the_protocol_is_closed(self, data):
        # Guards against a client that stops others by what it sends.
        async def play():
            async with running_fleet() as fleet:
                host, port = fleet.address(0).split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                try:
                    assert await reader.read() == b""
                except ConnectionError:
                    pass
                client = await StatementClient.connect(fleet.address(0), "pay")
                assert client.greeting == "READY I -"

        asyncio.run(play())

    def test_unknown_command_is_malformed_and_the_session_goes_on(self):
        async def play():
            async with running_fleet() as fleet:
                client = await StatementClient.connect(fleet.address(0), "pay")
                first = await client.query("DROP a")
                return first, await client.query("READ a")

        first, second = asyncio.run(play())
        assert first[0].startswith("ERROR MALFORMED")
        assert second[-1].startswith("READY I")
