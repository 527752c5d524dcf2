"""Forwards calls to plain services, some at most once by idempotency key."""

import hashlib

from tornado.httputil import HTTPHeaders

from wigeonmill.config.model import Target
from wigeonmill.config.rules import runs_at_most_once
from wigeonmill.entry.base import TeamHandler
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.refusals import agent_refusal
from wigeonmill.entry.refusals import STARTING
from wigeonmill.entry.requests import parse_deadline
from wigeonmill.entry.start_waits import StartWaits
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.protocol.gen.inner.ttypes import CallReply
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Header
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryReason

KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARS = 255
# Requests with these methods may be repeated (RFC 9110).
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
# Reasons for which a retry on another target would be refused too.
_FINAL_REASONS = frozenset(
    (
        Reason.KEY_REUSED,
        Reason.KEY_REQUIRED,
        Reason.IN_PROGRESS,
        Reason.OUTCOME_UNKNOWN,
        Reason.ANSWER_NOT_KEPT,
        Reason.NOT_RUN,
        Reason.DEADLINE,
    )
)
# Part of the deadline that is reserved for returning the answer.
ANSWER_MARGIN_MS = 50.0


class PlainHandler(TeamHandler):
    """Forwards one call to a target of a plain service."""

    SUPPORTED_METHODS = (
        'GET',
        'HEAD',
        'POST',
        'DELETE',
        'PATCH',
        'PUT',
        'OPTIONS',
    )

    def initialize(self, context: EntryContext) -> None:
        super().initialize(context)
        self._disconnected = False

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._disconnected = True

    async def get(self, service: str, path: str) -> None:
        """Forward a call; all HTTP methods are handled in the same way."""
        if self._finished:
            return
        routes = self.routes.for_plain(service)
        if routes is None:
            message = f'no plain service is named {service!r}'
            self.refuse(ApiError(Reason.UNKNOWN_SERVICE, message))
            return
        deadline = parse_deadline(
            self.request.headers.get('X-Deadline-Ms', ''), self.limits
        )
        if deadline.is_err():
            self.refuse(deadline.unwrap_err())
            return
        at_most_once = runs_at_most_once(
            routes.service, self.request.method or '', f'/{path}'
        )
        key = self.request.headers.get(KEY_HEADER, '')
        if at_most_once and not _is_valid_key(key):
            message = (
                f'this call runs at most once: send {KEY_HEADER} with 1 to '
                f'{MAX_KEY_CHARS} printable characters'
            )
            self.refuse(ApiError(Reason.KEY_REQUIRED, message))
            return
        await self._forward(
            routes, path, key if at_most_once else '', deadline.unwrap()
        )

    head = get
    post = get
    delete = get
    patch = get
    put = get
    options = get

    async def _forward(
        self, routes: ServiceRoutes, path: str, key: str, deadline_ms: int
    ) -> None:
        started_ms = self.context.clock.now_ms()
        idempotent = not key and self.request.method in IDEMPOTENT_METHODS
        attempts = Attempts(started_ms + deadline_ms, idempotent)
        excluded: set[str] = set()
        start_waits = StartWaits(self.context.clock, attempts.deadline_ms)
        message = 'no target of the service is available'
        last_error = ApiError(Reason.NO_TARGET, message, 1000)
        while True:
            target = self._pick_target(routes, key, excluded)
            if target is None:
                # A claimed call may have run on a target tried earlier.
                self.refuse(final_error(last_error, attempts))
                return
            excluded.add(target.name)
            result = await self._try_target(
                routes, target, path, key, attempts, start_waits
            )
            if isinstance(result, CallReply):
                self._write_reply(result)
                return
            last_error = result
            if result.reason not in _FINAL_REASONS:
                left = self._pick_target(routes, key, excluded)
                if left is None and await self._wait_for_starting(
                    start_waits, attempts, excluded
                ):
                    continue
            reason = RetryReason.REFUSED
            if result.reason is Reason.NO_TARGET:
                reason = RetryReason.UNREACHABLE
            if result.reason in _FINAL_REASONS or not self._take_retry(
                attempts, reason
            ):
                self.refuse(final_error(result, attempts))
                return
            attempts.attempts += 1

    def _pick_target(
        self, routes: ServiceRoutes, key: str, excluded: set[str]
    ) -> Target | None:
        block_keys = []
        if key:
            seed = f'{self.team.name}\0{key}'.encode()
            digest = hashlib.blake2b(seed, digest_size=16).digest()
            block_keys = [digest]
        names = routes.picker.pick(
            block_keys, excluded, self.context.breakers.blocked
        )
        return routes.targets[names[0]] if names else None

    async def _try_target(
        self,
        routes: ServiceRoutes,
        target: Target,
        path: str,
        key: str,
        attempts: Attempts,
        start_waits: StartWaits,
    ) -> CallReply | ApiError:
        context = self.context
        context.breakers.record_dispatch(target.name)
        remaining_ms = attempts.deadline_ms - context.clock.now_ms()
        call = self._build_call(routes.service.name, path, key, remaining_ms)
        answer = await context.agent_client(target).request(
            Envelope(Kind.CALL, call=call), max(remaining_ms, 1.0)
        )
        if answer.is_err():
            context.breakers.record_failure(target.name)
            error = answer.unwrap_err()
            if error.kind is PeerErrorKind.UNREACHABLE:
                return ApiError(Reason.NO_TARGET, error.message, 1000)
            attempts.may_have_started = True
            reason = Reason.OUTCOME_UNKNOWN
            return ApiError(reason, error.message, 0, False)
        reply = answer.unwrap().call_reply
        if reply is None:
            refused = answer.unwrap().refused
            refusal = agent_refusal(refused)
            if not refusal.not_run:
                attempts.may_have_started = True
            elif refused is not None and refused.reason == STARTING:
                start_waits.add(target.name, refusal.retry_after_ms)
            return refusal
        if reply.digest != hashlib.sha256(reply.body or b'').digest():
            attempts.may_have_started = True
            context.metrics.count('answers_damaged', 'digest')
            message = 'the answer does not match its digest'
            return ApiError(Reason.OUTCOME_UNKNOWN, message, 0, False)
        context.breakers.record_success(target.name)
        context.budget.record_success()
        return reply

    async def _wait_for_starting(
        self, start_waits: StartWaits, attempts: Attempts, excluded: set[str]
    ) -> bool:
        """Wait for a starting target; return whether to ask it again.

        A call that may have run is left to the retry budget.
        """
        if attempts.may_have_started:
            return False
        due = await start_waits.wait()
        if not due or self._disconnected:
            return False
        excluded.difference_update(due)
        self.context.metrics.count('calls_repeated', 'starting')
        return True

    def _build_call(
        self, service: str, path: str, key: str, remaining_ms: float
    ) -> Call:
        query = f'?{self.request.query}' if self.request.query else ''
        headers = [
            Header(name, value)
            for name, value in self.request.headers.get_all()
        ]
        return Call(
            service,
            self.team.name,
            self.request.method,
            f'/{path}{query}',
            headers,
            bytes(self.body),
            int(max(remaining_ms - ANSWER_MARGIN_MS, 1.0)),
            key,
            self.request_id,
            self.team.weight,
        )

    def _take_retry(self, attempts: Attempts, reason: RetryReason) -> bool:
        context = self.context
        allowed = may_retry(reason, attempts, context.budget, context.clock)
        if allowed.is_err():
            denial = allowed.unwrap_err().value
            context.metrics.count('retries_denied', denial)
            return False
        context.metrics.count('retries', reason.value)
        return True

    def _write_reply(self, reply: CallReply) -> None:
        self.set_status(reply.status)
        headers = HTTPHeaders()
        for header in reply.headers or []:
            headers.add(header.name, header.value)
        for name, value in headers.get_all():
            if name not in ('Server', 'Date', 'X-Request-Id'):
                self.set_header(name, value)
        self.context.metrics.count('answers')
        has_no_body = reply.status in (204, 304)
        self.finish(None if has_no_body else reply.body)


def _is_valid_key(key: str) -> bool:
    return 1 <= len(key) <= MAX_KEY_CHARS and key.isprintable()


def final_error(error: ApiError, attempts: Attempts) -> ApiError:
    """Return `error` unless it would deny that the call may have run."""
    if not attempts.may_have_started or not error.not_run:
        return error
    return ApiError(Reason.OUTCOME_UNKNOWN, error.message, 0, False)
