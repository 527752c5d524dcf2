"""Runs a small system of real processes with stand-ins for the platform."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from bench.processes import free_address
from bench.processes import Process
from bench.processes import ProcessFleet
from bench.processes import put_document
from bench.processes import wait_for_listener
from bench.processes import wait_until
from wigeonmill.config.model import CallRule
from wigeonmill.config.model import Document
from wigeonmill.config.model import FailureDomain
from wigeonmill.config.model import Model
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import StoreVm
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.keys import hash_key

MODEL = 'assistant'
VERSION = 'v1'
LEDGER = 'ledger'
DOMAINS = ('nyarugenge', 'gasabo', 'kicukiro')
REGION = 'kigali'


@dataclass(slots=True)
class SystemOptions:
    """The size of a system and the options of its stand-ins."""

    entries: int = 1
    engines: int = 1
    ledgers: int = 1
    store_vms: int = 0
    teams: tuple[str, ...] = ('alpha', 'beta')
    engine_options: dict[str, Any] = field(default_factory=dict)
    cold_concurrency: int = 4
    max_concurrency: int = 64
    entry_settings: dict[str, Any] = field(default_factory=dict)
    agent_settings: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class TargetProcesses:
    """A target's stand-in and the agent beside it."""

    name: str
    standin: Process
    agent: Process
    agent_address: str
    failure_domain: str


def team_key(team: str) -> str:
    """Return the bearer key of a team in the benchmarks' documents."""
    return f'bench-key-{team}'


class System:
    """Starts the processes, and holds the document and the addresses."""

    def __init__(self, options: SystemOptions) -> None:
        self.options = options
        self.fleet = ProcessFleet()
        self.key_value: Process | None = None
        self.targets: dict[str, TargetProcesses] = {}
        self.stores: dict[str, Process] = {}
        self.entries: list[Process] = []
        self.entry_addresses: list[str] = []
        self.monitoring: dict[str, str] = {}
        self.document: Document | None = None
        self.serial = 0

    async def start(self) -> None:
        """Start all processes and wait until every entry is ready."""
        self.key_value = self.fleet.start_standin('key-value')
        for number in range(self.options.store_vms):
            name = f'store-{number + 1}'
            self.stores[name] = self._start_store(name)
        for number in range(self.options.engines):
            self._start_target('engine', number)
        for number in range(self.options.ledgers):
            self._start_target('ledger', number)
        await self.apply(self._make_document())
        for number in range(self.options.entries):
            self.start_entry(f'entry-{number + 1}')
        for target in self.targets.values():
            wait_for_listener(target.agent_address)
        await wait_until(self._ready)

    def close(self) -> None:
        """Kill every process."""
        self.fleet.close()

    async def apply(self, document: Document) -> int:
        """Submit a document; return its serial."""
        assert self.key_value is not None
        record = await put_document(
            self.key_value.address, document, self.serial
        )
        self.document = document
        self.serial = record.serial
        return record.serial

    async def set_domain(self, name: str, in_service: bool) -> int:
        """Take a failure domain out of service or back in."""
        assert self.document is not None
        domains = [
            msgspec.structs.replace(domain, in_service=in_service)
            if domain.name == name
            else domain
            for domain in self.document.failure_domains
        ]
        changed = msgspec.structs.replace(
            self.document, failure_domains=domains
        )
        return await self.apply(changed)

    def start_entry(self, name: str) -> Process:
        """Start an additional entry."""
        http = free_address()
        entry = {'http': http, 'leave_grace_ms': 200}
        entry.update(self.options.entry_settings)
        process = self.fleet.start_daemon(
            self._settings(name, ['entry'], free_address(), entry=entry)
        )
        self.entries.append(process)
        self.entry_addresses.append(http)
        return process

    def start_agent(self, target: str, address: str) -> Process:
        """Start the agent beside a target."""
        agent = {'target': target, **self.options.agent_settings}
        monitoring = self.monitoring.setdefault(target, free_address())
        return self.fleet.start_daemon(
            self._settings(
                f'agent-{target}',
                ['agent'],
                address,
                agent=agent,
                monitoring=monitoring,
            )
        )

    def restart_agent(self, target: str) -> None:
        """Start a target's agent again after it has ended."""
        found = self.targets[target]
        found.agent = self.start_agent(target, found.agent_address)

    def _settings(
        self, name: str, roles: list[str], inner: str, **extra: Any
    ) -> dict[str, Any]:
        assert self.key_value is not None
        return {
            'process': name,
            'roles': roles,
            'inner': inner,
            'key_value': [self.key_value.address],
            **extra,
        }

    def _start_target(self, kind: str, number: int) -> None:
        name = f'{kind}-{number + 1}'
        standin = self.fleet.start_standin(
            kind, self._target_options(kind, name), name
        )
        address = free_address()
        agent = self.start_agent(name, address)
        domain = DOMAINS[number % len(DOMAINS)]
        self.targets[name] = TargetProcesses(
            name, standin, agent, address, domain
        )

    def _start_store(self, name: str) -> Process:
        return self.fleet.start_standin('store-vm', {}, name)

    def _target_options(self, kind: str, name: str) -> dict[str, Any]:
        options: dict[str, Any] = {'name': name}
        if kind == 'engine':
            options.update(model=MODEL, weight_version=VERSION)
            options.update(self.options.engine_options)
        return options

    def _make_document(self) -> Document:
        services = []
        if self.options.engines:
            services.append(self._service(MODEL, ServiceKind.MODEL, 'engine'))
        if self.options.ledgers:
            services.append(self._service(LEDGER, ServiceKind.PLAIN, 'ledger'))
        stores = [
            StoreVm(name, DOMAINS[number % len(DOMAINS)], process.address)
            for number, (name, process) in enumerate(self.stores.items())
        ]
        return Document(
            services,
            [FailureDomain(name, REGION) for name in DOMAINS],
            [
                Team(name, [hash_key(team_key(name))], 1, 100_000)
                for name in self.options.teams
            ],
            [Model(MODEL, VERSION)],
            stores,
        )

    def _service(self, name: str, kind: ServiceKind, prefix: str) -> Service:
        targets = [
            Target(
                target.name,
                target.failure_domain,
                target.agent_address,
                target.standin.address,
            )
            for target in self.targets.values()
            if target.name.startswith(prefix)
        ]
        if kind is ServiceKind.MODEL:
            return Service(
                name,
                kind,
                targets,
                model=MODEL,
                cold_concurrency=self.options.cold_concurrency,
                max_concurrency=self.options.max_concurrency,
            )
        return Service(
            name,
            kind,
            targets,
            non_repeatable=[CallRule('POST', '/credits')],
            cold_concurrency=self.options.cold_concurrency,
            max_concurrency=self.options.max_concurrency,
        )

    async def _ready(self) -> bool:
        client = CurlAsyncHTTPClient()
        for address in self.entry_addresses:
            try:
                await client.fetch(f'http://{address}/readyz')
            except HTTPError:
                return False
        return True
