"""Callers that send recurring manifests, note tags and credits."""

import json
import random
import time

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from bench.demo_parts.records import AnswerState
from bench.demo_parts.records import CallerRecords
from bench.demo_parts.records import CreditRecord
from bench.demo_parts.records import PromptRecord
from wigeonmill.standins.answers import expected_answer

REQUEST_TIMEOUT_S = 60.0
MAX_CLIENTS = 200
MANIFEST_BYTES = 24_000
CREDIT_ATTEMPTS = 8
CREATED = 201


class Callers:
    """Sends a mix of requests and records what the callers receive."""

    def __init__(
        self, address: str, model: str, ledger: str, rng: random.Random
    ) -> None:
        self.records = CallerRecords()
        self._base = f'http://{address}'
        self._model = model
        self._ledger = ledger
        self._rng = rng
        self._http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    def manifest(self, number: int) -> str:
        """Return the text of a manifest, which depends on its number only."""
        line = f'manifest {number} depot {number % 7} keg,'
        return (line * (MANIFEST_BYTES // len(line) + 1))[:MANIFEST_BYTES]

    async def reconcile(self, key: str, number: int) -> None:
        """Send a prompt over a manifest that may have been sent before."""
        prompt = self.manifest(number) + ' reconcile'
        await self._prompt(key, prompt, 24)

    async def tag(self, key: str, number: int) -> None:
        """Send a short prompt that asks for the tag of one return note."""
        prompt = f'return note {number}: damaged, clean or missing?'
        await self._prompt(key, prompt, 4)

    async def credit(self, key: str, reference: str) -> None:
        """Post one credit; retry with the same key while it has not run."""
        amount = round(self._rng.uniform(1, 50), 2)
        body = msgspec.json.encode(
            {'account': 'bar-1', 'amount': amount, 'reference': reference}
        )
        path = f'/v1/services/{self._ledger}/credits'
        record = CreditRecord(reference, 0)
        self.records.credits.append(record)
        for _attempt in range(CREDIT_ATTEMPTS):
            request = self._request(key, path, body)
            request.headers['Idempotency-Key'] = reference
            response = await self._fetch(request)
            record.status = response.code if response is not None else 0
            record.not_run = _says_not_run(response)
            if record.status == CREATED or not record.not_run:
                return

    async def _prompt(self, key: str, prompt: str, max_tokens: int) -> None:
        body = msgspec.json.encode(
            {
                'model': self._model,
                'prompt': prompt,
                'max_tokens': max_tokens,
                'stream': True,
                'stream_options': {'include_usage': True},
            }
        )
        arrivals: list[float] = []
        data = bytearray()

        def receive(piece: bytes) -> None:
            if not arrivals:
                arrivals.append(time.monotonic())
            data.extend(piece)

        request = self._request(key, '/v1/completions', body)
        request.streaming_callback = receive
        started = time.monotonic()
        response = await self._fetch(request)
        if response is None or response.code != 200:
            self.records.prompts.append(_parse_refusal(bytes(data)))
            return
        expected = expected_answer(prompt, max_tokens)
        record = _parse_stream(data.decode(), expected)
        record.first_token_ms = (arrivals[0] - started) * 1000.0
        self.records.prompts.append(record)

    def _request(self, key: str, path: str, body: bytes) -> HTTPRequest:
        return HTTPRequest(
            self._base + path,
            method='POST',
            body=body,
            headers={'Authorization': f'Bearer {key}'},
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | None:
        try:
            return await self._http.fetch(request, raise_error=False)
        except HTTPError:
            return None


def _parse_stream(text: str, expected: str) -> PromptRecord:
    parts: list[str] = []
    prompt_tokens, cached_tokens = 0, 0
    for event in text.split('\n\n'):
        data = event.partition('data: ')[2]
        if not data.startswith('{'):
            continue
        value = json.loads(data)
        for choice in value.get('choices', []):
            parts.append(choice.get('text') or '')
        usage = value.get('usage')
        if usage:
            prompt_tokens = usage['prompt_tokens']
            cached_tokens = usage['prompt_tokens_details']['cached_tokens']
    state = AnswerState.WRONG
    if ''.join(parts) == expected and text.rstrip().endswith('[DONE]'):
        state = AnswerState.WHOLE
    return PromptRecord(state, 0.0, prompt_tokens, cached_tokens)


def _parse_refusal(body: bytes) -> PromptRecord:
    try:
        reason = json.loads(body)['error']['code']
    except (ValueError, KeyError):
        reason = 'no_answer'
    return PromptRecord(AnswerState.REFUSED, 0.0, 0, 0, reason)


def _says_not_run(response: HTTPResponse | None) -> bool:
    if response is None:
        return False
    try:
        return bool(json.loads(response.body)['error']['not_run'])
    except (ValueError, KeyError, TypeError):
        return False
