"""Explores every interleaving of claimers and checks the invariants."""

import asyncio
import itertools
import random

from result import Err
from result import Ok

from wigeonmill.claims.layout import LAYOUT_KEY
from wigeonmill.claims.messages import TransportError
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import make_answer
from wigeonmill.standins import interleavings
from wigeonmill.standins.stepped_key_value import PendingCall

DIGEST = b'd' * 32
DEADLINE_MS = 1000.0


class ClaimScenario(interleavings.Scenario):
    """Processes that each claim one key, dispatch the call and record."""

    def __init__(self, make_store, claimers, faults, crash_idle):
        static_keys = frozenset((LAYOUT_KEY,))
        super().__init__(faults, crash_idle, static_keys)
        self.make_store = make_store
        self.stores = {}
        self.outcomes = {}
        self.recorded = False
        self.dispatched = []
        self.answer = None
        layout = make_store.layout.encode()
        self.run_now(self.memory.compare_and_swap(LAYOUT_KEY, 0, layout))
        for name in claimers:
            self.add_claimer(name)

    def add_claimer(self, name):
        kv = self.connect(name)
        rng = random.Random(1)
        tokens = (f'{name}{n}'.encode() for n in itertools.count())
        self.stores[name] = self.make_store(
            self, kv, Holder(name, 1), rng, tokens.__next__
        )
        self.start(name, self.run_claimer(name))

    async def run_claimer(self, name):
        store = self.stores[name]
        request = ClaimRequest('team', 'ledger', 'k', DIGEST, DEADLINE_MS)
        outcome = await store.claim(request)
        self.outcomes[name] = outcome
        self.processes[name].history.append(repr(outcome))
        if not isinstance(outcome.ok(), Claimed):
            return
        claim = outcome.ok()
        answer = await self.dispatch(name, claim.token)
        recorded = await store.record(claim, answer)
        self.recorded |= recorded.is_ok()

    async def dispatch(self, name, token):
        async def run():
            self.dispatched.append(token)
            self.answer = make_answer(200, [], token)
            return self.answer

        reply = self.loop.create_future()
        call = PendingCall(name, 'dispatch', False, run, reply, reliable=True)
        self.submit(call)
        return await reply

    async def serve(self, address, request):
        """Handle another process's request at the process at `address`."""
        process = self.processes[address]
        if process.crashed:
            return Err(TransportError('refused', False))
        process.history.append(('serve', repr(request)))
        return Ok(await self.stores[address].serve(request))

    def extra_state(self):
        return tuple(self.dispatched)

    def check(self):
        assert len(self.dispatched) <= 1, 'dispatched twice'
        for name, outcome in self.outcomes.items():
            self.check_outcome(name, outcome)

    def check_outcome(self, name, outcome):
        if outcome.is_err():
            assert outcome.err_value.not_run
            sent = [t for t in self.dispatched if t.startswith(name.encode())]
            assert not sent, 'ran although refused as not run'
        elif isinstance(outcome.ok_value, Answered):
            assert outcome.ok_value.answer == self.answer, (
                'replayed answer differs'
            )

    def check_end(self):
        """Check the outcome of a later claim, once all work is done."""
        crashed = any(p.crashed for p in self.processes.values())
        # Records continued in the background are done by now.
        answered = bool(self.dispatched) and not crashed
        answered |= self.recorded
        self.remaining_faults = 0
        self.add_claimer('later')
        self.run_without_faults()
        self.check()
        outcome = self.outcomes['later']
        if answered:
            assert outcome == Ok(Answered(self.answer)), 'answer lost'
        elif not crashed:
            assert isinstance(outcome.ok(), Claimed), 'key stays claimed'


class SteppedTransport:
    """Sends requests to other processes, one step at a time."""

    def __init__(self, scenario, client):
        self.scenario = scenario
        self.client = client

    async def ask(self, address, request, timeout_ms):
        async def start():
            return await self.scenario.serve(address, request)

        reply = self.scenario.loop.create_future()
        label = f'ask {address} {request!r}'
        call = PendingCall(self.client, label, True, start, reply)
        self.scenario.submit(call)
        await asyncio.wait({reply}, timeout=timeout_ms / 1000.0)
        if not reply.done():
            return Err(TransportError('timeout', True))
        if isinstance(reply.result(), Err):
            return Err(TransportError('lost', False))
        return reply.result()


def explore(make_store, claimers, faults, crash_idle=False):
    """Explore claimers of one key; return the number of states."""
    return interleavings.explore(
        lambda: ClaimScenario(make_store, claimers, faults, crash_idle)
    )
