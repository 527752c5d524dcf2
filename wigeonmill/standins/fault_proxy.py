"""A TCP proxy that injects faults, with an HTTP control port."""

import asyncio
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
STALL_POLL_MS = 10.0
# Pieces that one direction of a connection holds back at most.
QUEUE_PIECES = 64


class Direction(enum.Enum):
    """A direction of traffic; requests go up, replies come down."""

    UP = 'up'
    DOWN = 'down'


class ProxyFaults(msgspec.Struct):
    """Faults of a proxy; zero values mean none.

    `delay_ms` holds each piece back, in each direction. `drop` discards
    traffic in both directions; a connection that lost a piece carries
    nothing more. `stall` holds one direction until it is
    cleared. `cut_after_bytes` closes a connection once that many bytes
    came down it, for the next `cuts` connections. `duplicate` sends
    the upward traffic of new connections a second time on another one.
    `refuse` resets new connections; `reset` resets the open ones once.
    """

    delay_ms: float = 0.0
    drop: bool = False
    stall: Direction | None = None
    cut_after_bytes: int = 0
    cuts: int = 0
    duplicate: bool = False
    refuse: bool = False
    reset: bool = False


class ProxyOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Where the traffic goes (IP:port) and the control port."""

    upstream: str
    control_port: int = 0
    faults: ProxyFaults = msgspec.field(default_factory=ProxyFaults)


class ProxyAudit(msgspec.Struct):
    """Connections and bytes so far."""

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
        self.open: set[IOStream] = set()

    def audit(self) -> ProxyAudit:
        """Return the traffic so far."""
        return self.stats

    def faults_changed(self) -> None:
        """Reset the open connections if that was asked for."""
        if self.faults.reset:
            self.faults.reset = False
            self.stats.reset += self.reset_all()

    def reset_all(self) -> int:
        """Reset every open connection; returns how many there were."""
        streams = list(self.open)
        for stream in streams:
            reset_stream(stream)
        return len(streams)


class _Pipe:
    """Carries one direction of a connection in order."""

    __slots__ = ('_state', '_direction', '_source', '_sinks', '_limit')

    def __init__(
        self,
        state: ProxyState,
        direction: Direction,
        source: IOStream,
        sinks: list[IOStream],
        limit: int = 0,
    ) -> None:
        self._state = state
        self._direction = direction
        self._source = source
        self._sinks = sinks
        self._limit = limit

    async def run(self) -> None:
        """Carry until either side closes or the limit is reached."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_PIECES)
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
        passed = 0
        dropping = False
        while True:
            due_ms, data = await queue.get()
            left_ms = due_ms - self._state.clock.now_ms()
            if left_ms > 0:
                await asyncio.sleep(left_ms / 1000.0)
            while self._state.faults.stall is self._direction:
                await asyncio.sleep(STALL_POLL_MS / 1000.0)
            if not data:
                return
            dropping = dropping or self._state.faults.drop
            if dropping:
                continue
            if self._limit:
                data = data[: self._limit - passed]
            passed += len(data)
            self._count(len(data))
            await self._sinks[0].write(data)
            for extra in self._sinks[1:]:
                if not extra.closed():
                    extra.write(data)
            if self._limit and passed >= self._limit:
                self._state.stats.cut += 1
                return

    def _count(self, size: int) -> None:
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
        await self._carry(stream, sinks)

    async def _carry(self, stream: IOStream, sinks: list[IOStream]) -> None:
        state = self._state
        limit = 0
        if state.faults.cuts > 0:
            state.faults.cuts -= 1
            limit = state.faults.cut_after_bytes
        state.open.update((stream, sinks[0]))
        up = _Pipe(state, Direction.UP, stream, sinks)
        down = _Pipe(state, Direction.DOWN, sinks[0], [stream], limit)
        tasks = [asyncio.ensure_future(pipe.run()) for pipe in (up, down)]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for closing in (stream, *sinks):
            state.open.discard(closing)
            closing.close()


async def _discard(stream: IOStream) -> None:
    try:
        while True:
            await stream.read_bytes(CHUNK_BYTES, partial=True)
    except StreamClosedError:
        return


def reset_stream(stream: IOStream) -> None:
    """Close a connection so that the other side sees a reset."""
    if stream.closed():
        return
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


async def start_fault_proxy(
    options: ProxyOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[ProxyState]:
    """Start a proxy; `address` carries traffic, `control_address` faults."""
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
