"""Lines of the statement protocol, which end at CR LF and nowhere else."""

import asyncio

LINE_END = b"\r\n"
# Largest line, in bytes, without its end.
MAX_LINE_BYTES = 1024 * 1024


class LineError(Exception):
    """Line that is truncated or exceeds the size limit."""


class LineReader(asyncio.StreamReader):
    """Stream of lines; every byte of a line but its end belongs to its text.

    Attributes
    ----------
    has_ended : bool
        Whether the other side has closed the stream, also if lines that came before
        haven't been read yet.
    """

    def __init__(self) -> None:
        self.has_ended = False
        super().__init__(limit=MAX_LINE_BYTES, loop=asyncio.get_running_loop())

    @property
    def has_data(self) -> bool:
        """Whether a byte was received that nobody has read yet."""
        return bool(self._buffer)

    @property
    def has_line(self) -> bool:
        """Whether a whole line was received that nobody has read yet."""
        return LINE_END in self._buffer

    @property
    def may_read(self) -> bool:
        """Whether ``read_line`` returns or fails without waiting."""
        is_overlong = len(self._buffer) > MAX_LINE_BYTES + len(LINE_END)
        return self.has_line or self.has_ended or is_overlong

    async def wait(self) -> None:
        """Wait for more bytes, for the end of the stream, or for ``interrupt``."""
        await self._wait_for_data("wait")

    def interrupt(self) -> None:
        """End a wait that is in progress."""
        self._wakeup_waiter()

    def feed_eof(self) -> None:
        """Record the end of the stream."""
        self.has_ended = True
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """Record the loss of the connection."""
        self.has_ended = True
        super().set_exception(exc)

    async def read_line(self) -> bytes | None:
        """Return the next line without its end, None if the stream has ended.

        Raises
        ------
        LineError
            If the line is truncated or exceeds the size limit.
        """
        try:
            line = await self.readuntil(LINE_END)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise LineError("the line is truncated") from error
            return None
        except asyncio.LimitOverrunError as error:
            raise LineError("the line exceeds the size limit") from error
        return line[: -len(LINE_END)]
