"""Tests of the operators' views and of the answer to a submission."""

import asyncio
import json
import urllib.request

import pytest
from aiohttp import ClientSession

from ebonyladder.cli import main
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import (
    ConfigurationError,
    ErrorCode,
    Outcome,
    RequestError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.operator import Confirmation, ConfirmationReport
from ebonyladder.plugins.operator_front_end import wait_for_rollout
from ebonyladder.request_trace import (
    MAX_ENTRIES_PER_REQUEST,
    MAX_REQUESTS,
    MemoryTrace,
    entry_vm_of,
)
from standins.deployment import OPERATOR_KEY, Deployment
from tests.load import Load

# Deployments of processes run one after the other, on one worker.
pytestmark = pytest.mark.xdist_group("processes")


class TestRequestTrace:
    """Guards against a trace that grows without bound or hides a refusal."""

    def test_trace_is_bounded_in_requests_and_entries(self):
        trace = MemoryTrace(vm="vm-1", clock=ManualClock())
        for number in range(MAX_REQUESTS + 1):
            trace.record(f"vm-1.{number}", Step.ROUTE)
        assert trace.entries("vm-1.0") == []
        assert len(trace.requests) == MAX_REQUESTS
        for _ in range(MAX_ENTRIES_PER_REQUEST + 1):
            trace.record("vm-1.1", Step.ROUTE)
        assert len(trace.entries("vm-1.1")) == MAX_ENTRIES_PER_REQUEST

    def test_refusal_names_the_step_where_it_occurred(self):
        trace = MemoryTrace(vm="vm-1", clock=ManualClock())
        error = RequestError(code=ErrorCode.NOT_OWNER, step=Step.QUEUE, peer="vm-2")
        trace.record("vm-1.a", Step.ROUTE, endpoint="db-a", attempt=2, error=error)
        (entry,) = trace.entries("vm-1.a")
        assert (entry.step, entry.failed_at) == ("route", "queue")
        assert (entry.code, entry.peer) == ("not-owner", "vm-2")
        assert (entry.outcome, entry.attempt) == (Outcome.NOT_RUN.value, 2)

    def test_request_id_names_its_vm(self):
        assert entry_vm_of("vm.eu-1.a-B_c") == "vm.eu-1"
        assert entry_vm_of("a-B_c") == ""


class Roots(Confirmation):
    """Confirmation of a version that the relay roots have or have not applied."""

    def __init__(self, *, has_applied: bool) -> None:
        self.has_applied = has_applied
        self.calls: list[str] = []

    async def confirm(self, version, wait_s) -> ConfirmationReport:
        self.calls.append("confirm")
        return ConfirmationReport(confirmed=["vm-1"], unconfirmed=["vm-2"])

    async def require_roots(self, version, wait_s) -> None:
        self.calls.append("roots")
        if not self.has_applied:
            raise ConfigurationError(
                code=ErrorCode.NOT_CONFIRMED, step=Step.CONFIG_SUBMIT
            )


class TestRollout:
    """Guards against a change reported as active before the roots applied it."""

    @pytest.mark.parametrize("has_applied", [True, False])
    def test_answer_depends_on_the_roots(self, has_applied):
        roots = Roots(has_applied=has_applied)
        rollout = asyncio.run(wait_for_rollout(roots, 7, 0.0))
        assert roots.calls == ["roots", "confirm"]
        assert rollout.is_active is has_applied
        assert (rollout.confirmed, rollout.unconfirmed) == (["vm-1"], ["vm-2"])


class TestViews:
    """Guards against views that cover only the VM that answers."""

    def test_any_vm_shows_the_whole_deployment(self, capsys, monkeypatch):
        monkeypatch.setenv("EBONYLADDER_OPERATOR_KEY", OPERATOR_KEY)

        def view(number: int, *words: str) -> dict:
            operator = deployment.vms[number].operator
            main([*words, "--operator", operator, "--json"])
            return json.loads(capsys.readouterr().out)["data"]

        async def scenario() -> None:
            async with Load(deployment, callers=1) as load, ClientSession() as session:
                await load.wait_until_served(2)
                opened = await load.open_transaction()
                url = f"{deployment.vms[2].url}/v1/connect"
                headers = {"Authorization": "Bearer key-of-org-1"}
                async with session.ws_connect(url, headers=headers):
                    for number in (0, 1):
                        await asyncio.to_thread(self.check, view, number, opened)
                await load.commit(opened)

        with Deployment(vms=3, groups=1) as deployment:
            asyncio.run(scenario())
            self.check_metrics(deployment)

    @staticmethod
    def check(view, number: int, opened: dict) -> None:
        members = view(number, "members")["members"]
        assert [row["vm"] for row in members] == ["vm-1", "vm-2", "vm-3"]
        sessions = view(number, "sessions")
        assert sessions["missing"] == []
        assert sum(row["transactions"] for row in sessions["open"]) >= 1
        assert sum(row["sockets"] for row in sessions["open"]) == 1
        assert set(view(number, "shares")["leases"]) == {"vm-1", "vm-2", "vm-3"}
        (group,) = view(number, "primaries")["groups"]
        assert (group["primary"], group["term"]) == (opened["endpoint"], opened["term"])
        explained = view(number, "explain", opened["request_id"])
        steps = {entry["step"] for entry in explained["entries"]}
        assert {"route", "begin"} <= steps
        owner = opened["transaction"].split("~")[3]
        assert owner in {entry["vm"] for entry in explained["entries"]}

    @staticmethod
    def check_metrics(deployment: Deployment) -> None:
        request = urllib.request.Request(
            f"http://{deployment.vms[0].operator}/metrics",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        with urllib.request.urlopen(request, timeout=30) as answer:
            text = answer.read().decode()
        assert "ebonyladder_live_vms{} 3.0" in text or "ebonyladder_live_vms 3" in text
        assert "ebonyladder_configuration_fresh" in text
