"""Large records are sent to other entries in parts."""

import random

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.record_sender import BUSY
from wigeonmill.gateway.record_sender import MAX_KEPT_BYTES
from wigeonmill.gateway.record_sender import MAX_SERVED
from wigeonmill.gateway.record_sender import PART_BYTES
from wigeonmill.gateway.record_sender import RecordSender
from wigeonmill.gateway.record_sender import SERVED_MS
from wigeonmill.gateway.record_sender import UNKNOWN
from wigeonmill.gateway.revisions import position
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import RecordPart

KEY = 'op/config'


def make_value(seed, size=3 * PART_BYTES):
    return random.Random(seed).randbytes(size)


class Peer:
    """An entry that has records."""

    def __init__(self, clock):
        self.mirror = Mirror()
        self.sender = RecordSender(clock, Metrics(), 'peer', self.mirror)

    def put(self, at, value):
        self.mirror.apply([Record(KEY, at, value)])


def ask(sender, name, at, offset=0):
    return sender.answer(RecordPart(name, KEY, at, 0, 0, offset))


def test_few_entries_are_served_at_the_same_time():
    clock = ManualClock(1_000.0)
    peer = Peer(clock)
    peer.put(7, make_value(1))
    for number in range(MAX_SERVED):
        assert ask(peer.sender, f'e{number}', 7).data
    assert ask(peer.sender, 'late', 7).refusal == BUSY
    assert ask(peer.sender, 'e0', 7, PART_BYTES).data
    clock.advance(SERVED_MS)
    assert ask(peer.sender, 'late', 7).data


def test_a_replaced_record_is_sent_until_too_much_is_kept():
    peer = Peer(ManualClock(1_000.0))
    size = MAX_KEPT_BYTES // 4
    for at in range(1, 5):
        peer.put(at, make_value(at, size))
    assert ask(peer.sender, 'e', 1).data
    peer.put(5, make_value(5, size))
    assert ask(peer.sender, 'e', 1).refusal == UNKNOWN
    assert ask(peer.sender, 'e', 5).data


def test_a_malformed_request_is_an_error():
    peer = Peer(ManualClock(1_000.0))
    for asked in (
        RecordPart('e', KEY, -1, 0, 0, 0),
        RecordPart('e', KEY, 7, 0, 0, -1),
    ):
        with pytest.raises(ValueError):
            peer.sender.answer(asked)


# Guards against CONFIG: a restore gives records that did not change another
# position, at which no entry would get them.
def test_a_record_that_outlived_a_restore_is_sent():
    peer = Peer(ManualClock(1_000.0))
    value = make_value(1)
    peer.put(7, value)
    restored = Record(KEY, position(1, 7), value)
    peer.mirror.replace([restored], position(1, 8))
    asked = RecordPart('e', KEY, 7, 1, 0, 0)
    assert peer.sender.answer(asked).data
