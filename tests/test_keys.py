"""Tests of the check of organisations' keys."""

import asyncio
import json

import pytest

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.keys import digest_of
from ebonyladder.plugins.keys import KeysPlugin
from tests.fleet import run_fleet

KEY = "key-of-org-a"
DIGEST = digest_of(KEY)


def text_with(digest: str, organisation: str = "org-a") -> str:
    spec = {"rate_per_s": 1, "burst": 1, "key_digests": [digest]}
    return json.dumps({"organisations": {organisation: spec}})


def refusal(call, *arguments) -> ErrorCode:
    with pytest.raises(RequestError) as caught:
        call(*arguments)
    assert KEY not in str(caught.value)
    return caught.value.code


async def check_withdrawn_key_is_refused(fleet) -> None:
    await fleet.write(text_with("00" * 32))
    await asyncio.sleep(2)
    for vm in fleet.vms:
        assert refusal(vm.keys.identify, KEY) is ErrorCode.KEY_REFUSED
        code = refusal(vm.keys.require_valid, DIGEST, Step.EXECUTE)
        assert code is ErrorCode.KEY_REFUSED


class TestKeys:
    """Guards against work for a key that is unknown or withdrawn."""

    def test_known_key_identifies_its_organisation(self):
        async def scenario(fleet):
            for vm in fleet.vms:
                assert vm.keys.identify(KEY) == ("org-a", DIGEST)
                vm.keys.require_valid(DIGEST, Step.EXECUTE)

        run_fleet(scenario, text=text_with(DIGEST))

    def test_unknown_key_is_refused(self):
        async def scenario(fleet):
            code = refusal(fleet.vms[0].keys.identify, "other")
            assert code is ErrorCode.KEY_REFUSED
            assert refusal(fleet.vms[0].keys.identify, "") is ErrorCode.KEY_REFUSED

        run_fleet(scenario, text=text_with(DIGEST))

    def test_withdrawn_key_is_refused_on_every_vm(self):
        run_fleet(check_withdrawn_key_is_refused, text=text_with(DIGEST))

    def test_the_check_fails_when_configurations_do_not_reach_the_keys(
        self, monkeypatch
    ):
        async def start_without_subscription(self):
            self.apply(self.kernel.get(ConfigurationSource).current)

        monkeypatch.setattr(KeysPlugin, "start", start_without_subscription)
        with pytest.raises(pytest.fail.Exception):
            run_fleet(check_withdrawn_key_is_refused, text=text_with(DIGEST))

    def test_partitioned_vm_refuses_keys_as_its_configuration_is_stale(self):
        async def scenario(fleet):
            partitioned = fleet.vms[2]
            partitioned.store.is_down = True
            fleet.network.partition(partitioned.name)
            await fleet.write(text_with("00" * 32))
            await asyncio.sleep(5)
            code = refusal(partitioned.keys.require_valid, DIGEST, Step.EXECUTE)
            assert code is ErrorCode.STALE_CONFIGURATION
            code = refusal(partitioned.keys.identify, KEY)
            assert code is ErrorCode.STALE_CONFIGURATION

        run_fleet(scenario, text=text_with(DIGEST))

    def test_listeners_are_called_once_for_a_key_that_moves(self):
        async def scenario(fleet):
            withdrawn = []

            def broken(digest):
                raise ValueError("listener is broken")

            fleet.vms[0].keys.on_withdrawn(broken)
            fleet.vms[0].keys.on_withdrawn(withdrawn.append)
            await fleet.write(text_with(DIGEST) + "\n// comment")
            await asyncio.sleep(2)
            assert withdrawn == []
            await fleet.write(text_with(DIGEST, "org-b"))
            await asyncio.sleep(2)
            assert withdrawn == [DIGEST]
            assert fleet.vms[0].keys.identify(KEY).organisation == "org-b"

        run_fleet(scenario, text=text_with(DIGEST))
