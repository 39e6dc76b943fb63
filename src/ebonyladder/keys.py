"""Organisations' API keys, stored as digests only."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from ebonyladder.kernel.step import Step
from ebonyladder.types import KeyDigest, OrganisationId


def digest_of(key: str) -> KeyDigest:
    """Return the SHA-256 digest of a key, in hex."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


class KeyIdentity(NamedTuple):
    """Organisation that a key belongs to, with the key's digest."""

    organisation: OrganisationId
    digest: KeyDigest


class KeyRing(ABC):
    """Active keys on this VM."""

    @abstractmethod
    def identify(self, key: str) -> KeyIdentity:
        """Return the organisation of a key; raises ``RequestError`` KEY_REFUSED."""

    @abstractmethod
    def require_valid(self, digest: KeyDigest, step: Step) -> None:
        """Raise ``RequestError`` KEY_REFUSED if the key has been withdrawn."""

    @abstractmethod
    def on_withdrawn(self, listener: Callable[[KeyDigest], None]) -> None:
        """Call ``listener`` with the digest of each key that is withdrawn.

        A key that moves to another organisation counts as withdrawn.
        """
