"""What callers of plain services are told about runs."""

import asyncio
import hashlib
import random

import pytest
from result import Ok

from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import CallRule
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import FailureDomain
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.plain import final_error
from wigeonmill.entry.server import EntryServer
from wigeonmill.keys import hash_key
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import CallReply
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import INITIAL_RETRIES
from wigeonmill.settings import EntrySettings
from wigeonmill.standins.memory_key_value import MemoryKeyValue

FULL = ApiError(Reason.OVERLOADED, 'all targets are busy', 400)
STARTING = Refused('starting', '', 100, True)
BOOKED = CallReply(200, [], b'booked', hashlib.sha256(b'booked').digest())
RAN = ApiError(Reason.TARGET_ERROR, 'status 500', 0, not_run=False)


@pytest.mark.parametrize('error', [FULL, RAN])
def test_a_refusal_of_the_first_target_is_passed_on(error):
    assert final_error(error, Attempts(1_000.0, True)) is error


def test_a_later_refusal_does_not_deny_an_earlier_run():
    """The first target lost its connection; the second one is full."""
    attempts = Attempts(1_000.0, True)
    attempts.may_have_started = True
    error = final_error(FULL, attempts)
    assert error.reason is Reason.OUTCOME_UNKNOWN
    assert not error.not_run
    assert final_error(RAN, attempts) is RAN


class Agent:
    """Answers calls in turn; the last answer repeats."""

    def __init__(self, *answers):
        self.answers = answers
        self.calls = 0

    async def request(self, _envelope, _timeout_ms):
        answer = self.answers[min(self.calls, len(self.answers) - 1)]
        self.calls += 1
        if isinstance(answer, Refused):
            return Ok(Envelope(Kind.REFUSED, refused=answer))
        return Ok(Envelope(Kind.CALL_REPLY, call_reply=answer))


class Entry:
    """An entry before one target of a ledger."""

    def __init__(self, agent):
        metrics = Metrics()
        holder = ConfigHolder(metrics)
        service = Service(
            'ledger',
            ServiceKind.PLAIN,
            [Target('one', 'domain', 'one', 'one')],
            non_repeatable=[CallRule('POST', '/credits')],
        )
        document = Document(
            [service],
            [FailureDomain('domain', 'region')],
            [Team('alpha', [hash_key('key')], 1, 100)],
            [],
        )
        holder.adopt(ConfigRecord(1, 'id', 'me', 0, document))
        clock = Clock()
        self.context = EntryContext(
            EntrySettings(http='127.0.0.1:0'),
            holder,
            {'one': agent},
            MemoryKeyValue(clock),
            clock,
            random.Random(1),
            metrics,
        )

    def book(self, deadline_ms=10_000, timeout_ms=20_000):
        """Send a credit; return the reply, or None if there was none."""
        return asyncio.run(self._book(deadline_ms, timeout_ms))

    async def _book(self, deadline_ms, timeout_ms):
        server = EntryServer(self.context)
        address = server.listen()
        http = HttpClient(Clock())
        headers = {
            'Authorization': 'Bearer key',
            'Idempotency-Key': 'k1',
            'X-Deadline-Ms': str(deadline_ms),
        }
        url = f'http://{address}/v1/services/ledger/credits'
        call = HttpCall('POST', url, timeout_ms, b'{}', headers)
        try:
            sent = await http.send(call)
            if sent.is_err():
                # Time in which a further call would be sent.
                await asyncio.sleep(0.3)
        finally:
            http.close()
            server.stop_listening()
            await server.close()
        return sent.unwrap_or(None)


# Guards against a 503 no_target for a call with seconds left, as the only
# agent had just started.
def test_a_call_waits_for_its_only_starting_agent():
    agent = Agent(*[STARTING] * 5, BOOKED)
    entry = Entry(agent)
    reply = entry.book()
    assert (reply.status, reply.body) == (200, b'booked')
    assert agent.calls == 6
    metrics = entry.context.metrics
    assert metrics.value('calls_repeated', 'starting') == 5
    assert metrics.reasons('retries') == {}
    assert entry.context.budget.available >= INITIAL_RETRIES


# Guards against a wait that can't end before the deadline.
def test_a_call_that_can_not_wait_for_the_start_is_refused_at_once():
    agent = Agent(STARTING)
    reply = Entry(agent).book(deadline_ms=90)
    assert reply.status == 503
    assert b'"not_run":true' in reply.body
    assert agent.calls == 1


# Guards against a second start of a call that may have run.
def test_a_call_that_may_have_run_is_not_repeated_after_a_start():
    may_have_run = Refused('interrupted', '', 0, False)
    agent = Agent(STARTING, may_have_run, BOOKED)
    reply = Entry(agent).book()
    assert reply.status == 502
    assert agent.calls == 2


# Guards against a call that is sent only after its caller has left.
def test_a_call_whose_caller_leaves_during_the_wait_is_not_sent():
    agent = Agent(STARTING, BOOKED)
    assert Entry(agent).book(timeout_ms=50) is None
    assert agent.calls == 1
