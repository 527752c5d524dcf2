"""Limits the transfers on a store link to its bytes per second."""

from collections import deque
from dataclasses import dataclass

WINDOW_MS = 1000.0


@dataclass(slots=True, eq=False)
class Transfer:
    """A granted transfer of at most `size_bytes` bytes."""

    size_bytes: int
    open: bool = True


class LinkBudget:
    """Grants transfers so that no second exceeds the limit in bytes.

    A transfer counts from its grant until one second after its end. The
    limit therefore holds in every window of a second, whenever the bytes
    are sent. Long transfers should be split, into one or two blocks each.
    The share `reserve_share` of the limit is reserved for urgent transfers,
    such as imports that a caller waits for.
    """

    __slots__ = ('_limit', '_reserve_share', '_used', '_ended', 'refused')

    def __init__(
        self, bytes_per_second: int, reserve_share: float = 0.5
    ) -> None:
        """Raises ValueError if the limit is negative."""
        if bytes_per_second < 0:
            raise ValueError(
                f'negative limit: {bytes_per_second} bytes per second'
            )
        self._limit = bytes_per_second
        self._reserve_share = reserve_share
        self._used = 0
        self._ended: deque[tuple[float, int]] = deque()
        self.refused = 0

    @property
    def limit(self) -> int:
        """The maximum number of bytes in any second."""
        return self._limit

    def set_limit(self, bytes_per_second: int) -> None:
        """Change the limit; granted transfers stay granted."""
        self._limit = bytes_per_second

    def available(self, now_ms: float, urgent: bool) -> int:
        """Return the bytes that may be granted now."""
        self._expire(now_ms)
        reserve = 0 if urgent else int(self._limit * self._reserve_share)
        return max(0, self._limit - reserve - self._used)

    def grant(
        self, size_bytes: int, now_ms: float, urgent: bool
    ) -> Transfer | None:
        """Grant a transfer of `size_bytes`; None if it is over the budget."""
        if size_bytes > self.available(now_ms, urgent):
            self.refused += 1
            return None
        self._used += size_bytes
        return Transfer(size_bytes)

    def end(self, transfer: Transfer, now_ms: float, moved_bytes: int) -> None:
        """Record the end of a transfer that moved at most `moved_bytes`.

        Raises ValueError if it already ended or moved more than granted.
        """
        if not transfer.open or moved_bytes > transfer.size_bytes:
            raise ValueError(
                f'invalid end with {moved_bytes} bytes moved: {transfer}'
            )
        transfer.open = False
        self._used -= transfer.size_bytes - moved_bytes
        if moved_bytes:
            self._ended.append((now_ms, moved_bytes))

    def _expire(self, now_ms: float) -> None:
        while self._ended and self._ended[0][0] + WINDOW_MS <= now_ms:
            self._used -= self._ended.popleft()[1]
