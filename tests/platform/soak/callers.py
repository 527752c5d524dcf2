"""Callers that keep what came back, byte for byte."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import enum
import secrets
import time

from tests.platform.soak.targets import MODEL

DEADLINE_MS = 4_000
# A caller waits a little longer than it says.
PATIENCE_S = 6.0
HOST = 'soak.example'


class Kind(enum.Enum):
    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class End(enum.Enum):
    """How an attempt ended for its caller."""

    WHOLE = 'whole'
    # The connection was refused or closed before the request was written.
    NOT_SENT = 'not sent'
    CLOSED = 'closed without an answer'
    CUT = 'cut in the answer'
    SILENT = 'no answer in time'


@dataclass
class Attempt:
    """One request of a caller with its own id, and what became of it."""

    id: str
    kind: Kind
    path: str
    team: str | None
    entry: str
    sent_at: float
    end: End = End.SILENT
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    ended_at: float = 0.0
    # The caller left before the answer.
    left: bool = False


class Connection:
    """A kept connection to one entry."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def ask(self, attempt, key):
        """Send one request and take its answer."""
        if self.writer is None and not await self._connect():
            attempt.end = End.NOT_SENT
            return
        self.writer.write(request_bytes(attempt, key))
        attempt.end = End.CLOSED
        try:
            keep = await self._answer(attempt)
        except (asyncio.IncompleteReadError, OSError):
            keep = False
            if attempt.status:
                attempt.end = End.CUT
        if not keep:
            self.close()

    async def _connect(self):
        host, port = self.address.split(':')
        try:
            opening = asyncio.open_connection(host, int(port))
            self.reader, self.writer = await asyncio.wait_for(opening, 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return True

    async def _answer(self, attempt):
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        attempt.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                attempt.headers[name.lower()] = value.strip()
        if attempt.headers.get('transfer-encoding') == 'chunked':
            await self._chunks(attempt)
        else:
            length = int(attempt.headers.get('content-length', '0'))
            attempt.body = await self.reader.readexactly(length)
        attempt.end = End.WHOLE
        return attempt.headers.get('connection', '').lower() != 'close'

    async def _chunks(self, attempt):
        while True:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            attempt.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if size == 0:
                return

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def request_bytes(attempt, key):
    method = 'POST' if attempt.kind is Kind.UNSAFE else 'GET'
    body = b'credit' if attempt.kind is Kind.UNSAFE else b''
    lines = [
        f'{method} {attempt.path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {attempt.id}',
        f'Deadline-Ms: {DEADLINE_MS}',
        f'Authorization: Bearer {key}',
        f'Content-Length: {len(body)}',
        # Only the system may say whose request it is.
        'Tenant: forged',
    ]
    if attempt.kind is Kind.STREAM:
        lines += [
            f'Model: {MODEL}',
            'Token-Usage: 2000,8',
            f'Prefix-Hash: aa:500,{attempt.id[0]}:1200,{attempt.id}:300',
        ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Callers:
    """Clients that send to entries until told to stop."""

    def __init__(self, rng, entries, teams, leave_share=0.05):
        self.rng = rng
        self.entries = entries
        self.teams = teams
        self.leave_share = leave_share
        self.attempts = []
        self.stopped = False

    async def run(self, count):
        await asyncio.gather(*(self._client() for _turn in range(count)))

    async def _client(self):
        connections = {}
        while not self.stopped:
            name, address = self.rng.choice(list(self.entries.items()))
            conn = connections.setdefault(name, Connection(address))
            await self._one(conn, name)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        for conn in connections.values():
            conn.close()

    async def _one(self, conn, name):
        kind = self.rng.choice(list(Kind))
        team, key = self.rng.choice(list(self.teams.items()))
        attempt = Attempt(
            secrets.token_hex(8),
            kind,
            f'/{kind.value}/{secrets.token_hex(3)}',
            team,
            name,
            time.monotonic(),
        )
        self.attempts.append(attempt)
        leaves = self.rng.random() < self.leave_share
        patience_s = self.rng.uniform(0.0, 0.2) if leaves else PATIENCE_S
        try:
            await asyncio.wait_for(conn.ask(attempt, key), patience_s)
        except asyncio.TimeoutError:
            attempt.left = leaves
            attempt.end = End.SILENT
            conn.close()
        attempt.ended_at = time.monotonic()
