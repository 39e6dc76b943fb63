"""Tests of the operators' front end, the command line and the error page."""

import asyncio
import json
import threading
from contextlib import contextmanager

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from ebonyladder.cli import main
from ebonyladder.configuration import ConfigurationSource, parse_configuration
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.keys import digest_of
from ebonyladder.operator import OperatorViewRegistry
from ebonyladder.plugins.operator_front_end import OperatorFrontEnd
from ebonyladder.store import PlatformStore
from scripts.error_page import PAGE, error_page
from tests.fakes import FixedConfiguration, MemoryStore
from tests.test_configuration import TEXT
from tests.test_kernel import SETTINGS

KEY = "operator-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}


class StorePlugin(Plugin, MemoryStore):
    """Store in memory as a plug-in."""

    name = "platform_store"
    provides = (PlatformStore,)

    def __init__(self, *, kernel):
        Plugin.__init__(self, kernel=kernel)
        MemoryStore.__init__(self)


class SourcePlugin(Plugin, FixedConfiguration):
    """Configuration source whose version a test sets."""

    name = "configuration"
    provides = (ConfigurationSource,)

    def __init__(self, *, kernel):
        Plugin.__init__(self, kernel=kernel)
        FixedConfiguration.__init__(self, parse_configuration(TEXT))
        self.version = 1_000


def make_kernel() -> Kernel:
    registry = Registry()
    for plugin_class in (OperatorFrontEnd, StorePlugin, SourcePlugin):
        registry.register(plugin_class)
    settings = msgspec.structs.replace(SETTINGS, operator_key_digests=(digest_of(KEY),))
    return Kernel(settings=settings, registry=registry)


def with_client(test):
    """Run ``test(client, kernel)`` against the front end on loopback."""

    async def run():
        kernel = make_kernel()
        app = kernel.get(OperatorViewRegistry).application()
        async with TestClient(TestServer(app), headers=HEADERS) as client:
            await test(client, kernel)

    asyncio.run(run())


def submission(text=TEXT, base_version=0, submission_id="first-one", **more):
    return {
        "text": text,
        "base_version": base_version,
        "submission_id": submission_id,
        **more,
    }


class TestFrontEnd:
    """Guards against changes without a key and answers that hide a refusal."""

    @pytest.mark.parametrize("value", ["", "Bearer", "Bearer wrong", f"Basic {KEY}"])
    def test_every_route_needs_the_operator_key(self, value):
        async def test(client, kernel):
            for path in ("/v1/configuration", "/v1/views/members", "/none"):
                answer = await client.get(path, headers={"Authorization": value})
                assert answer.status == 401
                assert (await answer.json())["error"]["code"] == "key-refused"

        with_client(test)

    def test_submit_show_and_diff(self):
        async def test(client, kernel):
            answer = await client.post("/v1/configuration", json=submission())
            accepted = await answer.json()
            assert accepted["confirmed"] == ["vm-1"]
            shown = await (await client.get("/v1/configuration")).json()
            assert (shown["version"], shown["text"]) == (accepted["version"], TEXT)
            changed = TEXT.replace("200", "300")
            answer = await client.post("/v1/configuration/diff", json={"text": changed})
            assert (
                '+    "tenant-1": {"rate_per_s": 100, "burst": 300'
                in ((await answer.json())["diff"])
            )

        with_client(test)

    def test_check_lists_problems_with_lines(self):
        async def test(client, kernel):
            text = TEXT.replace("200", "0")
            answer = await client.post("/v1/configuration/check", json={"text": text})
            assert answer.status == 422
            (problem,) = (await answer.json())["error"]["problems"]
            assert problem["path"] == "organisations.tenant-1.burst"
            assert problem["line"] > 1

        with_client(test)

    def test_version_not_yet_active_is_unconfirmed(self):
        async def test(client, kernel):
            kernel.get(ConfigurationSource).version = 0
            body = submission(wait_s=0)
            answer = await client.post("/v1/configuration", json=body)
            assert (await answer.json())["unconfirmed"] == ["vm-1"]

        with_client(test)

    def test_views_come_from_other_plugins(self):
        async def test(client, kernel):
            async def explain(query):
                return {"request": query["request_id"]}

            kernel.get(OperatorViewRegistry).add_view("explain", explain)
            answer = await client.get("/v1/views/explain?request_id=r-1")
            assert (await answer.json())["data"] == {"request": "r-1"}
            assert (await client.get("/v1/views/none")).status == 404

        with_client(test)

    def test_malformed_body_is_refused(self):
        async def test(client, kernel):
            answer = await client.post("/v1/configuration", json={"text": 5})
            assert answer.status == 400

        with_client(test)


@contextmanager
def running_front_end():
    """Serve the front end from another thread; yield its URL and kernel."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(30)

    async def start():
        kernel = make_kernel()
        runner = web.AppRunner(kernel.get(OperatorViewRegistry).application())
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return kernel, runner

    kernel, runner = run(start())
    host, port = runner.addresses[0]
    try:
        yield f"http://{host}:{port}", kernel
    finally:
        run(runner.cleanup())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class TestCommandLine:
    """Guards against wrong exit codes, which operators' scripts rely on."""

    @pytest.fixture
    def front_end_kernel(self, monkeypatch):
        with running_front_end() as (url, kernel):
            monkeypatch.setenv("EBONYLADDER_OPERATOR", url)
            monkeypatch.setenv("EBONYLADDER_OPERATOR_KEY", KEY)
            yield kernel

    def run(self, capsys, *words) -> tuple[int, str]:
        code = 0
        try:
            main(list(words))
        except SystemExit as end:
            code = end.code or 0
        return code, capsys.readouterr().out

    def text_file(self, tmp_path, text=TEXT) -> str:
        path = tmp_path / "text.json"
        path.write_text(text)
        return str(path)

    def test_submitted_text_is_shown_unchanged(
        self, front_end_kernel, capsys, tmp_path
    ):
        file = self.text_file(tmp_path)
        assert self.run(capsys, "config", "check", "--json", file)[0] == 0
        assert self.run(capsys, "config", "submit", file, "--base_version=0")[0] == 0
        assert self.run(capsys, "config", "show")[1].strip() == TEXT.strip()
        code, out = self.run(capsys, "config", "diff", file)
        assert (code, "no difference" in out) == (0, True)

    def test_exit_codes_of_refusals(
        self, front_end_kernel, capsys, tmp_path, monkeypatch
    ):
        file = self.text_file(tmp_path)
        self.run(capsys, "config", "submit", file, "--base_version=0")
        bad = self.text_file(tmp_path, "{")
        assert self.run(capsys, "config", "check", bad)[0] == 1
        file = self.text_file(tmp_path)
        code, out = self.run(
            capsys, "config", "submit", file, "--base_version=0", "--json"
        )
        assert (code, json.loads(out)["error"]["current_version"]) == (3, 1)
        assert self.run(capsys, "config", "submit", file)[0] == 2
        assert self.run(capsys, "members")[0] == 1
        front_end_kernel.get(ConfigurationSource).version = 0
        monkeypatch.setattr("ebonyladder.cli.CONFIRM_WAIT_S", 0.0)
        assert self.run(capsys, "zone", "out", "a")[0] == 4
        assert self.run(capsys, "members", "--operator=127.0.0.1:1")[0] == 5
        monkeypatch.delenv("EBONYLADDER_OPERATOR")
        assert self.run(capsys, "members")[0] == 2

    def test_granted_key_is_printed_once_and_stored_as_digest(
        self, front_end_kernel, capsys, tmp_path
    ):
        self.run(
            capsys, "config", "submit", self.text_file(tmp_path), "--base_version=0"
        )
        code, out = self.run(capsys, "key", "grant", "tenant-1", "--json")
        key = json.loads(out)["key"]
        shown = self.run(capsys, "config", "show")[1]
        assert (code, digest_of(key) in shown, key in shown) == (0, True, False)
        assert self.run(capsys, "key", "withdraw", digest_of(key))[0] == 0
        assert digest_of(key) not in self.run(capsys, "config", "show")[1]

    def test_zone_vm_and_endpoint_commands(self, front_end_kernel, capsys, tmp_path):
        self.run(
            capsys, "config", "submit", self.text_file(tmp_path), "--base_version=0"
        )
        for words in (
            ("zone", "out", "a"),
            ("zone", "in", "a"),
            ("drain", "vm", "vm-7"),
            ("drain", "endpoint", "db-1"),
        ):
            assert self.run(capsys, *words)[0] == 0
        assert self.run(capsys, "zone", "out", "b")[0] == 1
        assert self.run(capsys, "zone", "out", "b", "--force")[0] == 0

    def test_request_id_is_not_read_as_a_number(self, front_end_kernel, capsys):
        async def explain(query):
            return query["request_id"]

        front_end_kernel.get(OperatorViewRegistry).add_view("explain", explain)
        code, out = self.run(capsys, "explain", "1e5", "--json")
        assert (code, json.loads(out)["data"]) == (0, "1e5")


class TestErrorPage:
    """Guards against a page that is out of date with the table of codes."""

    def test_page_is_up_to_date(self):
        assert PAGE.read_text() == error_page()
