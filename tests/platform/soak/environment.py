"""Gateway processes and the stand-ins of the platform around them."""

import asyncio
import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import time

from result import Err

from bench.chaos_parts.ports import reserve_address
from tests.platform.soak.extra_work import EXTRA_WORK_SHARE
from tests.platform.soak.journal import Journal
from tests.platform.soak.states import make_state
from tests.platform.soak.states import PLAIN_SERVICE
from tests.platform.soak.states import STREAM_SERVICE
from tests.platform.soak.states import Variation
from tests.platform.soak.store import start_store
from tests.platform.soak.targets import MODEL
from tests.platform.soak.targets import Target
from tests.platform.soak.uneven import uneven_settings
from wigeonmill.clock import Clock
from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import start_fault_proxy
from wigeonmill.standins.memory_key_value import MemoryKeyValue

ROOT = Path(__file__).parents[3]
DOMAINS = ('d0', 'd1', 'd2')
GRACE_MS = 4_000
WEIGHTS_DEADLINE_MS = 10_000
MAX_HELD_BYTES = 16 * 1024 * 1024
READY_TIMEOUT_S = 15.0
# Time after which a target is back that crashed under a prompt part, and a
# gateway that ended by itself.
RESTART_S = 0.5
WATCH_S = 0.01
EXIT_POLL_S = 0.02
# Exit codes of processes that were told to end, at any point of their start.
ASKED_EXIT_CODES = (0, -signal.SIGTERM, -signal.SIGKILL)


class Gateway:
    """One gateway process, and the proxy between it and the store."""

    def __init__(self, name, domain, folder, ports):
        self.name = name
        self.domain = domain
        self.callers = reserve_address(ports)
        self.ready = reserve_address(ports)
        self.inner = reserve_address(ports)
        self.metrics = reserve_address(ports)
        self.store_proxy = None
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.json'
        self._popen = None
        # Whether the process was asked to end, and its end has been seen.
        self._may_end = False
        self._end_seen = True

    async def prepare(self, store, seeds):
        self.store_proxy = await start_fault_proxy(ProxyOptions(store))
        settings = {
            'process': self.name,
            'failure_domain': self.domain,
            'region': 'r',
            'regions': dict.fromkeys(DOMAINS, 'r'),
            'callers': self.callers,
            'ready': self.ready,
            'inner': self.inner,
            'metrics': self.metrics,
            'seeds': seeds,
            'key_value': self.store_proxy.address,
            'expected_entries': 3,
            'grace_ms': GRACE_MS,
            'extra_work_share': EXTRA_WORK_SHARE,
            'fair_admission': True,
            'shares_by_demand': True,
            'hold_at_start': True,
            'restart_order_ms': 2_000,
            'max_held_bytes': MAX_HELD_BYTES,
            'weights_deadline_ms': WEIGHTS_DEADLINE_MS,
            **uneven_settings(self.name),
        }
        self._settings.write_text(json.dumps(settings))

    def start(self):
        env = os.environ | {'WIGEONMILL_CONFIG': str(self._settings)}
        env['PYTHONPATH'] = str(ROOT)
        with self.log.open('ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, 'platform/wigeonmilld.py'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._may_end = self._end_seen = False

    @property
    def running(self):
        return self._popen is not None and self._popen.poll() is None

    def signal_process(self, signum):
        if self.running:
            if signum in (signal.SIGTERM, signal.SIGKILL):
                self._may_end = True
            self._popen.send_signal(signum)

    def take_own_end(self):
        """Return the exit code of a process that ended by itself, once."""
        if self._end_seen or self.running:
            return None
        self._end_seen = True
        exit_code = self._popen.returncode
        if self._may_end and exit_code in ASKED_EXIT_CODES:
            return None
        return exit_code

    def survives_reload(self):
        """Whether the process runs and handles or ignores SIGHUP.

        It can do neither before it runs code of its own.
        """
        if not self.running:
            return False
        status = self._read_status()
        masks = int(status['SigCgt'], 16) | int(status['SigIgn'], 16)
        return bool(masks >> (signal.SIGHUP - 1) & 1)

    def _read_status(self):
        status = Path(f'/proc/{self._popen.pid}/status').read_text()
        lines = (line.split(':', 1) for line in status.splitlines())
        return {name: value.strip() for name, value in lines}

    def kill_and_wait(self):
        """Kill the process if it is running, and wait until it has exited."""
        self.signal_process(signal.SIGCONT)
        self.signal_process(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def peak_memory_mb(self):
        """Return the peak memory of the process, 0 if it is not running."""
        if not self.running:
            return 0.0
        return int(self._read_status()['VmHWM'].split()[0]) / 1024.0

    async def wait_until_exited(self, timeout_s):
        """Wait until the process that runs now has exited.

        Return False and kill it if it has run that long. The time for which
        it was suspended does not count.
        """
        process = self._popen
        left_s = timeout_s
        checked_at = time.monotonic()
        while process.poll() is None:
            if left_s <= 0.0:
                self.kill_and_wait()
                return False
            suspended = self._read_status()['State'].startswith('T')
            await asyncio.sleep(EXIT_POLL_S)
            now = time.monotonic()
            left_s -= 0.0 if suspended else now - checked_at
            checked_at = now
        return True

    async def is_ready(self):
        host, port = self.ready.split(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'GET /wigeonmill/readiness HTTP/1.1\r\nHost: h\r\n\r\n'
            )
            head = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in head


class Environment:
    """Everything in a soak except the callers and the faults."""

    def __init__(self, rng, gateways=5):
        self.rng = rng
        self.key_value = MemoryKeyValue(Clock())
        self.journal = Journal()
        self.targets = []
        # The last rollout of each service that was done.
        self.rolled_out = {}
        self.version = 0
        self.variation = Variation()
        self._beside = set()
        self._watching = None
        # Only one operator writes at a time, so that versions only increase.
        self._operator_lock = asyncio.Lock()
        self.teams = {'one': 'key-1', 'two': 'key-2'}
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        ports = set()
        self.gateways = [
            Gateway(f'g{n}', DOMAINS[n % 3], self.folder, ports)
            for n in range(gateways)
        ]

    @property
    def entries(self):
        return {gateway.name: gateway.callers for gateway in self.gateways}

    async def start(self):
        self._store = await start_store(self.key_value)
        await self.put_state()
        for service, count in ((PLAIN_SERVICE, 3), (STREAM_SERVICE, 3)):
            for n in range(count):
                await self.add_target(service, DOMAINS[n % 3])
        seeds = [gateway.inner for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.prepare(self._store.address, seeds)
            gateway.start()
        for gateway in self.gateways:
            await asyncio.wait_for(self._until_ready(gateway), READY_TIMEOUT_S)
        self._watching = asyncio.ensure_future(self._watch_processes())

    async def _watch_processes(self):
        while True:
            for gateway in self.gateways:
                exit_code = gateway.take_own_end()
                if exit_code is not None:
                    self.journal.own_ends.append(
                        f'{gateway.name} with {exit_code}'
                    )
                    self._run_beside(self._restart(gateway))
            await asyncio.sleep(WATCH_S)

    async def _restart(self, gateway):
        """Start a process again that ended by itself."""
        await asyncio.sleep(RESTART_S)
        if not gateway.running:
            gateway.start()

    def _run_beside(self, coro):
        task = asyncio.ensure_future(coro)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)

    async def _until_ready(self, gateway):
        while not await gateway.is_ready():
            await asyncio.sleep(0.05)

    async def add_target(self, service, domain, rollout=None):
        """Start a target of a rollout, or of the software in service."""
        target = Target(
            self.key_value,
            self.journal,
            service,
            domain,
            service == STREAM_SERVICE,
            rollout or self.rolled_out.get(service),
        )
        target.on_crash = self._replace_crashed
        self.targets.append(await target.start())
        return target

    async def remove_target(self, target):
        """Stop a target, unless it has ended already."""
        if target in self.targets:
            self.targets.remove(target)
            await target.stop()

    def _replace_crashed(self, target):
        self._run_beside(self._stop_and_replace(target))

    async def _stop_and_replace(self, target):
        await self.remove_target(target)
        await asyncio.sleep(RESTART_S)
        await self.add_target(target.service, target.domain)

    async def put_state(self):
        """Write the desired state again with a higher version."""
        async with self._operator_lock:
            state = self._next_state()
            shortest_ms = min(r['timeoutMs'] for r in state['routes'])
            self.journal.timeouts.append(
                (time.monotonic(), shortest_ms / 1000.0)
            )
            self.journal.record_work('change')
            await self.put('op/config', state)

    def _next_state(self):
        self.version += self.rng.randint(1, 5)
        return make_state(self.version, self.teams, self.variation)

    async def publish_weights(self):
        """Publish a newer weight version for the model engines."""
        async with self._operator_lock:
            version = self.journal.version + 1
            value = {'model': MODEL, 'version': version}
            await self.put(f'op/version/{MODEL}', value)
            self.journal.version = version

    async def put(self, key, content):
        value = json.dumps(content).encode()
        while True:
            found = await self.key_value.get(key)
            if not isinstance(found, Err):
                entry = found.ok_value
                version = entry.version if entry else 0
                written = await self.key_value.compare_and_swap(
                    key, version, value
                )
                if not isinstance(written, Err):
                    return
            await asyncio.sleep(0.05)

    async def close(self):
        if self._watching is not None:
            self._watching.cancel()
        if self._beside:
            await asyncio.gather(*self._beside)
        for gateway in self.gateways:
            gateway.kill_and_wait()
        for target in list(self.targets):
            await self.remove_target(target)
        for gateway in self.gateways:
            if gateway.store_proxy is not None:
                await gateway.store_proxy.stop()
        await self._store.stop()
