"""Explores every order of several processes' calls, with bounded faults.

The processes run their real code on a StepLoop. Each call to the key-value
service, and whatever else a world submits, waits until it is chosen to be
answered, refused, lost, delayed or cut off by its process's crash.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import gc
import itertools
from typing import Any

from result import Err

from wigeonmill.clock import Clock
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.standins.step_loop import LoopClock
from wigeonmill.standins.step_loop import StepLoop
from wigeonmill.standins.stepped_key_value import PendingCall
from wigeonmill.standins.stepped_key_value import SteppedKeyValue

# Worlds are cyclic garbage; collecting them rarely is faster.
RUNS_PER_COLLECTION = 1000
SETTLED_STEPS = 3000

# A method of Scenario and the index of the call or process it is applied to.
Choice = tuple[str, int]


class Process:
    """One process; `history` is all that it has observed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.history: list[Any] = []
        self.crashed = False
        self.task: asyncio.Task | None = None


class Scenario:
    """One run of some processes; a subclass says what must hold.

    `faults` bounds the faults of a run. Idle processes crash as well if
    `crash_idle` is set. `settled_keys` are read without being a step.
    """

    def __init__(
        self,
        faults: int,
        crash_idle: bool = False,
        settled_keys: frozenset[str] = frozenset(),
    ) -> None:
        self.loop = StepLoop()  # type: ignore[abstract]
        self.clock = LoopClock(self.loop)
        self.memory = MemoryKeyValue(Clock())
        self.remaining_faults = faults
        self.path: tuple[Choice, ...] = ()
        self.processes: dict[str, Process] = {}
        self.pending: list[PendingCall] = []
        self._crash_idle = crash_idle
        self._settled_keys = settled_keys
        self._delayed: list[PendingCall] = []

    def check(self) -> None:
        """Assert what holds in every state."""
        raise NotImplementedError

    def check_end(self) -> None:
        """Assert what holds once nothing more can happen."""
        raise NotImplementedError

    def extra_state(self) -> tuple[Any, ...]:
        """Return what else tells two states apart."""
        return ()

    def connect(self, name: str) -> SteppedKeyValue:
        """Add the process `name`; returns its key-value client."""
        self.processes[name] = Process(name)
        return SteppedKeyValue(
            name, self.memory, self.submit, self._settled_keys
        )

    def start(self, name: str, work: Coroutine) -> None:
        """Run the process's work up to its first call."""
        self.processes[name].task = self.loop.create_task(work)
        self.loop.settle()

    def run_now(self, work: Coroutine) -> None:
        """Run work that makes no calls of a process."""
        self.loop.create_task(work)
        self.loop.settle()

    def submit(self, call: PendingCall) -> None:
        """Let a call wait for its turn."""
        if not self.processes[call.client].crashed:
            self.pending.append(call)

    def choices(self) -> list[Choice]:
        """Return every next step."""
        found = [('deliver', n) for n in range(len(self.pending))]
        found += [('arrive', n) for n in range(len(self._delayed))]
        quiet = not self.pending and not self._delayed
        if quiet and self.loop.has_timer():
            found.append(('advance', 0))
        if self.remaining_faults:
            found += self._fault_choices()
        return found

    def apply(self, choice: Choice) -> None:
        """Take one step."""
        action, n = choice
        getattr(self, action)(n)
        self.loop.settle()
        if self.loop.failures:
            raise self.loop.failures[0]

    def run_without_faults(self) -> None:
        """Run to the end without another fault."""
        self.remaining_faults = 0
        for _ in range(SETTLED_STEPS):
            choices = self.choices()
            if not choices:
                return
            self.apply(choices[0])
        raise AssertionError('never settles')

    def fingerprint(self) -> int:
        """Return a hash of the state.

        A process's state follows from what it has observed.
        """
        processes = tuple(
            (p.crashed, tuple(p.history)) for p in self.processes.values()
        )
        calls = tuple((c.client, c.label) for c in self.pending)
        delayed = tuple(sorted(c.label for c in self._delayed))
        entries = tuple(self.memory._entries.values())
        state = (processes, calls, delayed, entries, self.remaining_faults)
        return hash((state, self.loop.time(), self.extra_state()))

    def deliver(self, n: int) -> None:
        """Answer a call."""
        call = self.pending.pop(n)

        def done(task: asyncio.Task) -> None:
            result = task.result()
            history = self.processes[call.client].history
            history.append((call.label, repr(result)))
            if not call.reply.done():
                call.reply.set_result(result)

        self.loop.create_task(call.start()).add_done_callback(done)

    def arrive(self, n: int) -> None:
        """Let a delayed call take effect."""
        self.loop.create_task(self._delayed.pop(n).start())

    def advance(self, cost: int) -> None:
        """Let time pass up to the next timer."""
        self.remaining_faults -= cost
        for process in self.processes.values():
            process.history.append('time')
        self.loop.advance()

    def refuse(self, n: int) -> None:
        """Fail a call for certain."""
        self._fail(self.pending.pop(n), KvErrorKind.UNAVAILABLE)

    def lose_reply(self, n: int) -> None:
        """Let a call take effect and lose its reply."""
        call = self.pending.pop(n)
        self.loop.create_task(call.start())
        self._fail(call, KvErrorKind.UNKNOWN)

    def lose_request(self, n: int) -> None:
        """Lose a call before it takes effect."""
        self._fail(self.pending.pop(n), KvErrorKind.UNKNOWN)

    def delay(self, n: int) -> None:
        """Lose a call's reply; the call takes effect later."""
        call = self.pending.pop(n)
        self._delayed.append(call)
        self._fail(call, KvErrorKind.UNKNOWN)

    def crash(self, n: int) -> None:
        """End a process; its writes under way may still arrive."""
        self.remaining_faults -= 1
        process = list(self.processes.values())[n]
        process.crashed = True
        mine = [c for c in self.pending if c.client == process.name]
        self.pending = [c for c in self.pending if c.client != process.name]
        self._delayed += [c for c in mine if c.is_write]

    def _fault_choices(self) -> list[Choice]:
        found = []
        for n, call in enumerate(self.pending):
            if call.reliable:
                continue
            # Between processes a refused request is like a lost one.
            if not call.label.startswith('ask'):
                found.append(('refuse', n))
            if call.is_write:
                found += [('lose_reply', n), ('lose_request', n)]
                found.append(('delay', n))
        for n, process in enumerate(self.processes.values()):
            if not process.crashed and self._is_busy(process):
                found.append(('crash', n))
        if (self.pending or self._delayed) and self.loop.has_timer():
            found.append(('advance', 1))
        return found

    def _is_busy(self, process: Process) -> bool:
        if self._crash_idle or process.task is None:
            return True
        waits = any(c.client == process.name for c in self.pending)
        return waits or not process.task.done()

    def _fail(self, call: PendingCall, kind: KvErrorKind) -> None:
        self.remaining_faults -= 1
        history = self.processes[call.client].history
        history.append((call.label, kind.value))
        if not call.reply.done():
            call.reply.set_result(Err(KvError(kind, kind.value)))


def explore(make_world: Callable[[], Scenario]) -> int:
    """Visit every reachable state; returns how many there are.

    Processes must differ in name only: the first one moves first. Raises
    AssertionError with the path to a state in which a check fails.
    """
    seen: set[int] = set()
    paths: list[tuple[Choice, ...]] = [()]
    runs = itertools.count(1)
    gc.disable()
    try:
        while paths:
            path = paths.pop()
            world = make_world()
            for choice in path:
                world.apply(choice)
            world.path = path
            _visit(world, seen, paths)
            if next(runs) % RUNS_PER_COLLECTION == 0:
                gc.collect()
    except AssertionError as exc:
        steps = ' '.join(f'{action}:{n}' for action, n in world.path)
        raise AssertionError(f'{exc} after {steps}') from exc
    finally:
        gc.enable()
    return len(seen)


def _visit(
    world: Scenario, seen: set[int], paths: list[tuple[Choice, ...]]
) -> None:
    while True:
        state = world.fingerprint()
        if state in seen:
            return
        seen.add(state)
        world.check()
        choices = world.choices()
        if not choices:
            world.check_end()
            return
        if not world.path:
            choices = [choice for choice in choices if choice[1] == 0]
        paths += [world.path + (choice,) for choice in choices[1:]]
        world.path += (choices[0],)
        world.apply(choices[0])
