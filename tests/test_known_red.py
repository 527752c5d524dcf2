"""The list of known red tests names tests that exist, and no others pass."""

import subprocess
import sys

from tests.conftest import KNOWN_RED
from tests.conftest import known_red


def test_only_whole_lines_of_the_list_name_tests():
    text = '1. x (issue 3)\n   test: tests/a.py::test_b[2]\n   a test: no\n'
    assert known_red(text) == {'tests/a.py::test_b[2]'}


def test_every_listed_test_exists():
    for test_id in known_red(KNOWN_RED.read_text()):
        found = subprocess.run(
            [sys.executable, '-m', 'pytest', '--collect-only', test_id],
            capture_output=True,
            cwd=KNOWN_RED.parent,
        )
        assert found.returncode == 0, test_id
