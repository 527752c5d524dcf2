"""Crash records that an entry keeps of requests that crash their targets.

The agents that saw a crash may be slow, paused or gone when the same request
is sent again. The entry can then still refuse the request, or pass its crash
record to the agent that runs it next.
"""

import msgspec
from result import Err

from wigeonmill.agent.quarantine import decode_state
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine import Verdict
from wigeonmill.agent.quarantine_share import QUARANTINE_KEY
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue

# Minimum time between two reads of the key-value service by one entry.
MIN_REFRESH_INTERVAL_MS = 1_000.0


class CrashRecords:
    """Crash records by fingerprint, bounded in number and age."""

    __slots__ = (
        '_quarantine',
        '_key_value',
        '_clock',
        '_metrics',
        '_last_refresh_ms',
    )

    def __init__(
        self, key_value: KeyValue, clock: Clock, metrics: Metrics
    ) -> None:
        self._quarantine = Quarantine()
        self._key_value = key_value
        self._clock = clock
        self._metrics = metrics
        self._last_refresh_ms = float('-inf')

    async def refresh(self) -> None:
        """Read the records that agents have stored, unless just read.

        Call this when agents that may know of crashes do not answer.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_refresh_ms < MIN_REFRESH_INTERVAL_MS:
            return
        self._last_refresh_ms = now_ms
        read = await self._key_value.get(QUARANTINE_KEY)
        if isinstance(read, Err):
            reason = read.err_value.kind.value
            self._metrics.count('quarantine_reads_failed', reason)
            self._last_refresh_ms = float('-inf')
        elif read.ok_value is not None:
            self.merge_record(read.ok_value.value)

    def merge_record(self, crash_record: bytes) -> None:
        """Merge an encoded record that an agent sent or stored."""
        try:
            known = decode_state(crash_record)
        except msgspec.DecodeError:
            self._metrics.count('crash_records_malformed')
            return
        self._quarantine.merge(known, self._clock.wall_ms())

    def records_for(self, fingerprint: bytes) -> list[bytes]:
        """Return the encoded record of one request, if there is one."""
        now_ms = self._clock.wall_ms()
        known = self._quarantine.state_for(fingerprint, now_ms)
        return [encode_state(known)] if known.records else []

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether the request has crashed too many targets."""
        now_ms = self._clock.wall_ms()
        verdict = self._quarantine.verdict(fingerprint, now_ms)
        return verdict is Verdict.QUARANTINED

    def record_success(self, fingerprint: bytes) -> None:
        """Clear the suspicion against a request that has completed."""
        self._quarantine.on_healthy(fingerprint, self._clock.wall_ms())
