"""What targets, faults and the operator of a soak have seen and done."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math
import time
from typing import Any

# A timer that is later than this shows that the process stood still.
STALL_S = 0.05
STALL_CHECK_S = 0.02


@dataclass
class Run:
    """A request that a target started to run."""

    request_id: str
    target: str
    started_at: float
    path: str
    team: str | None
    from_event: int = 0


@dataclass
class Order:
    """An order that an engine accepted."""

    target: str
    accepted_at: float
    holder: str
    fence: int
    version: int


@dataclass
class Closing:
    """A request that a target refused as it asked for none until later."""

    request_id: str
    target: str
    refused_at: float
    until: float


@dataclass
class Limit:
    """A span in which the answers of a target name its limit."""

    target: str
    per_s: float
    named_at: float
    ended_at: float = math.inf


@dataclass
class Arrival:
    """A request that reached the target for which it was meant."""

    request_id: str
    target: str
    at: float


@dataclass
class Break:
    """A moment at which a target broke off its runs, or only one of them."""

    target: str
    at: float
    request_id: str | None = None


@dataclass
class Silence:
    """A span in which a sound target was silent, and how."""

    target: str
    began_at: float
    form: str
    ended_at: float = math.inf


@dataclass
class Work:
    """Planned work: a signal to an entry, or a change ('' as its entry)."""

    at: float
    kind: str
    entry: str = ''


@dataclass
class Journal:
    """What all targets have seen, and the newest weight version."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    version: int = 1
    # The time at which a target was listed as draining, by its id.
    drained_at: dict[str, float] = field(default_factory=dict)
    closings: list[Closing] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    limits: list[Limit] = field(default_factory=list)
    # The entries of requests, by their ids, and how their callers leave.
    entries: dict[str, str] = field(default_factory=dict)
    leave: dict[str, Callable[[], None]] = field(default_factory=dict)
    # Times of faults by the entry or target that they hit: start and end.
    faults: dict[str, list[list[float]]] = field(default_factory=dict)
    # The software versions of all targets, by their ids.
    software: dict[str, str] = field(default_factory=dict)
    # The times at which targets crashed under the crashing part.
    part_crashes: list[float] = field(default_factory=list)
    breaks: list[Break] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    works: list[Work] = field(default_factory=list)
    # Spans in which a process was killed or paused, or its grace ran out, by
    # its entry.
    interrupted: dict[str, list[list[float]]] = field(default_factory=dict)
    # Spans in which the soak's own process stood still, so that its callers
    # and targets neither sent nor read anything.
    stalls: list[list[float]] = field(default_factory=list)
    # The processes that ended though nobody asked them to.
    own_ends: list[str] = field(default_factory=list)
    # Processes that had not exited after their grace time.
    hung_ends: list[str] = field(default_factory=list)
    # The time limits of the routes in seconds, and when they were sent.
    timeouts: list[tuple[float, float]] = field(default_factory=list)

    # The operator's rollouts, and the services of all targets by their ids.
    rollouts: list[Any] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)

    def add(self, run):
        self.runs.setdefault(run.request_id, []).append(run)

    def expect_request(self, request_id, entry, leave):
        """Record a request before it is sent; `leave` makes its caller go."""
        self.entries[request_id] = entry
        self.leave[request_id] = leave

    def record_break(self, target, request_id=None):
        self.breaks.append(Break(target, time.monotonic(), request_id))

    def record_work(self, kind, entry=''):
        self.works.append(Work(time.monotonic(), kind, entry))

    def begin_silence(self, target, form):
        """Record a silence; the caller replaces its end when it is over."""
        silence = Silence(target, time.monotonic(), form)
        self.silences.append(silence)
        return silence

    def interrupt(self, entry, start, end=math.inf):
        """Record a span in which an entry's requests may get no answer."""
        span = [start, end]
        self.interrupted.setdefault(entry, []).append(span)
        return span

    async def watch_stalls(self):
        """Record the stalls of this process until cancelled."""
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            now = time.monotonic()
            if now - slept_at >= STALL_CHECK_S + STALL_S:
                self.stalls.append([slept_at, now])

    def stalled_s(self, start, end):
        """Return for how long this process stood still in a span."""
        return sum(
            max(0.0, min(end, stall_end) - max(start, stall_start))
            for stall_start, stall_end in self.stalls
        )

    def begin_fault(self, name):
        """Record a fault; the caller replaces its end when it is over."""
        span = [time.monotonic(), math.inf]
        self.faults.setdefault(name, []).append(span)
        return span

    def had_fault(self, name, start, end):
        """Whether an entry or target had a fault in this span."""
        return any(
            fault_start <= end and fault_end >= start
            for fault_start, fault_end in self.faults.get(name, ())
        )
