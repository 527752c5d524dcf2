"""Gateway processes, started with the command of the deploy file."""

import asyncio
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
import tomllib

from review.common.http11 import call

ROOT = Path(__file__).resolve().parents[2]
# The policies and bounds of the small deployment `lagerwerk-nl`.
POLICIES = (
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
)
ZONES = ('z-a', 'z-b', 'z-c')


def free_ports(count):
    """Return loopback ports that are free now."""
    socks = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def deploy_command():
    """Return the words of `run` of the gateway's role."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    return tomllib.loads(text)['roles']['gateway']['run'].split()


class Gateway:
    """One gateway; it can be stopped and started again."""

    def __init__(self, name, zone, folder, log):
        self.name = name
        self.zone = zone
        self.folder = Path(folder)
        self._log = log
        ports = free_ports(4)
        addresses = [f'127.0.0.1:{port}' for port in ports]
        self.front, self.ready, self.inner, self.metrics = addresses
        self.process = None
        self._output = None

    def configure(self, store, seeds, **changes):
        """Write the settings that the template of the deploy file yields."""
        settings = {
            'process': self.name,
            'failure_domain': self.zone,
            'region': 'r',
            'regions': dict.fromkeys(ZONES, 'r'),
            'callers': self.front,
            'ready': self.ready,
            'inner': self.inner,
            'metrics': self.metrics,
            'seeds': seeds,
            'key_value': store,
            'key_value_ttl_min_ms': 1000,
            'grace_ms': 8000,
            'retry_ratio': 0.2,
            'retry_slack': 54,
            'retry_window_ms': 10000,
            'extra_work_share': 0.0,
            'extra_work_window_ms': 10000,
            'lease_ms': 3000,
            'weights_deadline_ms': 8000,
            'contact_ms': 3000,
            'domain_transfer_cost': 1.5,
            'fair_admission': False,
            'fair_admission_pace': True,
            'policies': list(POLICIES),
        } | changes
        self.write_settings(json.dumps(settings))

    def write_settings(self, text):
        """Write the settings file."""
        (self.folder / f'{self.name}.json').write_text(text)

    def start(self):
        words = deploy_command()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['WIGEONMILL_CONFIG'] = str(self.folder / f'{self.name}.json')
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self._output = open(self.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )
        self._log(f'{self.name} started')

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)
            self._log(f'{self.name} gets {signal.Signals(number).name}')

    async def wait_end(self, seconds):
        """Wait for the end of the process; return whether it has ended."""
        for _ in range(int(seconds * 100)):
            if not self.running:
                self._log(f'{self.name} ended {self.process.returncode}')
                return True
            await asyncio.sleep(0.01)
        return False

    async def is_ready(self):
        status, _headers, _body = await call(
            self.ready,
            'GET',
            '/wigeonmill/readiness',
            (('Host', 'h'),),
            timeout=1.0,
        )
        return status == 200

    async def wait_ready(self, seconds=15.0):
        for _ in range(int(seconds * 20)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def close(self):
        if self.process is not None:
            if self.running:
                self.process.kill()
            self.process.wait()
        if self._output is not None:
            self._output.close()
