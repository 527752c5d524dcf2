"""Tells how much of a caller's input has arrived and was not read."""

import array
import fcntl
import termios

from tornado.iostream import IOStream


def unread_bytes(stream: IOStream) -> int:
    """Return the bytes that wait in a stream and in its kernel queue."""
    if stream.closed():
        return 0
    queued = array.array('i', [0])
    try:
        fcntl.ioctl(stream.fileno(), termios.FIONREAD, queued)
    except OSError:
        # The connection is broken.
        return 0
    # Tornado has no public name for its buffer.
    return queued[0] + stream._read_buffer_size
