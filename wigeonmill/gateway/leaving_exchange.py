"""Tells other entries of targets that have stated that they leave.

A target that leaves may state so to one entry before its record says so, and
the records may be out of reach.
"""

from collections.abc import Iterable

from wigeonmill.gateway.target_notices import TargetNotices
from wigeonmill.gateway.targets import Directory
from wigeonmill.protocol.gen.inner.ttypes import LeavingTarget

# Maximum number of targets without a record that one update may name.
MAX_UNKNOWN = 64


class LeavingExchange:
    """Converts what targets stated to messages and back.

    A lifetime that leaves never returns, so messages may come late or twice.
    """

    __slots__ = ('_directory', '_notices')

    def __init__(self, directory: Directory, notices: TargetNotices) -> None:
        self._directory = directory
        self._notices = notices

    def to_send(self) -> list[LeavingTarget]:
        """Return the targets that stated to this entry that they leave."""
        return [
            LeavingTarget(target_id, started_at_ms)
            for target_id, started_at_ms in self._notices.told_leaving()
        ]

    def apply(self, received: Iterable[LeavingTarget]) -> None:
        """Apply what a peer was told."""
        unknown = 0
        for item in received:
            target_id, started_at_ms = item.target, item.started_at_ms
            if not target_id or started_at_ms is None:
                continue
            target = self._directory.get(target_id)
            if target is None or target.started_at_ms < started_at_ms:
                unknown += 1
                if unknown <= MAX_UNKNOWN:
                    self._notices.keep_leaving(target_id, started_at_ms)
            elif target.started_at_ms == started_at_ms:
                self._notices.record_leaving(target)
