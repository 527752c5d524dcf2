"""Explores every interleaving of claimers' calls with bounded faults."""

import asyncio
import gc
import itertools
import random

from result import Err
from result import Ok

from wigeonmill.claims.messages import TransportError
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import make_answer
from wigeonmill.clock import Clock
from wigeonmill.platform.key_value import KvError
from wigeonmill.platform.key_value import KvErrorKind
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.standins.step_loop import LoopClock
from wigeonmill.standins.step_loop import StepLoop
from wigeonmill.standins.stepped_key_value import PendingCall
from wigeonmill.standins.stepped_key_value import SteppedKeyValue

DIGEST = b'd' * 32
DEADLINE_MS = 1000.0
SETTLED_STEPS = 3000
# Worlds are cyclic garbage; collecting them rarely is faster.
RUNS_PER_COLLECTION = 1000


class Claimer:
    """A process that claims, dispatches and records once."""

    def __init__(self, name):
        self.name = name
        self.history = []
        self.crashed = False
        self.task = None
        self.outcome = None
        self.recorded = False


class World:
    """One run: claimers, the service, calls under way and the audit."""

    def __init__(self, make_store, claimers, faults, crash_idle):
        self.loop = StepLoop()
        self.clock = LoopClock(self.loop)
        self.memory = MemoryKeyValue(Clock())
        self.make_store = make_store
        self.faults_left = faults
        self.crash_idle = crash_idle
        self.pending = []
        self.delayed = []
        self.claimers = {}
        self.stores = {}
        self.dispatched = []
        self.answer = None
        for name in claimers:
            self.start(name)

    def start(self, name):
        self.claimers[name] = Claimer(name)
        kv = SteppedKeyValue(name, self.memory, self.submit)
        rng = random.Random(1)
        tokens = (f'{name}{n}'.encode() for n in itertools.count())
        self.stores[name] = self.make_store(
            self, kv, Holder(name, 1), rng, tokens.__next__
        )
        work = self.run_claimer(self.claimers[name], self.stores[name])
        self.claimers[name].task = self.loop.create_task(work)
        self.loop.settle()

    async def run_claimer(self, claimer, store):
        request = ClaimRequest('team', 'ledger', 'k', DIGEST, DEADLINE_MS)
        outcome = await store.claim(request)
        claimer.outcome = outcome
        claimer.history.append(repr(outcome))
        if not isinstance(outcome.ok(), Claimed):
            return
        claim = outcome.ok()
        answer = await self.dispatch(claimer, claim.token)
        claimer.recorded = (await store.record(claim, answer)).is_ok()

    async def dispatch(self, claimer, token):
        async def run():
            self.dispatched.append(token)
            self.answer = make_answer(200, [], token)
            return self.answer

        reply = self.loop.create_future()
        call = PendingCall(claimer.name, 'dispatch', False, run, reply)
        self.submit(call)
        return await reply

    def submit(self, call):
        if not self.claimers[call.client].crashed:
            self.pending.append(call)

    def choices(self):
        """Return every next step as (action, index) pairs."""
        found = [('deliver', n) for n in range(len(self.pending))]
        found += [('arrive', n) for n in range(len(self.delayed))]
        quiet = not self.pending and not self.delayed
        if quiet and self.loop.has_timer():
            found.append(('advance', 0))
        if self.faults_left:
            found += self.fault_choices()
        return found

    def fault_choices(self):
        found = []
        for n, call in enumerate(self.pending):
            if call.label == 'dispatch':
                continue
            # For the asker a refused request is the same as a lost one.
            if not call.label.startswith('ask'):
                found.append(('refuse', n))
            if call.is_write:
                found += [('lose_reply', n), ('lose_request', n)]
                found.append(('delay', n))
        for n, claimer in enumerate(self.claimers.values()):
            busy = any(c.client == claimer.name for c in self.pending)
            if self.crash_idle or not claimer.task.done():
                busy = True
            if busy and not claimer.crashed:
                found.append(('crash', n))
        if (self.pending or self.delayed) and self.loop.has_timer():
            found.append(('advance', 1))
        return found

    def apply(self, choice):
        action, n = choice
        getattr(self, action)(n)
        self.loop.settle()
        if self.loop.failures:
            raise self.loop.failures[0]

    def deliver(self, n):
        call = self.pending.pop(n)
        self.finish(call, call.start())

    def arrive(self, n):
        self.loop.create_task(self.delayed.pop(n).start())

    def advance(self, cost):
        self.faults_left -= cost
        for claimer in self.claimers.values():
            claimer.history.append('time')
        self.loop.advance()

    def refuse(self, n):
        self.faults_left -= 1
        self.fail(self.pending.pop(n), KvErrorKind.UNAVAILABLE)

    def lose_reply(self, n):
        self.faults_left -= 1
        call = self.pending.pop(n)
        self.loop.create_task(call.start())
        self.fail(call, KvErrorKind.UNKNOWN)

    def lose_request(self, n):
        self.faults_left -= 1
        self.fail(self.pending.pop(n), KvErrorKind.UNKNOWN)

    def delay(self, n):
        self.faults_left -= 1
        call = self.pending.pop(n)
        self.delayed.append(call)
        self.fail(call, KvErrorKind.UNKNOWN)

    def crash(self, n):
        self.faults_left -= 1
        claimer = list(self.claimers.values())[n]
        claimer.crashed = True
        mine = [c for c in self.pending if c.client == claimer.name]
        self.pending = [c for c in self.pending if c.client != claimer.name]
        self.delayed += [c for c in mine if c.is_write]

    def finish(self, call, work):
        def done(task):
            result = task.result()
            claimer = self.claimers[call.client]
            claimer.history.append((call.label, repr(result)))
            if not call.reply.done():
                call.reply.set_result(result)

        self.loop.create_task(work).add_done_callback(done)

    def fail(self, call, kind):
        claimer = self.claimers[call.client]
        claimer.history.append((call.label, kind.value))
        if not call.reply.done():
            call.reply.set_result(Err(KvError(kind, kind.value)))

    async def serve(self, address, request):
        """Run another process's request at the process at `address`."""
        claimer = self.claimers[address]
        if claimer.crashed:
            return Err(TransportError('refused'))
        claimer.history.append(('serve', repr(request)))
        return Ok(await self.stores[address].serve(request))

    def fingerprint(self):
        claimers = tuple(
            (c.crashed, tuple(c.history)) for c in self.claimers.values()
        )
        calls = tuple((c.client, c.label) for c in self.pending)
        delayed = tuple(sorted(c.label for c in self.delayed))
        entries = tuple(self.memory._entries.values())
        state = (claimers, calls, delayed, entries, self.faults_left)
        state += (tuple(self.dispatched), self.loop.time())
        return hash(state)

    def check(self):
        """Check what must hold in every state."""
        assert len(self.dispatched) <= 1, 'dispatched twice'
        for claimer in self.claimers.values():
            self.check_outcome(claimer)

    def check_outcome(self, claimer):
        if claimer.outcome is None:
            return
        if claimer.outcome.is_err():
            assert claimer.outcome.err_value.not_run
            sent = [
                t
                for t in self.dispatched
                if t.startswith(claimer.name.encode())
            ]
            assert not sent, 'ran although refused as not run'
        elif isinstance(claimer.outcome.ok_value, Answered):
            answer = claimer.outcome.ok_value.answer
            assert answer == self.answer, 'another answer'

    def check_end(self):
        """Check what a later caller is told once all is quiet."""
        crashed = any(c.crashed for c in self.claimers.values())
        recorded = any(c.recorded for c in self.claimers.values())
        # What went on in the background is done once all is quiet.
        recorded |= bool(self.dispatched) and not crashed
        self.faults_left = 0
        self.start('later')
        self.run_quietly()
        outcome = self.claimers['later'].outcome
        self.check()
        if recorded:
            assert outcome == Ok(Answered(self.answer)), 'answer lost'
        elif not crashed:
            assert outcome is not None
            assert isinstance(outcome.ok(), Claimed), 'key stays claimed'

    def run_quietly(self):
        for _ in range(SETTLED_STEPS):
            choices = self.choices()
            if not choices:
                return
            self.apply(choices[0])
        raise AssertionError('never settles')


class SteppedTransport:
    """Asks other processes of a world, one step at a time."""

    def __init__(self, world, client):
        self.world = world
        self.client = client

    async def ask(self, address, request, timeout_ms):
        async def start():
            return await self.world.serve(address, request)

        reply = self.world.loop.create_future()
        label = f'ask {address} {request!r}'
        call = PendingCall(self.client, label, True, start, reply)
        self.world.submit(call)
        await asyncio.wait({reply}, timeout=timeout_ms / 1000.0)
        if not reply.done():
            return Err(TransportError('timeout'))
        return reply.result()


def explore(make_store, claimers, faults, crash_idle=False):
    """Visit every reachable state; returns how many there are.

    Each claimer's state follows from what it has observed, so two runs
    with equal observations, service and calls under way are one state.
    """
    seen = set()
    paths = [()]
    runs = itertools.count(1)
    gc.disable()
    try:
        while paths:
            path = paths.pop()
            world = World(make_store, claimers, faults, crash_idle)
            for choice in path:
                world.apply(choice)
            visit(world, path, seen, paths)
            if next(runs) % RUNS_PER_COLLECTION == 0:
                gc.collect()
    except AssertionError as exc:
        raise AssertionError(f'{exc} after {world_path(world)}') from exc
    finally:
        gc.enable()
    return len(seen)


def visit(world, path, seen, paths):
    while True:
        world.path = path
        state = world.fingerprint()
        if state in seen:
            return
        seen.add(state)
        world.check()
        choices = world.choices()
        if not choices:
            world.check_end()
            return
        if not path:
            # Claimers differ in name only: let the first one move first.
            choices = [choice for choice in choices if choice[1] == 0]
        paths += [path + (choice,) for choice in choices[1:]]
        path += (choices[0],)
        world.apply(choices[0])


def world_path(world):
    return ' '.join(f'{action}:{n}' for action, n in world.path)
