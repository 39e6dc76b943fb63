"""Steps of the feature that describes the public status page."""

import asyncio
import re

from aiohttp.test_utils import make_mocked_request
from pytest_bdd import given, parsers, scenarios, then, when

from ebonyladder.history import record_key
from ebonyladder.status import CallResult
from tests.status_fakes import START_HOUR, Fleet

scenarios("features/status.feature")

VMS = ("vm-1", "vm-2", "vm-3")


def page(fleet: Fleet) -> str:
    async def get() -> str:
        fleet.clock.advance(61)
        request = make_mocked_request("GET", "/status")
        response = await fleet.nodes["vm-1"].status_routes()["/status"](request)
        return response.body.decode()

    return asyncio.run(get())


def run(fleet: Fleet, hours: int, **options) -> None:
    busy = tuple(fleet.configuration.current.services)
    busy = tuple(name for name in busy if name != "shop")
    asyncio.run(fleet.run(60 * hours, busy=busy, **options))


@given(parsers.parse("a fleet that serves {services}"), target_fixture="fleet")
def fleet(services: str) -> Fleet:
    return asyncio.run(Fleet(*VMS, services=services.replace(" and ", " ")).start())


@when(parsers.parse("{hours:d} hours pass"))
def hours_pass(fleet: Fleet, hours: int) -> None:
    run(fleet, hours)


@when(parsers.parse("{hours:d} hours pass with failed calls"))
def hours_pass_failing(fleet: Fleet, hours: int) -> None:
    run(fleet, hours, result=CallResult.FAILED)


@when(parsers.parse("{hours:d} hours pass without any VM"))
def hours_pass_paused(fleet: Fleet, hours: int) -> None:
    run(fleet, hours, paused=VMS)


@when(parsers.parse("the services become {services}"))
def services_become(fleet: Fleet, services: str) -> None:
    fleet.configuration.change(Fleet.configured(services))


@when("the store goes down")
def store_goes_down(fleet: Fleet) -> None:
    page(fleet)
    fleet.store.is_down = True


@when("the record of an hour is lost")
def record_is_lost(fleet: Fleet) -> None:
    del fleet.store.objects[record_key("ledger", START_HOUR)]


@then(parsers.parse('the page says "{text}" for {service}'))
def page_says(fleet: Fleet, text: str, service: str) -> None:
    pattern = f"<section><h2>{service}</h2>(.*?)</section>"
    section = re.search(pattern, page(fleet), re.DOTALL)
    assert text in section[1]


@then("the page has no banner")
def no_banner(fleet: Fleet) -> None:
    assert "not established" not in page(fleet)


@then(parsers.parse('the page begins with "{text}"'))
def page_begins(fleet: Fleet, text: str) -> None:
    body = page(fleet).split("<main>")[1]
    assert re.sub("<[^>]+>", "", body).startswith(text)
