"""Keeps a request that crashes its targets from crashing more of them.

What was in flight at a crash is a suspect, by fingerprint. A suspect is
retried once and alone; a second crash quarantines it. A healthy completion
clears it. The state is a plain value: agents merge what others sent or wrote
to the key-value service with their own, in any order and any number of times.
"""

from dataclasses import dataclass
from dataclasses import field
import enum

import msgspec

SUSPECT_TTL_MS = 10 * 60_000
QUARANTINE_TTL_MS = 24 * 3_600_000
MAX_RECORDS = 2048
CRASHES_TO_QUARANTINE = 2


class Verdict(enum.Enum):
    """How a request may run."""

    CLEAR = 'clear'
    ALONE = 'alone'
    # Another agent or an earlier try has used up the one retry.
    RETRY_SPENT = 'retry_spent'
    QUARANTINED = 'quarantined'


@dataclass(slots=True)
class CrashRecord:
    """What is known of one fingerprint; `changed_ms` is wall time.

    `crashes` names the crashes it was part of; a record without any stands
    for a cleared suspect.
    """

    crashes: list[str]
    retries: int
    changed_ms: int

    @property
    def quarantined(self) -> bool:
        """Whether there have been too many crashes."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE


@dataclass(slots=True)
class QuarantineState:
    """All records by fingerprint in hex."""

    records: dict[str, CrashRecord] = field(default_factory=dict)


class Quarantine:
    """Decides whether a fingerprint may run, from the crashes seen.

    `source` names the agent, so that crashes seen by two are told apart.
    `changes` rises with each change that other agents should learn of.
    """

    __slots__ = ('changes', '_state', '_source')

    def __init__(
        self, state: QuarantineState | None = None, source: str = ''
    ) -> None:
        self._state = state or QuarantineState()
        self._source = source
        self.changes = 0

    @property
    def state(self) -> QuarantineState:
        """The present state, to be written or sent."""
        return self._state

    def verdict(self, fingerprint: bytes, now_ms: int) -> Verdict:
        """Return how the request may run at wall time `now_ms`."""
        record = self._live(fingerprint, now_ms)
        if record is None or not record.crashes:
            return Verdict.CLEAR
        if record.quarantined:
            return Verdict.QUARANTINED
        if record.retries >= 1:
            return Verdict.RETRY_SPENT
        return Verdict.ALONE

    def on_retry(self, fingerprint: bytes, now_ms: int) -> None:
        """Note that a suspect's one retry is taken."""
        record = self._state.records.get(fingerprint.hex())
        if record is not None:
            record.retries += 1
            record.changed_ms = now_ms
            self.changes += 1

    def on_retry_cancelled(self, fingerprint: bytes, now_ms: int) -> None:
        """Give the retry back: no target has crashed by it."""
        record = self._state.records.get(fingerprint.hex())
        if record is not None and record.retries:
            record.retries -= 1
            record.changed_ms = now_ms
            self.changes += 1

    def on_healthy(self, fingerprint: bytes, now_ms: int) -> bool:
        """Clear a suspect that completed; returns whether it was one."""
        record = self._state.records.get(fingerprint.hex())
        if record is None or not record.crashes or record.quarantined:
            return False
        record.crashes.clear()
        record.retries = 0
        record.changed_ms = now_ms
        self.changes += 1
        return True

    def on_crash(self, in_flight: list[bytes], now_ms: int) -> list[bytes]:
        """Blame what was in flight; returns the newly quarantined."""
        quarantined = []
        crash = f'{self._source}:{now_ms}'
        for fingerprint in dict.fromkeys(in_flight):
            record = self._live(fingerprint, now_ms)
            if record is None:
                record = CrashRecord([], 0, now_ms)
                self._state.records[fingerprint.hex()] = record
            was_quarantined = record.quarantined
            _add_crashes(record, [crash])
            record.changed_ms = now_ms
            if record.quarantined and not was_quarantined:
                quarantined.append(fingerprint)
            self.changes += 1
        self._bound(now_ms)
        return quarantined

    def state_for(self, fingerprint: bytes, now_ms: int) -> QuarantineState:
        """Return what is known of one request, to be sent with an offer."""
        record = self._live(fingerprint, now_ms)
        if record is None:
            return QuarantineState()
        return QuarantineState({fingerprint.hex(): record})

    def merge(self, other: QuarantineState, now_ms: int) -> None:
        """Take in another agent's records.

        Crashes add up; a suspect that was cleared later stays cleared.
        """
        for name, theirs in other.records.items():
            ours = self._state.records.get(name)
            if ours is None:
                ours = CrashRecord([], 0, 0)
                self._state.records[name] = ours
            _merge_record(ours, theirs)
        self._bound(now_ms)

    def _live(self, fingerprint: bytes, now_ms: int) -> CrashRecord | None:
        record = self._state.records.get(fingerprint.hex())
        if record is None or not _expired(record, now_ms):
            return record
        del self._state.records[fingerprint.hex()]
        return None

    def _bound(self, now_ms: int) -> None:
        records = self._state.records
        for name in [n for n, r in records.items() if _expired(r, now_ms)]:
            del records[name]
        excess = len(records) - MAX_RECORDS
        if excess > 0:
            by_worth = sorted(records, key=lambda name: _worth(records[name]))
            for name in by_worth[:excess]:
                del records[name]


def encode_state(state: QuarantineState) -> bytes:
    """Encode the state for the key-value service."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> QuarantineState:
    """Decode a stored state; raises msgspec.DecodeError when malformed."""
    return msgspec.json.decode(data, type=QuarantineState)


def _merge_record(ours: CrashRecord, theirs: CrashRecord) -> None:
    cleared = not ours.crashes or not theirs.crashes
    quarantined = ours.quarantined or theirs.quarantined
    newer = theirs.changed_ms > ours.changed_ms
    if not cleared or quarantined:
        _add_crashes(ours, theirs.crashes)
    elif newer:
        ours.crashes = list(theirs.crashes)
    if newer:
        ours.retries = theirs.retries
        ours.changed_ms = theirs.changed_ms


def _add_crashes(record: CrashRecord, crashes: list[str]) -> None:
    names = sorted({*record.crashes, *crashes})
    record.crashes = names[:CRASHES_TO_QUARANTINE]


def _expired(record: CrashRecord, now_ms: int) -> bool:
    ttl_ms = QUARANTINE_TTL_MS if record.quarantined else SUSPECT_TTL_MS
    return now_ms - record.changed_ms > ttl_ms


def _worth(record: CrashRecord) -> tuple[bool, int]:
    return record.quarantined, record.changed_ms
