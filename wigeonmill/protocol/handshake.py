"""Mutual proof of the shared inner key when a connection opens."""

from dataclasses import dataclass
import hashlib
import hmac
import secrets

NONCE_BYTES = 32
_CLIENT_LABEL = b'wigeonmill client'
_SERVER_LABEL = b'wigeonmill server'


@dataclass(frozen=True, slots=True)
class InnerKeys:
    """The shared keys: the first signs, all are accepted.

    Two keys are in force while a key is rotated.
    """

    keys: tuple[bytes, ...]

    def __post_init__(self) -> None:
        if not self.keys:
            raise ValueError('at least one inner key is needed')


def new_nonce() -> bytes:
    """Return fresh random bytes for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def client_proofs(
    keys: InnerKeys, server_nonce: bytes, client_nonce: bytes, process: str
) -> list[bytes]:
    """Return the client's proof by each key, the signing key's first."""
    parts = (_CLIENT_LABEL, server_nonce, client_nonce, process.encode())
    return [_mac(key, parts) for key in keys.keys]


def server_proofs(
    keys: InnerKeys, server_nonce: bytes, client_nonce: bytes, process: str
) -> list[bytes]:
    """Return the server's proof by each key, the signing key's first."""
    parts = (_SERVER_LABEL, client_nonce, server_nonce, process.encode())
    return [_mac(key, parts) for key in keys.keys]


def proof_matches(proof: bytes | None, accepted: list[bytes]) -> bool:
    """Tell in constant time whether `proof` is one of `accepted`."""
    given = proof or b''
    found = False
    for expected in accepted:
        found |= hmac.compare_digest(given, expected)
    return found


def _mac(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.digest()
