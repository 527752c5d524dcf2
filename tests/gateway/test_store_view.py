"""Stored parts are fetched only while they are surely whole."""

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import MAX_PENDING_SAVES
from wigeonmill.gateway.store_view import MAX_TOLD_EVENTS
from wigeonmill.gateway.store_view import SAVE_PENDING_MS
from wigeonmill.gateway.store_view import SaveDecision
from wigeonmill.gateway.store_view import SharedNews
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.store_view import TRUST_MS

WHOLE = CacheEvent(True, 's', 'p', 640)


def news(clock, boot=1, events=(), lost=False, number=1):
    return CacheEventBatch(
        boot, number, lost, int(clock.now_ms()), tuple(events)
    )


def followed(clock, boot=1):
    view = StoreView(clock, '127.0.0.1:1')
    view.apply_events(news(clock, boot), clock.now_ms())
    view.apply_listing(CacheListing(boot, 1, ()))
    view.apply_events(news(clock, boot), clock.now_ms())
    return view


def test_a_part_is_fetched_once_it_is_reported_whole():
    clock = ManualClock()
    view = followed(clock)
    assert view.available_tokens('s', 'p') == 0
    view.apply_events(news(clock, events=[WHOLE]), clock.now_ms())
    assert view.available_tokens('s', 'p') == 640
    assert view.available_tokens('other', 'p') == 0
    assert view.fetch_until_ms == clock.now_ms() + TRUST_MS


def test_a_store_that_does_not_answer_is_not_relied_on():
    clock = ManualClock()
    view = followed(clock)
    view.apply_events(news(clock, events=[WHOLE]), clock.now_ms())
    clock.advance(TRUST_MS)
    assert view.available_tokens('s', 'p') == 0
    assert view.start_save('s', 'q') is SaveDecision.NOT_FOLLOWED


def test_trust_counts_from_when_the_answer_was_asked_for():
    clock = ManualClock()
    view = followed(clock)
    asked_ms = clock.now_ms()
    clock.advance(TRUST_MS - 500)
    view.apply_events(news(clock, events=[WHOLE]), asked_ms)
    clock.advance(400)
    assert view.available_tokens('s', 'p') == 0


def test_after_a_restart_nothing_is_held_and_nothing_saved_for_a_while():
    """Another entry may fetch by its old news for as long as it is trusted."""
    clock = ManualClock()
    view = followed(clock)
    clock.advance(TRUST_MS * 2)
    view.apply_events(news(clock), clock.now_ms())
    other = followed(clock)
    other.apply_events(news(clock, events=[WHOLE]), clock.now_ms())
    fetch_until_ms = other.fetch_until_ms
    assert not view.apply_events(news(clock, boot=2), clock.now_ms())
    view.apply_listing(CacheListing(2, 0, ()))
    while True:
        view.apply_events(news(clock, boot=2), clock.now_ms())
        if view.start_save('s', 'p') is SaveDecision.SAVE:
            break
        clock.advance(50)
    assert clock.now_ms() > fetch_until_ms


def test_a_gap_in_the_events_wants_a_listing():
    clock = ManualClock()
    view = followed(clock)
    assert not view.apply_events(news(clock, lost=True), clock.now_ms())
    view.apply_listing(CacheListing(1, 9, (WHOLE,)))
    assert view.next == 9
    assert view.available_tokens('s', 'p') == 640


def test_a_part_is_saved_by_one_request_at_a_time():
    clock = ManualClock()
    view = followed(clock)
    clock.advance(TRUST_MS * 2)
    view.apply_events(news(clock), clock.now_ms())
    assert view.start_save('s', 'p') is SaveDecision.SAVE
    assert view.start_save('s', 'p') is SaveDecision.UNDER_WAY
    clock.advance(SAVE_PENDING_MS)
    view.apply_events(news(clock), clock.now_ms())
    assert view.start_save('s', 'p') is SaveDecision.SAVE
    view.apply_events(news(clock, events=[WHOLE]), clock.now_ms())
    assert view.start_save('s', 'p') is SaveDecision.HELD


def test_saves_that_were_lost_are_forgotten():
    clock = ManualClock()
    view = followed(clock)
    clock.advance(TRUST_MS * 2)
    for number in range(MAX_PENDING_SAVES * 2):
        if number % 100 == 0:
            clock.advance(500)
            view.apply_events(news(clock), clock.now_ms())
        assert view.start_save('s', f'p{number}') is SaveDecision.SAVE
    assert len(view._pending) <= MAX_PENDING_SAVES


def test_what_another_entry_knew_is_trusted_from_when_it_had_asked():
    clock = ManualClock()
    mine, theirs = followed(clock), followed(clock)
    asked_ms = clock.now_ms()
    theirs.apply_events(news(clock, events=[WHOLE], number=2), asked_ms)
    clock.advance(1_000)
    sent_ms = clock.now_ms()
    shared = theirs.share(mine.boot, mine.next)
    clock.advance(200)
    mine.take_shared(shared, sent_ms)
    assert mine.available_tokens('s', 'p') == 640
    assert mine.next == 2
    assert mine.fetch_until_ms == theirs.fetch_until_ms
    clock.set_ms(asked_ms + TRUST_MS)
    assert mine.available_tokens('s', 'p') == 0


def test_news_of_another_start_are_left_to_a_poll():
    clock = ManualClock()
    mine, theirs = followed(clock, boot=1), followed(clock, boot=2)
    assert theirs.share(mine.boot, mine.next) is None
    mine.take_shared(SharedNews(2, 9, 99_000, 0.0, (WHOLE,)), clock.now_ms())
    assert mine.boot == 1
    assert mine.available_tokens('s', 'p') == 0


def test_older_news_of_another_entry_take_nothing_back():
    clock = ManualClock()
    view = followed(clock)
    gone = CacheEvent(False, 's', 'p', 0)
    view.apply_events(news(clock, events=[WHOLE], number=2), clock.now_ms())
    view.apply_events(news(clock, events=[gone], number=3), clock.now_ms())
    old = SharedNews(1, 2, int(clock.now_ms()), 0.0, (WHOLE,))
    view.take_shared(old, clock.now_ms())
    assert view.available_tokens('s', 'p') == 0


def test_what_is_no_longer_kept_is_not_shared():
    clock = ManualClock()
    mine, theirs = followed(clock), followed(clock)
    for number in range(2, MAX_TOLD_EVENTS + 4):
        event = CacheEvent(True, 's', f'p{number}', 64)
        theirs.apply_events(news(clock, events=[event], number=number), 0.0)
    assert theirs.share(mine.boot, mine.next) is None
    recent = theirs.share(mine.boot, theirs.next - 2)
    assert [event.part for event in recent.events] == [
        f'p{theirs.next - 1}',
        f'p{theirs.next}',
    ]


def test_the_stores_clock_is_told_from_the_answer_that_came_fastest():
    clock = ManualClock()
    view = followed(clock)
    ahead_ms = 50_000
    for delay_ms in (400.0, 5.0, 300.0):
        clock_ms = int(clock.now_ms()) + ahead_ms
        clock.advance(delay_ms)
        told = CacheEventBatch(view.boot, view.next, False, clock_ms, ())
        view.apply_events(told, clock.now_ms() - delay_ms)
    behind_ms = clock.now_ms() + ahead_ms - view.store_now_ms
    assert 0.0 <= behind_ms <= 6.0
