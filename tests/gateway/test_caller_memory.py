"""The bound of what callers hold follows what the process needs itself."""

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.caller_memory import CallerMemory
from wigeonmill.gateway.caller_memory import MEASURE_INTERVAL_MS
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.held_bytes import Holding

MB = 1_000_000


class Process:
    """A process on a machine of 150 MB."""

    def __init__(self, max_held_bytes=0):
        self.clock = ManualClock(1_000_000.0)
        self.held = HeldBytes(self.clock)
        self.resident = 50 * MB
        self.returned = 0
        self.separated = 0
        self.memory = CallerMemory(
            self.clock,
            self.held,
            150 * MB,
            max_held_bytes,
            lambda: self.resident,
            self.give_back,
            self.separate,
        )

    def give_back(self):
        self.returned += 1
        self.resident = 50 * MB

    def separate(self):
        self.separated += 1

    def hold(self, size):
        """Hold a body; return what holds it."""
        holding = Holding(lambda why: None, lambda: 0)
        self.held.set_input(holding, size, complete=True)
        self.resident += size
        return holding


def test_the_bound_is_a_share_of_what_is_left():
    assert Process().held.max_bytes == 40 * MB


def test_a_lower_bound_of_the_operators_applies():
    assert Process(max_held_bytes=8 * MB).held.max_bytes == 8 * MB
    assert Process(max_held_bytes=64 * MB).held.max_bytes == 40 * MB


def test_a_process_that_has_grown_leaves_less():
    process = Process()
    process.resident = 100 * MB
    process.memory.check()
    assert process.held.max_bytes == 40 * MB
    process.clock.advance(MEASURE_INTERVAL_MS)
    process.memory.check()
    assert process.held.max_bytes == 20 * MB


def test_what_callers_hold_does_not_count_as_need():
    process = Process()
    process.hold(30 * MB)
    process.clock.advance(MEASURE_INTERVAL_MS)
    process.memory.check()
    process.memory.measure()
    assert process.held.max_bytes == 40 * MB


def test_the_memory_of_a_crowd_is_returned_once_it_is_gone():
    process = Process()
    holding = process.hold(30 * MB)
    process.memory.check()
    assert process.returned == 0
    process.held.release(holding)
    process.memory.check()
    process.memory.check()
    assert process.returned == 1
    assert process.held.max_bytes == 40 * MB


def test_small_requests_return_no_memory():
    process = Process()
    holding = process.hold(2 * MB)
    process.memory.check()
    process.held.release(holding)
    process.memory.check()
    assert process.returned == 0


def test_large_blocks_are_separated_once_callers_hold_much():
    process = Process()
    process.memory.check()
    assert process.separated == 0
    process.hold(8 * MB)
    for _ in range(3):
        process.memory.check()
    assert process.separated == 1
