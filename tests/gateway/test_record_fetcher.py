"""Large records are fetched from other entries in parts."""

import asyncio
import random

import pytest
from result import Err
from result import Ok

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.record_fetcher import RecordFetcher
from wigeonmill.gateway.record_sender import PART_BYTES
from wigeonmill.gateway.record_sender import RecordSender
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind

KEY = 'op/config'
PARTS = 4
TIMEOUT_S = 5.0


def make_value(seed, size=PARTS * PART_BYTES - 100):
    return random.Random(seed).randbytes(size)


class Peer:
    """An entry that has records and may fail to answer."""

    def __init__(self, clock=None):
        self.mirror = Mirror()
        self.sender = RecordSender(
            clock or Clock(), Metrics(), 'peer', self.mirror
        )
        self.asked = []
        # Number of requests that are answered before it falls silent.
        self.answers = 1_000

    def put(self, at, value):
        self.mirror.apply([Record(KEY, at, value)])

    def answer(self, asked):
        self.asked.append(asked.offset)
        return self.sender.answer(asked)


class Receiver:
    """An entry that fetches records from peers by address."""

    def __init__(self, peers):
        self.mirror = Mirror()
        self._peers = peers
        self.metrics = Metrics()
        self.on_part = lambda: None
        self.received = asyncio.Event()
        self.fetcher = RecordFetcher(
            Clock(),
            self.metrics,
            'receiver',
            self.mirror,
            self._ask,
            self.received.set,
        )

    async def _ask(self, address, envelope, timeout_ms):
        await asyncio.sleep(0)
        peer = self._peers[address]
        peer.answers -= 1
        if peer.answers < 0:
            return Err(PeerError(PeerErrorKind.TIMEOUT, 'no answer in time'))
        self.on_part()
        reply = peer.answer(envelope.record_part)
        return Ok(Envelope(Kind.RECORD_PART_REPLY, 1, 0, record_part=reply))

    async def until(self, value):
        async with asyncio.timeout(TIMEOUT_S):
            while not self.has(value):
                await asyncio.sleep(0.001)

    def has(self, value):
        record = self.mirror.get(KEY)
        return record is not None and record.value == value


def transfer(check, count=2):
    async def run():
        peers = {f'p{number}': Peer() for number in range(count)}
        receiver = Receiver(peers)
        try:
            await check(receiver, *peers.values())
        finally:
            receiver.fetcher.close()

    asyncio.run(run())


def test_a_record_arrives_in_parts():
    async def check(receiver, peer, _other):
        value = make_value(1)
        peer.put(7, value)
        receiver.fetcher.fetch(KEY, 7, 'p0')
        await receiver.until(value)
        assert receiver.mirror.get(KEY).revision == 7
        assert len(peer.asked) == PARTS
        assert receiver.received.is_set()

    transfer(check)


# Guards against CONFIG: a transfer that was broken off began anew, and its
# link was full of bytes that had arrived before.
@pytest.mark.parametrize('answers', range(PARTS))
def test_another_entry_goes_on_where_one_fell_silent(answers):
    async def check(receiver, peer, other):
        value = make_value(1)
        peer.put(7, value)
        other.put(7, value)
        peer.answers = answers
        receiver.fetcher.fetch(KEY, 7, 'p0')
        receiver.fetcher.fetch(KEY, 7, 'p1')
        await receiver.until(value)
        assert other.asked[0] == answers * PART_BYTES
        assert len(peer.asked) + len(other.asked) == PARTS

    transfer(check)


def test_a_transfer_without_any_entry_left_goes_on_later():
    async def check(receiver, peer, other):
        value = make_value(1)
        peer.put(7, value)
        other.put(7, value)
        peer.answers = 2
        receiver.fetcher.fetch(KEY, 7, 'p0')
        await asyncio.sleep(0.05)
        assert not receiver.has(value)
        receiver.fetcher.fetch(KEY, 7, 'p1')
        await receiver.until(value)
        assert other.asked[0] == 2 * PART_BYTES

    transfer(check)


# Guards against CONFIG: with versions in quick succession none was complete
# before the next one took its place.
def test_a_transfer_is_finished_before_that_of_a_newer_record_begins():
    async def check(receiver, peer, _other):
        first, second = make_value(1), make_value(2)
        seen = []
        receiver.mirror.subscribe(lambda record: seen.append(record.revision))
        peer.put(7, first)

        def replace():
            if len(peer.asked) == 2:
                for at in (8, 9):
                    peer.put(at, second)
                    receiver.fetcher.fetch(KEY, at, 'p0')

        receiver.on_part = replace
        receiver.fetcher.fetch(KEY, 7, 'p0')
        await receiver.until(second)
        assert seen == [7, 9]

    transfer(check)


def test_only_what_changed_is_sent_to_an_entry_with_the_earlier_record():
    async def check(receiver, peer, _other):
        lines = [b'{"route": "%08d"}\n' % number for number in range(20_000)]
        first = b''.join(lines)
        lines[9_000] = b'{"route": "another"}\n'
        second = b''.join(lines)
        peer.put(7, first)
        peer.put(8, second)
        receiver.mirror.apply([Record(KEY, 7, first)])
        receiver.fetcher.fetch(KEY, 8, 'p0')
        await receiver.until(second)
        assert peer.asked == [0]

    transfer(check)


def test_a_record_that_arrived_otherwise_is_not_fetched_on():
    async def check(receiver, peer, _other):
        value = make_value(1)
        peer.put(7, value)
        receiver.on_part = lambda: receiver.mirror.apply(
            [Record(KEY, 9, make_value(9))]
        )
        receiver.fetcher.fetch(KEY, 7, 'p0')
        await asyncio.sleep(0.05)
        assert peer.asked == [0]
        assert receiver.mirror.get(KEY).revision == 9

    transfer(check)


def test_an_entry_without_the_record_is_not_asked_again():
    async def check(receiver, peer, other):
        value = make_value(1)
        other.put(7, value)
        receiver.fetcher.fetch(KEY, 7, 'p0')
        receiver.fetcher.fetch(KEY, 7, 'p1')
        await receiver.until(value)
        assert len(peer.asked) == 1

    transfer(check)


def test_a_damaged_transfer_is_repeated_from_another_entry():
    async def check(receiver, peer, other):
        value = make_value(1)
        peer.put(7, value)
        other.put(7, value)
        intact = peer.sender.answer

        def damage(asked):
            part = intact(asked)
            part.data = bytes(len(part.data))
            return part

        peer.answer = damage
        receiver.fetcher.fetch(KEY, 7, 'p0')
        receiver.fetcher.fetch(KEY, 7, 'p1')
        await receiver.until(value)

    transfer(check)
