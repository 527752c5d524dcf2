"""A proxy that holds up the bytes for an engine, as a cut link does."""

import asyncio

from review.common.http11 import reset


class HoldingProxy:
    """Forwards connections; while it is cut, requests wait in it.

    Bytes that were held up are delivered `late_s` after the end of the cut,
    as the retransmission of a packet is late, also if the sender has closed
    the connection. They are dropped if the sender has reset it.
    """

    def __init__(self, upstream, late_s):
        self._upstream = upstream
        self._late_s = late_s
        self._server = None
        self._open = asyncio.Event()
        self._open.set()
        self._tasks = set()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def close(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        host, port = self._upstream.rsplit(':', 1)
        up_writer = None
        try:
            if not self._open.is_set():
                # The packets that open a connection don't pass either, so
                # nothing that was sent on it may arrive.
                await self._open.wait()
                reset(writer)
                return
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
            down = asyncio.ensure_future(self._pass_down(up_reader, writer))
            try:
                await self._pass_up(reader, up_writer)
            finally:
                down.cancel()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            if up_writer is not None:
                up_writer.close()
            writer.close()

    async def _pass_up(self, reader, up_writer):
        """Forward what the gateway sends, up to the end of the connection."""
        while True:
            data = await reader.read(65536)
            if not self._open.is_set():
                await self._open.wait()
                await asyncio.sleep(self._late_s)
                if isinstance(reader.exception(), ConnectionResetError):
                    reset(up_writer)
                    return
            if not data:
                # The engine sees the end after all bytes before it.
                up_writer.write_eof()
                await asyncio.sleep(0.5)
                return
            up_writer.write(data)
            await up_writer.drain()

    async def _pass_down(self, up_reader, writer):
        while True:
            data = await up_reader.read(65536)
            await self._open.wait()
            if not data:
                writer.close()
                return
            try:
                writer.write(data)
                await writer.drain()
            except ConnectionError:
                return
