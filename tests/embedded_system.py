"""Helpers for tests that run against an embedded system."""

import asyncio
import json
from pathlib import Path
import secrets

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.reader import read_document
from wigeonmill.embedded import EmbeddedSystem
from wigeonmill.settings import check_settings

ISOKO = Path(__file__).parent.parent / 'examples' / 'isoko.json'
RAW_SETTINGS = {
    'process': 'all',
    'roles': ['embedded'],
    'entry': {'http': '127.0.0.1:0', 'leave_grace_ms': 0},
    'embedded': {'engine_speed': 20.0},
}


class Caller:
    """Sends requests to an embedded system with the key of one team."""

    def __init__(self, system, team):
        self.base = f'http://{system.address}'
        self.key = f'example-key-{team}'
        self.http = CurlAsyncHTTPClient(force_instance=True)

    async def send(self, method, path, body=None, **headers):
        headers = {k.replace('_', '-'): v for k, v in headers.items()}
        headers.setdefault('Authorization', f'Bearer {self.key}')
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body)
        request = HTTPRequest(
            self.base + path,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=30.0,
        )
        return await self.http.fetch(request, raise_error=False)


def with_system(scenario, adjust_engine=None, raw=None):
    """Run `scenario(system, caller, document)` on a new system."""

    async def body():
        document = read_document(ISOKO).unwrap()
        settings = check_settings({**RAW_SETTINGS, **(raw or {})}).unwrap()
        system = EmbeddedSystem(settings, adjust_engine)
        await system.start(document)
        caller = Caller(system, document.teams[0].name)
        try:
            await scenario(system, caller, document)
        finally:
            caller.http.close()
            await system.stop()

    asyncio.run(body())


async def submit_changes(system, **changes):
    """Submit the current document with `changes`; return the record."""
    record = system.entry_node.holder.record
    document = msgspec.structs.replace(record.document, **changes)
    submission = Submission(
        document, 'test', secrets.token_hex(8), record.serial, True
    )
    outcome = await submit(system.client(), Clock(), submission)
    return outcome.unwrap().record


async def wait_for(condition, timeout_s=20.0):
    """Wait until `condition()` is true."""

    async def poll():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), timeout_s)


def sum_counter(system, name):
    """Return the sum of a counter over all agents."""
    nodes = [agent.node for agent in system.agents.values()]
    return sum(node.metrics.value(name) for node in nodes)
