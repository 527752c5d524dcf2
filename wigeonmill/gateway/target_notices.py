"""What targets state about themselves in their answers."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import logging

from wigeonmill.clock import Clock
from wigeonmill.gateway.targets import Target
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

DEFAULT_MAX_CLOSED_MS = 300_000.0
# Time over which the entries open a closed target again, as a share of the
# time that it asked for. Otherwise all of them would send to it at once.
OPENING_SPREAD = 0.25
MAX_OPENING_SPREAD_MS = 1_000.0
MAX_LOGGED_CHARS = 40


@dataclass(frozen=True, slots=True)
class Notice:
    """What an answer states about the target that sent it.

    `target_id` is the id of that target, or None if the answer does not name
    it. `leaving` is set if it accepts no new requests until its end, and
    `closed_ms` if it accepts none for that time. `malformed` is a statement
    that could not be parsed.
    """

    target_id: str | None = None
    leaving: bool = False
    closed_ms: float | None = None
    malformed: str | None = None


# Called with a target, the notice in its answer and the kind of the call.
NoticeSink = Callable[[Target, Notice, str], None]


class TargetNotices:
    """Applies the notices in answers to the state of their targets."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_entry_position',
        '_max_closed_ms',
        '_find_target',
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

    def record(
        self, target: Target, notice: Notice, source: str, request_id: str = ''
    ) -> None:
        """Apply a notice in an answer to a call of `target`.

        `source` names the kind of call. If another target has answered at
        the address, the notice is that target's; without an id it is that of
        the target that was called.
        """
        if notice.target_id not in (None, target.id):
            named = self._find_target(notice.target_id)
            if named is None:
                self._ignore(target, notice, source, request_id)
                return
            target = named
        if notice.leaving and not target.draining:
            target.draining = True
            self._metrics.count('target_notices', 'leaving')
            _log('target leaving', target, source, request_id, {})
        if notice.malformed is not None:
            self._metrics.count('target_notices', 'malformed')
            details = {'value': notice.malformed[:MAX_LOGGED_CHARS]}
            _log('malformed notice', target, source, request_id, details)
        if notice.closed_ms:
            self._close(target, notice.closed_ms, source, request_id)

    def record_sent(self, target: Target, request_id: str) -> None:
        """Report a request to a target that wants none; there must be none."""
        if target.leaving:
            reason = 'leaving'
        elif target.is_closed(self._clock.now_ms()):
            reason = 'closed'
        else:
            return
        self._metrics.count('requests_unwanted', reason)
        extra = {
            'request_id': request_id,
            'target': target.id,
            'why': reason,
        }
        logger.warning('request unwanted', extra=extra)

    def _ignore(
        self, target: Target, notice: Notice, source: str, request_id: str
    ) -> None:
        """Report a notice of a target that is not in the directory."""
        if not notice.leaving and not notice.closed_ms:
            return
        self._metrics.count('target_notices', 'ignored')
        details = {
            'named': notice.target_id,
            'leaving': notice.leaving,
            'closed_ms': loggable_ms(notice.closed_ms or 0.0),
        }
        _log('notice ignored', target, source, request_id, details)

    def _close(
        self, target: Target, stated_ms: float, source: str, request_id: str
    ) -> None:
        """Close a target; the entries open it one after the other."""
        closed_ms = min(stated_ms, self._max_closed_ms)
        if closed_ms < stated_ms:
            self._metrics.count('target_notices', 'capped')
        spread_ms = min(OPENING_SPREAD * closed_ms, MAX_OPENING_SPREAD_MS)
        closed_ms += spread_ms * self._entry_position()
        until_ms = self._clock.now_ms() + closed_ms
        wall_ms = self._clock.wall_ms()
        target.close(until_ms, wall_ms)
        # A later record may have replaced the target since the request. The
        # time is short, so it does no harm if an earlier lifetime asked.
        present = self._find_target(target.id)
        if present is not None and present is not target:
            present.close(until_ms, wall_ms)
        self._metrics.count('target_notices', 'closed')
        details = {
            'stated_ms': loggable_ms(stated_ms),
            'closed_ms': round(closed_ms),
        }
        _log('target closed', target, source, request_id, details)


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
