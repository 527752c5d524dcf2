"""Base classes of the request handlers for callers."""

import logging
import secrets
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from wigeonmill.config.model import Limits
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import RouteTable
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import encode_error
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.requests import clean_request_id

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = 'X-Request-Id'
RUN_ID_HEADER = 'X-Run-Id'
RETRY_AFTER_LEAVING_MS = 1000
RETRY_AFTER_BUSY_MS = 1000


class ApiHandler(RequestHandler):
    """Sets the request id and writes every refusal in the same format."""

    def initialize(self, context: EntryContext) -> None:
        """Set the state that all requests share."""
        self.context = context
        self.request_id = ''

    def prepare(self) -> None:
        given = self.request.headers.get(REQUEST_ID_HEADER, '')
        self.request_id = clean_request_id(given) or secrets.token_hex(12)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        headers = self.request.headers.get_all()
        size = sum(len(name) + len(value) for name, value in headers)
        if size > self.context.settings.max_header_bytes:
            self.refuse_malformed(431, 'the headers are too large')

    def refuse(self, error: ApiError) -> None:
        """End the request with a refusal and count its reason."""
        self.context.metrics.count('refusals', error.reason.value)
        self.set_status(error.status)
        self.set_header('Content-Type', 'application/json')
        if error.retry_after_s:
            self.set_header('Retry-After', str(error.retry_after_s))
        self.finish(encode_error(error))

    def refuse_malformed(self, status: int, message: str) -> None:
        """End the request as malformed, with a status other than 400."""
        self.context.metrics.count('refusals', Reason.MALFORMED.value)
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_error(ApiError(Reason.MALFORMED, message)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        if status_code == 404:
            self.refuse(ApiError(Reason.UNKNOWN_PATH, 'no such path'))
        elif status_code == 405:
            message = f'{self.request.method} is not served here'
            self.refuse(ApiError(Reason.METHOD, message))
        elif status_code < 500:
            self.refuse_malformed(status_code, 'the request is malformed')
        else:
            error = ApiError(Reason.INTERNAL, 'internal error', 0, False)
            self.refuse(error)

    def data_received(self, chunk: bytes) -> None:
        """Ignore the body of a request that needs none."""


class UnknownPathHandler(ApiHandler):
    """Answers every path that is not served."""

    def prepare(self) -> None:
        super().prepare()
        if not self._finished:
            self.refuse(ApiError(Reason.UNKNOWN_PATH, 'no such path'))


@stream_request_body
class TeamHandler(ApiHandler):
    """Handles a team's request, with limits on its size and number."""

    team: Team
    routes: RouteTable

    def initialize(self, context: EntryContext) -> None:
        super().initialize(context)
        self.body = bytearray()
        self._admitted = False

    @property
    def limits(self) -> Limits:
        """The limits on requests in the configuration."""
        return self.routes.document.limits

    def prepare(self) -> None:
        super().prepare()
        if self._finished:
            return
        error = self._admit()
        if error is not None:
            # Close the connection instead of reading the rest of the body.
            self.set_header('Connection', 'close')
            self.refuse(error)
            return
        self._admitted = True
        self.context.open_requests += 1
        by_team = self.context.open_by_team
        by_team[self.team.name] = by_team.get(self.team.name, 0) + 1

    def data_received(self, chunk: bytes) -> None:
        if self._finished:
            return
        if len(self.body) + len(chunk) > self.limits.max_body_bytes:
            self._refuse_large_body()
            return
        self.body += chunk

    def on_finish(self) -> None:
        if not self._admitted:
            return
        self._admitted = False
        self.context.open_requests -= 1
        by_team = self.context.open_by_team
        by_team[self.team.name] -= 1
        if not by_team[self.team.name]:
            del by_team[self.team.name]

    async def write_part(self, data: bytes) -> bool:
        """Send a part of the answer; return False if disconnected.

        The first part is sent with the headers. Later parts are written to
        the connection directly, at half the cost of `write` and `flush`.
        """
        try:
            if self._headers_written:
                assert self.request.connection is not None
                await self.request.connection.write(data)
            else:
                self.write(data)
                await self.flush()
        except StreamClosedError:
            return False
        return True

    def _admit(self) -> ApiError | None:
        context = self.context
        if context.refusing_requests:
            message = 'this entry is leaving; use another one'
            return ApiError(Reason.LEAVING, message, RETRY_AFTER_LEAVING_MS)
        if context.routes is None:
            message = 'this entry has no configuration yet'
            return ApiError(Reason.NO_CONFIG, message, RETRY_AFTER_BUSY_MS)
        self.routes = context.routes
        authorization = self.request.headers.get('Authorization', '')
        team = self.routes.teams.find(authorization)
        if team is None:
            message = 'the bearer key is missing or unknown'
            return ApiError(Reason.UNAUTHENTICATED, message)
        self.team = team
        if context.open_requests >= context.settings.max_open_requests:
            message = 'this entry has too many open requests'
            return ApiError(Reason.OVERLOADED, message, RETRY_AFTER_BUSY_MS)
        if context.open_by_team.get(team.name, 0) >= team.max_open_requests:
            message = (
                f'the team limit is {team.max_open_requests} open requests'
            )
            return ApiError(Reason.TEAM_LIMIT, message, RETRY_AFTER_BUSY_MS)
        length = self.request.headers.get('Content-Length', '0')
        if length.isdecimal() and int(length) > self.limits.max_body_bytes:
            return self._body_too_large_error()
        return None

    def _refuse_large_body(self) -> None:
        self.body.clear()
        self.set_header('Connection', 'close')
        self.refuse(self._body_too_large_error())

    def _body_too_large_error(self) -> ApiError:
        message = f'the body exceeds {self.limits.max_body_bytes} bytes'
        return ApiError(Reason.BODY_TOO_LARGE, message)
