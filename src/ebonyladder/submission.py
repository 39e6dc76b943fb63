"""Conditional submission of configuration texts and edits to the store."""

import asyncio
import difflib
import hashlib
import re
from collections.abc import Mapping

import msgspec
from absl import logging

from ebonyladder.capacity import require_capacity
from ebonyladder.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    parse_configuration,
)
from ebonyladder.document import (
    ConfigurationDocument,
    Submission,
    VersionedDocument,
    load_document,
    text_digest,
)
from ebonyladder.edit import AnyEdit
from ebonyladder.kernel.error import (
    ConfigurationError,
    ErrorCode,
    Problem,
    RequestError,
    StoreError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.store import MAX_VALUE_BYTES, PlatformStore
from ebonyladder.types import ConfigurationVersion, GroupId, SubmissionId

MAX_STORE_ATTEMPTS = 4
READ_BACKOFF_S = 0.1
MAX_REBASE_ATTEMPTS = 8

_SUBMISSION_ID = re.compile(r"[A-Za-z0-9._-]{8,64}")


class SubmissionResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a submission that is in the store.

    Attributes
    ----------
    version : ConfigurationVersion
        Version that contains the submission.
    changed : bool
        False if the text already had the requested content.
    repeated : bool
        True if the same submission took effect earlier.
    """

    version: ConfigurationVersion
    changed: bool = True
    repeated: bool = False


class VersionConflictError(ConfigurationError):
    """Raised for a text that is based on another version than the current one."""

    def __init__(self, *, base: int, current: int) -> None:
        self.current_version = ConfigurationVersion(current)
        super().__init__(
            code=ErrorCode.STORE_CONFLICT,
            step=Step.CONFIG_SUBMIT,
            message=(
                f"the text is based on version {base} and the current version is "
                f"{current}; compare the two and submit again"
            ),
        )


async def submit(
    store: PlatformStore,
    *,
    text: str,
    base_version: int,
    submission_id: SubmissionId,
    force: bool = False,
    used_slots: Mapping[GroupId, float] | None = None,
) -> SubmissionResult:
    """Replace the configuration text if it still has ``base_version``.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID for an invalid text, CAPACITY if a group would lack
        capacity or its majority and ``force`` is not set.
    VersionConflictError
        STORE_CONFLICT if another submission has been accepted since.
    StoreError
        STORE_UNAVAILABLE if the store did not answer; submitting again with
        the same submission id never applies the text twice.
    """
    after = parse_configuration(text)
    submission = _submission(submission_id, intent=text_digest(text))
    current = await load_document(store)
    earlier = _earlier_result(current, submission)
    if earlier is not None:
        return earlier
    if current.version != base_version:
        raise VersionConflictError(base=base_version, current=current.version)
    if not force:
        before = _configuration(current.document)
        require_capacity(before, after, used_slots=used_slots)
    return await _write(store, current, text, submission)


async def submit_edit(
    store: PlatformStore,
    *,
    edit: AnyEdit,
    submission_id: SubmissionId,
    force: bool = False,
    used_slots: Mapping[GroupId, float] | None = None,
) -> SubmissionResult:
    """Apply an edit to the current text, again after a concurrent change.

    Raises
    ------
    ConfigurationError
        NOT_FOUND for an unknown name, CAPACITY as for ``submit``.
    VersionConflictError
        STORE_CONFLICT after ``MAX_REBASE_ATTEMPTS`` conflicts.
    StoreError
        STORE_UNAVAILABLE if the store did not answer.
    """
    submission = _submission(submission_id, intent=_edit_digest(edit))
    attempts = 0
    while True:
        current = await load_document(store)
        earlier = _earlier_result(current, submission)
        if earlier is not None:
            return earlier
        text = edit.apply(current.document.text or "{}")
        if text == current.document.text:
            return SubmissionResult(version=current.version, changed=False)
        after = parse_configuration(text)
        if not force:
            before = _configuration(current.document)
            require_capacity(before, after, used_slots=used_slots)
        attempts += 1
        try:
            return await _write(store, current, text, submission)
        except VersionConflictError as conflict:
            if attempts == MAX_REBASE_ATTEMPTS:
                raise
            logging.info(
                "[operator] Conflict; applying the edit to the newer text. version=%d",
                conflict.current_version,
            )


async def _write(
    store: PlatformStore, base: VersionedDocument, text: str, submission: Submission
) -> SubmissionResult:
    """Write conditionally; a lost answer is resolved by reading again."""
    value = base.document.with_submission(text, submission).encode()
    _require_size(value)
    attempts = 0
    while True:
        attempts += 1
        try:
            version = await store.put(
                CONFIGURATION_KEY, value, expected_version=base.version
            )
            return SubmissionResult(version=ConfigurationVersion(version))
        except StoreError as error:
            failure = error
        # The write may have taken effect, which the recent submission ids show.
        # Writing again is safe because the condition on the version still holds.
        current = await _load_after(store, failure)
        if current.document.submission(submission.id) is not None:
            return SubmissionResult(version=current.version)
        if current.version != base.version:
            raise VersionConflictError(base=base.version, current=current.version)
        if attempts == MAX_STORE_ATTEMPTS:
            raise failure


async def _load_after(store: PlatformStore, failure: StoreError) -> VersionedDocument:
    for _ in range(MAX_STORE_ATTEMPTS):
        try:
            return await load_document(store)
        except StoreError as error:
            failure = error
            await asyncio.sleep(READ_BACKOFF_S)
    raise StoreError(
        code=ErrorCode.STORE_UNAVAILABLE,
        step=Step.CONFIG_SUBMIT,
        peer="store",
        message=(
            "the store did not answer, so the change may have taken effect; "
            "repeat it with the same submission id"
        ),
    ) from failure


def _earlier_result(
    current: VersionedDocument, submission: Submission
) -> SubmissionResult | None:
    known = current.document.submission(submission.id)
    if known is None:
        return None
    if known.intent != submission.intent:
        raise RequestError(
            code=ErrorCode.BAD_REQUEST,
            step=Step.CONFIG_SUBMIT,
            message=f"submission id {submission.id!r} was used for another change",
        )
    return SubmissionResult(version=current.version, repeated=True)


def _submission(submission_id: SubmissionId, *, intent: str) -> Submission:
    if _SUBMISSION_ID.fullmatch(submission_id) is None:
        raise RequestError(
            code=ErrorCode.BAD_REQUEST,
            step=Step.CONFIG_SUBMIT,
            message="a submission id has 8 to 64 letters, digits, '.', '_' and '-'",
        )
    return Submission(id=submission_id, intent=intent)


def _edit_digest(edit: AnyEdit) -> str:
    return hashlib.sha256(msgspec.json.encode(edit)).hexdigest()


def _configuration(document: ConfigurationDocument) -> Configuration:
    return parse_configuration(document.text) if document.text else Configuration()


def _require_size(value: bytes) -> None:
    if len(value) > MAX_VALUE_BYTES:
        raise ConfigurationError(
            code=ErrorCode.CONFIGURATION_INVALID,
            step=Step.CONFIG_SUBMIT,
            problems=[
                Problem(
                    "",
                    0,
                    f"text needs {len(value)} bytes in the store",
                    f"the limit is {MAX_VALUE_BYTES} bytes; shorten it",
                )
            ],
        )


def diff_texts(old: str, new: str, *, old_name: str, new_name: str) -> str:
    """Return the unified diff of two texts, empty if they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)
