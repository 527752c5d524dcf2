"""Explores all interleavings of processes' calls, with bounded faults.

The processes run their real code on a StepLoop. Each call to the key-value
service, and any other call that a scenario submits, stays pending until the
exploration answers, refuses, loses or delays it, or crashes its process.
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

# Scenarios contain reference cycles, so that the garbage collector has to
# free them. Collecting rarely is faster.
RUNS_PER_COLLECTION = 1000
MAX_FINAL_STEPS = 3000

# The name of a method of Scenario and its argument: the index of a call or a
# process, or for `advance` the number of faults that the step costs.
Choice = tuple[str, int]


class Process:
    """A simulated process; `history` holds everything it has observed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.history: list[Any] = []
        self.crashed = False
        self.task: asyncio.Task | None = None


class Scenario:
    """One run of several processes; subclasses check the invariants.

    `faults` is the maximum number of faults in the run. If `crash_idle` is
    set, idle processes can crash too. Reads of `static_keys` are answered
    at once and are not steps of the exploration.
    """

    def __init__(
        self,
        faults: int,
        crash_idle: bool = False,
        static_keys: frozenset[str] = frozenset(),
    ) -> None:
        self.loop = StepLoop()  # type: ignore[abstract]
        self.clock = LoopClock(self.loop)
        self.memory = MemoryKeyValue(Clock())
        self.remaining_faults = faults
        self.path: tuple[Choice, ...] = ()
        self.processes: dict[str, Process] = {}
        self.pending: list[PendingCall] = []
        self._crash_idle = crash_idle
        self._static_keys = static_keys
        self._delayed: list[PendingCall] = []

    def check(self) -> None:
        """Assert the invariants of every state."""
        raise NotImplementedError

    def check_end(self) -> None:
        """Assert the invariants of a state in which no step is possible."""
        raise NotImplementedError

    def extra_state(self) -> tuple[Any, ...]:
        """Return further state that distinguishes two states."""
        return ()

    def connect(self, name: str) -> SteppedKeyValue:
        """Add the process `name` and return its key-value client."""
        self.processes[name] = Process(name)
        return SteppedKeyValue(
            name, self.memory, self.submit, self._static_keys
        )

    def start(self, name: str, work: Coroutine) -> None:
        """Start the process's work and run it up to its first call."""
        self.processes[name].task = self.loop.create_task(work)
        self.loop.settle()

    def run_now(self, work: Coroutine) -> None:
        """Run work that submits no calls and belongs to no process."""
        self.loop.create_task(work)
        self.loop.settle()

    def submit(self, call: PendingCall) -> None:
        """Add a call to the pending ones unless its process has crashed."""
        if not self.processes[call.client].crashed:
            self.pending.append(call)

    def choices(self) -> list[Choice]:
        """Return every step that is possible next."""
        found = [('deliver', n) for n in range(len(self.pending))]
        found += [('arrive', n) for n in range(len(self._delayed))]
        idle = not self.pending and not self._delayed
        if idle and self.loop.has_timer():
            found.append(('advance', 0))
        if self.remaining_faults:
            found += self._fault_choices()
        return found

    def apply(self, choice: Choice) -> None:
        """Apply one step and run the callbacks that become ready."""
        action, n = choice
        getattr(self, action)(n)
        self.loop.settle()
        if self.loop.failures:
            raise self.loop.failures[0]

    def run_without_faults(self) -> None:
        """Run until no step is possible, without further faults."""
        self.remaining_faults = 0
        for _ in range(MAX_FINAL_STEPS):
            choices = self.choices()
            if not choices:
                return
            self.apply(choices[0])
        raise AssertionError('no final state was reached')

    def fingerprint(self) -> int:
        """Return a hash of the state.

        The state of a process is determined by what it has observed.
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
        """Apply a call and deliver its reply."""
        call = self.pending.pop(n)

        def done(task: asyncio.Task) -> None:
            result = task.result()
            history = self.processes[call.client].history
            history.append((call.label, repr(result)))
            if not call.reply.done():
                call.reply.set_result(result)

        self.loop.create_task(call.start()).add_done_callback(done)

    def arrive(self, n: int) -> None:
        """Apply a delayed call."""
        self.loop.create_task(self._delayed.pop(n).start())

    def advance(self, cost: int) -> None:
        """Advance the time to the next timer; this costs `cost` faults."""
        self.remaining_faults -= cost
        for process in self.processes.values():
            process.history.append('time')
        self.loop.advance()

    def refuse(self, n: int) -> None:
        """Fail a call that is certain not to be applied."""
        self._fail(self.pending.pop(n), KvErrorKind.UNAVAILABLE)

    def lose_reply(self, n: int) -> None:
        """Apply a call and lose its reply."""
        call = self.pending.pop(n)
        self.loop.create_task(call.start())
        self._fail(call, KvErrorKind.UNKNOWN)

    def lose_request(self, n: int) -> None:
        """Lose a call before it is applied."""
        self._fail(self.pending.pop(n), KvErrorKind.UNKNOWN)

    def delay(self, n: int) -> None:
        """Lose a call's reply; the call is applied in a later step."""
        call = self.pending.pop(n)
        self._delayed.append(call)
        self._fail(call, KvErrorKind.UNKNOWN)

    def crash(self, n: int) -> None:
        """Crash a process; its writes in flight may still be applied."""
        self.remaining_faults -= 1
        process = list(self.processes.values())[n]
        process.crashed = True
        own_calls = [c for c in self.pending if c.client == process.name]
        self.pending = [c for c in self.pending if c.client != process.name]
        self._delayed += [c for c in own_calls if c.is_write]

    def _fault_choices(self) -> list[Choice]:
        found = []
        for n, call in enumerate(self.pending):
            if call.reliable:
                continue
            # Between processes, a refused request has the same effect as a
            # lost one.
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
        waiting = any(c.client == process.name for c in self.pending)
        return waiting or not process.task.done()

    def _fail(self, call: PendingCall, kind: KvErrorKind) -> None:
        self.remaining_faults -= 1
        history = self.processes[call.client].history
        history.append((call.label, kind.value))
        if not call.reply.done():
            call.reply.set_result(Err(KvError(kind, kind.value)))


def explore(make_scenario: Callable[[], Scenario]) -> int:
    """Visit every reachable state and return how many there are.

    The processes may differ only in their names, because the first step is
    always taken by the first process. Raises AssertionError with the path to
    a state in which a check fails.
    """
    seen: set[int] = set()
    paths: list[tuple[Choice, ...]] = [()]
    runs = itertools.count(1)
    gc.disable()
    try:
        while paths:
            path = paths.pop()
            scenario = make_scenario()
            for choice in path:
                scenario.apply(choice)
            scenario.path = path
            _visit(scenario, seen, paths)
            if next(runs) % RUNS_PER_COLLECTION == 0:
                gc.collect()
    except AssertionError as exc:
        steps = ' '.join(f'{action}:{n}' for action, n in scenario.path)
        raise AssertionError(f'{exc} after {steps}') from exc
    finally:
        gc.enable()
    return len(seen)


def _visit(
    scenario: Scenario, seen: set[int], paths: list[tuple[Choice, ...]]
) -> None:
    while True:
        state = scenario.fingerprint()
        if state in seen:
            return
        seen.add(state)
        scenario.check()
        choices = scenario.choices()
        if not choices:
            scenario.check_end()
            return
        if not scenario.path:
            choices = [choice for choice in choices if choice[1] == 0]
        paths += [scenario.path + (choice,) for choice in choices[1:]]
        scenario.path += (choices[0],)
        scenario.apply(choices[0])
