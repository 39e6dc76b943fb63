"""Log positions of primaries, which determine the position that a read requires."""

from collections import deque

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import Position, ServiceId

# A sample must be this much more recent than the staleness bound, to allow for the
# transit of the statement to the endpoint and its wait there.
STALENESS_MARGIN_S = 0.3
# Interval between samples. A read uses the oldest sample within its staleness bound,
# whose position most replicas hold already; samples 100 ms apart get within 100 ms of
# the bound.
SAMPLE_SPACING_S = 0.1
SAMPLE_TTL_S = 10.0


class PositionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Log position of a primary, with all commits acknowledged by ``sent_at_s``.

    Attributes
    ----------
    sent_at_s : float
        Time at which the command that brought the position was sent.
    """

    sent_at_s: float
    position: Position


class PrimaryPositions:
    """Positions of the primaries, taken from the answers to statements.

    Parameters
    ----------
    clock : Clock
        Clock of the samples' times.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.samples: dict[ServiceId, deque[PositionSample]] = {}

    def record(self, service: ServiceId, sample: PositionSample) -> None:
        """Record a sample and discard the samples of older terms."""
        samples = self.samples.setdefault(service, deque())
        if samples and sample.position.term < samples[-1].position.term:
            return
        while samples and samples[0].position.term < sample.position.term:
            samples.popleft()
        while samples and samples[0].sent_at_s < self.clock.now_s() - SAMPLE_TTL_S:
            samples.popleft()
        if samples and sample.sent_at_s < samples[-1].sent_at_s:
            return
        # The newest sample is replaced until the one before it is old enough.
        if len(samples) > 1 and (
            sample.sent_at_s - samples[-2].sent_at_s < SAMPLE_SPACING_S
        ):
            samples.pop()
        samples.append(sample)

    def required_position(
        self, service: ServiceId, *, max_age_s: float, last_commit: Position | None
    ) -> Position | None:
        """Return the position that a replica must hold for a read that starts now.

        None means that no sample is recent enough, so that only the primary
        may serve the read.

        Parameters
        ----------
        max_age_s : float
            Staleness bound of the route, in seconds.
        last_commit : Position or None
            Last commit of the session.
        """
        oldest_sent_at_s = self.clock.now_s() - max_age_s + STALENESS_MARGIN_S
        for sample in self.samples.get(service, ()):
            if sample.sent_at_s >= oldest_sent_at_s:
                if last_commit is None or last_commit.term < sample.position.term:
                    # The primary of a newer term holds every acknowledged commit of
                    # the older one, so a position of the newer term covers them.
                    return self._position_in_newer_term(service, sample, last_commit)
                return max(sample.position, last_commit)
        return None

    def _position_in_newer_term(
        self, service: ServiceId, sample: PositionSample, last_commit: Position | None
    ) -> Position:
        return (
            sample.position
            if last_commit is None
            else self.samples[service][-1].position
        )
