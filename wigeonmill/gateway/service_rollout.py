"""One entry's part in the rollout of one service, without a network.

The entry chooses the version of each request by the stage that the leader has
published. It gives the version up by itself, on the counts of all entries
that it knows or on another entry's word.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import math

import xxhash

from wigeonmill.gateway.rollout_evidence import Finding
from wigeonmill.gateway.rollout_evidence import FleetEvidence
from wigeonmill.gateway.rollout_evidence import Judgement
from wigeonmill.gateway.rollout_evidence import OwnEvidence
from wigeonmill.gateway.rollout_share import CANARY_PART
from wigeonmill.gateway.rollout_share import entry_slack
from wigeonmill.gateway.rollout_share import fits
from wigeonmill.gateway.rollout_share import ShareLimit
from wigeonmill.gateway.rollout_stages import CANARY_TIME
from wigeonmill.gateway.rollout_stages import LAST_MOVE
from wigeonmill.gateway.rollout_stages import MIN_STEP_MS
from wigeonmill.gateway.rollout_stages import Stage
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.targets import Target
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

# Part of the time for a roll-back after which the last word on a rollout is
# too old to go by. The rest is for a verdict to be reached and told.
FRESH_PART = 0.6
# Minimum number of targets that a new version is tried at: with the worst
# one left out, there are two to compare with each other.
MIN_TRIED_TARGETS = 3
# Answers of the new version on each route, as far as its traffic allows.
MIN_ANSWERS = 20


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """What a bad version may get, of all requests and beyond them.

    It gets no request later than `rollback_ms` after it is known to be bad.
    """

    share: float = 0.1
    slack: float = 50.0
    rollback_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service; `revision` is that of its record."""

    service: str
    version: str
    duration_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class VersionFilter:
    """The targets that a request may go to while a rollout is on.

    `versions` are those that are left out, or the only ones if `only`. If
    `target_ids` is set, it names the targets of them. `fallback` applies if
    none of them can take the request.
    """

    versions: frozenset[str]
    only: bool
    target_ids: frozenset[str] | None = None
    fallback: 'VersionFilter | None' = None

    def allows(self, target: Target) -> bool:
        """Whether the request may go to `target`."""
        if (target.software_version in self.versions) is not self.only:
            return False
        return self.target_ids is None or target.id in self.target_ids


class ServiceRollout:
    """The shares, the evidence and the verdict of one order."""

    __slots__ = (
        'order',
        'stage',
        'from_versions',
        'left_out',
        'bad',
        'finding',
        'proven',
        'moved',
        'fits',
        'limit',
        'evidence',
        'fleet',
        '_limits',
        '_credit',
        '_tried',
        '_extra',
        '_moved_at_ms',
        '_has_spare',
        '_reporter',
        'withdrawn',
        '_heard_ms',
        '_word_age_ms',
        '_known',
    )

    def __init__(
        self,
        order: RolloutOrder,
        limits: RolloutLimits,
        reporter: str,
        entry_count: int,
        is_selected: Callable[[int], bool],
        joined_late: bool,
        now_ms: float,
        left_out: Iterable[str] = (),
        word_age_ms: float = 0.0,
    ) -> None:
        """Create the state of an order that has just been heard of.

        `reporter` identifies this process. `joined_late` is set if the
        rollout may have run before this process did; it then has no part of
        the extra requests, which an earlier one may have used.
        `left_out` are versions that earlier orders leave without requests.
        `word_age_ms` is how old the copy was to which the order came.
        """
        self.order = order
        # None until the leader has published one.
        self.stage: Stage | None = None
        self.from_versions: frozenset[str] = frozenset()
        self.left_out = frozenset(left_out) - {order.version}
        self.bad = False
        self.finding = Finding(Judgement.UNKNOWN)
        # Whether a bad version would have shown by now.
        self.proven = False
        # Whether this entry has made a deferred move, a step ago at least.
        self.moved = False
        # Whether all requests to come fit within the limit of all entries.
        self.fits = False
        slack = 0
        # This entry's part of what a bad version may get beyond its share.
        self._extra = 0.0
        if not joined_late:
            slack = entry_slack(limits.slack, entry_count, is_selected)
            self._extra = limits.slack / max(1, entry_count)
        self._moved_at_ms: float | None = None
        # Whether an eighth leaves room for a deferred move.
        self._has_spare = False
        rounding = xxhash.xxh3_64_intdigest(reporter.encode()) / 2.0**64
        self.limit = ShareLimit(limits.share, slack, rounding)
        self.evidence = OwnEvidence()
        self.fleet = FleetEvidence()
        self._limits = limits
        self._reporter = reporter
        self.withdrawn = False
        self._heard_ms = now_ms
        # A process that had no copy before can't know when it was given.
        self._word_age_ms = 0.0 if joined_late else word_age_ms
        self._known: Mapping[str, int] = {}
        self._credit = rounding
        self._tried: frozenset[str] | None = frozenset()

    @property
    def is_over(self) -> bool:
        """Whether the rollout has ended or its order was removed."""
        if self.withdrawn:
            return True
        return self.stage is not None and self.stage.is_final

    @property
    def has_begun_move(self) -> bool:
        """Whether this entry makes a deferred move."""
        return self._moved_at_ms is not None

    def order_age_ms(self, now_ms: float) -> float:
        """Return the most time that may have passed since the order."""
        return now_ms - self._heard_ms + self._word_age_ms

    def is_new(self, target: Target) -> bool:
        """Whether a target has the version of the order."""
        return target.software_version == self.order.version

    def left_out_after(self) -> frozenset[str]:
        """Return the versions that get nothing once a later order comes.

        One that was not proven is among them: those before it are still
        there.
        """
        if self.stage is Stage.DONE:
            return self.left_out | self.from_versions
        return self.left_out | {self.order.version}

    def apply_stage(
        self,
        stage: Stage,
        from_versions: Iterable[str] = (),
        left_out: Iterable[str] = (),
    ) -> None:
        """Apply what the leader has published; a bad verdict stays."""
        self.stage = stage
        self._compare_times()
        self.from_versions = frozenset(from_versions)
        self.left_out |= frozenset(left_out) - {self.order.version}
        if stage is Stage.ROLLED_BACK:
            self.bad = True

    def condemn(self) -> bool:
        """Give the version up for good; return False if it was before."""
        if self.bad or self.stage is Stage.DONE:
            return False
        self.bad = True
        return True

    def observe(self, now_ms: float, targets: Sequence[Target]) -> None:
        """Judge the version; choose the targets that it is tried at."""
        self.fleet.replace(
            self._reporter, self.evidence.counts, self.evidence.times()
        )
        self._known = self.fleet.new_by_route()
        self.evidence.settle(self.fleet.usual_times())
        domains = {t.id: t.failure_domain for t in targets}
        self.finding = self.fleet.judge(now_ms, domains, MIN_ANSWERS)
        self.proven = self.fleet.is_proven(now_ms)
        self._move_deferred(now_ms)
        self._compare_times()
        self._tried = self._choose_tried(targets)

    def _move_deferred(self, now_ms: float) -> None:
        """Move all requests of a deferred move once there is room."""
        if self.stage is not Stage.DEFERRED:
            self._moved_at_ms = None
            self.moved = False
            return
        duration_ms = self.order.duration_ms
        elapsed_ms = now_ms - self._heard_ms
        rest_ms = duration_ms - elapsed_ms
        new, old = self.fleet.totals()
        limits = self._limits
        self.fits = old.answers > 0 and fits(
            new.answers,
            new.answers + old.answers,
            elapsed_ms,
            rest_ms,
            limits.share,
            limits.slack,
        )
        self._has_spare = self.limit.has_room_for_all(
            elapsed_ms, (1.0 - LAST_MOVE) * duration_ms, self._extra
        )
        doubtful = self.finding.judgement is Judgement.SUSPICIOUS
        if self._moved_at_ms is not None:
            self.moved = now_ms - self._moved_at_ms >= MIN_STEP_MS
        elif not doubtful and self.limit.has_room_for_all(
            elapsed_ms, rest_ms, self._extra
        ):
            self._moved_at_ms = now_ms

    def _compare_times(self) -> None:
        share = self._share()
        self.evidence.compares_times = share is None or share < 1.0

    def filter(
        self,
        route: str,
        is_retry: bool,
        origin: StreamOrigin | None,
        word_age_ms: float,
        now_ms: float,
    ) -> VersionFilter | None:
        """Return where a request may go now.

        `word_age_ms` is how old this entry's copy of the stage may be.
        """
        self.limit.asked += 1
        version = frozenset((self.order.version,))
        old = VersionFilter(version | self.left_out, only=False)
        if self.stage is Stage.DONE:
            left = self.from_versions | self.left_out
            # Targets of these may be all that is left of the service later.
            rest = VersionFilter(self.left_out, only=False)
            return VersionFilter(left, only=False, fallback=rest)
        if self.bad or self.withdrawn:
            return old
        fresh = word_age_ms < FRESH_PART * self._limits.rollback_ms
        share = self._share() if fresh else None
        may_send = fresh and self.limit.allows()
        if origin is not None and origin.software_version in version:
            # A stream goes on where it began, or not at all.
            allowed = share is not None or may_send
            return VersionFilter(version, only=True) if allowed else old
        new = VersionFilter(version, True, self._tried or None)
        any_new = VersionFilter(version, only=True)
        if origin is not None:
            return old
        if share is not None:
            self._credit += share
            if self._credit >= 1.0:
                self._credit -= 1.0
                return _first(new, old)
            return _first(old, any_new) if may_send else old
        wants = fresh and not is_retry and self._wants_sample(route, now_ms)
        if wants and self._tried:
            return _first(new, old)
        return _first(old, any_new) if may_send else old

    def _wants_sample(self, route: str, now_ms: float) -> bool:
        canary_ms = CANARY_TIME * max(1.0, self.order.duration_ms)
        return self.limit.wants_sample(
            route, (now_ms - self._heard_ms) / canary_ms, self._known
        )

    def _share(self) -> float | None:
        """Return the share of the new version beyond that of a canary."""
        if self.stage is Stage.DEFERRED:
            if self._moved_at_ms is not None:
                return 1.0
            return Stage.EIGHTH.share if self._has_spare else None
        return self.stage.share if self.stage is not None else None

    def _choose_tried(self, targets: Sequence[Target]) -> frozenset[str]:
        """Return the targets that carry the new version's share.

        They are about as many as the old versions have for such a share, so
        that each has the usual load, in as many failure domains as there are.
        All entries choose the same ones.
        """
        new = [t for t in targets if self.is_new(t)]
        share = self._share() or CANARY_PART * self._limits.share
        old_count = sum(
            not self.is_new(t) and t.software_version not in self.left_out
            for t in targets
        )
        count = max(MIN_TRIED_TARGETS, math.ceil(share * old_count))
        if share >= 1.0 or count >= len(new):
            return frozenset(t.id for t in new)
        candidates = [WeightedTarget(t.id, t.failure_domain) for t in new]
        key = f'{self.order.service} {self.order.revision}'.encode()
        turns: dict[str, int] = {}
        ordered = []
        for place, found in enumerate(rank(key, candidates, len(candidates))):
            turn = turns.get(found.failure_domain, 0)
            turns[found.failure_domain] = turn + 1
            ordered.append((turn, place, found.name))
        return frozenset(name for _, _, name in sorted(ordered)[:count])


def _first(first: VersionFilter, then: VersionFilter) -> VersionFilter:
    return VersionFilter(first.versions, first.only, first.target_ids, then)
