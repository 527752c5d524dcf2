"""What an agent answers before it has a configuration."""

import types

import pytest

from wigeonmill.agent.model_service import STARTING_RETRY_MS
from wigeonmill.agent.role import AgentRole
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Run


class Conn:
    def __init__(self):
        self.sent = []

    def send(self, envelope):
        self.sent.append(envelope)


def make_node():
    def subscribe(_listener):
        pass

    return types.SimpleNamespace(
        handlers=[],
        holder=types.SimpleNamespace(subscribe=subscribe, serial=0),
        membership=types.SimpleNamespace(subscribe=subscribe),
        metrics=Metrics(),
    )


def answer(envelope):
    node = make_node()
    AgentRole(node)
    conn = Conn()
    assert node.handlers[0](conn, envelope)
    assert node.metrics.value('agent_refusals', 'starting') == 1
    (reply,) = conn.sent
    assert reply.stream == envelope.stream
    return reply


# Guards against an answer that names no time, so that entries give up an
# agent that has not read its configuration yet.
def test_an_agent_without_a_configuration_says_that_it_starts():
    reply = answer(Envelope(Kind.OFFER_REQUEST, 5, 0, OfferRequest()))
    assert reply.offer.refusal == 'starting'
    assert reply.offer.retry_after_ms == STARTING_RETRY_MS


@pytest.mark.parametrize(
    'envelope',
    [Envelope(Kind.RUN, 5, run=Run()), Envelope(Kind.CALL, 5, call=Call())],
)
def test_work_for_an_agent_without_a_configuration_is_not_run(envelope):
    reply = answer(envelope)
    assert reply.refused.reason == 'starting'
    assert reply.refused.retry_after_ms == STARTING_RETRY_MS
    assert reply.refused.not_run


def test_other_messages_are_left_to_the_other_roles():
    node = make_node()
    AgentRole(node)
    conn = Conn()
    assert not node.handlers[0](conn, Envelope(Kind.ACK, 5))
    assert not conn.sent
