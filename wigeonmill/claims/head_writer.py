"""Writes a shard's head by compare-and-swap and handles lost replies."""

import random

from result import Err
from result import Ok

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.segment import decode_head
from wigeonmill.claims.segment import encode_head
from wigeonmill.claims.segment import Head
from wigeonmill.claims.segment import head_key
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvErrorKind


class HeadWriter:
    """Writes the head under one tenure and holds its last version."""

    __slots__ = ('_kv', '_metrics', '_rng', '_key', 'head', 'version')

    def __init__(
        self,
        kv: KeyValue,
        metrics: Metrics,
        rng: random.Random,
        shard: int,
        head: Head,
        version: int,
    ) -> None:
        self._kv = kv
        self._metrics = metrics
        self._rng = rng
        self._key = head_key(shard)
        self.head = head
        self.version = version

    async def swap(self, head: Head) -> bool:
        """Write the head; False if another process owns the shard.

        Retries until the result is known, however long an outage lasts.
        """
        data = encode_head(head)
        backoff = Backoff(self._rng)
        while True:
            swapped = await self._kv.compare_and_swap(
                self._key, self.version, data
            )
            if isinstance(swapped, Ok):
                self._adopt(head, swapped.ok_value)
                return True
            kind = swapped.err_value.kind
            self._metrics.count(RETRIES, kind.value)
            if kind is not KvErrorKind.UNAVAILABLE:
                result = await self.read_back(head)
                if result is not None:
                    return result
            await backoff.pause()

    async def read_back(self, head: Head) -> bool | None:
        """Return whether a write took effect, None if it has to be retried."""
        read = await self._kv.get(self._key)
        if isinstance(read, Err):
            return None
        entry = read.ok_value
        if entry is None:
            return False
        if decode_head(entry.value).tenure != head.tenure:
            return False
        if entry.version == self.version:
            return None
        # Only this process writes under this tenure: the write took effect.
        self._adopt(head, entry.version)
        return True

    def _adopt(self, head: Head, version: int) -> None:
        self.head = head
        self.version = version
