"""Starts gateways with the command of the deploy file, and records."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import itertools
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from review.fleet.http11 import Answer
from review.fleet.http11 import call

ROOT = Path(__file__).resolve().parent.parent.parent
KEY = 'k3y0fteamone'
TEAM = 'team-one'
HOST_NAME = 'desk.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
CONTACT_S = 3.0
EXIT_BROKEN = 1
EXIT_HELD = 0
EXIT_NOT_RUN = 2
_taken_ports: set[int] = set()
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


ChangeSettings = Callable[[dict[str, object]], dict[str, object]]


class NotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, case: Path) -> None:
        self._file = (case / 'record.txt').open('w', encoding='utf-8')
        self._start_s = asyncio.get_running_loop().time()

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return asyncio.get_running_loop().time() - self._start_s

    def at_s(self, loop_s: float) -> float:
        """Return a time of the event loop since the start of the case."""
        return loop_s - self._start_s

    def add(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Gateway:
    """One gateway process."""

    def __init__(
        self, name: str, zone: str, host: str, folder: Path, store: str
    ) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        self._store = store
        self.front, self.ready, self.control, self.metrics = (
            f'{host}:{free_port(host)}' for _ in range(4)
        )
        self._proc: subprocess.Popen[bytes] | None = None
        # Returns the settings to use in place of the usual ones.
        self.change_settings: ChangeSettings = lambda settings: settings
        # When it was started or disturbed last, on the loop's clock.
        self.disturbed_s = 0.0

    def start(self, seeds: list[str]) -> None:
        """Start the process with the settings of a small deployment."""
        path = self._folder / f'{self.name}.json'
        settings = self.change_settings(self._settings(seeds))
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'WIGEONMILL_CONFIG': str(path),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._proc = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.disturbed_s = asyncio.get_running_loop().time()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._proc is not None:
            self._proc.send_signal(number)
        self.disturbed_s = asyncio.get_running_loop().time()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._proc is not None:
            self._proc.send_signal(signal.SIGKILL)
            self._proc.wait()
            self._proc = None

    def in_touch(self, loop_s: float) -> bool:
        """Whether it was undisturbed for the whole contact time."""
        return loop_s - self.disturbed_s > CONTACT_S

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        for _attempt in range(200):
            path = '/wigeonmill/readiness'
            answer = await call(self.ready, 'GET', path, {'Host': 'x'})
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise NotRun(f'{self.name} did not get ready')

    def _settings(self, seeds: list[str]) -> dict[str, object]:
        return {
            'process': self.name,
            'failure_domain': self.zone,
            'region': 'region-a',
            'regions': dict.fromkeys(ZONES, 'region-a'),
            'callers': self.front,
            'ready': self.ready,
            'inner': self.control,
            'metrics': self.metrics,
            'seeds': seeds,
            'key_value': self._store,
            'key_value_ttl_min_ms': 1000,
            'link_mbps': 1000.0,
            'memory_mb': 150,
            'max_descriptors': 4100,
            'grace_ms': 8000,
            'retry_ratio': 0.2,
            'retry_slack': 58,
            'retry_window_ms': 10000,
            'extra_work_share': 0.0,
            'extra_work_window_ms': 10000,
            'lease_ms': 3000,
            'weights_deadline_ms': 10000,
            'contact_ms': 3000,
            'domain_transfer_cost': 1.5,
            'fair_admission': False,
            'fair_admission_pace': True,
        }


class Fleet:
    """Gateways in three zones, two in each."""

    def __init__(self, store: str, count: int = 6) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix='wigeonmill-review-'))
        self.gateways = [
            Gateway(
                f'edge-{number + 1}',
                ZONES[number % 3],
                '127.0.0.1',
                self._folder,
                store,
            )
            for number in range(count)
        ]

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self.start_all()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def start_all(self) -> None:
        """Start all processes."""
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(seeds)

    def kill_all(self) -> None:
        """Kill all processes at once, and start them again."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            gateway.end()
        self.start_all()

    def close(self) -> None:
        """End all processes and remove their files."""
        for gateway in self.gateways:
            gateway.end()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)
        else:
            print(self._folder)


class Client:
    """Sends requests with ids of its own."""

    _ids = itertools.count(1)

    def __init__(self, record: Record) -> None:
        self._record = record

    async def send(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        body: bytes = b'',
        deadline_ms: int = 3000,
        extra: Mapping[str, str] | None = None,
        key: str = KEY,
    ) -> tuple[str, Answer]:
        """Send one attempt; return its id and the answer."""
        request_id = f'{next(self._ids):016x}'
        headers = {
            'Host': HOST_NAME,
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {key}',
            **(extra or {}),
        }
        answer = await call(
            gateway.front, method, path, headers, body, deadline_ms / 1000 + 1
        )
        self._record.add(
            f'{request_id} {method} {path} at {gateway.name}: '
            f'{answer.status or answer.failure} '
            f'{answer.body[:90].decode() if answer.status != 200 else ""}'
        )
        return request_id, answer


def route(
    name: str, prefix: str, kind: str, attempts: int = 1
) -> dict[str, object]:
    """Return a route to the plain service of the deployment."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 1500,
        'sloMs': 300,
        'priority': 2,
        'service': 'desk',
        'attempts': attempts,
        'public': False,
        'sticky': False,
        'canResume': False,
    }


def state(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a desired state."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'desk',
                'healthPath': '/health',
                'maxConns': 110,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            }
        ],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [{'name': TEAM, 'apiKeys': [KEY], 'priority': 1}],
    }


def free_port(host: str) -> int:
    """Return a port that nothing listens at.

    It is below those that the system gives to channels of clients.
    """
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


def run_case(case, folder: Path) -> None:
    """Run a case, which returns whether the rule was broken, and exit."""

    async def run() -> bool:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # What was started is ended, too, if the case is stopped.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        record = Record(folder)
        with contextlib.closing(record):
            async with asyncio.timeout(112):
                return await case(record)

    try:
        broken = asyncio.run(run())
    except (
        NotRun,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as exc:
        print(f'could not run: {exc!r}')
        sys.exit(EXIT_NOT_RUN)
    print('rule broken' if broken else 'rule held')
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
