"""What an entry has learned of requests that crash their targets.

The agents that saw a crash may be slow, paused or gone when the request
comes again; the entry then still refuses it, or hands on what is known.
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

# One entry asks the key-value service at most this often.
REFRESH_MS = 1_000.0


class CrashMemory:
    """Crash records by fingerprint, bounded in number and age."""

    __slots__ = (
        '_quarantine',
        '_key_value',
        '_clock',
        '_metrics',
        '_refreshed_ms',
    )

    def __init__(
        self, key_value: KeyValue, clock: Clock, metrics: Metrics
    ) -> None:
        self._quarantine = Quarantine()
        self._key_value = key_value
        self._clock = clock
        self._metrics = metrics
        self._refreshed_ms = float('-inf')

    async def refresh(self) -> None:
        """Read what agents have stored, if that was not done just now.

        To be called when agents that may know of crashes don't answer.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        read = await self._key_value.get(QUARANTINE_KEY)
        if isinstance(read, Err):
            reason = read.err_value.kind.value
            self._metrics.count('quarantine_reads_failed', reason)
            self._refreshed_ms = float('-inf')
        elif read.ok_value is not None:
            self.learn(read.ok_value.value)

    def learn(self, crash_record: bytes) -> None:
        """Take in a record that an agent sent."""
        try:
            known = decode_state(crash_record)
        except msgspec.DecodeError:
            self._metrics.count('crash_records_malformed')
            return
        self._quarantine.merge(known, self._clock.wall_ms())

    def known_of(self, fingerprint: bytes) -> list[bytes]:
        """Return the record of one request, none if there is none."""
        now_ms = self._clock.wall_ms()
        known = self._quarantine.state_for(fingerprint, now_ms)
        return [encode_state(known)] if known.records else []

    def quarantined(self, fingerprint: bytes) -> bool:
        """Return whether the request has crashed too many targets."""
        now_ms = self._clock.wall_ms()
        verdict = self._quarantine.verdict(fingerprint, now_ms)
        return verdict is Verdict.QUARANTINED

    def on_healthy(self, fingerprint: bytes) -> None:
        """Clear a suspect that completed."""
        self._quarantine.on_healthy(fingerprint, self._clock.wall_ms())
