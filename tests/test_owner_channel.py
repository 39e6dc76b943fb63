"""Channels to the owners of endpoints that can't be reached."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, Outcome
from ebonyladder.sessions import forwarding_pool
from ebonyladder.sessions.cluster_view import Owner
from ebonyladder.sessions.forwarding_pool import (
    CONNECT_TIMEOUT_S,
    ForwardingPool,
    OwnerChannel,
)
from ebonyladder.types import Address, OrganisationId, VmId
from tests.fleet import run_virtual
from tests.session_fakes import entry

STATEMENTS = 20


class TestSilentOwner:
    """Guards against statements that wait one after the other for a dark VM.

    Each once began an attempt of its own when the one before it had timed out, and
    BEGINs waited beyond their deadlines.
    """

    @pytest.fixture(autouse=True)
    def channel(self, monkeypatch):
        self.clock = ManualClock()
        self.attempts = 0

        async def connect(*args, **options):
            self.attempts += 1
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError

        monkeypatch.setattr(forwarding_pool, "connect", connect)

    def test_statements_share_the_attempt_that_fails(self):
        async def acquire_all() -> float:
            owner = Owner(vm=VmId("vm-2"), address=Address("127.0.0.1:1"))
            pool = ForwardingPool(
                entry=entry("near"),
                owner=owner,
                channel=OwnerChannel(owner=owner),
                clock=self.clock,
            )
            started_at_s = self.clock.now_s()
            deadline_s = started_at_s + 2 * CONNECT_TIMEOUT_S
            acquires = [
                pool.acquire(OrganisationId("a"), {}, deadline_s)
                for _ in range(STATEMENTS)
            ]
            errors = await asyncio.gather(*acquires, return_exceptions=True)
            assert all(isinstance(error, EndpointError) for error in errors)
            assert {error.outcome for error in errors} == {Outcome.NOT_RUN}
            elapsed_s = self.clock.now_s() - started_at_s
            # A later statement tries again.
            with pytest.raises(EndpointError):
                await pool.acquire(OrganisationId("a"), {}, deadline_s + 1)
            return elapsed_s

        elapsed_s = run_virtual(acquire_all(), self.clock)
        assert elapsed_s <= 1.01 * CONNECT_TIMEOUT_S
        assert self.attempts == 2
