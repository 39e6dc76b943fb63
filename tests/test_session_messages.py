"""Encoding of messages between VMs."""

import asyncio
import zlib
from types import SimpleNamespace

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import Outcome
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.command import Command, CommandId, CommandKind
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.messages import (
    COMPRESSED,
    MAX_MESSAGE_BYTES,
    PLAIN,
    Envelope,
    ForwardedStatement,
    ForwardReply,
    LeaderUpdate,
    PositionRequest,
    Report,
    decode,
    encode,
)
from ebonyladder.types import (
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    ServiceId,
    VmId,
)

KINDS = (Envelope, ForwardReply, LeaderUpdate, Report)
REQUEST = Envelope(sample=PositionRequest(id=1, service=ServiceId("ledger")))

SAMPLE = {"id": 1, "service": "ledger"}


def nested(depth: int) -> bytes:
    """Return CBOR arrays in each other."""
    return b"\x81" * depth + b"\x01"


class TestDecoding:
    """Guards against a message that ends more than the connection it came on."""

    def test_round_trip(self):
        assert decode(encode(REQUEST), Envelope) == REQUEST

    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_message_or_a_value_error(self, data):
        for kind in KINDS:
            for form in (data, PLAIN + data, COMPRESSED + zlib.compress(data)):
                try:
                    decode(form, kind)
                except ValueError:
                    continue

    @pytest.mark.parametrize(
        "body",
        [
            nested(100_000),
            cbor2.dumps({"sample": {"id": float("inf"), "service": "a"}}),
            cbor2.dumps(
                {"sample": {"id": 1, "service": "a"}, "release": {"handle": 1}}
            ),
            cbor2.dumps({}),
            cbor2.dumps({1: 2}),
        ],
        ids=["deep", "infinity", "two fields", "no field", "int key"],
    )
    def test_odd_bodies_are_value_errors(self, body):
        with pytest.raises(ValueError):
            decode(PLAIN + body, Envelope)

    def test_message_that_decompresses_beyond_the_limit_is_refused(self):
        # Guards against a small message that takes all memory.
        data = COMPRESSED + zlib.compress(b"\0" * (MAX_MESSAGE_BYTES + 1))
        with pytest.raises(ValueError):
            decode(data, Envelope)


class TestUnexpectedErrors:
    def test_statement_that_fails_unexpectedly_is_answered(self):
        # Guards against a caller that waits for its deadline after an internal error,
        # and against a promise that the statement has not run.
        class BrokenService(ForwardingService):
            async def _execute(self, attempt):
                raise KeyError("unexpected")

        clock = ManualClock()
        executor = SimpleNamespace(
            pools=SimpleNamespace(pools={}), accepted=AcceptedRequests(clock=clock)
        )
        service = BrokenService(executor=executor, clock=clock)
        forward = ForwardedStatement(
            id=7,
            endpoint=EndpointId("i-1"),
            organisation=OrganisationId("council"),
            command=Command(id=CommandId("a"), kind=CommandKind.READ, text="READ x"),
            remaining_s=1.0,
            values={},
        )
        reply = asyncio.run(service._run(forward, {}))
        assert reply.id == 7
        assert reply.failure.outcome is Outcome.UNKNOWN


class OlderReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report as VMs know it that can't tell that they stop."""

    vm: VmId
    incarnation: Incarnation
    sent_s: float
    version: ConfigurationVersion


class TestOlderVersions:
    """Guards against VMs that can't read each other's reports during an update."""

    report = OlderReport(
        vm=VmId("vm-2"),
        incarnation=Incarnation(1),
        sent_s=1.0,
        version=ConfigurationVersion(1),
    )

    def test_older_vm_counts_as_not_draining(self):
        assert not decode(encode(self.report), Report).is_draining

    def test_older_leader_reads_the_report_of_a_draining_vm(self):
        report = decode(encode(self.report), Report)
        report = msgspec.structs.replace(report, is_draining=True)
        assert decode(encode(report), OlderReport) == self.report
