"""Connector to endpoints that use the statement protocol."""

import asyncio
import contextlib
import itertools
from typing import ClassVar

from absl import logging

from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.platform.connection import WireConnection
from ebonyladder.platform.lines import LineReader
from ebonyladder.platform.sockets import enable_keep_alive
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.connection import (
    ConnectionId,
    ControlConnection,
    EndpointConnector,
    EndpointGoneError,
)
from ebonyladder.sessions.registry import register
from ebonyladder.settings import split_address
from ebonyladder.types import OrganisationId


@register
class WireEndpointConnector(Plugin, EndpointConnector):
    """Opens connections to endpoints."""

    name: ClassVar[str] = "endpoint-driver"
    provides: ClassVar[tuple[type, ...]] = (EndpointConnector,)
    requires: ClassVar[tuple[type, ...]] = (Metrics,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.connection_ids = itertools.count(1)

    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> ControlConnection:
        """Open a connection and start a session on it."""
        metrics = self.kernel.get(Metrics)
        metrics.count("endpoint_connections")
        writer = None
        try:
            host, port = split_address(entry.address)
            reader, writer = await self._connect(host, port)
            with contextlib.suppress(OSError):
                enable_keep_alive(writer.get_extra_info("socket"))
            connection = WireConnection(
                id=ConnectionId(next(self.connection_ids)),
                endpoint=entry.id,
                organisation=organisation,
                metrics=metrics,
                reader=reader,
                writer=writer,
            )
            await connection.start_session(entry.service)
        except EndpointError:
            writer.close()
            raise
        except Exception as error:
            # Besides ``OSError``: an address that the event loop rejects raises
            # ``OverflowError`` or ``ValueError``.
            if writer is not None:
                writer.close()
            # A peer that closes an accepted connection may only be stopping.
            is_gone = writer is None and isinstance(error, ConnectionRefusedError)
            error_type = EndpointGoneError if is_gone else EndpointError
            raise error_type(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=entry.id,
                message=f"connection failed: {error!r}",
                outcome=Outcome.NOT_RUN,
            ) from error
        except BaseException:
            if writer is not None:
                writer.close()
            raise
        logging.debug(
            "[platform] Connection opened. endpoint=%s connection=%d",
            entry.id,
            connection.id,
        )
        return connection

    @staticmethod
    async def _connect(host: str, port: int) -> tuple[LineReader, asyncio.StreamWriter]:
        loop = asyncio.get_running_loop()
        reader = LineReader()
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader, loop=loop), host, port
        )
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
