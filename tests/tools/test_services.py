import asyncio

import cappa

from tests.config import samples
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import MemberState
from wigeonmill.protocol.gen.inner.ttypes import Status
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer
from wigeonmill.standins.key_value import KeyValueOptions
from wigeonmill.standins.key_value import start_key_value
from wigeonmill.tools.change_reports import AcceptedReport
from wigeonmill.tools.cli import Wigeonmill
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.fleet import Standing
from wigeonmill.tools.session import make_dependencies

KEY = 'a shared inner key of the tests'


class StatusServer:
    """An inner server that answers status requests."""

    def __init__(self, name, serial, peers=()):
        self.name = name
        self.serial = serial
        self.peers = peers
        keys = InnerKeys((KEY.encode(),))
        self.server = InnerServer(
            name, 'entry', 1, lambda: keys, self.answer, Metrics()
        )
        self.address = self.server.listen_on('127.0.0.1', 0)

    def answer(self, conn, envelope):
        with_peers = envelope.status_request.members
        peers = self.peers if with_peers else ()
        members = [MemberState(address=peer, state=0) for peer in peers]
        status = Status(self.name, 'entry', self.serial, members)
        conn.send(Envelope(Kind.STATUS, envelope.stream, 0, status=status))


async def run(*argv):
    command = cappa.parse(Wigeonmill, argv=list(argv)).command
    return await command.run(make_dependencies(lambda _question: True))


def test_commands_use_the_real_protocols(tmp_path):
    key_file = tmp_path / 'inner.key'
    key_file.write_text(KEY)

    async def scenario():
        kv = await start_key_value(KeyValueOptions())
        ahead = StatusServer('p2', 2)
        behind = StatusServer('p1', 1, [ahead.address])
        options = ['--kv', kv.address, '--inner-key-file', str(key_file)]
        options += ['--process', behind.address]
        file = str(samples.EXAMPLES / 'isoko.json')
        applied = await run('apply', file, *options)
        drained = await run('drain', 'domain', 'gasabo', *options)
        status = await run('status', *options)
        behind.serial = 2
        status_after_update = await run('status', *options)
        behind.server.close_all()
        ahead.server.close_all()
        await kv.stop()
        return applied, drained, status, status_after_update

    applied, drained, status, status_after_update = asyncio.run(scenario())
    assert isinstance(applied, AcceptedReport) and applied.serial == 1
    assert drained.serial == 2
    standing = {row.process: row.standing for row in status.processes}
    assert standing['p1'] is Standing.BEHIND
    assert standing['p2'] is Standing.IN_FORCE
    assert status.exit_code is ExitCode.NEGATIVE
    standing = {
        row.process: row.standing for row in status_after_update.processes
    }
    assert standing['p1'] is Standing.IN_FORCE
    # The agents of the example document are not running.
    assert standing[''] is Standing.UNREACHABLE
