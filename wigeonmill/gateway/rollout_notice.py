"""The record in which the leader publishes the state of a rollout.

It names each engine before that engine is ordered. The entries then send no
new work there, and the next leader knows which engines it must not order
during the lease time. It may order all others as soon as it is the leader.
"""

from collections.abc import Iterable
import logging

import msgspec
from result import Err

from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import ROLLOUT_KEY
from wigeonmill.gateway.own_records import RolloutRecord
from wigeonmill.gateway.targets import Loading
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# Engines ordered within this time are listed. It covers the longest lease
# time that the platform's rules allow.
RECENT_ORDER_MS = 4_000.0


class RolloutPublisher:
    """Writes the rollout record and evaluates that of the last leader."""

    __slots__ = (
        '_clock',
        '_leadership',
        '_keys',
        '_ordered_ms',
        '_published',
        '_taken_over_fence',
        '_held',
        '_revision',
    )

    def __init__(
        self, ctx: GatewayContext, leadership: Leadership, keys: LeasedKeys
    ) -> None:
        self._clock = ctx.clock
        self._leadership = leadership
        self._keys = keys
        self._ordered_ms: dict[str, float] = {}
        self._published: RolloutRecord | None = None
        # The fence of the term in which the predecessor's record was read,
        # and the engines that it may have ordered recently (None: any).
        self._taken_over_fence = 0
        self._held: frozenset[str] | None = None
        self._revision = 0

    @property
    def has_loading_engines(self) -> bool:
        """Whether the published record lists loading engines."""
        return self._published is not None and bool(self._published.loading)

    def update_revision(self, record: Record) -> None:
        """Store the revision of the current record."""
        self._revision = record.revision if record.value else 0

    def reset(self) -> None:
        """Discard the state of this entry's own term."""
        self._ordered_ms.clear()
        self._published = None

    def record_order(self, engine: str) -> None:
        """Record that an engine is being ordered now."""
        self._ordered_ms[engine] = self._clock.now_ms()

    def may_order(self, engine: str) -> bool:
        """Whether no other leader can have ordered the engine recently."""
        if self._leadership.may_order:
            return True
        if self._held is None or engine in self._held:
            return False
        return self._leadership.is_leader

    async def take_over(self) -> bool:
        """Read, once per term, what the predecessor may have ordered.

        Return False if the record can't be fetched or is of a later term. The
        record is replaced before the first order of this term, so that a
        later write by the predecessor fails.
        """
        fence = self._leadership.fence
        if self._taken_over_fence == fence:
            return True
        found = await self._keys.get(ROLLOUT_KEY)
        if isinstance(found, Err):
            logger.warning(
                'rollout record not read',
                extra={'detail': found.err_value.message},
            )
            return False
        entry = found.ok_value
        self._revision = entry.version if entry else 0
        self._published = None
        self._taken_over_fence = fence
        if entry is None:
            self._held = frozenset()
            return True
        last = decode_own(
            Record(ROLLOUT_KEY, entry.version, entry.value), RolloutRecord
        )
        if last is None:
            self._held = None
        elif last.fence > fence:
            self._leadership.step_down(
                'the rollout record has a higher fencing token'
            )
            return False
        elif last.fence != fence:
            self._held = frozenset(last.ordered)
        logger.info(
            'rollout taken over',
            extra={
                'fence': fence,
                'last_fence': last.fence if last else None,
                'held': None if self._held is None else sorted(self._held),
            },
        )
        return True

    async def publish(
        self,
        model: str,
        version: int,
        loading: Iterable[str],
        loaded: dict[str, int],
        next_orders: Iterable[str] = (),
    ) -> bool:
        """Publish a rollout's state; return False if no order may be given."""
        record = RolloutRecord(
            model,
            version,
            sorted(loading),
            loaded,
            self._recently_ordered(next_orders),
            self._leadership.fence,
        )
        if not self._must_publish(record):
            return True
        written = await self._keys.compare_and_swap(
            ROLLOUT_KEY, self._revision, msgspec.json.encode(record)
        )
        if isinstance(written, Err):
            # No other entry would know of the orders. Read the record again.
            logger.warning(
                'rollout record not published',
                extra={'detail': written.err_value.message},
            )
            self._taken_over_fence = 0
            return False
        self._published = record
        self._revision = written.ok_value
        return True

    def _recently_ordered(self, next_orders: Iterable[str]) -> list[str]:
        oldest_ms = self._clock.now_ms() - RECENT_ORDER_MS
        self._ordered_ms = {
            id_: at_ms
            for id_, at_ms in self._ordered_ms.items()
            if at_ms >= oldest_ms
        }
        # A leader that succeeds this one before the takeover delay is over
        # must wait for the engines of the predecessor, too.
        held = () if self._leadership.may_order else self._held or ()
        return sorted({*self._ordered_ms, *next_orders, *held})

    def _must_publish(self, record: RolloutRecord) -> bool:
        last = self._published
        if last is None or not set(record.ordered) <= set(last.ordered):
            return True
        return record != msgspec.structs.replace(last, ordered=record.ordered)


def apply_rollout(
    ctx: GatewayContext, record: RolloutRecord, pause_ms: float
) -> None:
    """Mark loading engines, and update the versions of those that loaded."""
    now_ms = ctx.clock.now_ms()
    for target in ctx.directory.all():
        target.loading = None
        if target.id in record.loading:
            target.loading = Loading(
                record.model, record.version, now_ms + pause_ms
            )
        version = record.loaded.get(target.id)
        if version is not None and record.model in target.weights:
            known = target.weights[record.model]
            target.weights[record.model] = max(version, known)
