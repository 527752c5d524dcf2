"""Shares the origins of streams between entries.

A stream's origin must outlive the entry that began it, because the caller
resumes the stream at any entry. Each origin is kept by several peers.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import logging
from typing import Protocol

from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.stream_origins import LocalStreamOrigins
from wigeonmill.gateway.stream_origins import MAX_ORIGINS
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.gen.inner import ttypes
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.routing.rendezvous import RendezvousRing
from wigeonmill.routing.rendezvous import WeightedTarget

logger = logging.getLogger(__name__)

# Number of peers that keep an origin, and the number that are asked for it.
# More are asked, because the entries may not know the same peers.
REPLICAS = 3
MAX_ASKED_PEERS = 8
FIND_TIMEOUT_MS = 150.0
# A slow key-value service responds within a quarter of a second.
CONFIRM_TIMEOUT_MS = 500.0
# Origins recorded within this time are sent together.
BATCH_MS = 2.0
# Limit of the origins that wait for a connection to a peer, and of those that
# are accepted in one message.
MAX_PENDING = 1_000
# Limit of the requests that are looked up for a peer in one message.
MAX_WANTED = 256
MAX_REQUEST_ID_LENGTH = 256


class PeerLinks(Protocol):
    """Connections to the other entries, by inner address (IP:port)."""

    def addresses(self) -> Iterable[str]:
        """Return the addresses of the other entries."""

    def is_connected(self, address: str) -> bool:
        """Whether messages can be sent without connecting first."""

    async def connect(self, address: str) -> bool:
        """Connect if necessary; return whether there is a connection."""

    def notify(self, address: str, envelope: Envelope) -> bool:
        """Send a message without an answer; return False if it can't be."""

    async def request(
        self, address: str, envelope: Envelope, timeout_ms: float
    ) -> Result[Envelope, PeerError]:
        """Return the answer of a peer; a missing one closes nothing."""


class RecordedOrigins(Protocol):
    """The origins in the records of the entries."""

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, if it is certain."""

    def describe(self, service: str) -> dict[str, object]:
        """Return what is known of the versions of a service, for the log."""


class NoRecords:
    """Stands for entries that write no records."""

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return None."""
        return None

    def describe(self, service: str) -> dict[str, object]:
        """Return nothing."""
        return {}


@dataclass(slots=True)
class _Inquiry:
    """What came of asking peers for one origin."""

    origin: StreamOrigin | None = None
    asked: int = 0
    answered: int = 0
    # Whether the versions that this entry knows may lack that of the stream.
    outdated: bool = False

    @property
    def has_majority(self) -> bool:
        """Whether most of the asked peers have answered."""
        return 2 * self.answered > self.asked


async def _always_current(_since_ms: float, _timeout_ms: float) -> bool:
    return True


class SharedStreamOrigins:
    """The origins of the streams of all entries.

    Origins are sent to the peers that rank first for the request. A peer that
    is not connected is used only if there are too few others. `records` has
    what the entries have written to the key-value service, and `only_version`
    returns the version that began every stream of a service, if it is known
    and there is just one. `confirm_copy` returns whether that takes account of
    all targets listed before a time (see `MirrorSync.confirm`).
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        name: str,
        links: PeerLinks,
        only_version: Callable[[str], str | None] = lambda service: None,
        records: RecordedOrigins = NoRecords(),
        confirm_copy: Callable[
            [float, float], Awaitable[bool]
        ] = _always_current,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._name = name
        self._links = links
        self._only_version = only_version
        self._records = records
        self._confirm_copy = confirm_copy
        self._local = LocalStreamOrigins()
        # Peers that have been sent the origin of a request. They also get
        # its replacement.
        self._replicas: dict[str, tuple[str, ...]] = {}
        # By address, the origins to send by request id.
        self._pending: dict[str, dict[str, StreamOrigin]] = {}
        self._connecting: set[str] = set()
        self._flush_scheduled = False
        self._ring = RendezvousRing(())
        self._ring_addresses: set[str] = set()

    def record(self, request_id: str, target: Target) -> None:
        """Record that a stream is sent to `target` to begin there."""
        if not self._is_usable(request_id):
            return
        origin = self._local.replace(request_id, origin_of(target))
        earlier = self._replicas.pop(request_id, ())
        chosen = self._ranked_peers(request_id)[:REPLICAS]
        replicas = tuple(dict.fromkeys((*earlier, *chosen)))
        self._replicas[request_id] = replicas
        while len(self._replicas) > MAX_ORIGINS:
            del self._replicas[next(iter(self._replicas))]
        for address in replicas:
            pending = self._pending.setdefault(address, {})
            pending.pop(request_id, None)
            pending[request_id] = origin
            if len(pending) > MAX_PENDING:
                del pending[next(iter(pending))]
                self._metrics.count('stream_origins_not_sent', 'queue_full')
        self._schedule_flush()

    async def find(self, request_id: str, service: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown.

        It takes `FIND_TIMEOUT_MS` at most, and `CONFIRM_TIMEOUT_MS` more if
        no entry knows it.
        """
        started_ms = self._clock.now_ms()
        started_boot_ms = self._clock.boot_ms()
        # Unlike that of a peer, it can't have been replaced by a later one.
        recorded = self._records.get(request_id)
        if recorded is not None:
            self._metrics.count('stream_origins_found', 'recorded')
            return recorded
        inquiry = _Inquiry(self._local.get(request_id))
        source = 'local'
        # A peer's origin may have been replaced by one that did not arrive.
        if not self._is_authority(request_id) and self._is_usable(request_id):
            known = inquiry.origin
            await self._ask_peers(request_id, inquiry)
            source = 'local' if inquiry.origin == known else 'peer'
        if inquiry.origin is None:
            version = await self._find_only_version(
                service, started_boot_ms, inquiry
            )
            if version is not None:
                inquiry.origin = StreamOrigin(service, version)
                source = 'only_version'
        if inquiry.origin is None:
            source = 'unknown'
            logger.info(
                'origin of a stream unknown',
                extra={
                    'id': request_id[:MAX_REQUEST_ID_LENGTH],
                    'service': service,
                    'asked': inquiry.asked,
                    'answered': inquiry.answered,
                    'outdated': inquiry.outdated,
                    'took_ms': round(self._clock.now_ms() - started_ms, 1),
                    **self._records.describe(service),
                },
            )
        self._metrics.count('stream_origins_found', source)
        return inquiry.origin

    async def _find_only_version(
        self, service: str, since_ms: float, inquiry: _Inquiry
    ) -> str | None:
        """Return the only version that can have begun a stream, if any.

        The stream began before `since_ms`, possibly at a target that joined
        while this entry was cut off or suspended. If the key-value service
        can't tell, most of the asked peers must have answered.
        """
        if self._only_version(service) is None:
            return None
        current = await self._confirm_copy(since_ms, CONFIRM_TIMEOUT_MS)
        if not current and not inquiry.has_majority:
            inquiry.outdated = True
            return None
        return self._only_version(service)

    def answer(self, envelope: Envelope) -> Envelope | None:
        """Keep the origins that a peer sends; return those that it wants."""
        message = envelope.stream_origins
        if message is None:
            return None
        for item in (message.begun or ())[:MAX_PENDING]:
            if self._is_usable(item.request or ''):
                self._local.add(item.request, _from_wire(item))
        if not message.wanted:
            return None
        known = [
            _to_wire(request_id, origin, self._is_authority(request_id))
            for request_id in message.wanted[:MAX_WANTED]
            if (origin := self._local.get(request_id)) is not None
        ]
        reply = ttypes.StreamOrigins(self._name, known, [])
        return Envelope(
            Kind.STREAM_ORIGINS_REPLY,
            envelope.stream,
            0,
            stream_origins=reply,
        )

    def _is_authority(self, request_id: str) -> bool:
        """Whether this entry itself sent the stream to its targets."""
        return request_id in self._replicas

    def _is_usable(self, request_id: str) -> bool:
        return 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH

    def _ranked_peers(self, request_id: str) -> list[str]:
        """Return the peers that may keep an origin, the first choice first."""
        addresses = set(self._links.addresses())
        if addresses != self._ring_addresses:
            self._ring_addresses = addresses
            self._ring = RendezvousRing(
                [WeightedTarget(address, '') for address in addresses]
            )
        best = self._ring.rank(request_id.encode(), MAX_ASKED_PEERS)
        ranked = [peer.name for peer in best]
        # The sort is stable and keeps the ranks of the connected peers.
        ranked.sort(key=lambda address: not self._links.is_connected(address))
        return ranked

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_MS / 1000.0, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for address in list(self._pending):
            if self._links.is_connected(address):
                self._send(address)
            elif address not in self._connecting:
                self._connecting.add(address)
                asyncio.ensure_future(self._connect_and_send(address))

    async def _connect_and_send(self, address: str) -> None:
        try:
            await self._links.connect(address)
            self._send(address)
        finally:
            self._connecting.discard(address)

    def _send(self, address: str) -> None:
        """Send what is pending for a peer; drop what it can't get."""
        pending = self._pending.pop(address, None)
        if not pending:
            return
        begun = [
            _to_wire(request_id, origin, authority=True)
            for request_id, origin in pending.items()
        ]
        message = ttypes.StreamOrigins(self._name, begun, [])
        envelope = Envelope(Kind.STREAM_ORIGINS, 0, 0, stream_origins=message)
        if not self._links.notify(address, envelope):
            for _origin in begun:
                self._metrics.count('stream_origins_not_sent', 'unreachable')

    async def _ask_peers(self, request_id: str, inquiry: _Inquiry) -> None:
        """Ask several peers at once for the latest origin.

        It ends early once the entry that sent the stream to its targets has
        answered, or as many entries as normally keep an origin.
        """
        tasks = [
            asyncio.ensure_future(self._ask_peer(address, request_id, inquiry))
            for address in self._ranked_peers(request_id)
        ]
        inquiry.asked = len(tasks)
        holders = int(inquiry.origin is not None)
        try:
            for done in asyncio.as_completed(
                tasks, timeout=FIND_TIMEOUT_MS / 1000.0
            ):
                item = await done
                if item is None:
                    continue
                self._local.add(request_id, _from_wire(item))
                inquiry.origin = self._local.get(request_id)
                holders += 1
                if item.authority or holders >= REPLICAS:
                    return
        except asyncio.TimeoutError:
            return
        finally:
            for task in tasks:
                task.cancel()

    async def _ask_peer(
        self, address: str, request_id: str, inquiry: _Inquiry
    ) -> ttypes.StreamOrigin | None:
        message = ttypes.StreamOrigins(self._name, [], [request_id])
        envelope = Envelope(Kind.STREAM_ORIGINS, 0, 0, stream_origins=message)
        reply = await self._links.request(address, envelope, FIND_TIMEOUT_MS)
        if isinstance(reply, Err) or reply.ok_value.stream_origins is None:
            return None
        inquiry.answered += 1
        for item in reply.ok_value.stream_origins.begun or ():
            if item.request == request_id:
                return item
        return None


def _to_wire(
    request_id: str, origin: StreamOrigin, authority: bool
) -> ttypes.StreamOrigin:
    return ttypes.StreamOrigin(
        request_id,
        origin.service,
        origin.software_version,
        origin.target_id,
        origin.target_started_at_ms,
        origin.number,
        authority,
    )


def _from_wire(item: ttypes.StreamOrigin) -> StreamOrigin:
    return StreamOrigin(
        item.service_name or '',
        item.software_version or '',
        item.target or '',
        item.started_at_ms or 0,
        item.number or 1,
    )
