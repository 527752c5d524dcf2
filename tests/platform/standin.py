"""A stand-in for the platform's HTTP services with scripted answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import inspect
import json

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from wigeonmill.providers.transfers import TransferLoop

TIMEOUT_S = 10.0


@dataclass
class Call:
    """A call that the stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict | None


@dataclass
class Reply:
    """The answer to a call; `lost` delays it beyond every timeout."""

    status: int = 200
    body: dict | str | None = None
    lost: bool = False
    headers: dict[str, str] = field(default_factory=dict)


class _Handler(RequestHandler):
    def initialize(self, standin):
        self._standin = standin

    async def _answer(self):
        req = self.request
        query = {k: v[0].decode() for k, v in req.query_arguments.items()}
        body = json.loads(req.body) if req.body else None
        call = Call(req.method, req.path, query, dict(req.headers), body)
        self._standin.calls.append(call)
        reply = self._standin.answer(call)
        if inspect.isawaitable(reply):
            reply = await reply
        if reply.lost:
            await asyncio.sleep(TIMEOUT_S)
        self.set_status(reply.status)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        text = reply.body
        self.finish(text if isinstance(text, str) else json.dumps(text))

    get = post = delete = _answer


class Standin:
    """Listens on loopback; `answer` returns the reply to each call.

    It may be a coroutine function.
    """

    def __init__(self, answer: Callable[[Call], Reply | Awaitable[Reply]]):
        self.answer = answer
        self.calls: list[Call] = []
        app = Application([('.*', _Handler, {'standin': self})])
        self._server = HTTPServer(app)
        sockets = bind_sockets(0, '127.0.0.1')
        self._server.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'

    async def close(self):
        self._server.stop()
        await self._server.close_all_connections()


def with_standin(answer, check):
    """Run `check(standin, transfers)` in a new event loop."""

    async def run():
        standin = Standin(answer)
        transfers = TransferLoop()
        try:
            await asyncio.wait_for(check(standin, transfers), TIMEOUT_S)
        finally:
            transfers.close()
            await standin.close()

    asyncio.run(run())
