"""The command that serves the web console."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import signal
import sys
from typing import Annotated

import cappa
from result import Err

from wigeonmill.addresses import is_address
from wigeonmill.console.base import ConsoleContext
from wigeonmill.console.drafts import read_key_hashes
from wigeonmill.console.drafts import SessionStore
from wigeonmill.console.server import ConsoleServer
from wigeonmill.tls import make_server_context
from wigeonmill.tools.document_commands import TextReport
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.options import ServiceOptionsArg
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session


@cappa.command(name='console', help='Serve the web console until interrupted.')
@dataclass(frozen=True, slots=True)
class ConsoleCommand:
    """Serves the operators' web console."""

    listen: Annotated[
        str, cappa.Arg(long=True, help='IP:port (default: from the settings).')
    ] = ''
    operator_key_hash_file: Annotated[
        str, cappa.Arg(long=True, help='File with the key hash.')
    ] = ''
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """The console prints no JSON."""
        return False

    async def run(self, deps: Dependencies) -> Report:
        """Serve until SIGINT or SIGTERM."""
        opened = open_session(self.services, deps, with_status_reader=True)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        try:
            return await self._serve(session)
        finally:
            session.close()

    async def _serve(self, session: Session) -> Report:
        settings = session.settings.console
        address = self.listen or settings.http
        if not is_address(address):
            return _usage_report(f'--listen: {address!r} is not IP:port')
        path = self.operator_key_hash_file or settings.operator_key_hash_file
        hashes = read_key_hashes(path)
        if isinstance(hashes, Err):
            return _usage_report(hashes.err_value)
        tls = make_server_context(settings.tls)
        if isinstance(tls, Err):
            return _usage_report(tls.err_value)
        context = ConsoleContext(
            session.kv,
            session.clock,
            SessionStore(session.clock, hashes.ok_value),
            session.deps.new_id,
            session.read_standing,
            secure=tls.ok_value is not None,
        )
        server = ConsoleServer(context, tls.ok_value)
        try:
            bound = server.listen(address)
        except OSError as exc:
            return _usage_report(f'cannot listen at {address}: {exc.strerror}')
        scheme = 'https' if context.secure else 'http'
        print(f'Console at {scheme}://{bound}/', file=sys.stderr, flush=True)
        await _wait_for_signal()
        await server.stop()
        return TextReport('Console stopped.')


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def _usage_report(problem: str) -> Report:
    return ProblemReport(ExitCode.USAGE, problem)
