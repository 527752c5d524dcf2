"""The entries' authentication key, stored in the key-value service."""

import logging
import secrets

from result import Err

from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import INNER_KEY
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

KEY_BYTES = 32


class SharedInnerKey:
    """Reads the shared key from its record; the first entry creates it.

    Until the key is known, a random one is used, so that all handshakes with
    peers fail.
    """

    __slots__ = ('_keys', '_inner', 'known')

    def __init__(self, keys: LeasedKeys) -> None:
        self._keys = keys
        self._inner = InnerKeys((secrets.token_bytes(KEY_BYTES),))
        self.known = False

    def current(self) -> InnerKeys:
        """Return the keys for a handshake."""
        return self._inner

    def update(self, record: Record) -> None:
        """Apply a changed record of the key."""
        if record.value:
            self._inner = InnerKeys((record.value,))
            self.known = True

    async def ensure(self) -> None:
        """Create the key, unless another entry has done so."""
        value = secrets.token_bytes(KEY_BYTES)
        written = await self._keys.compare_and_swap(INNER_KEY, 0, value)
        if isinstance(written, Err):
            logger.info(
                'inner key not created',
                extra={'detail': written.err_value.message},
            )
