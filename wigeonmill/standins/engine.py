"""A model engine with an OpenAI-compatible HTTP interface."""

import asyncio

from result import Err

from wigeonmill.clock import Clock
from wigeonmill.standins.engine_cache import CACHE_ROUTES
from wigeonmill.standins.engine_core import Engine
from wigeonmill.standins.engine_core import EngineOptions
from wigeonmill.standins.engine_messages import Cancelled
from wigeonmill.standins.engine_messages import CompletionRequest
from wigeonmill.standins.engine_messages import LoadOrder
from wigeonmill.standins.engine_messages import RoleOrder
from wigeonmill.standins.engine_orders import accept_load
from wigeonmill.standins.engine_orders import accept_role
from wigeonmill.standins.engine_stream import RunHandler
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

_STATUSES = {
    'unavailable': 503,
    'loading': 503,
    'unknown_model': 404,
    'weight_version': 409,
    'duplicate_request': 409,
}


class _CompletionsHandler(RunHandler):
    chat = False

    async def post(self) -> None:
        req = self.decode(CompletionRequest)
        if req is None:
            return None
        submitted = self.state.submit(req)
        if isinstance(submitted, Err):
            reason = submitted.err_value
            message = f'the request is refused: {reason}'
            return self.reply_error(_STATUSES[reason], reason, message)
        run = submitted.ok_value
        if req.stream:
            return await self.stream(run, 0, self.chat)
        return await self.send_whole(run, self.chat)


class _ChatHandler(_CompletionsHandler):
    chat = True


class _StreamsHandler(RunHandler):
    async def get(self, request_id: str) -> None:
        run = self.state.runs.get(request_id)
        if run is None:
            return self.reply_error(404, 'unknown_request', request_id)
        chat = self.get_query_argument('chat', '0') == '1'
        offset = int(self.get_query_argument('offset', '0'))
        return await self.stream(run, offset, chat)


class _CancelHandler(RunHandler):
    def post(self, request_id: str) -> None:
        if request_id not in self.state.runs:
            return self.reply_error(404, 'unknown_request', request_id)
        cancelled = self.state.cancel(request_id)
        return self.reply(Cancelled(request_id, cancelled))


class _HealthHandler(RunHandler):
    def get(self) -> None:
        self.reply(self.state.health())


class _LoadHandler(RunHandler):
    def get(self) -> None:
        self.reply(self.state.load())


class _LoadOrderHandler(RunHandler):
    def post(self) -> None:
        order = self.decode(LoadOrder)
        if order is None:
            return None
        reason = accept_load(self.state, order)
        if reason:
            return self.reply_error(409, reason, 'the order is refused')
        return self.reply(self.state.health(), 202)


class _RoleOrderHandler(RunHandler):
    def post(self) -> None:
        order = self.decode(RoleOrder)
        if order is None:
            return None
        reason = accept_role(self.state, order)
        if reason:
            return self.reply_error(409, reason, 'the order is refused')
        return self.reply(self.state.health())


async def start_engine(
    options: EngineOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[Engine]:
    """Start a model engine."""
    engine = Engine(options, Clock())
    handler_args = {'state': engine}
    routes: list[Route] = [
        ('/v1/completions', _CompletionsHandler, handler_args),
        ('/v1/chat/completions', _ChatHandler, handler_args),
        ('/v1/streams/([^/]+)', _StreamsHandler, handler_args),
        ('/v1/requests/([^/]+)/cancel', _CancelHandler, handler_args),
        ('/health', _HealthHandler, handler_args),
        ('/load', _LoadHandler, handler_args),
        ('/admin/load', _LoadOrderHandler, handler_args),
        ('/admin/role', _RoleOrderHandler, handler_args),
        *((path, kind, handler_args) for path, kind in CACHE_ROUTES),
    ]
    server = await start_server(engine, routes, host, port, engine.close)

    def drop_all() -> None:
        asyncio.ensure_future(server.drop_connections())

    engine.on_crash = drop_all
    return server
