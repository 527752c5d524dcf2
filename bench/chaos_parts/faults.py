"""The faults of the chaos benchmark: each begins, and is healed."""

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
CUTS = 4
LOST_REPLIES = 3
TRUNCATED_PUTS = 6
BAD_EXPORTS = 3


class FaultKind(enum.Enum):
    """Every kind of fault that a schedule draws from."""

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
    """One fault at the place that was drawn for it."""

    async def begin(self) -> None:
        """Let the fault happen."""

    async def heal(self) -> None:
        """End the fault and wait until what it hit is there again."""


@dataclass(slots=True)
class Tally:
    """Crashes of engines that the faults caused or found."""

    cold_restarts: int = 0
    crashes_by_prompt: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Stage:
    """What faults act on."""

    system: ProxiedSystem
    operators: Operators
    callers: Callers
    tally: Tally


@dataclass(slots=True)
class _KillEntry:
    stage: Stage
    number: int

    async def begin(self) -> None:
        self.stage.system.entries[self.number].kill()

    async def heal(self) -> None:
        await self.stage.system.restart_entry(self.number)


@dataclass(slots=True)
class _KillAgent:
    stage: Stage
    target: str

    async def begin(self) -> None:
        self.stage.system.targets[self.target].agent.kill()

    async def heal(self) -> None:
        await self.stage.system.start_agent_again(self.target)


@dataclass(slots=True)
class _StopEntry:
    """A graceful shutdown, which lasts while open requests run."""

    stage: Stage
    number: int

    async def begin(self) -> None:
        await asyncio.to_thread(
            self.stage.system.entries[self.number].terminate
        )

    async def heal(self) -> None:
        await self.stage.system.restart_entry(self.number)


@dataclass(slots=True)
class _StopAgent:
    stage: Stage
    target: str

    async def begin(self) -> None:
        await asyncio.to_thread(
            self.stage.system.targets[self.target].agent.terminate
        )

    async def heal(self) -> None:
        await self.stage.system.start_agent_again(self.target)


@dataclass(slots=True)
class _Pause:
    process: Callable[[], Process]

    async def begin(self) -> None:
        self.process().signal(signal.SIGSTOP)

    async def heal(self) -> None:
        self.process().signal(signal.SIGCONT)


@dataclass(slots=True)
class _Switch:
    """Sets faults of a stand-in, then sets them back."""

    address: str
    on: dict[str, Any]
    off: dict[str, Any]

    async def begin(self) -> None:
        set_faults(self.address, **self.on)

    async def heal(self) -> None:
        set_faults(self.address, **self.off)


@dataclass(slots=True)
class _KillStore:
    stage: Stage
    name: str

    async def begin(self) -> None:
        self.stage.system.stores[self.name].kill()

    async def heal(self) -> None:
        self.stage.system.restart_store(self.name)


@dataclass(slots=True)
class _EngineCold:
    stage: Stage
    target: str

    async def begin(self) -> None:
        self.stage.tally.cold_restarts += 1
        standin = self.stage.system.targets[self.target].standin
        set_faults(standin.address, cold_restart=True)

    async def heal(self) -> None:
        return None


@dataclass(slots=True)
class _MarkedPrompt:
    """A prompt that crashes every engine that runs it."""

    stage: Stage
    marker: str
    task: asyncio.Task | None = None
    before: int = 0

    async def begin(self) -> None:
        self.before = self._crashes()
        self._mark(self.marker)
        prompt = f'{self.marker}: tag this note'
        self.task = asyncio.create_task(self.stage.callers.marked(prompt))

    async def heal(self) -> None:
        assert self.task is not None
        await self.task
        self._mark('')
        crashes = self._crashes() - self.before
        self.stage.tally.crashes_by_prompt.append(crashes)

    def _engines(self) -> list[str]:
        targets = self.stage.system.targets.values()
        named = [t for t in targets if t.name.startswith('engine')]
        return [target.standin.address for target in named]

    def _mark(self, marker: str) -> None:
        for address in self._engines():
            set_faults(address, crash_marker=marker)

    def _crashes(self) -> int:
        audits = [read_audit(address) for address in self._engines()]
        total = sum(a['crashes'] - a['cold_overloads'] for a in audits)
        return total - self.stage.tally.cold_restarts


@dataclass(slots=True)
class _Drain:
    stage: Stage
    domain: str
    record: DrainRecord | None = None

    async def begin(self) -> None:
        self.record = await self.stage.operators.drain(self.domain)

    async def heal(self) -> None:
        if self.record is not None:
            await self.stage.operators.restore(self.record)


@dataclass(slots=True)
class _Race:
    stage: Stage

    async def begin(self) -> None:
        await self.stage.operators.race()

    async def heal(self) -> None:
        return None


def make_fault(kind: FaultKind, stage: Stage, rng: random.Random) -> Fault:
    """Return a fault of `kind` at a place drawn from `rng`."""
    system = stage.system
    target = rng.choice(sorted(system.targets))
    engine = rng.choice(_names(system, 'engine'))
    ledger = rng.choice(_names(system, 'ledger'))
    entry = rng.randrange(len(system.entries))
    store = rng.choice(sorted(system.stores))
    domain = rng.choice(sorted({t.failure_domain for t in _all(system)}))
    match kind:
        case FaultKind.KILL_ENTRY:
            return _KillEntry(stage, entry)
        case FaultKind.KILL_AGENT:
            return _KillAgent(stage, target)
        case FaultKind.STOP_ENTRY:
            return _StopEntry(stage, entry)
        case FaultKind.STOP_AGENT:
            return _StopAgent(stage, target)
        case FaultKind.PAUSE_ENTRY:
            return _Pause(lambda: system.entries[entry])
        case FaultKind.PAUSE_AGENT:
            return _Pause(lambda: system.targets[target].agent)
        case FaultKind.STORE_KILLED:
            return _KillStore(stage, store)
        case FaultKind.ENGINE_COLD:
            return _EngineCold(stage, engine)
        case FaultKind.ENGINE_EXPORTS:
            return _Switch(
                system.targets[engine].standin.address,
                {
                    'truncate_exports': BAD_EXPORTS,
                    'reuse_exports': BAD_EXPORTS,
                },
                {'truncate_exports': 0, 'reuse_exports': 0},
            )
        case FaultKind.LEDGER_LOSES:
            return _Switch(
                system.targets[ledger].standin.address,
                {'lose_replies': LOST_REPLIES, 'lose_requests': LOST_REPLIES},
                {'lose_replies': 0, 'lose_requests': 0},
            )
        case FaultKind.MARKED_PROMPT:
            return _MarkedPrompt(stage, f'marked-{rng.getrandbits(32):08x}')
        case FaultKind.DRAIN:
            return _Drain(stage, domain)
        case FaultKind.OPERATORS_RACE:
            return _Race(stage)
        case _:
            return _make_switch(kind, stage, target, store)


def _make_switch(
    kind: FaultKind, stage: Stage, target: str, store: str
) -> Fault:
    system = stage.system
    assert system.key_value is not None
    proxy = system.proxies[target].control
    key_value = system.key_value.address
    store_vm = system.stores[store].address
    switches = {
        FaultKind.PROXY_DELAY: _Switch(
            proxy, {'delay_ms': PROXY_DELAY_MS}, {'delay_ms': 0.0}
        ),
        FaultKind.PROXY_RESET: _Switch(proxy, {'reset': True}, {}),
        FaultKind.PROXY_CUT: _Switch(
            proxy,
            {'cut_after_bytes': CUT_AFTER_BYTES, 'cuts': CUTS, 'reset': True},
            {'cuts': 0},
        ),
        FaultKind.PROXY_STALL_UP: _Switch(
            proxy, {'stall': 'up'}, {'stall': None}
        ),
        FaultKind.PROXY_STALL_DOWN: _Switch(
            proxy, {'stall': 'down'}, {'stall': None}
        ),
        FaultKind.KEY_VALUE_OUTAGE: _Switch(
            key_value, {'outage': True}, {'outage': False}
        ),
        FaultKind.KEY_VALUE_LOST_REPLIES: _Switch(
            key_value, {'lose_replies': LOST_REPLIES}, {'lose_replies': 0}
        ),
        FaultKind.STORE_FULL: _Switch(
            store_vm, {'full': True}, {'full': False}
        ),
        FaultKind.STORE_TRUNCATES: _Switch(
            store_vm, {'truncate_puts': TRUNCATED_PUTS}, {'truncate_puts': 0}
        ),
    }
    return switches[kind]


def _all(system: ProxiedSystem) -> list:
    return list(system.targets.values())


def _names(system: ProxiedSystem, prefix: str) -> list[str]:
    return sorted(n for n in system.targets if n.startswith(prefix))
