"""A TCP proxy that injects faults, with an HTTP control port."""

import asyncio
from collections.abc import Callable
import enum
import socket
import struct

import msgspec
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from wigeonmill.clock import Clock
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

CHUNK_BYTES = 65_536
STALL_POLL_INTERVAL_MS = 10.0
# The most chunks that are buffered for one direction of a connection.
MAX_QUEUED_CHUNKS = 64


class Direction(enum.Enum):
    """The direction of traffic: UP for requests, DOWN for replies."""

    UP = 'up'
    DOWN = 'down'


class ProxyFaults(msgspec.Struct):
    """Faults of a proxy; zero values mean none.

    `delay_ms` delays each chunk in both directions, `connect_delay_ms` new
    connections before they are forwarded. `drop` discards the
    traffic in both directions; a direction of a connection that has lost a
    chunk forwards nothing more. `stall` blocks one direction until it is
    cleared, `hold` blocks both. Each of the next `cuts` connections is closed
    once it has forwarded `cut_after_bytes` of replies. `duplicate` sends the
    requests of new connections a second time on another connection. `refuse`
    resets new connections; `reset` resets the open ones once.
    """

    delay_ms: float = 0.0
    connect_delay_ms: float = 0.0
    drop: bool = False
    stall: Direction | None = None
    hold: bool = False
    cut_after_bytes: int = 0
    cuts: int = 0
    duplicate: bool = False
    refuse: bool = False
    reset: bool = False

    def blocks(self, direction: Direction) -> bool:
        """Whether traffic in this direction waits."""
        return self.hold or self.stall is direction


class ProxyOptions(msgspec.Struct, forbid_unknown_fields=True):
    """The upstream address (IP:port) and the control port."""

    upstream: str
    control_port: int = 0
    faults: ProxyFaults = msgspec.field(default_factory=ProxyFaults)


class ProxyAudit(msgspec.Struct):
    """Counts of the connections and forwarded bytes so far."""

    connections: int = 0
    refused: int = 0
    reset: int = 0
    cut: int = 0
    duplicated: int = 0
    bytes_up: int = 0
    bytes_down: int = 0


class ProxyState:
    """The proxy's faults, audit and open connections."""

    def __init__(self, options: ProxyOptions) -> None:
        self.upstream = options.upstream
        self.faults = options.faults
        self.stats = ProxyAudit()
        self.clock = Clock()
        self.open_streams: set[IOStream] = set()
        # Called whenever a connection is cut after `cut_after_bytes`.
        self.on_cut: Callable[[], None] = lambda: None

    def audit(self) -> ProxyAudit:
        """Return the counts so far."""
        return self.stats

    def faults_changed(self) -> None:
        """Reset the open connections if `reset` was set."""
        if self.faults.reset:
            self.faults.reset = False
            self.stats.reset += self.reset_all()

    def reset_all(self) -> int:
        """Reset every open connection; return how many there were."""
        streams = list(self.open_streams)
        for stream in streams:
            reset_stream(stream)
        return len(streams)


class _Pipe:
    """Forwards one direction of a connection in order."""

    __slots__ = ('_state', '_direction', '_source', '_sinks', '_limit_bytes')

    def __init__(
        self,
        state: ProxyState,
        direction: Direction,
        source: IOStream,
        sinks: list[IOStream],
        limit_bytes: int = 0,
    ) -> None:
        self._state = state
        self._direction = direction
        self._source = source
        self._sinks = sinks
        self._limit_bytes = limit_bytes

    async def run(self) -> None:
        """Forward until either side closes or the limit is reached."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_CHUNKS
        )
        reader = asyncio.ensure_future(self._read(queue))
        try:
            await self._write(queue)
        except StreamClosedError:
            return
        finally:
            reader.cancel()

    async def _read(self, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        while True:
            try:
                data = await self._source.read_bytes(CHUNK_BYTES, partial=True)
            except StreamClosedError:
                data = b''
            due_ms = self._state.clock.now_ms() + self._state.faults.delay_ms
            await queue.put((due_ms, data))
            if not data:
                return

    async def _write(self, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        forwarded_bytes = 0
        dropping = False
        while True:
            due_ms, data = await queue.get()
            remaining_ms = due_ms - self._state.clock.now_ms()
            if remaining_ms > 0:
                await asyncio.sleep(remaining_ms / 1000.0)
            while self._state.faults.blocks(self._direction):
                await asyncio.sleep(STALL_POLL_INTERVAL_MS / 1000.0)
            if not data:
                return
            dropping = dropping or self._state.faults.drop
            if dropping:
                continue
            if self._limit_bytes:
                data = data[: self._limit_bytes - forwarded_bytes]
            forwarded_bytes += len(data)
            self._count_bytes(len(data))
            await self._sinks[0].write(data)
            for extra in self._sinks[1:]:
                if not extra.closed():
                    extra.write(data)
            if self._limit_bytes and forwarded_bytes >= self._limit_bytes:
                self._state.stats.cut += 1
                self._state.on_cut()
                return

    def _count_bytes(self, size: int) -> None:
        if self._direction is Direction.UP:
            self._state.stats.bytes_up += size
        else:
            self._state.stats.bytes_down += size


class _ProxyServer(TCPServer):
    def __init__(self, state: ProxyState) -> None:
        super().__init__()
        self._state = state

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        state = self._state
        state.stats.connections += 1
        if state.faults.refuse:
            state.stats.refused += 1
            reset_stream(stream)
            return
        if state.faults.connect_delay_ms:
            await asyncio.sleep(state.faults.connect_delay_ms / 1000.0)
        host, port = state.upstream.rsplit(':', 1)
        try:
            upstream = await TCPClient().connect(host, int(port))
        except (OSError, StreamClosedError):
            reset_stream(stream)
            return
        sinks = [upstream]
        if state.faults.duplicate:
            sinks.append(await TCPClient().connect(host, int(port)))
            state.stats.duplicated += 1
            asyncio.ensure_future(_discard(sinks[1]))
        await self._forward(stream, sinks)

    async def _forward(self, stream: IOStream, sinks: list[IOStream]) -> None:
        state = self._state
        limit_bytes = 0
        if state.faults.cuts > 0:
            state.faults.cuts -= 1
            limit_bytes = state.faults.cut_after_bytes
        state.open_streams.update((stream, sinks[0]))
        up = _Pipe(state, Direction.UP, stream, sinks)
        down = _Pipe(state, Direction.DOWN, sinks[0], [stream], limit_bytes)
        tasks = [asyncio.ensure_future(pipe.run()) for pipe in (up, down)]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for closing in (stream, *sinks):
            state.open_streams.discard(closing)
            closing.close()


async def _discard(stream: IOStream) -> None:
    try:
        while True:
            await stream.read_bytes(CHUNK_BYTES, partial=True)
    except StreamClosedError:
        return


def reset_stream(stream: IOStream) -> None:
    """Close a connection with a TCP reset."""
    if stream.closed():
        return
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


async def start_fault_proxy(
    options: ProxyOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[ProxyState]:
    """Start a proxy.

    The server's `address` takes the traffic, its `control_address` serves
    /faults and /audit.
    """
    state = ProxyState(options)
    sockets = bind_sockets(port, host)
    proxy = _ProxyServer(state)
    proxy.add_sockets(sockets)

    async def stop() -> None:
        proxy.stop()
        state.reset_all()

    server = await start_server(state, [], host, options.control_port, stop)
    bound = sockets[0].getsockname()
    server.control_address = server.address
    server.address = f'{bound[0]}:{bound[1]}'
    return server
