"""Tests what comes of replies whose head or chunks are malformed."""

import asyncio
import re

import pytest

from alliance.engines import AllianceEngines
from alliance.store import AllianceStore
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_target
from tests.platform.crowd import ask
from tests.platform.crowd import run_gateway
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from tests.providers.reply_forms import BODY
from tests.providers.reply_forms import CHUNKED
from tests.providers.reply_forms import fill_template
from tests.providers.reply_forms import FormServer
from tests.providers.reply_forms import HEAD
from tests.providers.reply_forms import LENGTH
from tests.providers.reply_forms import MALFORMED
from tests.providers.reply_forms import MALFORMED_CHUNKS
from tests.providers.reply_forms import MALFORMED_TEMPLATES
from tests.providers.reply_forms import SOUND
from tests.providers.reply_forms import SOUND_TO_THE_CLOSE
from tests.providers.test_transfers import make_call
from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.engine_orders import WeightsOrder
from wigeonmill.providers.fetch import fetch

ORDER = WeightsOrder('m', 2, 'entry', 41, 3, cut_streams=False)
KINDS = ('safe', 'unsafe', 'streaming')
FORMS_FOR_PROCESS = (
    'blank-in-name',
    'blank-before-colon',
    'no-name',
    'length-2^64+15',
    'coding-empty',
    'size-with-a-tail',
)
BODIES = {
    'GET': b'{"key":"k","revision":3,"items":[],"events":[],'
    b'"storeRevision":9}',
    'POST': b'{"revision":3}',
}


def address_of(listener):
    return f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'


async def send(entry, request_id='q1', **changes):
    """Return the channel of the caller of a request."""
    req = make_request(
        id=request_id,
        arrived_ms=entry.ctx.clock.now_ms(),
        fields=(('Request-Id', request_id),),
        body=request_id.encode(),
    )
    return await entry.send(req, make_route(**changes))


async def warm_up(entry):
    """Send requests that are answered, which the retry budget counts."""
    for number in range(10):
        await send(entry, f'w{number}')


# Guards against MIXED: an engine in trouble wrote a malformed head, and its
# answer was passed on as a complete one, or ended in an internal error.
@pytest.mark.parametrize('kind', RouteKind)
@pytest.mark.parametrize('form', MALFORMED)
def test_a_malformed_answer_is_not_passed_on(form, kind):
    server = FormServer(MALFORMED[form])

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        return await send(entry, kind=kind, max_targets=1)

    channel = asyncio.run(serve_and(server.serve, check))
    assert server.requests == 1
    assert not channel.finished
    if form in MALFORMED_CHUNKS and channel.status == 200:
        # The stream had begun by then.
        assert kind is RouteKind.STREAMING
        assert channel.aborted
    else:
        assert channel.status == 502
        assert channel.refusal is not None


# Guards against MIXED: replies to the gateway's own calls, likewise.
@pytest.mark.parametrize('form', MALFORMED)
def test_a_malformed_reply_to_a_call_is_an_error(form):
    server = FormServer(MALFORMED[form])
    notices, faults = [], []

    async def check(address, transfers):
        transfers.on_malformed = faults.append
        outcome = await fetch(transfers, make_call(address), 2_000.0)
        engines = AllianceEngines(transfers)
        engines.subscribe(lambda *notice: notices.append(notice))
        target = make_target(address=address)
        store = AllianceStore(address, transfers)
        return (
            outcome,
            await engines.report(target),
            await store.keep_alive(1),
            await engines.load_weights(target, ORDER),
        )

    *outcomes, ordered = asyncio.run(serve_and(server.serve, check))
    assert all(outcome.is_err() for outcome in outcomes)
    assert outcomes[0].unwrap_err().sent
    assert ordered is OrderOutcome.UNKNOWN
    assert len(faults) == 4
    # Nothing in a malformed head is believed.
    assert not notices or form in MALFORMED_CHUNKS


# Guards against MIXED: replies of the store and its watch, likewise.
@pytest.mark.parametrize('form', MALFORMED_TEMPLATES)
def test_a_malformed_reply_of_the_store_is_an_error(form):
    async def serve(reader, writer):
        method = (await reader.readuntil(b' ')).decode().strip()
        template = MALFORMED_TEMPLATES[form]
        writer.write(fill_template(template, BODIES[method]))
        writer.close()

    async def check(address, transfers):
        store = AllianceStore(address, transfers)
        return (
            await store.listing(),
            await store.changes(0, 100, fresh=False),
            await store.get('k'),
            await store.compare_and_swap('k', 0, b'v'),
        )

    outcomes = asyncio.run(serve_and(serve, check))
    assert all(outcome.is_err() for outcome in outcomes)


# Guards against a check that is stricter than the syntax of HTTP.
@pytest.mark.parametrize('kind', RouteKind)
@pytest.mark.parametrize('form', SOUND | SOUND_TO_THE_CLOSE)
def test_a_sound_answer_of_any_legal_form_is_passed_on(form, kind):
    server = FormServer((SOUND | SOUND_TO_THE_CLOSE)[form])
    server.stays = form in SOUND

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        channel = await send(entry, kind=kind, max_targets=1)
        outcome = await fetch(transfers, make_call(address), 2_000.0)
        return channel, outcome.unwrap()

    channel, reply = asyncio.run(serve_and(server.serve, check))
    assert channel.finished
    assert (channel.status, channel.body) == (200, BODY)
    assert (reply.status, reply.body) == (200, BODY)


# Guards against a wait for the chunks of a reply that has a head only.
@pytest.mark.parametrize(
    ('method', 'status'),
    [
        ('HEAD', b'200 OK'),
        ('GET', b'204 No Content'),
        ('GET', b'304 Not Modified'),
    ],
)
@pytest.mark.parametrize('framing', [LENGTH, CHUNKED])
def test_a_reply_without_a_body_is_judged_by_its_head(framing, method, status):
    head = HEAD.replace(b'200 OK', status) + framing
    server = FormServer(head + b'\r\n', stays=True)

    async def check(address, transfers):
        call = make_call(address, method=method, body=b'', repeatable=True)
        sound = await fetch(transfers, call, 2_000.0)
        server.reply = head + b'X Odd: b\r\n\r\n'
        return sound, await fetch(transfers, call, 2_000.0)

    sound, malformed = asyncio.run(serve_and(server.serve, check))
    assert sound.unwrap().status == int(status[:3])
    assert not sound.unwrap().body
    assert malformed.unwrap_err().sent
    assert server.conns == 1


# Guards against MIXED: what follows a malformed head on a connection was read
# as the answer to another request.
@pytest.mark.parametrize('form', MALFORMED)
def test_the_connection_of_a_malformed_answer_is_not_used_again(form):
    server = FormServer(MALFORMED[form], stays=True)

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        first = await send(entry, max_targets=1, timeout_ms=700.0)
        server.reply = SOUND['length']
        for _ in range(200):
            if server.closed_by_peer:
                break
            await asyncio.sleep(0.01)
        entry.ctx.circuits.record_success('t1')
        closed = server.closed_by_peer
        return first, closed, await send(entry, 'q2', max_targets=1)

    first, closed, second = asyncio.run(serve_and(server.serve, check))
    assert not first.finished
    assert closed == 1
    assert second.body == BODY
    assert server.conns == 2


# Guards against MIXED: a request whose answer was malformed ended in an
# internal error, though another target could have answered it.
@pytest.mark.parametrize(
    ('kind', 'resumable', 'goes_on'),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.STREAMING, True, True),
        (RouteKind.STREAMING, False, False),
    ],
)
@pytest.mark.parametrize('form', MALFORMED)
def test_only_a_repeatable_request_goes_on_at_another_target(
    form, kind, resumable, goes_on
):
    first = FormServer(SOUND['length'], stays=True)
    second = FormServer(SOUND['length'], stays=True)

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        listener = await asyncio.start_server(second.serve, '127.0.0.1', 0)
        # A stream goes on at the same software only.
        entry.ctx.directory.apply(
            make_record(
                address=address, software_version='v1', started_at_ms=2_000
            )
        )
        await warm_up(entry)
        first.reply, first.stays, first.requests = MALFORMED[form], False, 0
        # The other target is found once the first one has the request.
        first.on_request = lambda: entry.ctx.directory.apply(
            make_record(
                't2', address=address_of(listener), software_version='v1'
            )
        )
        channel = await send(entry, kind=kind, resumable=resumable)
        listener.close()
        return channel

    channel = asyncio.run(serve_and(first.serve, check))
    assert first.requests == 1
    assert channel.finished is goes_on
    assert second.requests == int(goes_on)
    if goes_on:
        assert (channel.status, channel.body) == (200, BODY)


# Guards against MIXED: an engine that wrote a malformed head to each request
# was not held to be at fault, answered fastest and got them all.
def test_one_faulty_engine_of_six_does_not_fail_safe_requests():
    faulty = FormServer(SOUND['length'], stays=True)

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        await warm_up(entry)
        faulty.reply, faulty.requests = MALFORMED['blank-in-name'], 0
        listeners = []
        for number in range(2, 7):
            server = FormServer(SOUND['length'], stays=True)
            listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
            listeners.append(listener)
            record = make_record(f't{number}', address=address_of(listener))
            entry.ctx.directory.apply(record)
        channels = [
            await send(entry, f'q{number}', kind=RouteKind.SAFE)
            for number in range(120)
        ]
        for listener in listeners:
            listener.close()
        return channels

    channels = asyncio.run(serve_and(faulty.serve, check))
    assert faulty.requests > 0
    assert [channel.body for channel in channels] == [BODY] * 120
    # Far from all of them, though it answers first.
    assert faulty.requests < 60


# Guards against MIXED: targets that wrote malformed heads and went on counted
# as crashed, so that sound requests were refused.
@pytest.mark.parametrize('form', ['no-colon', 'blank-in-name', 'size-word'])
def test_targets_that_write_malformed_answers_have_not_crashed(form):
    servers = [FormServer(MALFORMED[form]) for _ in range(8)]

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        listeners = [
            await asyncio.start_server(server.serve, '127.0.0.1', 0)
            for server in servers
        ]
        for number, listener in enumerate(listeners):
            record = make_engine_record(
                f'e{number}', address=address_of(listener)
            )
            entry.ctx.directory.apply(record)

        async def run(number):
            """Run one of several equal requests."""
            req = make_request(
                id=f'q{number}',
                arrived_ms=entry.ctx.clock.now_ms(),
                fields=(('Request-Id', f'q{number}'),),
                generation=make_generation(),
            )
            return await entry.send(
                req,
                make_route(
                    kind=RouteKind.STREAMING,
                    shares=(ServiceShare(ENGINES, 1.0),),
                ),
            )

        failed = []
        for number in range(len(servers)):
            failed.append(await run(number))
            # Losses that are further apart count as several events.
            await asyncio.sleep(0.05)
        for server in servers:
            server.reply, server.stays = SOUND['length'], True
        for record in entry.ctx.directory.all():
            entry.ctx.circuits.record_success(record.id)
        answered = await run(len(servers))
        for listener in listeners:
            listener.close()
        return failed, answered, entry.ctx

    failed, answered, ctx = asyncio.run(serve_and(servers[0].serve, check))
    assert {channel.refusal.reason for channel in failed} == {
        Reason.MAY_HAVE_RUN
    }
    assert sum(server.requests for server in servers) == len(servers) + 1
    assert answered.body == BODY
    broken = ctx.metrics.reasons('gateway_answers_broken')
    assert broken == {'malformed': len(servers)}


async def read_metrics(address):
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /metrics HTTP/1.0\r\n\r\n')
    text = await reader.read()
    writer.close()
    return text.decode()


# Guards against MIXED: the answer with such a head was an internal error of a
# gateway, as only its own answer to the caller was checked.
def test_a_gateway_answers_a_malformed_reply_with_502(tmp_path):
    forms = [MALFORMED[form] for form in FORMS_FOR_PROCESS]
    servers = [FormServer(reply) for reply in forms * len(KINDS)]

    async def check():
        listeners = [
            await asyncio.start_server(server.serve, '127.0.0.1', 0)
            for server in servers
        ]
        addresses = [address_of(listener) for listener in listeners]
        async with run_gateway(tmp_path, faulty=addresses) as gateway:
            for number, kind in enumerate(KINDS * len(forms)):
                line = f'POST /{kind}/{number} HTTP/1.1'
                assert await ask(gateway.settings['callers'], line) == 502
            metrics = await read_metrics(gateway.settings['metrics'])
        for listener in listeners:
            listener.close()
        return metrics

    metrics = asyncio.run(check())
    assert sum(server.requests for server in servers) == len(servers)
    name = 'wigeonmill_gateway_replies_malformed_total'
    counts = re.findall(name + r'\{reason="(\w+)"\} (\d+)', metrics)
    assert dict(counts) == {
        'field': '9',
        'length': '3',
        'transfer_coding': '3',
        'chunk': '3',
    }
