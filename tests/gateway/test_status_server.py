"""Tests the question where a request would go, over a connection."""

import asyncio
import socket

from tests.gateway.test_explanation import make_world
from wigeonmill.gateway.status_server import StatusServer
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.where_command import WhereCommand


def ask(path):
    harness, explainer = make_world()

    async def check():
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{probe.getsockname()[1]}'
        server = StatusServer(
            '/ready', lambda: True, harness.ctx.metrics, explainer
        )
        server.listen(address)
        try:
            return await WhereCommand(address, 'h.example', path).run(None)
        finally:
            server.close()

    return asyncio.run(check())


def test_the_command_shows_what_the_gateway_would_do():
    report = ask('/a/x')
    assert report.exit_code is ExitCode.OK
    lines = list(report.lines())
    assert lines[0].startswith('target: t')
    assert sum('restrictions=none' in line for line in lines) == 9


def test_the_command_tells_a_malformed_question():
    report = ask('a/x')
    assert report.exit_code is ExitCode.USAGE
