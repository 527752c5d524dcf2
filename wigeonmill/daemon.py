"""wigeonmilld: runs the roles that a settings file names."""

import asyncio
import logging
import random
import signal
import ssl
import sys

from wigeonmill.agent.role import AgentRole
from wigeonmill.clock import Clock
from wigeonmill.embedded import Embedded
from wigeonmill.entry.role import EntryRole
from wigeonmill.keys import InnerKeyFile
from wigeonmill.keys import read_inner_keys
from wigeonmill.log import configure_logs
from wigeonmill.node import Node
from wigeonmill.node import TlsContexts
from wigeonmill.platform.etcd import EtcdKeyValue
from wigeonmill.settings import load_settings
from wigeonmill.settings import Settings
from wigeonmill.settings import TlsSettings

logger = logging.getLogger(__name__)

EXIT_USAGE = 2
EXIT_SETTINGS = 3


class Daemon:
    """One process of wigeonmill from start to graceful shutdown."""

    def __init__(self, settings: Settings, keys: InnerKeyFile) -> None:
        self._settings = settings
        self._keys = keys
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Start the roles, wait for SIGTERM, drain and close."""
        self._install_signals()
        key_value = EtcdKeyValue(
            ','.join(self._settings.key_value),
            self._settings.key_value_timeout_ms,
            Clock(),
        )
        node = Node(
            self._settings,
            key_value,
            self._keys.keys,
            make_inner_tls(self._settings.inner_tls),
            Clock(),
            random.Random(),
        )
        roles = self._make_roles(node)
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
        key_value.close()
        logger.info('shut down')

    def _make_roles(self, node: Node) -> list[EntryRole | AgentRole]:
        roles: list[EntryRole | AgentRole] = []
        if 'agent' in self._settings.roles:
            roles.append(AgentRole(node))
        if 'entry' in self._settings.roles:
            tls = make_server_tls(self._settings.entry.tls)
            roles.append(EntryRole(node, tls))
        return roles

    def _check_superseded(self, node: Node) -> None:
        """Step aside for a later process of the same name."""
        if node.membership.superseded and not self._stop.is_set():
            logger.critical('a later process bears this name')
            self._stop.set()

    async def _drain(self, roles: list[EntryRole | AgentRole]) -> None:
        draining = [asyncio.ensure_future(role.drain()) for role in roles]
        timeout_s = self._settings.drain_timeout_ms / 1000.0
        _done, late = await asyncio.wait(draining, timeout=timeout_s)
        for task in late:
            logger.warning('drain timeout: open work is cut off')
            task.cancel()

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._keys.reload)


def make_server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return a context for accepting; callers prove nothing by TLS."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(tls.cert_file, tls.key_file)
    if tls.ca_file:
        context.load_verify_locations(tls.ca_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_inner_tls(tls: TlsSettings | None) -> TlsContexts:
    """Return mutual TLS for inner connections, if the settings name it.

    Peers are found by IP number, so the certificate's issuer is checked and
    not its host name.
    """
    if tls is None:
        return TlsContexts()
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.load_verify_locations(tls.ca_file or tls.cert_file)
    client.load_cert_chain(tls.cert_file, tls.key_file)
    return TlsContexts(make_server_tls(tls), client)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; returns its exit code."""
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
        return asyncio.run(Embedded(settings).run())
    keys = read_inner_keys(settings.inner_key_file)
    if keys.is_err():
        print(f'{args[0]}: {keys.unwrap_err()}', file=sys.stderr)
        return EXIT_SETTINGS
    key_file = InnerKeyFile(settings.inner_key_file, keys.unwrap())
    return asyncio.run(_run(settings, key_file))


async def _run(settings: Settings, keys: InnerKeyFile) -> int:
    await Daemon(settings, keys).run()
    return 0


if __name__ == '__main__':
    sys.exit(main())
