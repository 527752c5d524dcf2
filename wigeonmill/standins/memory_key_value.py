"""An in-memory key-value service with fault injection."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import KvEvent
from wigeonmill.providers.key_value import KvWatchBatch

VALUE_LIMIT_BYTES = 1 << 20
HISTORY_EVENTS = 10_000
RATE_WINDOW_MS = 1000.0


@dataclass(slots=True)
class KvFaults:
    """Faults to inject; zero values mean none.

    `lose_replies` counts writes that are applied but whose replies are
    lost; `lose_requests` counts writes that are lost before they are
    applied. The client gets the same error in both cases.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    writes_per_second: int = 0
    reads_per_second: int = 0


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: float
    keys: set[str] = field(default_factory=set)


class MemoryKeyValue:
    """Implements the semantics of the key-value service in memory.

    `calls` counts the calls by kind; a watch counts as one call.
    """

    def __init__(self, clock: Clock, faults: KvFaults | None = None) -> None:
        self.clock = clock
        self.faults = faults or KvFaults()
        self.calls: dict[str, int] = {}
        self.revision = 0
        # The oldest revision from which all events are still kept.
        self.oldest_revision = 1
        self._entries: dict[str, KvEntry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._events: list[KvEvent] = []
        self._changed = asyncio.Event()
        self._recent_calls: dict[str, list[float]] = {}

    async def get(self, key: str) -> Result[KvEntry | None, KvError]:
        error = await self._admit('get', write=False)
        if error is not None:
            return Err(error)
        return Ok(self._entries.get(key))

    async def list_prefix(
        self, prefix: str, limit: int = 0
    ) -> Result[list[KvEntry], KvError]:
        error = await self._admit('list', write=False)
        if error is not None:
            return Err(error)
        keys = sorted(k for k in self._entries if k.startswith(prefix))
        if limit:
            keys = keys[:limit]
        return Ok([self._entries[key] for key in keys])

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        error = await self._admit('cas', write=True)
        if error is not None:
            return Err(error)
        outcome = self._swap(key, expected_version, value, lease)
        return self._reply(outcome)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, KvError]:
        error = await self._admit('delete', write=True)
        if error is not None:
            return Err(error)
        outcome: Result[None, KvError]
        if self._version(key) != expected_version:
            outcome = Err(_error(KvErrorKind.CONFLICT, 'version differs'))
        else:
            self._remove(key)
            outcome = Ok(None)
        return self._reply(outcome)

    async def grant_lease(self, ttl_ms: int) -> Result[int, KvError]:
        error = await self._admit('lease', write=True)
        if error is not None:
            return Err(error)
        lease = self._next_lease
        self._next_lease += 1
        expires_ms = self.clock.now_ms() + ttl_ms
        self._leases[lease] = _Lease(ttl_ms, expires_ms)
        return self._reply(Ok(lease))

    async def keep_alive(self, lease: int) -> Result[None, KvError]:
        error = await self._admit('keep_alive', write=True)
        if error is not None:
            return Err(error)
        granted = self._leases.get(lease)
        if granted is None:
            return Err(_error(KvErrorKind.INVALID, f'no lease {lease}'))
        granted.expires_ms = self.clock.now_ms() + granted.ttl_ms
        return self._reply(Ok(None))

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        error = await self._admit('revoke', write=True)
        if error is not None:
            return Err(error)
        self._end_lease(lease)
        return self._reply(Ok(None))

    async def watch(
        self, prefix: str, from_revision: int, wait_ms: int
    ) -> Result[KvWatchBatch, KvError]:
        start = from_revision or self.revision + 1
        error = await self.admit_watch()
        if error is not None:
            return Err(error)
        return await self.wait_events(prefix, start, wait_ms)

    async def admit_watch(self) -> KvError | None:
        """Count a new watch; return the error if it is refused."""
        return await self._admit('watch', write=False)

    async def wait_events(
        self, prefix: str, start: int, wait_ms: int
    ) -> Result[KvWatchBatch, KvError]:
        """Wait for events from revision `start` on; not counted as a call."""
        if start < self.oldest_revision:
            return Err(_error(KvErrorKind.INVALID, 'revision was compacted'))
        deadline_ms = self.clock.now_ms() + wait_ms
        while True:
            self.expire_leases()
            events = self._events_from(prefix, start)
            remaining_ms = deadline_ms - self.clock.now_ms()
            if events or remaining_ms <= 0:
                return Ok(KvWatchBatch(events, self.revision + 1))
            if self.faults.outage:
                return Err(_error(KvErrorKind.UNAVAILABLE, 'outage'))
            await self._wait_for_change(remaining_ms)

    def expire_leases(self) -> None:
        """Delete the keys of every expired lease."""
        now_ms = self.clock.now_ms()
        expired = [
            n for n, x in self._leases.items() if x.expires_ms <= now_ms
        ]
        for lease in expired:
            self._end_lease(lease)

    async def _wait_for_change(self, remaining_ms: float) -> None:
        changed = self._changed
        timeout_s = min(remaining_ms, 50.0) / 1000.0
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except asyncio.TimeoutError:
            return

    async def _admit(self, kind: str, write: bool) -> KvError | None:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        self.expire_leases()
        if self.faults.outage:
            return _error(KvErrorKind.UNAVAILABLE, 'outage')
        if not self._within_rate(write):
            return _error(KvErrorKind.UNAVAILABLE, 'rate limit')
        if write and self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return _error(KvErrorKind.UNKNOWN, 'no reply')
        return None

    def _within_rate(self, write: bool) -> bool:
        limit = self.faults.reads_per_second
        if write:
            limit = self.faults.writes_per_second
        if not limit:
            return True
        now_ms = self.clock.now_ms()
        recent = self._recent_calls.setdefault('w' if write else 'r', [])
        while recent and recent[0] <= now_ms - RATE_WINDOW_MS:
            recent.pop(0)
        if len(recent) >= limit:
            return False
        recent.append(now_ms)
        return True

    def _reply(self, outcome: Result) -> Result:
        if outcome.is_ok() and self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return Err(_error(KvErrorKind.UNKNOWN, 'no reply'))
        return outcome

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def _swap(
        self, key: str, expected: int, value: bytes, lease: int
    ) -> Result[int, KvError]:
        if len(value) > VALUE_LIMIT_BYTES:
            message = f'value of {len(value)} bytes is too large'
            return Err(_error(KvErrorKind.INVALID, message))
        if self._version(key) != expected:
            return Err(_error(KvErrorKind.CONFLICT, 'version differs'))
        if lease and lease not in self._leases:
            return Err(_error(KvErrorKind.INVALID, f'no lease {lease}'))
        self._detach_from_lease(key)
        if lease:
            self._leases[lease].keys.add(key)
        self.revision += 1
        entry = KvEntry(key, value, self.revision, lease)
        self._entries[key] = entry
        self._publish(KvEvent(key, self.revision, entry))
        return Ok(self.revision)

    def _detach_from_lease(self, key: str) -> None:
        old = self._entries.get(key)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        if key not in self._entries:
            return
        self._detach_from_lease(key)
        del self._entries[key]
        self.revision += 1
        self._publish(KvEvent(key, self.revision, None))

    def _end_lease(self, lease: int) -> None:
        granted = self._leases.pop(lease, None)
        if granted is None:
            return
        for key in sorted(granted.keys):
            self._remove(key)

    def _events_from(self, prefix: str, start: int) -> list[KvEvent]:
        events = []
        for event in reversed(self._events):
            if event.revision < start:
                break
            if event.key.startswith(prefix):
                events.append(event)
        events.reverse()
        return events

    def _publish(self, event: KvEvent) -> None:
        self._events.append(event)
        if len(self._events) > HISTORY_EVENTS:
            del self._events[: HISTORY_EVENTS // 10]
            self.oldest_revision = self._events[0].revision
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


def _error(kind: KvErrorKind, message: str) -> KvError:
    return KvError(kind, message)
