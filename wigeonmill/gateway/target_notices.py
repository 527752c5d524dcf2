"""What targets state about themselves in their answers."""

from collections.abc import Callable
from dataclasses import dataclass
import logging

from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Notice:
    """What an answer states about the target that sent it.

    `target_id` is the id of that target, or None if the answer does not name
    it. `leaving` is set if it accepts no new requests until its end.
    """

    target_id: str | None = None
    leaving: bool = False


# Called with a target, the notice in its answer and the kind of the call.
NoticeSink = Callable[[Target, Notice, str], None]


class TargetNotices:
    """Applies the notices in answers to the state of their targets."""

    __slots__ = ('_metrics',)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(
        self, target: Target, notice: Notice, source: str, request_id: str = ''
    ) -> None:
        """Apply a notice in an answer to a call of `target`.

        `source` names the kind of call. The notice of another target, which
        has taken over the address, is ignored.
        """
        if notice.target_id not in (None, target.id):
            return
        if notice.leaving and not target.draining:
            target.draining = True
            self._report('leaving', target, source, request_id, {})

    def _report(
        self,
        kind: str,
        target: Target,
        source: str,
        request_id: str,
        details: dict[str, object],
    ) -> None:
        self._metrics.count('target_notices', kind)
        logger.info(
            f'target {kind}',
            extra={
                'request_id': request_id,
                'target': target.id,
                'born_ms': target.started_at_ms,
                'source': source,
            }
            | details,
        )
