"""Tests of the connections between VMs over real sockets."""

import asyncio
from pathlib import Path

import cbor2
import pytest
from websockets.asyncio.client import connect

from ebonyladder._codec import decode, encode
from ebonyladder.kernel.error import ErrorCode, Outcome, PeerError, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Done, Failure, Hello, Proof, Sync
from ebonyladder.plugins.peer_connections import WebSocketPeerConnections
from ebonyladder.settings import Settings
from standins.address import free_addresses

SYNC = Sync(version=3, wait_s=0.0)


class Vm:
    """One VM with only the plug-in for peer connections."""

    def __init__(self, folder: Path, name: str, *, secret: str = "fleet") -> None:
        path = folder / f"{name}.secret"
        path.write_text(secret)
        self.address = free_addresses(1)[0]
        settings = Settings(
            vm=name,
            zone="zone-a",
            caller="127.0.0.1:0",
            peer=self.address,
            operator="127.0.0.1:0",
            store="127.0.0.1:0",
            fleet_secret_file=str(path),
        )
        registry = Registry()
        registry.register(WebSocketPeerConnections)
        self.kernel = Kernel(settings=settings, registry=registry)
        self.peers = self.kernel.plugins[0]

    async def __aenter__(self) -> "Vm":
        await self.kernel.start()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.kernel.stop()


class TestCalls:
    """Guards against answers given to another call, and against lost outcomes."""

    def test_answers_out_of_order_reach_their_calls(self, tmp_path):
        async def run():
            async with Vm(tmp_path, "vm-1") as one, Vm(tmp_path, "vm-2") as two:
                release = asyncio.Event()

                async def answer(peer, message):
                    assert peer.vm == "vm-1"
                    if message.version == 1:
                        await release.wait()
                    return Sync(version=message.version * 10, wait_s=0)

                two.peers.handle(Sync, answer)
                slow = asyncio.create_task(
                    one.peers.call_address(
                        two.address, Sync(version=1, wait_s=0), timeout_s=20
                    )
                )
                fast = await one.peers.call_address(
                    two.address, Sync(version=2, wait_s=0), timeout_s=20
                )
                release.set()
                return fast.version, (await slow).version

        assert asyncio.run(run()) == (20, 10)

    def test_error_keeps_code_outcome_and_step(self, tmp_path):
        async def run():
            async with Vm(tmp_path, "vm-1") as one, Vm(tmp_path, "vm-2") as two:

                async def refuse(_peer, _message):
                    raise RequestError(
                        code=ErrorCode.OVERLOADED,
                        step=Step.QUEUE,
                        peer="e1",
                        retry_after_s=2.0,
                    )

                two.peers.handle(Sync, refuse)
                with pytest.raises(PeerError) as caught:
                    await one.peers.call_address(two.address, SYNC, timeout_s=20)
                return caught.value

        error = asyncio.run(run())
        assert (error.code, error.outcome) == (ErrorCode.OVERLOADED, Outcome.NOT_RUN)
        assert (error.step, error.peer, error.retry_after_s) == (Step.QUEUE, "e1", 2.0)

    def test_unsent_call_is_not_run_and_outcome_of_lost_call_is_unknown(self, tmp_path):
        async def run():
            async with Vm(tmp_path, "vm-1") as one:
                with pytest.raises(PeerError) as unsent:
                    await one.peers.call_address("127.0.0.1:1", SYNC, timeout_s=20)
                async with Vm(tmp_path, "vm-2") as two:
                    arrived = asyncio.Event()

                    async def hang(_peer, _message):
                        arrived.set()
                        await asyncio.Event().wait()

                    two.peers.handle(Sync, hang)
                    call = asyncio.create_task(
                        one.peers.call_address(two.address, SYNC, timeout_s=20)
                    )
                    await arrived.wait()
                    for connection in one.peers.connections.values():
                        connection.socket.transport.abort()
                    with pytest.raises(PeerError) as lost:
                        await call
                return unsent.value, lost.value

        unsent, lost = asyncio.run(run())
        assert unsent.outcome is Outcome.NOT_RUN
        assert (lost.code, lost.outcome) == (ErrorCode.PEER_LOST, Outcome.UNKNOWN)


class TestHandshake:
    """Guards against peers that do not know the fleet secret."""

    @pytest.mark.parametrize("wrong_side", ["client", "server"])
    def test_wrong_secret_is_refused(self, tmp_path, wrong_side):
        async def run():
            one = Vm(
                tmp_path, "vm-1", secret="wrong" if wrong_side == "client" else "fleet"
            )
            two = Vm(
                tmp_path, "vm-2", secret="wrong" if wrong_side != "client" else "fleet"
            )
            async with one, two:
                called = []

                async def record(_peer, message):
                    called.append(message)
                    return Done()

                two.peers.handle(Sync, record)
                with pytest.raises(PeerError):
                    await one.peers.call_address(two.address, SYNC, timeout_s=5)
                return called

        assert asyncio.run(run()) == []


class TestFrames:
    """Guards against invalid frames and frames of other protocol versions."""

    @pytest.mark.parametrize(
        ("frame", "reason"),
        [
            (b"\xff\xff", "not valid"),
            (cbor2.dumps({"v": 2, "t": "sync", "id": 1, "b": {}}), "version 2"),
            (cbor2.dumps({"v": 1, "t": "no-such", "id": 1, "b": {}}), "not valid"),
            (cbor2.dumps({"v": 1, "t": "sync", "id": 1, "b": {}}), "not valid"),
        ],
    )
    def test_invalid_frame_is_refused_and_later_calls_are_served(
        self, tmp_path, frame, reason
    ):
        async def run():
            async with Vm(tmp_path, "vm-1") as one, Vm(tmp_path, "vm-2") as two:

                async def answer(_peer, _message):
                    return Done()

                two.peers.handle(Sync, answer)
                async with connect(f"ws://{two.address}/") as socket:
                    await socket.send(frame)
                    failure = decode(await socket.recv(), peer="vm-2").message
                good = await one.peers.call_address(two.address, SYNC, timeout_s=20)
                return failure, good

        failure, good = asyncio.run(run())
        assert isinstance(failure, Failure)
        assert reason in failure.message
        assert isinstance(good, Done)

    def test_invalid_frame_after_the_handshake_is_refused(self, tmp_path):
        async def run():
            async with Vm(tmp_path, "vm-1") as one, Vm(tmp_path, "vm-2") as two:

                async def answer(_peer, _message):
                    return Done()

                two.peers.handle(Sync, answer)
                await one.peers.call_address(two.address, SYNC, timeout_s=20)
                connection = one.peers.connections[two.address]
                refused = asyncio.get_running_loop().create_future()
                connection.pending[0] = refused
                await connection.socket.send(b"\xff\xff")
                with pytest.raises(PeerError) as caught:
                    await asyncio.wait_for(refused, 20)
                return caught.value

        assert "not valid" in asyncio.run(run()).message

    def test_unknown_field_of_a_newer_peer_is_ignored(self):
        frame = cbor2.loads(encode(1, SYNC))
        frame["b"]["new-field"] = [1, 2]
        assert decode(cbor2.dumps(frame), peer="vm-2").message == SYNC

    def test_call_before_the_proof_is_refused(self, tmp_path):
        async def run():
            async with Vm(tmp_path, "vm-2") as two:
                hello = Hello(
                    vm="vm-1", zone="z", incarnation=1, address="a", nonce=b"n"
                )
                async with connect(f"ws://{two.address}/") as socket:
                    await socket.send(encode(0, hello))
                    await socket.recv()
                    await socket.send(encode(0, Proof(proof=b"guess")))
                    return decode(await socket.recv(), peer="vm-2").message

        failure = asyncio.run(run())
        assert (failure.code, failure.outcome) == ("peer-refused", "not-run")
