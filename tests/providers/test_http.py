"""Tests what calls to the platform take for a reply."""

import asyncio

import pytest

from tests.platform.real_entry import serve_and
from tests.providers.reply_forms import BODY
from tests.providers.reply_forms import FormServer
from tests.providers.reply_forms import HEAD
from tests.providers.reply_forms import MALFORMED
from tests.providers.reply_forms import MALFORMED_CHUNKS
from tests.providers.reply_forms import SOUND
from tests.providers.reply_forms import SOUND_TO_THE_CLOSE
from tests.providers.reply_forms import with_chunks
from wigeonmill.clock import Clock
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpErrorKind

TIMEOUT_MS = 5_000.0


async def call(address, on_data=None, method='POST'):
    """Return the outcome of a call."""
    http = HttpClient(Clock())
    try:
        return await http.send(
            HttpCall(
                method,
                f'http://{address}/x',
                TIMEOUT_MS,
                b'body' if method == 'POST' else None,
                on_data=on_data,
            )
        )
    finally:
        http.close()


def run(server, **changes):
    return asyncio.run(
        serve_and(server.serve, lambda address, _: call(address, **changes))
    )


# Guards against MIXED: the replies of stores, of the key-value service and of
# plain services were taken with a malformed head or malformed chunks.
@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize('form', MALFORMED)
def test_a_malformed_reply_is_an_error(form, streams):
    pieces = []
    server = FormServer(MALFORMED[form])
    outcome = run(server, on_data=pieces.append if streams else None)
    assert server.requests == 1
    assert outcome.unwrap_err().kind is HttpErrorKind.BROKEN
    # Only what precedes a fault in the chunks is passed on.
    assert not pieces or form in MALFORMED_CHUNKS


# Guards against a check that is stricter than the syntax of HTTP.
@pytest.mark.parametrize('streams', [False, True])
@pytest.mark.parametrize('form', SOUND | SOUND_TO_THE_CLOSE)
def test_a_sound_reply_of_any_legal_form_is_taken(form, streams):
    pieces = []
    server = FormServer((SOUND | SOUND_TO_THE_CLOSE)[form])
    server.stays = form in SOUND
    reply = run(server, on_data=pieces.append if streams else None).unwrap()
    assert reply.status == 200
    assert reply.headers['Server-Seal'] == 'x'
    assert (b''.join(pieces) if streams else reply.body) == BODY


def test_fields_are_those_of_the_final_head():
    reply = run(FormServer(SOUND['interim'])).unwrap()
    assert list(reply.headers.get_all()) == [
        ('Server-Seal', 'x'),
        ('Content-Length', '15'),
    ]


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
def test_a_reply_without_a_body_needs_no_chunks(status):
    reply = with_chunks(b'').replace(b'200 OK', status)
    assert run(FormServer(reply), method='GET').unwrap().body == b''


def test_a_reply_to_head_needs_no_chunks():
    assert run(FormServer(with_chunks(b'')), method='HEAD').is_ok()


@pytest.mark.parametrize(
    'reply',
    [
        HEAD,
        HEAD + b'Content-Length: 15\r\n\r\n' + BODY[:7],
        with_chunks(b'f\r\n' + BODY[:7]),
        with_chunks(b'f\r\n' + BODY + b'\r\n'),
        with_chunks(b'f\r\n' + BODY + b'\r\n0\r\n'),
    ],
)
def test_a_reply_that_breaks_off_is_an_error(reply):
    outcome = run(FormServer(reply))
    assert outcome.unwrap_err().kind is HttpErrorKind.BROKEN


# Guards against a transfer that goes on for as long as its server likes.
def test_a_malformed_chunk_ends_a_stream_that_stays_open():
    server = FormServer(MALFORMED['last-size-with-a-tail'], stays=True)
    pieces = []

    async def check(address, _transfers):
        return await asyncio.wait_for(call(address, pieces.append), 3.0)

    outcome = asyncio.run(serve_and(server.serve, check))
    assert outcome.unwrap_err().kind is HttpErrorKind.BROKEN
    assert b''.join(pieces) == BODY
