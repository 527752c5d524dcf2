"""KNOWN-RED.txt is parsed exactly and lists only existing tests."""

import subprocess
import sys

from tests.conftest import KNOWN_RED
from tests.conftest import parse_known_red


def test_only_lines_with_the_test_field_are_parsed():
    text = '1. x (issue 3)\n   test: tests/a.py::test_b[2]\n   a test: no\n'
    assert parse_known_red(text) == {'tests/a.py::test_b[2]'}


def test_every_listed_test_exists():
    for test_id in parse_known_red(KNOWN_RED.read_text()):
        collection = subprocess.run(
            [sys.executable, '-m', 'pytest', '--collect-only', test_id],
            capture_output=True,
            cwd=KNOWN_RED.parent,
        )
        assert collection.returncode == 0, test_id
