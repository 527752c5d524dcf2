from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.gateway.event_stream import EventSplitter

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 5\ndata: c\n\n'


@given(st.lists(st.integers(1, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_how_the_bytes_are_split(splits):
    splitter = EventSplitter()
    events = []
    bounds = sorted({0, len(STREAM), *splits})
    for start, end in zip(bounds, bounds[1:]):
        events += splitter.feed(STREAM[start:end])
    assert b''.join(event.data for event in events) == STREAM
    assert [event.id for event in events] == [1, 2, None, 5]
    assert splitter.remainder == b''


def test_an_incomplete_event_is_not_returned():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 7\ndata: ha') == []
    assert splitter.remainder == b'id: 7\ndata: ha'


def test_carriage_returns_end_lines_too():
    events = EventSplitter().feed(b'id:3\r\ndata: x\r\n\r\n')
    assert [event.id for event in events] == [3]


@pytest.mark.parametrize(
    ('data', 'inside'),
    [
        (b'', False),
        (b'id: 1\n\n', False),
        (b'id: 1\n\n\n', False),
        (b'id: 1\r\n\r\n\r\n', False),
        (b'id: 1\n\n: note\n', False),
        (b'id: 1\n\n: no', True),
        (b'id: 1\n\ni', True),
        (b'id: 1\n\n: note\nid: 2\n', True),
        (b'id: 1\n', True),
        (b'id: 1\r', True),
    ],
)
def test_only_blank_lines_and_comments_may_follow_the_last_event(data, inside):
    splitter = EventSplitter()
    splitter.feed(data)
    assert splitter.inside_event is inside
