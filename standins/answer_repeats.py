"""Database answers that are written twice."""

from dataclasses import dataclass
from random import Random


@dataclass(kw_only=True)
class AnswerRepeats:
    """Share of the answers that a database writes a second time.

    Parameters
    ----------
    share : float
        Probability that an answer is repeated.
    max_delay_s : float
        Longest time from an answer to its copy, in seconds.
    random : Random
        Source of the choices.
    """

    share: float
    max_delay_s: float
    random: Random

    def draw_delay_s(self) -> float | None:
        """Return the time until an answer's copy, None if it isn't repeated."""
        if self.random.random() >= self.share:
            return None
        return self.random.uniform(0.0, self.max_delay_s)
