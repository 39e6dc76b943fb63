"""Session tokens: the newest log position of each group that a session has seen."""

import base64
import hashlib
import hmac

import msgspec

from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.types import GroupId, OrganisationId, Position

SIGNATURE_BYTES = 16


class SessionToken(msgspec.Struct, frozen=True, kw_only=True):
    """Positions seen by a session, by group.

    Attributes
    ----------
    organisation : OrganisationId
        Organisation to which the session belongs.
    positions : dict of GroupId to Position
        Newest position seen in each group that the session has used.
    """

    organisation: OrganisationId
    positions: dict[GroupId, Position] = {}

    def advanced(self, group: GroupId, at: Position) -> "SessionToken":
        """Return a token whose position in ``group`` is at least ``at``."""
        seen = self.positions.get(group)
        newest = at if seen is None else max(seen, at)
        return SessionToken(
            organisation=self.organisation,
            positions={**self.positions, group: newest},
        )


class TokenSigner:
    """Sign and verify session tokens.

    Parameters
    ----------
    secrets : list of bytes
        Signing secrets; the first one signs, all of them verify.
    """

    def __init__(self, *, secrets: list[bytes]) -> None:
        self.secrets = secrets
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(SessionToken)

    def sign(self, token: SessionToken) -> str:
        """Return the opaque, signed form of a token."""
        body = self.encoder.encode(token)
        signature = self._signature(self.secrets[0], body)
        return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")

    def verify(self, signed: str, *, organisation: OrganisationId) -> SessionToken:
        """Return the token that a caller sent.

        Raises
        ------
        RequestError
            TOKEN_REFUSED if it is malformed, forged or of another organisation.
        """
        token = self._decode_verified(signed)
        if token is None or token.organisation != organisation:
            raise RequestError(code=ErrorCode.TOKEN_REFUSED, step=Step.TOKEN_CHECK)
        return token

    def _decode_verified(self, signed: str) -> SessionToken | None:
        try:
            raw = base64.urlsafe_b64decode(signed + "=" * (-len(signed) % 4))
            signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
            for secret in self.secrets:
                if hmac.compare_digest(signature, self._signature(secret, body)):
                    return self.decoder.decode(body)
        except (ValueError, msgspec.DecodeError):
            pass
        return None

    @staticmethod
    def _signature(secret: bytes, body: bytes) -> bytes:
        return hmac.digest(secret, body, hashlib.sha256)[:SIGNATURE_BYTES]
