"""Lines of the statement protocol, read by its rules alone.

A line ends at CR LF only, and its text keeps every byte: one ``str`` character stands
for each byte. Fields are separated by single blanks and never stripped. The module uses
nothing of the daemon, so that a fault of the daemon's reader isn't repeated here.
"""

import asyncio

LINE_END = b"\r\n"
# Size of the largest message, with its line end.
MAX_LINE_BYTES = 1024 * 1024
# For streams, whose limit doesn't count the line end.
STREAM_LIMIT_BYTES = MAX_LINE_BYTES - len(LINE_END)


def to_text(data: bytes) -> str:
    """Return a text with one character for each byte."""
    return data.decode("latin-1")


def to_bytes(text: str) -> bytes:
    """Return the bytes that the characters of a text stand for."""
    return text.encode("latin-1")


def encode_lines(*lines: str) -> bytes:
    """Return lines with their line ends."""
    return b"".join(to_bytes(line) + LINE_END for line in lines)


async def read_line(reader: asyncio.StreamReader) -> str | None:
    """Return the next line without its end; None if the connection has ended.

    Raises
    ------
    ConnectionAbortedError
        If the line exceeds the reader's limit.
    """
    try:
        line = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise ConnectionAbortedError("the line exceeds the size limit") from error
    return to_text(line[: -len(LINE_END)])
