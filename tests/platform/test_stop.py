"""The end of a process: every task ends once it is cancelled."""

import asyncio

import pytest

from tests.platform.test_start import end_tasks
from tests.platform.test_start import make_role
from tests.providers.held_transfers import HeldTransfers


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
