"""Simulated store VMs and the link of an engine to them."""

import collections
from collections.abc import Callable
from dataclasses import dataclass

from bench.policy_sim.events import EventLoop

CONNECT_TIMEOUT_MS = 200.0


@dataclass(slots=True, frozen=True)
class StoredFrame:
    """A block as a store VM returns it; an incomplete one is truncated."""

    key: bytes
    team: str
    version: str
    complete: bool = True


class FakeStoreVm:
    """Stores a limited number of frames; evicts the least recently used."""

    __slots__ = (
        'name',
        'domain',
        'up',
        'partial',
        'full',
        '_frames',
        '_capacity',
    )

    def __init__(self, name: str, domain: str, capacity: int) -> None:
        self.name = name
        self.domain = domain
        self.up = True
        self.partial = False
        self.full = False
        self._frames: collections.OrderedDict[bytes, StoredFrame] = (
            collections.OrderedDict()
        )
        self._capacity = capacity

    def __contains__(self, key: bytes) -> bool:
        return self.up and key in self._frames

    def get(self, key: bytes) -> StoredFrame | None:
        """Return the frame of a block, or None if it is not stored."""
        frame = self._frames.get(key)
        if frame is None or not self.up:
            return None
        self._frames.move_to_end(key)
        if self.partial:
            return StoredFrame(key, frame.team, frame.version, False)
        return frame

    def put(self, frame: StoredFrame) -> bool:
        """Store a frame; return False if the VM is full or down."""
        if not self.up or self.full:
            return False
        self._frames[frame.key] = frame
        self._frames.move_to_end(frame.key)
        if len(self._frames) > self._capacity:
            self._frames.popitem(last=False)
        return True

    def fail(self) -> None:
        """Go down and lose all frames."""
        self.up = False
        self._frames.clear()

    def recover(self) -> None:
        """Come up again, without any frames."""
        self.up = True


class StoreLink:
    """Does one transfer at a time and counts the bytes of each second."""

    __slots__ = ('_loop', 'bytes_per_s', '_idle_at_ms', 'seconds', 'total')

    def __init__(self, loop: EventLoop, bytes_per_s: float) -> None:
        self._loop = loop
        self.bytes_per_s = bytes_per_s
        self._idle_at_ms = 0.0
        self.seconds: dict[int, float] = {}
        self.total = 0.0

    def transfer(self, size: float, on_done: Callable[[], None]) -> None:
        """Transfer `size` bytes once the earlier transfers have ended."""
        start_ms = max(self._loop.now_ms(), self._idle_at_ms)
        duration_ms = size / self.bytes_per_s * 1000.0
        self._idle_at_ms = start_ms + duration_ms
        self._count(start_ms, duration_ms, size)
        self._loop.at(self._idle_at_ms, on_done)

    @property
    def busy_ms(self) -> float:
        """The time until the link is idle, in ms."""
        return max(0.0, self._idle_at_ms - self._loop.now_ms())

    def peak_bytes_per_second(self) -> float:
        """Return the highest number of bytes transferred in one second."""
        return max(self.seconds.values(), default=0.0)

    def _count(self, start_ms: float, duration_ms: float, size: float) -> None:
        self.total += size
        end_ms = start_ms + duration_ms
        at_ms = start_ms
        while at_ms < end_ms:
            second = int(at_ms // 1000)
            until_ms = min(end_ms, (second + 1) * 1000.0)
            share = size * (until_ms - at_ms) / duration_ms
            self.seconds[second] = self.seconds.get(second, 0.0) + share
            at_ms = until_ms
