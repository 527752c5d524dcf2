"""A fleet of real processes that carry no load, for control measurements."""

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
# Targets that aren't reachable: their agents take part in control only.
SPARE = 'spare'
TEAM = 'team-0'
SEEDS = 3
# Below the range that the system takes outgoing ports from; each running
# fleet starts elsewhere.
FIRST_PORT = 12_000
PORTS_PER_FLEET = 500
FLEETS = 36
# The target's own reports are its load, not control.
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
    """One process's own counters at one moment."""

    serial: int
    adopted_at_ms: float
    metrics: dict[str, float]

    def metric(self, name: str) -> float:
        """Return a metric, 0 if the process has none of that name."""
        return self.metrics.get(f'wigeonmill_{name}', 0.0)


@dataclass(slots=True)
class Daemon:
    """One wigeonmilld of the fleet and what started it."""

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
    """Hands out loopback addresses that nobody listens on."""

    def __init__(self, first: int) -> None:
        self._next = first

    def take(self) -> str:
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
    """Starts entries and agents, changes the document, reads counters."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.fleet = ProcessFleet()
        self.daemons: dict[str, Daemon] = {}
        self.ledgers: dict[str, Process] = {}
        self.vm_list: Process | None = None
        self.document: Document | None = None
        self.serial = 0
        self.accepted_at_ms = 0
        start = os.getpid() % FLEETS * PORTS_PER_FLEET
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
        """Start all processes; wait until they know each other."""
        self._pool = PeerPool(self._make_client)
        self._key_value = self.fleet.start_standin('key-value')
        if self.options.vm_list:
            self.vm_list = self.fleet.start_standin('vm-list')
        for domain, _region in DOMAINS:
            name = f'{SERVICE}-{domain}'
            self.ledgers[domain] = self.fleet.start_standin(
                SERVICE, {'name': name}, name
            )
        plans = [self._plan(n) for n in range(self.options.processes)]
        await self.apply(self._make_document(plans))
        seeds = [plan['inner'] for plan in plans[:SEEDS]]
        for number, plan in enumerate(plans):
            plan['peers'] = seeds
            self._start(plan)
            if number % START_BATCH == START_BATCH - 1:
                await asyncio.sleep(START_PAUSE_S)
        await self.wait_joined()

    def close(self) -> None:
        """End every process."""
        if self._pool is not None:
            self._pool.close()
        self.fleet.close()

    def restart(self, name: str) -> None:
        """Start a daemon again that has ended."""
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
        """Submit a document in which one team has another weight."""
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
        """Return a Reading by name; whoever doesn't answer is missing."""
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
        """Wait until every daemon sees all others alive."""
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
        """Return the key-value service's calls so far by kind."""
        audit = await self.get_json(f'http://{self.key_value.address}/audit')
        return dict(audit['calls'])

    async def set_faults(self, control: str, **faults: Any) -> None:
        """Switch a stand-in's faults."""
        client = CurlAsyncHTTPClient()
        await client.fetch(
            f'http://{control}/faults', method='POST', body=json.dumps(faults)
        )

    async def set_vm(self, name: str, state: str) -> None:
        """Show a VM as `live` or `leaving` in the VM list."""
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
        """Return the JSON value at `url`."""
        reply = await CurlAsyncHTTPClient().fetch(url)
        return json.loads(reply.body)

    def entries(self) -> list[Daemon]:
        """Return the daemons with the entry role."""
        return [daemon for daemon in self.daemons.values() if daemon.http]

    def reverts(self) -> int:
        """Return how often a process's serial fell while it ran."""
        count = 0
        for daemon in self.daemons.values():
            serials = [reading.serial for reading in daemon.readings]
            count += sum(1 for a, b in zip(serials, serials[1:]) if 0 < b < a)
        return count

    def _plan(self, number: int) -> dict[str, Any]:
        """Return a daemon's settings: every third one is an entry."""
        domain, region = DOMAINS[number % len(DOMAINS)]
        is_entry = (number // len(DOMAINS)) % 3 == 0 or number < SEEDS
        plan: dict[str, Any] = {
            'process': f'entry-{number}' if is_entry else f'agent-{number}',
            'roles': ['entry'] if is_entry else ['agent'],
            'failure_domain': domain,
            'region': region,
            'inner': self._ports.take(),
            'key_value': [self.key_value.address],
        }
        if self.vm_list is not None:
            plan['vm_list'] = self.vm_list.address
        if is_entry:
            plan['entry'] = {'http': self._ports.take(), 'leave_grace_ms': 0}
        else:
            plan['agent'] = {
                'target': f'target-{number}',
                'health_interval_ms': HEALTH_INTERVAL_MS,
            }
        return plan

    def _start(self, plan: dict[str, Any]) -> None:
        control = ''
        if self.options.proxied:
            proxy = self.fleet.start_standin(
                'fault-proxy',
                {'upstream': plan['inner']},
                f'proxy-{plan["process"]}',
            )
            plan['inner_advertised'], control = proxy.address.split()
        process = self.fleet.start_daemon(plan)
        http = plan.get('entry', {}).get('http', '')
        name = plan['process']
        self.daemons[name] = Daemon(name, plan, process, http, control)

    def _make_document(self, plans: list[dict[str, Any]]) -> Document:
        agents = [plan for plan in plans if 'agent' in plan]
        serving: list[Target] = []
        spare: list[Target] = []
        for plan in agents:
            domain = plan['failure_domain']
            known = {target.failure_domain for target in serving}
            if domain in known:
                spare.append(self._target(plan, self._ports.take()))
            else:
                address = self.ledgers[domain].address
                serving.append(self._target(plan, address))
        services = [
            Service(
                SERVICE,
                ServiceKind.PLAIN,
                serving,
                cold_concurrency=COLD_CONCURRENCY,
            )
        ]
        if spare:
            services.append(Service(SPARE, ServiceKind.PLAIN, spare))
        domains = [FailureDomain(name, region) for name, region in DOMAINS]
        teams = [
            Team(f'team-{n}', [hash_key(f'bench-key-team-{n}')], 1, 100_000)
            for n in range(self.options.teams)
        ]
        return Document(services, domains, teams)

    def _target(self, plan: dict[str, Any], address: str) -> Target:
        return Target(
            plan['agent']['target'],
            plan['failure_domain'],
            plan['inner'],
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
