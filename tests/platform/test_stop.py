"""The end of a process: every task ends once it is cancelled."""

import asyncio
import math
import os
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from tests.platform.test_start import end_tasks
from tests.platform.test_start import make_role
from tests.platform.test_start import ROOT
from tests.platform.test_start import SETTINGS
from tests.providers.held_transfers import HeldTransfers

# Runs a gateway process that is stopped at once, with a task that never ends.
STUBBORN = """
import asyncio, sys, time
from alliance.daemon import main
from wigeonmill.gateway.role import GatewayRole

serve = GatewayRole.run

async def stubborn():
    while True:
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            pass

async def run(role):
    asyncio.ensure_future(stubborn())
    role._stop.set()
    await serve(role)

GatewayRole.run = run
sys.exit(main(time.monotonic() * 1000.0))
"""

# Stops a gateway process by SIGTERM while a stream stays open and the
# key-value service doesn't answer.
BUSY = """
import asyncio, os, runpy, signal, sys, time
from wigeonmill.gateway.registration import Registration
from wigeonmill.gateway.role import GatewayRole
from wigeonmill.gateway.server import GatewayServer

serve = GatewayRole.run

async def silent(registration):
    await asyncio.Event().wait()

def terminate():
    print('terminated', time.time(), file=sys.stderr, flush=True)
    os.kill(os.getpid(), signal.SIGTERM)

async def run(role):
    asyncio.get_running_loop().call_later(0.5, terminate)
    await serve(role)

GatewayServer.open_requests = property(lambda server: 1)
Registration.withdraw = silent
GatewayRole.run = run
runpy.run_path(sys.argv[1], run_name='__main__')
"""


def run_process(tmp_path, code, grace_ms, *args):
    """Run a gateway process whose classes `code` has changed."""
    settings = msgspec.structs.replace(SETTINGS, grace_ms=grace_ms)
    path = tmp_path / 'settings.json'
    path.write_bytes(msgspec.json.encode(settings))
    env = os.environ | {
        'PYTHONPATH': f'{ROOT}{os.pathsep}{ROOT / "platform"}',
        'WIGEONMILL_CONFIG': str(path),
    }
    return subprocess.run(
        [sys.executable, '-c', code, *map(str, args)],
        capture_output=True,
        text=True,
        env=env,
        timeout=20.0,
    )


async def tasks_left(turns):
    """Cancel a role's tasks some turns of the loop after their calls end.

    Returns how many of them have not ended by themselves.
    """
    transfers = HeldTransfers()
    role = await make_role(transfers=transfers)
    running = asyncio.ensure_future(role.run())
    try:
        while len(transfers.started) < 3:
            await asyncio.sleep(0.01)
        tasks = asyncio.all_tasks() - {asyncio.current_task(), running}
        transfers.end_all()
        for _turn in range(turns):
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        _ended, left = await asyncio.wait(tasks, timeout=0.5)
        return len(left)
    finally:
        await end_tasks()


# Guards against a process that never stops: the loops of its leases dropped a
# cancellation that came as their calls ended, and went on.
@pytest.mark.parametrize('turns', range(4))
def test_a_call_that_ends_does_not_hide_the_end_of_its_loop(turns):
    assert asyncio.run(tasks_left(turns)) == 0


# Guards against an operator's restart that stands still: a process waited
# without a limit for a task that had been cancelled.
def test_a_gateway_process_ends_beside_a_task_that_does_not(tmp_path):
    done = run_process(tmp_path, STUBBORN, 1_000.0)
    assert done.returncode == 0, done.stderr
    assert '"stopped"' in done.stdout
    assert '"calls": ["stubborn", "sleep"]' in done.stdout


# Guards against a process that is killed at the end of its grace time: the
# last calls and the exit came on top of a drain that took all of it.
@pytest.mark.parametrize('grace_s', [4.0, 8.0])
def test_a_gateway_process_with_an_open_stream_ends_in_its_time(
    tmp_path, grace_s
):
    done = run_process(
        tmp_path, BUSY, grace_s * 1000.0, ROOT / 'platform/wigeonmilld.py'
    )
    ended_s = time.time()
    assert done.returncode == 0, done.stderr
    assert '"stopped"' in done.stdout
    terminated_s = float(done.stderr.split()[-1])
    assert ended_s - terminated_s < grace_s


# Guards against a process that does not stop: the close of its callers'
# connections waited without a limit.
def test_a_stop_does_not_wait_for_a_connection_that_stays(monkeypatch):
    monkeypatch.setattr('wigeonmill.gateway.role.DRAIN_FRACTION', 0.0)
    monkeypatch.setattr('wigeonmill.gateway.role.STOP_MS', math.inf)

    async def run():
        role = await make_role()
        monkeypatch.setattr(role._server, 'close', asyncio.Event().wait)
        role._stop.set()
        running = asyncio.ensure_future(role.run())
        await asyncio.wait([running], timeout=5.0)
        ended = running.done()
        await end_tasks()
        return ended

    before = signal.getsignal(signal.SIGHUP)
    try:
        assert asyncio.run(run())
    finally:
        signal.signal(signal.SIGHUP, before)
