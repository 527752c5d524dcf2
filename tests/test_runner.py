"""The end of a process, whatever its tasks do."""

import asyncio
import subprocess
import sys
import time

import pytest

from wigeonmill.runner import run_process

MAX_S = 5.0
# A process of which one task never ends.
STUBBORN = """
import asyncio, sys
from wigeonmill.log import configure_logs
from wigeonmill.runner import run_process

async def stubborn():
    while True:
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            pass

async def main():
    asyncio.create_task(stubborn(), name='stubborn-1')
    await asyncio.sleep(0)
    return 7

configure_logs('p', 'INFO')
sys.exit(run_process(main(), 0.1))
"""


async def end_after(cancellations, ends):
    for _cancellation in range(cancellations):
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            continue
    ends.append(cancellations)


# Guards against a process that does not stop: its tasks were cancelled once,
# and the loop waited for one that had gone on.
@pytest.mark.parametrize('cancellations', [1, 2, 3])
def test_a_task_is_cancelled_until_it_ends(cancellations, caplog):
    ends = []
    started_s = time.monotonic()

    async def main():
        asyncio.ensure_future(end_after(cancellations, ends))
        await asyncio.sleep(0)
        return 7

    assert run_process(main(), 1.0) == 7
    assert ends == [cancellations]
    assert time.monotonic() - started_s < MAX_S
    assert 'task left behind' not in caplog.text


def test_a_process_ends_with_its_exit_code_beside_a_task_that_does_not():
    started_s = time.monotonic()
    done = subprocess.run(
        [sys.executable, '-c', STUBBORN],
        capture_output=True,
        text=True,
        timeout=10.0,
    )
    assert done.returncode == 7, done.stderr
    assert time.monotonic() - started_s < MAX_S
    assert 'task left behind' in done.stdout
    assert 'stubborn-1' in done.stdout
    assert '"calls": ["stubborn", "sleep"]' in done.stdout


def test_the_error_of_a_process_is_raised_after_its_tasks_have_ended():
    ends = []
    started_s = time.monotonic()

    async def main():
        asyncio.ensure_future(end_after(2, ends))
        await asyncio.sleep(0)
        raise SystemExit(1)

    with pytest.raises(SystemExit):
        run_process(main(), 1.0)
    assert ends == [2]
    assert time.monotonic() - started_s < MAX_S
