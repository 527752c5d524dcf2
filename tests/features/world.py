"""A system of real processes and its callers, for the features."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import time

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest

from bench.standin_control import read_audit
from bench.system import LEDGER
from bench.system import MODEL
from bench.system import System
from bench.system import SystemOptions
from bench.system import team_key


@dataclass
class Reply:
    """What a caller got; status 0 means no whole answer."""

    status: int
    body: str
    headers: dict = field(default_factory=dict)

    @property
    def error(self):
        """The error object of a refusal."""
        return json.loads(self.body)['error']


@dataclass
class Stream:
    """A streamed answer as far as its caller has it."""

    prompt: str
    max_tokens: int
    text: str = ''
    event_id: str = ''
    done: bool = False
    status: int = 0
    body: str = ''
    task: asyncio.Task | None = None

    def read(self, piece):
        """Take a piece of the response."""
        self.body += piece.decode()
        *events, self.body = self.body.split('\n\n')
        for event in events:
            self._read_event(event)

    def _read_event(self, event):
        if event.startswith('id: '):
            self.event_id = event[4:].partition('\n')[0]
        data = event.partition('data: ')[2]
        if data == '[DONE]':
            self.done = True
        elif data.startswith('{') and 'choices' in data:
            for choice in json.loads(data)['choices']:
                self.text += choice.get('text') or ''


class World:
    """Starts a system, sends requests and reads audits."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.system = None
        self.http = None
        self.replies = []
        self.streams = []
        self.pending = []
        self.marks = {}

    def start(self, **options):
        """Start the processes of a system."""
        self.system = System(SystemOptions(**options))
        self.run(self._start())

    def close(self):
        """End every process and the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        if self.http is not None:
            self.http.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        if self.system is not None:
            self.system.close()
        self.loop.close()

    def run(self, work):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(work)

    def wait(self, condition, timeout_s=30.0):
        """Wait until `condition()` is true."""

        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, 'the condition stays false'
            self.pause(0.02)

    def target(self, name):
        """Return the processes of one target."""
        return self.system.targets[name]

    def audit(self, name):
        """Return the audit of one target's stand-in."""
        return read_audit(self.target(name).standin.address)

    def audits(self, prefix):
        """Return the audits of all targets whose names begin so."""
        names = [n for n in self.system.targets if n.startswith(prefix)]
        return [self.audit(name) for name in names]

    def applied(self):
        """Return the references of all booked credits, in no order."""
        return [
            credit['reference']
            for audit in self.audits('ledger')
            for credit in audit['credits']
        ]

    async def credit(self, reference, amount=5.0, team='alpha', **headers):
        """Post one credit; the reference is its idempotency key."""
        body = {'account': 'bar', 'amount': amount, 'reference': reference}
        headers.setdefault('Idempotency-Key', reference)
        path = f'/v1/services/{LEDGER}/credits'
        return await self.send('POST', path, body, team, **headers)

    async def prompt(self, prompt, max_tokens=4, team='alpha', **headers):
        """Send one prompt and wait for its whole answer."""
        body = {'model': MODEL, 'prompt': prompt, 'max_tokens': max_tokens}
        return await self.send(
            'POST', '/v1/completions', body, team, **headers
        )

    async def send(self, method, path, body, team, entry=0, **headers):
        """Send one request to an entry."""
        request = self._request(method, path, body, team, entry, headers)
        try:
            got = await self.http.fetch(request, raise_error=False)
        except HTTPError as exc:
            return Reply(0, str(exc))
        return Reply(got.code, got.body.decode(), dict(got.headers))

    def open_stream(
        self, prompt, max_tokens, team='alpha', entry=0, event_id=''
    ):
        """Start a streamed answer; it goes on in the background."""
        stream = Stream(prompt, max_tokens)
        body = {
            'model': MODEL,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        headers = {'Last-Event-ID': event_id} if event_id else {}
        request = self._request(
            'POST', '/v1/completions', body, team, entry, headers
        )
        request.streaming_callback = stream.read

        async def fetch():
            try:
                got = await self.http.fetch(request, raise_error=False)
                stream.status = got.code
            except HTTPError:
                stream.status = 0

        stream.task = self.loop.create_task(fetch())
        self.streams.append(stream)
        return stream

    def run_ok(self, prompt):
        """Tell whether a prompt is answered now."""
        task = self.loop.create_task(self.prompt(prompt))
        return self.run(task).status == 200

    def settle(self):
        """Wait for every stream's end."""
        for stream in self.streams:
            self.run(stream.task)

    def pause(self, seconds):
        """Let time pass where a promise speaks of time."""
        self.run(asyncio.sleep(seconds))

    def now(self):
        """Return seconds of a monotonic clock."""
        return time.monotonic()

    async def _start(self):
        await self.system.start()
        self.http = CurlAsyncHTTPClient(force_instance=True, max_clients=200)

    def _request(self, method, path, body, team, entry, headers):
        address = self.system.entry_addresses[entry]
        return HTTPRequest(
            f'http://{address}{path}',
            method=method,
            body=None if body is None else json.dumps(body),
            headers={'Authorization': f'Bearer {team_key(team)}', **headers},
            request_timeout=60.0,
            allow_nonstandard_methods=True,
        )
