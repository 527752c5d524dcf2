"""What the scripts have in common: a fleet, its store and a record."""

import asyncio
import os
from pathlib import Path
import sys
import tempfile
import time
import traceback

from review.common.gateways import Gateway
from review.common.gateways import ZONES
from review.common.store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2


class CannotRun(Exception):
    """The case can't be judged."""


class Scene:
    """A small fleet of gateways with a store; `record` notes events."""

    def __init__(self, folder, count):
        self._started = time.monotonic()
        self.lines = []
        self.store = Store()
        self.gateways = [
            Gateway(f'g{n}', ZONES[n % 3], folder, self.record)
            for n in range(count)
        ]
        self.engines = []

    @property
    def now(self):
        return time.monotonic() - self._started

    def record(self, text):
        self.lines.append(f'{self.now:8.3f} {text}')

    async def start(self, state, **settings):
        """Start the store, write the desired state, start the gateways."""
        await self.store.start()
        self.store.put('op/config', state)
        seeds = [gateway.inner for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.configure(self.store.address, seeds, **settings)

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise CannotRun(f'{gateway.name} did not become ready')

    def close(self):
        for gateway in self.gateways:
            gateway.close()
        for engine in self.engines:
            engine.close()
        self.store.close()


def has_trouble():
    """Whether the script shall cause the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, case, gateways, limit_s=110.0):
    """Run `case(scene)` and exit; it returns whether the rule was broken."""
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        code, lines = asyncio.run(_run(temporary, case, gateways, limit_s))
    verdict = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
    lines.append(verdict.get(code, 'the case could not run'))
    Path(folder, 'record.txt').write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[-12:]))
    sys.exit(code)


async def _run(temporary, case, gateways, limit_s):
    scene = Scene(temporary, gateways)
    trouble = 'with' if has_trouble() else 'without'
    scene.record(f'{trouble} the disruption')
    try:
        async with asyncio.timeout(limit_s):
            broken = await case(scene)
        code = BROKEN if broken else HELD
    except (CannotRun, TimeoutError) as exc:
        scene.record(f'not run: {exc!r}')
        code = NOT_RUN
    except Exception:
        scene.record(traceback.format_exc())
        code = NOT_RUN
    finally:
        scene.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in Path(temporary).glob('*.log'):
                Path(keep, path.name).write_bytes(path.read_bytes())
    return code, scene.lines
