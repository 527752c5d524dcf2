"""A network link of a limited rate that several connections share."""

import asyncio

CHUNK_BYTES = 4_096


class SlowLink:
    """Passes the bytes of all its connections one after the other.

    Each direction has the whole rate for itself.
    """

    def __init__(self, mbps):
        self._bytes_per_s = mbps * 1_000_000 / 8
        self._free_at_s = {'up': 0.0, 'down': 0.0}
        self._servers = []
        self._tasks = set()
        self.passed_bytes = {'up': 0, 'down': 0}

    async def use(self, direction, size):
        """Wait until `size` more bytes have passed."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._free_at_s[direction])
        self._free_at_s[direction] = begin_s + size / self._bytes_per_s
        self.passed_bytes[direction] += size
        await asyncio.sleep(self._free_at_s[direction] - now_s)

    def occupy(self, share):
        """Use a share of the link in both directions for other traffic."""
        for direction in ('up', 'down'):
            self._start(self._occupy(direction, share))

    async def forward(self, upstream, *server_links):
        """Return an address that leads over the link to `upstream`.

        The bytes also pass the links of the server, the other way round.
        """

        async def serve(reader, writer):
            host, port = upstream.rsplit(':', 1)
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                writer.close()
                return
            self._start(
                self._pass_on(reader, far_writer, 'up', 'down', server_links)
            )
            await self._pass_on(far_reader, writer, 'down', 'up', server_links)

        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=CHUNK_BYTES
        )
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def close(self):
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    async def _occupy(self, direction, share):
        while True:
            await self.use(direction, CHUNK_BYTES)
            pause_s = CHUNK_BYTES / self._bytes_per_s * (1.0 / share - 1.0)
            await asyncio.sleep(pause_s)

    async def _pass_on(self, reader, writer, own, far, server_links):
        try:
            while data := await reader.read(CHUNK_BYTES):
                for link in server_links:
                    await link.use(far, len(data))
                await self.use(own, len(data))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
