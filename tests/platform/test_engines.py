import asyncio

import pytest

from alliance.caches import AllianceCaches
from alliance.engines import AllianceEngines
from tests.gateway.samples import make_target
from tests.platform.standin import Reply
from tests.platform.standin import with_standin
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.engine_orders import WeightsOrder
from wigeonmill.providers.transfers import TransferLoop

ORDER = WeightsOrder('m', 2, 'entry', 41, 3, cut_streams=False)


def test_report_is_decoded():
    report = {
        'busy': True,
        'sequence': 3,
        'born': 99,
        'waiting': 4,
        'running': 7,
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }

    async def check(standin, transfers):
        target = make_target(address=standin.address)
        found = await AllianceEngines(transfers).report(target)
        engine = found.unwrap()
        assert (engine.busy, engine.orders, engine.started_ms) == (True, 3, 99)
        assert engine.versions == {'m': 1}
        assert (engine.waiting, engine.running) == (4, 7)
        assert standin.calls[0].headers['Expect-Instance'] == 't1'

    with_standin(lambda call: Reply(body=report), check)


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (202, OrderOutcome.ACCEPTED),
        (200, OrderOutcome.ALREADY_DONE),
        (409, OrderOutcome.CONFLICT),
        (412, OrderOutcome.FENCED),
        (421, OrderOutcome.WRONG_TARGET),
        (400, OrderOutcome.INVALID),
        (500, OrderOutcome.UNKNOWN),
    ],
)
def test_order_is_fenced_and_its_status_decoded(status, outcome):
    async def check(standin, transfers):
        target = make_target(address=standin.address)
        engines = AllianceEngines(transfers)
        assert await engines.load_weights(target, ORDER) is outcome
        assert standin.calls[0].body == {
            'operation': 'version',
            'model': 'm',
            'version': 2,
            'mode': 'queue',
            'holder': 'entry',
            'fence': 41,
            'expected': 3,
        }

    with_standin(lambda call: Reply(status, {}), check)


def test_order_that_could_not_be_sent_is_reported():
    async def check(standin, transfers):
        target = make_target(address='127.0.0.1:1')
        outcome = await AllianceEngines(transfers).load_weights(target, ORDER)
        assert outcome is OrderOutcome.NOT_SENT

    with_standin(lambda call: Reply(), check)


def test_events_and_listing_of_a_cache_store_are_decoded():
    answers = {
        '/wigeonmill/kv-events': {
            'bootEpoch': 5,
            'next': 12,
            'lost': False,
            'clock_ms': 1234.5,
            'events': [
                [10, '+', 's', 'p', 640, 'm'],
                [11, '-', 's', 'q', 0, 'm'],
            ],
        },
        '/wigeonmill/kv-list': {
            'bootEpoch': 5,
            'next': 12,
            'held': [['s', 'p', 640, 'm']],
        },
    }

    async def check(standin, transfers):
        caches = AllianceCaches(transfers)
        batch = (await caches.poll_events(standin.address, 9, 700)).unwrap()
        assert (batch.boot, batch.next, batch.clock_ms) == (5, 12, 1234)
        assert [event.added for event in batch.events] == [True, False]
        assert standin.calls[0].headers['Wait-Ms'] == '700'
        listing = (await caches.listing(standin.address)).unwrap()
        assert listing.parts[0].tokens == 640

    with_standin(lambda call: Reply(body=answers[call.path]), check)


def test_parts_are_freed_only_for_the_same_boot_of_the_store():
    async def check(standin, transfers):
        caches = AllianceCaches(transfers)
        assert (await caches.free(standin.address, [('s', 'p')], 5)).is_ok()
        assert standin.calls[0].body == {
            'parts': [['s', 'p']],
            'bootEpoch': 5,
        }
        standin.answer = lambda call: Reply(409, {})
        assert (await caches.free(standin.address, [('s', 'p')], 4)).is_err()

    with_standin(lambda call: Reply(202, {}), check)


# Guards against a leaving engine that says so in reports and orders only.
@pytest.mark.parametrize('status', [200, 409, 503])
def test_notices_in_answers_to_reports_and_orders_are_passed_on(status):
    headers = {'Server-Leaving': '1', 'Instance-Id': 't1'}
    seen = []

    async def check(standin, transfers):
        target = make_target(address=standin.address)
        engines = AllianceEngines(transfers)
        engines.subscribe(
            lambda target, notice, kind: seen.append(
                (target.id, notice.leaving, notice.target_id, kind)
            )
        )
        await engines.report(target)
        await engines.load_weights(target, ORDER)

    with_standin(lambda call: Reply(status, {}, headers=headers), check)
    assert seen == [('t1', True, 't1', 'report'), ('t1', True, 't1', 'order')]


# Guards against a notice that is lost when its reply breaks off or stalls.
@pytest.mark.parametrize('stalls', [False, True])
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
def test_the_notice_of_an_incomplete_reply_is_passed_on_once(
    stalls, interim, monkeypatch
):
    monkeypatch.setattr('alliance.engines.CALL_TIMEOUT_MS', 200.0)
    head = b'HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 9\r\n\r\n'
    seen = []

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(interim + head + b'part')
        if stalls:
            await reader.read()
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transfers = TransferLoop()
        engines = AllianceEngines(transfers)
        engines.subscribe(
            lambda target, notice, kind: seen.append((notice.closed_ms, kind))
        )
        try:
            target = make_target(address=f'127.0.0.1:{port}')
            assert (await engines.report(target)).is_err()
        finally:
            transfers.close()
            server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))
    assert seen == [(3_000.0, 'report')]


# Guards against an order that counts as carried out, or a report that is read,
# because an answer to a request came late on the connection.
@pytest.mark.parametrize('status', [200, 202, 412, 421])
def test_an_answer_to_a_request_is_no_reply_to_a_call(status):
    async def check(standin, transfers):
        target = make_target(address=standin.address)
        engines = AllianceEngines(transfers)
        outcome = await engines.load_weights(target, ORDER)
        assert outcome is OrderOutcome.UNKNOWN
        assert (await engines.report(target)).is_err()

    reply = Reply(status, {'models': []}, headers={'Request-Id': 'q1'})
    with_standin(lambda call: reply, check)
