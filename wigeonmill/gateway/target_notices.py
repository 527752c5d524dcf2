"""What targets state about themselves in their answers."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import logging
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.target_limit import LimitStatement
from wigeonmill.gateway.targets import GONE_RETENTION_MS
from wigeonmill.gateway.targets import Target
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# A target may ask for any time. Beyond a day it is taken for a mistake, which
# would keep the target out of service for good.
DEFAULT_MAX_CLOSED_MS = 86_400_000.0
# Time over which the entries open a closed target again, as a share of the
# time that it asked for. Otherwise all of them would send to it at once.
OPENING_SPREAD = 0.25
MAX_OPENING_SPREAD_MS = 1_000.0
MAX_LOGGED_CHARS = 40
# Maximum number of targets without a record whose notices are kept, and how
# long it is kept that one leaves or names a limit.
MAX_KEPT = 256
KEPT_LEAVING_MS = GONE_RETENTION_MS
KEPT_LIMIT_MS = 60_000.0
# Peers are told for this time that a target leaves.
REPORT_LEAVING_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class Notice:
    """What an answer states about the target that sent it.

    `target_id` is the id of that target, or None if the answer does not name
    it. `leaving` is set if it accepts no new requests until its end, and
    `closed_ms` if it accepts none for that time. `limit_per_s` is the rate of
    requests that it accepts from all entries together: infinite if the answer
    names no limit, and None if that says nothing about the target.
    `malformed` is a statement that could not be parsed.
    """

    target_id: str | None = None
    leaving: bool = False
    closed_ms: float | None = None
    malformed: str | None = None
    limit_per_s: float | None = None


# Called with a target, the notice in its answer and the kind of the call.
NoticeSink = Callable[[Target, Notice, str], None]


@dataclass(slots=True)
class _KeptNotice:
    """What a target without a record has stated, and when (wall times).

    `leaving_until_ms` is the time until which it is kept that it leaves.
    """

    source: str
    request_id: str
    leaving_until_ms: float = 0.0
    left_at_wall_ms: int = 0
    closed_until_ms: float = 0.0
    closed_at_wall_ms: int = 0
    limit: LimitStatement | None = None
    limited_at_wall_ms: int = 0

    def expired(self, now_ms: float) -> bool:
        until_ms = max(self.leaving_until_ms, self.closed_until_ms)
        if self.limit is not None:
            until_ms = max(until_ms, self.limit.read_ms + KEPT_LIMIT_MS)
        return until_ms <= now_ms


class TargetNotices:
    """Applies the notices in answers to the state of their targets.

    A notice of a target that has no record yet is kept until the record
    comes; `apply_kept` then has to be called.
    """

    __slots__ = (
        '_clock',
        '_metrics',
        '_entry_position',
        '_max_closed_ms',
        '_find_target',
        '_kept',
        '_told_leaving',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        entry_position: Callable[[], float],
        max_closed_ms: float = DEFAULT_MAX_CLOSED_MS,
        find_target: Callable[[str], Target | None] = lambda _id: None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._entry_position = entry_position
        self._max_closed_ms = max_closed_ms
        self._find_target = find_target
        # By target id, the one with the oldest last notice first.
        self._kept: dict[str, _KeptNotice] = {}
        # When lifetimes, by id and start, stated to this entry that they
        # leave; the one that did so longest ago comes first.
        self._told_leaving: dict[tuple[str, int], float] = {}

    def told_leaving(self) -> list[tuple[str, int]]:
        """Return the lifetimes that lately stated that they leave."""
        self._expire_told()
        return list(self._told_leaving)

    def _expire_told(self) -> None:
        oldest_ms = self._clock.now_ms() - REPORT_LEAVING_MS
        while self._told_leaving:
            lifetime = next(iter(self._told_leaving))
            if self._told_leaving[lifetime] >= oldest_ms:
                return
            del self._told_leaving[lifetime]

    def record_leaving(self, target: Target) -> None:
        """Apply that a target stated to a peer that it leaves."""
        self._set_leaving(target, 'peer', '')

    def keep_leaving(self, target_id: str, started_at_ms: int) -> None:
        """Keep that a lifetime without a record leaves, as a peer says."""
        now_ms = self._clock.now_ms()
        kept = self._kept.get(target_id)
        if kept is None:
            self._make_room(now_ms)
            kept = self._kept[target_id] = _KeptNotice('peer', '')
        # Peers repeat it, which must not push out what others have stated.
        kept.leaving_until_ms = now_ms + KEPT_LEAVING_MS
        kept.left_at_wall_ms = max(kept.left_at_wall_ms, started_at_ms)

    def record(
        self,
        target: Target,
        notice: Notice,
        source: str,
        request_id: str = '',
        sent_ms: float = -inf,
    ) -> None:
        """Apply a notice in an answer to a call of `target`.

        `source` names the kind of call, and `sent_ms` when it was sent, if
        that is known. If another target has answered at the address, the
        notice is that target's; without an id it is that of the target that
        was called.
        """
        limit = None
        if notice.limit_per_s is not None:
            limit = LimitStatement(
                notice.limit_per_s, sent_ms, self._clock.now_ms()
            )
        if notice.target_id not in (None, target.id):
            named = self._find_target(notice.target_id)
            if named is None:
                self._keep(
                    notice.target_id, target, notice, limit, source, request_id
                )
                return
            target = named
        if notice.leaving:
            lifetime = (target.id, target.started_at_ms)
            self._told_leaving.pop(lifetime, None)
            self._told_leaving[lifetime] = self._clock.now_ms()
            self._expire_told()
            self._set_leaving(target, source, request_id)
        if notice.malformed is not None:
            self._metrics.count('target_notices', 'malformed')
            details = {'value': notice.malformed[:MAX_LOGGED_CHARS]}
            _log('malformed notice', target, source, request_id, details)
        if notice.closed_ms:
            self._close(target, notice.closed_ms, source, request_id)
        if limit is not None:
            self.record_limit(target, limit, source, request_id)

    def record_limit(
        self,
        target: Target,
        statement: LimitStatement,
        source: str,
        request_id: str = '',
    ) -> None:
        """Apply what was stated about the limit of a target."""
        affected = [target]
        # A later record may have replaced the target since the request. The
        # answer does not say which of the two lifetimes named the limit.
        present = self._find_target(target.id)
        if (
            present is not None
            and present is not target
            and statement.per_s < inf
            and not statement.from_peer
        ):
            affected.append(present)
        for each in affected:
            before_per_s = each.limit.per_s
            if each.limit.apply(statement):
                self._handle_new_limit(
                    each, before_per_s, statement, source, request_id
                )
        if statement.per_s < inf:
            target.limited_at_wall_ms = self._clock.wall_ms()

    def record_sent(self, target: Target, request_id: str) -> None:
        """Count a request that is being sent to a target.

        One to a target that wants none is reported; there must be none.
        """
        if target.leaving:
            reason = 'leaving'
        elif target.is_closed(self._clock.now_ms()):
            reason = 'closed'
        elif target.limit_wait_ms() > 0:
            reason = 'limited'
        else:
            reason = ''
        target.record_sent()
        if not reason:
            return
        self._metrics.count('requests_unwanted', reason)
        extra = {
            'request_id': request_id,
            'target': target.id,
            'why': reason,
        }
        logger.warning('request unwanted', extra=extra)

    def apply_kept(self, target: Target) -> None:
        """Apply the kept notices of a target whose record has just come.

        They are those of a lifetime that had started by then. A later one
        has stated nothing yet.
        """
        kept = self._kept.get(target.id)
        if kept is None:
            return
        now_ms = self._clock.now_ms()
        born_ms = target.started_at_ms
        if now_ms < kept.leaving_until_ms and born_ms <= kept.left_at_wall_ms:
            self._set_leaving(target, kept.source, kept.request_id)
        if now_ms < kept.closed_until_ms and born_ms <= kept.closed_at_wall_ms:
            target.close(kept.closed_until_ms, kept.closed_at_wall_ms)
            self._metrics.count('target_notices', 'closed')
            details = {'closed_ms': round(kept.closed_until_ms - now_ms)}
            _log(
                'target closed', target, kept.source, kept.request_id, details
            )
        if kept.limit is not None and born_ms <= kept.limited_at_wall_ms:
            self.record_limit(target, kept.limit, kept.source, kept.request_id)

    def _keep(
        self,
        named: str,
        asked: Target,
        notice: Notice,
        limit: LimitStatement | None,
        source: str,
        request_id: str,
    ) -> None:
        """Keep a notice of a target that is not in the directory."""
        names_limit = limit is not None and limit.per_s < inf
        if not (notice.leaving or notice.closed_ms or names_limit):
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        kept = self._kept.pop(named, None) or _KeptNotice(source, request_id)
        if notice.leaving:
            kept.leaving_until_ms = now_ms + KEPT_LEAVING_MS
            kept.left_at_wall_ms = wall_ms
        closed_ms = self._closed_ms(notice.closed_ms or 0.0)
        if closed_ms > 0:
            until_ms = now_ms + closed_ms
            kept.closed_until_ms = max(kept.closed_until_ms, until_ms)
            kept.closed_at_wall_ms = wall_ms
        if names_limit:
            kept.limit = limit
            kept.limited_at_wall_ms = wall_ms
        self._make_room(now_ms)
        self._kept[named] = kept
        self._metrics.count('target_notices', 'kept')
        details = {
            'named': named,
            'leaving': notice.leaving,
            'stated_ms': loggable_ms(notice.closed_ms or 0.0),
            'closed_ms': round(closed_ms),
            'limit_per_s': limit.per_s if limit and names_limit else None,
        }
        _log('notice kept', asked, source, request_id, details)

    def _make_room(self, now_ms: float) -> None:
        """Drop expired notices and, if need be, the oldest one."""
        if len(self._kept) < MAX_KEPT:
            return
        self._kept = {
            id_: kept
            for id_, kept in self._kept.items()
            if not kept.expired(now_ms)
        }
        if len(self._kept) >= MAX_KEPT:
            dropped = next(iter(self._kept))
            del self._kept[dropped]
            self._metrics.count('target_notices', 'dropped')
            logger.warning('kept notice dropped', extra={'target': dropped})

    def _set_leaving(
        self, target: Target, source: str, request_id: str
    ) -> None:
        if target.draining:
            return
        target.draining = True
        self._metrics.count('target_notices', 'leaving')
        _log('target leaving', target, source, request_id, {})

    def _handle_new_limit(
        self,
        target: Target,
        before_per_s: float,
        statement: LimitStatement,
        source: str,
        request_id: str,
    ) -> None:
        if before_per_s == inf:
            target.limit_allowance.reset()
        outcome = 'limited' if statement.per_s < inf else 'unlimited'
        self._metrics.count('target_notices', outcome)
        details = {
            'per_s': _loggable_rate(statement.per_s),
            'before_per_s': _loggable_rate(before_per_s),
            'sent_ms_ago': loggable_ms(
                self._clock.now_ms() - statement.sent_ms
            ),
        }
        _log(f'target {outcome}', target, source, request_id, details)

    def _closed_ms(self, stated_ms: float) -> float:
        """Return for how long to close a target that stated a time.

        The entries open it one after the other.
        """
        closed_ms = min(stated_ms, self._max_closed_ms)
        if closed_ms < stated_ms:
            self._metrics.count('target_notices', 'capped')
        spread_ms = min(OPENING_SPREAD * closed_ms, MAX_OPENING_SPREAD_MS)
        return closed_ms + spread_ms * self._entry_position()

    def _close(
        self, target: Target, stated_ms: float, source: str, request_id: str
    ) -> None:
        """Close a target for the time that it stated."""
        closed_ms = self._closed_ms(stated_ms)
        until_ms = self._clock.now_ms() + closed_ms
        wall_ms = self._clock.wall_ms()
        target.close(until_ms, wall_ms)
        # A later record may have replaced the target since the request. The
        # answer does not say which of the two lifetimes asked for the time.
        present = self._find_target(target.id)
        if present is not None and present is not target:
            present.close(until_ms, wall_ms)
        self._metrics.count('target_notices', 'closed')
        details = {
            'stated_ms': loggable_ms(stated_ms),
            'closed_ms': round(closed_ms),
        }
        _log('target closed', target, source, request_id, details)


def _loggable_rate(per_s: float) -> float | None:
    return per_s if per_s < inf else None


def _log(
    message: str,
    target: Target,
    source: str,
    request_id: str,
    details: Mapping[str, object],
) -> None:
    extra = {
        'request_id': request_id,
        'target': target.id,
        'born_ms': target.started_at_ms,
        'source': source,
    }
    logger.info(message, extra=extra | dict(details))
