"""The faults of the chaos benchmark, which begin and are later healed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import random
import signal
from typing import Any
from typing import Protocol

from bench.chaos_parts.callers import Callers
from bench.chaos_parts.operators import DrainRecord
from bench.chaos_parts.operators import Operators
from bench.chaos_parts.proxied_system import ProxiedSystem
from bench.processes import Process
from bench.standin_control import read_audit
from bench.standin_control import set_faults

PROXY_DELAY_MS = 150.0
CUT_AFTER_BYTES = 900
CONNECTION_CUTS = 4
LOST_REPLIES = 3
TRUNCATED_PUTS = 6
BAD_EXPORTS = 3


class FaultKind(enum.Enum):
    """The kinds of fault that a schedule chooses from."""

    KILL_ENTRY = 'kill_entry'
    KILL_AGENT = 'kill_agent'
    STOP_ENTRY = 'stop_entry'
    STOP_AGENT = 'stop_agent'
    PAUSE_ENTRY = 'pause_entry'
    PAUSE_AGENT = 'pause_agent'
    PROXY_DELAY = 'proxy_delay'
    PROXY_RESET = 'proxy_reset'
    PROXY_CUT = 'proxy_cut'
    PROXY_STALL_UP = 'proxy_stall_up'
    PROXY_STALL_DOWN = 'proxy_stall_down'
    KEY_VALUE_OUTAGE = 'key_value_outage'
    KEY_VALUE_LOST_REPLIES = 'key_value_lost_replies'
    STORE_FULL = 'store_full'
    STORE_KILLED = 'store_killed'
    STORE_TRUNCATES = 'store_truncates'
    ENGINE_COLD = 'engine_cold'
    ENGINE_EXPORTS = 'engine_exports'
    LEDGER_LOSES = 'ledger_loses'
    MARKED_PROMPT = 'marked_prompt'
    DRAIN = 'drain'
    OPERATORS_RACE = 'operators_race'


class Fault(Protocol):
    """One fault of a chosen process, proxy, stand-in or domain."""

    async def begin(self) -> None:
        """Inject the fault."""

    async def heal(self) -> None:
        """End the fault; wait until a process that it stopped runs again."""


@dataclass(slots=True)
class CrashCounts:
    """Crashes of engines, by their cause.

    `cold_restarts` are injected restarts; `crashes_by_prompt` holds the
    number of engines that each marked prompt crashed.
    """

    cold_restarts: int = 0
    crashes_by_prompt: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FaultContext:
    """The system, its users and the counters that faults act on."""

    system: ProxiedSystem
    operators: Operators
    callers: Callers
    crash_counts: CrashCounts


@dataclass(slots=True)
class _KillEntry:
    context: FaultContext
    number: int

    async def begin(self) -> None:
        self.context.system.entries[self.number].kill()

    async def heal(self) -> None:
        await self.context.system.restart_entry(self.number)


@dataclass(slots=True)
class _KillAgent:
    context: FaultContext
    target: str

    async def begin(self) -> None:
        self.context.system.targets[self.target].agent.kill()

    async def heal(self) -> None:
        await self.context.system.restart_proxied_agent(self.target)


@dataclass(slots=True)
class _StopEntry:
    """A graceful shutdown, which waits for open requests to end."""

    context: FaultContext
    number: int

    async def begin(self) -> None:
        await asyncio.to_thread(
            self.context.system.entries[self.number].terminate
        )

    async def heal(self) -> None:
        await self.context.system.restart_entry(self.number)


@dataclass(slots=True)
class _StopAgent:
    context: FaultContext
    target: str

    async def begin(self) -> None:
        await asyncio.to_thread(
            self.context.system.targets[self.target].agent.terminate
        )

    async def heal(self) -> None:
        await self.context.system.restart_proxied_agent(self.target)


@dataclass(slots=True)
class _Pause:
    """Stops a process with SIGSTOP and continues it later."""

    process: Callable[[], Process]

    async def begin(self) -> None:
        self.process().signal(signal.SIGSTOP)

    async def heal(self) -> None:
        self.process().signal(signal.SIGCONT)


@dataclass(slots=True)
class _StandinFaults:
    """Sets faults of a stand-in, and resets them when healed."""

    address: str
    on: dict[str, Any]
    off: dict[str, Any]

    async def begin(self) -> None:
        set_faults(self.address, **self.on)

    async def heal(self) -> None:
        set_faults(self.address, **self.off)


@dataclass(slots=True)
class _KillStore:
    context: FaultContext
    name: str

    async def begin(self) -> None:
        self.context.system.stores[self.name].kill()

    async def heal(self) -> None:
        self.context.system.restart_store(self.name)


@dataclass(slots=True)
class _EngineCold:
    """Restarts an engine, which then is cold; it recovers by itself."""

    context: FaultContext
    target: str

    async def begin(self) -> None:
        self.context.crash_counts.cold_restarts += 1
        standin = self.context.system.targets[self.target].standin
        set_faults(standin.address, cold_restart=True)

    async def heal(self) -> None:
        return None


@dataclass(slots=True)
class _MarkedPrompt:
    """A prompt that crashes every engine that runs it."""

    context: FaultContext
    marker: str
    task: asyncio.Task | None = None
    before: int = 0

    async def begin(self) -> None:
        self.before = self._count_crashes()
        self._set_marker(self.marker)
        prompt = f'{self.marker}: tag this note'
        self.task = asyncio.create_task(self.context.callers.marked(prompt))

    async def heal(self) -> None:
        assert self.task is not None
        await self.task
        self._set_marker('')
        crashes = self._count_crashes() - self.before
        self.context.crash_counts.crashes_by_prompt.append(crashes)

    def _engine_addresses(self) -> list[str]:
        targets = self.context.system.targets.values()
        engines = [t for t in targets if t.name.startswith('engine')]
        return [target.standin.address for target in engines]

    def _set_marker(self, marker: str) -> None:
        for address in self._engine_addresses():
            set_faults(address, crash_marker=marker)

    def _count_crashes(self) -> int:
        """Count engine crashes apart from overloads and cold restarts."""
        audits = [read_audit(address) for address in self._engine_addresses()]
        total = sum(a['crashes'] - a['cold_overloads'] for a in audits)
        return total - self.context.crash_counts.cold_restarts


@dataclass(slots=True)
class _Drain:
    """Takes a failure domain out of service, then restores it."""

    context: FaultContext
    domain: str
    record: DrainRecord | None = None

    async def begin(self) -> None:
        self.record = await self.context.operators.drain(self.domain)

    async def heal(self) -> None:
        if self.record is not None:
            await self.context.operators.restore(self.record)


@dataclass(slots=True)
class _OperatorRace:
    """Lets two operators change the document at the same time."""

    context: FaultContext

    async def begin(self) -> None:
        await self.context.operators.race()

    async def heal(self) -> None:
        return None


def make_fault(
    kind: FaultKind, context: FaultContext, rng: random.Random
) -> Fault:
    """Return a fault of `kind` that affects a part chosen with `rng`."""
    system = context.system
    target = rng.choice(sorted(system.targets))
    engine = rng.choice(_target_names(system, 'engine'))
    ledger = rng.choice(_target_names(system, 'ledger'))
    entry = rng.randrange(len(system.entries))
    store = rng.choice(sorted(system.stores))
    domain = rng.choice(sorted({t.failure_domain for t in _targets(system)}))
    match kind:
        case FaultKind.KILL_ENTRY:
            return _KillEntry(context, entry)
        case FaultKind.KILL_AGENT:
            return _KillAgent(context, target)
        case FaultKind.STOP_ENTRY:
            return _StopEntry(context, entry)
        case FaultKind.STOP_AGENT:
            return _StopAgent(context, target)
        case FaultKind.PAUSE_ENTRY:
            return _Pause(lambda: system.entries[entry])
        case FaultKind.PAUSE_AGENT:
            return _Pause(lambda: system.targets[target].agent)
        case FaultKind.STORE_KILLED:
            return _KillStore(context, store)
        case FaultKind.ENGINE_COLD:
            return _EngineCold(context, engine)
        case FaultKind.ENGINE_EXPORTS:
            return _StandinFaults(
                system.targets[engine].standin.address,
                {
                    'truncate_exports': BAD_EXPORTS,
                    'reuse_exports': BAD_EXPORTS,
                },
                {'truncate_exports': 0, 'reuse_exports': 0},
            )
        case FaultKind.LEDGER_LOSES:
            return _StandinFaults(
                system.targets[ledger].standin.address,
                {'lose_replies': LOST_REPLIES, 'lose_requests': LOST_REPLIES},
                {'lose_replies': 0, 'lose_requests': 0},
            )
        case FaultKind.MARKED_PROMPT:
            return _MarkedPrompt(context, f'marked-{rng.getrandbits(32):08x}')
        case FaultKind.DRAIN:
            return _Drain(context, domain)
        case FaultKind.OPERATORS_RACE:
            return _OperatorRace(context)
        case _:
            return _make_standin_fault(kind, context, target, store)


def _make_standin_fault(
    kind: FaultKind, context: FaultContext, target: str, store: str
) -> Fault:
    system = context.system
    assert system.key_value is not None
    proxy = system.proxies[target].control
    key_value = system.key_value.address
    store_vm = system.stores[store].address
    faults = {
        FaultKind.PROXY_DELAY: _StandinFaults(
            proxy, {'delay_ms': PROXY_DELAY_MS}, {'delay_ms': 0.0}
        ),
        FaultKind.PROXY_RESET: _StandinFaults(proxy, {'reset': True}, {}),
        FaultKind.PROXY_CUT: _StandinFaults(
            proxy,
            {
                'cut_after_bytes': CUT_AFTER_BYTES,
                'cuts': CONNECTION_CUTS,
                'reset': True,
            },
            {'cuts': 0},
        ),
        FaultKind.PROXY_STALL_UP: _StandinFaults(
            proxy, {'stall': 'up'}, {'stall': None}
        ),
        FaultKind.PROXY_STALL_DOWN: _StandinFaults(
            proxy, {'stall': 'down'}, {'stall': None}
        ),
        FaultKind.KEY_VALUE_OUTAGE: _StandinFaults(
            key_value, {'outage': True}, {'outage': False}
        ),
        FaultKind.KEY_VALUE_LOST_REPLIES: _StandinFaults(
            key_value, {'lose_replies': LOST_REPLIES}, {'lose_replies': 0}
        ),
        FaultKind.STORE_FULL: _StandinFaults(
            store_vm, {'full': True}, {'full': False}
        ),
        FaultKind.STORE_TRUNCATES: _StandinFaults(
            store_vm, {'truncate_puts': TRUNCATED_PUTS}, {'truncate_puts': 0}
        ),
    }
    return faults[kind]


def _targets(system: ProxiedSystem) -> list:
    return list(system.targets.values())


def _target_names(system: ProxiedSystem, prefix: str) -> list[str]:
    return sorted(n for n in system.targets if n.startswith(prefix))
