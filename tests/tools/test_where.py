"""Tests the command that asks a gateway where a request would go."""

import asyncio
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application
from tornado.web import RequestHandler

from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.where_command import WhereCommand
from wigeonmill.tools.where_command import WhereReport

CHOICE = {
    'target': 't2',
    'route': 'r',
    'targets': [
        {'target': 't1', 'restrictions': ['closed', 'cold']},
        {'target': 't2', 'restrictions': [], 'cost': 0.25},
    ],
}


@dataclass
class Gateway:
    status: int = 200
    reply: object = None
    asked: object = None

    def ask(self, **changes):
        return asyncio.run(self._ask(changes))

    async def _ask(self, changes):
        gateway = self

        class Handler(RequestHandler):
            def get(self):
                gateway.asked = {
                    name: self.get_arguments(name)
                    for name in self.request.query_arguments
                }
                self.set_status(gateway.status)
                self.finish(gateway.reply)

        sock, port = bind_unused_port()
        server = HTTPServer(Application([('/where', Handler)]))
        server.add_socket(sock)
        values = {'gateway': f'127.0.0.1:{port}', 'host': 'h', 'path': '/a b'}
        try:
            return await WhereCommand(**(values | changes)).run(None)
        finally:
            server.stop()


def test_the_question_is_sent_and_the_choice_is_shown():
    gateway = Gateway(reply=CHOICE)
    report = gateway.ask(model='m', part=['a:5', 'b:6'])
    assert gateway.asked['path'] == ['/a b']
    assert gateway.asked['part'] == ['a:5', 'b:6']
    assert report.exit_code is ExitCode.OK
    assert list(report.lines()) == [
        'target: t2',
        'route: r',
        '  target=t2 restrictions=none cost=0.25',
        '  target=t1 restrictions=closed,cold',
    ]


def test_a_refusal_is_shown_with_its_time():
    report = WhereReport(
        {'refusal': 'too_late', 'message': 'why', 'retry_after_ms': 400.0}
    )
    assert report.exit_code is ExitCode.NEGATIVE
    assert list(report.lines()) == [
        'refused: too_late, why',
        'retry after: 400 ms',
    ]


def test_a_malformed_question_is_an_error_of_usage():
    report = Gateway(status=400, reply={'problem': 'what?'}).ask()
    assert report.exit_code is ExitCode.USAGE
    assert list(report.lines()) == ['what?']


def test_a_gateway_that_does_not_answer_is_unavailable():
    report = Gateway().ask(gateway='127.0.0.1:1')
    assert report.exit_code is ExitCode.UNAVAILABLE
