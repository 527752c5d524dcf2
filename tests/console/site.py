"""A console with an in-memory key-value service, and an HTTP client."""

import asyncio
import itertools
import re
import urllib.parse

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest

from tests.config import samples
from wigeonmill.clock import ManualClock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.history import read_current
from wigeonmill.console.base import ConsoleContext
from wigeonmill.console.drafts import SessionStore
from wigeonmill.console.server import ConsoleServer
from wigeonmill.keys import hash_key
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.tools.fleet import ProcessStanding
from wigeonmill.tools.fleet import Standing

OPERATOR_KEY = 'an operators key of the tests'


class Site:
    """A running console; the targets in `behind` have agents that lag."""

    def __init__(self):
        self.clock = ManualClock(1_700_000_000_000.0)
        self.kv = MemoryKeyValue(self.clock)
        self.behind = set()
        ids = itertools.count()
        context = ConsoleContext(
            self.kv,
            self.clock,
            SessionStore(self.clock, (hash_key(OPERATOR_KEY),)),
            lambda: f'console-{next(ids)}',
            self.read_standing,
        )
        self.server = ConsoleServer(context)
        self.url = 'http://' + self.server.listen('127.0.0.1:0')

    async def read_standing(self, record):
        rows = []
        for service in record.document.services:
            for target in service.targets:
                is_behind = target.name in self.behind
                rows.append(
                    ProcessStanding(
                        target.agent,
                        f'agent-{target.name}',
                        'agent',
                        record.serial - is_behind,
                        Standing.BEHIND if is_behind else Standing.IN_FORCE,
                    )
                )
        return rows

    async def submit(self, document, author, serial):
        submission = Submission(document, author, f'by-{author}', serial)
        return (await submit(self.kv, self.clock, submission)).unwrap()

    async def current(self):
        return (await read_current(self.kv)).unwrap().record


def run_site(scenario):
    """Run `scenario(site)` on a console with the Isoko document."""

    async def main():
        site = Site()
        await site.submit(samples.load_example(), 'setup', 0)
        try:
            await scenario(site)
        finally:
            await site.server.stop()

    asyncio.run(main())


class Page:
    """A reply: its status, headers and text."""

    def __init__(self, reply):
        self.status = reply.code
        self.headers = reply.headers
        self.text = reply.body.decode()


class Browser:
    """An HTTP client that handles redirects and cookies like a browser."""

    def __init__(self, site):
        self.site = site
        self.cookies = {}
        self.client = AsyncHTTPClient(force_instance=True)

    async def get(self, path):
        return await self._fetch('GET', path, None)

    async def post(self, path, xsrf=True, **fields):
        if xsrf:
            fields['_xsrf'] = self.cookies.get('_xsrf', '')
        body = urllib.parse.urlencode(fields, doseq=True)
        return await self._fetch('POST', path, body)

    async def log_in(self, author='ada', key=OPERATOR_KEY):
        await self.get('/login')
        return await self.post('/login', author=author, key=key)

    async def _fetch(self, method, path, body):
        cookies = '; '.join(f'{k}={v}' for k, v in self.cookies.items())
        reply = await self.client.fetch(
            HTTPRequest(
                self.site.url + path,
                method,
                {'Cookie': cookies},
                body,
                follow_redirects=False,
            ),
            raise_error=False,
        )
        for line in reply.headers.get_list('Set-Cookie'):
            name, value = re.match(r'([^=]+)="?([^;"]*)', line).groups()
            self.cookies[name] = value
        if reply.code == 303:
            return await self.get(reply.headers['Location'])
        return Page(reply)
