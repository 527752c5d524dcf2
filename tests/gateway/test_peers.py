"""Entries exchange updates over real connections on loopback."""

import asyncio
from math import inf
from math import nan
import random

import pytest

from tests.gateway.samples import make_engine_record
from wigeonmill.clock import Clock
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_event_exchange import CacheEventExchange
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.loss_log import RunOutcome
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.peers import Peers
from wigeonmill.gateway.peers import UPDATE_INTERVAL_MS
from wigeonmill.gateway.revisions import position
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.suspicions import CONNECT_MS
from wigeonmill.gateway.target_limit import LimitStatement
from wigeonmill.gateway.target_limit import MAX_TRANSIT_MS
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import EntryNews
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import LimitNotice
from wigeonmill.protocol.gen.inner.ttypes import PartOutcome
from wigeonmill.protocol.gen.inner.ttypes import PartQuarantine
from wigeonmill.protocol.gen.inner.ttypes import RecordPart
from wigeonmill.protocol.gen.inner.ttypes import StoreRecord
from wigeonmill.protocol.handshake import InnerKeys

KEYS = InnerKeys((b'k' * 32,))
WAIT_S = 5.0


class CountingMirror(Mirror):
    """Counts how often its changes are requested."""

    def __init__(self):
        super().__init__()
        self.request_count = 0

    def changes_since(self, revision):
        self.request_count += 1
        return super().changes_since(revision)


class Entry:
    """The peer exchange of one entry, with its mirror and targets."""

    def __init__(
        self,
        name,
        addresses,
        keys=KEYS,
        clock=None,
        address='127.0.0.1:0',
        prefers_domain=False,
    ):
        clock = clock or Clock()
        self.ctx = GatewayContext(
            clock, random.Random(1), Metrics(), RetryLimits(), lambda: 2
        )
        self.ctx.directory.apply(make_engine_record('e0'))
        self.mirror = CountingMirror()
        self.view = make_store_view(clock)
        self.peers = Peers(
            self.ctx,
            self.mirror,
            name,
            lambda: addresses,
            lambda: keys,
            CacheEventExchange(self),
            random.Random(2),
            'd0',
            prefers_domain,
        )
        self.address = self.peers.listen(address)

    def views(self):
        return [self.view]

    def find(self, address):
        return self.view if address == self.view.address else None

    @property
    def load(self):
        return self.ctx.directory.get('e0').load


class FakeConn:
    """Keeps the replies to a peer."""

    def __init__(self):
        self.sent = []

    def send(self, reply):
        self.sent.append(reply)


def make_store_view(clock):
    view = StoreView(clock, '127.0.0.1:1')
    view.apply_listing(CacheListing(1, 5, ()))
    return view


async def wait_until(condition):
    async def poll():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), WAIT_S)


def run_with_entries(check, other_count, keys):
    async def run():
        addresses = []
        first = Entry('a', addresses)
        others = [Entry(f'b{n}', [], keys) for n in range(other_count)]
        addresses.extend(entry.address for entry in others)
        task = asyncio.ensure_future(first.peers.run())
        try:
            await check(first, *others)
        finally:
            task.cancel()
            for entry in (first, *others):
                entry.peers.close()

    asyncio.run(run())


def run_with_two(check, second_keys=KEYS):
    run_with_entries(check, 1, second_keys)


def test_an_entry_learns_changes_from_a_peer():
    async def check(first, second):
        second.mirror.apply([Record('op/config', 7, b'new')])
        second.mirror.advance(7)
        await wait_until(lambda: first.mirror.complete == 7)
        assert first.mirror.get('op/config').value == b'new'

    run_with_two(check)


# Guards against CONFIG: a peer that had not heard of the restore brought the
# records from before it back.
@pytest.mark.parametrize('asks', [True, False])
@pytest.mark.parametrize('size', [3, 100_000])
def test_the_entry_of_the_later_era_informs_the_other(asks, size):
    async def check(first, second):
        applied = []
        earlier, later = (first, second) if asks else (second, first)
        earlier.mirror.replace(
            [Record('op/config', 90, b'old'), Record('op/gone', 91, b'x')], 95
        )
        value = random.Random(1).randbytes(size)
        record = Record('op/config', position(1, 40), value)
        earlier.mirror.subscribe_restores(lambda _at: applied.append('era'))
        earlier.mirror.subscribe(lambda found: applied.append(found.key))
        later.mirror.replace([record], position(1, 42))
        if asks:
            await wait_until(
                lambda: earlier.mirror.complete == position(1, 42)
            )
            assert earlier.mirror.present() == [record]
            assert applied == ['era', 'op/config', 'op/gone']
        await asyncio.sleep(2.5 * UPDATE_INTERVAL_MS / 1_000.0)
        assert later.mirror.present() == [record]

    run_with_two(check)


# Guards against a rolling update: an entry that knows no eras gets the changes
# after its revision, and its records count as of the earliest era.
def test_an_entry_without_eras_is_understood():
    async def check(first, second):
        second.mirror.replace([], position(3, 5))
        second.mirror.apply([Record('op/a', position(3, 7), b'a')])
        second.mirror.advance(position(3, 7))
        conn = FakeConn()
        update = EntryNews(
            sender='old',
            known_to=6,
            records=[StoreRecord('op/a', 90, False, b'old')],
            records_to=90,
        )
        envelope = Envelope(Kind.ENTRY_NEWS, 1, 0, entry_news=update)
        second.peers._on_envelope(conn, envelope)
        assert second.mirror.get('op/a').value == b'a'
        answer = conn.sent[0].entry_news
        assert (answer.known_to, answer.records_to) == (7, 7)
        assert answer.records == [StoreRecord('op/a', 7, False, b'a')]
        assert not answer.listing

    run_with_two(check)


@pytest.mark.parametrize(
    ('era', 'revision'), [(-1, 9), (0, -5), (0, 2**62), (2**62, 9)]
)
def test_an_update_with_malformed_revisions_changes_no_record(era, revision):
    async def check(first, second):
        update = EntryNews(
            sender='b',
            known_to=revision,
            records=[StoreRecord('op/a', revision, False, b'a')],
            records_to=revision,
            store_era=era,
        )
        envelope = Envelope(Kind.ENTRY_NEWS, 1, 0, entry_news=update)
        conn = FakeConn()
        second.peers._on_envelope(conn, envelope)
        assert second.mirror.get('op/a') is None
        assert len(conn.sent) == 1

    run_with_two(check)


LARGE = random.Random(1).randbytes(100_000)


def test_an_entry_gets_a_large_record_from_a_peer():
    async def check(entry, other):
        other.mirror.apply([Record('op/config', 3, LARGE)])
        other.mirror.apply([Record('op/b', 4, b'x')])
        other.mirror.advance(9)
        await wait_until(lambda: entry.mirror.complete == 9)
        assert entry.mirror.get('op/config').value == LARGE
        assert entry.mirror.get('op/b').value == b'x'

    run_with_entries(check, 1, KEYS)


def test_a_listing_of_a_peer_has_its_large_records():
    async def check(entry, other):
        entry.mirror.apply([Record('op/old', 2, b'x')])
        records = [Record('op/config', 3, LARGE), Record('op/b', 4, b'x')]
        other.mirror.replace(records, 9)
        await wait_until(lambda: entry.mirror.complete == 9)
        present = {record.key for record in entry.mirror.present()}
        assert present == {'op/config', 'op/b'}

    run_with_entries(check, 1, KEYS)


@pytest.mark.parametrize('records_apart', [None, True])
def test_an_entry_of_an_older_build_gets_large_records_with_the_update(
    records_apart,
):
    async def check(_entry, other):
        other.mirror.apply([Record('op/config', 3, LARGE)])
        other.mirror.advance(9)
        conn = FakeConn()
        asked = EntryNews(
            sender='x', known_to=1, records_to=0, records_apart=records_apart
        )
        envelope = Envelope(Kind.ENTRY_NEWS, 1, 0, entry_news=asked)
        other.peers._on_envelope(conn, envelope)
        (reply,) = conn.sent
        answer = reply.entry_news
        assert answer.records_to == 9
        inline = [record.key for record in answer.records]
        named = [part.key for part in answer.large_records or ()]
        expected = ['op/config'], []
        if records_apart:
            expected = [], ['op/config']
        assert (inline, named) == expected

    run_with_entries(check, 1, KEYS)


def test_a_large_record_of_an_older_build_is_taken_from_its_update():
    async def check(entry, other):
        build = other.peers._build_update
        other.peers._build_update = lambda known_to, _apart=False: build(
            known_to
        )
        other.mirror.apply([Record('op/config', 3, LARGE)])
        other.mirror.advance(9)
        await wait_until(lambda: entry.mirror.complete == 9)
        assert entry.mirror.get('op/config').value == LARGE

    run_with_entries(check, 1, KEYS)


@pytest.mark.parametrize(
    'part',
    [
        RecordPart(key=None, revision=3, store_era=0),
        RecordPart(key='op/config', revision=-1, store_era=0),
        RecordPart(key='op/config', revision=3, store_era=2**62),
    ],
)
def test_a_malformed_name_of_a_large_record_changes_nothing(part):
    async def check(entry, _other):
        update = EntryNews(
            sender='x', known_to=9, records_to=9, large_records=[part]
        )
        entry.peers._apply_update(update, '127.0.0.1:1')
        assert entry.mirror.complete == 0

    run_with_entries(check, 1, KEYS)


def test_an_entry_learns_cache_store_contents_from_a_peer():
    async def check(first, second):
        clock = second.ctx.clock
        event = CacheEvent(True, 's', 'p', 640)
        batch = CacheEventBatch(1, 9, False, 77_000, (event,))
        second.view.apply_events(batch, clock.now_ms())
        await wait_until(lambda: first.view.available_tokens('s', 'p') == 640)
        assert first.view.next == 9
        assert first.view.fetch_until_ms == second.view.fetch_until_ms

    run_with_two(check)


def test_open_requests_are_reported_until_they_end():
    async def check(first, second):
        request = first.load.open(12_000, 9_000, 1)
        await wait_until(lambda: second.load.runs() == 1)
        assert second.load.memory_shortfall(0, 1, 10_000) == 2_000
        assert second.load.memory_shortfall(0, 0, 10_000) < 0
        first.load.close(request)
        await wait_until(lambda: second.load.runs() == 0)

    run_with_two(check)


def test_target_losses_are_reported():
    async def check(first, second):
        second.ctx.crash_guard.record(b'print', 'q1 e0')
        await wait_until(lambda: first.ctx.crash_guard.count(b'print') == 1)

    run_with_two(check)


# Guards against CONFIG: what tells a loss of a whole domain from crashes, and
# that a quarantine was probed, was known to the entry itself only.
def test_the_times_of_losses_and_probes_are_reported():
    async def check(first, second):
        guard = second.ctx.part_guard
        guard.record_lost((b'bad',), 'e0@1', ran_ms=5_000.0)
        heard = first.ctx.loss_log
        await wait_until(lambda: heard.after(0, heard.last_number))
        (loss,) = heard.after(0, heard.last_number)
        assert loss.outcome.ran_ms == 5_000.0
        guard.adopt((b'bad',), 10.0, 'peer')
        guard.record_probe_sent(guard.find((b'bad',)))
        await wait_until(
            lambda: any(
                item.probe_sent for item in first.ctx.part_guard.quarantines()
            )
        )

    run_with_two(check)


# Guards against CONFIG: entries were told of the losses of a request, but not
# that it was served since.
def test_a_request_that_was_served_after_losses_is_reported():
    async def check(first, second):
        for number in range(3):
            second.ctx.crash_guard.record(b'print', f'e{number}@7', 500.0)
            await asyncio.sleep(0.02)
        guard = first.ctx.crash_guard
        await wait_until(lambda: guard.refuses(b'print'))
        second.ctx.crash_guard.record_served(b'print')
        await wait_until(lambda: guard.count(b'print') == 0)

    run_with_two(check)


def serve_others(entry):
    for _ in range(20):
        entry.ctx.part_guard.record_served((b'sound',))


# Guards against BUDGET: requests without anything in common but one part went
# on at entries that had not seen the crashes.
def test_crashing_prompt_parts_are_reported():
    async def check(first, second):
        guard = second.ctx.part_guard
        for number in range(2):
            guard.record_lost((b'shared', b'bad'), f'e{number}@1')
        for entry in (first, second):
            serve_others(entry)
        first.ctx.part_guard.record_lost((b'other', b'bad'), 'e2@1')
        await wait_until(lambda: first.ctx.part_guard.find((b'bad',)))
        await wait_until(lambda: guard.find((b'bad',)))
        assert not guard.find((b'shared',))
        guard.record_served((b'bad',))
        await wait_until(lambda: not first.ctx.part_guard.find((b'bad',)))

    run_with_two(check)


def test_malformed_part_reports_are_ignored():
    async def check(first, second):
        second.peers._apply_update(
            EntryNews(
                sender='x',
                part_outcomes=[PartOutcome(), PartOutcome(age_ms=-5)],
                part_quarantines=[PartQuarantine(), PartQuarantine([b''])],
            )
        )
        assert not second.ctx.part_guard.find((b'bad',))

    run_with_two(check)


# Guards against LIMIT: entries that have not been told, or that send no more
# and so are not told, keep an old limit.
def test_limits_of_targets_and_their_ends_are_reported():
    async def check(first, second):
        clock = first.ctx.clock
        targets = [e.ctx.directory.get('e0') for e in (first, second)]

        def state(per_s, sent_ms):
            notice = Notice(limit_per_s=per_s)
            first.ctx.notices.record(
                targets[0], notice, 'answer', 'q1', sent_ms
            )

        state(2.5, clock.now_ms())
        await wait_until(lambda: targets[1].limit.per_s == 2.5)
        await asyncio.sleep(MAX_TRANSIT_MS / 1_000.0)
        state(inf, clock.now_ms())
        await wait_until(lambda: targets[1].limit.per_s == inf)
        assert second.ctx.metrics.reasons('target_notices') == {
            'limited': 1,
            'unlimited': 1,
        }

    run_with_two(check)


def test_a_target_that_leaves_is_reported():
    async def check(first, second):
        targets = [e.ctx.directory.get('e0') for e in (first, second)]
        notice = Notice(leaving=True)
        first.ctx.notices.record(targets[0], notice, 'answer')
        await wait_until(lambda: targets[1].leaving)

    run_with_two(check)


# Guards against a peer whose message ends a limit that was named later.
def test_an_outdated_report_ends_no_limit():
    async def check(first, second):
        target = second.ctx.directory.get('e0')
        second.ctx.notices.record(target, Notice(limit_per_s=2.5), 'answer')
        born_ms = target.started_at_ms
        for notice in (
            LimitNotice('e0', born_ms, None, int(MAX_TRANSIT_MS), 0),
            LimitNotice('e0', born_ms + 1, 1.0, 0, 0),
            LimitNotice('e0', born_ms, nan, 0, 0),
            LimitNotice('e0', born_ms, -1.0, 0, 0),
            LimitNotice('e9', born_ms, 1.0, 0, 0),
            LimitNotice(),
        ):
            second.peers._apply_update(EntryNews(sender='x', limits=[notice]))
        assert target.limit.per_s == 2.5

    run_with_two(check)


def test_silent_targets_are_reported_until_they_are_heard():
    async def check(first, second):
        for entry in (first, second):
            entry.load.last_activity_ms -= 1_000.0
        target = second.ctx.directory.get('e0')
        second.ctx.suspicions.observe()
        sent_ms = second.ctx.clock.now_ms() - CONNECT_MS
        second.ctx.suspicions.record_unreached(target, sent_ms)
        # With a request of its own unanswered, one teller is enough.
        first.load.open(0, 0, 0)
        suspected = first.ctx.suspicions.is_suspected
        first_target = first.ctx.directory.get('e0')
        await wait_until(lambda: suspected(first_target))
        second.load.record_activity()
        await wait_until(lambda: not suspected(first_target))

    run_with_two(check)


def test_the_pace_of_targets_is_reported():
    async def check(first, second):
        second.load.record_report(None, 2.5)
        await wait_until(lambda: first.load.pace.seen() == 2.5)
        assert first.load.runs() == 0

    run_with_two(check)


def test_an_entry_without_the_key_is_rejected():
    async def check(first, second):
        second.ctx.crash_guard.record(b'print', 'q1 e0')
        metric_value = first.ctx.metrics.value
        await wait_until(
            lambda: metric_value('entry_news_failed', 'unreachable') > 0
        )
        assert first.ctx.crash_guard.count(b'print') == 0

    run_with_two(check, InnerKeys((b'x' * 32,)))


def test_each_target_loss_is_sent_once():
    """Repeated losses can fill a slow link.

    When eight engines ended at once, every update contained every loss.
    """

    async def check(first, second):
        sent_losses = []
        add_original = second.peers._add_losses

        def add_losses(update, known):
            last = add_original(update, known)
            sent_losses.extend(loss.loss for loss in update.losses)
            return last

        second.peers._add_losses = add_losses
        for number in range(300):
            second.ctx.crash_guard.record(b'print', f'q{number} e0')
        await wait_until(lambda: first.ctx.crash_guard.count(b'print') == 300)
        await asyncio.sleep(0.5)
        assert len(sent_losses) == 300

    run_with_two(check)


def test_changes_are_requested_from_one_peer_at_a_time():
    """A large configuration sent by six peers at once fills a slow link."""

    async def check(first, *others):
        for other in others:
            other.mirror.apply([Record('op/config', 7, b'c' * 60_000)])
            other.mirror.advance(7)
        await wait_until(lambda: first.mirror.complete == 7)
        await asyncio.sleep(0.5)
        assert sum(other.mirror.request_count for other in others) == 1

    run_with_entries(check, 5, KEYS)


def share_origins(entry, name):
    origins = SharedStreamOrigins(
        entry.ctx.clock, entry.ctx.metrics, name, entry.peers
    )
    entry.peers.handle(Kind.STREAM_ORIGINS, origins.answer)
    return origins


def test_an_entry_learns_the_origin_of_a_stream_from_a_peer():
    async def check(first, second):
        mine = share_origins(first, 'a')
        theirs = share_origins(second, 'b')
        target = first.ctx.directory.get('e0')
        mine.record('q1', target)
        second_knows = theirs._local.get
        await wait_until(lambda: second_knows('q1') is not None)
        theirs.record('q2', target)
        assert await mine.find('q2', target.service) == origin_of(target)

    run_with_two(check)


def test_a_peer_of_an_older_build_keeps_its_connection():
    """An older build ignores the messages about origins."""

    async def check(first, second):
        mine = share_origins(first, 'a')
        target = first.ctx.directory.get('e0')
        await wait_until(lambda: first.peers.is_connected(second.address))
        client = first.peers._pool.get(second.address)
        conn = client._conn
        mine.record('q1', target)
        assert await mine.find('q2', target.service) is None
        second.ctx.crash_guard.record(b'print', 'q1 e0')
        await wait_until(lambda: first.ctx.crash_guard.count(b'print') == 1)
        assert first.peers._pool.get(second.address) is client
        assert client._conn is conn and not conn.closed

    run_with_two(check)


FROZEN_MS = 5_000.0


class SuspendedClock(Clock):
    """The clock of a process that was suspended for `suspended_ms`."""

    def __init__(self):
        self.suspended_ms = 0.0

    def boot_ms(self):
        return super().boot_ms() + self.suspended_ms


class FreshCopy:
    """The copy of a peer; the caller is frozen before it gets the reply."""

    def __init__(self, clock):
        self.clock = clock

    @property
    def age_ms(self):
        self.clock.suspended_ms += FROZEN_MS
        return 0.0


# Guards against VERSION: a reply that was read after a freeze makes a copy as
# fresh as if it had just come, and what it lacks counts as new.
def test_a_reply_read_after_a_freeze_is_as_old_as_the_freeze():
    async def run():
        clock = SuspendedClock()
        addresses = []
        first = Entry('a', addresses, clock=clock)
        second = Entry('b', [])
        second.ctx.freshness = FreshCopy(clock)
        addresses.append(second.address)
        task = asyncio.ensure_future(first.peers.run())
        try:
            await wait_until(lambda: first.ctx.freshness.age_ms < float('inf'))
            assert first.ctx.freshness.age_ms >= FROZEN_MS
        finally:
            task.cancel()
            first.peers.close()
            second.peers.close()

    asyncio.run(run())


async def learn_loss(entry):
    await wait_until(lambda: entry.ctx.crash_guard.count(b'f'))


# Guards against BUDGET: an entry that has restarted does not learn which
# requests crash their targets, so it runs them on three more.
def test_a_restarted_entry_learns_the_losses_again():
    addresses = []

    async def learn_losses():
        entry = Entry('a', addresses)
        task = asyncio.ensure_future(entry.peers.run())
        try:
            await wait_until(lambda: entry.ctx.crash_guard.count(b'f'))
        finally:
            task.cancel()
            entry.peers.close()

    async def run():
        other = Entry('b', [])
        addresses.append(other.address)
        other.ctx.crash_guard.record(b'f', 'r1 t1')
        try:
            for _start in range(2):
                await learn_losses()
        finally:
            other.peers.close()

    asyncio.run(run())


# Guards against BUDGET: an entry that has restarted at the same address is
# not told again which requests crash their targets.
def test_a_restarted_entry_is_told_the_losses_again():
    async def run():
        addresses = []
        first = Entry('a', addresses)
        first.ctx.crash_guard.record(b'f', 'r1 t1')
        task = asyncio.ensure_future(first.peers.run())
        address = '127.0.0.1:0'
        try:
            for _start in range(2):
                other = Entry('b', [], address=address)
                address = other.address
                addresses[:] = [address]
                try:
                    await learn_loss(other)
                finally:
                    other.peers.close()
        finally:
            task.cancel()
            first.peers.close()

    asyncio.run(run())


# Guards against BUDGET: an entry that has restarted is not told of the losses
# that it had observed itself before.
def test_a_restarted_entry_is_told_of_its_own_losses():
    async def run():
        addresses = []
        first = Entry('a', addresses)
        task = asyncio.ensure_future(first.peers.run())
        other = Entry('b', [])
        other.ctx.crash_guard.record(b'f', 'r1 t1')
        addresses.append(other.address)
        try:
            await learn_loss(first)
            other.peers.close()
            other = Entry('b', [], address=other.address)
            await learn_loss(other)
        finally:
            task.cancel()
            other.peers.close()
            first.peers.close()

    asyncio.run(run())


def test_entries_learn_which_peers_are_in_another_domain():
    async def check(first, near, far, older):
        peers = (first, near, far, older)
        for entry, domain in zip(peers, ('d1', 'd1', 'd2', ''), strict=True):
            entry.peers._domain = domain
        await wait_until(lambda: first.peers._far == {far.address})

    run_with_entries(check, 3, KEYS)


def test_a_loss_reaches_other_domains_in_contact_time_if_messages_are_lost():
    """The first message to each of 28 peers is lost: two turns in 3 s."""
    clock = ManualClock()
    addresses = [f'127.0.0.1:{n}' for n in range(1, 29)]
    entry = Entry('a', addresses, clock=clock, prefers_domain=True)
    for address in addresses[9:]:
        entry.peers._record_domain(address, 'd1')
    far = set(addresses[9:])
    for _turn in range(20):
        assert len(far & set(entry.peers._next_peers())) <= 2
    entry.ctx.loss_log.add_parts(
        RunOutcome((b'p',), 'e0'), clock.now_ms(), local=True
    )
    turns = dict.fromkeys(addresses, 0)
    for _turn in range(15):
        for address in entry.peers._next_peers():
            turns[address] += 1
        clock.advance(200.0)
    assert min(turns.values()) >= 2
    for _turn in range(20):
        assert len(far & set(entry.peers._next_peers())) <= 2
    entry.peers.close()


def test_a_limit_that_is_first_named_is_told_to_all_domains_alike():
    clock = ManualClock()
    addresses = [f'127.0.0.1:{n}' for n in range(1, 29)]
    entry = Entry('a', addresses, clock=clock, prefers_domain=True)
    assert not entry.peers._has_urgent_news()
    now_ms = clock.now_ms()
    target = entry.ctx.directory.get('e0')
    statement = LimitStatement(9.0, now_ms, now_ms, False)
    entry.ctx.notices.record_limit(target, statement, 'target')
    assert entry.peers._has_urgent_news()
    clock.advance(3_000.0)
    assert not entry.peers._has_urgent_news()
    entry.peers.close()


def test_a_message_that_cannot_be_handled_does_not_end_the_connection():
    async def check(first, second):
        conn = FakeConn()
        update = EntryNews(sender='b', known_to=0, open_work=[None])
        envelope = Envelope(Kind.ENTRY_NEWS, 1, 0, entry_news=update)
        second.peers._on_envelope(conn, envelope)
        metrics = second.ctx.metrics
        assert metrics.value('entry_news_failed', 'internal') == 1
        request = first.load.open(12_000, 9_000, 1)
        await wait_until(lambda: second.load.runs() == 1)
        first.load.close(request)

    run_with_two(check)
