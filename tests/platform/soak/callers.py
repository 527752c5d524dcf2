"""Callers that record the replies byte for byte."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import enum
import math
import secrets
import time

from tests.platform.soak.handlers import CRASHING_PART
from tests.platform.soak.targets import MODEL

DEADLINE_MS = 4_000
# A caller waits a little longer than the deadline that it sends.
CALLER_TIMEOUT_S = 6.0
HOST = 'soak.example'
# Another part in the same place as the crashing one.
SOUND_PART = 'bad1'
# Pauses between requests with the crashing part, and between sound ones that
# share their other parts.
CRASHING_RANGE_S = (0.3, 1.2)
SOUND_RANGE_S = (0.05, 0.2)
# Pauses of callers that keep one connection busy.
KEPT_RANGE_S = (0.0, 0.05)
# A caller tries this long to take up a stream while entries are down.
RESUMING_S = 3.0
RESUME_PAUSE_S = 0.1


class Kind(enum.Enum):
    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Outcome(enum.Enum):
    """The outcome of an attempt for its caller."""

    COMPLETE = 'whole'
    # The connection was refused or closed before the request was written.
    NOT_SENT = 'not sent'
    CLOSED = 'closed without an answer'
    CUT = 'cut in the answer'
    TIMED_OUT = 'no answer in time'


@dataclass
class Attempt:
    """One request of a caller with its own id, and its outcome."""

    id: str
    kind: Kind
    path: str
    team: str | None
    entry: str
    sent_at: float
    outcome: Outcome = Outcome.TIMED_OUT
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    # When the caller had written the whole request.
    written_at: float = math.inf
    ended_at: float = 0.0
    # The caller disconnected on purpose before the answer.
    disconnected: bool = False
    # It did so after a target's answer for rest had reached the entry.
    left_answered: bool = False
    # The attempt that brought the first event of a resumed stream.
    resumes: 'Attempt | None' = None
    # The middle part of the prompt of a stream.
    part: str = ''

    @property
    def from_event(self):
        """The last event that the caller had before this attempt."""
        return self.resumes.last_event if self.resumes else 0

    @property
    def last_event(self):
        """The last complete event that the caller has after this attempt."""
        return self.from_event + self.body.count(b'\n\n')


class Connection:
    """A keep-alive connection to one entry."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def send(self, attempt, key):
        """Send one request and read its answer."""
        if self.reader is not None and self.reader.at_eof():
            self.close()
        if self.writer is None and not await self._connect():
            attempt.outcome = Outcome.NOT_SENT
            return
        self.writer.write(encode_request(attempt, key))
        attempt.written_at = time.monotonic()
        attempt.outcome = Outcome.CLOSED
        try:
            keep_alive = await self._read_answer(attempt)
        except (asyncio.IncompleteReadError, OSError):
            keep_alive = False
            if attempt.status:
                attempt.outcome = Outcome.CUT
        if not keep_alive:
            self.close()

    async def _connect(self):
        host, port = self.address.split(':')
        try:
            connecting = asyncio.open_connection(host, int(port))
            self.reader, self.writer = await asyncio.wait_for(connecting, 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return True

    async def _read_answer(self, attempt):
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        attempt.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                attempt.headers[name.lower()] = value.strip()
        if attempt.headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(attempt)
        else:
            length = int(attempt.headers.get('content-length', '0'))
            attempt.body = await self.reader.readexactly(length)
        attempt.outcome = Outcome.COMPLETE
        return attempt.headers.get('connection', '').lower() != 'close'

    async def _read_chunks(self, attempt):
        while True:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            attempt.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if size == 0:
                return

    def leave(self):
        """Close the connection while an answer may be read."""
        if self.writer is not None:
            self.writer.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def encode_request(attempt, key):
    method = 'POST' if attempt.kind is Kind.UNSAFE else 'GET'
    body = b'credit' if attempt.kind is Kind.UNSAFE else b''
    lines = [
        f'{method} {attempt.path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {attempt.id}',
        f'Deadline-Ms: {DEADLINE_MS}',
        f'Authorization: Bearer {key}',
        f'Content-Length: {len(body)}',
        # The entry must ignore this header: only the system sets the tenant.
        'Tenant: forged',
    ]
    if attempt.kind is Kind.STREAM:
        lines += [
            f'Model: {MODEL}',
            'Token-Usage: 2000,8',
            f'Prefix-Hash: aa:500,{attempt.part or attempt.id[0]}:1200,'
            f'{attempt.id}:300',
        ]
    if attempt.resumes:
        lines += [
            f'Last-Event-Id: {attempt.from_event}',
            f'Resumes: {attempt.resumes.id}',
        ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Callers:
    """Clients that send requests to random entries until `stopped` is set."""

    def __init__(self, rng, entries, teams, journal, disconnect_share=0.05):
        self.rng = rng
        self.entries = entries
        self.teams = teams
        self.journal = journal
        self.disconnect_share = disconnect_share
        self.attempts = []
        self.stopped = False

    async def run(self, count):
        await asyncio.gather(*(self._client() for _ in range(count)))

    async def run_crashing(self):
        """Send requests with the crashing part, and sound ones beside them."""
        await asyncio.gather(
            self._client_of_part(CRASHING_PART, CRASHING_RANGE_S),
            self._client_of_part(SOUND_PART, SOUND_RANGE_S),
        )

    async def _client_of_part(self, part, range_s):
        while not self.stopped:
            await asyncio.sleep(self.rng.uniform(*range_s))
            name, address = self.rng.choice(list(self.entries.items()))
            attempt = Attempt(
                secrets.token_hex(8),
                Kind.STREAM,
                f'/stream/{secrets.token_hex(3)}',
                'one',
                name,
                time.monotonic(),
                part=part,
            )
            conn = Connection(address)
            await self._send(conn, attempt, self.teams['one'], False)
            conn.close()

    async def _client(self):
        connections = {}
        while not self.stopped:
            name, address = self.rng.choice(list(self.entries.items()))
            conn = connections.setdefault(name, Connection(address))
            await self._send_attempt(conn, name)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        for conn in connections.values():
            conn.close()

    async def run_on_kept_connections(self):
        """Keep one connection to each entry busy until it is closed."""
        await asyncio.gather(*map(self._client_of_entry, self.entries))

    async def _client_of_entry(self, name):
        conn = Connection(self.entries[name])
        while not self.stopped:
            await self._send_attempt(conn, name)
            await asyncio.sleep(self.rng.uniform(*KEPT_RANGE_S))
        conn.close()

    async def _send_attempt(self, conn, name):
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
        disconnects = self.rng.random() < self.disconnect_share
        await self._send(conn, attempt, key, disconnects)
        if attempt.outcome is Outcome.CUT and attempt.last_event:
            await self._resume(attempt, key)

    async def _resume(self, cut, key):
        """Take a stream that was cut up again at any entry that is up."""
        until = time.monotonic() + RESUMING_S
        while time.monotonic() < until:
            attempt = await self._resume_once(cut, key)
            if attempt.outcome is not Outcome.NOT_SENT:
                return
            await asyncio.sleep(RESUME_PAUSE_S)

    async def _resume_once(self, cut, key):
        name, address = self.rng.choice(list(self.entries.items()))
        attempt = Attempt(
            secrets.token_hex(8),
            cut.kind,
            cut.path,
            cut.team,
            name,
            time.monotonic(),
            resumes=cut,
        )
        conn = Connection(address)
        await self._send(conn, attempt, key, disconnects=False)
        conn.close()
        return attempt

    async def _send(self, conn, attempt, key, disconnects):
        self.attempts.append(attempt)

        def leave():
            attempt.disconnected = attempt.left_answered = True
            conn.leave()

        self.journal.expect_request(attempt.id, attempt.entry, leave)
        timeout_s = (
            self.rng.uniform(0.0, 0.2) if disconnects else CALLER_TIMEOUT_S
        )
        try:
            await asyncio.wait_for(conn.send(attempt, key), timeout_s)
        except asyncio.TimeoutError:
            attempt.disconnected |= disconnects
            attempt.outcome = Outcome.TIMED_OUT
            conn.close()
        del self.journal.leave[attempt.id]
        attempt.ended_at = time.monotonic()
