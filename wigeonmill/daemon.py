"""wigeonmilld: runs the roles listed in a settings file."""

import asyncio
from dataclasses import dataclass
import logging
import random
import signal
import ssl
import sys

from result import Err
from result import Ok
from result import Result

from wigeonmill.agent.role import AgentRole
from wigeonmill.clock import Clock
from wigeonmill.embedded import EmbeddedSystem
from wigeonmill.entry.role import EntryRole
from wigeonmill.keys import InnerKeyFile
from wigeonmill.keys import read_inner_keys
from wigeonmill.log import configure_logs
from wigeonmill.monitoring import MonitoringServer
from wigeonmill.node import Node
from wigeonmill.node import TlsContexts
from wigeonmill.providers.etcd import EtcdKeyValue
from wigeonmill.runner import run_process
from wigeonmill.settings import load_settings
from wigeonmill.settings import Settings
from wigeonmill.tls import make_client_context
from wigeonmill.tls import make_server_context

logger = logging.getLogger(__name__)

EXIT_USAGE = 2
EXIT_SETTINGS = 3
END_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Credentials:
    """The inner keys and TLS contexts of one process."""

    keys: InnerKeyFile
    inner: TlsContexts
    callers: ssl.SSLContext | None


class Daemon:
    """One wigeonmill process, from start to graceful shutdown."""

    def __init__(self, settings: Settings, credentials: Credentials) -> None:
        self._settings = settings
        self._credentials = credentials
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Start the roles, wait for SIGTERM or SIGINT, drain and close."""
        self._install_signals()
        key_value = self._make_key_value()
        node = self._make_node(key_value)
        roles = self._make_roles(node)
        monitoring = self._start_monitoring(node)
        node.start()
        node.membership.subscribe(lambda: self._check_superseded(node))
        for role in roles:
            role.start()
        await self._stop.wait()
        logger.info('shutting down')
        await node.membership.leave()
        await self._drain(roles)
        for role in roles:
            await role.close()
        await node.close()
        if monitoring is not None:
            await monitoring.close()
        key_value.close()
        logger.info('shut down')

    def _make_key_value(self) -> EtcdKeyValue:
        return EtcdKeyValue(
            ','.join(self._settings.key_value),
            self._settings.key_value_timeout_ms,
            Clock(),
        )

    def _make_node(self, key_value: EtcdKeyValue) -> Node:
        return Node(
            self._settings,
            key_value,
            self._credentials.keys.keys,
            self._credentials.inner,
            Clock(),
            random.Random(),
        )

    def _make_roles(self, node: Node) -> list[EntryRole | AgentRole]:
        roles: list[EntryRole | AgentRole] = []
        if 'agent' in self._settings.roles:
            roles.append(AgentRole(node))
        if 'entry' in self._settings.roles:
            roles.append(EntryRole(node, self._credentials.callers))
        return roles

    def _start_monitoring(self, node: Node) -> MonitoringServer | None:
        if not self._settings.monitoring:
            return None
        server = MonitoringServer(node.metrics)
        server.listen(self._settings.monitoring)
        return server

    def _check_superseded(self, node: Node) -> None:
        """Shut down if a newer process has taken over this name."""
        if node.membership.superseded and not self._stop.is_set():
            logger.critical('a newer process uses the same name')
            self._stop.set()

    async def _drain(self, roles: list[EntryRole | AgentRole]) -> None:
        draining = [asyncio.ensure_future(role.drain()) for role in roles]
        timeout_s = self._settings.drain_timeout_ms / 1000.0
        _drained, unfinished = await asyncio.wait(draining, timeout=timeout_s)
        for task in unfinished:
            logger.warning('drain timed out, cancelling the remaining work')
            task.cancel()

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._credentials.keys.reload)


def load_credentials(settings: Settings) -> Result[Credentials, str]:
    """Read the key and certificate files named in the settings."""
    keys = read_inner_keys(settings.inner_key_file)
    if isinstance(keys, Err):
        return keys
    server = make_server_context(settings.inner_tls)
    if isinstance(server, Err):
        return server
    client = make_client_context(settings.inner_tls)
    if isinstance(client, Err):
        return client
    callers = make_server_context(settings.entry.tls)
    if isinstance(callers, Err):
        return callers
    key_file = InnerKeyFile(settings.inner_key_file, keys.ok_value)
    inner = TlsContexts(server.ok_value, client.ok_value)
    return Ok(Credentials(key_file, inner, callers.ok_value))


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    args = sys.argv[1:] if argv is None else argv
    if len(args) != 1:
        print('usage: wigeonmilld SETTINGS.json', file=sys.stderr)
        return EXIT_USAGE
    loaded = load_settings(args[0])
    if loaded.is_err():
        for fault in loaded.unwrap_err():
            print(f'{args[0]}: {fault}', file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    configure_logs(settings.process, settings.log_level)
    if 'embedded' in settings.roles:
        return run_process(EmbeddedSystem(settings).run(), END_TIMEOUT_S)
    credentials = load_credentials(settings)
    if isinstance(credentials, Err):
        print(f'{args[0]}: {credentials.err_value}', file=sys.stderr)
        return EXIT_SETTINGS
    run_process(Daemon(settings, credentials.ok_value).run(), END_TIMEOUT_S)
    return 0


if __name__ == '__main__':
    sys.exit(main())
