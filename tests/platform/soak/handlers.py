"""Handles the requests to a target of the soak."""

import asyncio
from dataclasses import dataclass
import enum
import itertools
import json
import random
import secrets
import time

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from tests.platform.soak.journal import Arrival
from tests.platform.soak.journal import Closing
from tests.platform.soak.journal import Run
from wigeonmill.standins.fault_proxy import reset_stream

PLAIN_RUN_S = 0.04
EVENT_INTERVAL_S = 0.03
EVENT_COUNT = 8
MAX_OPEN_REQUESTS = 24
# The share of plain requests that fail after they were run.
FAILED_SHARE = 0.03
# The share of answers that a target in trouble spoils.
SPOILED_SHARE = 0.3
ENDLESS_PART = b'z' * 65_536
# A prompt part under which targets crash when they begin to write.
CRASHING_PART = 'bad0'
# Times of rest that answers state if each states its own.
STATED_RANGE_S = (0.5, 3.0)
# The share of the callers that leave just after an answer that asks for rest
# has reached their entry.
LEFT_SHARE = 0.3
LEFT_AFTER_S = 0.002
# Iterations of the event loop in which the proxy has passed the answer on.
PROXY_ITERATIONS = 6


class AnswerForm(enum.Enum):
    """How a target in trouble writes some of its answers."""

    # A whole answer that ends with its connection.
    WITHOUT_LENGTH = 'without length'
    # The same for a stream, but it ends inside an event.
    INSIDE_EVENT = 'inside an event'
    ENDLESS_HEAD = 'endless head'
    ENDLESS_BODY = 'endless body'


class SilenceForm(enum.Enum):
    """Where the requests to a sound target stand still for a time."""

    # Everything of the target: connections, reports and heartbeats.
    FROZEN = 'frozen'
    # Each request and report before it is looked at, and each stream.
    REQUESTS = 'requests'
    BEFORE_HEAD = 'before the head'
    BEFORE_BODY = 'before the body'
    BETWEEN_EVENTS = 'between events'
    INSIDE_EVENT = 'inside an event'


@dataclass
class Rest:
    """What a target that asks for rest tells one entry, or all (None)."""

    entry: str | None
    until: float
    # Whether answers name the target.
    named: bool = False
    # Whether each answer states a time of its own, which may be longer or
    # shorter than that of the one before.
    varied: bool = False

    def applies_to(self, entry):
        """Whether requests from this entry are refused now."""
        return time.monotonic() < self.until and self.entry in (None, entry)

    def stated_s(self):
        """Return the time that the next answer states, in seconds."""
        if self.varied:
            return random.uniform(*STATED_RANGE_S)
        return self.until - time.monotonic()


class TargetHandler(RequestHandler):
    def initialize(self, target):
        self.target = target

    async def _serve(self):
        target, headers = self.target, self.request.headers
        request_id = headers.get('Request-Id', '')
        is_control = self.request.path.startswith('/wigeonmill/')
        if not is_control and self._is_addressed():
            target.journal.arrivals.append(
                Arrival(request_id, target.id, time.monotonic())
            )
        await target.wait_for(SilenceForm.REQUESTS)
        entry = target.journal.entries.get(request_id)
        if target.leaving:
            self.set_header('Server-Leaving', '1')
        if target.limit is not None:
            self.set_header('Server-Limit', f'{target.limit.per_s:g}')
        if is_control:
            self._serve_control()
            return
        self.set_header('Request-Id', request_id)
        self.set_header(
            'Server-Load',
            f'{target.open_requests},0,{target.slots},'
            f'{target.machine.stated()}',
        )
        version = headers.get('Expect-Version', str(target.version))
        if not self._is_addressed() or version != str(target.version):
            self.set_header('Not-Executed', '1')
            self.set_status(421)
            return
        if target.rest is not None and target.rest.applies_to(entry):
            await self._ask_for_rest(request_id, target.rest)
            return
        if target.open_requests >= MAX_OPEN_REQUESTS or target.loading:
            self.set_header('Not-Executed', '1')
            self.set_status(503)
            return
        target.open_requests += 1
        try:
            await self._run(request_id)
        except StreamClosedError:
            return
        finally:
            target.open_requests -= 1

    async def _ask_for_rest(self, request_id, rest):
        journal = self.target.journal
        if self.request.connection.stream.closed():
            return
        now, stated_s = time.monotonic(), rest.stated_s()
        self.set_header('Not-Executed', '1')
        self.set_status(503)
        if stated_s > 0:
            if rest.named:
                self.set_header('Instance-Id', self.target.id)
            self.set_header('Retry-After', f'{stated_s:.3f}')
            closing = Closing(request_id, self.target.id, now, now + stated_s)
            journal.closings.append(closing)
        self.finish()
        if random.random() < LEFT_SHARE:
            for _ in range(PROXY_ITERATIONS):
                await asyncio.sleep(0)
            await asyncio.sleep(random.choice((0.0, LEFT_AFTER_S)))
            # The caller may have had another answer meanwhile.
            journal.leave.get(request_id, lambda: None)()

    def _is_addressed(self):
        expected = self.request.headers.get('Expect-Instance')
        return expected in (None, self.target.id)

    def _serve_control(self):
        target = self.target
        if not self._is_addressed():
            self.set_status(421)
        elif self.request.path == '/wigeonmill/order':
            self.set_status(target.accept_order(json.loads(self.request.body)))
        else:
            report = {
                'busy': target.loading,
                'sequence': target.orders,
                'born': target.started_ms,
                'waiting': 0,
                'models': target.models(),
            }
            self.write(json.dumps(report))

    async def _run(self, request_id):
        target, headers = self.target, self.request.headers
        last_event = int(headers.get('Last-Event-Id', '0'))
        target.journal.add(
            Run(
                request_id,
                target.id,
                time.monotonic(),
                self.request.path,
                headers.get('Tenant'),
                last_event,
            )
        )
        self.set_header('Server-Seal', f'{target.id}.{request_id}')
        self.set_header('Weight-Versions', str(target.version))
        if CRASHING_PART in headers.get('Prefix-Hash', ''):
            await self.target.machine.work(EVENT_INTERVAL_S)
            target.crash()
            reset_stream(self.detach())
            return
        await target.wait_for(SilenceForm.BEFORE_HEAD)
        form = target.answer_form
        if form and secrets.randbelow(1000) < SPOILED_SHARE * 1000:
            await self._write_raw(form, request_id, last_event)
            return
        rollout = target.rollout
        if rollout is not None and await rollout.spoil(self):
            return
        if 'stream' in self.request.path:
            self.set_header('Content-Type', 'text/event-stream')
            for number in range(last_event + 1, EVENT_COUNT + 1):
                await self._write_event(number, request_id)
            return
        await self.target.machine.work(PLAIN_RUN_S)
        if secrets.randbelow(1000) < FAILED_SHARE * 1000:
            self.set_status(500)
        body = json.dumps({'id': request_id, 'by': target.id})
        if target.is_silent(SilenceForm.BEFORE_BODY):
            self.set_header('Content-Length', str(len(body)))
            await self.flush()
            await target.wait_for(SilenceForm.BEFORE_BODY)
        self.write(body)

    async def _write_event(self, number, request_id):
        target = self.target
        event = f'id: {number}\ndata: {request_id} {number}\n\n'
        await self.target.machine.work(EVENT_INTERVAL_S)
        if target.is_silent(SilenceForm.BEFORE_BODY):
            await self.flush()
            await target.wait_for(SilenceForm.BEFORE_BODY)
        await target.wait_for(SilenceForm.REQUESTS)
        await target.wait_for(SilenceForm.BETWEEN_EVENTS)
        if target.is_silent(SilenceForm.INSIDE_EVENT):
            cut = 1 + secrets.randbelow(len(event) - 1)
            self.write(event[:cut])
            await self.flush()
            await target.wait_for(SilenceForm.INSIDE_EVENT)
            event = event[cut:]
        self.write(event)
        await self.flush()

    async def _write_raw(self, form, request_id, last_event):
        """Write an answer without a length, or one without end."""
        head = b'HTTP/1.1 200 OK\r\n' + b''.join(
            f'{name}: {value}\r\n'.encode()
            for name, value in self._headers.get_all()
            if name not in ('Content-Length', 'Transfer-Encoding')
        )
        stream = self.detach()
        self.target.raw_streams.add(stream)
        if form in (AnswerForm.ENDLESS_HEAD, AnswerForm.ENDLESS_BODY):
            self.target.journal.record_break(self.target.id, request_id)
        try:
            if form is AnswerForm.ENDLESS_HEAD:
                await stream.write(head)
                for number in itertools.count():
                    await stream.write(b'X-%d: y\r\n' % number * 100)
            await stream.write(head + b'\r\n')
            if form is AnswerForm.ENDLESS_BODY:
                while True:
                    await stream.write(ENDLESS_PART)
            if 'stream' not in self.request.path:
                await self.target.machine.work(PLAIN_RUN_S)
                body = {'id': request_id, 'by': self.target.id}
                await stream.write(json.dumps(body).encode())
                return
            for number in range(last_event + 1, EVENT_COUNT + 1):
                await self.target.machine.work(EVENT_INTERVAL_S)
                event = f'id: {number}\ndata: {request_id} {number}\n\n'
                if (
                    form is AnswerForm.INSIDE_EVENT
                    and secrets.randbelow(4) < 1
                ):
                    cut = 1 + secrets.randbelow(len(event) - 1)
                    self.target.journal.record_break(
                        self.target.id, request_id
                    )
                    await stream.write(event[:cut].encode())
                    return
                await stream.write(event.encode())
        finally:
            self.target.raw_streams.discard(stream)
            stream.close()

    get = post = _serve
