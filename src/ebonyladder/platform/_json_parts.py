"""Parts of a JSON text that a decoder rejects as a whole.

A decoder stops at the first part that it can't represent, such as a value that is
nested too deeply. These functions find the bounds of the parts, so that the others can
still be decoded. Another writer's entry of the largest size must not keep the event
loop busy, so each part is passed once, without a loop over its characters in Python.
"""

import re
from collections.abc import Collection, Iterator
from itertools import accumulate, compress, count
from json import JSONDecoder
from operator import not_

DECODER = JSONDecoder()
KEY = re.compile(r'"([^"\\]*)"\s*:\s*')
SPACE = re.compile(r"\s*")
SCALAR = re.compile(r"[^\s,\]}]*")
CLOSING = ("]", "}")


def _depth_changes() -> bytes:
    """Return a table for ``bytes.translate``: 1 opens a container, 255 closes one."""
    table = bytearray(256)
    for opening, closing in (b"[]", b"{}"):
        table[opening], table[closing] = 1, 255
    return bytes(table)


DEPTH_CHANGES = _depth_changes()


class JsonScanner:
    """Finds values in a JSON text.

    Parameters
    ----------
    text : bytes
        The text.

    Attributes
    ----------
    ends : dict of int to int
        Ends of the values that were passed, by their starts.
    unreadable : set of int
        Starts of the values that can't be decoded.
    """

    def __init__(self, text: bytes) -> None:
        self.text = text
        # One character for each byte, so that the bounds are the same in both.
        self.chars = text.decode("latin-1")
        self.ends: dict[int, int] = {}
        self.unreadable: set[int] = set()
        self.changes: memoryview | None = None

    def first(self) -> int:
        """Return the start of the outermost value."""
        return self._skip_space(0)

    def values(self, start: int) -> Iterator[tuple[str, int]]:
        """Yield key and start of each value in a container; no keys in an array."""
        is_object = self.chars[start : start + 1] == "{"
        position = self._skip_space(start + 1)
        while self.chars[position : position + 1] not in ("", *CLOSING):
            key = ""
            if is_object:
                match = KEY.match(self.chars, position)
                if match is None:
                    return
                key, position = match.group(1), match.end()
            yield key, position
            position = self._skip_space(self.end(position))
            separator = self.chars[position : position + 1]
            if separator == ",":
                position = self._skip_space(position + 1)
            elif separator not in CLOSING:
                return
        self.ends[start] = position + 1

    def end(self, start: int) -> int:
        """Return the end of a value."""
        if start not in self.ends and self.is_readable(start):
            return self.ends[start]
        if start not in self.ends:
            self.ends[start] = self._skip_value(start)
        return self.ends[start]

    def is_readable(self, start: int) -> bool:
        """Tell whether a value can be decoded."""
        if start in self.unreadable:
            return False
        if start not in self.ends:
            try:
                _, self.ends[start] = DECODER.raw_decode(self.chars, start)
            except (RecursionError, ValueError):
                self.unreadable.add(start)
                return False
        return True

    def _skip_value(self, start: int) -> int:
        """Return the end of a value that can't be decoded, by its brackets."""
        if self.chars[start : start + 1] not in ("[", "{"):
            return SCALAR.match(self.chars, start).end()
        if self.changes is None:
            masked = _mask_strings(self.text)
            self.changes = memoryview(masked.translate(DEPTH_CHANGES)).cast("b")
        depths = accumulate(self.changes[start:])
        return next(compress(count(start), map(not_, depths)), len(self.text) - 1) + 1

    def _skip_space(self, position: int) -> int:
        return SPACE.match(self.chars, position).end()


def _mask_strings(text: bytes) -> bytes:
    """Replace the content of strings by as many blanks."""
    parts = text.replace(b"\\\\", b"  ").replace(b'\\"', b"  ").split(b'"')
    parts[1::2] = [b" " * len(part) for part in parts[1::2]]
    return b'"'.join(parts)


def members(
    text: bytes, keys: Collection[str], *, with_unreadable: bool
) -> dict[str, bytes]:
    """Return the text of some values of an object.

    Parameters
    ----------
    with_unreadable : bool
        Whether to return also the text of values that can't be decoded; it is empty
        otherwise, and their ends aren't looked for.
    """
    scanner = JsonScanner(text)
    found: dict[str, bytes] = {}
    for key, start in scanner.values(scanner.first()):
        if key in keys:
            is_wanted = with_unreadable or scanner.is_readable(start)
            found[key] = text[start : scanner.end(start)] if is_wanted else b""
            if len(found) == len(keys):
                break
    return found


def members_and_elements(text: bytes, key: str) -> tuple[dict[str, bytes], list[bytes]]:
    """Return the text of an object's values, and of the elements of the array ``key``.

    The values don't contain the array.
    """
    scanner = JsonScanner(text)
    others: dict[str, bytes] = {}
    elements: list[bytes] = []
    for name, start in scanner.values(scanner.first()):
        if name == key:
            starts = [element for _, element in scanner.values(start)]
            elements = [text[s : scanner.end(s)] for s in starts]
        else:
            others[name] = text[start : scanner.end(start)]
    return others, elements
