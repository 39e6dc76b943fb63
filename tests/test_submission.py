"""Tests of submissions to the store, edits of the text and capacity."""

import asyncio
import json

import pytest

from ebonyladder.capacity import remaining_capacity
from ebonyladder.configuration import CONFIGURATION_KEY, parse_configuration
from ebonyladder.document import (
    MAX_RECENT_SUBMISSIONS,
    ConfigurationDocument,
    Submission,
    load_document,
)
from ebonyladder.edit import GrantKey, SetEndpoint, SetVm, SetZone, WithdrawKey
from ebonyladder.kernel.error import EbonyladderError, ErrorCode
from ebonyladder.keys import digest_of
from ebonyladder.submission import submit, submit_edit
from ebonyladder.types import EndpointState, VmState, ZoneState
from tests.fakes import MemoryStore
from tests.test_configuration import DIGEST, TEXT

OTHER = "cd" * 32
GRANT = GrantKey(organisation="tenant-1", digest=OTHER)
ZONE_OUT = SetZone(zone="a", state=ZoneState.OUT)


class ConflictingStore(MemoryStore):
    """Store in which another operator changes the text before a write."""

    def __init__(self, conflicts: int) -> None:
        super().__init__()
        self.conflicts = conflicts

    async def put(self, key, value, *, expected_version):
        if self.conflicts and self.objects:
            self.conflicts -= 1
            edit = SetVm(vm=f"vm-{self.conflicts}", state=VmState.DRAIN)
            current = ConfigurationDocument.decode(self.objects[key].value)
            changed = current.with_submission(
                edit.apply(current.text),
                Submission(id=f"other-{self.conflicts}", intent=""),
            )
            await super().put(
                key, changed.encode(), expected_version=self.objects[key].version
            )
        return await super().put(key, value, expected_version=expected_version)


async def submit_first(store, text=TEXT):
    return await submit(store, text=text, base_version=0, submission_id="first-one")


async def refused(code, awaitable):
    with pytest.raises(EbonyladderError) as caught:
        await awaitable
    assert caught.value.code is code
    return caught.value


class TestSubmit:
    """Guards against overwritten changes and texts that are applied twice."""

    def test_accepted_text_is_stored(self):
        async def run():
            store = MemoryStore()
            accepted = await submit_first(store)
            current = await load_document(store)
            assert (current.version, current.document.text) == (accepted.version, TEXT)

        asyncio.run(run())

    def test_conflict_reports_the_current_version_and_changes_nothing(self):
        async def run():
            store = MemoryStore()
            accepted = await submit_first(store)
            error = await refused(
                ErrorCode.STORE_CONFLICT,
                submit(store, text="{}", base_version=0, submission_id="second-one"),
            )
            assert error.current_version == accepted.version
            assert (await load_document(store)).document.text == TEXT

        asyncio.run(run())

    def test_lost_answer_is_resolved_by_reading(self):
        async def run():
            store = MemoryStore()
            store.lost_answers = 1
            accepted = await submit_first(store)
            assert (accepted.version, store.calls["put"]) == (1, 1)

        asyncio.run(run())

    def test_repeated_submission_is_accepted_once(self):
        async def run():
            store = MemoryStore()
            await submit_first(store)
            assert (await submit_first(store)).repeated
            assert store.calls["put"] == 1

        asyncio.run(run())

    def test_submission_id_of_another_text_is_refused(self):
        async def run():
            store = MemoryStore()
            await submit_first(store)
            await refused(ErrorCode.BAD_REQUEST, submit_first(store, text="{}"))

        asyncio.run(run())

    def test_invalid_text_causes_no_store_call(self):
        async def run():
            store = MemoryStore()
            await refused(
                ErrorCode.CONFIGURATION_INVALID, submit_first(store, text="{")
            )
            assert not store.calls

        asyncio.run(run())

    def test_outage_has_the_outcome_unknown(self):
        async def run():
            store = MemoryStore()
            store.is_down = True
            error = await refused(ErrorCode.STORE_UNAVAILABLE, submit_first(store))
            assert error.outcome.value == "unknown"

        asyncio.run(run())


class TestEdits:
    """Guards against lost comments, lost concurrent changes and repeated edits."""

    @pytest.mark.parametrize(
        "edit",
        [
            GRANT,
            WithdrawKey(digest=DIGEST),
            ZONE_OUT,
            SetVm(vm="vm-9", state=VmState.DRAIN),
            SetEndpoint(endpoint="db-2", state=EndpointState.LEAVING),
        ],
    )
    def test_edit_keeps_comments_and_is_idempotent(self, edit):
        changed = edit.apply(TEXT)
        assert changed != TEXT
        assert "// Services and what they need." in changed
        assert "/* one of the large ones */" in changed
        assert changed.count("\n") == TEXT.count("\n")
        assert edit.apply(changed) == changed

    def test_every_key_position_can_be_withdrawn(self):
        text = GrantKey(organisation="tenant-1", digest="ef" * 32).apply(
            GRANT.apply(TEXT)
        )
        for digest in (OTHER, DIGEST, "ef" * 32):
            left = parse_configuration(WithdrawKey(digest=digest).apply(text))
            digests = left.organisations["tenant-1"].key_digests
            assert len(digests) == 2
            assert digest not in digests

    def test_json5_text_can_be_edited(self):
        changed = ZONE_OUT.apply("{zones: {a: {region: 'r'}}}")
        assert parse_configuration(changed).zones["a"].state is ZoneState.OUT

    def test_unknown_name_is_not_found(self):
        with pytest.raises(EbonyladderError, match="did you mean 'tenant-1'"):
            GrantKey(organisation="tenant-2", digest=OTHER).apply(TEXT)

    def test_edit_is_based_on_the_newer_text_after_a_conflict(self):
        async def run():
            store = ConflictingStore(conflicts=3)
            await submit_first(store)
            await submit_edit(store, edit=GRANT, submission_id="grant-one")
            text = (await load_document(store)).document.text
            configuration = parse_configuration(text)
            assert OTHER in configuration.organisations["tenant-1"].key_digests
            assert len(configuration.vms) == 3

        asyncio.run(run())

    def test_attempts_are_bounded(self):
        async def run():
            store = ConflictingStore(conflicts=1_000)
            await submit_first(store)
            await refused(
                ErrorCode.STORE_CONFLICT,
                submit_edit(store, edit=GRANT, submission_id="grant-one"),
            )

        asyncio.run(run())

    def test_edit_with_a_lost_answer_is_not_applied_again(self):
        async def run():
            store = MemoryStore()
            await submit_first(store)
            store.lost_answers = 1
            await submit_edit(store, edit=ZONE_OUT, submission_id="zone-one")
            zone_in = SetZone(zone="a", state=ZoneState.IN)
            await submit_edit(store, edit=zone_in, submission_id="zone-two")
            again = await submit_edit(store, edit=ZONE_OUT, submission_id="zone-one")
            text = (await load_document(store)).document.text
            assert again.repeated
            assert parse_configuration(text).zones["a"].state is ZoneState.IN

        asyncio.run(run())


class TestDocument:
    """Guards against a growing list of submissions, and corrupt or oversized values."""

    def test_most_recent_submissions_are_kept(self):
        document = ConfigurationDocument(text="")
        for number in range(MAX_RECENT_SUBMISSIONS + 5):
            document = document.with_submission(
                "", Submission(id=str(number), intent="")
            )
        assert document.submission("4") is None
        assert document.submission("5") is not None

    def test_corrupt_value_is_an_error(self):
        value = ConfigurationDocument(text=TEXT).encode()
        with pytest.raises(EbonyladderError):
            ConfigurationDocument.decode(value[:-1])
        with pytest.raises(EbonyladderError, match="digest"):
            ConfigurationDocument.decode(value.replace(value[-64:], b"0" * 64))

    def test_largest_text_of_digests_fits_the_store(self):
        keys = [digest_of(str(number)) for number in range(14_000)]
        tenant = {"rate_per_s": 1, "burst": 1, "key_digests": keys}
        text = json.dumps({"organisations": {"t": tenant}}).ljust(1_000_000)

        async def run():
            store = MemoryStore()
            await submit_first(store, text=text)
            assert len(store.objects[CONFIGURATION_KEY].value) < 1_000_000

        asyncio.run(run())


class TestCapacity:
    """Guards against taking out a zone whose load the other zones cannot take."""

    def test_remaining_slots_are_counted_without_the_zone(self):
        (capacity,) = remaining_capacity(parse_configuration(TEXT), "a")
        assert (capacity.slots, capacity.remaining_slots) == (15, 10)

    @pytest.mark.parametrize(("used", "is_refused"), [(10, False), (11, True)])
    def test_change_that_leaves_too_few_slots_is_refused(self, used, is_refused):
        async def run():
            store = MemoryStore()
            await submit_first(store)
            change = submit_edit(
                store, edit=ZONE_OUT, submission_id="zone-one", used_slots={"g1": used}
            )
            if is_refused:
                await refused(ErrorCode.CAPACITY, change)
            else:
                await change

        asyncio.run(run())

    def test_lost_majority_is_refused_unless_forced(self):
        async def run():
            store = MemoryStore()
            await submit_first(store)
            take_out = SetEndpoint(endpoint="db-2", state=EndpointState.LEAVING)
            await submit_edit(store, edit=take_out, submission_id="leave-one")
            change = {"edit": ZONE_OUT, "submission_id": "zone-one"}
            error = await refused(ErrorCode.CAPACITY, submit_edit(store, **change))
            assert "majority" in error.message
            assert (await submit_edit(store, **change, force=True)).changed

        asyncio.run(run())
