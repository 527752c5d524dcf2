import asyncio

import pytest

from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.admission import Standing
from wigeonmill.gateway.waiting_room import LOOK_MS
from wigeonmill.gateway.waiting_room import MAX_LOOKS
from wigeonmill.gateway.waiting_room import MAX_WAITING_BYTES
from wigeonmill.gateway.waiting_room import Place
from wigeonmill.gateway.waiting_room import Turn
from wigeonmill.gateway.waiting_room import WaitingRoom


def make_place(rank=2, excess=0.5, bytes_=100, service='s', **changes):
    values = {
        'above_share': excess > 1.0,
        'is_late': False,
        'is_new': True,
        'session_served': True,
        'tokens': 1,
        'arrived_ms': 0.0,
    }
    standing = Standing(rank, **(values | changes))
    return Place(service, excess, standing, bytes_)


def test_requests_look_in_the_order_of_their_standing():
    clock = ManualClock()
    room = WaitingRoom(clock)
    places = {
        'less urgent': make_place(rank=3),
        'above its share': make_place(excess=2.0),
        'served before': make_place(),
        'a session never served so far': make_place(session_served=False),
        'returned': make_place(is_new=False),
    }
    looked = []

    async def wait(name, place):
        assert room.enter(place)
        assert await room.wait(place) is Turn.LOOK
        looked.append(name)
        room.leave(place)

    async def run():
        await asyncio.gather(*(wait(n, p) for n, p in places.items()))

    run_virtual(clock, run())
    assert looked == list(reversed(places))
    assert clock.now_ms() >= LOOK_MS
    assert room.waiting == 0


def test_a_slot_that_an_answer_frees_goes_to_one_request_at_once():
    clock = ManualClock(5.0)
    room = WaitingRoom(clock)
    first, second = make_place(rank=1), make_place()

    async def run():
        waits = []
        for place in (second, first):
            room.enter(place)
            waits.append(asyncio.ensure_future(room.wait(place)))
        await asyncio.sleep(0)
        room.offer_slot('another')
        assert first.waits and second.waits
        room.offer_slot('s')
        assert await waits[1] is Turn.SLOT
        assert second.waits
        room.leave(first)
        room.offer_slot('s')
        assert await waits[0] is Turn.SLOT
        room.leave(second)

    run_virtual(clock, run())
    assert clock.now_ms() < 5.0 + LOOK_MS


def test_when_full_the_team_furthest_above_its_share_goes():
    room = WaitingRoom(ManualClock(), limit=2)
    greedy, small = make_place(excess=3.0, rank=0), make_place(rank=4)
    assert room.enter(greedy)
    assert room.enter(small)
    assert room.enter(make_place())
    assert room.waiting == 2
    assert not room.enter(make_place(excess=2.0))
    assert run_virtual(ManualClock(), room.wait(greedy)) is Turn.DISPLACED


def test_the_bytes_of_waiting_requests_are_bounded():
    room = WaitingRoom(ManualClock())
    assert room.enter(make_place(bytes_=MAX_WAITING_BYTES))
    assert not room.enter(make_place(rank=5, bytes_=1))


def test_a_place_that_does_not_wait_starts_no_rounds():
    clock = ManualClock()
    room = WaitingRoom(clock)
    # Its time is over, and its request is just looking.
    looking, waiting = make_place(rank=1), make_place()
    looking.until_ms = 0.0
    room.enter(looking)
    room.enter(waiting)
    assert run_virtual(clock, room.wait(waiting)) is Turn.LOOK
    assert clock.now_ms() == pytest.approx(LOOK_MS, abs=0.01)


@pytest.mark.parametrize('until_ms', [0.0, 0.5])
def test_rounds_are_a_few_ms_apart(until_ms):
    clock = ManualClock()
    room = WaitingRoom(clock)
    place = make_place()
    place.until_ms = until_ms
    room.enter(place)
    assert run_virtual(clock, room.wait(place)) is Turn.LOOK
    assert clock.now_ms() >= 2.0


def test_many_waiting_requests_look_a_few_at_a_time():
    clock = ManualClock()
    room = WaitingRoom(clock)
    looks = []

    async def wait(place):
        await room.wait(place)
        looks.append(clock.now_ms())
        room.leave(place)

    async def run():
        places = [make_place() for _each in range(3 * MAX_LOOKS)]
        for place in places:
            room.enter(place)
        await asyncio.gather(*(wait(place) for place in places))

    run_virtual(clock, run())
    times = sorted(set(looks))
    assert len(times) == 3
    assert all(looks.count(at_ms) == MAX_LOOKS for at_ms in times)
