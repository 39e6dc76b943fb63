"""Active configuration of one VM, with its recent texts."""

from collections.abc import Callable

from absl import logging

from ebonyladder.configuration import Configuration, parse_configuration
from ebonyladder.document import ConfigurationDocument
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.relay import TextHistory
from ebonyladder.store import StoredObject
from ebonyladder.types import ConfigurationVersion


class ActiveConfiguration:
    """Applies later versions only and keeps the last valid configuration.

    Attributes
    ----------
    current : Configuration
        Active configuration; empty before the first one is known.
    history : TextHistory
        Recent texts; its version is the active one.
    listeners : list of callable
        Called with each configuration that is applied.
    """

    def __init__(self) -> None:
        self.current = Configuration()
        self.history = TextHistory()
        self.listeners: list[Callable[[Configuration], None]] = []

    def apply(self, version: ConfigurationVersion, text: str) -> bool:
        """Apply a later version; False if nothing changed.

        An invalid text is never applied. All VMs then keep the last valid text
        under the number of the invalid version, so that the version can still be
        confirmed as current and later deltas can be applied.
        """
        if version <= self.history.version:
            return False
        try:
            parsed = parse_configuration(text)
        except (ValueError, EbonyladderError) as error:
            logging.error(
                "[configuration] Text is invalid; the last valid one stays active. "
                "version=%s error=%s",
                version,
                error,
            )
            if not self.history.version:
                return False
            self.history.add(version, self.history.text)
            return True
        self.history.add(version, text)
        self.current = parsed
        logging.info("[configuration] Version was applied. version=%s", version)
        for listener in self.listeners:
            self._notify(listener)
        return True

    def _notify(self, listener: Callable[[Configuration], None]) -> None:
        """Call one listener; its failure must not keep the others from being called."""
        try:
            listener(self.current)
        except Exception:
            logging.exception("[configuration] Listener failed.")


def text_of(stored: StoredObject) -> str:
    """Return the text of the stored object, empty if it is malformed."""
    try:
        return ConfigurationDocument.decode(stored.value).text
    except EbonyladderError:
        return ""
