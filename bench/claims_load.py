"""The agents, callers, ledger and faults of the claims benchmark."""

import asyncio
from collections import Counter
from dataclasses import dataclass
import enum
import random
from typing import Any

from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.grouped import GroupedClaimStore
from wigeonmill.claims.grouped import GroupPolicy
from wigeonmill.claims.grouped import make_grouped_store
from wigeonmill.claims.journal import JournalPolicy
from wigeonmill.claims.messages import decode_reply
from wigeonmill.claims.messages import decode_request
from wigeonmill.claims.messages import encode_reply
from wigeonmill.claims.messages import encode_request
from wigeonmill.claims.messages import OwnerReply
from wigeonmill.claims.messages import OwnerRequest
from wigeonmill.claims.messages import TransportError
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import ClaimStore
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import make_answer
from wigeonmill.claims.model import request_digest
from wigeonmill.claims.model import StoredAnswer
from wigeonmill.claims.model import Unknown
from wigeonmill.claims.shard import ShardPolicy
from wigeonmill.claims.single_key import make_single_key_store
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

AGENTS = 12
KEY_VALUE_DELAY_MS = 3.0
# One-way latency between two agents.
LINK_DELAY_MS = 1.0
LEDGER_DELAY_MS = 2.0
ATTEMPT_MS = 2_000.0
# A caller stops retrying after this time.
CALLER_TIMEOUT_MS = 10_000.0
RETRY_DELAY_MS = 100.0
# Shares of credits that are sent twice concurrently, or once more later.
CONCURRENT_SHARE = 0.03
REPEATED_SHARE = 0.03
WRITE_KINDS = ('cas', 'delete', 'lease', 'keep_alive', 'revoke')


class StoreKind(enum.Enum):
    """The claim stores that are compared."""

    SINGLE_KEY = 'single_key'
    GROUPED = 'grouped'


@dataclass(slots=True)
class Load:
    """The load of one run and the limits of the key-value service.

    `rate` is in credits per second, `seconds` is the length of the run.
    """

    rate: int
    seconds: float
    writes_per_second: int
    reads_per_second: int
    shards: int
    flush_interval_ms: float


class Gate:
    """Pauses a simulated process; every step of it waits for the gate."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.dead = False

    async def wait_running(self) -> None:
        """Wait while the process is paused, or forever if it has died."""
        await self.running.wait()


class GatedKeyValue:
    """The key-value client of a process, which pauses with the process."""

    def __init__(self, memory: MemoryKeyValue, gate: Gate) -> None:
        self._memory = memory
        self._gate = gate

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._memory, name)

        async def call(*args: Any) -> Any:
            await self._gate.wait_running()
            result = await method(*args)
            await self._gate.wait_running()
            return result

        return call


class Agent:
    """A simulated process with its claim store."""

    def __init__(self, name: str, gate: Gate, store: ClaimStore) -> None:
        self.name = name
        self.gate = gate
        self.store = store


class Fleet:
    """All agents; transports the encoded requests between them."""

    def __init__(self, memory: MemoryKeyValue, rng: random.Random) -> None:
        self.memory = memory
        self.agents: dict[str, Agent] = {}
        self._rng = rng

    async def ask(
        self, address: str, request: OwnerRequest, timeout_ms: float
    ) -> Result[OwnerReply, TransportError]:
        agent = self.agents[address]
        if agent.gate.dead:
            return Err(TransportError('refused', reached=False))
        if agent.gate.running.is_set():
            return Ok(decode_reply(await self._deliver(agent, request)))
        work = asyncio.ensure_future(self._deliver(agent, request))
        await asyncio.wait({work}, timeout=timeout_ms / 1000.0)
        if not work.done():
            return Err(TransportError('timeout', reached=True))
        return Ok(decode_reply(work.result()))

    async def _deliver(self, agent: Agent, request: OwnerRequest) -> bytes:
        # All agents share a core: one timer for both ways uses less CPU.
        data = encode_request(request)
        await asyncio.sleep(2 * LINK_DELAY_MS / 1000.0)
        await agent.gate.wait_running()
        assert isinstance(agent.store, GroupedClaimStore)
        reply = await agent.store.serve(decode_request(data))
        await agent.gate.wait_running()
        return encode_reply(reply)

    def alive(self) -> list[Agent]:
        """Return the agents that have not died."""
        return [a for a in self.agents.values() if not a.gate.dead]

    async def inject_faults(self) -> None:
        """Lose messages, then cause an outage, a stall and a death."""
        faults = self.memory.faults
        for _ in range(10):
            faults.lose_replies += 2
            faults.lose_requests += 2
            await asyncio.sleep(0.1)
        faults.outage = True
        await asyncio.sleep(1.0)
        faults.outage = False
        stalled, dying = self._rng.sample(self.alive(), 2)
        stalled.gate.running.clear()
        faults.lose_replies += 5
        await asyncio.sleep(1.5)
        dying.gate.running.clear()
        dying.gate.dead = True
        stalled.gate.running.set()

    async def measure_rebuild(
        self, load: Load, clock: Clock, rng: random.Random
    ) -> float:
        """Return the ms until a new process serves a handed-over shard."""
        kind = StoreKind.GROUPED
        store = _make_store(kind, load, clock, self, 'new', Gate(), rng)
        started_ms = clock.now_ms()
        await store.claim(_request('credit-0', CALLER_TIMEOUT_MS))
        return clock.now_ms() - started_ms

    async def close(self) -> None:
        """Close every store, after letting paused and dead agents continue."""
        for agent in self.agents.values():
            agent.gate.running.set()
        await asyncio.gather(*(a.store.close() for a in self.agents.values()))


class Ledger:
    """Applies credits and counts how often each was applied."""

    def __init__(self) -> None:
        self.applied: Counter[str] = Counter()

    async def apply(self, key: str) -> StoredAnswer:
        """Apply one credit and return its answer."""
        await asyncio.sleep(LEDGER_DELAY_MS / 1000.0)
        self.applied[key] += 1
        body = f'{key} number {self.applied[key]}'.encode()
        return make_answer(200, [], body)


class Callers:
    """Sends credits at a steady rate and records the outcomes."""

    def __init__(
        self,
        fleet: Fleet,
        ledger: Ledger,
        load: Load,
        clock: Clock,
        rng: random.Random,
        faults: bool,
    ) -> None:
        self._faults = faults
        self._fleet = fleet
        self._ledger = ledger
        self._load = load
        self._clock = clock
        self._rng = rng
        self._added = Metrics().histogram('added')
        self._answers: dict[str, set[bytes]] = {}
        self._not_run: set[str] = set()
        self._unknown: set[str] = set()
        self._sent = 0
        self._elapsed_s = 0.0
        self._calls: Counter[str] = Counter()

    async def run(self) -> None:
        """Send every credit and wait until all have ended."""
        started_ms = self._clock.now_ms()
        tasks = []
        for n in range(int(self._load.rate * self._load.seconds)):
            due_ms = started_ms + n * 1000.0 / self._load.rate
            delay_ms = due_ms - self._clock.now_ms()
            if delay_ms > 0:
                await asyncio.sleep(delay_ms / 1000.0)
            tasks.append(asyncio.ensure_future(self._credit(f'credit-{n}')))
        self._sent = len(tasks)
        await asyncio.gather(*tasks)
        self._elapsed_s = (self._clock.now_ms() - started_ms) / 1000.0
        self._calls.update(self._fleet.memory.calls)

    def figures(self) -> dict[str, float]:
        """Return the measured figures and those of the ledger's audit."""
        applied = self._ledger.applied
        writes = sum(self._calls[kind] for kind in WRITE_KINDS)
        reads = sum(self._calls.values()) - writes
        answered = set(self._answers)
        refused = self._not_run - answered - self._unknown
        texts = self._answers.items()
        return {
            'credits_per_second': len(answered) / self._elapsed_s,
            'completed_share': len(answered) / self._sent,
            'writes_per_credit': writes / self._sent,
            'reads_per_credit': reads / self._sent,
            'writes_per_second': writes / self._elapsed_s,
            'reads_per_second': reads / self._elapsed_s,
            'added_p50_ms': self._added.percentile(50.0),
            'added_p99_ms': self._added.percentile(99.0),
            'unknown': len(self._unknown),
            'refused': len(refused),
            'doubled': sum(1 for count in applied.values() if count > 1),
            'lost': sum(1 for key in answered if not applied[key]),
            'not_run_but_ran': sum(1 for k in refused if applied[k]),
            'differing': sum(1 for _, found in texts if len(found) > 1),
        }

    async def _credit(self, key: str) -> None:
        senders = 2 if self._rng.random() < CONCURRENT_SHARE else 1
        repeated = self._rng.random() < REPEATED_SHARE
        if senders == 1:
            await self._send(key)
        else:
            await asyncio.gather(self._send(key), self._send(key))
        if repeated:
            await self._send(key)

    async def _send(self, key: str) -> None:
        """Retry one credit until its outcome is final or the timeout ends."""
        deadline_ms = self._clock.now_ms() + CALLER_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            agent = self._rng.choice(self._fleet.alive())
            if await self._attempt_unless_dead(agent, key):
                return
            await asyncio.sleep(RETRY_DELAY_MS / 1000.0)

    async def _attempt_unless_dead(self, agent: Agent, key: str) -> bool:
        if not self._faults:
            return await self._attempt(agent, key)
        work = asyncio.ensure_future(self._attempt(agent, key))
        while not work.done() and not agent.gate.dead:
            await asyncio.wait({work}, timeout=0.5)
        if work.done():
            return work.result()
        work.cancel()
        return False

    async def _attempt(self, agent: Agent, key: str) -> bool:
        """Make one attempt through an agent; True if the outcome is final."""
        started_ms = self._clock.now_ms()
        outcome = await agent.store.claim(_request(key, ATTEMPT_MS))
        await agent.gate.wait_running()
        claimed_ms = self._clock.now_ms()
        if isinstance(outcome, Err):
            self._not_run.add(key)
            return False
        if isinstance(outcome.ok_value, Answered):
            self._record_answer(key, outcome.ok_value.answer)
            return True
        if isinstance(outcome.ok_value, Unknown):
            self._unknown.add(key)
            return True
        if not isinstance(outcome.ok_value, Claimed):
            return False
        answer = await self._ledger.apply(key)
        await agent.gate.wait_running()
        applied_ms = self._clock.now_ms()
        await agent.store.record(outcome.ok_value, answer)
        added_ms = claimed_ms - started_ms
        added_ms += self._clock.now_ms() - applied_ms
        self._added.record(added_ms)
        self._record_answer(key, answer)
        return True

    def _record_answer(self, key: str, answer: StoredAnswer) -> None:
        self._answers.setdefault(key, set()).add(answer.body)


def _request(key: str, deadline_ms: float) -> ClaimRequest:
    digest = request_digest('POST', '/credits', key.encode())
    return ClaimRequest('team', 'ledger', key, digest, deadline_ms)


def make_fleet(
    kind: StoreKind, load: Load, clock: Clock, rng: random.Random
) -> Fleet:
    """Return agents whose stores of `kind` share one rate-limited service."""
    faults = KvFaults(
        delay_ms=KEY_VALUE_DELAY_MS,
        writes_per_second=load.writes_per_second,
        reads_per_second=load.reads_per_second,
    )
    memory = MemoryKeyValue(clock, faults)
    fleet = Fleet(memory, rng)
    for n in range(AGENTS):
        name = f'agent-{n}'
        gate = Gate()
        store = _make_store(kind, load, clock, fleet, name, gate, rng)
        fleet.agents[name] = Agent(name, gate, store)
    return fleet


def _make_store(
    kind: StoreKind,
    load: Load,
    clock: Clock,
    fleet: Fleet,
    name: str,
    gate: Gate,
    rng: random.Random,
) -> ClaimStore:
    kv = GatedKeyValue(fleet.memory, gate)
    holder = Holder(name, 1)
    metrics = Metrics()
    if kind is StoreKind.SINGLE_KEY:
        return make_single_key_store(kv, clock, metrics, holder, rng)
    journal = JournalPolicy(flush_interval_ms=load.flush_interval_ms)
    policy = GroupPolicy(
        shards=load.shards, shard=ShardPolicy(journal=journal)
    )
    return make_grouped_store(
        kv, fleet, clock, metrics, holder, name, rng, policy=policy
    )
