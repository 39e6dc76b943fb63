"""JSON with comments: parsing, lines of paths and edits that keep comments.

``json5`` takes 5.3 s for a text of 900 kB. Texts are therefore decoded by the
standard ``json`` module after comments and trailing commas are blanked; ``json5``
decodes only short texts that use more of its syntax.
"""

import json
import re
from collections.abc import Iterator
from typing import NamedTuple

import json5

from ebonyladder.kernel.error import Problem

MAX_TEXT_BYTES = 1_000_000
# json5 decodes about 170 kB a second, so a text of this size takes about 0.6 s.
MAX_JSON5_BYTES = 100_000

Path = tuple[str | int, ...]

_COMMENT = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_TRAILING_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[}\]])', re.DOTALL)
_SPACE = re.compile(r"\s*")
_JSON5_LINE = re.compile(r"<string>:(\d+)")
_DECODER = json.JSONDecoder()


class Member(NamedTuple):
    """Member of an object or array with its offsets in the text."""

    key: str | int
    key_start: int
    start: int
    end: int


class ParsedText(NamedTuple):
    """Decoded value of a text; ``source`` is the text with comments blanked.

    Offsets and lines of ``source`` are those of the text. It is None for a
    text that only json5 can decode.
    """

    value: object
    source: str | None
    problems: list[Problem]

    def line_of(self, path: Path) -> int:
        """Return the line of the deepest known part of ``path``, 0 if unknown."""
        if self.source is None:
            return 0
        offset = _skip_space(self.source, 0)
        key_offset = offset
        for part in path:
            member = member_of(self.source, offset, part)
            if member is None:
                break
            key_offset, offset = member.key_start, member.start
        return self.source.count("\n", 0, key_offset) + 1

    def problem(self, path: Path, problem: str, fix: str) -> Problem:
        """Return a problem at ``path`` with its line."""
        return Problem(dotted(path), self.line_of(path), problem, fix)


def dotted(path: Path) -> str:
    """Return a path as text, such as ``groups.g1.endpoints.0``."""
    return ".".join(str(part) for part in path)


def read_text(text: str) -> ParsedText:
    """Decode a text of JSON with comments; syntax errors are returned as problems."""
    try:
        size_bytes = len(text.encode())
    except UnicodeEncodeError:
        return _failure(0, "text is not valid Unicode", "save it as UTF-8")
    if size_bytes > MAX_TEXT_BYTES:
        return _failure(
            0,
            f"text has {size_bytes} bytes",
            f"the limit is {MAX_TEXT_BYTES} bytes; remove what is not used",
        )
    source = _TRAILING_COMMA.sub(_blank_match, _COMMENT.sub(_blank_match, text))
    duplicates: list[str] = []

    def object_of(pairs: list[tuple[str, object]]) -> dict[str, object]:
        members = dict(pairs)
        if len(members) != len(pairs):
            duplicates.append(pairs[0][0])
        return members

    try:
        value = json.loads(source, object_pairs_hook=object_of)
    except json.JSONDecodeError as error:
        return _read_json5(text, size_bytes, error)
    except (ValueError, RecursionError) as error:
        return _failure(0, f"text cannot be read: {error}", "simplify the text")
    problems = list(_duplicates(source, 0, ())) if duplicates else []
    return ParsedText(value, source, problems)


def _read_json5(text: str, size_bytes: int, error: json.JSONDecodeError) -> ParsedText:
    if size_bytes > MAX_JSON5_BYTES:
        return _failure(
            error.lineno,
            f"syntax error: {error.msg}",
            f"texts over {MAX_JSON5_BYTES} bytes must be JSON with comments, "
            "with double quotes around names and strings",
        )
    try:
        return ParsedText(json5.loads(text, allow_duplicate_keys=False), None, [])
    except (ValueError, RecursionError) as json5_error:
        message = str(json5_error)
        if message.startswith("Duplicate key"):
            return _failure(0, message, "remove one of the two")
        line = _JSON5_LINE.match(message)
        return _failure(
            int(line[1]) if line else error.lineno,
            f"syntax error: {error.msg} at column {error.colno}",
            "correct the syntax of this line or the one before it",
        )


def _failure(line: int, problem: str, fix: str) -> ParsedText:
    return ParsedText(None, None, [Problem("", line, problem, fix)])


def _blank_match(match: re.Match[str]) -> str:
    found = match[0]
    return found if found[0] == '"' else re.sub(r"[^\n]", " ", found)


def _skip_space(source: str, offset: int) -> int:
    return _SPACE.match(source, offset).end()  # type: ignore[union-attr]


def members_of(source: str, start: int) -> Iterator[Member]:
    """Yield the members of the object or array that starts at ``start``."""
    if source[start] not in "{[":
        return
    is_object = source[start] == "{"
    offset = _skip_space(source, start + 1)
    index = 0
    while source[offset] not in "}]":
        key: str | int = index
        key_start = offset
        if is_object:
            key, offset = _DECODER.raw_decode(source, offset)
            offset = _skip_space(source, _skip_space(source, offset) + 1)
        _, end = _DECODER.raw_decode(source, offset)
        yield Member(key, key_start, offset, end)
        offset = _skip_space(source, end)
        if source[offset] == ",":
            offset = _skip_space(source, offset + 1)
        index += 1


def member_of(source: str, start: int, key: str | int) -> Member | None:
    """Return one member of the object or array at ``start``."""
    return next((m for m in members_of(source, start) if m.key == key), None)


def _duplicates(source: str, start: int, path: Path) -> Iterator[Problem]:
    start = _skip_space(source, start)
    seen: set[str | int] = set()
    for member in members_of(source, start):
        member_path = (*path, member.key)
        if member.key in seen:
            line = source.count("\n", 0, member.key_start) + 1
            yield Problem(
                dotted(member_path),
                line,
                f"name {member.key!r} is used twice",
                "rename one",
            )
        seen.add(member.key)
        yield from _duplicates(source, member.start, member_path)


def replace_value(text: str, source: str, path: Path, value: object) -> str:
    """Return ``text`` with ``value`` at ``path``; missing objects are added."""
    offset = _skip_space(source, 0)
    for depth, part in enumerate(path):
        member = member_of(source, offset, part)
        if member is None:
            return _insert(text, source, offset, path[depth:], value)
        if depth == len(path) - 1:
            return text[: member.start] + json.dumps(value) + text[member.end :]
        offset = member.start
    return text


def _insert(text: str, source: str, offset: int, rest: Path, value: object) -> str:
    for part in reversed(rest[1:]):
        value = {str(part): value}
    is_empty = source[_skip_space(source, offset + 1)] in "}]"
    inserted = f"{json.dumps(rest[0])}: {json.dumps(value)}{'' if is_empty else ', '}"
    return text[: offset + 1] + inserted + text[offset + 1 :]


def insert_item(text: str, source: str, path: Path, item: str) -> str:
    """Return ``text`` with ``item`` inserted first in the array at ``path``."""
    offset = _skip_space(source, 0)
    for depth, part in enumerate(path):
        member = member_of(source, offset, part)
        if member is None:
            return _insert(text, source, offset, path[depth:], [item])
        offset = member.start
    is_empty = source[_skip_space(source, offset + 1)] == "]"
    inserted = json.dumps(item) + ("" if is_empty else ", ")
    return text[: offset + 1] + inserted + text[offset + 1 :]


def remove_item(text: str, source: str, path: Path) -> str:
    """Return ``text`` without the array item at ``path`` and its comma."""
    offset = _skip_space(source, 0)
    for part in path[:-1]:
        member = member_of(source, offset, part)
        if member is None:
            return text
        offset = member.start
    item = member_of(source, offset, path[-1])
    if item is None:
        return text
    text = text[: item.start] + " " * (item.end - item.start) + text[item.end :]
    next_offset = _skip_space(source, item.end)
    if source[next_offset] == ",":
        return text[:next_offset] + text[next_offset + 1 :]
    previous_comma = source.rfind(",", offset, item.start)
    return (
        text
        if previous_comma < 0
        else text[:previous_comma] + text[previous_comma + 1 :]
    )
