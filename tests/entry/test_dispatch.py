"""What becomes of a prompt whose targets refuse it for a while."""

import random

import pytest
from result import Ok

from tests.virtual_time import run_virtual
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine_share import QUARANTINE_KEY
from wigeonmill.clock import ManualClock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.dispatch import Dispatcher
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.requests import Api
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.entry.start_waits import MAX_START_WAIT_MS
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Offer
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import RunAccepted
from wigeonmill.routing.candidates import CandidatePicker
from wigeonmill.routing.candidates import RoutableTarget
from wigeonmill.routing.retries import INITIAL_RETRIES
from wigeonmill.settings import EntrySettings
from wigeonmill.standins.memory_key_value import MemoryKeyValue

STARTING = Offer('starting', 500)
ACCEPTS = Offer('', 0, 7)


class Stream:
    async def receive(self, _timeout_ms):
        accepted = RunAccepted('run', 'v1', 0)
        return Ok(Envelope(Kind.RUN_ACCEPTED, run_accepted=accepted))

    def close(self):
        pass


class Agent:
    """Answers the requests for offers in turn; the last answer repeats."""

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = answers
        self.asked_ms = []
        self.runs = 0
        self.fingerprint = b''

    async def request(self, envelope, _timeout_ms):
        self.fingerprint = envelope.offer_request.fingerprint
        number = min(len(self.asked_ms), len(self.answers) - 1)
        self.asked_ms.append(self.clock.now_ms())
        answer = self.answers[number]
        if isinstance(answer, Refused):
            return Ok(Envelope(Kind.REFUSED, refused=answer))
        return Ok(Envelope(Kind.OFFER, offer=answer))

    async def open(self, _envelope):
        self.runs += 1
        return Ok(Stream())

    def notify(self, _envelope):
        pass


class Entry:
    """An entry whose agents give the answers of `answers`, by target."""

    def __init__(self, **answers):
        self.clock = ManualClock(0.0)
        self.agents = {
            name: Agent(self.clock, given) for name, given in answers.items()
        }
        metrics = Metrics()
        self.key_value = MemoryKeyValue(self.clock)
        self.context = EntryContext(
            EntrySettings(),
            ConfigHolder(metrics),
            self.agents,
            self.key_value,
            self.clock,
            random.Random(1),
            metrics,
        )
        targets = [Target(name, 'domain', name, name) for name in answers]
        self.routes = ServiceRoutes(
            Service('assistant', ServiceKind.MODEL, targets, model='m'),
            CandidatePicker(
                [RoutableTarget(name, 'domain') for name in answers],
                random.Random(1),
            ),
        )

    def send(self, deadline_ms=30_000):
        """Start a prompt; return the outcome and the time that it took."""
        request = ModelRequest(
            Api.COMPLETIONS,
            'm',
            b'prompt',
            b'{}',
            4,
            False,
            False,
            0,
            deadline_ms,
        )
        team = Team('alpha', [], 1, 100)
        dispatcher = Dispatcher(
            self.context, self.routes, team, request, 'request'
        )
        started_ms = self.clock.now_ms()
        outcome = run_virtual(self.clock, dispatcher.start())
        return outcome, self.clock.now_ms() - started_ms


# Guards against a 503 no_target for a caller with seconds left, as the only
# agent had just started.
def test_a_prompt_waits_for_its_only_starting_agent():
    entry = Entry(one=[STARTING, STARTING, ACCEPTS])
    outcome, took_ms = entry.send()
    assert outcome.unwrap().target.name == 'one'
    assert 1_000.0 <= took_ms < 1_100.0
    assert entry.agents['one'].runs == 1
    assert entry.context.budget.available == INITIAL_RETRIES
    metrics = entry.context.metrics
    assert metrics.value('offers_repeated', 'starting') == 2


# Guards against a wait for a starting agent while another one is free.
def test_a_starting_agent_is_not_waited_for_beside_a_free_one():
    entry = Entry(one=[STARTING], two=[ACCEPTS])
    outcome, took_ms = entry.send()
    assert outcome.unwrap().target.name == 'two'
    assert took_ms < 1.0


# Guards against a refusal because the agents that are not starting are full.
def test_a_prompt_waits_for_a_starting_agent_beside_a_full_one():
    entry = Entry(one=[STARTING, ACCEPTS], two=[Offer('queue_full', 9_000)])
    outcome, took_ms = entry.send()
    assert outcome.unwrap().target.name == 'one'
    assert 500.0 <= took_ms < 600.0


# Guards against a wait that can't end before the deadline.
def test_a_prompt_that_can_not_wait_for_the_start_is_refused_at_once():
    entry = Entry(one=[STARTING])
    outcome, took_ms = entry.send(deadline_ms=400)
    error = outcome.unwrap_err()
    assert (error.reason, error.retry_after_ms) == (Reason.NO_TARGET, 500)
    assert error.not_run
    assert took_ms < 1.0


# Guards against an endless wait for an agent that does not become ready.
def test_an_agent_that_never_starts_is_given_up():
    entry = Entry(one=[STARTING])
    outcome, took_ms = entry.send()
    assert outcome.unwrap_err().reason is Reason.NO_TARGET
    assert took_ms <= MAX_START_WAIT_MS
    assert len(entry.agents['one'].asked_ms) <= MAX_START_WAIT_MS / 500 + 1


# Guards against a third crash by a prompt whose agent has been restarted and
# has not read the quarantine yet.
def test_a_quarantine_is_known_while_its_agent_starts():
    entry = Entry(one=[ACCEPTS, STARTING], two=[ACCEPTS])
    outcome, _took_ms = entry.send()
    outcome.unwrap()
    quarantine = Quarantine()
    for crash in range(2):
        quarantine.on_crash([entry.agents['one'].fingerprint], crash)
    run_virtual(
        entry.clock,
        entry.key_value.compare_and_swap(
            QUARANTINE_KEY, 0, encode_state(quarantine.state)
        ),
    ).unwrap()
    outcome, _took_ms = entry.send()
    assert outcome.unwrap_err().reason is Reason.QUARANTINED


# Guards against queues in the entries: load is refused as before.
@pytest.mark.parametrize('reason', ['queue_full', 'cold', 'draining'])
def test_other_refusals_come_at_once(reason):
    entry = Entry(one=[Offer(reason, 300)])
    outcome, took_ms = entry.send()
    assert outcome.unwrap_err().retry_after_ms == 300
    assert took_ms < 1.0
    assert len(entry.agents['one'].asked_ms) == 1


# Guards against several requests at once to an agent that refused the first.
def test_a_refused_request_for_an_offer_is_an_answer():
    refused = Refused('unknown_kind', 'no role handles this kind', 0, True)
    entry = Entry(one=[refused])
    outcome, took_ms = entry.send()
    assert outcome.unwrap_err().reason is Reason.NO_TARGET
    assert took_ms < 1.0
    assert len(entry.agents['one'].asked_ms) == 1
