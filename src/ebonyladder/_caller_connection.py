"""Limits on the time that a caller's connection takes to send and to read."""

import asyncio
from collections.abc import Callable
from typing import cast

from absl import logging
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

HEADER_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0
# A part must be taken within the write timeout, so a slow caller that goes on
# reading gets a large answer and one that stops does not hold its memory.
WRITE_PART_BYTES = 262_144


class TimedResponse(web.Response):
    """Response whose caller must go on reading.

    The connection is closed if no part of the body is taken for
    ``write_timeout_s`` seconds.
    """

    write_timeout_s = WRITE_TIMEOUT_S

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers."""
        self.transport = request.transport
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body in parts."""
        body = cast(bytes, self.body) or b""
        try:
            if len(body) <= WRITE_PART_BYTES:
                async with asyncio.timeout(self.write_timeout_s):
                    await super().write_eof(data)
                return
            for start in range(0, len(body), WRITE_PART_BYTES):
                async with asyncio.timeout(self.write_timeout_s):
                    await self.write(body[start : start + WRITE_PART_BYTES])
            async with asyncio.timeout(self.write_timeout_s):
                await web.StreamResponse.write_eof(self)
        except TimeoutError:
            logging.info("[callers] Caller has stopped reading. bytes=%d", len(body))
            if self.transport is not None:
                self.transport.abort()
            raise ConnectionResetError("caller has stopped reading") from None


class CallerConnection(asyncio.Protocol):
    """One caller's connection: bounds the time for the headers of a request.

    The time runs from the first byte while no request is under way, so idle
    connections stay open.

    Parameters
    ----------
    inner : asyncio.Protocol
        HTTP protocol that reads the bytes.
    timeout_s : float
        Seconds for the headers.
    on_end : callable
        Called once the connection has ended.
    """

    def __init__(
        self,
        *,
        inner: asyncio.Protocol,
        timeout_s: float,
        on_end: Callable[[], object],
    ) -> None:
        self.inner = inner
        self.timeout_s = timeout_s
        self.on_end = on_end
        self.requests = 0
        self.timer: asyncio.TimerHandle | None = None

    def begin_request(self) -> None:
        """Note that the headers of a request are complete."""
        self.requests += 1
        self._stop_timer()

    def end_request(self) -> None:
        """Note that a request has been answered."""
        self.requests -= 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on bytes; the first ones of a request start the time."""
        if not self.requests and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.timeout_s, self._expire)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass on the end of the caller's bytes."""
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the caller reads too slowly."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the caller has read."""
        self.inner.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the end of the connection."""
        self._stop_timer()
        self.on_end()
        self.inner.connection_lost(error)

    def _expire(self) -> None:
        self.timer = None
        logging.info("[callers] Headers did not arrive. limit_s=%.0f", self.timeout_s)
        self.transport.abort()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
