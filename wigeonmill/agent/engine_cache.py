"""The agent's client for its engine's prefix cache."""

import enum
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpReply

T = TypeVar('T')
MAX_CALLS = 16
LIST_TIMEOUT_MS = 2_000.0
BLOCK_TIMEOUT_MS = 5_000.0
# A poll may take this much longer than the wait that it requests.
POLL_SLACK_MS = 2_000.0


class EngineCacheError(enum.Enum):
    """Why a call to the engine's cache failed."""

    UNREACHABLE = 'unreachable'
    NOT_FOUND = 'not_found'
    REFUSED = 'refused'
    MALFORMED = 'malformed'


class EngineEventKind(enum.Enum):
    """What happened to a block in the engine's cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


class EngineEvent(msgspec.Struct, frozen=True):
    """A cache event with its sequence number; `block_key` is hexadecimal."""

    sequence: int
    kind: EngineEventKind
    block_key: str


class EngineEvents(msgspec.Struct, frozen=True):
    """Events of one incarnation; the next poll starts at `next`."""

    incarnation: str
    events: list[EngineEvent]
    next: int


class EngineListing(msgspec.Struct, frozen=True):
    """All cached blocks; later events are numbered from `sequence` on."""

    incarnation: str
    sequence: int
    block_keys: list[str]


class EngineCacheClient:
    """Reads events and transfers blocks of one engine at an IP:port."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._base = f'http://{address}/cache'
        self._http = HttpClient(clock, MAX_CALLS)

    async def listing(self) -> Result[EngineListing, EngineCacheError]:
        """Return all blocks that the engine caches."""
        sent = await self._get('/blocks', LIST_TIMEOUT_MS)
        if isinstance(sent, Err):
            return sent
        return _decode(sent.ok_value, EngineListing)

    async def events(
        self, since: int, wait_ms: int
    ) -> Result[EngineEvents, EngineCacheError]:
        """Return the events from number `since` on.

        If there are none, the engine waits up to `wait_ms` for the first.
        """
        path = f'/events?since={since}&wait_ms={wait_ms}'
        sent = await self._get(path, wait_ms + POLL_SLACK_MS)
        if isinstance(sent, Err):
            return sent
        return _decode(sent.ok_value, EngineEvents)

    async def export_block(
        self, key: bytes
    ) -> Result[bytes, EngineCacheError]:
        """Return the content of a block."""
        sent = await self._get(f'/blocks/{key.hex()}', BLOCK_TIMEOUT_MS)
        return sent.map(lambda reply: reply.body)

    async def import_block(
        self, key: bytes, content: bytes
    ) -> Result[None, EngineCacheError]:
        """Write a block's content to the engine's cache."""
        url = f'{self._base}/blocks/{key.hex()}'
        call = HttpCall('PUT', url, BLOCK_TIMEOUT_MS, content)
        sent = await self._http.send(call)
        if isinstance(sent, Err):
            return Err(EngineCacheError.UNREACHABLE)
        if sent.ok_value.status >= 300:
            return Err(EngineCacheError.REFUSED)
        return Ok(None)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _get(
        self, path: str, timeout_ms: float
    ) -> Result[HttpReply, EngineCacheError]:
        call = HttpCall('GET', self._base + path, timeout_ms, repeatable=True)
        sent = await self._http.send(call)
        if isinstance(sent, Err):
            return Err(EngineCacheError.UNREACHABLE)
        status = sent.ok_value.status
        if status == 404:
            return Err(EngineCacheError.NOT_FOUND)
        if status != 200:
            return Err(EngineCacheError.REFUSED)
        return Ok(sent.ok_value)


def _decode(reply: HttpReply, kind: type[T]) -> Result[T, EngineCacheError]:
    try:
        return Ok(msgspec.json.decode(reply.body, type=kind))
    except msgspec.MsgspecError:
        return Err(EngineCacheError.MALFORMED)
