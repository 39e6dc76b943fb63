"""Configuration in force on one VM, with its recent texts."""

from collections.abc import Callable

from absl import logging

from ebonyladder.configuration import Configuration, parse_configuration
from ebonyladder.document import ConfigurationDocument
from ebonyladder.kernel.error import EbonyladderError
from ebonyladder.relay import TextHistory
from ebonyladder.store import StoredObject
from ebonyladder.types import ConfigurationVersion


class ConfigurationInForce:
    """Apply later versions only, and keep the last good text.

    Attributes
    ----------
    current : Configuration
        Configuration in force; empty before the first one is known.
    history : TextHistory
        Recent texts; its version is the one in force.
    listeners : list of callable
        Called with each configuration that comes into force.
    """

    def __init__(self) -> None:
        self.current = Configuration()
        self.history = TextHistory()
        self.listeners: list[Callable[[Configuration], None]] = []

    def apply(self, version: ConfigurationVersion, text: str) -> bool:
        """Put a later version in force; False if nothing changed.

        A broken text never comes into force. All VMs then keep the last good
        text under the broken version's number, so that evidence and changes
        go on.
        """
        if version <= self.history.version:
            return False
        try:
            parsed = parse_configuration(text)
        except (ValueError, EbonyladderError) as error:
            logging.error(
                "[configuration] Text is not valid, the last good one stays. "
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
        logging.info("[configuration] Version is in force. version=%s", version)
        for listener in self.listeners:
            self._notify(listener)
        return True

    def _notify(self, listener: Callable[[Configuration], None]) -> None:
        """Call one listener; its failure must not keep others uninformed."""
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
