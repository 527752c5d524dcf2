"""Applies changed records of the key-value service to the gateway."""

from collections.abc import Callable
import logging

from wigeonmill.gateway.changes import Change
from wigeonmill.gateway.changes import DesiredStateChanged
from wigeonmill.gateway.changes import DesiredWeightsChanged
from wigeonmill.gateway.changes import DomainServiceChanged
from wigeonmill.gateway.changes import RecordDecoder
from wigeonmill.gateway.changes import SoftwareRolloutOrdered
from wigeonmill.gateway.changes import SoftwareRolloutUnreadable
from wigeonmill.gateway.changes import SoftwareRolloutWithdrawn
from wigeonmill.gateway.changes import TargetListed
from wigeonmill.gateway.changes import TargetUnlisted
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.inner_key import SharedInnerKey
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.origin_records import OriginRecords
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.own_records import INNER_KEY
from wigeonmill.gateway.own_records import ORIGINS_PREFIX
from wigeonmill.gateway.own_records import PART_QUARANTINES_KEY
from wigeonmill.gateway.own_records import PREFIX
from wigeonmill.gateway.own_records import ROLLOUT_KEY
from wigeonmill.gateway.own_records import RolloutRecord
from wigeonmill.gateway.own_records import SOFTWARE_ROLLOUT_PREFIX
from wigeonmill.gateway.own_records import SOFTWARE_VERSIONS_KEY
from wigeonmill.gateway.part_records import PartQuarantines
from wigeonmill.gateway.registration import EntryList
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.gateway.rollout_notice import apply_rollout
from wigeonmill.gateway.rollout_notice import RolloutPublisher
from wigeonmill.gateway.service_rollout import RolloutOrder
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.log import loggable_ms

logger = logging.getLogger(__name__)

# Maximum time without new work for an engine that loads weights, in case the
# leader that ordered it fails.
MAX_LOADING_PAUSE_MS = 8_000.0


class RecordIntake:
    """Dispatches each record to the component that it concerns."""

    __slots__ = (
        '_ctx',
        '_decoder',
        '_entries',
        '_inner_key',
        '_publisher',
        '_versions',
        '_quarantines',
        '_origins',
        '_on_desired_state',
        '_on_later_era',
    )

    def __init__(
        self,
        ctx: GatewayContext,
        decoder: RecordDecoder,
        entries: EntryList,
        inner_key: SharedInnerKey,
        publisher: RolloutPublisher,
        versions: SoftwareVersions,
        quarantines: PartQuarantines,
        origins: OriginRecords,
        on_desired_state: Callable[[DesiredState], None],
        on_later_era: Callable[[int], None] = lambda _at: None,
    ) -> None:
        """Create the intake of a gateway.

        `on_later_era` is called with a position of an era that follows that
        of the record which names it.
        """
        self._ctx = ctx
        self._decoder = decoder
        self._entries = entries
        self._inner_key = inner_key
        self._publisher = publisher
        self._versions = versions
        self._quarantines = quarantines
        self._origins = origins
        self._on_desired_state = on_desired_state
        self._on_later_era = on_later_era

    def apply_record(self, record: Record) -> None:
        """Apply a changed record; an error concerns this record alone."""
        try:
            self._apply(record)
        except Exception:
            self._ctx.metrics.count('records_not_applied')
            logger.exception(
                'record not applied',
                extra={
                    'key': record.key,
                    'revision': revision_of(record.revision),
                    'era': era_of(record.revision),
                },
            )

    def _apply(self, record: Record) -> None:
        if record.key.startswith(PREFIX):
            self._apply_own_record(record)
            return
        started_ms = self._ctx.clock.now_ms()
        change = self._decoder.decode(record)
        if isinstance(change, DesiredStateChanged):
            self._adopt(change.state, record, started_ms)
        elif change is not None:
            self._apply_change(change)

    def _adopt(
        self, state: DesiredState, record: Record, started_ms: float
    ) -> None:
        copy_age_ms = self._ctx.freshness.age_ms
        if not self._ctx.desired.adopt(state):
            return
        self._on_desired_state(state)
        logger.info(
            'configuration in force',
            extra={
                'version': state.version,
                'revision': revision_of(record.revision),
                'bytes': len(record.value or b''),
                'copy_age_ms': loggable_ms(copy_age_ms),
                'took_ms': loggable_ms(self._ctx.clock.now_ms() - started_ms),
            },
        )

    def _apply_own_record(self, record: Record) -> None:
        if record.key.startswith(ENTRY_PREFIX):
            self._entries.update(record)
        elif record.key.startswith(ORIGINS_PREFIX):
            self._origins.update(record)
        elif record.key.startswith(SOFTWARE_ROLLOUT_PREFIX):
            self._ctx.rollouts.update(record)
        elif record.key == INNER_KEY:
            self._inner_key.update(record)
        elif record.key == SOFTWARE_VERSIONS_KEY:
            self._versions.update(record)
        elif record.key == PART_QUARANTINES_KEY:
            self._quarantines.update(record)
        elif record.key == ROLLOUT_KEY:
            self._publisher.update_revision(record)
            found = decode_own(record, RolloutRecord)
            if found is not None:
                if era_of(found.fence) > era_of(record.revision):
                    self._on_later_era(found.fence)
                apply_rollout(self._ctx, found, MAX_LOADING_PAUSE_MS)

    def _apply_change(self, change: Change) -> None:
        desired = self._ctx.desired
        match change:
            case DesiredWeightsChanged(model, version):
                copy_age_ms = self._ctx.freshness.age_ms
                if desired.set_weight_version(model, version):
                    self._log_weight_version(model, version, copy_age_ms)
            case DomainServiceChanged(domain, is_open):
                desired.set_domain_open(domain, is_open)
                logger.info(
                    'failure domain in service'
                    if is_open
                    else 'failure domain out of service',
                    extra={'domain': domain},
                )
            case SoftwareRolloutOrdered(service, to, duration_ms, revision):
                self._ctx.rollouts.start(
                    RolloutOrder(service, to, duration_ms, revision)
                )
            case SoftwareRolloutUnreadable(service):
                self._ctx.rollouts.reject(service)
            case SoftwareRolloutWithdrawn(service):
                self._ctx.rollouts.withdraw(service)
            case TargetListed(target):
                self._ctx.directory.apply(target)
            case TargetUnlisted(target_id):
                self._ctx.directory.remove(target_id)

    def _log_weight_version(
        self, model: str, version: int, copy_age_ms: float
    ) -> None:
        desired = self._ctx.desired
        logger.info(
            'weight version requested',
            extra={
                'model': model,
                'version': version,
                'age_ms': loggable_ms(desired.weight_version_age_ms(model)),
                'copy_age_ms': loggable_ms(copy_age_ms),
                'uptime_ms': loggable_ms(desired.uptime_ms),
                'old_weights_remaining_ms': loggable_ms(
                    desired.old_weights_remaining_ms(model, version - 1)
                ),
            },
        )
