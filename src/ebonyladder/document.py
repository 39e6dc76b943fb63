"""Stored form of the configuration: its text and the recent submissions."""

import hashlib
import zlib

import msgspec

from ebonyladder.configuration import CONFIGURATION_KEY
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.store import PlatformStore
from ebonyladder.types import ConfigurationVersion, SubmissionId

MAX_RECENT_SUBMISSIONS = 64
# The fastest level; it still halves texts that consist mostly of hex digests.
COMPRESSION_LEVEL = 1


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted submission; ``intent`` is the digest of the requested change."""

    id: SubmissionId
    intent: str


class ConfigurationDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration text with the most recent submissions.

    Attributes
    ----------
    text : str
        Configuration text; empty before the first submission.
    submissions : tuple of Submission
        The last ``MAX_RECENT_SUBMISSIONS`` accepted submissions, oldest first.
    """

    text: str
    submissions: tuple[Submission, ...] = ()

    @property
    def digest(self) -> str:
        """SHA-256 digest of the text, in hex."""
        return text_digest(self.text)

    def submission(self, submission_id: SubmissionId) -> Submission | None:
        """Return the submission with the given id if it is among the recent ones."""
        return next((s for s in self.submissions if s.id == submission_id), None)

    def with_submission(
        self, text: str, submission: Submission
    ) -> "ConfigurationDocument":
        """Return the document after a submission that replaces the text."""
        kept = (*self.submissions, submission)[-MAX_RECENT_SUBMISSIONS:]
        return ConfigurationDocument(text=text, submissions=kept)

    def encode(self) -> bytes:
        """Return the stored form: msgpack with the text compressed."""
        compressed = zlib.compress(self.text.encode(), COMPRESSION_LEVEL)
        return msgspec.msgpack.encode(
            _Stored(text=compressed, submissions=self.submissions, digest=self.digest)
        )

    @classmethod
    def decode(cls, value: bytes) -> "ConfigurationDocument":
        """Return the document in a stored value.

        Raises
        ------
        ConfigurationError
            CONFIGURATION_INVALID if the value is corrupt.
        """
        try:
            stored = msgspec.msgpack.decode(value, type=_Stored)
            text = zlib.decompress(stored.text).decode()
        except (msgspec.MsgspecError, zlib.error, UnicodeDecodeError) as error:
            raise _corruption_error(
                f"stored configuration cannot be read: {error}"
            ) from error
        if text_digest(text) != stored.digest:
            raise _corruption_error("stored configuration does not match its digest")
        return cls(text=text, submissions=stored.submissions)


class _Stored(msgspec.Struct, frozen=True, kw_only=True):
    text: bytes
    submissions: tuple[Submission, ...]
    digest: str


class VersionedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Document with its version in the store, 0 if there is none."""

    document: ConfigurationDocument
    version: ConfigurationVersion


def text_digest(text: str) -> str:
    """Return the SHA-256 digest of a text, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def _corruption_error(message: str) -> ConfigurationError:
    return ConfigurationError(
        code=ErrorCode.CONFIGURATION_INVALID,
        step=Step.CONFIG_SYNC,
        peer="store",
        message=message,
    )


async def load_document(store: PlatformStore) -> VersionedDocument:
    """Return the current document; raises ``StoreError``."""
    found = await store.get(CONFIGURATION_KEY)
    if found is None:
        return VersionedDocument(
            document=ConfigurationDocument(text=""), version=ConfigurationVersion(0)
        )
    return VersionedDocument(
        document=ConfigurationDocument.decode(found.value),
        version=ConfigurationVersion(found.version),
    )
