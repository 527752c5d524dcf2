"""Many callers that read or send a byte a second; nothing is sent here."""

import asyncio

import pytest

from tests.gateway.fakes import FakeChannel
from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.held_bytes import LOW_WATER_BYTES

MB = 1_000_000
# What the targets' pages call some seconds, at least.
TARGETS_CUT_MS = 2_000.0


class Reader(FakeChannel):
    """A caller that reads `per_s` bytes a second of what was written."""

    def __init__(self, held, clock, per_s):
        super().__init__()
        self._held = held
        self._clock = clock
        self._per_s = per_s
        self._read_ms = clock.now_ms()
        self.holding.read_unsent = self.read

    def write(self, size):
        self.unsent_bytes = self.read() + size
        self._held.record_written(self.holding, size)

    def read(self):
        read = int((self._clock.now_ms() - self._read_ms) / 1e3 * self._per_s)
        if read:
            self._read_ms = self._clock.now_ms()
            self.unsent_bytes = max(0, self.unsent_bytes - read)
        return self.unsent_bytes


def fail(_why=''):
    raise AssertionError('ended without need')


def make_held(max_bytes=10 * MB):
    clock = ManualClock(1_000_000.0)
    return HeldBytes(clock, max_bytes), clock


def test_many_readers_of_a_byte_a_second_stay_below_the_bound():
    held, clock = make_held()
    readers = [Reader(held, clock, per_s=1) for _number in range(500)]
    for _second in range(60):
        for reader in readers:
            if not reader.ended and not held.is_behind(reader.holding):
                reader.write(16 * 1024)
        clock.advance(1_000.0)
        held.check()
        assert held.total <= 10 * MB
    assert held.total == sum(r.unsent_bytes for r in readers if not r.ended)


def test_the_caller_that_read_nothing_for_the_longest_ends_first():
    held, clock = make_held()
    never = Reader(held, clock, per_s=0)
    never.write(4 * MB)
    slow = Reader(held, clock, per_s=1)
    slow.write(4 * MB)
    clock.advance(5_000.0)
    held.check()
    late = Reader(held, clock, per_s=0)
    late.write(4 * MB)
    assert (never.ended, slow.ended, late.ended) == ('memory', '', '')
    assert held.total <= 8 * MB


def test_a_caller_that_reads_is_not_ended_for_others():
    held, clock = make_held()
    fast = Reader(held, clock, per_s=100 * MB)
    fast.write(6 * MB)
    never = Reader(held, clock, per_s=0)
    clock.advance(100.0)
    never.write(6 * MB)
    assert not fast.ended and not never.ended


def test_requests_that_wait_for_their_targets_are_not_ended():
    held, _clock = make_held()
    channel = FakeChannel()
    held.set_input(channel.holding, 20 * MB, complete=True)
    assert not channel.ended


def test_bodies_that_are_sent_slowly_count_and_the_most_idle_ends():
    held, clock = make_held()
    stopped, sending = FakeChannel(), FakeChannel()
    held.set_input(stopped.holding, 5 * MB, complete=False)
    for size in range(4 * MB, 6 * MB, MB // 2):
        clock.advance(1_000.0)
        held.set_input(sending.holding, size, complete=False)
    assert (stopped.ended, sending.ended) == ('memory', '')


def test_a_caller_that_never_reads_ends_with_its_own_time():
    held, clock = make_held()
    never = Reader(held, clock, per_s=0)
    never.holding.deadline_ms = clock.now_ms() + 12_000.0
    never.write(1_000)
    for _tick in range(119):
        clock.advance(100.0)
        held.check()
    assert not never.ended
    for _tick in range(2):
        clock.advance(100.0)
        held.check()
    assert never.ended == 'deadline'
    assert held.total == 0


def test_an_answer_that_is_ready_late_is_delivered():
    held, clock = make_held()
    reader = Reader(held, clock, per_s=1_000)
    reader.holding.deadline_ms = clock.now_ms() - 5_000.0
    reader.write(20_000)
    for _tick in range(250):
        clock.advance(100.0)
        held.check()
    assert not reader.ended
    assert held.total == 0


def test_callers_are_not_ended_for_the_time_in_which_the_entry_stood_still():
    """Failure: the entry is frozen while its callers would read."""
    held, clock = make_held()
    reader = Reader(held, clock, per_s=0)
    reader.holding.deadline_ms = clock.now_ms() + 1_000.0
    reader.write(100_000)
    held.check()
    clock.advance(8_000.0)
    held.check()
    assert not reader.ended
    reader.unsent_bytes = 0
    held.check()
    assert held.total == 0


def test_a_target_is_read_on_before_it_cuts_off():
    """Load: a caller that never reads, with all of its time left."""
    held, clock = make_held()
    never = Reader(held, clock, per_s=0)
    never.write(2 * LOW_WATER_BYTES)
    started_ms = clock.now_ms()
    run_virtual(clock, held.wait(never.holding, started_ms + 15_000.0))
    assert clock.now_ms() - started_ms < TARGETS_CUT_MS


def test_a_wait_ends_once_the_caller_has_read():
    held, clock = make_held()
    reader = Reader(held, clock, per_s=MB)
    reader.write(2 * LOW_WATER_BYTES)

    async def check_at_intervals():
        while True:
            await asyncio.sleep(0.1)
            held.check()

    async def run():
        checking = asyncio.ensure_future(check_at_intervals())
        await held.wait(reader.holding, clock.now_ms() + 15_000.0)
        checking.cancel()

    started_ms = clock.now_ms()
    run_virtual(clock, run())
    assert clock.now_ms() - started_ms < 300.0


@pytest.mark.parametrize('complete', [True, False])
def test_without_a_bound_nobody_waits_or_ends(complete):
    held, clock = make_held(max_bytes=0)
    never = Reader(held, clock, per_s=0)
    never.holding.deadline_ms = clock.now_ms()
    held.set_input(never.holding, 50 * MB, complete)
    never.write(50 * MB)
    held.set_collected(held.collect(never.holding, fail), 50 * MB)
    clock.advance(60_000.0)
    held.check()
    assert not held.is_behind(never.holding)
    assert not never.ended


def test_answers_under_way_leave_nothing_behind_as_they_end():
    held, clock = make_held()
    never = Reader(held, clock, per_s=0)
    collection = held.collect(never.holding, fail)
    held.set_collected(collection, MB)
    never.write(8 * MB)
    clock.advance(1.0)
    other = Reader(held, clock, per_s=0)
    other.write(4 * MB)
    assert never.ended == 'memory'
    held.set_collected(collection, 0)
    assert held.total == 4 * MB


class Answer:
    """An answer that is read completely before it is passed on."""

    def __init__(self, held):
        self.broken = False
        self.holding = Holding(fail, lambda: 0)
        self._held = held
        self._collection = held.collect(self.holding, self._break_off)

    def _break_off(self):
        self.broken = True
        self.end()

    def read(self, size):
        self._held.set_collected(
            self._collection, self._collection.size + size
        )

    def end(self):
        self._held.set_collected(self._collection, 0)

    @property
    def size(self):
        return self._collection.size


def read_answers(held, clock, answers, seconds, may_read):
    """Let targets send as fast as their answers are read."""
    for _step in range(int(seconds * 100)):
        for number, answer in enumerate(answers):
            if answer.broken or not may_read(number, clock.now_ms()):
                continue
            if not held.is_behind(answer.holding):
                answer.read(64 * 1024)
            if answer.size >= 4 * MB:
                answer.end()
        clock.advance(10.0)
        held.check()
        yield


# Guards against LOST: what targets sent without end was bounded for each
# answer, but not for all of them.
def test_answers_under_way_go_on_one_at_a_time_when_there_is_too_much():
    held, clock = make_held()
    answers = [Answer(held) for _number in range(40)]
    done = 0
    for _ in read_answers(held, clock, answers, 30, lambda _n, _ms: True):
        assert held.total <= 15 * MB
        done += sum(answer.size == 0 for answer in answers)
    assert not any(answer.broken for answer in answers)
    assert done


# Guards against LOST: answers that stopped halfway kept the memory, and nobody
# else was served.
def test_the_answer_that_holds_most_and_does_not_come_is_ended():
    held, clock = make_held()
    stalled = [Answer(held) for _number in range(3)]
    for number, answer in enumerate(stalled):
        answer.read((3 + number) * MB)
    coming = Answer(held)
    for _ in read_answers(held, clock, [coming], 4, lambda _n, _ms: True):
        # Small answers go on beside them.
        small = Answer(held)
        small.read(2_000)
        small.end()
    assert [answer.broken for answer in stalled] == [False, False, True]
    assert not coming.broken
    assert held.total < 10 * MB


def test_a_small_answer_does_not_wait_for_others():
    held, _clock = make_held()
    Answer(held).read(9 * MB)
    Answer(held).read(2 * MB)
    small, larger = Answer(held), Answer(held)
    small.read(2_000)
    larger.read(200_000)
    assert not held.is_behind(small.holding)
    assert held.is_behind(larger.holding)


def test_answers_far_beyond_the_bound_are_ended_at_once():
    held, _clock = make_held()
    answers = [Answer(held) for _number in range(6)]
    for answer in answers:
        answer.read(3 * MB)
    assert sum(answer.broken for answer in answers) == 2
    assert held.total <= 15 * MB


class Body:
    """A body that is being read, or that waits for its target."""

    def __init__(self, held, size, complete=False):
        self.ended = ''
        self.holding = Holding(self.end, lambda: 0)
        self._held = held
        self.set_size(size, complete)

    def end(self, why):
        self.ended = why

    def set_size(self, size, complete=False):
        self._held.set_input(self.holding, size, complete)


def test_whole_bodies_leave_no_room_for_others():
    """Load: whole bodies, which nothing ends, wait for their targets."""
    held, _clock = make_held(10 * MB)
    for _number in range(2):
        assert held.has_room(4 * MB)
        Body(held, 4 * MB, complete=True)
    assert not held.has_room(4 * MB)
    assert not held.has_room(1 * MB)
    assert held.has_room(1_000)
    assert held.total <= 10 * MB


def test_a_body_that_is_alone_always_has_room():
    held, clock = make_held(2 * MB)
    assert held.has_room(4 * MB)
    body = Body(held, 3 * MB)
    clock.advance(60_000.0)
    body.set_size(4 * MB)
    held.check()
    body.set_size(4 * MB, complete=True)
    assert body.ended == ''


def test_small_bodies_are_served_beside_a_crowd():
    """Failure: an ordinary caller was ended, as it was idle for longest."""
    held, clock = make_held(10 * MB)
    small = Body(held, 200)
    for _number in range(40):
        clock.advance(10.0)
        Body(held, 3 * MB)
        assert held.total <= 10 * MB
    assert small.ended == ''


def test_a_body_that_grows_outlasts_those_that_stopped():
    held, clock = make_held(10 * MB)
    stopped = [Body(held, 3 * MB) for _number in range(2)]
    growing = Body(held, 1 * MB)
    for size in range(1, 5):
        clock.advance(100.0)
        growing.set_size(size * MB)
    assert growing.ended == ''
    assert [body.ended for body in stopped] == ['memory', '']


def test_the_account_is_empty_once_all_have_gone():
    held, _clock = make_held(10 * MB)
    bodies = [Body(held, MB), Body(held, MB, complete=True)]
    held.release(bodies[0].holding)
    held.release_input(bodies[1].holding)
    assert held.total == 0
    assert held.has_room(8 * MB)
