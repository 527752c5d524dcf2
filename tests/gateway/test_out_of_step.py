"""Streams taken up at an entry that has missed a new software version."""

import asyncio
import random

import pytest
from result import Err
from result import Ok

from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.origin_exchange import CONFIRM_TIMEOUT_MS
from wigeonmill.gateway.origin_exchange import FIND_TIMEOUT_MS
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.own_records import SOFTWARE_VERSIONS_KEY
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.sync import Changes
from wigeonmill.gateway.sync import CONFIRM_INTERVAL_MS
from wigeonmill.gateway.sync import MirrorSync
from wigeonmill.gateway.targets import Directory
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.gen.inner import ttypes
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

V1 = StreamOrigin(ENGINES, 'v1')
REPLY_S = 0.004
PEERS = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')


class Service:
    """A key-value service; calls across a cut get no reply."""

    def __init__(self):
        self.records = []
        self.cut = False
        self.calls = 0

    def put(self, key, value):
        self.records.append(Record(key, len(self.records) + 2, value))

    def list_target(self, id_, version):
        self.put(f'targets/{id_}', version.encode())

    @property
    def revision(self):
        return len(self.records) + 1

    async def listing(self):
        await asyncio.sleep(REPLY_S)
        return Ok(Changes(tuple(self.records), self.revision))

    async def changes(self, after, wait_ms, fresh):
        self.calls += 1
        if self.cut:
            await asyncio.sleep(wait_ms / 1000.0 + 0.6)
            return Err(KvError(KvErrorKind.UNAVAILABLE, 'no reply in time'))
        # A waiting watch hears nothing more once a cut has begun.
        waited_s = 0.0
        while waited_s < wait_ms / 1000.0 and self.revision <= after:
            await asyncio.sleep(REPLY_S)
            waited_s += REPLY_S
            if self.cut:
                await asyncio.sleep(wait_ms / 1000.0 - waited_s + 0.6)
                return Err(KvError(KvErrorKind.UNAVAILABLE, 'no reply'))
        later = tuple(r for r in self.records if r.revision > after)
        return Ok(Changes(later, self.revision))

    def adopt_era(self, at):
        pass


class Links:
    """Links to peers, of which some answer that they know no origin."""

    def __init__(self, answering=0):
        self.answering = PEERS[:answering]

    def addresses(self):
        return PEERS

    def is_connected(self, address):
        return True

    async def request(self, address, envelope, timeout_ms):
        if address not in self.answering:
            await asyncio.sleep(timeout_ms / 1000.0)
            return Err(PeerError(PeerErrorKind.TIMEOUT, 'no answer in time'))
        reply = ttypes.StreamOrigins(address, [], [])
        return Ok(
            Envelope(Kind.STREAM_ORIGINS_REPLY, 1, 0, stream_origins=reply)
        )


class OneReader:
    def count(self):
        return 1

    def is_selected(self, key, count):
        return True


class Entry:
    """An entry that follows the service and takes up streams."""

    def __init__(self, clock, service, answering=0):
        freshness = Freshness(clock)
        self.directory = Directory(clock)
        self.versions = SoftwareVersions(clock, self.directory, freshness)
        self.metrics = Metrics()
        mirror = Mirror()
        mirror.subscribe(self._apply)
        self.sync = MirrorSync(
            service,
            mirror,
            clock,
            random.Random(1),
            self.metrics,
            lambda connected: None,
            freshness,
            OneReader(),
        )
        self.origins = SharedStreamOrigins(
            clock,
            self.metrics,
            'a',
            Links(answering),
            self.versions.only_version,
            confirm_copy=self.sync.confirm,
        )

    def _apply(self, record):
        if record.key == SOFTWARE_VERSIONS_KEY:
            self.versions.update(record)
            return
        id_ = record.key.removeprefix('targets/')
        version = record.value.decode()
        self.directory.apply(
            make_engine_record(id_, address=id_, software_version=version)
        )

    async def find(self, request_id='q1'):
        return await self.origins.find(request_id, ENGINES)


def follow(check, answering=0):
    """Run `check(clock, service, entry)` once the entry knows version 1."""
    clock = ManualClock(1_000_000.0)
    service = Service()
    service.list_target('e1', 'v1')
    service.put(
        SOFTWARE_VERSIONS_KEY, b'{"versions":{"%s":["v1"]}}' % ENGINES.encode()
    )

    async def run():
        entry = Entry(clock, service, answering)
        entry.sync.start()
        await asyncio.sleep(1.0)
        try:
            await check(clock, service, entry)
        finally:
            entry.sync.close()

    run_virtual(clock, run())


# Guards against ORDER: an entry that was cut off for less than it takes to
# notice took streams of a version that had joined meanwhile up at the old one.
@pytest.mark.parametrize('cut_s', [0.5, 1.0, 2.0, 2.9, 3.5, 6.0])
@pytest.mark.parametrize('after_s', [-0.02, 0.0, 0.05, 0.5])
def test_a_stream_is_not_taken_up_at_the_old_version(cut_s, after_s):
    async def check(clock, service, entry):
        service.cut = True
        await asyncio.sleep(cut_s / 2)
        service.list_target('e2', 'v2')
        await asyncio.sleep(cut_s / 2 + min(after_s, 0.0))
        if after_s < 0:
            found = asyncio.ensure_future(entry.find())
            await asyncio.sleep(-after_s)
            service.cut = False
            assert await found is None
            return
        service.cut = False
        await asyncio.sleep(after_s)
        assert await entry.find() is None

    follow(check)


class SuspendedClock(ManualClock):
    """A clock whose monotonic time stops while the process is suspended."""

    suspended_ms = 0.0

    def boot_ms(self):
        return self.now_ms() + self.suspended_ms


@pytest.mark.parametrize('suspended_s', [0.5, 2.0, 2.9, 6.0])
def test_a_suspended_entry_takes_no_stream_up_at_the_old_version(suspended_s):
    clock = SuspendedClock(1_000_000.0)
    service = Service()
    service.list_target('e1', 'v1')
    service.put(
        SOFTWARE_VERSIONS_KEY, b'{"versions":{"%s":["v1"]}}' % ENGINES.encode()
    )

    async def run():
        entry = Entry(clock, service)
        entry.sync.start()
        await asyncio.sleep(1.0)
        finding = asyncio.ensure_future(entry.find())
        await asyncio.sleep(0.01)
        clock.suspended_ms = suspended_s * 1_000.0
        service.list_target('e2', 'v2')
        await finding
        try:
            assert await entry.find('q2') is None
        finally:
            entry.sync.close()

    run_virtual(clock, run())


# Guards against LOST: a stream of the only version is taken up without delay.
def test_a_stream_of_the_only_version_is_taken_up():
    async def check(clock, service, entry):
        started_ms = clock.now_ms()
        assert await entry.find() == V1
        took_ms = clock.now_ms() - started_ms
        assert took_ms <= FIND_TIMEOUT_MS + CONFIRM_INTERVAL_MS

    follow(check)


def test_streams_that_break_together_share_a_call():
    async def check(clock, service, entry):
        service.calls = 0
        found = await asyncio.gather(
            *(entry.find(f'q{number}') for number in range(200))
        )
        assert found == [V1] * 200
        assert service.calls <= 3

    follow(check)


@pytest.mark.parametrize(
    ('answering', 'expected'), [(0, None), (1, None), (2, V1), (3, V1)]
)
def test_most_peers_must_answer_while_the_service_does_not(
    answering, expected
):
    async def check(clock, service, entry):
        service.cut = True
        started_ms = clock.now_ms()
        assert await entry.find() == expected
        took_ms = clock.now_ms() - started_ms
        assert took_ms <= FIND_TIMEOUT_MS + CONFIRM_TIMEOUT_MS + 10.0
        assert entry.metrics.value('stream_origins_found', 'unknown') == (
            expected is None
        )

    follow(check, answering)
