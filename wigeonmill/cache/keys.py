"""Block keys, which identify the prompt prefix that a block belongs to.

Each key is a digest of the previous key and the block's bytes; the first one
is seeded with team and weight version. Equal keys therefore mean the same
prefix of the same team under the same weights.
"""

import hashlib
from typing import Protocol

KEY_BYTES = 16
BYTES_PER_TOKEN = 4
_LENGTH_BYTES = 8
_SEED_DOMAIN = b'wm-block-seed'
_BLOCK_DOMAIN = b'wm-block'
_VERSION_DOMAIN = b'wm-version'


class Tokenizer(Protocol):
    """Counts a prompt's tokens and splits it into blocks of whole tokens."""

    def count(self, prompt: bytes) -> int:
        """Return the number of tokens of `prompt` (UTF-8)."""

    def split(self, prompt: bytes, block_tokens: int) -> list[bytes]:
        """Return the whole blocks of `prompt`, without a partial last one."""


class ByteTokenizer:
    """Approximates a token by `BYTES_PER_TOKEN` bytes of UTF-8."""

    __slots__ = ()

    def count(self, prompt: bytes) -> int:
        return -(-len(prompt) // BYTES_PER_TOKEN)

    def split(self, prompt: bytes, block_tokens: int) -> list[bytes]:
        size = block_tokens * BYTES_PER_TOKEN
        whole = len(prompt) // size * size
        return [prompt[at : at + size] for at in range(0, whole, size)]


_DEFAULT_TOKENIZER = ByteTokenizer()


def count_tokens(
    prompt: bytes, tokenizer: Tokenizer = _DEFAULT_TOKENIZER
) -> int:
    """Return the approximate number of tokens of a prompt in UTF-8."""
    return tokenizer.count(prompt)


def chain_block_keys(
    team: str,
    weight_version: str,
    prompt: bytes,
    block_tokens: int,
    tokenizer: Tokenizer = _DEFAULT_TOKENIZER,
) -> list[bytes]:
    """Return the keys of the prompt's whole blocks, first block first.

    Each is `KEY_BYTES` long. Raises ValueError unless `block_tokens` is
    positive.
    """
    if block_tokens <= 0:
        raise ValueError(f'block_tokens must be positive, not {block_tokens}')
    key = _seed(team, weight_version, block_tokens)
    keys = []
    for block in tokenizer.split(prompt, block_tokens):
        key = _digest(_BLOCK_DOMAIN, key + block)
        keys.append(key)
    return keys


def team_tag(team: str) -> bytes:
    """Return the tag of a team's stored blocks, `KEY_BYTES` long."""
    return _digest(b'wm-team', team.encode())


def _seed(team: str, weight_version: str, block_tokens: int) -> bytes:
    parts = (team.encode(), weight_version.encode())
    prefixed = [_length_prefixed(part) for part in parts]
    size = block_tokens.to_bytes(_LENGTH_BYTES, 'big')
    return _digest(_SEED_DOMAIN, b''.join(prefixed) + size)


def _length_prefixed(part: bytes) -> bytes:
    return len(part).to_bytes(_LENGTH_BYTES, 'big') + part


def _digest(domain: bytes, data: bytes) -> bytes:
    digest = hashlib.blake2b(data, digest_size=KEY_BYTES, person=domain)
    return digest.digest()


def version_block_keys(keys: list[bytes], weight_version: str) -> list[bytes]:
    """Return the keys of one weight version for a team's chained keys.

    An entry chains keys without a version, because it does not know which
    version a target serves; the agent adds the version of the run.
    """
    seed = _VERSION_DOMAIN + weight_version.encode()
    return [
        hashlib.blake2b(key + seed, digest_size=KEY_BYTES).digest()
        for key in keys
    ]
