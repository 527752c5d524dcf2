"""Mutual authentication by the shared inner key when a connection opens."""

from dataclasses import dataclass
import hashlib
import hmac
import secrets

NONCE_BYTES = 32
_CLIENT_LABEL = b'wigeonmill client'
_SERVER_LABEL = b'wigeonmill server'


@dataclass(frozen=True, slots=True)
class InnerKeys:
    """The shared keys: the first one signs, and all are accepted.

    There are two keys while a key is being rotated.
    """

    keys: tuple[bytes, ...]

    def __post_init__(self) -> None:
        if not self.keys:
            raise ValueError('at least one inner key is required')


def new_nonce() -> bytes:
    """Return random bytes for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def client_proofs(
    keys: InnerKeys, server_nonce: bytes, client_nonce: bytes, process: str
) -> list[bytes]:
    """Return the client's proof for each key, that of the first key first."""
    parts = (_CLIENT_LABEL, server_nonce, client_nonce, process.encode())
    return [_compute_mac(key, parts) for key in keys.keys]


def server_proofs(
    keys: InnerKeys, server_nonce: bytes, client_nonce: bytes, process: str
) -> list[bytes]:
    """Return the server's proof for each key, that of the first key first."""
    parts = (_SERVER_LABEL, client_nonce, server_nonce, process.encode())
    return [_compute_mac(key, parts) for key in keys.keys]


def proof_matches(proof: bytes | None, accepted: list[bytes]) -> bool:
    """Return whether `proof` is one of `accepted`, in constant time."""
    proof_bytes = proof or b''
    found = False
    for expected in accepted:
        found |= hmac.compare_digest(proof_bytes, expected)
    return found


def _compute_mac(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.digest()
