"""Suspects targets that have fallen silent, with what other entries tell.

Answers the load of silent targets: each entry would lose requests to each of
them by itself, and again once those have ended. A suspicion outlives the
request that gave rise to it. New requests avoid a suspected target, except a
few that probe it, until a byte of it is received.
"""

from dataclasses import dataclass
from dataclasses import field
import logging
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import Fleet
from wigeonmill.gateway.target_load import InFlightRequest
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# Time for which what another entry has told counts.
TOLD_TTL_MS = 2_000.0
# Entries whose suspicion counts for one that has no evidence of its own. The
# link of a single one may be cut.
MIN_TELLERS = 2
# With a request of its own overdue for this time, one teller is enough.
OWN_WAIT_MS = 200.0
# Others are told of a silence that lasts this long: an engine that is full may
# write nothing for a second. Of a connection that is not accepted they are
# told at once.
TOLD_SILENCE_MS = 1_200.0
# Time that news may have been under way. What another entry has heard is
# dated back by it.
MAX_TRANSIT_MS = 300.0
# A connection that is not accepted says nothing of a target that has sent
# something since it was tried.
CONNECT_MS = 350.0
# So many entries probe a target that others suspect as well, each at this
# interval. After a while others are selected: the first ones may be cut off
# from the target, or have no requests.
PROBERS = 2
PROBE_INTERVAL_MS = 1_000.0
PROBER_TURN_MS = 4_000.0
PROBER_TURNS = 8
# First interval of an entry whose suspicion nobody shares, most likely because
# its own link is cut. It doubles with each probe, up to the longest.
ALONE_INTERVAL_MS = 2_000.0
MAX_ALONE_INTERVAL_MS = 16_000.0
# Part of this entry's requests that may be probes, and how many probes it may
# have saved up.
PROBE_SHARE = 0.25
MAX_PROBE_CREDIT = 4.0
# With a smaller share of targets that are heard from, all are used.
MIN_HEARD_SHARE = 0.5
# A probe is late by about this much if it is not accepted. A request without
# that time, and one that must not be run twice, probes only if no better one
# has for the time given.
PROBE_TIME_MS = 700.0
TIGHT_PROBE_DELAY_MS = 500.0
UNSAFE_PROBE_DELAY_MS = 2_000.0
# Time for which others are told that a target was heard from again.
RECOVERED_MS = 2_000.0
# After an observation this late the process may have stood still itself.
MAX_OBSERVATION_GAP_MS = 300.0
# Limit of the targets in one update.
MAX_TOLD = 64


@dataclass(frozen=True, slots=True)
class Silence:
    """What an entry tells of a lifetime of a target; times are ages in ms.

    It suspects the target if `silent_ms` is set, and has heard something of
    it if `heard_ms` is.
    """

    target_id: str
    started_at_ms: int
    silent_ms: float | None = None
    heard_ms: float | None = None


@dataclass(slots=True)
class _Suspicion:
    """What is known, since `began_ms`, of the silence of a target's lifetime.

    `told_ms` is when the silence began for other entries, and when they told
    it. They are told of this entry's from `tell_from_ms` on. `probed_ms` is
    when the last probe was sent, which is `probe`, and `probes` how many were
    sent since something was last heard. With `probe_now`, one is due.
    """

    target: Target
    began_ms: float
    own_since_ms: float | None = None
    tell_from_ms: float = inf
    told_ms: dict[str, tuple[float, float]] = field(default_factory=dict)
    recovered_ms: float = -inf
    probed_ms: float = -inf
    probe: InFlightRequest | None = None
    probes: int = 0
    probe_now: bool = False


class Suspicions:
    """The targets that this entry suspects; only those have state."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_directory',
        '_fleet',
        '_suspicions',
        '_observed_ms',
        '_probe_credit',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        directory: Directory,
        fleet: Fleet = Fleet(),
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._directory = directory
        self._fleet = fleet
        self._suspicions: dict[str, _Suspicion] = {}
        self._observed_ms = -inf
        self._probe_credit = MAX_PROBE_CREDIT

    def __len__(self) -> int:
        return len(self._suspicions)

    def observe(self) -> None:
        """Look for targets that are silent; to be called ten times a second.

        A process that has just stood still has bytes to read first.
        """
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._observed_ms
        self._observed_ms = now_ms
        self._drop_settled()
        if gap_ms > MAX_OBSERVATION_GAP_MS:
            return
        for target in self._directory.all():
            silent_since_ms = target.load.silent_since_ms()
            if silent_since_ms is not None:
                tell_from_ms = silent_since_ms + TOLD_SILENCE_MS
                self._suspect(target, silent_since_ms, 'silent', tell_from_ms)

    def record_unreached(self, target: Target, sent_ms: float) -> None:
        """Record that a connection to the target was not accepted.

        The request was sent at `sent_ms`. It tells nothing if the caller had
        less time than a connection may take, or if this process stood still.
        """
        now_ms = self._clock.now_ms()
        if now_ms < sent_ms + CONNECT_MS:
            return
        if now_ms > self._observed_ms + MAX_OBSERVATION_GAP_MS:
            return
        since_ms = now_ms - CONNECT_MS
        if target.load.last_activity_ms <= since_ms:
            self._suspect(target, since_ms, 'not reached', since_ms)

    def is_suspected(self, target: Target) -> bool:
        """Whether new requests should avoid the target."""
        suspicion = self._find(target)
        if suspicion is None:
            return False
        if suspicion.own_since_ms is not None:
            return True
        tellers = len(self._tellers(suspicion))
        if tellers == 0 or tellers >= MIN_TELLERS:
            return tellers > 0
        return target.load.overdue_ms() >= OWN_WAIT_MS

    def may_probe(
        self, target: Target, repeatable: bool, objective_ms: float
    ) -> bool:
        """Whether a request may be sent to a suspected target as a probe."""
        if self._probe_credit < 1.0 or not self.is_suspected(target):
            return False
        suspicion = self._suspicions[target.lifetime]
        if target.load.is_open(suspicion.probe):
            return False
        due_ms = self._probe_due_ms(suspicion)
        if not repeatable:
            due_ms += UNSAFE_PROBE_DELAY_MS
        elif objective_ms < PROBE_TIME_MS:
            due_ms += TIGHT_PROBE_DELAY_MS
        return self._clock.now_ms() >= due_ms

    def record_sent(self, target: Target, request: InFlightRequest) -> None:
        """Record a request that is being sent to the target now."""
        target.suspected = self.is_suspected(target)
        if not target.suspected:
            credit = self._probe_credit + PROBE_SHARE
            self._probe_credit = min(MAX_PROBE_CREDIT, credit)
            return
        self._probe_credit = max(0.0, self._probe_credit - 1.0)
        suspicion = self._suspicions[target.lifetime]
        suspicion.probed_ms = self._clock.now_ms()
        suspicion.probe = request
        suspicion.probes += 1
        suspicion.probe_now = False
        self._metrics.count('gateway_silent_targets', 'probed')

    def to_send(self) -> list[Silence]:
        """Return what to tell the other entries."""
        now_ms = self._clock.now_ms()
        found: list[Silence] = []
        for suspicion in self._suspicions.values():
            target = suspicion.target
            self._find(target)
            silent_ms = heard_ms = None
            if suspicion.own_since_ms is not None:
                if now_ms >= suspicion.tell_from_ms:
                    silent_ms = now_ms - suspicion.own_since_ms
            elif self._has_news(suspicion, now_ms):
                heard_ms = now_ms - target.load.last_byte_ms
            if silent_ms is None and heard_ms is None:
                continue
            found.append(
                Silence(target.id, target.started_at_ms, silent_ms, heard_ms)
            )
        return found[:MAX_TOLD]

    def apply(self, sender: str, told: list[Silence]) -> None:
        """Apply all that another entry tells, in place of what it told."""
        now_ms = self._clock.now_ms()
        for suspicion in self._suspicions.values():
            suspicion.told_ms.pop(sender, None)
        for silence in told[:MAX_TOLD]:
            target = self._directory.get(silence.target_id)
            if (
                target is None
                or target.gone
                or target.started_at_ms != silence.started_at_ms
            ):
                continue
            if silence.silent_ms is not None:
                suspicion = self._find(target) or self._add(target)
                since_ms = now_ms - max(0.0, silence.silent_ms)
                suspicion.told_ms[sender] = (since_ms, now_ms)
            elif silence.heard_ms is not None:
                self.record_heard(target, max(0.0, silence.heard_ms))

    def record_heard(self, target: Target, age_ms: float) -> None:
        """Record that another entry heard from the target `age_ms` ago.

        An entry that suspects it by itself probes it at once, but does not
        take it for reachable: its own link may be cut.
        """
        heard_ms = self._clock.now_ms() - age_ms - MAX_TRANSIT_MS
        known_ms = target.load.others_heard_ms
        target.load.others_heard_ms = max(known_ms, heard_ms)
        suspicion = self._find(target)
        if suspicion is None or suspicion.own_since_ms is None:
            return
        if known_ms <= suspicion.own_since_ms < heard_ms:
            suspicion.probe_now = True
            suspicion.probes = 0

    def _suspect(
        self, target: Target, since_ms: float, why: str, tell_from_ms: float
    ) -> None:
        suspicion = self._find(target) or self._add(target)
        if suspicion.own_since_ms is not None:
            suspicion.tell_from_ms = min(suspicion.tell_from_ms, tell_from_ms)
            return
        suspicion.own_since_ms = since_ms
        suspicion.tell_from_ms = tell_from_ms
        now_ms = self._clock.now_ms()
        suspicion.probed_ms = now_ms
        self._metrics.count('gateway_silent_targets', 'suspected')
        logger.info(
            'target suspected',
            extra={
                'target': target.id,
                'why': why,
                'silent_ms': round(now_ms - since_ms),
            },
        )

    def _add(self, target: Target) -> _Suspicion:
        suspicion = _Suspicion(target, self._clock.now_ms())
        self._suspicions[target.lifetime] = suspicion
        return suspicion

    def _find(self, target: Target) -> _Suspicion | None:
        """Return the suspicion of a target, as far as no byte cleared it."""
        suspicion = self._suspicions.get(target.lifetime)
        if suspicion is None:
            return None
        heard_ms = target.load.last_byte_ms
        if (
            suspicion.own_since_ms is not None
            and heard_ms > suspicion.own_since_ms
        ):
            suspicion.own_since_ms = None
            suspicion.recovered_ms = self._clock.now_ms()
            self._metrics.count('gateway_silent_targets', 'heard')
            logger.info('target heard again', extra={'target': target.id})
        return suspicion

    def _tellers(self, suspicion: _Suspicion) -> list[str]:
        """Return the entries whose suspicion nobody's byte has cleared."""
        oldest_ms = self._clock.now_ms() - TOLD_TTL_MS
        heard_ms = max(
            suspicion.target.load.last_byte_ms,
            suspicion.target.load.others_heard_ms,
        )
        return [
            entry
            for entry, (since_ms, told_ms) in suspicion.told_ms.items()
            if told_ms >= oldest_ms and since_ms > heard_ms
        ]

    def _has_news(self, suspicion: _Suspicion, now_ms: float) -> bool:
        """Whether a byte came that those who suspect the target don't know."""
        if now_ms < suspicion.recovered_ms + RECOVERED_MS:
            return True
        heard_ms = suspicion.target.load.last_byte_ms
        return any(
            since_ms < heard_ms and now_ms < told_ms + TOLD_TTL_MS
            for since_ms, told_ms in suspicion.told_ms.values()
        )

    def _probe_due_ms(self, suspicion: _Suspicion) -> float:
        """Return when this entry may probe the target next."""
        if suspicion.probe_now:
            return -inf
        age_ms = self._clock.now_ms() - suspicion.began_ms
        turn = int(age_ms // PROBER_TURN_MS)
        key = f'{suspicion.target.lifetime} {turn % PROBER_TURNS}'
        if self._fleet.is_selected(key, PROBERS):
            last_ms = suspicion.probed_ms
            if turn:
                turn_ms = suspicion.began_ms + turn * PROBER_TURN_MS
                last_ms = max(last_ms, turn_ms)
            return last_ms + PROBE_INTERVAL_MS
        if self._tellers(suspicion):
            return inf
        interval_ms = ALONE_INTERVAL_MS * float(2 ** min(suspicion.probes, 8))
        last_ms = max(suspicion.probed_ms, suspicion.began_ms)
        return last_ms + min(MAX_ALONE_INTERVAL_MS, interval_ms)

    def _drop_settled(self) -> None:
        """Drop lifetimes that are gone or that nobody suspects any more."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - TOLD_TTL_MS
        for key, suspicion in list(self._suspicions.items()):
            self._find(suspicion.target)
            target = suspicion.target
            replaced = self._directory.get(target.id) is not target
            if (
                target.gone
                or replaced
                or not (
                    suspicion.own_since_ms is not None
                    or now_ms < suspicion.recovered_ms + RECOVERED_MS
                    or any(
                        at >= oldest_ms for _, at in suspicion.told_ms.values()
                    )
                )
            ):
                del self._suspicions[key]
