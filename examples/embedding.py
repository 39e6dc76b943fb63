"""Use session tokens, routing and the fair queue without the daemon."""

import asyncio

from ebonyladder.endpoint import EndpointReport
from ebonyladder.kernel.clock import SystemClock
from ebonyladder.queue import FairQueue
from ebonyladder.routing import group_of, satisfies
from ebonyladder.token import SessionToken, TokenSigner
from ebonyladder.types import EndpointId, GroupId, OrganisationId, Position, Role

GROUPS = [GroupId("pitches-1"), GroupId("pitches-2")]
COUNCIL = OrganisationId("council")


def replica_at(applied: int) -> EndpointReport:
    """Return the report of a replica that has applied ``applied`` entries."""
    return EndpointReport(
        endpoint=EndpointId("replica"),
        role=Role.REPLICA,
        fence_term=1,
        log_term=1,
        term_start=0,
        received=10,
        applied=applied,
        primary_contact_age_s=0.0,
    )


async def main() -> None:
    """Write in a session, then decide which replicas may serve its read."""
    signer = TokenSigner(secrets=[b"shared by all processes of the application"])
    queue = FairQueue(endpoint=EndpointId("primary"), slots=2, clock=SystemClock())
    group = group_of("town-square-1", GROUPS)

    deadline_s = SystemClock().now_s() + 1.0
    async with queue.slot(organisation=COUNCIL, deadline_s=deadline_s):
        written_at = Position(term=1, position=10)
    session = SessionToken(organisation=COUNCIL).advanced(group, written_at)
    signed = signer.sign(session)

    required = signer.verify(signed, organisation=COUNCIL).positions[group]
    for applied in (9, 10):
        verdict = "serves" if satisfies(replica_at(applied), required) else "waits"
        print(f"replica at {applied}: {verdict}")


if __name__ == "__main__":
    asyncio.run(main())
