"""Prevents a request that crashes its targets from crashing more of them.

The fingerprints of all requests in flight at a crash become suspects. A
suspect is retried once and alone; a second crash quarantines it, a healthy
completion clears it. The state is a plain value: agents merge the states that
others sent or wrote to the key-value service with their own, in any order and
any number of times.
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
    # Another agent or an earlier attempt has used the one retry.
    RETRY_SPENT = 'retry_spent'
    QUARANTINED = 'quarantined'


@dataclass(slots=True)
class CrashRecord:
    """The crash history of one fingerprint; `changed_ms` is wall time.

    `crashes` holds the ids of the crashes during which the request was in
    flight; a record without any is that of a cleared suspect.
    """

    crashes: list[str]
    retries: int
    changed_ms: int

    @property
    def quarantined(self) -> bool:
        """Whether the request was part of too many crashes."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE


@dataclass(slots=True)
class QuarantineState:
    """All records by fingerprint in hex."""

    records: dict[str, CrashRecord] = field(default_factory=dict)


class Quarantine:
    """Decides from the recorded crashes whether a fingerprint may run.

    `source` names the agent, so that crashes recorded by two agents have
    different ids. `changes` counts the local changes, to be shared with
    other agents.
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
        """The current state, to be stored or sent."""
        return self._state

    def verdict(self, fingerprint: bytes, now_ms: int) -> Verdict:
        """Return how the request may run at wall time `now_ms`."""
        record = self._live_record(fingerprint, now_ms)
        if record is None or not record.crashes:
            return Verdict.CLEAR
        if record.quarantined:
            return Verdict.QUARANTINED
        if record.retries >= 1:
            return Verdict.RETRY_SPENT
        return Verdict.ALONE

    def on_retry(self, fingerprint: bytes, now_ms: int) -> None:
        """Record that a suspect's one retry is used."""
        record = self._state.records.get(fingerprint.hex())
        if record is not None:
            record.retries += 1
            record.changed_ms = now_ms
            self.changes += 1

    def on_retry_cancelled(self, fingerprint: bytes, now_ms: int) -> None:
        """Restore the retry of a suspect that ended without a crash."""
        record = self._state.records.get(fingerprint.hex())
        if record is not None and record.retries:
            record.retries -= 1
            record.changed_ms = now_ms
            self.changes += 1

    def on_healthy(self, fingerprint: bytes, now_ms: int) -> bool:
        """Clear a suspect that completed; return whether it was one."""
        record = self._state.records.get(fingerprint.hex())
        if record is None or not record.crashes or record.quarantined:
            return False
        record.crashes.clear()
        record.retries = 0
        record.changed_ms = now_ms
        self.changes += 1
        return True

    def on_crash(self, in_flight: list[bytes], now_ms: int) -> list[bytes]:
        """Record a crash for the requests in flight.

        Returns the fingerprints that it puts in quarantine.
        """
        quarantined = []
        crash = f'{self._source}:{now_ms}'
        for fingerprint in dict.fromkeys(in_flight):
            record = self._live_record(fingerprint, now_ms)
            if record is None:
                record = CrashRecord([], 0, now_ms)
                self._state.records[fingerprint.hex()] = record
            was_quarantined = record.quarantined
            _add_crashes(record, [crash])
            record.changed_ms = now_ms
            if record.quarantined and not was_quarantined:
                quarantined.append(fingerprint)
            self.changes += 1
        self._evict_records(now_ms)
        return quarantined

    def state_for(self, fingerprint: bytes, now_ms: int) -> QuarantineState:
        """Return the state of one request, to be sent with an offer."""
        record = self._live_record(fingerprint, now_ms)
        if record is None:
            return QuarantineState()
        return QuarantineState({fingerprint.hex(): record})

    def merge(self, other: QuarantineState, now_ms: int) -> None:
        """Merge the records of another agent.

        Their crashes are united; a suspect that was cleared since stays
        cleared.
        """
        for name, theirs in other.records.items():
            ours = self._state.records.get(name)
            if ours is None:
                ours = CrashRecord([], 0, 0)
                self._state.records[name] = ours
            _merge_record(ours, theirs)
        self._evict_records(now_ms)

    def _live_record(
        self, fingerprint: bytes, now_ms: int
    ) -> CrashRecord | None:
        record = self._state.records.get(fingerprint.hex())
        if record is None or not _expired(record, now_ms):
            return record
        del self._state.records[fingerprint.hex()]
        return None

    def _evict_records(self, now_ms: int) -> None:
        records = self._state.records
        for name in [n for n, r in records.items() if _expired(r, now_ms)]:
            del records[name]
        excess = len(records) - MAX_RECORDS
        if excess > 0:
            eviction_order = sorted(
                records, key=lambda name: _eviction_key(records[name])
            )
            for name in eviction_order[:excess]:
                del records[name]


def encode_state(state: QuarantineState) -> bytes:
    """Encode the state for the key-value service."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> QuarantineState:
    """Decode a stored state; raise msgspec.DecodeError if malformed."""
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


def _eviction_key(record: CrashRecord) -> tuple[bool, int]:
    return record.quarantined, record.changed_ms
