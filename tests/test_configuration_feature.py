"""Scenarios of operators who change the configuration."""

import asyncio

import pytest
from aiohttp.test_utils import TestClient, TestServer
from pytest_bdd import given, parsers, scenarios, then, when

from ebonyladder.configuration import parse_configuration
from ebonyladder.operator import OperatorViewRegistry
from ebonyladder.store import PlatformStore
from tests.test_configuration import TEXT
from tests.test_operator import HEADERS, make_kernel, submission

scenarios("features/configuration.feature")

DIGEST = "cd" * 32
PATH = "/v1/configuration"


class Operators:
    """Operators of one daemon and the answers that they received."""

    def __init__(self):
        self.kernel = make_kernel()
        self.answers = []
        self.base = 0

    def send(self, *bodies, path=PATH):
        """Send all bodies concurrently."""

        async def run():
            app = self.kernel.get(OperatorViewRegistry).application()
            async with TestClient(TestServer(app), headers=HEADERS) as client:
                answers = await asyncio.gather(
                    *(client.post(path, json=body) for body in bodies)
                )
                self.answers += [await answer.json() for answer in answers]

        asyncio.run(run())

    def edit(self, *edits):
        bodies = [
            {"edit": edit, "submission_id": f"edit-{number:04}"}
            for number, edit in enumerate(edits)
        ]
        self.send(*bodies, path=f"{PATH}/edits")

    def text(self):
        async def run():
            app = self.kernel.get(OperatorViewRegistry).application()
            async with TestClient(TestServer(app), headers=HEADERS) as client:
                return (await (await client.get(PATH)).json())["text"]

        return asyncio.run(run())


@pytest.fixture
def operators():
    return Operators()


@given("an active configuration")
def active_configuration(operators):
    operators.send(submission())
    operators.base = operators.answers.pop()["version"]


@given("two operators who have read it")
def both_have_read(operators):
    assert operators.text() == TEXT


@given("a store whose next answer to a write is lost")
def lost_answer(operators):
    operators.kernel.get(PlatformStore).lost_answers = 1


@when(parsers.parse("the {who} submits a text with burst {burst:d}"))
def submit_burst(operators, who, burst):
    text = TEXT.replace("200", str(burst))
    operators.send(submission(text, operators.base, f"operator-{who}"))


@when("one operator drains a VM while another takes a zone out")
def edit_concurrently(operators):
    store = operators.kernel.get(PlatformStore)
    # The delay lets both read the same version before either writes.
    store.delay_s = 0.01
    operators.edit(
        {"edit": "vm", "vm": "vm-7", "state": "drain"},
        {"edit": "zone", "zone": "a", "state": "out"},
    )


@when("an operator grants a key")
def grant(operators):
    operators.edit({"edit": "grant-key", "organisation": "tenant-1", "digest": DIGEST})


@when("an operator submits a text with a misspelt field")
def submit_misspelt(operators):
    text = TEXT.replace('"listed"', '"lsited"')
    operators.send(submission(text, operators.base, "misspelt-one"))


@then("the first submission is accepted")
def first_accepted(operators):
    assert operators.answers[0]["version"] > operators.base


@then("the second is refused as a conflict with the current version")
def second_refused(operators):
    error = operators.answers[1]["error"]
    assert error["code"] == "store-conflict"
    assert error["current_version"] == operators.answers[0]["version"]


@then(parsers.parse("the burst is {burst:d}"))
def burst_is(operators, burst):
    configuration = parse_configuration(operators.text())
    assert configuration.organisations["tenant-1"].burst == burst


@then("both changes are in the configuration")
def both_changes(operators):
    configuration = parse_configuration(operators.text())
    assert "vm-7" in configuration.vms
    assert not configuration.is_zone_in("a")
    assert operators.kernel.get(PlatformStore).calls["put"] == 4


@then("the operator is notified that it was accepted")
def notified_accepted(operators):
    assert operators.answers[0]["changed"]


@then("the key is in the configuration once")
def key_once(operators):
    assert operators.text().count(DIGEST) == 1


@then("the operator is shown the line and the correct name")
def shown_line(operators):
    (problem,) = operators.answers[0]["error"]["problems"]
    assert problem["line"] == 5
    assert "'listed'" in problem["fix"]


@then("the configuration is unchanged")
def unchanged(operators):
    assert operators.text() == TEXT
