"""Plug-in that checks organisations' keys against the active configuration."""

from collections.abc import Callable

from absl import logging

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyIdentity, KeyRing, digest_of
from ebonyladder.types import KeyDigest, OrganisationId


@register
class KeysPlugin(Plugin, KeyRing):
    """Look keys up by digest; a key that is not in the configuration is refused."""

    name = "keys"
    provides = (KeyRing,)
    requires = (ConfigurationSource,)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.organisation_by_digest: dict[KeyDigest, OrganisationId] = {}
        self.listeners: list[Callable[[KeyDigest], None]] = []

    async def start(self) -> None:
        """Apply the keys of the configuration and subscribe to its changes."""
        source = self.kernel.get(ConfigurationSource)
        self.apply(source.current)
        source.subscribe(self.apply)

    def identify(self, key: str) -> KeyIdentity:
        """Return the organisation of a key; raises ``RequestError`` KEY_REFUSED."""
        self.kernel.get(ConfigurationSource).require_fresh(Step.KEY_CHECK)
        digest = digest_of(key)
        organisation = self.organisation_by_digest.get(digest)
        if organisation is None:
            raise self._refused(Step.KEY_CHECK)
        return KeyIdentity(organisation, digest)

    def require_valid(self, digest: KeyDigest, step: Step) -> None:
        """Raise ``RequestError`` KEY_REFUSED if the key has been withdrawn."""
        self.kernel.get(ConfigurationSource).require_fresh(step)
        if digest not in self.organisation_by_digest:
            raise self._refused(step)

    def on_withdrawn(self, listener: Callable[[KeyDigest], None]) -> None:
        """Call ``listener`` with the digest of each key that is withdrawn."""
        self.listeners.append(listener)

    def apply(self, configuration: Configuration) -> None:
        """Replace the keys by those of a configuration."""
        organisation_by_digest = {
            digest: name
            for name, spec in configuration.organisations.items()
            for digest in spec.key_digests
        }
        changed = [
            d
            for d, name in self.organisation_by_digest.items()
            if organisation_by_digest.get(d) != name
        ]
        self.organisation_by_digest = organisation_by_digest
        for digest in changed:
            for listener in self.listeners:
                self._notify(listener, digest)

    @staticmethod
    def _notify(listener: Callable[[KeyDigest], None], digest: KeyDigest) -> None:
        """Call one listener; if it fails, the others are still called."""
        try:
            listener(digest)
        except Exception:
            logging.exception("[keys] Listener for withdrawn keys failed.")

    @staticmethod
    def _refused(step: Step) -> RequestError:
        return RequestError(code=ErrorCode.KEY_REFUSED, step=step)
