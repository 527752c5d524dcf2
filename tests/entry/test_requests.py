"""Validation of the headers of callers' requests."""

import pytest

from wigeonmill.config.model import Limits
from wigeonmill.entry.requests import ALLOWED_PRIORITIES
from wigeonmill.entry.requests import parse_deadline
from wigeonmill.entry.requests import parse_priority


@pytest.mark.parametrize(
    'text', ['10', '000000000999', '0' * 400 + '99', '-1', '1.0', 'x']
)
def test_a_priority_out_of_range_is_malformed(text):
    assert parse_priority(text, 'X-Priority', ALLOWED_PRIORITIES).is_err()


def test_a_priority_in_range_is_accepted():
    found = parse_priority('09', 'X-Priority', ALLOWED_PRIORITIES)
    assert found.unwrap() == 9


@pytest.mark.parametrize('text', ['0', '-5', '1e3', '0' * 400])
def test_a_malformed_deadline_is_refused(text):
    assert parse_deadline(text, Limits()).is_err()


@pytest.mark.parametrize('text', ['000600000', '9' * 400])
def test_a_long_deadline_is_limited(text):
    limits = Limits()
    longest_ms = limits.max_deadline_ms
    expected_ms = min(int(text), longest_ms)
    assert parse_deadline(text, limits).unwrap() == expected_ms
