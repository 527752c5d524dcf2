"""One gateway process on a small machine, and clients that don't behave.

The store and the engines are stand-ins in the process of the test. The
gateway is a process of its own, with the settings that the deploy file's
template yields for the machine.
"""

import asyncio
import contextlib
import json
import os
from pathlib import Path
import re
import resource
import signal
import socket
import sys

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from bench.chaos_parts.ports import reserve_address
from tests.platform.large_state import make_large_state
from tests.platform.restorable_store import RestorableStore
from tests.platform.standin import Standin

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / 'deploy' / 'gateway.json'
READY_PATH = '/wigeonmill/readiness'
# The smallest machine that the users' installations state for a gateway, with
# fewer descriptors.
MEMORY_MB = 150
MAX_FDS = 600
# Descriptors that the platform reserves for files.
FILE_FDS = 200
BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16 * 1024
KEY = 'key-of-a-team'
SAMPLE_S = 0.02
# Guards against a test that never ends.
HANG_S = 60.0
ENGINE_SLOTS = 4
ENGINE_RUN_S = 0.4
_BODY = bytes(BODY_BYTES)
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def _find(fields, path):
    for name in path.split('.'):
        fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def fill_template(text, fields):
    """Fill in a settings template as the platform does."""

    def section(match):
        return match[2] if _find(fields, match[1]) else ''

    def value(match):
        found = _find(fields, match[1])
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(value, _SECTION.sub(section, text))


class _EngineHandler(RequestHandler):
    """Runs a few requests at once and refuses the others."""

    def initialize(self, engine):
        self._engine = engine

    async def _run(self):
        engine, headers = self._engine, self.request.headers
        request_id = headers.get('Request-Id', '')
        self.set_header('Request-Id', request_id)
        self.set_header('Server-Load', f'{engine.running},0,{ENGINE_SLOTS}')
        if engine.running >= ENGINE_SLOTS:
            self.set_status(503)
            self.set_header('Not-Executed', '1')
            return
        engine.running += 1
        engine.run_ids.append(request_id)
        await asyncio.sleep(ENGINE_RUN_S)
        engine.running -= 1
        self.set_header('Server-Seal', 'seal')
        large = self.request.path.endswith('/large')
        self.finish(_BODY[:3_900_000] if large else b'done')

    get = post = _run


class _Engine:
    def __init__(self):
        self.running = 0
        self.run_ids = []
        app = Application([('/.*', _EngineHandler, {'engine': self})])
        app.settings['log_function'] = lambda handler: None
        self.server = HTTPServer(app, max_body_size=4 * BODY_BYTES)
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'


def _make_state(route_count, faulty):
    """Return a desired state, padded with so many routes.

    With `faulty`, it has a route of each kind to such targets.
    """
    state = json.loads(make_large_state(1, route_count))
    state['routes'].append(
        {
            'name': 'work',
            'host': 'h.example',
            'prefix': '/jobs/',
            'kind': 'safe',
            'timeoutMs': 30_000,
            'sloMs': 10_000,
            'attempts': 1,
            'service': 'workers',
        }
    )
    state['services'] = [{'name': 'workers'}, {'name': 'ledger'}]
    if faulty:
        state['services'].append({'name': 'faulty'})
        for kind in ('safe', 'unsafe', 'streaming'):
            changes = {'name': kind, 'kind': kind, 'prefix': f'/{kind}/'}
            work = state['routes'][-1]
            state['routes'].insert(0, work | changes | {'service': 'faulty'})
    state['tenants'] = [{'name': 'team', 'apiKeys': [KEY]}]
    state['limits'] = {
        'headerBytes': HEADER_BYTES,
        'bodyBytes': BODY_BYTES,
        'headerMs': 3_000,
        'idleMs': 15_000,
    }
    return json.dumps(state).encode()


class Peaks:
    """The largest memory in bytes and number of sockets that were seen.

    What has arrived and was not read counts as memory of the process.
    """

    def __init__(self, pid, ports):
        self._pid = pid
        self._ports = {f':{port:04X}' for port in ports}
        self.memory = 0
        self.sockets = 0

    def sample(self):
        """Look at the process, unless it has ended."""
        with contextlib.suppress(OSError):
            fields = Path(f'/proc/{self._pid}/statm').read_text().split()
            resident = int(fields[1]) * resource.getpagesize()
            self.memory = max(self.memory, resident + self._queued())
            self.sockets = max(self.sockets, self._count_sockets())

    def _queued(self):
        total = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            # A socket that listens reports connections, not bytes.
            if fields[3] != '0A' and fields[1][-5:] in self._ports:
                total += int(fields[4].partition(':')[2], 16)
        return total

    def _count_sockets(self):
        count = 0
        folder = f'/proc/{self._pid}/fd'
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                count += os.readlink(f'{folder}/{name}').startswith('socket:')
        return count


class Gateway:
    """A gateway process that a crowd can connect to."""

    def __init__(self, settings, process, peaks, engines, log):
        self.settings = settings
        self.process = process
        self.peaks = peaks
        self.engines = engines
        self.log = log

    @property
    def runs(self):
        """The ids of the requests that engines began to run."""
        return [run for engine in self.engines for run in engine.run_ids]

    def check_bounds(self):
        """Check that the process lives and has kept its limits."""
        assert self.process.returncode is None
        self.peaks.sample()
        memory, sockets = self.peaks.memory, self.peaks.sockets
        assert memory <= MEMORY_MB * 1_000_000, f'{memory} bytes'
        assert sockets <= MAX_FDS - FILE_FDS, f'{sockets} sockets'

    def stop(self):
        """Tell the process to stop."""
        self.process.send_signal(signal.SIGTERM)


@contextlib.asynccontextmanager
async def run_gateway(folder, route_count=0, faulty=()):
    """Run a gateway on the smallest machine, before two engines.

    `faulty` are the addresses of targets of another service.
    """
    store = RestorableStore(names_era=False)
    store.put('op/config', _make_state(route_count, faulty))
    engines = [_Engine() for _number in range(2)]
    addresses = [('workers', engine.address) for engine in engines]
    addresses += [('faulty', address) for address in faulty]
    for number, (service, address) in enumerate(addresses):
        target = {
            'service': service,
            'address': address,
            'zone': 'd1',
            'version': 'v1',
            'capacity': ENGINE_SLOTS,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 1,
            'born': 1,
            'models': [],
        }
        store.put(f'servers/i-{number}', json.dumps(target).encode())
    standin = Standin(store.answer)
    settings = _settings(standin.address)
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings))
    log = folder / 'log'
    with log.open('wb') as output:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/wigeonmilld.py',
            cwd=ROOT,
            env=os.environ
            | {'WIGEONMILL_CONFIG': str(path), 'PYTHONPATH': str(ROOT)},
            stdout=output,
            stderr=output,
            preexec_fn=_limit_descriptors,
        )
    names = ('callers', 'ready', 'inner')
    ports = [int(settings[name].rpartition(':')[2]) for name in names]
    peaks = Peaks(process.pid, ports)
    gateway = Gateway(settings, process, peaks, engines, log)
    sampler = asyncio.ensure_future(_sample(peaks))
    try:
        await _until_ready(settings['ready'])
        yield gateway
    finally:
        sampler.cancel()
        if process.returncode is None:
            process.kill()
        await process.wait()
        for engine in engines:
            engine.server.stop()
        await standin.close()


def _settings(key_value):
    """Return the settings that the platform writes for the machine."""
    ports = set()
    fields = {
        'nodeName': 'edge-d1-1',
        'ip': '127.0.0.1',
        'zone': 'd1',
        'region': 'r1',
        'zones': {'d1': 'r1'},
        'listenAddrs': {
            'front': reserve_address(ports),
            'ready': reserve_address(ports),
            'control': reserve_address(ports),
        },
        'seeds': [],
        'limits': {
            'memoryMb': MEMORY_MB,
            'maxFds': MAX_FDS,
            'linkMbps': 1000.0,
        },
        'policies': ['base'],
        'bounds': {
            'graceS': 8,
            'budgetRatio': 0.2,
            'retrySlack': 56,
            'budgetWindowS': 10,
            'leaseMs': 3000,
            'versionMs': 15000,
            'contactMs': 3000,
        },
        'provider': {'address': key_value, 'ttlMinMs': 1000},
    }
    settings = json.loads(fill_template(TEMPLATE.read_text(), fields))
    # The template names a fixed port, which another test may use.
    return settings | {'metrics': reserve_address(ports)}


def _limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


async def _sample(peaks):
    while True:
        peaks.sample()
        await asyncio.sleep(SAMPLE_S)


async def _until_ready(address):
    async with asyncio.timeout(HANG_S):
        while await ask(address, f'GET {READY_PATH} HTTP/1.1') != 200:
            await asyncio.sleep(0.05)


def make_head(line, request_id, *fields):
    """Return the head of a request of a known team."""
    lines = [
        line,
        'Host: h.example',
        f'Request-Id: {request_id}',
        f'Authorization: Bearer {KEY}',
        *fields,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def ask(address, line, body=b'', *fields):
    """Return the status of a request on a new connection, or 0."""
    host, port = address.rsplit(':', 1)
    length = f'Content-Length: {len(body)}'
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(make_head(line, os.urandom(8).hex(), length, *fields))
        writer.write(body)
        head = await reader.readline()
        return int(head.split()[1]) if head else 0
    except (OSError, ValueError, IndexError):
        return 0
    finally:
        writer.close()


async def answer_ordinary(gateway, body=b'{}', *fields):
    """Send an ordinary request until it is answered, as its caller would."""
    address = gateway.settings['callers']
    async with asyncio.timeout(HANG_S):
        while True:
            line = 'POST /jobs/ordinary HTTP/1.1'
            if await ask(address, line, body, *fields) == 200:
                return
            await asyncio.sleep(0.2)


class Client:
    """A client on a raw connection, which reads nothing by itself."""

    def __init__(self, address):
        host, port = address.rsplit(':', 1)
        self._address = host, int(port)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def connect(self):
        await self._loop.sock_connect(self.sock, self._address)

    async def send(self, data):
        await self._loop.sock_sendall(self.sock, data)

    async def send_body(self, size, chunked=False):
        """Send so much of a body."""
        view = memoryview(_BODY)
        for start in range(0, size, BODY_BYTES):
            part = view[: min(BODY_BYTES, size - start)]
            if not chunked:
                await self.send(part)
                continue
            for offset in range(0, len(part), 65_536):
                piece = part[offset : offset + 65_536]
                head = b'%x\r\n' % len(piece)
                await self.send(head + bytes(piece) + b'\r\n')

    async def read_status(self):
        """Return the status of the next answer."""
        data = b''
        while b'\r\n' not in data:
            received = await self._loop.sock_recv(self.sock, 4096)
            if not received:
                return 0
            data += received
        return int(data.split()[1])

    def close(self):
        self.sock.close()


@contextlib.asynccontextmanager
async def crowd(address, count, behave, hold_s=2.0):
    """Let `count` clients do what `behave(client, number)` does.

    They stay until the end of the context, also if they are refused.
    """
    clients = [Client(address) for _number in range(count)]

    async def run(client, number):
        with contextlib.suppress(OSError):
            await client.connect()
            await behave(client, number)

    tasks = [
        asyncio.ensure_future(run(client, number))
        for number, client in enumerate(clients)
    ]
    try:
        # Some wait for a server that doesn't read on.
        await asyncio.wait(tasks, timeout=hold_s)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()
