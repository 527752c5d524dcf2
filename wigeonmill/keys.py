"""Reads the shared inner keys and hashes team keys."""

import hashlib
import logging
from pathlib import Path

from result import Err
from result import Ok
from result import Result

from wigeonmill.protocol.handshake import InnerKeys

logger = logging.getLogger(__name__)

MIN_KEY_CHARS = 16


def read_inner_keys(path: str) -> Result[InnerKeys, str]:
    """Return the keys in a file, one per line; the first one signs."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f'inner_key_file {path}: {type(exc).__name__}')
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if not lines:
        return Err(f'inner_key_file {path}: the file contains no key')
    short = [line for line in lines if len(line) < MIN_KEY_CHARS]
    if short:
        return Err(
            f'inner_key_file {path}: a key has fewer than '
            f'{MIN_KEY_CHARS} characters'
        )
    return Ok(InnerKeys(tuple(line.encode() for line in lines)))


class InnerKeyFile:
    """The inner keys of a file, which `reload` reads again."""

    def __init__(self, path: str, keys: InnerKeys) -> None:
        self._path = path
        self._keys = keys

    def keys(self) -> InnerKeys:
        """Return the current keys."""
        return self._keys

    def reload(self) -> None:
        """Read the file again; keep the current keys if it is invalid."""
        read = read_inner_keys(self._path)
        if read.is_err():
            logger.error('inner keys not reloaded: %s', read.unwrap_err())
            return
        self._keys = read.unwrap()
        logger.info('inner keys reloaded')


def hash_key(key: str) -> str:
    """Return the lower-case hex SHA-256 digest of a team's key."""
    return hashlib.sha256(key.encode()).hexdigest()
