"""Tests how the origins of streams outlive the entries that began them."""

import asyncio
import logging

from result import Err
from result import Ok

from tests.gateway.samples import make_engine_record
from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway import origin_exchange
from wigeonmill.gateway.origin_exchange import FIND_TIMEOUT_MS
from wigeonmill.gateway.origin_exchange import MAX_ASKED_PEERS
from wigeonmill.gateway.origin_exchange import MAX_PENDING
from wigeonmill.gateway.origin_exchange import MAX_REQUEST_ID_LENGTH
from wigeonmill.gateway.origin_exchange import REPLICAS
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.stream_origins import MAX_ORIGINS
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.codec import decode_body
from wigeonmill.protocol.codec import encode_frame
from wigeonmill.protocol.codec import LENGTH_BYTES
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import StreamOrigin
from wigeonmill.protocol.gen.inner.ttypes import StreamOrigins

SERVICE = 'engines'
DELAY_S = 0.01
V1 = Target(make_engine_record('e1', software_version='v1'), ManualClock())
V2 = Target(make_engine_record('e2', software_version='v2'), ManualClock())


def over_the_wire(envelope):
    return decode_body(encode_frame(envelope)[LENGTH_BYTES:]).unwrap()


class Links:
    """The connections of one entry to the others of a fleet."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address
        self.unconnected = set()

    def addresses(self):
        return [a for a in self._fleet.listed if a != self._address]

    def is_connected(self, address):
        return (
            address in self._fleet.entries and address not in self.unconnected
        )

    async def connect(self, address):
        await asyncio.sleep(DELAY_S)
        if address in self._fleet.entries:
            self.unconnected.discard(address)
        return self.is_connected(address)

    def notify(self, address, envelope):
        if not self.is_connected(address):
            return False
        self._fleet.messages.append((address, envelope.stream_origins))
        asyncio.get_running_loop().call_later(
            DELAY_S, self._fleet.deliver, address, over_the_wire(envelope)
        )
        return True

    async def request(self, address, envelope, timeout_ms):
        self._fleet.asked.append(address)
        if not await self.connect(address):
            return Err(PeerError(PeerErrorKind.UNREACHABLE, 'gone'))
        if address in self._fleet.silent:
            await asyncio.sleep(timeout_ms / 1000.0)
            return Err(PeerError(PeerErrorKind.TIMEOUT, 'no answer in time'))
        reply = self._fleet.deliver(address, over_the_wire(envelope))
        return Ok(over_the_wire(reply))


class Fleet:
    """Entries that exchange origins over links without a network.

    A silent one answers nothing, like an entry that doesn't know the message.
    """

    def __init__(self, count):
        self.clock = ManualClock()
        self.listed = [f'10.0.0.{n}:1' for n in range(count)]
        self.entries = {}
        self.links = {}
        self.silent = set()
        self.messages = []
        self.asked = []
        for address in self.listed:
            self.start(address)

    def start(self, address):
        links = Links(self, address)
        self.links[address] = links
        self.entries[address] = SharedStreamOrigins(
            self.clock, Metrics(), address, links
        )

    def kill(self, address):
        del self.entries[address]

    def deliver(self, address, envelope):
        entry = self.entries.get(address)
        if entry is None or address in self.silent:
            return None
        return entry.answer(envelope)

    def holders(self, request_id):
        return [
            address
            for address, entry in self.entries.items()
            if entry._local.get(request_id) is not None
        ]

    def found(self, address, source):
        metrics = self.entries[address]._metrics
        return metrics.value('stream_origins_found', source)

    def run(self, check):
        run_virtual(self.clock, check())


async def settle():
    await asyncio.sleep(0.1)


def test_a_peer_finds_the_origin_after_the_first_entry_is_killed():
    fleet = Fleet(6)
    first, *others = fleet.listed

    async def check():
        fleet.entries[first].record('q1', V1)
        await settle()
        assert len(fleet.holders('q1')) == 1 + REPLICAS
        fleet.kill(first)
        for address in others:
            found = await fleet.entries[address].find('q1', SERVICE)
            assert found == origin_of(V1)
        sources = [
            (fleet.found(a, 'local'), fleet.found(a, 'peer')) for a in others
        ]
        assert sorted(sources) == [(0, 1)] * 2 + [(1, 0)] * REPLICAS

    fleet.run(check)


def test_an_origin_outlives_the_first_entry_and_all_replicas_but_one():
    fleet = Fleet(30)

    async def check():
        fleet.entries[fleet.listed[0]].record('q1', V1)
        await settle()
        for address in fleet.holders('q1')[:-1]:
            fleet.kill(address)
        survivors = [a for a in fleet.entries if a != fleet.holders('q1')[0]]
        for address in survivors[:3]:
            found = await fleet.entries[address].find('q1', SERVICE)
            assert found == origin_of(V1)

    fleet.run(check)


def test_entries_that_all_restart_know_no_origin(caplog):
    fleet = Fleet(4)
    caplog.set_level(logging.INFO)

    async def check():
        fleet.entries[fleet.listed[0]].record('q1', V1)
        await settle()
        for address in fleet.listed:
            fleet.start(address)
        assert await fleet.entries[fleet.listed[1]].find('q1', SERVICE) is None
        assert fleet.found(fleet.listed[1], 'unknown') == 1

    fleet.run(check)
    (line,) = caplog.records
    assert (line.id, line.asked, line.answered) == ('q1', 3, 3)
    assert line.took_ms < FIND_TIMEOUT_MS


def test_an_entry_that_restarts_learns_its_origins_from_the_peers():
    fleet = Fleet(4)
    first = fleet.listed[0]

    async def check():
        fleet.entries[first].record('q1', V1)
        await settle()
        fleet.start(first)
        assert await fleet.entries[first].find('q1', SERVICE) == origin_of(V1)

    fleet.run(check)


def test_silent_peers_delay_a_request_by_the_timeout_at_most():
    fleet = Fleet(4)
    first, second, *others = fleet.listed
    fleet.silent = set(others)

    async def check():
        started_ms = fleet.clock.now_ms()
        assert await fleet.entries[first].find('q1', SERVICE) is None
        took_ms = fleet.clock.now_ms() - started_ms
        assert FIND_TIMEOUT_MS <= took_ms <= FIND_TIMEOUT_MS + 1.0

    fleet.run(check)


def test_a_known_origin_does_not_wait_for_silent_peers():
    fleet = Fleet(5)
    first, second, third, *others = fleet.listed
    fleet.silent = set(others)

    async def check():
        fleet.entries[second].record('q1', V1)
        await settle()
        fleet.start(first)
        started_ms = fleet.clock.now_ms()
        assert await fleet.entries[first].find('q1', SERVICE) == origin_of(V1)
        assert fleet.clock.now_ms() - started_ms < 2_000.0 * DELAY_S

    fleet.run(check)


def test_nothing_is_asked_without_a_request_id():
    fleet = Fleet(3)

    async def check():
        entry = fleet.entries[fleet.listed[0]]
        assert await entry.find('', SERVICE) is None
        assert await entry.find('q' * 10_000, SERVICE) is None
        assert fleet.asked == []

    fleet.run(check)


def test_a_bounded_number_of_peers_is_asked():
    fleet = Fleet(40)

    async def check():
        await fleet.entries[fleet.listed[0]].find('q1', SERVICE)
        assert len(set(fleet.asked)) == MAX_ASKED_PEERS == len(fleet.asked)

    fleet.run(check)


# A stream that is begun again elsewhere must not resume at the earlier
# version, though the peers that rank first have changed in between.
def test_a_later_send_replaces_the_origin_at_every_replica():
    fleet = Fleet(12)
    first = fleet.listed[0]

    async def check():
        fleet.entries[first].record('q1', V1)
        await settle()
        earlier = [a for a in fleet.holders('q1') if a != first]
        fleet.links[first].unconnected.update(earlier[:2])
        fleet.entries[first].record('q1', V2)
        await settle()
        fleet.kill(first)
        assert len(fleet.holders('q1')) > REPLICAS
        for address in fleet.holders('q1'):
            found = await fleet.entries[address].find('q1', SERVICE)
            assert found == origin_of(V2)

    fleet.run(check)


def test_peers_without_a_connection_are_replaced():
    fleet = Fleet(8)
    first = fleet.listed[0]

    async def check():
        lost = fleet.listed[1:5]
        for address in lost:
            fleet.kill(address)
        for number in range(20):
            fleet.entries[first].record(f'q{number}', V1)
        await settle()
        for number in range(20):
            assert len(fleet.holders(f'q{number}')) == 1 + REPLICAS

    fleet.run(check)


def test_an_entry_that_has_just_started_connects_to_its_peers():
    fleet = Fleet(4)
    first = fleet.listed[0]

    async def check():
        fleet.links[first].unconnected.update(fleet.listed)
        fleet.entries[first].record('q1', V1)
        fleet.entries[first].record('q2', V1)
        await settle()
        assert len(fleet.holders('q1')) == 4
        assert len(fleet.holders('q2')) == 4

    fleet.run(check)


def test_origins_recorded_together_are_sent_together():
    fleet = Fleet(4)
    first = fleet.listed[0]

    async def check():
        for number in range(50):
            fleet.entries[first].record(f'q{number}', V1)
        fleet.entries[first].record('q7', V2)
        await settle()
        assert len(fleet.messages) == REPLICAS
        for _address, message in fleet.messages:
            assert len(message.begun) == 50
            versions = {o.request: o.software_version for o in message.begun}
            assert versions['q7'] == 'v2'

    fleet.run(check)


def test_origins_for_an_unreachable_peer_are_bounded():
    fleet = Fleet(2)
    first, second = fleet.listed
    fleet.kill(second)

    async def check():
        entry = fleet.entries[first]
        for number in range(MAX_PENDING + 10):
            entry.record(f'q{number}', V1)
        assert len(entry._pending[second]) == MAX_PENDING
        await settle()
        assert not entry._pending
        value = entry._metrics.value
        assert value('stream_origins_not_sent', 'queue_full') == 10
        assert value('stream_origins_not_sent', 'unreachable') == MAX_PENDING

    fleet.run(check)


def test_the_origins_of_others_are_bounded(monkeypatch):
    monkeypatch.setattr(origin_exchange, 'MAX_ORIGINS', 100)
    fleet = Fleet(2)
    first, second = fleet.listed

    async def check():
        for start in range(0, MAX_ORIGINS + 100, 500):
            for number in range(start, start + 500):
                fleet.entries[first].record(f'q{number}', V1)
            await settle()
        kept = fleet.entries[second]._local
        assert kept.get('q0') is None
        assert kept.get(f'q{MAX_ORIGINS}') == origin_of(V1)
        assert len(fleet.entries[first]._replicas) == 100

    fleet.run(check)


def test_the_origin_of_a_target_without_a_version_is_shared():
    fleet = Fleet(3)
    first, second, _third = fleet.listed
    target = Target(make_engine_record('e3'), ManualClock())

    async def check():
        fleet.entries[first].record('q1', target)
        await settle()
        found = await fleet.entries[second].find('q1', SERVICE)
        assert found.may_resume_at(target)

    fleet.run(check)


# Guards against running out of memory: ids of any length were kept, although
# no entry looks up one over the limit.
def test_an_id_over_the_limit_is_not_kept():
    fleet = Fleet(2)
    first = fleet.listed[0]
    long_id = 'q' * (MAX_REQUEST_ID_LENGTH + 1)

    async def check():
        fleet.entries[first].record(long_id, V1)
        await settle()
        assert await fleet.entries[first].find(long_id, SERVICE) is None


# Guards against ORDER: a replica that missed the replacement of an origin
# resumed the stream at the target that never brought an event.
def test_a_replica_that_missed_a_replacement_does_not_resume_the_stream():
    fleet = Fleet(4)
    first, stale = fleet.listed[:2]

    async def check():
        fleet.entries[first].record('q1', V1)
        await settle()
        fleet.silent.add(stale)
        fleet.entries[first].record('q1', V2)
        await settle()
        fleet.silent.clear()
        fleet.kill(first)
        found = await fleet.entries[stale].find('q1', SERVICE)
        assert found in (None, origin_of(V2))

    fleet.run(check)


# Guards against ORDER: messages on one stream may arrive in any order.
def test_an_origin_that_arrives_late_does_not_replace_a_later_one():
    fleet = Fleet(4)
    first, second, *others = fleet.listed

    async def check():
        fleet.entries[first].record('q1', V1)
        fleet.entries[first].record('q1', V2)
        await settle()
        (late,) = [
            message for address, message in fleet.messages if address == second
        ]
        late.begun[0].software_version = V1.software_version
        late.begun[0].number = 1
        envelope = Envelope(Kind.STREAM_ORIGINS, 0, 0, stream_origins=late)
        fleet.deliver(second, over_the_wire(envelope))
        fleet.kill(first)
        fleet.silent = set(others)
        found = await fleet.entries[second].find('q1', SERVICE)
        assert found == origin_of(V2)

    fleet.run(check)


def test_a_replica_asks_no_further_than_the_entry_that_began_the_stream():
    fleet = Fleet(4)
    first, second, *others = fleet.listed
    fleet.silent = set(others)

    async def check():
        fleet.entries[first].record('q1', V1)
        await settle()
        started_ms = fleet.clock.now_ms()
        assert await fleet.entries[second].find('q1', SERVICE) == origin_of(V1)
        assert fleet.clock.now_ms() - started_ms < FIND_TIMEOUT_MS

    fleet.run(check)


# Guards against a broken peer that fills the memory with one message.
def test_the_origins_in_one_message_are_bounded():
    fleet = Fleet(2)
    address = fleet.listed[0]

    async def check():
        begun = [
            StreamOrigin(f'q{n}', SERVICE, 'v1', 't', 1, 1, True)
            for n in range(MAX_PENDING + 1)
        ]
        message = StreamOrigins('x', begun, [])
        envelope = Envelope(Kind.STREAM_ORIGINS, 0, 0, stream_origins=message)
        fleet.entries[address].answer(envelope)
        known = fleet.entries[address]._local
        assert known.get(f'q{MAX_PENDING - 1}') is not None
        assert known.get(f'q{MAX_PENDING}') is None

    fleet.run(check)
