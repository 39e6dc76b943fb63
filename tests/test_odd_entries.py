"""Entries of other writers that no decoder accepts, in lists that daemons follow."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, ErrorCode
from ebonyladder.platform import _json_parts
from ebonyladder.platform._store_answers import (
    StoreAnswerError,
    decode_changes,
    decode_object,
    decode_page,
)
from ebonyladder.platform.configuration import decode_catalog, decode_endpoint
from ebonyladder.platform.endpoint import WireEndpointConnector
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState, VmEntry
from ebonyladder.sessions.fleet.watchers import GroupWatcher, VmWatcher
from ebonyladder.sessions.objects import UNREADABLE, Revision, StoreObject
from ebonyladder.types import (
    Address,
    EndpointId,
    Incarnation,
    OrganisationId,
    VmId,
    ZoneId,
)
from standins.object_store import RawContent, dump
from standins.platform import ZONES, configuration
from tests.odd_contents import DEEP, ENDPOINT, ODD_CONTENTS
from tests.platform_fleet import running_fleet, until
from tests.session_fakes import SERVICE, CountingMetrics, cluster, entry

settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def stored(name: str, content) -> dict:
    """Return an object as the store sends it."""
    return {"meta": {"name": name, "revision": 3}, "spec": content}


def page_of(*objects: dict, has_more: bool = False) -> bytes:
    """Return the store's answer to a list."""
    return dump({"items": list(objects), "has_more": has_more, "as_of": 7}).encode()


class TestLargestEntries:
    """Guards against an event loop that one entry keeps busy for seconds (review/4)."""

    VALUE_BYTES = 1_048_576

    @pytest.mark.parametrize(
        "content",
        [
            "[" * (VALUE_BYTES // 2) + "]" * (VALUE_BYTES // 2),
            '{"a":' * (VALUE_BYTES // 6) + "0" + "}" * (VALUE_BYTES // 6),
            "[0," * (VALUE_BYTES // 4) + "0" + "]" * (VALUE_BYTES // 4),
        ],
        ids=["arrays", "objects", "lists"],
    )
    def test_each_byte_is_passed_once(self, content, monkeypatch):
        passed = 0
        accumulate = _json_parts.accumulate

        def count(values):
            nonlocal passed
            for value in accumulate(values):
                passed += 1
                yield value

        monkeypatch.setattr(_json_parts, "accumulate", count)
        odd = stored("odd", RawContent(content))
        page = decode_page(page_of(stored("a", 1), odd, stored("b", 2)))
        assert [o.name for o in page.result.objects] == ["a", "odd", "b"]
        assert page.result.objects[1].content is UNREADABLE
        assert len(content) <= passed <= len(content) + 100


class TestStoreAnswers:
    """Guards against one entry that makes all others of its kind unreadable."""

    @pytest.mark.parametrize("name", ODD_CONTENTS)
    def test_entries_beside_an_odd_one_are_listed(self, name):
        body = page_of(
            stored("a", 1), stored("odd", ODD_CONTENTS[name]), stored("b", {"c": [2]})
        )
        page = decode_page(body)
        found = {o.name: o.content for o in page.result.objects}
        assert (found["a"], found["b"]) == (1, {"c": [2]})
        assert "odd" in found
        assert page.result.as_of == 7

    @pytest.mark.parametrize("name", ODD_CONTENTS)
    def test_events_beside_an_odd_one_are_read(self, name):
        events = [
            {"object": stored("odd", ODD_CONTENTS[name]), "removed": False},
            {"object": stored("odd", ODD_CONTENTS[name]), "removed": True},
            {"object": stored("a", 1), "removed": True},
        ]
        changes = decode_changes(dump({"events": events, "as_of": 9}).encode())
        assert [(c.object.name, c.is_removed) for c in changes.changes] == [
            ("odd", False),
            ("odd", True),
            ("a", True),
        ]
        assert changes.as_of == 9

    def test_content_that_can_not_be_decoded_is_marked(self):
        body = dump(stored("odd", ODD_CONTENTS["field nested deeply"])).encode()
        found = decode_object(body)
        assert (found.content, found.revision) == (UNREADABLE, 3)

    def test_next_page_begins_after_an_odd_last_entry(self):
        # Guards against a list that never gets past an odd entry.
        body = page_of(
            stored("a", 1), stored("b", ODD_CONTENTS["nested deeply"]), has_more=True
        )
        assert decode_page(body).continue_after == "b"

    def test_entry_without_a_name_is_left_out(self):
        odd = {"meta": ODD_CONTENTS["nested deeply"], "spec": 1}
        found = decode_page(page_of(odd, stored("a", 1))).result.objects
        assert [o.name for o in found] == ["a"]

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", DEEP.encode(), b'{"items": 1}'])
    def test_body_of_another_form_is_an_error(self, body):
        for decode in (decode_page, decode_changes, decode_object):
            with pytest.raises(StoreAnswerError):
                decode(body)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_value_or_the_declared_error(self, body):
        for decode in (decode_page, decode_changes, decode_object):
            try:
                decode(body)
            except StoreAnswerError:
                continue

    @given(JSON_VALUES, st.integers(0, 400), st.binary(max_size=3))
    def test_any_damage_gives_a_value_or_the_declared_error(self, value, at, damage):
        body = page_of(stored("a", value), stored("b", 1))
        damaged = body[:at] + damage + body[at + len(damage) :]
        try:
            decode_page(damaged)
        except StoreAnswerError:
            return


class TestEndpointEntry:
    """Guards against an endpoint that no connection can be opened to."""

    def test_valid_entry_is_decoded(self):
        assert decode_endpoint("i-1", msgspec.json.decode(ENDPOINT)) is not None

    @pytest.mark.parametrize("name", ODD_CONTENTS)
    def test_odd_entry_names_no_endpoint(self, name):
        found = decode_object(dump(stored("odd", ODD_CONTENTS[name])).encode())
        assert decode_endpoint("odd", found.content) is None

    @given(JSON_VALUES)
    def test_any_value_is_decoded_or_ignored(self, value):
        assert decode_endpoint("odd", value) is None

    @given(st.sampled_from(sorted(msgspec.json.decode(ENDPOINT))), JSON_VALUES)
    def test_any_field_is_decoded_or_the_entry_ignored(self, field, value):
        decode_endpoint("odd", {**msgspec.json.decode(ENDPOINT), field: value})

    @pytest.mark.parametrize(
        "address", ["127.0.0.1:99999", "127.0.0.1:-1", "nonsense", "[::", "a\0:1"]
    )
    def test_address_that_can_not_be_connected_to_is_a_connection_error(self, address):
        # ``OverflowError`` and ``ValueError`` once passed through the pool.
        async def open_connection():
            odd = msgspec.structs.replace(entry("odd"), address=Address(address))
            kernel = SimpleNamespace(get=lambda _: CountingMetrics())
            connector = WireEndpointConnector(kernel=kernel)
            await connector.open(odd, OrganisationId("council"))

        with pytest.raises(EndpointError) as raised:
            asyncio.run(open_connection())
        assert raised.value.code is ErrorCode.CONNECT_FAILED


class TestCatalog:
    """Guards against a configuration whose numbers break timers or rates."""

    @pytest.mark.parametrize(
        ("field", "value"), [("timeout_ms", 1e300), ("timeout_ms", -1), ("type", [])]
    )
    def test_odd_route_is_a_validation_error(self, field, value):
        content = configuration(2)
        content["routes"][0][field] = value
        with pytest.raises(msgspec.ValidationError):
            decode_catalog(content)

    @given(JSON_VALUES)
    def test_any_value_is_a_validation_error(self, value):
        with pytest.raises(msgspec.ValidationError):
            decode_catalog(value)


class TestOwnEntries:
    """Guards against watches that end at an entry of our own kinds."""

    def test_spoiled_group_keeps_its_last_state(self):
        group = GroupState(
            service=SERVICE, epoch=3, phase=GroupPhase.MOVING, primary=EndpointId("p")
        )
        view = cluster(ManualClock())
        watcher = GroupWatcher(store=None, cluster=view)
        valid = msgspec.to_builtins(group)
        for content in (valid, UNREADABLE, {"epoch": "x"}):
            watcher.apply(
                {
                    SERVICE: StoreObject(
                        name=SERVICE, revision=Revision(1), content=content
                    )
                }
            )
        assert view.groups[SERVICE] == group

    def test_failover_still_waits_for_a_vm_whose_entry_is_spoiled(self):
        vm = VmEntry(
            vm=VmId("vm-2"),
            address=Address("127.0.0.1:1"),
            zone=ZoneId("b"),
            incarnation=Incarnation(1),
        )
        watcher = VmWatcher(store=None, cluster=cluster(ManualClock()))
        for content in (msgspec.to_builtins(vm), UNREADABLE):
            watcher.apply(
                {vm.vm: StoreObject(name=vm.vm, revision=Revision(1), content=content)}
            )
        assert watcher.entries == {vm.vm: vm}


@pytest.mark.xdist_group("processes")
class TestFleet:
    """Guards against VMs that stop following a list after one odd entry."""

    def test_fleet_follows_all_lists_past_odd_entries(self):
        kinds = ["servers", "config", "evacuations", "ebonyladder-groups"]
        kinds += ["ebonyladder-vms", "ebonyladder-leaders"]

        async def scenario() -> tuple:
            async with running_fleet() as fleet:
                store = fleet.platform.store
                for kind in kinds:
                    for index, content in enumerate(ODD_CONTENTS.values()):
                        store.put(kind, f"odd-{index}", content)
                # A VM that starts reads the odd entries in its first lists.
                await fleet.add(next(iter(ZONES)))
                store.put("config", "main", configuration(2, keys=("other",)))
                store.put("evacuations", "c", {})
                for index in range(4):
                    view = fleet.cluster(index)
                    await until(lambda view=view: view.version == 2, "the catalog")
                    await until(lambda view=view: "c" in view.closed_zones, "the zone")
                    assert len(view.endpoints) == 3
                return tuple(k.task_failures for k in fleet.kernels)

        assert not any(asyncio.run(scenario()))

    def test_fleet_recovers_from_spoiled_entries_of_its_own(self):
        odd = ODD_CONTENTS["nested deeply"]

        async def scenario() -> tuple:
            async with running_fleet() as fleet:
                store = fleet.platform.store
                store.put("ebonyladder-leaders", "leader", odd)
                store.put("ebonyladder-vms", "vm-2", odd)
                for kernel in fleet.kernels:
                    await kernel.stop()
                fleet.kernels.clear()
                for zone in ZONES:
                    await fleet.add(zone)
                await until(fleet.has_leader, "a leader after the spoiled record")
                await until(
                    lambda: store.objects["ebonyladder-vms"]["vm-2"]["spec"] != odd,
                    "the registration of the VM",
                )
                return tuple(k.task_failures for k in fleet.kernels)

        assert not any(asyncio.run(scenario()))
