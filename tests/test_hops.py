"""Tests of hops (deliveries between VMs) over real sockets."""

import asyncio

import cbor2
import pytest
from websockets.asyncio.server import serve

from ebonyladder._chunks import CHUNK_BYTES, FrameReader, split
from ebonyladder._codec import decode, encode
from ebonyladder.kernel.error import (
    EndpointError,
    ErrorCode,
    Outcome,
    PeerError,
)
from ebonyladder.membership import Membership
from ebonyladder.messages import SyncAnswer, TransactionAction
from ebonyladder.plugins.endpoint_driver import (
    MAX_ANSWER_BYTES,
    WebSocketEndpointDriver,
)
from ebonyladder.types import RequestKind, Statement
from tests.front_end_vms import READ, WRITE, FrontEndVm, Members


def run_pair(folder, scenario):
    """Run ``scenario(owner, entry)`` on an owner and a VM that forwards to it."""

    async def run():
        members = Members()
        owner, entry = (FrontEndVm(folder, name, members) for name in ("vm-1", "vm-2"))
        async with owner, entry:
            return await asyncio.wait_for(scenario(owner, entry), 30)

    return asyncio.run(run())


class TestLostConnection:
    """Guards against lost answers, repeated runs and wrong outcomes (P9-P11)."""

    def test_write_runs_once_and_its_complete_answer_arrives(self, tmp_path):
        async def scenario(owner, entry):
            owner.executor.may_end.clear()
            owner.executor.rows = ["x" * 1000] * 500
            call = asyncio.create_task(entry.statement(WRITE))
            for _ in range(3):
                await owner.delivered.get()
                entry.abort_connections()
            owner.executor.may_end.set()
            status, answer = await call
            return status, answer["rows"] == owner.executor.rows, owner.executor.ran

        status, is_complete, ran = run_pair(tmp_path, scenario)
        assert (status, is_complete, len(ran)) == (200, True, 1)

    def test_commit_runs_once(self, tmp_path):
        async def scenario(owner, entry):
            path = "/v1/services/ledger/transactions"
            _, begun = await entry.post(path, json={"partition": "p"})
            owner.executor.may_end.clear()
            owner.executor.began.clear()
            path = f"/v1/transactions/{begun['transaction']}/commit"
            call = asyncio.create_task(entry.post(path, json={}))
            await owner.executor.began.wait()
            entry.abort_connections()
            owner.executor.may_end.set()
            status, _ = await call
            return status, [step.action for step in owner.executor.ran]

        status, actions = run_pair(tmp_path, scenario)
        assert status == 200
        assert actions == [TransactionAction.BEGIN, TransactionAction.COMMIT]

    @pytest.mark.parametrize("change", ["restarted", "unlisted"])
    @pytest.mark.parametrize("body", [WRITE, {**READ, "deadline_ms": 400}])
    def test_hop_of_a_replaced_owner_is_not_run_again(self, tmp_path, change, body):
        async def scenario(owner, entry):
            members = owner.kernel.providers[Membership]
            owner.executor.may_end.clear()
            call = asyncio.create_task(entry.statement(body))
            await owner.executor.began.wait()
            if change == "unlisted":
                del members.addresses["vm-1"]
            owner.peers.incarnation += 1
            owner.duplicates.peers.clear()
            entry.abort_connections()
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


class TestLargeAnswers:
    """Guards against truncated answers, and those that block calls or fill memory."""

    def test_answer_above_the_frame_limit_arrives_complete(self, tmp_path):
        async def scenario(owner, entry):
            owner.executor.rows = [str(n) * 1000 for n in range(5000)]
            answers = await asyncio.gather(*(entry.statement(READ) for _ in range(3)))
            return [answer["rows"] == owner.executor.rows for _, answer in answers]

        assert run_pair(tmp_path, scenario) == [True] * 3

    def test_answer_above_the_message_limit_is_refused(self, tmp_path, monkeypatch):
        monkeypatch.setattr("ebonyladder._peer_connection.MAX_MESSAGE_BYTES", 2_000_000)

        async def scenario(owner, entry):
            owner.executor.rows = ["x" * 2_000_000]
            refused = await entry.statement(WRITE)
            owner.executor.rows = []
            return refused, (await entry.statement(WRITE))[0]

        (status, answer), after = run_pair(tmp_path, scenario)
        assert (status, answer["error"]["code"]) == (422, "answer-too-large")
        assert (answer["error"]["outcome"], after) == ("run", 200)

    def test_small_frame_passes_between_chunks(self):
        large = SyncAnswer(version=1, text="x" * (2 * CHUNK_BYTES))
        first, *rest = split(1, encode(1, large))
        reader = FrameReader(peer="vm-1")
        small = encode(2, SyncAnswer(version=2))
        frames = [reader.read(data) for data in (first, small, *rest)]
        assert frames[1] == decode(small, peer="vm-1")
        assert frames[-1].message == large
        assert frames[0] is frames[2] is None

    @pytest.mark.parametrize(
        "change",
        [
            {"part": {"at": 7, "of": 9}},
            {"part": {"at": 0, "of": 50_000_000}},
            {"part": {"at": 0, "of": 2}},
            {"part": 3},
            {"b": b""},
            {"b": 4},
        ],
    )
    def test_invalid_chunk_is_refused(self, change):
        part = {"v": 1, "id": 1, "part": {"at": 0, "of": 9}, "b": b"abc"}
        with pytest.raises(PeerError) as caught:
            FrameReader(peer="vm-1").read(cbor2.dumps({**part, **change}))
        assert caught.value.code is ErrorCode.PEER_REFUSED

    @pytest.mark.parametrize(
        ("kind", "outcome"),
        [(RequestKind.READ, Outcome.RUN), (RequestKind.WRITE, Outcome.UNKNOWN)],
    )
    def test_endpoint_answer_above_the_limit_is_an_error(self, kind, outcome):
        async def answer(socket):
            await socket.send("{}")
            await socket.recv()
            await socket.send('{"id":1,"rows":["%s"]}' % ("x" * MAX_ANSWER_BYTES))

        async def run():
            driver = WebSocketEndpointDriver(kernel=None)
            async with serve(answer, "127.0.0.1", 0) as server:
                port = server.sockets[0].getsockname()[1]
                connection = await driver.connect(
                    endpoint="e1", address=f"127.0.0.1:{port}"
                )
                with pytest.raises(EndpointError) as caught:
                    await connection.execute(
                        organisation="o", statement=Statement(kind=kind, text="GET a")
                    )
            return caught.value, connection.is_open

        error, is_open = asyncio.run(run())
        assert (error.code, error.outcome) == (ErrorCode.ANSWER_TOO_LARGE, outcome)
        assert not is_open
