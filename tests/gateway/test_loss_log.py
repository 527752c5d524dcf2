"""Losses that this entry observed are known by their time."""

from math import inf

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.loss_log import RunOutcome
from wigeonmill.gateway.loss_log import SERVED


def test_only_own_losses_count_as_the_last_local_one():
    clock = ManualClock()
    log = LossLog(clock)
    now_ms = clock.now_ms()
    log.add_request(b'f', 'e0', local=False, at_ms=now_ms)
    log.add_request(b'f', SERVED, local=True, at_ms=now_ms)
    log.add_parts(RunOutcome((b'p',)), clock.now_ms(), local=True)
    assert log.last_local_ms == -inf
    log.add_request(b'f', 'e0', local=True, at_ms=now_ms)
    assert log.last_local_ms == clock.now_ms()
