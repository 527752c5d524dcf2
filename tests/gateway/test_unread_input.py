"""Input that has arrived is counted before it is read."""

import asyncio
import socket

from tornado.iostream import IOStream

from wigeonmill.gateway.unread_input import unread_bytes


def test_the_kernel_queue_and_the_read_buffer_count():
    async def run():
        ours, theirs = socket.socketpair()
        stream = IOStream(ours)
        theirs.sendall(b'x' * 1_000)
        assert unread_bytes(stream) == 1_000
        await stream.read_bytes(400)
        assert unread_bytes(stream) == 600
        stream.close()
        theirs.close()
        assert unread_bytes(stream) == 0

    asyncio.run(run())
