"""Tests of the callers' front end over real sockets."""

import asyncio
import json
import socket
from contextlib import suppress

import pytest
from aiohttp import WSMsgType

from ebonyladder._caller_connection import TimedResponse
from ebonyladder._caller_socket import MAX_CALLS_IN_FLIGHT
from ebonyladder.messages import TransactionAction
from tests.front_end_vms import KEY, READ, WRITE, FrontEndVm, Members
from tests.platform_fleet import until

STATEMENTS = "/v1/services/ledger/statements"
BEGIN, ROLLBACK = TransactionAction.BEGIN, TransactionAction.ROLLBACK


def run_front_end(folder, scenario):
    """Run ``scenario(vm)`` on one VM that owns the endpoint itself."""

    async def run():
        async with FrontEndVm(folder, "vm-1", Members()) as vm:
            return await asyncio.wait_for(scenario(vm), 30)

    return asyncio.run(run())


def head(length: int, path: str = STATEMENTS) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


class TestBadRequests:
    """Guards against invalid input that runs a statement or stops the daemon."""

    @pytest.mark.parametrize(
        ("path", "body", "status", "code"),
        [
            (STATEMENTS, b'{"kind": "write", "sta', 400, "bad-request"),
            (STATEMENTS, b"\xff\xfe", 400, "bad-request"),
            (STATEMENTS, b"[" * 100_000, 400, "bad-request"),
            (STATEMENTS, {**WRITE, "kind": "drop"}, 400, "bad-request"),
            (STATEMENTS, {**WRITE, "statement": 7}, 400, "bad-request"),
            (STATEMENTS, {**WRITE, "deadline_ms": -1}, 400, "bad-request"),
            (STATEMENTS, {**WRITE, "session": "%%%"}, 400, "token-refused"),
            (STATEMENTS, b"x" * 1_100_000, 413, "body-too-large"),
            ("/v1/services/none/statements", WRITE, 404, "not-found"),
            ("/v1/services/a%2f..%2fledger/statements", WRITE, 404, "not-found"),
            ("/v1/services/%2e%2e/statements", WRITE, 404, "not-found"),
            ("/v1/services/ledger/statements/../x", WRITE, 404, "not-found"),
            ("/v1/transactions/t/drop", {}, 404, "not-found"),
            ("/v1/transactions/x/commit", {}, 409, "transaction-ended"),
            (
                "/v1/transactions/ledger~g2~e9~vm-1~t/commit",
                {},
                409,
                "transaction-ended",
            ),
        ],
    )
    def test_refusal_names_the_reason(self, tmp_path, path, body, status, code):
        async def scenario(vm):
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            bad = await vm.post(path, data=data)
            ran = list(vm.executor.ran)
            good, _ = await vm.statement(WRITE)
            return bad, ran, good

        bad, ran, good = run_front_end(tmp_path, scenario)
        assert (bad[0], bad[1]["error"]["code"]) == (status, code)
        assert bad[1]["error"]["outcome"] == "not-run"
        assert (ran, good) == ([], 200)

    @pytest.mark.parametrize(
        ("sent", "ends", "answer"),
        [
            (b"\x16\x03\x01 no http at all\r\n\r\n", False, b" 400 "),
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", False, b" 400 "),
            (b"GET / HTTP/1.1\r\n" + b"X: 1\r\n" * 500 + b"\r\n", False, b" 400 "),
            (head(100) + b"{", True, b""),
            (head(100) + b"{", False, b"did not arrive"),
            (b"GET /healthz HTT", False, b""),
        ],
        ids=["tls", "long", "many", "truncated", "slow-body", "slow-header"],
    )
    def test_broken_or_slow_bytes_end_the_connection(
        self, tmp_path, sent, ends, answer
    ):
        async def scenario(vm):
            vm.front_end.header_timeout_s = vm.front_end.body_timeout_s = 0.1
            reader, writer = await asyncio.open_connection(*vm.host_and_port)
            writer.write(sent)
            if ends:
                writer.close()
            elif not answer:
                with suppress(ConnectionResetError):
                    assert await reader.read() == b""
            else:
                await reader.readuntil(answer)
                writer.close()
            good, _ = await vm.statement(WRITE)
            await vm.front_end.calls.idle.wait()
            return good, len(vm.executor.ran)

        assert run_front_end(tmp_path, scenario) == (200, 1)


class TestDisconnectedCallers:
    """Guards against memory held for callers that are gone, and lost outcomes."""

    def test_connection_of_a_caller_that_stops_reading_is_closed(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr(TimedResponse, "write_timeout_s", 0.1)

        async def scenario(vm):
            vm.executor.rows = ["x" * 1_000_000] * 15
            stopped = socket.create_connection(vm.host_and_port)
            body = json.dumps(READ).encode()
            stopped.sendall(head(len(body)) + body)
            await vm.executor.began.wait()
            (connection,) = vm.front_end.connections.values()
            ended = asyncio.Event()
            connection.on_end = ended.set
            await ended.wait()
            stopped.close()
            vm.executor.rows = []
            return (await vm.statement(READ))[0]

        assert run_front_end(tmp_path, scenario) == 200

    def test_large_answer_arrives_complete(self, tmp_path):
        async def scenario(vm):
            vm.executor.rows = [f"{n}" * 100_000 for n in range(100)]
            return (await vm.statement(READ))[1]["rows"] == vm.executor.rows

        assert run_front_end(tmp_path, scenario)

    def test_request_of_a_caller_that_disconnects_is_recorded(self, tmp_path):
        async def scenario(vm):
            vm.executor.may_end.clear()
            _, writer = await asyncio.open_connection(*vm.host_and_port)
            body = json.dumps(WRITE).encode()
            writer.write(head(len(body)) + body)
            await vm.executor.began.wait()
            writer.transport.abort()
            await vm.statement({})
            vm.executor.may_end.set()
            await vm.front_end.calls.idle.wait()
            return vm.stub.outcomes

        assert run_front_end(tmp_path, scenario) == ["served"]


class TestWebSocket:
    """Guards against frames that affect other calls, and against work left open."""

    @pytest.mark.parametrize(
        ("frame", "code"),
        [
            ("no json", "bad-request"),
            ('{"id": 7}', "bad-request"),
            ('{"id": 7, "action": "drop", "body": {}}', "bad-request"),
            ('{"id": 7, "service": "none", "body": %s}', "not-found"),
            ('{"id": 7, "action": "commit", "body": {}}', "transaction-ended"),
        ],
    )
    def test_invalid_frame_is_refused_and_the_next_one_served(
        self, tmp_path, frame, code
    ):
        async def scenario(vm):
            async with vm.client.ws_connect("/v1/connect") as ws:
                await ws.send_str(frame.replace("%s", json.dumps(WRITE)))
                bad = await ws.receive_json()
                good = {"id": 8, "service": "ledger", "body": WRITE}
                await ws.send_json(good)
                return bad, await ws.receive_json()

        bad, good = run_front_end(tmp_path, scenario)
        assert bad["body"]["error"]["code"] == code
        assert bad["id"] == (0 if frame == "no json" else 7)
        assert (good["id"], good["body"]["rows"]) == (8, ["row"])

    @pytest.mark.parametrize(
        ("frame", "code"),
        [(b"\x81\x82\0\0\0\0\xff\xff", 1007), (b"\x83\x80\0\0\0\0", 1002)]
        + [(b"\x81\xff" + (2**21).to_bytes(8) + bytes(4), 1009)],
        ids=["utf-8", "opcode", "oversized"],
    )
    def test_invalid_frame_closes_the_socket(self, tmp_path, frame, code):
        async def scenario(vm):
            async with vm.client.ws_connect("/v1/connect", autoclose=False) as ws:
                ws._writer.transport.write(frame)
                closed = await ws.receive()
            return closed, (await vm.statement(WRITE))[0]

        closed, good = run_front_end(tmp_path, scenario)
        assert (closed.type, closed.data, good) == (WSMsgType.CLOSE, code, 200)

    def test_calls_in_flight_are_bounded(self, tmp_path):
        async def scenario(vm):
            vm.executor.may_end.clear()
            async with vm.client.ws_connect("/v1/connect") as ws:
                for number in range(MAX_CALLS_IN_FLIGHT + 1):
                    call = {"id": number, "service": "ledger", "body": WRITE}
                    await ws.send_json(call)
                refused = await ws.receive_json()
                vm.executor.may_end.set()
                served = [await ws.receive_json() for _ in range(MAX_CALLS_IN_FLIGHT)]
            return refused, {answer["id"] for answer in served}, len(vm.executor.ran)

        refused, served, ran = run_front_end(tmp_path, scenario)
        assert (refused["id"], ran) == (MAX_CALLS_IN_FLIGHT, MAX_CALLS_IN_FLIGHT)
        assert refused["body"]["error"]["code"] == "overloaded"
        assert served == set(range(MAX_CALLS_IN_FLIGHT))

    def test_stop_closes_idle_sockets(self, tmp_path):
        async def scenario(vm):
            async with vm.client.ws_connect("/v1/connect") as ws:
                await vm.kernel.drain()
                stop = asyncio.create_task(vm.kernel.stop())
                closed = await ws.receive()
                await stop
            return closed.data

        assert run_front_end(tmp_path, scenario) == 1001

    def test_transaction_runs_and_a_disconnect_rolls_back(self, tmp_path):
        async def scenario(vm):
            async def call(ws, **fields):
                await ws.send_json({"id": 1, "service": "ledger", **fields})
                return (await ws.receive_json())["body"]

            begin = {"action": "begin", "body": {"partition": "p"}}
            step = {"kind": "write", "statement": "PUT a 1"}
            async with vm.client.ws_connect("/v1/connect") as ws:
                name = (await call(ws, **begin))["transaction"]
                await call(ws, action="execute", transaction=name, body=step)
                await call(ws, action="commit", transaction=name, body={})
                await call(ws, **begin)
                # The second transaction is open and a third is being opened.
                vm.executor.may_end.clear()
                vm.executor.began.clear()
                await ws.send_json({"id": 2, "service": "ledger", **begin})
                await vm.executor.began.wait()
                ws._writer.transport.abort()
            (connection,) = vm.front_end.connections.values()
            ended = asyncio.Event()
            connection.on_end = ended.set
            await ended.wait()
            vm.executor.may_end.set()
            await vm.front_end.runner.cleanup()
            return [ran.action.value for ran in vm.executor.ran], vm.executor.open

        actions, left_open = run_front_end(tmp_path, scenario)
        assert actions[:5] == ["begin", "execute", "commit", "begin", "begin"]
        assert (actions[5:], left_open) == (["rollback", "rollback"], set())


class TestSessionOfTransactions:
    """Guards against sessions that require entries which a failover can discard."""

    def test_only_the_commit_advances_the_session(self, tmp_path):
        async def scenario(vm):
            signer = vm.front_end.gateway.signer
            path = "/v1/services/ledger/transactions"
            _, begun = await vm.post(path, json={"partition": "p"})
            path = f"/v1/transactions/{begun['transaction']}/commit"
            _, done = await vm.post(path, json={"session": begun["session"]})
            return [
                len(signer.verify(answer["session"], organisation="org-1").positions)
                for answer in (begun, done)
            ]

        assert run_front_end(tmp_path, scenario) == [0, 1]


class TestStop:
    """Guards against requests lost while a drained VM closes connections."""

    TRANSACTIONS = "/v1/services/ledger/transactions"

    def test_answers_of_a_drain_tell_callers_to_close(self, tmp_path):
        async def scenario(vm):
            _, begun = await vm.post(self.TRANSACTIONS, json={"partition": "p"})
            await vm.front_end.drain()
            path = f"/v1/transactions/{begun['transaction']}/commit"
            body = {"session": begun["session"]}
            async with vm.client.post(path, json=body) as answer:
                return answer.status, answer.headers.get("Connection")

        assert run_front_end(tmp_path, scenario) == (200, "close")

    def test_request_on_an_idle_connection_is_answered_after_the_drain(self, tmp_path):
        async def scenario(vm):
            await vm.statement(READ)
            await vm.front_end.drain()
            stopping = asyncio.create_task(vm.front_end.stop())
            await asyncio.sleep(0.05)
            _, answer = await vm.statement(READ)
            await stopping
            return answer["error"]["code"], answer["error"]["outcome"]

        assert run_front_end(tmp_path, scenario) == ("draining", "not-run")

    def test_connection_accepted_just_before_the_listener_closes_is_answered(
        self, tmp_path
    ):
        # A caller that connects while the VM stops sends its request right after.
        async def scenario(vm):
            await vm.front_end.drain()
            reader, writer = await asyncio.open_connection(*vm.host_and_port)
            stopping = asyncio.create_task(vm.front_end.stop())
            await until(
                lambda: not vm.front_end.server.is_serving(), "the end of listening"
            )
            body = json.dumps(READ).encode()
            writer.write(head(len(body)) + body)
            answer = await reader.read()
            writer.close()
            await stopping
            return json.loads(answer.partition(b"\r\n\r\n")[2])["error"]

        error = run_front_end(tmp_path, scenario)
        assert (error["code"], error["outcome"]) == ("draining", "not-run")
