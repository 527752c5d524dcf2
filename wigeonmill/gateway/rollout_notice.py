"""The record by which the leader of a rollout tells of its orders.

It names each engine before it is ordered. The entries then send no new work
there, and a successor knows which engines it must leave alone for the lease
time: all others it may order as soon as it leads.
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

# Engines ordered within this time are named; it covers the longest lease
# time of the platform's rules.
ORDERED_LATELY_MS = 4_000.0


class RolloutNotice:
    """Writes the record as leader, and knows the predecessor's."""

    __slots__ = (
        '_clock',
        '_leadership',
        '_keys',
        '_ordered_ms',
        '_published',
        '_known_term',
        '_held',
        '_version',
    )

    def __init__(
        self, ctx: GatewayContext, leadership: Leadership, keys: LeasedKeys
    ) -> None:
        self._clock = ctx.clock
        self._leadership = leadership
        self._keys = keys
        self._ordered_ms: dict[str, float] = {}
        self._published: RolloutRecord | None = None
        # The term whose predecessor's orders are known, and the engines that
        # it may have ordered lately (None: any).
        self._known_term = 0
        self._held: frozenset[str] | None = None
        self._version = 0

    @property
    def names_loading(self) -> bool:
        """Whether the entries are told that engines load."""
        return self._published is not None and bool(self._published.loading)

    def take_record(self, record: Record) -> None:
        """Note the revision of the record in force."""
        self._version = record.revision if record.value else 0

    def reset(self) -> None:
        """Forget this entry's own term."""
        self._ordered_ms.clear()
        self._published = None

    def note_ordered(self, engine: str) -> None:
        """Note that an engine is ordered now."""
        self._ordered_ms[engine] = self._clock.now_ms()

    def may_order(self, engine: str) -> bool:
        """Whether no other leader can have ordered the engine lately."""
        if self._leadership.may_order:
            return True
        if self._held is None or engine in self._held:
            return False
        return self._leadership.is_leader

    async def take_over(self) -> bool:
        """Learn, once a term, what the predecessor may have ordered.

        The record is replaced before the first order of this term: a write
        of the predecessor's that arrives later then fails.
        """
        fence = self._leadership.fence
        if self._known_term == fence:
            return True
        found = await self._keys.get(ROLLOUT_KEY)
        if isinstance(found, Err):
            logger.warning(
                'rollout not read', extra={'detail': found.err_value.message}
            )
            return False
        entry = found.ok_value
        self._version = entry.version if entry else 0
        self._published = None
        self._known_term = fence
        if entry is None:
            self._held = frozenset()
            return True
        last = decode_own(
            Record(ROLLOUT_KEY, entry.version, entry.value), RolloutRecord
        )
        if last is None:
            self._held = None
        elif last.fence > fence:
            self._leadership.step_down('the rollout has a higher fence')
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

    async def announce(
        self,
        model: str,
        version: int,
        loading: Iterable[str],
        loaded: dict[str, int],
        next_orders: Iterable[str] = (),
    ) -> bool:
        """Tell of a rollout's state; False: no order may be given on it."""
        record = RolloutRecord(
            model,
            version,
            sorted(loading),
            loaded,
            self._ordered_lately(next_orders),
            self._leadership.fence,
        )
        if not self._is_news(record):
            return True
        written = await self._keys.compare_and_swap(
            ROLLOUT_KEY, self._version, msgspec.json.encode(record)
        )
        if isinstance(written, Err):
            # Nobody would know of the orders; the record is read again.
            logger.warning(
                'rollout not published',
                extra={'detail': written.err_value.message},
            )
            self._known_term = 0
            return False
        self._published = record
        self._version = written.ok_value
        return True

    def _ordered_lately(self, next_orders: Iterable[str]) -> list[str]:
        oldest_ms = self._clock.now_ms() - ORDERED_LATELY_MS
        self._ordered_ms = {
            id_: at_ms
            for id_, at_ms in self._ordered_ms.items()
            if at_ms >= oldest_ms
        }
        return sorted({*self._ordered_ms, *next_orders})

    def _is_news(self, record: RolloutRecord) -> bool:
        last = self._published
        if last is None or not set(record.ordered) <= set(last.ordered):
            return True
        return record != msgspec.structs.replace(last, ordered=record.ordered)


def note_rollout(
    ctx: GatewayContext, record: RolloutRecord, pause_ms: float
) -> None:
    """Keep new work from engines that load, and know those that have."""
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
