"""The test harness of the features: a system of real processes."""

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
    """The reply that a caller got; status 0 means no complete answer."""

    status: int
    body: str
    headers: dict = field(default_factory=dict)

    @property
    def error(self):
        """The error object of a refusal."""
        return json.loads(self.body)['error']


@dataclass
class Stream:
    """A streamed answer, as far as its caller has received it."""

    prompt: str
    max_tokens: int
    text: str = ''
    event_id: str = ''
    done: bool = False
    status: int = 0
    body: str = ''
    task: asyncio.Task | None = None

    def feed(self, chunk):
        """Append a chunk of the response and parse the complete events."""
        self.body += chunk.decode()
        *events, self.body = self.body.split('\n\n')
        for event in events:
            self._parse_event(event)

    def _parse_event(self, event):
        if event.startswith('id: '):
            self.event_id = event[4:].partition('\n')[0]
        data = event.partition('data: ')[2]
        if data == '[DONE]':
            self.done = True
        elif data.startswith('{') and 'choices' in data:
            for choice in json.loads(data)['choices']:
                self.text += choice.get('text') or ''


class SystemHarness:
    """Starts a system, sends requests and reads audits.

    `context` holds values that the steps of a scenario share.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.system = None
        self.http = None
        self.replies = []
        self.streams = []
        self.pending = []
        self.context = {}

    def start(self, **options):
        """Start the processes of a system with these SystemOptions."""
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

    def run(self, awaitable):
        """Run a coroutine or a task to its end and return its result."""
        return self.loop.run_until_complete(awaitable)

    def wait_until(self, condition, timeout_s=30.0):
        """Wait until `condition()` is true."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, (
                'the condition did not become true'
            )
            self.sleep_for(0.02)

    def target(self, name):
        """Return the processes of the target `name`."""
        return self.system.targets[name]

    def audit(self, name):
        """Return the audit of one target's stand-in."""
        return read_audit(self.target(name).standin.address)

    def audits(self, prefix):
        """Return the audits of all targets whose names have this prefix."""
        names = [n for n in self.system.targets if n.startswith(prefix)]
        return [self.audit(name) for name in names]

    def booked_references(self):
        """Return the references of all booked credits, in any order."""
        return [
            credit['reference']
            for audit in self.audits('ledger')
            for credit in audit['credits']
        ]

    async def credit(self, reference, amount=5.0, team='alpha', **headers):
        """Post one credit; its reference is also its idempotency key."""
        body = {'account': 'bar', 'amount': amount, 'reference': reference}
        headers.setdefault('Idempotency-Key', reference)
        path = f'/v1/services/{LEDGER}/credits'
        return await self.send('POST', path, body, team, **headers)

    async def prompt(self, prompt, max_tokens=4, team='alpha', **headers):
        """Send one prompt and wait for the complete answer."""
        body = {'model': MODEL, 'prompt': prompt, 'max_tokens': max_tokens}
        return await self.send(
            'POST', '/v1/completions', body, team, **headers
        )

    async def send(self, method, path, body, team, entry=0, **headers):
        """Send one request to an entry."""
        request = self._request(method, path, body, team, entry, headers)
        try:
            response = await self.http.fetch(request, raise_error=False)
        except HTTPError as exc:
            return Reply(0, str(exc))
        return Reply(
            response.code, response.body.decode(), dict(response.headers)
        )

    def open_stream(
        self, prompt, max_tokens, team='alpha', entry=0, event_id=''
    ):
        """Start a streamed answer, which is received in the background."""
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
        request.streaming_callback = stream.feed

        async def fetch():
            try:
                response = await self.http.fetch(request, raise_error=False)
                stream.status = response.code
            except HTTPError:
                stream.status = 0

        stream.task = self.loop.create_task(fetch())
        self.streams.append(stream)
        return stream

    def is_answered(self, prompt):
        """Send a prompt and return whether it is answered."""
        task = self.loop.create_task(self.prompt(prompt))
        return self.run(task).status == 200

    def wait_for_first_offers(self):
        """Wait until the first entry has offers, so that prompts are run."""
        self.wait_until(lambda: self.is_answered('first offers'))

    def wait_for_first_event(self, stream):
        """Wait for a stream's first event; fail at once if it has ended."""
        self.wait_until(lambda: stream.event_id or stream.task.done())
        assert stream.event_id, (stream.status, stream.body)

    def finish_streams(self):
        """Wait until every stream has ended."""
        for stream in self.streams:
            self.run(stream.task)

    def sleep_for(self, seconds):
        """Wait for a fixed time, for guarantees that are stated in time."""
        self.run(asyncio.sleep(seconds))

    def now(self):
        """Return the time of a monotonic clock in seconds."""
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
