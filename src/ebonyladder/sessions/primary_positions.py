"""Log positions that a read must see."""

from collections import deque

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.types import Position, ServiceId

# A sample is used this much earlier than its age bound allows, for the way of the
# statement to the endpoint and its wait there.
AGE_MARGIN_S = 0.3
# The oldest usable sample asks the least of a replica; a sample each 100 ms is
# enough to be within that of the bound.
SAMPLE_SPACING_S = 0.1
SAMPLE_KEEP_S = 10.0


class PositionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Log position of a primary that held every commit acknowledged before a time.

    Attributes
    ----------
    sent_s : float
        Time at which the command that brought the position was sent.
    """

    sent_s: float
    position: Position


class PrimaryPositions:
    """Positions of the primaries, taken from the answers of statements.

    Parameters
    ----------
    clock : Clock
        Clock of the ages.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.samples: dict[ServiceId, deque[PositionSample]] = {}

    def note(self, service: ServiceId, sample: PositionSample) -> None:
        """Add a sample; samples of older terms are dropped."""
        samples = self.samples.setdefault(service, deque())
        if samples and sample.position.term < samples[-1].position.term:
            return
        while samples and samples[0].position.term < sample.position.term:
            samples.popleft()
        while samples and samples[0].sent_s < self.clock.now_s() - SAMPLE_KEEP_S:
            samples.popleft()
        if samples and sample.sent_s < samples[-1].sent_s:
            return
        # The newest sample is replaced until the one before it is old enough.
        if len(samples) > 1 and (sample.sent_s - samples[-2].sent_s < SAMPLE_SPACING_S):
            samples.pop()
        samples.append(sample)

    def required(
        self, service: ServiceId, *, max_age_s: float, own: Position | None
    ) -> Position | None:
        """Return what a replica must hold for a read that starts now.

        None means that no sample is recent enough, so that only the primary
        may serve the read.

        Parameters
        ----------
        max_age_s : float
            Age bound of the route, in seconds.
        own : Position or None
            Last commit of the session.
        """
        oldest_s = self.clock.now_s() - max_age_s + AGE_MARGIN_S
        for sample in self.samples.get(service, ()):
            if sample.sent_s >= oldest_s:
                if own is None or own.term < sample.position.term:
                    # A newer term's primary was chosen with every commit of the
                    # older one, and its positions say so.
                    return self._newest_needed(service, sample, own)
                return max(sample.position, own)
        return None

    def _newest_needed(
        self, service: ServiceId, sample: PositionSample, own: Position | None
    ) -> Position:
        return sample.position if own is None else self.samples[service][-1].position
