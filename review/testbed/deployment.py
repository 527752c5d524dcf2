"""Starts gateways with the commands of the deploy file beside stand-ins."""

import asyncio
import json
import os
from pathlib import Path
import signal
import tempfile
import time
from typing import Any

from testbed.engine import Engine
from testbed.store import Store
from testbed.wire import call
from testbed.wire import free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = ('python3', '-S', 'platform/wigeonmilld.py')
ZONES = ('zone-a', 'zone-b', 'zone-c')
START_TIMEOUT_S = 20.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what happens to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._lines: list[dict[str, Any]] = []
        self._started = time.monotonic()

    @property
    def now_s(self) -> float:
        return round(time.monotonic() - self._started, 3)

    def note(self, what: str, **details: Any) -> None:
        line = {'at_s': self.now_s, 'what': what, **details}
        self._lines.append(line)
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()

    def of(self, what: str, **details: Any) -> list[dict[str, Any]]:
        """Return the lines of one kind that have these details."""
        return [
            line
            for line in self._lines
            if line['what'] == what and details.items() <= line.items()
        ]


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.folder = folder
        self.port, self.ready_port, self.inner_port = free_ports(3)
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, settings: dict[str, Any]) -> Path:
        own = {
            'process': self.name,
            'failure_domain': self.zone,
            'region': 'region-1',
            'regions': {zone: 'region-1' for zone in ZONES},
            'callers': f'127.0.0.1:{self.port}',
            'ready': f'127.0.0.1:{self.ready_port}',
            'inner': f'127.0.0.1:{self.inner_port}',
        }
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings | own), encoding='utf-8')
        return path

    async def start(self, settings: dict[str, Any]) -> None:
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['WIGEONMILL_CONFIG'] = str(self.write_settings(settings))
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def is_ready(self) -> bool:
        reply = await call(
            self.ready_port, 'GET', '/wigeonmill/readiness', timeout_s=1.0
        )
        return reply.status == 200

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A store, gateways and engines; ends all processes that it started."""

    def __init__(self, record: Record, gateway_count: int = 3) -> None:
        self.record = record
        self.store = Store()
        self.engines: list[Engine] = []
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        folder = Path(self._folder.name)
        self.gateways = [
            Gateway(f'edge-{zone}-{number}', zone, folder)
            for number in range(gateway_count)
            for zone in (ZONES[number % len(ZONES)],)
        ]

    async def start(self, config: dict[str, Any]) -> None:
        """Start all; raise TimeoutError if it is not ready in time."""
        await self.store.start()
        self.store.put('op/config', config)
        for engine in self.engines:
            await engine.start()
        settings = self._settings()
        for gateway in self.gateways:
            await gateway.start(settings)
        self.record.note('gateways started')
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for gateway in self.gateways:
                    while not await gateway.is_ready():
                        await asyncio.sleep(0.1)
        finally:
            self._note_ended()
        # The gateways read the list of engines together with the state.
        await asyncio.sleep(1.0)
        self.record.note('ready')

    def _note_ended(self) -> None:
        """Note the gateways that have ended, and what they wrote last."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is not None:
                path = gateway.folder / f'{gateway.name}.log'
                lines = path.read_text(encoding='utf-8').splitlines()
                self.record.note(
                    'gateway ended',
                    gateway=gateway.name,
                    code=process.returncode,
                    last=lines[-1:],
                )

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
        for engine in self.engines:
            if engine.alive:
                engine.stop('end of the run')
        self.store.close()
        self._folder.cleanup()

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of the gateways' logs that hold any word."""
        found = []
        for gateway in self.gateways:
            path = gateway.folder / f'{gateway.name}.log'
            for line in path.read_text(encoding='utf-8').splitlines():
                if any(word in line for word in words):
                    found.append(line)
        return found

    def _settings(self) -> dict[str, Any]:
        """Return the settings that deploy/gateway.json gives a gateway."""
        seeds = [f'127.0.0.1:{g.inner_port}' for g in self.gateways]
        return {
            'seeds': seeds[:3],
            'key_value': f'127.0.0.1:{self.store.port}',
            'key_value_ttl_min_ms': 1000,
            'link_mbps': 1000.0,
            'memory_mb': 150,
            'max_descriptors': 4100,
            'grace_s': 8,
            'retry_ratio': 0.2,
            'retry_slack': 58,
            'retry_window_s': 10,
            'extra_work_share': 0.0,
            'extra_work_window_s': 10,
            'lease_ms': 3000,
            'weights_deadline_ms': 10000,
            'contact_ms': 3000,
            'domain_transfer_cost': 1.5,
            'fair_admission': False,
            'fair_admission_pace': True,
            'policies': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'kvcache',
                'stream',
                'engine',
                'tenants',
                'places',
                'platform',
            ],
        }
