"""Prints how long a state of each size takes to be in force everywhere.

Run by hand: python -m tests.platform.large_state_curve [MBPS [ENTRIES]]
"""

import asyncio
import sys

from tests.platform.large_state import make_large_state
from tests.platform.test_large_state import KEY
from tests.platform.test_large_state import play_fleet

ROUTE_COUNTS = (40, 400, 1_400, 3_000, 4_500, 7_000, 16_000)
BUSY_SHARE = 0.1
TIMEOUT_S = 20.0
POLL_S = 0.01


async def time_changes(store, entries):
    """Print the times of a state that grows and of a small change to it."""
    for route_count in ROUTE_COUNTS:
        grown = make_large_state(2, route_count)
        changed = make_large_state(3, route_count + 1)
        row = [f'{route_count:6} routes {len(grown) / 1e6:5.2f} MB']
        for state in (grown, changed):
            before = sum(e.link.passed_bytes['down'] for e in entries)
            took_s = await time_change(store, entries, state)
            passed = sum(e.link.passed_bytes['down'] for e in entries) - before
            row.append(
                f'{took_s:6.2f} s' if took_s else f'over {TIMEOUT_S:.0f} s'
            )
            row.append(f'{passed / len(entries) / 1e3:6.0f} KB a link')
        print('  '.join(row), flush=True)


async def time_change(store, entries, state):
    """Return the time until all have a state, or None if it takes too long."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    store.put(KEY, state)
    while loop.time() - began_s < TIMEOUT_S:
        if all(entry.has(state) for entry in entries):
            return loop.time() - began_s
        await asyncio.sleep(POLL_S)
    return None


if __name__ == '__main__':
    mbps = sys.argv[1] if len(sys.argv) > 1 else '10'
    count = sys.argv[2] if len(sys.argv) > 2 else '12'
    links_mbps = [float(mbps)] * int(count)
    asyncio.run(play_fleet(links_mbps, BUSY_SHARE, time_changes))
