"""Steps of a promotion: FENCE, PROMOTE and FOLLOW at a group's endpoints."""

import asyncio
from collections.abc import Collection
from uuid import uuid4

import msgspec
from absl import logging

from ebonyladder.endpoint import EndpointDriver, FenceVote
from ebonyladder.group import GroupView
from ebonyladder.kernel.error import EbonyladderError, EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.types import EndpointId, Position, Term, VmId

CALL_TIMEOUT_S = 0.5
# Time for votes from other regions (40 ms round trip) after a majority has voted,
# so that an endpoint in service can be chosen over one that is draining.
LATE_VOTE_WAIT_S = 0.06


class Promotion(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a promotion.

    Attributes
    ----------
    start : Position
        Term and position at which the new primary began.
    followers : tuple of EndpointId
        Endpoints that confirmed FOLLOW; the others are sent it once they are
        reachable.
    """

    primary: EndpointId
    start: Position
    followers: tuple[EndpointId, ...]


def new_promoter_id(vm: VmId) -> VmId:
    """Return the promoter id of one attempt, which no other attempt uses.

    An endpoint votes for one promoter id in a term. Two attempts of one VM in the
    same term, for example before and after its restart, must not share votes,
    since each may promote a different endpoint.
    """
    return VmId(f"{vm}/{uuid4().hex[:12]}")


def choose_primary(
    votes: Collection[FenceVote],
    *,
    in_service: Collection[EndpointId],
    preferred: EndpointId | None = None,
) -> EndpointId:
    """Return the endpoint to promote, one with the newest log.

    Among equally new logs, an endpoint in service is chosen over one that is
    draining or whose zone is out of service, then ``preferred``, then the first
    by name.
    """
    best = max(
        votes,
        key=lambda vote: (
            vote.log_term,
            vote.received,
            vote.endpoint in in_service,
            vote.endpoint == preferred,
        ),
    )
    tied = [
        vote.endpoint
        for vote in votes
        if (vote.log_term, vote.received) == (best.log_term, best.received)
        and (vote.endpoint in in_service) == (best.endpoint in in_service)
    ]
    return best.endpoint if best.endpoint == preferred else min(tied)


async def promote_group(
    *,
    view: GroupView,
    driver: EndpointDriver,
    term: Term,
    promoter: VmId,
    in_service: Collection[EndpointId],
    preferred: EndpointId | None = None,
    call_timeout_s: float = CALL_TIMEOUT_S,
) -> Promotion:
    """Make one endpoint primary of ``term``.

    It is safe to stop after any call: votes and a new primary stay valid, and
    another promoter completes the promotion in a higher term.

    Raises
    ------
    EndpointError
        FENCED at step FENCE without a majority of votes. Any code at step
        PROMOTE if the chosen endpoint did not confirm; it may be primary.
    """
    votes = await _gather_votes(view, driver, term, promoter, call_timeout_s)
    if len(votes) < view.majority:
        raise EndpointError(
            code=ErrorCode.FENCED,
            step=Step.FENCE,
            peer=view.group,
            message=f"{len(votes)} of {len(view.endpoints)} endpoints voted.",
        )
    primary = choose_primary(votes, in_service=in_service, preferred=preferred)
    followers = {n: a for n, a in view.endpoints.items() if n != primary}
    try:
        async with asyncio.timeout(call_timeout_s):
            start = await driver.promote(
                endpoint=primary,
                address=view.endpoints[primary],
                term=term,
                promoter=promoter,
                followers=followers,
            )
    except TimeoutError:
        raise EndpointError(
            code=ErrorCode.DEADLINE,
            step=Step.PROMOTE,
            peer=primary,
            outcome=Outcome.UNKNOWN,
        ) from None
    logging.info(
        "[promotion] Endpoint is primary. group=%s endpoint=%s term=%d position=%d",
        view.group,
        primary,
        term,
        start.position,
    )
    confirmed = await asyncio.gather(
        *(
            follow(
                view=view,
                driver=driver,
                endpoint=name,
                primary=primary,
                term=term,
                call_timeout_s=call_timeout_s,
            )
            for name in followers
        )
    )
    return Promotion(
        primary=primary,
        start=start,
        followers=tuple(n for n, ok in zip(followers, confirmed, strict=True) if ok),
    )


async def follow(
    *,
    view: GroupView,
    driver: EndpointDriver,
    endpoint: EndpointId,
    primary: EndpointId,
    term: Term,
    call_timeout_s: float = CALL_TIMEOUT_S,
) -> bool:
    """Make an endpoint replicate from the primary; return whether it confirmed."""
    try:
        async with asyncio.timeout(call_timeout_s):
            await driver.follow(
                endpoint=endpoint,
                address=view.endpoints[endpoint],
                term=term,
                primary=primary,
                primary_address=view.endpoints[primary],
            )
    except (EbonyladderError, TimeoutError) as error:
        logging.warning(
            "[promotion] Endpoint did not confirm FOLLOW. endpoint=%s term=%d error=%r",
            endpoint,
            term,
            error,
        )
        return False
    return True


async def _gather_votes(
    view: GroupView,
    driver: EndpointDriver,
    term: Term,
    promoter: VmId,
    call_timeout_s: float,
) -> list[FenceVote]:
    """Request the votes of all endpoints concurrently.

    Returns early once a majority has voted and no further vote arrives within
    ``LATE_VOTE_WAIT_S``, or once a majority is no longer possible.
    """
    pending = {
        asyncio.create_task(_fence(view, driver, name, term, promoter, call_timeout_s))
        for name in view.endpoints
    }
    votes: list[FenceVote] = []
    try:
        while pending and len(votes) + len(pending) >= view.majority:
            has_majority = len(votes) >= view.majority
            done, pending = await asyncio.wait(
                pending,
                timeout=LATE_VOTE_WAIT_S if has_majority else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            votes += [vote for task in done if (vote := task.result()) is not None]
    finally:
        for task in pending:
            task.cancel()
    return votes


async def _fence(
    view: GroupView,
    driver: EndpointDriver,
    endpoint: EndpointId,
    term: Term,
    promoter: VmId,
    call_timeout_s: float,
) -> FenceVote | None:
    try:
        async with asyncio.timeout(call_timeout_s):
            return await driver.fence(
                endpoint=endpoint,
                address=view.endpoints[endpoint],
                term=term,
                promoter=promoter,
            )
    except (EbonyladderError, TimeoutError) as error:
        logging.info(
            "[promotion] Endpoint did not vote. endpoint=%s term=%d error=%r",
            endpoint,
            term,
            error,
        )
        return None
