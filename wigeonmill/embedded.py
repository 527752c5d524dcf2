"""Runs every role and stand-in in one process, on one event loop.

This is for demonstrations and tests: all state is lost when the process ends.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging
from pathlib import Path
import random
import secrets
import signal
from typing import Any

import msgspec

from wigeonmill.agent.role import AgentRole
from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Accepted
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.model import Document
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import StoreVm
from wigeonmill.config.model import Target
from wigeonmill.config.reader import read_document
from wigeonmill.entry.role import EntryRole
from wigeonmill.node import Node
from wigeonmill.node import TlsContexts
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.providers.etcd import EtcdKeyValue
from wigeonmill.settings import AgentSettings
from wigeonmill.settings import Settings
from wigeonmill.standins.engine import start_engine
from wigeonmill.standins.engine_batch import BatchOptions
from wigeonmill.standins.engine_core import EngineOptions
from wigeonmill.standins.key_value import KeyValueOptions
from wigeonmill.standins.key_value import start_key_value
from wigeonmill.standins.ledger import LedgerOptions
from wigeonmill.standins.ledger import start_ledger
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.store_vm import start_store_vm
from wigeonmill.standins.store_vm import StoreVmOptions

logger = logging.getLogger(__name__)

ANY_PORT = '127.0.0.1:0'
OPERATOR = 'embedded'
EXIT_DOCUMENT = 3


@dataclass(slots=True)
class EmbeddedAgent:
    """An agent together with its stand-in target."""

    name: str
    node: Node
    role: AgentRole
    target: StandinServer[Any]


class EmbeddedSystem:
    """A complete system that serves one document."""

    def __init__(
        self,
        settings: Settings,
        adjust_engine: Callable[[EngineOptions], None] | None = None,
    ) -> None:
        self.settings = settings
        self.agents: dict[str, EmbeddedAgent] = {}
        self.stores: dict[str, StandinServer[Any]] = {}
        self.key_value: StandinServer[Any] | None = None
        self._adjust_engine = adjust_engine
        self._keys = InnerKeys((secrets.token_hex(16).encode(),))
        self._clients: list[EtcdKeyValue] = []
        self._entry: EntryRole | None = None
        self._entry_node: Node | None = None

    @property
    def address(self) -> str:
        """The IP:port at which the entry serves callers."""
        return self._entry.address if self._entry else ''

    @property
    def entry_node(self) -> Node:
        """The entry's node; available only after `start`."""
        assert self._entry_node is not None
        return self._entry_node

    async def run(self) -> int:
        """Start, serve until SIGTERM or SIGINT, drain and stop."""
        read = read_document(Path(self.settings.embedded.document))
        if read.is_err():
            for fault in read.unwrap_err():
                logger.error('%s', fault)
            return EXIT_DOCUMENT
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.start(read.unwrap())
        logger.info('ready at %s', self.address)
        await stop.wait()
        await self.stop()
        return 0

    async def start(self, document: Document) -> None:
        """Start every stand-in and role and submit the document."""
        self.key_value = await start_key_value(KeyValueOptions())
        stores = [await self._start_store(vm) for vm in document.store_vms]
        services = [
            await self._start_service(service, document)
            for service in document.services
        ]
        local_document = msgspec.structs.replace(
            document, services=services, store_vms=stores
        )
        submission = Submission(
            local_document, OPERATOR, secrets.token_hex(8), 0
        )
        accepted = await submit(self.client(), Clock(), submission)
        if not isinstance(accepted.ok(), Accepted):
            raise RuntimeError(f'the document was not accepted: {accepted}')
        self._start_entry()
        await self._wait_for_configuration()

    async def stop(self) -> None:
        """Drain the entry, then the agents, then stop the stand-ins."""
        if self._entry is not None and self._entry_node is not None:
            await self._entry.drain()
            await self._entry.close()
            await self._entry_node.close()
        for agent in self.agents.values():
            await agent.role.drain()
            await agent.role.close()
            await agent.node.close()
            await agent.target.stop()
        for client in self._clients:
            client.close()
        for store in self.stores.values():
            await store.stop()
        if self.key_value is not None:
            await self.key_value.stop()

    def client(self) -> EtcdKeyValue:
        """Return a new client of the key-value stand-in."""
        assert self.key_value is not None
        timeout_ms = self.settings.key_value_timeout_ms
        client = EtcdKeyValue(self.key_value.address, timeout_ms, Clock())
        self._clients.append(client)
        return client

    async def _start_store(self, vm: StoreVm) -> StoreVm:
        store = await start_store_vm(StoreVmOptions())
        self.stores[vm.name] = store
        return msgspec.structs.replace(vm, address=store.address)

    async def _start_service(
        self, service: Service, document: Document
    ) -> Service:
        targets = [
            await self._start_target(service, target, document)
            for target in service.targets
        ]
        return msgspec.structs.replace(service, targets=targets)

    async def _start_target(
        self, service: Service, target: Target, document: Document
    ) -> Target:
        standin: StandinServer[Any]
        if service.kind is ServiceKind.MODEL:
            options = self._engine_options(service, target, document)
            standin = await start_engine(options)
        else:
            standin = await start_ledger(LedgerOptions())
        node = self._make_node(f'agent-{target.name}', target.name)
        role = AgentRole(node)
        address = node.start()
        role.start()
        agent = EmbeddedAgent(target.name, node, role, standin)
        self.agents[target.name] = agent
        return msgspec.structs.replace(
            target, agent=address, address=standin.address
        )

    def _engine_options(
        self, service: Service, target: Target, document: Document
    ) -> EngineOptions:
        versions = {model.name: model.version for model in document.models}
        speed = self.settings.embedded.engine_speed
        options = EngineOptions(
            name=target.name,
            model=service.model,
            weight_version=versions.get(service.model, ''),
            batch=BatchOptions(speed=speed),
        )
        if self._adjust_engine is not None:
            self._adjust_engine(options)
        return options

    def _start_entry(self) -> None:
        node = self._make_node('entry-1', '')
        self._entry_node = node
        self._entry = EntryRole(node)
        node.start()
        self._entry.start()

    def _make_node(self, process: str, target: str) -> Node:
        settings = msgspec.structs.replace(
            self.settings,
            process=process,
            inner=ANY_PORT,
            agent=msgspec.structs.replace(self.settings.agent, target=target)
            if target
            else AgentSettings(),
        )
        return Node(
            settings,
            self.client(),
            lambda: self._keys,
            TlsContexts(),
            Clock(),
            random.Random(),
        )

    async def _wait_for_configuration(self) -> None:
        nodes = [agent.node for agent in self.agents.values()]
        nodes.append(self.entry_node)
        while not all(node.holder.serial for node in nodes):
            await asyncio.sleep(0.01)
