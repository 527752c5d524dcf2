"""A command's settings and its connections to the system."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import getpass
import socket
from typing import Annotated
import uuid

import cappa
import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.config.amendment import Authorship
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.keys import read_inner_keys
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.providers.etcd import EtcdKeyValue
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.tls import make_client_context
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.fleet import agent_addresses
from wigeonmill.tools.fleet import ProcessStanding
from wigeonmill.tools.fleet import read_fleet
from wigeonmill.tools.fleet import Spread
from wigeonmill.tools.fleet import StatusReader
from wigeonmill.tools.fleet import wait_in_force
from wigeonmill.tools.operator_settings import check_settings
from wigeonmill.tools.operator_settings import load_operator_settings
from wigeonmill.tools.operator_settings import OperatorSettings
from wigeonmill.tools.operator_settings import SETTINGS_VARIABLE
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.status_reader import InnerStatusReader


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of every command that connects to the system."""

    settings: Annotated[
        str,
        cappa.Arg(
            long=True,
            help=f'Settings file (default: from {SETTINGS_VARIABLE}).',
        ),
    ] = ''
    kv: Annotated[
        list[str],
        cappa.Arg(long=True, help='Key-value service IP:port; repeatable.'),
    ] = field(default_factory=list)
    inner_key_file: Annotated[
        str, cappa.Arg(long=True, help='File with the shared inner key.')
    ] = ''
    process: Annotated[
        list[str],
        cappa.Arg(long=True, help='Inner IP:port to query; repeatable.'),
    ] = field(default_factory=list)
    author: Annotated[
        str,
        cappa.Arg(long=True, help='Author of a change (default: user@host).'),
    ] = ''


@dataclass(frozen=True, slots=True)
class OpenedKeyValue:
    """A client of the key-value service and the function that closes it."""

    kv: KeyValue
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Dependencies:
    """External dependencies of the commands, which tests replace."""

    clock: Clock
    open_key_value: Callable[[OperatorSettings, Clock], OpenedKeyValue]
    open_reader: Callable[[OperatorSettings], Result[StatusReader, str]]
    new_id: Callable[[], str]
    confirm: Callable[[str], bool]


@dataclass(frozen=True, slots=True)
class Session:
    """Open connections to the system's services."""

    settings: OperatorSettings
    clock: Clock
    kv: KeyValue
    close_kv: Callable[[], None]
    reader: StatusReader | None
    deps: Dependencies

    def authorship(self, force: bool = False) -> Authorship:
        """Return the author and options of a submission."""
        author = self.settings.author or default_author()
        return Authorship(author, self.deps.new_id, force)

    async def read_standing(
        self, record: ConfigRecord
    ) -> list[ProcessStanding]:
        """Query every process once; needs a session with a status reader."""
        seeds = self._seeds(record.document)
        return await read_fleet(self._reader(), seeds, record.serial)

    async def wait_in_force(
        self, record: ConfigRecord, timeout_ms: float
    ) -> Spread:
        """Wait until a record is in force; needs a status reader."""
        return await wait_in_force(
            self._reader(),
            self.clock,
            self._seeds(record.document),
            record.serial,
            timeout_ms,
        )

    def close(self) -> None:
        """Close every connection."""
        self.close_kv()
        if self.reader is not None:
            self.reader.close()

    def _reader(self) -> StatusReader:
        if self.reader is None:
            raise ValueError('the session was opened without a status reader')
        return self.reader

    def _seeds(self, document: Document) -> list[str]:
        return self.settings.processes + agent_addresses(document)


def open_session(
    options: ServiceOptions,
    deps: Dependencies,
    with_status_reader: bool = False,
) -> Result[Session, Report]:
    """Read the settings, override them with the options, open the clients.

    `with_status_reader` also opens a reader of the processes' status, which
    needs the inner key.
    """
    loaded = load_operator_settings(options.settings)
    if loaded.is_ok():
        loaded = check_settings(_with_options(loaded.unwrap(), options))
    if isinstance(loaded, Err):
        problem = '\n'.join(loaded.err_value)
        return Err(ProblemReport(ExitCode.USAGE, problem))
    settings = loaded.ok_value
    reader = None
    if with_status_reader:
        opened = deps.open_reader(settings)
        if isinstance(opened, Err):
            return Err(ProblemReport(ExitCode.USAGE, opened.err_value))
        reader = opened.ok_value
    kv = deps.open_key_value(settings, deps.clock)
    return Ok(Session(settings, deps.clock, kv.kv, kv.close, reader, deps))


def make_dependencies(confirm: Callable[[str], bool]) -> Dependencies:
    """Return the dependencies that are used in production."""
    return Dependencies(
        Clock(),
        _open_etcd,
        _open_status_reader,
        lambda: uuid.uuid4().hex,
        confirm,
    )


def default_author() -> str:
    """Return user@host of this process."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = 'unknown'
    return f'{user}@{socket.gethostname()}'


def _with_options(
    settings: OperatorSettings, options: ServiceOptions
) -> OperatorSettings:
    fields = {
        'key_value': list(options.kv),
        'inner_key_file': options.inner_key_file,
        'processes': list(options.process),
        'author': options.author,
    }
    overrides = {name: value for name, value in fields.items() if value}
    return msgspec.structs.replace(settings, **overrides)


def _open_etcd(settings: OperatorSettings, clock: Clock) -> OpenedKeyValue:
    addresses = ','.join(settings.key_value)
    kv = EtcdKeyValue(addresses, settings.key_value_timeout_ms, clock)
    return OpenedKeyValue(kv, kv.close)


def _open_status_reader(
    settings: OperatorSettings,
) -> Result[StatusReader, str]:
    if not settings.inner_key_file:
        return Err(
            'Set inner_key_file in the settings or use --inner-key-file'
        )
    read = read_inner_keys(settings.inner_key_file)
    if isinstance(read, Err):
        return Err(read.err_value)
    keys: InnerKeys = read.ok_value
    context = make_client_context(settings.inner_tls)
    if isinstance(context, Err):
        return Err(f'inner_tls: {context.err_value}')
    name = default_author()
    return Ok(InnerStatusReader(name, lambda: keys, context.ok_value))
