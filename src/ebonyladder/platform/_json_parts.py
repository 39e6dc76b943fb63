"""Parts of a JSON text that a decoder rejects as a whole.

A decoder stops at the first part that it can't represent, such as a value that is
nested too deeply. These functions find the bounds of the parts by their brackets,
without recursion, so that the others can still be decoded.
"""

import re
from collections.abc import Iterator

TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
KEY = re.compile(rb'\s*"([^"\\]*)"\s*:(.*)', re.DOTALL)


def split_container(text: bytes) -> Iterator[bytes]:
    """Yield the elements of an array, or the ``"key": value`` pairs of an object."""
    depth = 0
    start = 0
    for token in TOKEN.finditer(text):
        char = token.group()
        if char in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif char in (b"]", b"}"):
            depth -= 1
        is_end = depth == 0 and char in (b"]", b"}")
        if is_end or (depth == 1 and char == b","):
            part = text[start : token.start()]
            if part.strip():
                yield part
            start = token.end()
        if is_end:
            return


def members(text: bytes) -> dict[str, bytes]:
    """Return the text of each value of an object, by its key."""
    matches = (KEY.match(part) for part in split_container(text))
    return {m.group(1).decode(errors="replace"): m.group(2) for m in matches if m}
