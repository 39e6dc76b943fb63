"""Tests of the hop between VMs over real sockets."""

import asyncio

import pytest

from ebonyladder.membership import Membership
from ebonyladder.messages import TransactionAction
from tests.front_vms import READ, WRITE, FrontVm, Members


def run_pair(folder, scenario):
    """Run ``scenario(owner, entry)`` on two VMs."""

    async def run():
        members = Members()
        owner, entry = (FrontVm(folder, name, members) for name in ("vm-1", "vm-2"))
        async with owner, entry:
            return await asyncio.wait_for(scenario(owner, entry), 30)

    return asyncio.run(run())


class TestLostLink:
    """Guards against lost answers, second runs and false outcomes (P9-P11)."""

    def test_write_runs_once_and_its_whole_answer_arrives(self, tmp_path):
        async def scenario(owner, entry):
            owner.executor.may_end.clear()
            owner.executor.rows = ["x" * 1000] * 500
            call = asyncio.create_task(entry.statement(WRITE))
            for _ in range(3):
                await owner.delivered.get()
                entry.abort_links()
            owner.executor.may_end.set()
            status, answer = await call
            return status, answer["rows"] == owner.executor.rows, owner.executor.ran

        status, is_whole, ran = run_pair(tmp_path, scenario)
        assert (status, is_whole, len(ran)) == (200, True, 1)

    def test_commit_runs_once(self, tmp_path):
        async def scenario(owner, entry):
            path = "/v1/services/ledger/transactions"
            _, begun = await entry.post(path, json={"partition": "p"})
            owner.executor.may_end.clear()
            owner.executor.began.clear()
            path = f"/v1/transactions/{begun['transaction']}/commit"
            call = asyncio.create_task(entry.post(path, json={}))
            await owner.executor.began.wait()
            entry.abort_links()
            owner.executor.may_end.set()
            status, _ = await call
            return status, [step.action for step in owner.executor.ran]

        status, actions = run_pair(tmp_path, scenario)
        assert status == 200
        assert actions == [TransactionAction.BEGIN, TransactionAction.COMMIT]

    @pytest.mark.parametrize("change", ["restarted", "gone"])
    @pytest.mark.parametrize("body", [WRITE, {**READ, "deadline_ms": 400}])
    def test_hop_of_a_replaced_owner_is_not_run_again(self, tmp_path, change, body):
        async def scenario(owner, entry):
            members = owner.kernel.providers[Membership]
            owner.executor.may_end.clear()
            call = asyncio.create_task(entry.statement(body))
            await owner.executor.began.wait()
            if change == "gone":
                del members.addresses["vm-1"]
            owner.links.incarnation += 1
            owner.duplicates.peers.clear()
            entry.abort_links()
            status, answer = await call
            owner.executor.may_end.set()
            return status, answer, owner.executor.ran

        status, answer, ran = run_pair(tmp_path, scenario)
        writes = [message for message in ran if message.statement.text == "PUT a 1"]
        if body is WRITE:
            assert (status, answer["error"]["code"]) == (502, "peer-lost")
            assert answer["error"]["outcome"] == "unknown"
            assert len(writes) == 1
        assert len({message.hop.number for message in ran}) == len(ran)
