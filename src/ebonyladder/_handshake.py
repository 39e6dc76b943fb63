"""Proofs by which VMs authenticate each other with the fleet secret."""

import hashlib
import hmac

from ebonyladder.kernel.error import ErrorCode, PeerError
from ebonyladder.kernel.step import Step
from ebonyladder.types import VmId


def proof_of(secret: bytes, nonce: bytes, vm: VmId) -> bytes:
    """Return the proof of ``vm`` for the other side's nonce, an HMAC-SHA256."""
    return hmac.digest(secret, nonce + vm.encode(), hashlib.sha256)


def require_proof(secret: bytes, nonce: bytes, vm: VmId, proof: bytes) -> None:
    """Raise ``PeerError`` PEER_REFUSED if the proof is wrong."""
    if not hmac.compare_digest(proof_of(secret, nonce, vm), proof):
        raise PeerError(
            code=ErrorCode.PEER_REFUSED,
            step=Step.PEER_HELLO,
            peer=vm,
            message=f"VM {vm} does not know the fleet secret",
        )
