from wigeonmill.cache.view import CacheChange
from wigeonmill.cache.view import CacheEvent
from wigeonmill.cache.view import CacheView


def _stored(number, *keys):
    return CacheEvent(number, CacheChange.STORED, keys)


def _view():
    view = CacheView()
    view.on_listing('a', 10, [b'1', b'2'])
    return view


def test_events_are_applied_after_the_listing():
    view = _view()
    assert view.on_event('a', _stored(11, b'3'))
    assert view.cached_prefix([b'1', b'2', b'3', b'4']) == 3
    assert view.on_event('a', CacheEvent(12, CacheChange.REMOVED, (b'2',)))
    assert view.cached_prefix([b'1', b'2', b'3']) == 1
    assert view.on_event('a', _stored(11, b'2'))
    assert view.cached_prefix([b'1', b'2']) == 1
    assert view.on_event('a', CacheEvent(13, CacheChange.CLEARED))
    assert len(view) == 0


def test_a_gap_drops_the_view_until_a_listing():
    view = _view()
    assert not view.on_event('a', _stored(12, b'4'))
    assert view.needs_listing and view.gaps == 1
    assert view.cached_prefix([b'1']) == 0
    assert not view.on_event('a', _stored(13, b'5'))
    view.on_listing('a', 12, [b'1'])
    assert not view.needs_listing
    assert view.cached_prefix([b'1', b'5']) == 2


def test_a_listing_older_than_the_buffered_events_needs_another():
    view = _view()
    view.on_event('a', _stored(15, b'4'))
    view.on_listing('a', 12, [b'1'])
    assert view.needs_listing
    assert view.cached_prefix([b'1']) == 0


def test_a_new_incarnation_drops_the_view():
    view = _view()
    assert not view.on_event('b', _stored(11, b'3'))
    assert view.needs_listing and len(view) == 0
