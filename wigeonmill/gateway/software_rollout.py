"""The rollouts of software versions that operators have ordered.

Each entry chooses versions and gives up bad ones by itself. The leader alone
moves a rollout to its next stage and tells the operators its state.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import secrets
from typing import Protocol

import msgspec
from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import SOFTWARE_ROLLOUT_PREFIX
from wigeonmill.gateway.own_records import SoftwareRolloutRecord
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.rollout_evidence import Counts
from wigeonmill.gateway.rollout_evidence import Judgement
from wigeonmill.gateway.rollout_evidence import OLD
from wigeonmill.gateway.rollout_evidence import Tally
from wigeonmill.gateway.rollout_evidence import UsualTimes
from wigeonmill.gateway.rollout_stages import next_stage
from wigeonmill.gateway.rollout_stages import Progress
from wigeonmill.gateway.rollout_stages import Stage
from wigeonmill.gateway.service_rollout import RolloutLimits
from wigeonmill.gateway.service_rollout import RolloutOrder
from wigeonmill.gateway.service_rollout import ServiceRollout
from wigeonmill.gateway.service_rollout import VersionFilter
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import RolloutReport
from wigeonmill.protocol.gen.inner.ttypes import VersionCount
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# A process that learns of an order with an older copy than this may have
# started after the order.
SLACK_COPY_AGE_MS = 5_000.0
# Delay before a failed write is repeated.
RETRY_MS = 300.0
# Number of old targets whose expected times are compared.
COMPARED_TARGETS = 3
# Verdicts on orders that are not known here yet.
MAX_EARLY_VERDICTS = 256


class RolloutStatuses(Protocol):
    """Encodes what operators are told of a rollout."""

    def encode(self, service: str, stage: Stage, to: str) -> tuple[str, bytes]:
        """Return the key and the value of a service's status."""


class Trial:
    """One request at a target while a rollout is on, until it has ended."""

    __slots__ = (
        '_clock',
        '_rollout',
        '_route',
        '_target',
        '_is_new',
        '_counts',
        '_sent_ms',
        '_cold_cache_ms',
        '_ended',
    )

    def __init__(
        self,
        clock: Clock,
        rollout: ServiceRollout,
        route: str,
        target: Target,
        cold_cache_ms: float,
    ) -> None:
        self._clock = clock
        self._rollout = rollout
        self._route = route
        self._target = target
        self._is_new = rollout.is_new(target)
        self._sent_ms = clock.now_ms()
        self._cold_cache_ms = cold_cache_ms
        # The time that a cold or loading target takes says nothing.
        self._counts = not self._is_unready()
        self._ended = False
        rollout.limit.record(route, self._is_new)

    def _is_unready(self) -> bool:
        now_ms = self._clock.now_ms()
        return self._target.is_cold(now_ms) or self._target.is_loading(now_ms)

    def end(self, failure: Failure | None, first_ms: float | None) -> None:
        """Record the outcome; `first_ms` is when the first event came."""
        if self._ended:
            return
        self._ended = True
        if failure is not None and not failure.arrived_at_service:
            self._rollout.limit.retract(self._route, self._is_new)
        failed = failure is not None and _is_own_failure(failure)
        if failure is not None and not failed:
            if failure.reason not in (Reason.TIMEOUT, Reason.BROKEN_OFF):
                # A limit, a refusal or a loss.
                return
        self._record(failed, first_ms)

    def close(self) -> None:
        """Record a request that the caller left, if it was slow by then."""
        if not self._ended:
            self._ended = True
            took_ms = self._clock.now_ms() - self._sent_ms
            if self._rollout.evidence.is_slow(
                self._route, took_ms, self._cold_cache_ms
            ):
                self._record(False, None)

    def _record(self, failed: bool, first_ms: float | None) -> None:
        if not self._counts or self._is_unready():
            return
        now_ms = self._clock.now_ms()
        first_ms = now_ms if first_ms is None else first_ms
        self._rollout.evidence.record(
            self._route,
            self._target.id if self._is_new else OLD,
            failed,
            first_ms - self._sent_ms,
            now_ms - self._sent_ms,
            self._cold_cache_ms,
        )


class SoftwareRollouts:
    """The rollouts that this entry knows, one for each service."""

    __slots__ = (
        'reporter',
        'on_verdict',
        '_clock',
        '_metrics',
        '_directory',
        '_freshness',
        '_entry_count',
        '_is_selected',
        '_limits',
        '_rollouts',
        '_records',
        '_malformed',
        '_early_verdicts',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        directory: Directory,
        freshness: Freshness,
        entry_count: Callable[[], int],
        is_selected: Callable[[str, int], bool],
        limits: RolloutLimits,
    ) -> None:
        self.reporter = secrets.token_hex(6)
        # Called with the service of a version that turns out to be bad.
        self.on_verdict: Callable[[str], None] = lambda _service: None
        self._clock = clock
        self._metrics = metrics
        self._directory = directory
        self._freshness = freshness
        self._entry_count = entry_count
        self._is_selected = is_selected
        self._limits = limits
        self._rollouts: dict[str, ServiceRollout] = {}
        self._records: dict[str, SoftwareRolloutRecord] = {}
        # By service. They get a status and change nothing else.
        self._malformed: dict[str, RolloutOrder] = {}
        self._early_verdicts: dict[tuple[str, int], None] = {}

    def all(self) -> list[ServiceRollout]:
        """Return the rollouts, finished ones included."""
        return list(self._rollouts.values())

    def get(self, service: str) -> ServiceRollout | None:
        """Return the last rollout that was ordered for a service."""
        return self._rollouts.get(service)

    def malformed(self) -> list[RolloutOrder]:
        """Return the last orders of services that can't be followed."""
        return list(self._malformed.values())

    def is_malformed_later(self, order: RolloutOrder) -> bool:
        """Whether a malformed order came after `order`."""
        return order.service in self._malformed

    def record_of(self, order: RolloutOrder) -> SoftwareRolloutRecord | None:
        """Return what the leader has published of an order."""
        record = self._records.get(order.service)
        if record is None or record.order != order.revision:
            return None
        return record

    def is_replaced(self, order: RolloutOrder) -> bool:
        """Whether the leader has published a later order of the service."""
        record = self._records.get(order.service)
        return record is not None and record.order > order.revision

    def start(self, order: RolloutOrder) -> None:
        """Begin with an order, unless it or a later one is known."""
        service = order.service
        known = self._rollouts.get(service)
        if known is not None and known.order.revision >= order.revision:
            return
        if order.duration_ms <= 0:
            self._malformed[service] = order
            self.reject(service)
            return
        self._malformed.pop(service, None)
        age_ms = self._freshness.age_ms
        rollout = ServiceRollout(
            order,
            self._limits,
            self.reporter,
            self._entry_count(),
            lambda count: self._is_selected(f'rollout {service}', count),
            joined_late=age_ms > SLACK_COPY_AGE_MS,
            now_ms=self._clock.now_ms(),
            word_age_ms=age_ms,
            left_out=known.left_out_after() if known is not None else (),
        )
        self._rollouts[service] = rollout
        logger.info(
            'software rollout ordered',
            extra={
                'service': service,
                'to': order.version,
                'duration_ms': order.duration_ms,
                'order': order.revision,
                'replaces': known.order.version if known else None,
            },
        )
        self._metrics.count('software_rollouts', 'ordered')
        self._apply_stage(rollout)
        if (service, order.revision) in self._early_verdicts:
            self._condemn(rollout, 'another entry')
        self._observe(rollout)

    def withdraw(self, service: str) -> None:
        """End an order that was removed, unless it has been decided.

        Its version gets nothing while it has targets beside those of others.
        """
        self._malformed.pop(service, None)
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.bad or rollout.stage is Stage.DONE:
            return
        rollout.withdrawn = True
        self._metrics.count('software_rollouts', 'withdrawn')
        logger.info('software rollout withdrawn', extra={'service': service})

    def reject(self, service: str) -> None:
        """Record an order that can't be read."""
        self._metrics.count('software_rollouts', 'unreadable')
        logger.warning(
            'software rollout not readable', extra={'service': service}
        )

    def update(self, record: Record) -> None:
        """Apply a record of the leader's."""
        found = decode_own(record, SoftwareRolloutRecord)
        if found is None:
            return
        service = record.key.removeprefix(SOFTWARE_ROLLOUT_PREFIX)
        self._records[service] = found
        rollout = self._rollouts.get(service)
        if rollout is not None:
            self._apply_stage(rollout)

    def filter(
        self,
        service: str,
        route: str,
        is_retry: bool,
        origin: StreamOrigin | None,
    ) -> VersionFilter | None:
        """Return where a request may go; None: anywhere."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return None
        return rollout.filter(
            route,
            is_retry,
            origin,
            self._freshness.age_ms,
            self._clock.now_ms(),
        )

    def begin(
        self,
        route: str,
        target: Target,
        generation: Generation | None,
    ) -> Trial | None:
        """Count a request that is being sent to a target."""
        rollout = self._rollouts.get(target.service)
        if rollout is None or rollout.is_over:
            return None
        cold_cache_ms = 0.0
        if rollout.is_new(target):
            self._metrics.count('software_rollout_requests', 'new')
            if generation is not None:
                cold_cache_ms = self._cold_cache_ms(rollout, generation)
        else:
            self._metrics.count('software_rollout_requests', 'old')
        return Trial(self._clock, rollout, route, target, cold_cache_ms)

    def observe(self) -> None:
        """Judge the versions of all rollouts that are not over."""
        for rollout in self.all():
            if rollout.withdrawn:
                self._forget_if_gone(rollout)
            elif not rollout.is_over:
                self._observe(rollout)

    def _forget_if_gone(self, rollout: ServiceRollout) -> None:
        targets = self._directory.of_service(rollout.order.service)
        new = sum(rollout.is_new(target) for target in targets)
        if not new or new == len(targets):
            del self._rollouts[rollout.order.service]

    def _observe(self, rollout: ServiceRollout) -> None:
        targets = self._directory.of_service(rollout.order.service)
        before = rollout.has_begun_move
        rollout.observe(self._clock.now_ms(), targets)
        if rollout.has_begun_move and not before:
            self._metrics.count('software_rollout_moves')
            logger.info(
                'software rollout moves all',
                extra={
                    'service': rollout.order.service,
                    'to': rollout.order.version,
                    'order': rollout.order.revision,
                    'proven': rollout.proven,
                    **_sizes(rollout),
                },
            )
        if rollout.finding.judgement is Judgement.BAD:
            self._condemn(rollout, 'own counts')

    def reports(self) -> list[RolloutReport]:
        """Return what other entries are told of the rollouts."""
        reports = []
        for rollout in self._rollouts.values():
            if rollout.stage is Stage.DONE or rollout.withdrawn:
                continue
            counts = {} if rollout.bad else rollout.evidence.counts
            times = rollout.evidence.times()
            reports.append(
                RolloutReport(
                    rollout.order.service,
                    rollout.order.revision,
                    self.reporter,
                    rollout.bad,
                    [
                        VersionCount(
                            route,
                            target,
                            tally.answers,
                            tally.failed,
                            tally.slow,
                            *_times_to_wire(target, times.get(route)),
                        )
                        for (route, target), tally in counts.items()
                    ],
                )
            )
        return reports

    def apply_reports(self, reports: Iterable[RolloutReport]) -> bool:
        """Apply what an entry told; return whether a version is bad now."""
        news = False
        for report in reports:
            service = report.service_name or ''
            revision = report.order or 0
            rollout = self._rollouts.get(service)
            if rollout is None or rollout.order.revision < revision:
                if report.bad and (service, revision) not in (
                    self._early_verdicts
                ):
                    if len(self._early_verdicts) >= MAX_EARLY_VERDICTS:
                        self._early_verdicts.clear()
                    self._early_verdicts[service, revision] = None
                    news = True
                continue
            if rollout.order.revision != revision:
                continue
            if report.bad:
                news = self._condemn(rollout, 'another entry') or news
            elif report.counts:
                rollout.fleet.replace(
                    report.reporter or '',
                    _counts_of(report),
                    _times_of(report),
                )
        return news

    def _condemn(self, rollout: ServiceRollout, why: str) -> bool:
        if not rollout.condemn():
            return False
        finding = rollout.finding
        self._metrics.count('software_rollout_verdicts', 'bad')
        logger.warning(
            'software version is bad',
            extra={
                'service': rollout.order.service,
                'to': rollout.order.version,
                'order': rollout.order.revision,
                'known_from': why,
                'route': finding.route,
                'kind': finding.kind,
                'bad': finding.bad,
                'answers': finding.answers,
                'old_bad': finding.old_bad,
                'old_answers': finding.old_answers,
                **_sizes(rollout),
            },
        )
        self.on_verdict(rollout.order.service)
        return True

    def _apply_stage(self, rollout: ServiceRollout) -> None:
        record = self.record_of(rollout.order)
        if record is None:
            return
        try:
            stage = Stage(record.stage)
        except ValueError:
            self._metrics.count('software_rollouts', 'unknown_stage')
            return
        if stage is not rollout.stage:
            logger.info(
                'software rollout stage',
                extra={
                    'service': rollout.order.service,
                    'to': rollout.order.version,
                    'stage': stage.value,
                    'why': record.why,
                    'judgement': rollout.finding.judgement.value,
                    **_sizes(rollout),
                },
            )
        rollout.apply_stage(stage, record.from_versions, record.left_out)
        self._observe(rollout)

    def _cold_cache_ms(
        self, rollout: ServiceRollout, generation: Generation
    ) -> float:
        """Return what an old target would take to read the whole prompt."""
        old = [
            target
            for target in self._directory.of_service(rollout.order.service)
            if not rollout.is_new(target)
        ][:COMPARED_TARGETS]
        return min(
            (t.load.prefill_ms(generation.prompt_tokens) for t in old),
            default=0.0,
        )


class SoftwareRolloutLeader:
    """Moves the rollouts through their stages, on the leader only."""

    __slots__ = (
        '_clock',
        '_freshness',
        '_metrics',
        '_rollouts',
        '_directory',
        '_leadership',
        '_keys',
        '_mirror',
        '_statuses',
        '_has_service',
        '_retry_at_ms',
    )

    def __init__(
        self,
        clock: Clock,
        freshness: Freshness,
        metrics: Metrics,
        rollouts: SoftwareRollouts,
        directory: Directory,
        leadership: Leadership,
        keys: LeasedKeys,
        mirror: Mirror,
        statuses: RolloutStatuses,
        has_service: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._freshness = freshness
        self._metrics = metrics
        self._rollouts = rollouts
        self._directory = directory
        self._leadership = leadership
        self._keys = keys
        self._mirror = mirror
        self._statuses = statuses
        self._has_service = has_service
        self._retry_at_ms: dict[str, float] = {}

    async def step(self) -> None:
        """Advance each rollout, if this entry is the leader."""
        for rollout in self._rollouts.all():
            if self._leadership.is_leader and not (
                rollout.withdrawn or self._rollouts.is_replaced(rollout.order)
            ):
                await self._step(rollout)
        for order in self._rollouts.malformed():
            if self._leadership.is_leader:
                await self._write_status(order, Stage.ROLLED_BACK)

    async def _write_status(self, order: RolloutOrder, stage: Stage) -> None:
        status = self._statuses.encode(order.service, stage, order.version)
        await self._write(*status)

    async def _step(self, rollout: ServiceRollout) -> None:
        order = rollout.order
        record = self._rollouts.record_of(order)
        planned = next_record(
            rollout,
            record,
            self._clock.wall_ms(),
            self._order_age_ms(rollout),
            self._directory.of_service(order.service),
            self._has_service(order.service),
        )
        if planned is not None:
            key = SOFTWARE_ROLLOUT_PREFIX + order.service
            value = msgspec.json.encode(planned)
            if not await self._write(key, value):
                return
            self._metrics.count('software_rollout_stages', planned.stage)
            record = planned
        if record is not None and rollout.stage is not None:
            if not self._rollouts.is_malformed_later(order):
                await self._write_status(order, Stage(record.stage))

    def _order_age_ms(self, rollout: ServiceRollout) -> float:
        """Return how long ago the order may have been given."""
        age_ms = max(
            rollout.order_age_ms(self._clock.now_ms()),
            self._freshness.age_ms,
        )
        return min(age_ms, rollout.order.duration_ms)

    async def _write(self, key: str, value: bytes) -> bool:
        """Write a record unless it is there; return whether it is."""
        known = self._mirror.get(key)
        if known is not None and known.value == value:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_at_ms.get(key, 0.0):
            return False
        present = known is not None and known.value is not None
        revision = known.revision if known is not None and present else 0
        written = await self._keys.compare_and_swap(key, revision, value)
        if isinstance(written, Err):
            # After a conflict the record has to arrive first.
            self._retry_at_ms[key] = self._clock.now_ms() + RETRY_MS
            logger.warning(
                'software rollout not written',
                extra={'key': key, 'detail': written.err_value.message},
            )
            return False
        self._mirror.apply([Record(key, written.ok_value, value)])
        return True


def next_record(
    rollout: ServiceRollout,
    record: SoftwareRolloutRecord | None,
    wall_ms: int,
    order_age_ms: float,
    targets: Sequence[Target],
    known_service: bool,
) -> SoftwareRolloutRecord | None:
    """Return the record to publish now; None: none, or the same."""
    order = rollout.order
    if record is None:
        return _first_record(
            rollout, wall_ms, order_age_ms, targets, known_service
        )
    try:
        stage = Stage(record.stage)
    except ValueError:
        return None
    new = [target for target in targets if rollout.is_new(target)]
    old = [target for target in targets if not rollout.is_new(target)]
    judgement = rollout.finding.judgement
    following, why = next_stage(
        Progress(
            stage,
            wall_ms - record.started_unix_ms,
            wall_ms - record.stage_unix_ms,
            order.duration_ms,
            Judgement.BAD if rollout.bad else judgement,
            len(new),
            len(old),
            sum(target.load.runs() for target in old),
            rollout.proven,
            rollout.moved,
            rollout.fits,
        )
    )
    if following is stage:
        return None
    return msgspec.structs.replace(
        record, stage=following.value, stage_unix_ms=wall_ms, why=why
    )


def _first_record(
    rollout: ServiceRollout,
    wall_ms: int,
    order_age_ms: float,
    targets: Sequence[Target],
    known_service: bool,
) -> SoftwareRolloutRecord:
    order = rollout.order
    versions = sorted(
        {target.software_version for target in targets} - rollout.left_out
    )
    stage, why = Stage.CANARY, 'ordered'
    if rollout.bad:
        stage, why = Stage.ROLLED_BACK, 'the version is bad'
    elif not known_service:
        stage, why = Stage.ROLLED_BACK, 'the service is unknown'
    elif versions == [order.version]:
        stage, why = Stage.DONE, 'there is no other version'
    return SoftwareRolloutRecord(
        order.revision,
        order.version,
        stage.value,
        wall_ms - round(max(0.0, order_age_ms)),
        wall_ms,
        [version for version in versions if version != order.version],
        sorted(rollout.left_out),
        why,
    )


def _is_own_failure(failure: Failure) -> bool:
    """Whether the target itself answered with a failure."""
    return (
        failure.reason is Reason.MAY_HAVE_RUN
        and failure.arrived_at_service
        and failure.reached
        and not failure.target_lost
        and not failure.internal
    )


def _counts_of(report: RolloutReport) -> Counts:
    return {
        (count.route or '', count.target or ''): Tally(
            count.answers or 0, count.failed or 0, count.slow or 0
        )
        for count in report.counts or ()
    }


def _times_to_wire(
    target: str, usual: UsualTimes | None
) -> tuple[int, float, float] | tuple[()]:
    if target != OLD or usual is None:
        return ()
    return usual.count, usual.first_ms, usual.whole_ms


def _times_of(report: RolloutReport) -> dict[str, UsualTimes]:
    return {
        count.route or '': UsualTimes(
            count.times, count.first_ms or 0.0, count.whole_ms or 0.0
        )
        for count in report.counts or ()
        if count.times
    }


def _sizes(rollout: ServiceRollout) -> dict[str, object]:
    """Return the counts that a log line states.

    `sent` are the requests of this entry, the answers those of all entries.
    """
    new, old = rollout.fleet.totals()
    return {
        'sent': rollout.limit.new_arrivals,
        'sent_all': rollout.limit.arrivals,
        'new': [new.answers, new.failed, new.slow],
        'old': [old.answers, old.failed, old.slow],
    }
