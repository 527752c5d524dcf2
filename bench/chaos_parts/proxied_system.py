"""A system whose agents are behind fault proxies and can be restarted."""

import asyncio
from dataclasses import dataclass
from typing import Any

from bench.chaos_parts.ports import reserve_address
from bench.processes import Process
from bench.processes import wait_for_listener
from bench.system import DOMAINS
from bench.system import REGION
from bench.system import System
from bench.system import SystemOptions
from bench.system import TargetProcesses

RESTART_ATTEMPTS = 3
ENTRY_LEAVE_GRACE_MS = 200
LISTEN_TIMEOUT_S = 15.0
LEDGER_DELAY_MS = 120.0


@dataclass(frozen=True, slots=True)
class Proxy:
    """The traffic, control and upstream addresses of a proxy."""

    address: str
    control: str
    upstream: str


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """The addresses of an entry, which stay the same after a restart."""

    http: str
    inner: str


class ProxiedSystem(System):
    """A system in which each agent is reached through its own proxy."""

    def __init__(self, options: SystemOptions) -> None:
        super().__init__(options)
        self.proxies: dict[str, Proxy] = {}
        self._ports: set[int] = set()
        self._reserved_addresses = [
            EntryAddresses(self._reserve(), self._reserve())
            for _number in range(options.entries)
        ]

    def start_entry(self, name: str) -> Process:
        """Start the next entry at its reserved addresses."""
        number = len(self.entries)
        process = self._spawn_entry(number, name)
        self.entries.append(process)
        self.entry_addresses.append(self._reserved_addresses[number].http)
        return process

    async def restart_entry(self, number: int) -> None:
        """Start an entry again after it has ended."""
        name = self.entries[number].name
        for _attempt in range(RESTART_ATTEMPTS):
            self.entries[number] = self._spawn_entry(number, name)
            address = self._reserved_addresses[number].http
            if await _is_listening(self.entries[number], address):
                return
        raise RuntimeError(f'{name} did not restart')

    def start_agent(self, target: str, address: str) -> Process:
        """Start a target's agent, which advertises its proxy's address."""
        agent = {'target': target, **self.options.agent_settings}
        extra = {
            'agent': agent,
            'inner_advertised': self.proxies[target].address,
            **self._location(int(target.rpartition('-')[2]) - 1),
        }
        name = f'agent-{target}'
        return self.fleet.start_daemon(
            self._settings(name, ['agent'], address, **extra)
        )

    async def restart_proxied_agent(self, target: str) -> None:
        """Start a target's agent again after it has ended."""
        found = self.targets[target]
        address = self.proxies[target].upstream
        for _attempt in range(RESTART_ATTEMPTS):
            found.agent = self.start_agent(target, address)
            if await _is_listening(found.agent, address):
                return
        raise RuntimeError(f'the agent of {target} did not restart')

    def restart_store(self, name: str) -> None:
        """Start a store VM again, empty, at the same address."""
        port = int(self.stores[name].address.rpartition(':')[2])
        self.stores[name] = self.fleet.start_standin(
            'store-vm', {}, name, port
        )

    def targets_of(self, domain: str) -> list[TargetProcesses]:
        """Return the targets of a failure domain."""
        found = self.targets.values()
        return [t for t in found if t.failure_domain == domain]

    def _reserve(self) -> str:
        return reserve_address(self._ports)

    def _spawn_entry(self, number: int, name: str) -> Process:
        addresses = self._reserved_addresses[number]
        entry = {
            'http': addresses.http,
            'leave_grace_ms': ENTRY_LEAVE_GRACE_MS,
        }
        entry.update(self.options.entry_settings)
        return self.fleet.start_daemon(
            self._settings(
                name,
                ['entry'],
                addresses.inner,
                entry=entry,
                **self._location(number),
            )
        )

    def _location(self, number: int) -> dict[str, Any]:
        return {
            'failure_domain': DOMAINS[number % len(DOMAINS)],
            'region': REGION,
            'peers': [entry.inner for entry in self._reserved_addresses],
        }

    def _start_store(self, name: str) -> Process:
        port = int(self._reserve().rpartition(':')[2])
        return self.fleet.start_standin('store-vm', {}, name, port)

    def _target_options(self, kind: str, name: str) -> dict[str, Any]:
        options = super()._target_options(kind, name)
        if kind == 'ledger':
            # With the delay, faults often hit between booking and reply.
            options['faults'] = {'delay_ms': LEDGER_DELAY_MS}
        return options

    def _start_target(self, kind: str, number: int) -> None:
        name = f'{kind}-{number + 1}'
        upstream = self._reserve()
        process = self.fleet.start_standin(
            'fault-proxy', {'upstream': upstream}, f'proxy-{name}'
        )
        data, control = process.address.split()
        self.proxies[name] = Proxy(data, control, upstream)
        standin = self.fleet.start_standin(
            kind, self._target_options(kind, name), name
        )
        agent = self.start_agent(name, upstream)
        domain = DOMAINS[number % len(DOMAINS)]
        self.targets[name] = TargetProcesses(
            name, standin, agent, data, domain
        )


async def _is_listening(process: Process, address: str) -> bool:
    loop = asyncio.get_running_loop()
    try:
        await loop.run_in_executor(
            None, wait_for_listener, address, LISTEN_TIMEOUT_S
        )
    except OSError:
        return False
    return process.running
