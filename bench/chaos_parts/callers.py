"""Callers that send a mixed load, and retry and resume as clients do."""

import asyncio
import json
import random

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from bench.chaos_parts.records import CallerRecords
from bench.chaos_parts.records import CreditRecord
from bench.chaos_parts.records import CreditReply
from bench.chaos_parts.records import PromptRecord
from bench.system import LEDGER
from bench.system import MODEL
from bench.system import team_key

PROMPT_TIMEOUT_S = 30.0
CREDIT_TIMEOUT_S = 12.0
PROMPT_DEADLINE_MS = 15_000
CREDIT_DEADLINE_MS = 5_000
MAX_CLIENTS = 300
MANIFEST_COUNT = 12
MANIFEST_BYTES = 16_000
ATTEMPTS = 6
MARKED_ATTEMPTS = 8
RETRY_DELAY_S = 0.4
CREATED = 201


class _EventParser:
    """Parses the server-sent events of one attempt into its record."""

    def __init__(self, record: PromptRecord) -> None:
        self._record = record
        self.buffer = ''

    def receive(self, piece: bytes) -> None:
        """Parse the events that end in this piece of the response body."""
        self.buffer += piece.decode()
        *events, self.buffer = self.buffer.split('\n\n')
        for event in events:
            self._parse(event)

    def _parse(self, event: str) -> None:
        record = self._record
        data = event.partition('data: ')[2]
        if event.startswith('event: error'):
            record.reasons.append(_parse_error(data).get('code', 'unreadable'))
        elif data == '[DONE]':
            record.whole = True
        elif data.startswith('{'):
            for choice in json.loads(data).get('choices', []):
                record.texts[-1] += choice.get('text') or ''
            if event.startswith('id: '):
                record.event_id = event[4:].partition('\n')[0]


class Callers:
    """Sends requests, each attempt through an entry chosen at random."""

    def __init__(
        self, addresses: list[str], teams: tuple[str, ...], rng: random.Random
    ) -> None:
        self.records = CallerRecords()
        self._addresses = addresses
        self._teams = teams
        self._rng = rng
        self._http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def reconcile(self, number: int) -> None:
        """Send a new question about a manifest that other prompts share."""
        manifest = self._rng.randrange(MANIFEST_COUNT)
        line = f'manifest {manifest} depot {manifest % 7} keg,'
        text = (line * (MANIFEST_BYTES // len(line) + 1))[:MANIFEST_BYTES]
        team = self._teams[manifest % len(self._teams)]
        prompt = f'{text} reconcile for question {number}'
        await self._prompt(team, PromptRecord(prompt, 40), ATTEMPTS)

    async def tag(self, number: int) -> None:
        """Send a short prompt that asks for the tag of one return note."""
        prompt = f'return note {number}: damaged, clean or missing?'
        team = self._rng.choice(self._teams)
        await self._prompt(team, PromptRecord(prompt, 4), ATTEMPTS)

    async def marked(self, prompt: str) -> PromptRecord:
        """Send a prompt that crashes engines; retry it after each failure."""
        record = PromptRecord(prompt, 8, marked=True)
        await self._prompt(self._teams[0], record, MARKED_ATTEMPTS)
        return record

    async def credit(self, number: int) -> None:
        """Post one credit; two thirds of the callers retry until it is booked.

        One in five posts the credit once more afterwards. Each idempotency
        key is used by every team, for a credit of its own.
        """
        team = self._teams[number % len(self._teams)]
        record = CreditRecord(f'{team}-credit-{number}')
        self.records.credits.append(record)
        key = f'key-{number // len(self._teams)}'
        attempts = self._rng.choice((1, ATTEMPTS, ATTEMPTS))
        post_again = self._rng.random() < 0.2
        for _attempt in range(attempts):
            reply = await self._post_credit(team, key, record)
            record.replies.append(reply)
            if reply.status == CREATED:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if post_again:
            reply = await self._post_credit(team, key, record)
            record.replies.append(reply)
        record.ended = True

    async def _post_credit(
        self, team: str, key: str, record: CreditRecord
    ) -> CreditReply:
        reference = record.reference
        request_id = f'{reference}.{len(record.replies)}'
        body = {'account': f'bar-{team}', 'amount': 5.0}
        request = self._request(
            f'/v1/services/{LEDGER}/credits',
            msgspec.json.encode({**body, 'reference': reference}),
            team,
        )
        request.headers['Idempotency-Key'] = key
        request.headers['X-Request-Id'] = request_id
        request.headers['X-Deadline-Ms'] = str(CREDIT_DEADLINE_MS)
        request.request_timeout = CREDIT_TIMEOUT_S
        response = await self._fetch(request)
        if response is None:
            return CreditReply(0, request_id=request_id)
        text = response.body.decode('utf-8', 'replace')
        if response.code == CREATED:
            found = _parse_reference(text)
            return CreditReply(CREATED, found, request_id=request_id)
        error = _parse_error(text)
        return CreditReply(
            response.code,
            '',
            str(error.get('code', 'unreadable')),
            bool(error.get('not_run', False)),
            request_id,
        )

    async def _prompt(
        self, team: str, record: PromptRecord, attempts: int
    ) -> None:
        self.records.prompts.append(record)
        for _attempt in range(attempts):
            await self._stream(team, record)
            if record.whole:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        record.ended = True

    async def _stream(self, team: str, record: PromptRecord) -> None:
        """Make one attempt: resume the stream if possible, else start anew."""
        body = {
            'model': MODEL,
            'prompt': record.prompt,
            'max_tokens': record.max_tokens,
            'stream': True,
        }
        request = self._request(
            '/v1/completions', msgspec.json.encode(body), team
        )
        request.headers['X-Deadline-Ms'] = str(PROMPT_DEADLINE_MS)
        resuming = bool(record.event_id)
        if resuming:
            request.headers['Last-Event-ID'] = record.event_id
            record.resumed += 1
        events = _EventParser(record)
        request.streaming_callback = events.receive
        response = await self._fetch(request)
        if response is None:
            record.reasons.append('no_answer')
        elif response.code != 200:
            reason = _parse_error(events.buffer).get('code', 'unreadable')
            record.reasons.append(str(reason))
        if record.whole or response is None:
            return
        if resuming and record.event_id:
            # The resumption failed: the next attempt sends the prompt anew.
            record.event_id = ''
            record.texts.append('')

    def _request(self, path: str, body: bytes, team: str) -> HTTPRequest:
        address = self._rng.choice(self._addresses)
        return HTTPRequest(
            f'http://{address}{path}',
            method='POST',
            body=body,
            headers={'Authorization': f'Bearer {team_key(team)}'},
            connect_timeout=2.0,
            request_timeout=PROMPT_TIMEOUT_S,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | None:
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return None
        return response if response.code != 599 else None


def _parse_error(text: str) -> dict:
    try:
        found = json.loads(text)['error']
    except (ValueError, KeyError, TypeError):
        return {}
    return found if isinstance(found, dict) else {}


def _parse_reference(text: str) -> str:
    try:
        return str(json.loads(text)['reference'])
    except (ValueError, KeyError, TypeError):
        return 'unreadable'
