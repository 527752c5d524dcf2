"""Logging is bounded and never blocks the process."""

import json
import logging
import os
import time

from wigeonmill.log import BoundedHandler
from wigeonmill.log import MAX_UNWRITTEN_BYTES


def make_logger(handler):
    logger = logging.Logger('test')
    handler.setFormatter(logging.Formatter('%(message)s'))
    logger.addHandler(handler)
    return logger


def test_stalled_reader_loses_lines_without_blocking():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, 1e9, 1e9)
    logger = make_logger(handler)
    start_s = time.monotonic()
    for _ in range(20_000):
        logger.info('x' * 100)
    assert time.monotonic() - start_s < 5.0
    assert handler.dropped > 0
    assert len(handler._unwritten) <= MAX_UNWRITTEN_BYTES + 200
    os.close(reader)
    logger.info('nobody reads')
    os.close(writer)


def test_lines_over_the_rate_limit_are_counted_and_reported():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, 0.0, 3.0)
    logger = make_logger(handler)
    for number in range(10):
        logger.info('line %d', number)
    logger.warning('always')
    os.close(writer)
    lines = os.read(reader, 65_536).decode().splitlines()
    os.close(reader)
    assert lines[:3] == ['line 0', 'line 1', 'line 2']
    assert json.loads(lines[3]) == {'message': 'lines dropped', 'count': 7}
    assert lines[4] == 'always'


def test_a_flood_of_errors_is_bounded_and_counted():
    """Failure: none. Errors were written without a limit, 139 MB of them."""
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, 0.0, 3.0, 0.0, 2.0)
    logger = make_logger(handler)
    for number in range(10):
        logger.error('error %d', number)
    logger.info('line')
    os.close(writer)
    lines = os.read(reader, 65_536).decode().splitlines()
    os.close(reader)
    assert lines[:2] == ['error 0', 'error 1']
    assert json.loads(lines[2]) == {'message': 'lines dropped', 'count': 8}
    assert lines[3] == 'line'
