"""Time limits on sending and reading for callers' connections."""

import asyncio
from collections.abc import Callable
from typing import cast

from absl import logging
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

HEADER_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0
# Each chunk must be read within the write timeout: a slow caller that keeps reading
# gets a large answer, and the memory for one that has stopped is released.
WRITE_CHUNK_BYTES = 262_144


class TimedResponse(web.Response):
    """Response that closes the connection of a caller that has stopped reading.

    The caller must read each chunk of the body within ``write_timeout_s`` seconds.
    """

    write_timeout_s = WRITE_TIMEOUT_S

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the headers."""
        self.transport = request.transport
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body in chunks."""
        body = cast(bytes, self.body) or b""
        try:
            if len(body) <= WRITE_CHUNK_BYTES:
                async with asyncio.timeout(self.write_timeout_s):
                    await super().write_eof(data)
                return
            for start in range(0, len(body), WRITE_CHUNK_BYTES):
                async with asyncio.timeout(self.write_timeout_s):
                    await self.write(body[start : start + WRITE_CHUNK_BYTES])
            async with asyncio.timeout(self.write_timeout_s):
                await web.StreamResponse.write_eof(self)
        except TimeoutError:
            logging.info("[callers] Caller has stopped reading. bytes=%d", len(body))
            if self.transport is not None:
                self.transport.abort()
            raise ConnectionResetError("caller has stopped reading") from None


class CallerConnection(asyncio.Protocol):
    """Caller's connection with a time limit for the headers of a request.

    The time starts with the first byte while no request is in flight, so idle
    connections stay open.

    Parameters
    ----------
    inner : asyncio.Protocol
        HTTP protocol that handles the bytes.
    timeout_s : float
        Time limit for the headers, in seconds.
    on_end : callable
        Called when the connection is closed.
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
        self.requests_in_flight = 0
        self.timer: asyncio.TimerHandle | None = None

    def begin_request(self) -> None:
        """Record that the headers of a request are complete."""
        self.requests_in_flight += 1
        self._stop_timer()

    def end_request(self) -> None:
        """Record that a request has been answered."""
        self.requests_in_flight -= 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Delegate to the HTTP protocol."""
        self.transport = cast(asyncio.Transport, transport)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Delegate to the HTTP protocol; the first byte starts the header timer."""
        if not self.requests_in_flight and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.timeout_s, self._expire)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Delegate to the HTTP protocol."""
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        """Delegate to the HTTP protocol."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Delegate to the HTTP protocol."""
        self.inner.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timer and delegate to the HTTP protocol."""
        self._stop_timer()
        self.on_end()
        self.inner.connection_lost(error)

    def _expire(self) -> None:
        self.timer = None
        logging.info(
            "[callers] Headers did not arrive in time. limit_s=%.0f", self.timeout_s
        )
        self.transport.abort()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
