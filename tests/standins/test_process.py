"""Tests of stand-ins that run as processes of their own."""

import signal
import subprocess
import sys

from wigeonmill.standins.__main__ import KINDS


def start(*arguments):
    return subprocess.Popen(
        [sys.executable, '-m', 'wigeonmill.standins', *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_process_prints_its_addresses_and_stops_on_sigterm():
    options = '{"upstream": "127.0.0.1:9"}'
    process = start('fault-proxy', '--options', options)
    with process:
        ready = process.stdout.readline().split()
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    assert ready[0] == 'ready'
    assert ready[1] != ready[2]


def test_unknown_kinds_and_options_are_rejected():
    with start('teapot') as process:
        _out, err = process.communicate(timeout=10)
        assert all(kind in err for kind in KINDS)
    with start('ledger', '--options', '{"nmae": "x"}') as process:
        _out, err = process.communicate(timeout=10)
        assert 'nmae' in err
        assert process.returncode == 1
