from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from alliance.callers import AllianceCallers
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal

START = RequestStartLine('POST', '/a/b?c=d', 'HTTP/1.1')


def make_headers(**changes):
    fields = {
        'Host': 'h.example',
        'Request-Id': 'q1',
        'Deadline-Ms': '3000',
        'Authorization': 'Bearer secret',
    } | changes
    headers = HTTPHeaders()
    for name, value in fields.items():
        headers.add(name.replace('_', '-'), value)
    return headers


def decode(headers, body=b''):
    return AllianceCallers().request(START, headers, body, 5.0)


def test_request_is_decoded():
    headers = make_headers(
        Model='m1',
        Token_Usage='1460,80',
        Prefix_Hash='5c1e:800,91bd:410, e440:250',
        Length_Hint='33',
        Last_Event_Id='12',
        Resumes='q0',
    )
    req = decode(headers, b'body').unwrap()
    assert (req.id, req.key, req.deadline_ms) == ('q1', 'secret', 3000.0)
    assert (req.method, req.target, req.path) == ('POST', '/a/b?c=d', '/a/b')
    assert req.last_event_id == 12
    assert req.resumed_id == 'q0'
    assert req.generation.prompt_tokens == 1460
    assert req.generation.max_answer_tokens == 80
    assert [part.tokens for part in req.generation.parts] == [800, 410, 250]
    assert req.generation.last_shared_part.id == '91bd'
    assert req.generation.expected_answer_tokens == 33


def test_fields_set_by_the_gateway_are_not_forwarded():
    sent_fields = {
        'Tenant': 'other',
        'Cache_Salt': 'x',
        'Kv_Source': '1',
        'Kv_Target': '1',
        'Kv_From': '1',
        'Kv_Backup': '1',
        'Kv_Until': '1',
        'Hold': '1',
        'Pin_Ms': '1',
        'Expect_Instance': 'i',
        'Expect_Version': '9',
        'Request_Priority': '0',
        'Connection': 'keep-alive, X-Hop',
        'X_Hop': '1',
        'Te': 'trailers',
        'Transfer_Encoding': 'chunked',
        'Model': 'm1',
        'X_Other': 'kept',
    }
    forwarded = dict(decode(make_headers(**sent_fields)).unwrap().fields)
    assert forwarded == {
        'Host': 'h.example',
        'Request-Id': 'q1',
        'Model': 'm1',
        'X-Other': 'kept',
    }


def test_malformed_deadline_is_refused():
    for text in ('soon', 'nan', 'inf', '-1'):
        outcome = decode(make_headers(Deadline_Ms=text))
        assert outcome.unwrap_err().reason is Reason.MALFORMED, text


@given(
    st.text('0123456789abc:,. -', max_size=30),
    st.text('0123456789,x ', max_size=12),
)
def test_malformed_prompt_headers_are_tolerated(parts, usage):
    headers = make_headers(
        Model='m', Prefix_Hash=parts.strip(), Token_Usage=usage.strip()
    )
    assert decode(headers).unwrap().generation.model == 'm'


def test_refusal_has_a_retry_after():
    refusal = Refusal(Reason.TARGETS_FULL, 'full', 412.0)
    fields, body = AllianceCallers().refusal(refusal, 'q1')
    assert dict(fields)['Retry-After'] == '0.42'
    assert dict(fields)['Request-Id'] == 'q1'
    assert b'targets_full' in body


# Guards against a crash of the reader of requests: a number of more digits
# than Python converts raised an exception.
def test_an_event_id_with_too_many_digits_raises_nothing():
    decode(make_headers(**{'Last-Event-Id': '1' * 5_000}))
