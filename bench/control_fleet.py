"""Runs a fleet of real processes without load for control measurements."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json
import os
import socket
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient

from bench.processes import Process
from bench.processes import ProcessFleet
from bench.processes import put_document
from bench.processes import wait_until
from wigeonmill.config.model import Document
from wigeonmill.config.model import FailureDomain
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.keys import hash_key
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import StatusRequest
from wigeonmill.protocol.handshake import InnerKeys

# Two regions with three failure domains each, as at the two-year target.
DOMAINS = (
    ('mobile-bay', 'gulf-south'),
    ('baton-rouge', 'gulf-south'),
    ('biloxi', 'gulf-south'),
    ('nyarugenge', 'kigali'),
    ('gasabo', 'kigali'),
    ('kicukiro', 'kigali'),
)
SERVICE = 'ledger'
COLD_CONCURRENCY = 16
# The service of unreachable targets, whose agents take part in control only.
SPARE_SERVICE = 'spare'
TEAM = 'team-0'
SEEDS = 3
# The ports are below the range for outgoing connections; fleets that run at
# the same time start at different ports.
FIRST_PORT = 12_000
PORTS_PER_FLEET = 500
FLEET_PORT_RANGES = 36
# Long, as the health checks of targets are load and not control.
HEALTH_INTERVAL_MS = 60_000
STATUS_TIMEOUT_MS = 3_000.0
START_BATCH = 2
START_PAUSE_S = 1.0
JOIN_TIMEOUT_S = 120.0


@dataclass(slots=True)
class FleetOptions:
    """The size of a fleet and of its document."""

    processes: int
    teams: int
    proxied: bool = False
    vm_list: bool = False


@dataclass(slots=True)
class Reading:
    """The configuration state and metrics of a process at one time."""

    serial: int
    adopted_at_ms: float
    metrics: dict[str, float]

    def metric(self, name: str) -> float:
        """Return the metric `name`, or 0 if the process does not have it."""
        return self.metrics.get(f'wigeonmill_{name}', 0.0)


@dataclass(slots=True)
class Daemon:
    """One wigeonmilld of the fleet with its settings and its readings."""

    name: str
    settings: dict[str, Any]
    process: Process
    http: str = ''
    proxy_control: str = ''
    readings: list[Reading] = field(default_factory=list)

    @property
    def address(self) -> str:
        """The inner address of the process itself."""
        return str(self.settings['inner'])


class PortRange:
    """Allocates loopback addresses that no process listens on."""

    def __init__(self, first: int) -> None:
        self._next = first

    def allocate(self) -> str:
        """Return the next free IP:port."""
        while True:
            self._next += 1
            with socket.socket() as sock:
                try:
                    sock.bind(('127.0.0.1', self._next))
                except OSError:
                    continue
            return f'127.0.0.1:{self._next}'


class ControlFleet:
    """Starts entries and agents, changes the document and reads counters."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.fleet = ProcessFleet()
        self.daemons: dict[str, Daemon] = {}
        self.ledgers: dict[str, Process] = {}
        self.vm_list: Process | None = None
        self.document: Document | None = None
        self.serial = 0
        self.accepted_at_ms = 0
        start = os.getpid() % FLEET_PORT_RANGES * PORTS_PER_FLEET
        self._ports = PortRange(FIRST_PORT + start)
        self._key_value: Process | None = None
        self._pool: PeerPool | None = None
        self._weight = 1

    @property
    def key_value(self) -> Process:
        """The key-value stand-in."""
        assert self._key_value is not None
        return self._key_value

    async def start(self) -> None:
        """Start all processes and wait until they see each other alive."""
        self._pool = PeerPool(self._make_client)
        self._key_value = self.fleet.start_standin('key-value')
        if self.options.vm_list:
            self.vm_list = self.fleet.start_standin('vm-list')
        for domain, _region in DOMAINS:
            name = f'{SERVICE}-{domain}'
            self.ledgers[domain] = self.fleet.start_standin(
                SERVICE, {'name': name}, name
            )
        all_settings = [
            self._make_settings(n) for n in range(self.options.processes)
        ]
        await self.apply(self._make_document(all_settings))
        seeds = [settings['inner'] for settings in all_settings[:SEEDS]]
        for number, settings in enumerate(all_settings):
            settings['peers'] = seeds
            self._start(settings)
            if number % START_BATCH == START_BATCH - 1:
                await asyncio.sleep(START_PAUSE_S)
        await self.wait_joined()

    def close(self) -> None:
        """End every process."""
        if self._pool is not None:
            self._pool.close()
        self.fleet.close()

    def restart(self, name: str) -> None:
        """Start a daemon again after it has ended."""
        daemon = self.daemons[name]
        daemon.process = self.fleet.start_daemon(daemon.settings)

    async def apply(self, document: Document) -> None:
        """Submit a document."""
        record = await put_document(
            self.key_value.address, document, self.serial
        )
        self.document = document
        self.serial = record.serial
        self.accepted_at_ms = record.accepted_at_ms

    async def change_team(self) -> None:
        """Submit the document with the weight of one team changed."""
        assert self.document is not None
        self._weight = self._weight % 1000 + 1
        teams = [
            msgspec.structs.replace(team, weight=self._weight)
            if team.name == TEAM
            else team
            for team in self.document.teams
        ]
        await self.apply(msgspec.structs.replace(self.document, teams=teams))

    async def set_domain(self, name: str, in_service: bool) -> None:
        """Take a failure domain out of service or back in."""
        assert self.document is not None
        domains = [
            msgspec.structs.replace(domain, in_service=in_service)
            if domain.name == name
            else domain
            for domain in self.document.failure_domains
        ]
        await self.apply(
            msgspec.structs.replace(self.document, failure_domains=domains)
        )

    async def read(self, names: Iterable[str] | None = None) -> dict:
        """Return the Readings by name, without daemons that do not answer.

        All daemons are read if `names` is None.
        """
        daemons = [self.daemons[name] for name in names or self.daemons]
        found = await asyncio.gather(*(self._read(d) for d in daemons))
        readings = {
            daemon.name: reading
            for daemon, reading in zip(daemons, found)
            if reading is not None
        }
        for name, reading in readings.items():
            self.daemons[name].readings.append(reading)
        return readings

    async def wait_joined(self) -> None:
        """Wait until every daemon sees all others alive at this serial."""
        count = len(self.daemons)

        async def joined() -> bool:
            readings = await self.read()
            await asyncio.sleep(0.5)
            return len(readings) == count and all(
                reading.metric('members_alive') == count
                and reading.serial == self.serial
                for reading in readings.values()
            )

        await wait_until(joined, JOIN_TIMEOUT_S)

    async def key_value_calls(self) -> dict[str, int]:
        """Return the number of calls to the key-value service by kind."""
        audit = await self.get_json(f'http://{self.key_value.address}/audit')
        return dict(audit['calls'])

    async def set_faults(self, control: str, **faults: Any) -> None:
        """Set faults of the stand-in with the control address `control`."""
        client = CurlAsyncHTTPClient()
        await client.fetch(
            f'http://{control}/faults', method='POST', body=json.dumps(faults)
        )

    async def set_vm(self, name: str, state: str) -> None:
        """Set a VM's state in the VM list to `live` or `leaving`."""
        assert self.vm_list is not None
        vm = {
            'name': name,
            'address': '',
            'failure_domain': '',
            'state': state,
        }
        await CurlAsyncHTTPClient().fetch(
            f'http://{self.vm_list.address}/vms',
            method='POST',
            body=json.dumps(vm),
        )

    async def get_json(self, url: str) -> Any:
        """Fetch the JSON value at `url`."""
        reply = await CurlAsyncHTTPClient().fetch(url)
        return json.loads(reply.body)

    def entries(self) -> list[Daemon]:
        """Return the daemons with the entry role."""
        return [daemon for daemon in self.daemons.values() if daemon.http]

    def reverts(self) -> int:
        """Return how often a process went back to a lower serial."""
        count = 0
        for daemon in self.daemons.values():
            serials = [reading.serial for reading in daemon.readings]
            count += sum(1 for a, b in zip(serials, serials[1:]) if 0 < b < a)
        return count

    def _make_settings(self, number: int) -> dict[str, Any]:
        """Return the settings of a daemon.

        The first `SEEDS` daemons are entries, and so is every third round
        over the failure domains; all others are agents.
        """
        domain, region = DOMAINS[number % len(DOMAINS)]
        is_entry = (number // len(DOMAINS)) % 3 == 0 or number < SEEDS
        settings: dict[str, Any] = {
            'process': f'entry-{number}' if is_entry else f'agent-{number}',
            'roles': ['entry'] if is_entry else ['agent'],
            'failure_domain': domain,
            'region': region,
            'inner': self._ports.allocate(),
            'key_value': [self.key_value.address],
        }
        if self.vm_list is not None:
            settings['vm_list'] = self.vm_list.address
        if is_entry:
            settings['entry'] = {
                'http': self._ports.allocate(),
                'leave_grace_ms': 0,
            }
        else:
            settings['agent'] = {
                'target': f'target-{number}',
                'health_interval_ms': HEALTH_INTERVAL_MS,
            }
        return settings

    def _start(self, settings: dict[str, Any]) -> None:
        control = ''
        if self.options.proxied:
            proxy = self.fleet.start_standin(
                'fault-proxy',
                {'upstream': settings['inner']},
                f'proxy-{settings["process"]}',
            )
            settings['inner_advertised'], control = proxy.address.split()
        process = self.fleet.start_daemon(settings)
        http = settings.get('entry', {}).get('http', '')
        name = settings['process']
        self.daemons[name] = Daemon(name, settings, process, http, control)

    def _make_document(self, all_settings: list[dict[str, Any]]) -> Document:
        agents = [settings for settings in all_settings if 'agent' in settings]
        serving: list[Target] = []
        spare: list[Target] = []
        for settings in agents:
            domain = settings['failure_domain']
            known = {target.failure_domain for target in serving}
            if domain in known:
                spare.append(self._target(settings, self._ports.allocate()))
            else:
                address = self.ledgers[domain].address
                serving.append(self._target(settings, address))
        services = [
            Service(
                SERVICE,
                ServiceKind.PLAIN,
                serving,
                cold_concurrency=COLD_CONCURRENCY,
            )
        ]
        if spare:
            services.append(Service(SPARE_SERVICE, ServiceKind.PLAIN, spare))
        domains = [FailureDomain(name, region) for name, region in DOMAINS]
        teams = [
            Team(f'team-{n}', [hash_key(f'bench-key-team-{n}')], 1, 100_000)
            for n in range(self.options.teams)
        ]
        return Document(services, domains, teams)

    def _target(self, settings: dict[str, Any], address: str) -> Target:
        return Target(
            settings['agent']['target'],
            settings['failure_domain'],
            settings['inner'],
            address,
        )

    def _make_client(self, address: str) -> PeerClient:
        keys = InnerKeys((self.fleet.inner_key.encode(),))
        return PeerClient(
            address,
            'bench',
            'operator',
            lambda: keys,
            lambda: 0,
            lambda _address, _serial: None,
        )

    async def _read(self, daemon: Daemon) -> Reading | None:
        assert self._pool is not None
        envelope = Envelope(
            Kind.STATUS_REQUEST, status_request=StatusRequest(metrics=True)
        )
        client = self._pool.get(daemon.address)
        reply = await client.request(envelope, STATUS_TIMEOUT_MS)
        if reply.is_err() or reply.unwrap().status is None:
            return None
        status = reply.unwrap().status
        metrics = _parse_metrics(status.metrics or '')
        adopted = metrics.get('wigeonmill_config_adopted_at_ms', 0.0)
        return Reading(status.config_serial or 0, adopted, metrics)


def _parse_metrics(text: str) -> dict[str, float]:
    lines = [line for line in text.splitlines() if not line.startswith('#')]
    pairs = [line.rpartition(' ') for line in lines]
    return {name: float(value) for name, _space, value in pairs}
