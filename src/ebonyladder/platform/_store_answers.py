"""Decoding of the store's answers; an unreadable entry leaves the others readable."""

import re
from typing import Any

import msgspec
from absl import logging

from ebonyladder.platform._json_parts import members, members_and_elements
from ebonyladder.sessions.objects import (
    UNREADABLE,
    Change,
    Changes,
    ListResult,
    Revision,
    StoreEra,
    StoreObject,
)
from ebonyladder.sessions.store_era import MAX_ERA

# Errors of a decoder at content that it can't represent.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
# Whole number of at most 18 digits, which fits into 64 bits.
ERA_PATTERN = re.compile("[0-9]{1,18}")


class StoreAnswerError(Exception):
    """Answer that doesn't have the form of the called operation."""


class InvalidEraError(Exception):
    """Era that is no whole number, or too large for its revisions to be told apart."""


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Some of the objects of a kind.

    Attributes
    ----------
    continue_after : str or None
        Name after which the next page begins; None on the last page.
    """

    result: ListResult
    continue_after: str | None


class _Meta(msgspec.Struct, kw_only=True):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, kw_only=True):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct, kw_only=True):
    object: msgspec.Raw
    removed: bool


class _Page(msgspec.Struct, kw_only=True):
    items: list[msgspec.Raw]
    has_more: bool
    as_of: int


class _Events(msgspec.Struct, kw_only=True):
    events: list[msgspec.Raw]
    as_of: int


def decode_era(text: str | None) -> StoreEra | None:
    """Decode the header that names the store's era; None if it is missing.

    Raises
    ------
    InvalidEraError
        If the text isn't a whole number up to ``MAX_ERA``.
    """
    if text is None:
        return None
    if ERA_PATTERN.fullmatch(text) is None or int(text) > MAX_ERA:
        raise InvalidEraError(text)
    return StoreEra(int(text))


def decode_page(body: bytes, *, era_start: int = 0) -> Page:
    """Decode one page of a list.

    Parameters
    ----------
    era_start : int
        Number in front of the revisions of the answer's era.

    Raises
    ------
    StoreAnswerError
        If the body isn't a page.
    """
    page = _decode_with_array(body, _Page, "items")
    found = [_try_decode_object(bytes(item), era_start) for item in page.items]
    objects = tuple(o for o in found if o is not None)
    if page.has_more and not objects:
        raise StoreAnswerError("no entry of the page has a readable name")
    return Page(
        result=ListResult(objects=objects, as_of=Revision(era_start + page.as_of)),
        continue_after=objects[-1].name if page.has_more else None,
    )


def decode_changes(body: bytes, *, era_start: int = 0) -> Changes:
    """Decode the answer of a watch.

    Parameters
    ----------
    era_start : int
        Number in front of the revisions of the answer's era.

    Raises
    ------
    StoreAnswerError
        If the body isn't a list of events.
    """
    answer = _decode_with_array(body, _Events, "events")
    found = [_try_decode_change(bytes(event), era_start) for event in answer.events]
    return Changes(
        changes=tuple(c for c in found if c is not None),
        as_of=Revision(era_start + answer.as_of),
    )


def decode_object(body: bytes, *, era_start: int = 0) -> StoreObject:
    """Decode one object; content that can't be read becomes ``UNREADABLE``.

    Parameters
    ----------
    era_start : int
        Number in front of the revisions of the answer's era.

    Raises
    ------
    StoreAnswerError
        If the body isn't an object with a name.
    """
    try:
        encoded = msgspec.json.decode(body, type=_Object)
    except DECODE_ERRORS:
        parts = members(body, ("meta", "spec"), with_unreadable=False)
        encoded = _Object(
            meta=_decode(parts.get("meta", b""), _Meta),
            spec=msgspec.Raw(parts.get("spec", b"")),
        )
    return StoreObject(
        name=encoded.meta.name,
        revision=Revision(era_start + encoded.meta.revision),
        content=_decode_content(encoded.meta.name, bytes(encoded.spec), len(body)),
    )


def _decode_content(name: str, encoded: bytes, entry_bytes: int) -> Any:
    try:
        return msgspec.json.decode(encoded)
    except DECODE_ERRORS as error:
        logging.warning(
            "[platform] Entry can't be read. name=%s bytes=%d error=%r",
            name,
            entry_bytes,
            error,
        )
        return UNREADABLE


def _try_decode_object(encoded: bytes, era_start: int) -> StoreObject | None:
    try:
        return decode_object(encoded, era_start=era_start)
    except StoreAnswerError as error:
        logging.warning("[platform] Entry without a name is left out. error=%s", error)
        return None


def _try_decode_change(encoded: bytes, era_start: int) -> Change | None:
    try:
        event = msgspec.json.decode(encoded, type=_Event)
    except DECODE_ERRORS:
        parts = members(encoded, ("object", "removed"), with_unreadable=True)
        event = _Event(
            object=msgspec.Raw(parts.get("object", b"")),
            removed=parts.get("removed", b"").strip() == b"true",
        )
    found = _try_decode_object(bytes(event.object), era_start)
    return None if found is None else Change(object=found, is_removed=event.removed)


def _decode_with_array(body: bytes, body_type: type, key: str) -> Any:
    """Decode a struct whose array ``key`` may have elements that can't be decoded."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS:
        others, elements = members_and_elements(body, key)
        fields = {
            name: _decode(value, Any)
            for name, value in others.items()
            if name in body_type.__struct_fields__
        }
    try:
        answer = msgspec.convert({**fields, key: []}, body_type)
    except msgspec.ValidationError as error:
        raise StoreAnswerError(str(error)) from error
    setattr(answer, key, [msgspec.Raw(element) for element in elements])
    return answer


def _decode(encoded: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(encoded, type=kind)
    except DECODE_ERRORS as error:
        raise StoreAnswerError(str(error)) from error
