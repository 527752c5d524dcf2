from math import inf

import pytest

from alliance.targets import AllianceTargets
from tests.gateway.samples import make_request
from wigeonmill.gateway.target_client import DEFAULT_IDLE_S
from wigeonmill.gateway.target_client import Instructions
from wigeonmill.gateway.target_client import usable_idle_s
from wigeonmill.providers.transfers import ReplyHead


def decode_head(status=200, **fields):
    rows = [(name.replace('_', '-'), str(v)) for name, v in fields.items()]
    return AllianceTargets().answer_head(ReplyHead(status, tuple(rows)))


def test_instructions_are_encoded_as_platform_headers():
    instructions = Instructions(
        'i-1',
        812.9,
        team='t',
        priority=0,
        weight_version=3,
        cache_salt='s',
        fetch_from=('1:1', None),
        save_to=(None, '2:2'),
        fetch_until_ms=77,
        last_event_id=0,
    )
    fields = dict(
        AllianceTargets().request_fields(make_request(), instructions)
    )
    assert fields == {
        'X-Other': '1',
        'Deadline-Ms': '812',
        'Expect-Instance': 'i-1',
        'Tenant': 't',
        'Request-Priority': '0',
        'Expect-Version': '3',
        'Cache-Salt': 's',
        'Kv-Source': '1:1,-',
        'Kv-Target': '-,2:2',
        'Kv-Until': '77',
        'Last-Event-Id': '0',
    }


def test_empty_fetch_sources_are_omitted():
    fields = dict(
        AllianceTargets().request_fields(
            make_request(), Instructions('i-1', 5.0, fetch_from=(None, None))
        )
    )
    assert 'Kv-Source' not in fields


def test_not_run_requires_the_header_of_the_target():
    assert decode_head(503, Not_Executed=1).not_run
    assert not decode_head(503).not_run
    assert decode_head(421, Instance_Id='i-2').wrong_target


def test_answer_head_is_decoded_without_hop_by_hop_fields():
    answer = decode_head(
        200,
        Request_Id='q1',
        Server_Seal='x',
        Connection='close',
        Keep_Alive='timeout=7',
        Transfer_Encoding='chunked',
        Server_Load='3,1,8',
        Weight_Versions='2',
    )
    assert answer.sealed
    assert answer.request_id == 'q1'
    assert answer.keep_alive_s == 7
    assert (answer.load.running, answer.load.waiting) == (3, 1)
    assert answer.weight_version == 2
    names = [name for name, _value in answer.fields]
    assert 'Connection' not in names
    assert 'Transfer-Encoding' not in names
    assert ('Server-Seal', 'x') in answer.fields


def load_of(text):
    load = decode_head(200, Server_Load=text).load
    return load and (load.running, load.waiting, load.slots, load.pace)


def test_a_malformed_figure_of_the_load_leaves_the_others_valid():
    assert load_of('3,1,8,250') == (3, 1, 8, 2.5)
    assert load_of('3,1,8') == (3, 1, 8, None)
    assert load_of('3,1,8,100,7') == (3, 1, 8, 1.0)
    assert load_of('3,x,8,250') == (3, None, 8, 2.5)
    assert load_of('-3,,8,') == (None, None, 8, None)
    assert load_of(',,,50') == (None, None, None, 0.5)
    assert load_of('x,y') is None


def test_absurd_figures_of_the_load_are_bounded():
    assert load_of('9' * 18 + ',1,8,0') == (10_000, 1, 8, None)
    assert load_of('9' * 19 + ',1,8,100') == (None, 1, 8, 1.0)


def test_content_encoding_marks_the_body_as_encoded():
    assert decode_head(Content_Encoding='gzip').encoded
    assert not decode_head(Content_Encoding='identity').encoded


# Guards against a leaving target whose statement is lost in an answer.
@pytest.mark.parametrize('status', [200, 400, 421, 429, 500, 503])
def test_leaving_is_decoded_from_answers_of_every_status(status):
    assert decode_head(status, Server_Leaving=1).notice.leaving
    assert decode_head(status, server_leaving=' 1 ').notice.leaving
    assert not decode_head(status).notice.leaving
    assert not decode_head(status, Server_Leaving=0).notice.leaving


def test_a_notice_names_the_target_that_answered():
    head = decode_head(421, Instance_Id='i-2', Server_Leaving=1)
    assert head.notice.target_id == 'i-2'


# Guards against a stated time that is misread or stops the decoding.
@pytest.mark.parametrize(
    ('text', 'closed_ms'),
    [
        ('2', 2_000.0),
        (' 0.25 ', 250.0),
        ('.5', 500.0),
        ('0', 0.0),
        ('9' * 20, 1e23),
        ('9' * 400, float('inf')),
    ],
)
def test_the_time_of_a_refusal_is_decoded(text, closed_ms):
    notice = decode_head(503, Not_Executed=1, Retry_After=text).notice
    assert notice.closed_ms == pytest.approx(closed_ms)
    assert notice.malformed is None


@pytest.mark.parametrize(
    'text',
    ['', '-3', '+3', '1e3', 'nan', 'inf', '1,5', '0x10', '1 2', '\u0663', '.']
    + ['Fri, 04 Dec 2026 09:00:00 GMT'],
)
def test_a_malformed_time_of_a_refusal_is_ignored_and_reported(text):
    notice = decode_head(503, Not_Executed=1, Retry_After=text).notice
    assert (notice.closed_ms, notice.malformed) == (None, text)


@pytest.mark.parametrize('status', [200, 421, 429, 500])
def test_only_a_503_closes_its_target(status):
    notice = decode_head(status, Retry_After='x').notice
    assert (notice.closed_ms, notice.malformed) == (None, None)
    assert decode_head(status, Retry_After=2).notice.closed_ms is None


# Guards against LIMIT: a stated limit that is not read, or is misread.
@pytest.mark.parametrize(
    ('text', 'per_s'),
    [
        ('3.9', 3.9),
        (' 1 ', 1.0),
        ('0', 0.0),
        ('.25', 0.25),
        ('0007', 7.0),
        ('9' * 400, inf),
    ],
)
@pytest.mark.parametrize('status', [200, 404, 421, 429, 500, 503])
def test_any_answer_may_name_a_limit(status, text, per_s):
    notice = decode_head(status, Server_Limit=text).notice
    assert notice.limit_per_s == per_s
    assert notice.malformed is None


@pytest.mark.parametrize('text', ['', '-1', '1e3', 'nan', '3,9', '3;w=1'])
def test_a_malformed_limit_says_nothing_and_is_reported(text):
    notice = decode_head(200, Server_Limit=text).notice
    assert (notice.limit_per_s, notice.malformed) == (None, text)


# Guards against a limit that ends by an answer of something in between.
@pytest.mark.parametrize(
    ('status', 'per_s'), [(200, inf), (204, inf), (421, None), (503, None)]
)
def test_only_a_success_without_a_limit_says_that_there_is_none(status, per_s):
    assert decode_head(status).notice.limit_per_s == per_s


# Guards against requests that end in an internal error: the time could not be
# used as a number, and each later request to that target met it.
@pytest.mark.parametrize('digits', [19, 400, 5_000])
def test_a_keep_alive_time_that_is_no_number_is_ignored(digits):
    head = decode_head(Keep_Alive='timeout=' + '9' * digits)
    assert head.keep_alive_s is None
    assert usable_idle_s(head.keep_alive_s, True) == DEFAULT_IDLE_S
