"""Checks before an answer is returned: replica position, majority and term."""

from ebonyladder.endpoint import EndpointAnswer
from ebonyladder.group import GroupView
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Forward
from ebonyladder.routing import is_position_lost, satisfies
from ebonyladder.types import EndpointId, Position, Role, Term


class Confirmer:
    """Check from a group's view whether data may be read or acknowledged.

    Parameters
    ----------
    view : GroupView
        State of the group.
    clock : Clock
        Clock of the view's reports.
    """

    def __init__(self, *, view: GroupView, clock: Clock) -> None:
        self.view = view
        self.clock = clock

    def can_read(self, forward: Forward) -> bool:
        """Tell whether the endpoint's data is recent enough for a read."""
        latest = self.view.latest_reports.get(forward.endpoint)
        if latest is None or not satisfies(latest.report, forward.required_position):
            return False
        if forward.max_age_s is None or self.is_primary(forward.endpoint):
            return True
        staleness_s = self.view.staleness_s(forward.endpoint, self.clock.now_s())
        return staleness_s <= forward.max_age_s

    def is_primary(self, endpoint: EndpointId) -> bool:
        """Tell whether the endpoint is the primary of the highest term."""
        return self.view.primary == endpoint

    async def require_readable(self, forward: Forward, wait_s: float) -> None:
        """Wait until the endpoint can serve a read.

        Raises
        ------
        RequestError
            POSITION_LOST if it never can. REPLICA_BEHIND if it cannot within
            ``wait_s`` seconds, or immediately if the expected wait is
            longer. Both have the outcome NOT_RUN.
        """
        latest = self.view.latest_reports.get(forward.endpoint)
        required = forward.required_position
        if latest and required and is_position_lost(latest.report, required):
            raise self._error(ErrorCode.POSITION_LOST, forward.endpoint)
        if self.can_read(forward):
            return
        if (
            latest
            and required
            and self._expected_wait_s(forward.endpoint, required) > wait_s
        ):
            raise self._error(ErrorCode.REPLICA_BEHIND, forward.endpoint)
        if not await self.view.wait_until(lambda: self.can_read(forward), wait_s):
            raise self._error(ErrorCode.REPLICA_BEHIND, forward.endpoint)

    def _expected_wait_s(self, endpoint: EndpointId, required: Position) -> float:
        """Return the expected seconds until reads observe the position."""
        report = self.view.latest_reports[endpoint].report
        if report.applied >= required.position:
            # Only the term or the staleness is unmet; the apply lag predicts neither.
            return 0.0
        apply_lag = self.view.apply_lag[endpoint]
        return apply_lag.wait_s(required.position, self.clock.now_s())

    async def require_primary(self, endpoint: EndpointId, wait_s: float) -> None:
        """Wait until the endpoint is primary, or raise NO_PRIMARY (NOT_RUN)."""
        if not await self.view.wait_until(lambda: self.is_primary(endpoint), wait_s):
            raise self._error(ErrorCode.NO_PRIMARY, endpoint)

    async def confirm(
        self, endpoint: EndpointId, answer: EndpointAnswer, wait_s: float
    ) -> None:
        """Wait until a majority has the answer's position in the same term.

        Raises
        ------
        RequestError
            STALE_TERM if a later term is known, NOT_CONFIRMED if no majority
            has it within ``wait_s`` seconds. The outcome is UNKNOWN.
        """
        if answer.role is Role.REPLICA and len(self.view.endpoints) <= 3:
            # The replica and the primary that sent the entry to it are a majority.
            return
        at = answer.at
        await self.view.wait_until(
            lambda: self.view.is_confirmed(at) or self.view.term > at.term, wait_s
        )
        self._require_current(endpoint, at.term)
        if not self.view.is_confirmed(at):
            raise self._error(ErrorCode.NOT_CONFIRMED, endpoint, Step.CONFIRM)

    def _require_current(self, endpoint: EndpointId, term: Term) -> None:
        if self.view.term > term:
            raise self._error(ErrorCode.STALE_TERM, endpoint, Step.CONFIRM)

    def position(self, endpoint: EndpointId) -> Position | None:
        """Return the position that reads at the endpoint observe."""
        latest = self.view.latest_reports.get(endpoint)
        if latest is None:
            return None
        return Position(term=latest.report.log_term, position=latest.report.applied)

    @staticmethod
    def _error(
        code: ErrorCode, endpoint: EndpointId, step: Step = Step.QUEUE
    ) -> RequestError:
        outcome = Outcome.UNKNOWN if step is Step.CONFIRM else Outcome.NOT_RUN
        return RequestError(code=code, step=step, peer=endpoint, outcome=outcome)
