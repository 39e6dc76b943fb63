"""Callers' sessions through real daemons to stand-ins of the users' platform."""

import asyncio
import time

import msgspec
import pytest

from ebonyladder.kernel.error import ErrorCode, Outcome, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.cluster_view import GroupPhase
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.fleet.leadership import TAKEOVER_TIMEOUT_S
from ebonyladder.sessions.watcher import SHORT_WAIT_S
from standins.object_store import Outage
from standins.platform import SERVICE, configuration
from standins.statement_client import StatementClient
from tests.platform_fleet import running_fleet, until

pytestmark = pytest.mark.xdist_group("processes")


class TestWithoutFaults:
    """Guards against sessions that fail while all endpoints and VMs work."""

    def test_sessions_write_and_read_on_all_vms(self):
        async def scenario():
            async with running_fleet() as fleet:
                writer = await StatementClient.connect(fleet.address(0), "book")
                assert writer.greeting == "READY I -"
                assert (await writer.query("WRITE a one"))[0].startswith("COMPLETE s")
                assert (await writer.query("READ a"))[0] == "ROW one"
                reader = await StatementClient.connect(fleet.address(2), "pay")
                assert (await reader.query("READ a"))[0] == "ROW one"
                return fleet.platform.service.executed

        runs = asyncio.run(scenario())
        assert {run.organisation for run in runs} == {"council"}

    def test_transaction_commits_on_one_connection(self):
        async def scenario():
            async with running_fleet() as fleet:
                client = await StatementClient.connect(fleet.address(1), "pay")
                assert await client.query("SET zone w") == ["COMPLETE -", "READY I -"]
                await client.query("PREPARE s1 WRITE q2c")
                assert (await client.query("BEGIN"))[-1] == "READY T -"
                assert (await client.query("EXECUTE s1 a two"))[-1][:7] == "READY T"
                assert (await client.query("READ a"))[0] == "ROW two"
                assert (await client.query("COMMIT"))[-1][:7] == "READY I"
                return fleet.platform.service

        service = asyncio.run(scenario())
        assert service.databases["i-0"].data == {"a": "two"}
        assert all(run.values == {"zone": "w"} for run in service.executed)

    def test_vm_that_joins_a_fleet_with_a_leader_does_not_watch_the_store(self):
        # Guards against store calls that grow with the number of VMs: each VM once
        # listed and watched five kinds at its start.
        async def scenario():
            async with running_fleet() as fleet:
                await until(fleet.has_leader, "a leader")
                metrics = (await fleet.add("a")).get(Metrics)
                joined = fleet.cluster(3)
                await until(lambda: joined.catalog is not None, "the catalog")
                await until(lambda: joined.endpoints, "the endpoints")
                await until(lambda: joined.vm_count == 4, "the new VM")
                return metrics.render().decode()

        text = asyncio.run(scenario())
        calls = [line for line in text.splitlines() if "store_calls" in line]
        assert any(Step.STORE_WRITE.value in line for line in calls)
        assert not any(Step.STORE_WATCH.value in line for line in calls)

    def test_unknown_database_and_key_are_refused(self):
        # Guards against a session without authorisation.
        async def scenario():
            async with running_fleet() as fleet:
                first = await StatementClient.connect(fleet.address(0), "nothing")
                second = await StatementClient.connect(
                    fleet.address(0), "pay", "nobody"
                )
                return first.greeting, second.greeting, await second.read_line()

        first, second, rest = asyncio.run(scenario())
        assert first.startswith("ERROR NODB")
        assert second.startswith("ERROR UNAUTH")
        assert rest == ""


class TestPrimaryCrash:
    def test_promoted_replica_accepts_writes_and_has_every_commit(self):
        # Guards against a service that stays without a primary, and lost commits.
        async def scenario():
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
                leader = fleet.platform.store.objects["ebonyladder-leaders"]["leader"]
                return fleet.platform.service, leader["spec"]["token"], group.primary

        service, token, primary = asyncio.run(scenario())
        assert [sent for _, sent in service.promotions] == [token]
        assert service.databases[primary].data["a"] == "one"


class TestConfiguration:
    def test_withdrawn_key_closes_idle_sessions_on_all_vms(self):
        # Guards against a withdrawn key that keeps an open connection.
        async def scenario():
            async with running_fleet() as fleet:
                clients = [
                    await StatementClient.connect(fleet.address(i), "pay")
                    for i in range(3)
                ]
                fleet.platform.store.put(
                    "config", "main", configuration(2, keys=("other",))
                )
                return [await client.read_line() for client in clients]

        assert asyncio.run(scenario()) == ["", "", ""]

    def test_version_reaches_all_vms_after_the_store_was_compacted(self):
        # Guards against a VM that keeps an old version once the store refuses its
        # watch, since the revision that the watch starts at was compacted.
        async def scenario():
            async with running_fleet() as fleet:
                fleet.platform.store.put("config", "main", configuration(5))
                fleet.platform.store.compact()
                for index in range(3):
                    cluster = fleet.cluster(index)
                    await until(
                        lambda cluster=cluster: cluster.version == 5, "version 5"
                    )

        asyncio.run(scenario())

    def test_version_without_a_watch_event_is_applied_in_time(self):
        # Guards against a watch that gets no event after a compaction: in a deployment,
        # a VM kept an old version for 7 s.
        async def scenario():
            async with running_fleet() as fleet:
                await asyncio.sleep(1.0)
                fleet.platform.store.put_without_notify(
                    "config", "main", configuration(5)
                )
                started_at_s = time.monotonic()
                for index in range(3):
                    cluster = fleet.cluster(index)
                    await until(
                        lambda cluster=cluster: cluster.version == 5, "version 5"
                    )
                return time.monotonic() - started_at_s

        assert asyncio.run(scenario()) < 2 * SHORT_WAIT_S


class TestStoreOutage:
    @pytest.mark.parametrize(
        "outage", [Outage.UNAVAILABLE, Outage.TOO_MANY_REQUESTS, Outage.NO_RESPONSE]
    )
    def test_primary_serves_reads_during_an_outage(self, outage):
        # Guards against group states that count as stale once the store is down,
        # although the leader and all VMs reach each other.
        async def scenario():
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

        asyncio.run(scenario())


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
    def test_connection_that_violates_the_protocol_is_closed(self, data):
        # Guards against input of one caller that stops the service for others.
        async def scenario():
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

        asyncio.run(scenario())

    def test_session_continues_after_an_unknown_command(self):
        # Guards against a closed session because of one malformed command.
        async def scenario():
            async with running_fleet() as fleet:
                client = await StatementClient.connect(fleet.address(0), "pay")
                first = await client.query("DROP a")
                return first, await client.query("READ a")

        first, second = asyncio.run(scenario())
        assert first[0].startswith("ERROR MALFORMED")
        assert second[-1].startswith("READY I")


class TestHandOver:
    def test_leadership_is_released_only_after_a_promotion_in_flight(self):
        # Guards against a promotion of the former leader that reaches the platform
        # after one of the next.
        async def scenario() -> list[bool]:
            async with running_fleet() as fleet:
                plugins = [k.get(FailoverCoordination) for k in fleet.kernels]
                leader = next(p for p in plugins if p.fencing_token() is not None)
                leader.failover.has_no_calls.clear()
                leader.kernel.draining = True
                releasing = asyncio.create_task(leader.announce_drain())
                await asyncio.sleep(0.1)
                found = [leader.leadership.is_holder, leader.fencing_token() is None]
                leader.failover.has_no_calls.set()
                await releasing
                return [*found, leader.leadership.record.is_released]

        assert asyncio.run(scenario()) == [True, True, True]

    @pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
    def test_release_is_repeated_after_a_failed_write(self, outcome):
        # Guards against a leader that stays until its process ends, since the write of
        # the release met a renewal or an outage, and against two leaders after a
        # release whose answer was lost.
        async def scenario() -> list[int | None]:
            async with running_fleet() as fleet:
                plugins = [k.get(FailoverCoordination) for k in fleet.kernels]
                leader = next(p for p in plugins if p.fencing_token() is not None)
                replace = leader.store.replace
                tokens: list[int | None] = []

                async def fail_once(*args):
                    tokens.append(leader.leader.fencing_token)
                    if outcome is Outcome.UNKNOWN:
                        await replace(*args)
                    leader.store.replace = replace
                    raise StoreError(
                        code=ErrorCode.STORE_UNAVAILABLE,
                        step=Step.STORE_WRITE,
                        outcome=outcome,
                    )

                leader.store.replace = fail_once
                leader.kernel.draining = True
                async with asyncio.timeout(10):
                    await leader.announce_drain()
                record = fleet.platform.store.objects["ebonyladder-leaders"]["leader"]
                spec = record["spec"]
                vm = leader.cluster.vm
                assert spec["is_released"] or spec["holder"] != vm
                return tokens

        assert asyncio.run(scenario()) == [None]

    @pytest.mark.parametrize("is_answered", [True, False])
    def test_leadership_is_released_during_the_drain_after_a_slow_promotion(
        self, is_answered
    ):
        # Guards against a leader that promotes nothing any more, but is obeyed until
        # its process ends.
        async def scenario() -> float:
            async with running_fleet() as fleet:
                plugins = [k.get(FailoverCoordination) for k in fleet.kernels]
                leader = next(p for p in plugins if p.fencing_token() is not None)
                now_s = leader.kernel.clock.now_s
                leader.kernel.reload(
                    msgspec.structs.replace(leader.kernel.settings, grace_s=20.0)
                )
                leader.failover.has_no_calls.clear()
                draining = asyncio.create_task(leader.kernel.drain())
                await asyncio.sleep(2.0)
                if not is_answered:
                    leader.failover.unanswered_at_s = now_s()
                ended_at_s = now_s()
                leader.failover.has_no_calls.set()
                await until(lambda: leader.leadership.record.is_released, "the release")
                released_s = now_s() - ended_at_s
                assert not draining.done()
                draining.cancel()
                return released_s

        released_s = asyncio.run(scenario())
        assert released_s >= (0.0 if is_answered else TAKEOVER_TIMEOUT_S)
