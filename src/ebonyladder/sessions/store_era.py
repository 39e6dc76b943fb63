"""Eras of the store: each begins when the store comes back from an older copy.

The store then gives out its revisions again. So within this daemon a revision has its
era in front (``era_start``): revisions compare across eras, and so do fencing tokens
and the epochs of group states, which are above the revisions from which they are made.
A number below the start of the present era was made in an earlier one.
"""

from collections.abc import Callable
from enum import Enum

from absl import logging

from ebonyladder.metrics import Metrics
from ebonyladder.sessions.objects import StoreEra

# Shortest interval between two log lines about eras that are invalid or go down, in
# seconds: every answer of such a store is affected.
FAULT_LOG_INTERVAL_S = 60
# Characters of an invalid era that a log line has at most.
MAX_LOGGED_CHARACTERS = 40
# Revisions that an era has room for: at 1,000 changes a second they last for 34 years.
REVISIONS_PER_ERA = 2**40
# Highest era whose revisions fit into 63 bits.
MAX_ERA = StoreEra(2**22)


def era_start(era: StoreEra | None) -> int:
    """Return the number below all revisions, tokens and epochs of an era.

    A store that names no era is served as one that stays in era 0.
    """
    return (era or 0) * REVISIONS_PER_ERA


class EraObservation(Enum):
    """What the era of an answer shows."""

    UNNAMED = "unnamed"
    FIRST = "first"
    SAME = "same"
    RISE = "rise"
    LATE = "late"
    FALL = "fall"


class StoreEraTracker:
    """Follows the era that the store names in its answers.

    Handles a store that returns to a copy some seconds old: it has lost what was
    written since, and gives revisions out again.

    Parameters
    ----------
    metrics : Metrics
        Counts the observations other than ``SAME`` and ``UNNAMED``.

    Attributes
    ----------
    known : StoreEra or None
        Highest era that was seen, or that another VM has told of; None before the
        first.
    listeners : list of callable
        Called when a later era has begun, before anything else is done with the answer
        or message that named it.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known: StoreEra | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def era_start(self) -> int:
        """Number below all revisions, tokens and epochs of the known era."""
        return era_start(self.known)

    def is_current(self, era: StoreEra | None) -> bool:
        """Tell whether another VM knows the same era."""
        return era_start(era) == self.era_start

    def record_told(self, era: StoreEra | None) -> None:
        """Record an era that another VM knows.

        A VM that doesn't reach the store learns of a return from those that do.
        """
        if era is None or (self.known is not None and era <= self.known):
            return
        logging.info(
            "[store] Another VM knows a later era of the store. old=%s new=%d",
            self.known,
            era,
        )
        self.metrics.count("store_era_observations", kind="told")
        self._begin(era)

    def _begin(self, era: StoreEra) -> None:
        self.known = era
        for listener in self.listeners:
            listener()

    def record(
        self, era: StoreEra | None, *, known_when_sent: StoreEra | None
    ) -> EraObservation:
        """Record the era of an answer, and return what it shows.

        Parameters
        ----------
        era : StoreEra or None
            Era of the answer; None if it names none.
        known_when_sent : StoreEra or None
            ``known`` at the time at which the call was sent. An answer below ``known``
            is late if it isn't below this; otherwise the store itself has gone back.
        """
        observation = self._observe(era, known_when_sent)
        if observation in (EraObservation.UNNAMED, EraObservation.SAME):
            return observation
        self.metrics.count("store_era_observations", kind=observation.value)
        if observation is EraObservation.FALL:
            logging.log_every_n_seconds(
                logging.ERROR,
                "[store] Era of the store has gone down. known=%d answered=%d",
                FAULT_LOG_INTERVAL_S,
                self.known,
                era,
            )
        if observation is EraObservation.FIRST:
            logging.info("[store] Store names its era. era=%d", era)
        if observation is EraObservation.RISE:
            logging.warning(
                "[store] Store has come back from an older copy. old=%d new=%d",
                self.known,
                era,
            )
        if observation in (EraObservation.FIRST, EraObservation.RISE):
            self._begin(era)
        return observation

    def record_invalid(self, text: str) -> None:
        """Record an answer whose era can't be read."""
        self.metrics.count("store_era_observations", kind="invalid")
        logging.log_every_n_seconds(
            logging.ERROR,
            "[store] Era of the store is no whole number. answered=%r",
            FAULT_LOG_INTERVAL_S,
            text[:MAX_LOGGED_CHARACTERS],
        )

    def _observe(
        self, era: StoreEra | None, known_when_sent: StoreEra | None
    ) -> EraObservation:
        if era is None:
            return EraObservation.UNNAMED
        if self.known is None:
            return EraObservation.FIRST
        if era == self.known:
            return EraObservation.SAME
        if era > self.known:
            return EraObservation.RISE
        if known_when_sent is None or era >= known_when_sent:
            return EraObservation.LATE
        return EraObservation.FALL
