"""Eras of the store: each begins when the store comes back from an older copy."""

from enum import Enum

from absl import logging

from ebonyladder.metrics import Metrics
from ebonyladder.sessions.objects import StoreEra

# Shortest interval between two log lines about eras that are invalid or go down, in
# seconds: every answer of such a store is affected.
FAULT_LOG_INTERVAL_S = 60
# Characters of an invalid era that a log line has at most.
MAX_LOGGED_CHARACTERS = 40


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
    written since, and gives revisions out again. Nothing decides by the era yet.

    Parameters
    ----------
    metrics : Metrics
        Counts the observations other than ``SAME`` and ``UNNAMED``.

    Attributes
    ----------
    known : StoreEra or None
        Highest era that was seen; None before the first.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known: StoreEra | None = None

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
            self.known = era
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
