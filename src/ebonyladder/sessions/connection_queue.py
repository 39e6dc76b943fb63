"""Statements that wait for a connection, and which of them gets a released one."""

import asyncio
from collections import deque

from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.types import OrganisationId

# A released connection goes to the first waiter of its organisation among this many at
# the head of the queue, which saves opening a connection.
AFFINITY_WINDOW = 4
# The first statement of the queue is passed over at most this often. Each connection
# that is closed for another organisation costs a new one.
MAX_PASSES = 16


class ConnectionWaiter:
    """Statement that waits for a connection, or for capacity to open one."""

    def __init__(self, *, organisation: OrganisationId) -> None:
        self.organisation = organisation
        # How often a connection went to a later statement while this one was the first.
        self.passes = 0
        # A connection of the organisation, or None for a reservation to open one.
        self.ready: asyncio.Future[PooledConnection | None] = (
            asyncio.get_running_loop().create_future()
        )


def take_waiter(
    waiting: deque[ConnectionWaiter], organisation: OrganisationId
) -> ConnectionWaiter | None:
    """Remove and return the statement that gets an organisation's connection.

    None if the first one in the queue may not be passed over for it.
    """
    if not waiting:
        return None
    first = waiting[0]
    window = AFFINITY_WINDOW if first.passes < MAX_PASSES else 1
    for waiter in list(waiting)[:window]:
        if waiter.organisation == organisation and not waiter.ready.done():
            first.passes += 1
            waiting.remove(waiter)
            return waiter
    return None
