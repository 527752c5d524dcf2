"""Stored parts are fetched only while they are certain to be complete."""

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import MAX_PENDING_SAVES
from wigeonmill.gateway.store_view import MAX_RECENT_EVENTS
from wigeonmill.gateway.store_view import PeerEventBatch
from wigeonmill.gateway.store_view import SAVE_PENDING_MS
from wigeonmill.gateway.store_view import SaveDecision
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.store_view import VALIDITY_MS

COMPLETE_PART = CacheEvent(True, 's', 'p', 640)


def make_batch(clock, boot=1, events=(), lost=False, number=1):
    return CacheEventBatch(
        boot, number, lost, int(clock.now_ms()), tuple(events)
    )


def polled_view(clock, boot=1):
    view = StoreView(clock, '127.0.0.1:1')
    view.apply_events(make_batch(clock, boot), clock.now_ms())
    view.apply_listing(CacheListing(boot, 1, ()))
    view.apply_events(make_batch(clock, boot), clock.now_ms())
    return view


def test_a_part_is_available_once_reported_complete():
    clock = ManualClock()
    view = polled_view(clock)
    assert view.available_tokens('s', 'p') == 0
    view.apply_events(
        make_batch(clock, events=[COMPLETE_PART]), clock.now_ms()
    )
    assert view.available_tokens('s', 'p') == 640
    assert view.available_tokens('other', 'p') == 0
    assert view.fetch_until_ms == clock.now_ms() + VALIDITY_MS


def test_a_view_expires_if_the_store_does_not_respond():
    clock = ManualClock()
    view = polled_view(clock)
    view.apply_events(
        make_batch(clock, events=[COMPLETE_PART]), clock.now_ms()
    )
    clock.advance(VALIDITY_MS)
    assert view.available_tokens('s', 'p') == 0
    assert view.start_save('s', 'q') is SaveDecision.STORE_UNAVAILABLE


def test_validity_starts_when_the_poll_was_sent():
    clock = ManualClock()
    view = polled_view(clock)
    requested_ms = clock.now_ms()
    clock.advance(VALIDITY_MS - 500)
    view.apply_events(make_batch(clock, events=[COMPLETE_PART]), requested_ms)
    clock.advance(400)
    assert view.available_tokens('s', 'p') == 0


def test_no_save_after_a_restart_until_other_views_have_expired():
    """Until then another entry may still fetch by its older view."""
    clock = ManualClock()
    view = polled_view(clock)
    clock.advance(VALIDITY_MS * 2)
    view.apply_events(make_batch(clock), clock.now_ms())
    other = polled_view(clock)
    other.apply_events(
        make_batch(clock, events=[COMPLETE_PART]), clock.now_ms()
    )
    fetch_until_ms = other.fetch_until_ms
    assert not view.apply_events(make_batch(clock, boot=2), clock.now_ms())
    view.apply_listing(CacheListing(2, 0, ()))
    while True:
        view.apply_events(make_batch(clock, boot=2), clock.now_ms())
        if view.start_save('s', 'p') is SaveDecision.SAVE:
            break
        clock.advance(50)
    assert clock.now_ms() > fetch_until_ms


def test_lost_events_require_a_listing():
    clock = ManualClock()
    view = polled_view(clock)
    assert not view.apply_events(make_batch(clock, lost=True), clock.now_ms())
    view.apply_listing(CacheListing(1, 9, (COMPLETE_PART,)))
    assert view.next == 9
    assert view.available_tokens('s', 'p') == 640


def test_only_one_pending_save_per_part():
    clock = ManualClock()
    view = polled_view(clock)
    clock.advance(VALIDITY_MS * 2)
    view.apply_events(make_batch(clock), clock.now_ms())
    assert view.start_save('s', 'p') is SaveDecision.SAVE
    assert view.start_save('s', 'p') is SaveDecision.IN_PROGRESS
    clock.advance(SAVE_PENDING_MS)
    view.apply_events(make_batch(clock), clock.now_ms())
    assert view.start_save('s', 'p') is SaveDecision.SAVE
    view.apply_events(
        make_batch(clock, events=[COMPLETE_PART]), clock.now_ms()
    )
    assert view.start_save('s', 'p') is SaveDecision.HELD


def test_expired_pending_saves_are_dropped():
    clock = ManualClock()
    view = polled_view(clock)
    clock.advance(VALIDITY_MS * 2)
    for number in range(MAX_PENDING_SAVES * 2):
        if number % 100 == 0:
            clock.advance(500)
            view.apply_events(make_batch(clock), clock.now_ms())
        assert view.start_save('s', f'p{number}') is SaveDecision.SAVE
    assert len(view._pending) <= MAX_PENDING_SAVES


def test_validity_of_peer_events_starts_with_the_peers_poll():
    clock = ManualClock()
    mine, theirs = polled_view(clock), polled_view(clock)
    requested_ms = clock.now_ms()
    theirs.apply_events(
        make_batch(clock, events=[COMPLETE_PART], number=2), requested_ms
    )
    clock.advance(1_000)
    sent_ms = clock.now_ms()
    shared = theirs.events_after(mine.boot, mine.next)
    clock.advance(200)
    mine.apply_peer_events(shared, sent_ms)
    assert mine.available_tokens('s', 'p') == 640
    assert mine.next == 2
    assert mine.fetch_until_ms == theirs.fetch_until_ms
    clock.set_ms(requested_ms + VALIDITY_MS)
    assert mine.available_tokens('s', 'p') == 0


def test_peer_events_of_another_boot_are_ignored():
    clock = ManualClock()
    mine, theirs = polled_view(clock, boot=1), polled_view(clock, boot=2)
    assert theirs.events_after(mine.boot, mine.next) is None
    mine.apply_peer_events(
        PeerEventBatch(2, 9, 99_000, 0.0, (COMPLETE_PART,)), clock.now_ms()
    )
    assert mine.boot == 1
    assert mine.available_tokens('s', 'p') == 0


def test_older_peer_events_do_not_undo_newer_ones():
    clock = ManualClock()
    view = polled_view(clock)
    removed = CacheEvent(False, 's', 'p', 0)
    view.apply_events(
        make_batch(clock, events=[COMPLETE_PART], number=2), clock.now_ms()
    )
    view.apply_events(
        make_batch(clock, events=[removed], number=3), clock.now_ms()
    )
    old = PeerEventBatch(1, 2, int(clock.now_ms()), 0.0, (COMPLETE_PART,))
    view.apply_peer_events(old, clock.now_ms())
    assert view.available_tokens('s', 'p') == 0


def test_dropped_events_are_not_shared():
    clock = ManualClock()
    mine, theirs = polled_view(clock), polled_view(clock)
    for number in range(2, MAX_RECENT_EVENTS + 4):
        event = CacheEvent(True, 's', f'p{number}', 64)
        theirs.apply_events(
            make_batch(clock, events=[event], number=number), 0.0
        )
    assert theirs.events_after(mine.boot, mine.next) is None
    recent = theirs.events_after(mine.boot, theirs.next - 2)
    assert [event.part for event in recent.events] == [
        f'p{theirs.next - 1}',
        f'p{theirs.next}',
    ]


def test_the_clock_offset_is_taken_from_the_fastest_response():
    clock = ManualClock()
    view = polled_view(clock)
    ahead_ms = 50_000
    for delay_ms in (400.0, 5.0, 300.0):
        clock_ms = int(clock.now_ms()) + ahead_ms
        clock.advance(delay_ms)
        batch = CacheEventBatch(view.boot, view.next, False, clock_ms, ())
        view.apply_events(batch, clock.now_ms() - delay_ms)
    behind_ms = clock.now_ms() + ahead_ms - view.store_now_ms
    assert 0.0 <= behind_ms <= 6.0


def test_a_listing_that_was_overtaken_is_not_applied():
    clock = ManualClock()
    view = polled_view(clock)
    listing = CacheListing(view.boot, view.next, (COMPLETE_PART,))
    removed = CacheEvent(False, 's', 'p', 0)
    view.apply_events(
        make_batch(clock, events=[removed], number=view.next + 1),
        clock.now_ms(),
    )
    newest = view.next
    view.apply_listing(listing)
    assert view.available_tokens('s', 'p') == 0
    assert view.next == newest
