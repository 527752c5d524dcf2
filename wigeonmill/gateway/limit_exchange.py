"""Tells other entries of the limits that targets have named to this one."""

from collections.abc import Iterable
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.target_limit import LimitStatement
from wigeonmill.gateway.target_limit import MAX_TRANSIT_MS
from wigeonmill.gateway.target_notices import TargetNotices
from wigeonmill.gateway.targets import Directory
from wigeonmill.protocol.gen.inner.ttypes import LimitNotice

# Ages are sent as whole milliseconds; unknown ones are sent as this.
MAX_AGE_MS = 86_400_000


class LimitExchange:
    """Converts the statements of targets to messages and back.

    The clocks of the entries differ, so messages have ages instead of times.
    """

    __slots__ = ('_clock', '_directory', '_notices', '_named_ms')

    def __init__(
        self, clock: Clock, directory: Directory, notices: TargetNotices
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._notices = notices
        # When the targets that have a limit first named it, by lifetime.
        self._named_ms: dict[tuple[str, int], float] = {}

    def to_send(self) -> list[LimitNotice]:
        """Return what this entry was told itself."""
        found = []
        for target in self._directory.all():
            statement = target.limit.to_report()
            if statement is not None:
                notice = LimitNotice(
                    target.id,
                    target.started_at_ms,
                    statement.per_s if statement.per_s < inf else None,
                    self._age_ms(statement.sent_ms),
                    self._age_ms(statement.read_ms),
                )
                found.append(notice)
        return found

    def has_named_within(self, ms: float) -> bool:
        """Whether a target first named a limit to this entry so recently."""
        now_ms = self._clock.now_ms()
        self._named_ms = {
            lifetime: self._named_ms.get(lifetime, now_ms)
            for lifetime in (
                (target.id, target.started_at_ms)
                for target in self._directory.all()
                if target.limit.to_report() is not None
            )
        }
        return any(now_ms - at < ms for at in self._named_ms.values())

    def apply(self, received: Iterable[LimitNotice]) -> None:
        """Apply what a peer was told; malformed notices are ignored."""
        now_ms = self._clock.now_ms()
        for notice in received:
            target = self._directory.get(notice.target or '')
            per_s = inf if notice.per_s is None else notice.per_s
            if (
                target is None
                or target.started_at_ms != notice.started_at_ms
                or not per_s >= 0
            ):
                continue
            # The message may have been under way for the transit time, so the
            # request may have been sent that much earlier.
            sent_ms = now_ms - max(0, notice.sent_ms_ago or 0) - MAX_TRANSIT_MS
            read_ms = now_ms - max(0, notice.read_ms_ago or 0)
            statement = LimitStatement(per_s, sent_ms, read_ms, True)
            self._notices.record_limit(target, statement, 'peer')

    def _age_ms(self, at_ms: float) -> int:
        return int(min(MAX_AGE_MS, self._clock.now_ms() - at_ms))
