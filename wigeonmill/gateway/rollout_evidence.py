"""Whether a new software version is bad, from counts of all entries.

Compares the new version with the old ones on the same routes at the same
time. A share of failures is normal on some routes, so that only a difference
beyond chance counts, and not one that a single machine or failure domain
makes.
"""

from bisect import insort
import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import enum
import math

# Chance with which one look convicts a good version. A rollout has some
# hundred looks at a few routes.
CONVICTING_CHANCE = 2e-5
# The same for the other machines, without the one that looks worst.
OTHERS_CHANCE = 1e-3
# Chance below which a difference holds up the rollout.
SUSPICIOUS_CHANCE = 3e-3
# Bad answers beyond those that the old versions' share explains, from which a
# version is given up before the difference is certain.
MAX_EXCESS = 30.0
# The same in standard deviations of their usual number, if that is more.
EXCESS_DEVIATIONS = 4.5
# Old answers beside each new one, by which times of the same load compare.
PAIRED_PART = 0.25
# With a smaller excess on the other machines, one machine alone is bad; with
# fewer answers of them, that is not known.
MIN_OTHER_EXCESS = 5.0
MIN_OTHER_ANSWERS = 20
# Several times what old answers take.
SLOW_FACTOR = 2.5
# Times below this differ by chance.
MIN_SLOW_MS = 40.0
RECENT_TIMES = 64
MIN_TIMES = 8
MAX_PENDING = 512
# A recent change shows in the answers of this time.
WINDOW_MS = 2_000.0
SNAPSHOT_MS = 500.0
# A version is proven if one with such a share of bad answers beyond the usual
# ones would have shown more, but for this chance.
BAD_PART = 1.0 / 3.0
MISSED_CHANCE = 0.05
# With few requests, the new version needs the old ones' answers by this.
MIN_PART = 10
OLD = ''


@dataclass(slots=True)
class Tally:
    """Answers, and how many of them were failures or slow."""

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.answers += other.answers
        self.failed += other.failed
        self.slow += other.slow

    def minus(self, other: 'Tally') -> 'Tally':
        """Return what has come since an earlier state of the counts."""
        return Tally(
            self.answers - other.answers,
            self.failed - other.failed,
            self.slow - other.slow,
        )


_NOTHING = Tally()

# By route and target of the new version; the old ones have the target OLD.
Counts = dict[tuple[str, str], Tally]


class Judgement(enum.Enum):
    """What the counts say about the new version."""

    BAD = 'bad'
    SUSPICIOUS = 'suspicious'
    UNKNOWN = 'unknown'
    GOOD = 'good'


@dataclass(frozen=True, slots=True)
class Finding:
    """A judgement with the counts that it rests on."""

    judgement: Judgement
    route: str = ''
    kind: str = ''
    bad: int = 0
    answers: int = 0
    old_bad: int = 0
    old_answers: int = 0


@dataclass(frozen=True, slots=True)
class UsualTimes:
    """Medians of recent answers of the old versions on one route, in ms."""

    count: int
    first_ms: float
    whole_ms: float


class RecentTimes:
    """The times that the last answers of the old versions took."""

    __slots__ = ('_order', '_sorted')

    def __init__(self) -> None:
        self._order: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, took_ms: float) -> None:
        """Add the time of an answer."""
        self._order.append(took_ms)
        insort(self._sorted, took_ms)
        if len(self._order) > RECENT_TIMES:
            self._sorted.remove(self._order.popleft())

    def median_ms(self) -> float:
        """Return their median; there must be one."""
        return self._sorted[len(self._sorted) // 2]


@dataclass(frozen=True, slots=True)
class _Answer:
    route: str
    target: str
    first_ms: float
    whole_ms: float
    cold_cache_ms: float


class OwnEvidence:
    """What this entry has seen since the order; counts only rise.

    With few requests of its own, it goes by the usual times of all entries.
    `compares_times` is set while the old versions get requests of this entry:
    later, their times are those of another load.
    """

    __slots__ = (
        'counts',
        'compares_times',
        '_first_ms',
        '_whole_ms',
        '_shared',
        '_pending',
    )

    def __init__(self) -> None:
        self.counts: Counts = {}
        self.compares_times = True
        self._first_ms: dict[str, RecentTimes] = {}
        self._whole_ms: dict[str, RecentTimes] = {}
        self._shared: Mapping[str, UsualTimes] = {}
        # Answers that came before the usual times were known.
        self._pending: collections.deque[_Answer] = collections.deque(
            maxlen=MAX_PENDING
        )

    def times(self) -> dict[str, UsualTimes]:
        """Return the usual times by route, as this entry has seen them."""
        return {
            route: UsualTimes(
                len(whole),
                self._first_ms[route].median_ms(),
                whole.median_ms(),
            )
            for route, whole in self._whole_ms.items()
        }

    def record(
        self,
        route: str,
        target: str,
        failed: bool,
        first_ms: float,
        whole_ms: float,
        cold_cache_ms: float = 0.0,
    ) -> None:
        """Record an answer: the times to its first piece and to its end.

        `target` is OLD for any old version. A target whose cache is cold may
        take `cold_cache_ms` for what the old ones have read already.
        """
        if failed:
            self._count(route, target).failed += 1
            return
        answer = _Answer(route, target, first_ms, whole_ms, cold_cache_ms)
        usual = self._usual(route)
        if target == OLD:
            self._first_ms.setdefault(route, RecentTimes()).add(first_ms)
            self._whole_ms.setdefault(route, RecentTimes()).add(whole_ms)
        elif not self.compares_times:
            usual = None
        elif usual is None:
            self._pending.append(answer)
            return
        self._count_answer(answer, usual)

    def settle(self, shared: Mapping[str, UsualTimes]) -> None:
        """Take the usual times of all entries; judge what waits for them."""
        self._shared = shared
        for _ in range(len(self._pending)):
            answer = self._pending.popleft()
            usual = self._usual(answer.route)
            if usual is None:
                self._pending.append(answer)
            else:
                self._count_answer(answer, usual)

    def is_slow(
        self, route: str, took_ms: float, cold_cache_ms: float
    ) -> bool:
        """Whether a whole answer takes several times the usual time."""
        usual = self._usual(route) if self.compares_times else None
        return usual is not None and _exceeds(
            took_ms, usual.whole_ms, cold_cache_ms
        )

    def _usual(self, route: str) -> UsualTimes | None:
        whole = self._whole_ms.get(route)
        if whole is None or len(whole) < MIN_TIMES:
            return self._shared.get(route)
        return UsualTimes(
            len(whole), self._first_ms[route].median_ms(), whole.median_ms()
        )

    def _count_answer(self, answer: _Answer, usual: UsualTimes | None) -> None:
        tally = self._count(answer.route, answer.target)
        if usual is not None and (
            _exceeds(answer.first_ms, usual.first_ms, answer.cold_cache_ms)
            or _exceeds(answer.whole_ms, usual.whole_ms, answer.cold_cache_ms)
        ):
            tally.slow += 1

    def _count(self, route: str, target: str) -> Tally:
        tally = self.counts.setdefault((route, target), Tally())
        tally.answers += 1
        return tally


def _exceeds(took_ms: float, usual_ms: float, cold_cache_ms: float) -> bool:
    return took_ms > SLOW_FACTOR * max(usual_ms, cold_cache_ms, MIN_SLOW_MS)


class FleetEvidence:
    """The counts of all entries; those of a lost entry stay."""

    __slots__ = (
        '_by_entry',
        '_merged',
        '_times',
        '_snapshots',
        '_pairs',
    )

    def __init__(self) -> None:
        self._by_entry: dict[str, Counts] = {}
        self._merged: Counts = {}
        self._times: dict[str, Mapping[str, UsualTimes]] = {}
        self._snapshots: collections.deque[tuple[float, Counts]] = (
            collections.deque()
        )
        self._pairs = PairedTimes()

    def replace(
        self, entry: str, counts: Counts, times: Mapping[str, UsualTimes]
    ) -> None:
        """Take the totals of a process, unless later ones are known."""
        known = self._by_entry.setdefault(entry, {})
        if _answers(counts) < _answers(known):
            return
        self._times[entry] = times
        for key, tally in counts.items():
            last = known.get(key, _NOTHING)
            if tally != last:
                self._merged.setdefault(key, Tally()).add(tally.minus(last))
                known[key] = tally.minus(_NOTHING)

    def totals(self) -> tuple[Tally, Tally]:
        """Return all counts of the new version and of the old ones."""
        new, old = Tally(), Tally()
        for (_route, target), tally in self._merged.items():
            (old if target == OLD else new).add(tally)
        return new, old

    def new_by_route(self) -> dict[str, int]:
        """Return the answers of the new version by route."""
        found: dict[str, int] = {}
        for (route, target), tally in self._merged.items():
            count = 0 if target == OLD else tally.answers
            found[route] = found.get(route, 0) + count
        return found

    def usual_times(self) -> dict[str, UsualTimes]:
        """Return the usual times of routes that have enough of them."""
        by_route: dict[str, list[UsualTimes]] = {}
        for times in self._times.values():
            for route, usual in times.items():
                by_route.setdefault(route, []).append(usual)
        return {
            route: UsualTimes(
                sum(usual.count for usual in found),
                _median((usual.first_ms, usual.count) for usual in found),
                _median((usual.whole_ms, usual.count) for usual in found),
            )
            for route, found in by_route.items()
            if sum(usual.count for usual in found) >= MIN_TIMES
        }

    def judge(
        self, now_ms: float, domains: Mapping[str, str], min_answers: int
    ) -> Finding:
        """Judge all answers since the order, and the last ones alone."""
        merged = self._merged
        self._pairs.update(merged)
        finding = judge(merged, domains, min_answers, times=self._pairs)
        recent = self._since(now_ms, merged)
        if recent is None or finding.judgement is Judgement.BAD:
            return finding
        times = PairedTimes()
        times.update(recent)
        late = judge(recent, domains, 0, merged, times)
        if late.judgement in (Judgement.BAD, Judgement.SUSPICIOUS):
            return late
        return finding

    def is_proven(self, now_ms: float) -> bool:
        """Whether a bad version would have shown on each route, and lately.

        Looks at the answers of the last time on all routes together.
        """
        routes = {route for route, _target in self._merged}
        recent = self._since(now_ms, self._merged)
        return (
            bool(routes)
            and recent is not None
            and all(_is_proven(self._merged, {route}) for route in routes)
            and _is_proven(recent, routes)
        )

    def _since(self, now_ms: float, merged: Counts) -> Counts | None:
        """Return the counts of the last time, and keep the current ones."""
        snapshots = self._snapshots
        if not snapshots or now_ms - snapshots[-1][0] >= SNAPSHOT_MS:
            copy = {key: t.minus(_NOTHING) for key, t in merged.items()}
            snapshots.append((now_ms, copy))
        while len(snapshots) > 1 and now_ms - snapshots[1][0] >= WINDOW_MS:
            snapshots.popleft()
        at_ms, before = snapshots[0]
        if now_ms - at_ms < SNAPSHOT_MS:
            return None
        return {
            key: tally.minus(before.get(key, _NOTHING))
            for key, tally in merged.items()
        }


class PairedTimes:
    """The answers of both versions from times in which both had some.

    When all are slower for a while, a version that has all requests then is
    not compared with what the others were before.
    """

    __slots__ = ('counts', 'expected', '_paired')

    def __init__(self) -> None:
        self.counts: Counts = {}
        # Slow answers of the new version, at the old one's rates at the time.
        self.expected: dict[str, float] = {}
        self._paired: Counts = {}

    def update(self, counts: Counts) -> None:
        """Take in totals; answers without old ones beside them wait."""
        by_route: dict[str, dict[str, Tally]] = {}
        for (route, target), tally in counts.items():
            since = tally.minus(self._paired.get((route, target), _NOTHING))
            if since.answers:
                by_route.setdefault(route, {})[target] = since
        for route, added in by_route.items():
            old = added.get(OLD, _NOTHING)
            new = sum(t.answers for t in added.values()) - old.answers
            if not old.answers or old.answers < PAIRED_PART * new:
                continue
            self.expected[route] = (
                self.expected.get(route, 0.0) + new * old.slow / old.answers
            )
            for target, tally in added.items():
                key = route, target
                self.counts.setdefault(key, Tally()).add(tally)
                self._paired[key] = counts[key].minus(_NOTHING)


def judge(
    counts: Counts,
    domains: Mapping[str, str],
    min_answers: int,
    usual: Counts | None = None,
    times: PairedTimes | None = None,
) -> Finding:
    """Compare the new version with the old ones, route by route.

    The old versions' rate of failures is at least that of `usual`, if it is
    set. What is slow is compared within `times`.

    `domains` has the failure domain of each target. Good is a version with
    `min_answers` on each route, or a tenth of the old ones' if that is less.
    """
    if usual is None:
        usual = counts
    if times is None:
        times = PairedTimes()
        times.update(counts)
    variance = 0.0
    routes = sorted({route for route, _target in counts})
    worst = Finding(Judgement.GOOD)
    excess: dict[str, float] = {}
    answers: dict[str, int] = {}
    for route in routes:
        old = counts.get((route, OLD), Tally())
        new = {
            target: tally
            for (name, target), tally in counts.items()
            if name == route and target != OLD and tally.answers
        }
        before = usual.get((route, OLD), _NOTHING)
        failing = _highest_rate(before.failed, before.answers)
        for finding in (
            _compare(route, 'failed', old, new, domains, failing),
            _compare_slow(route, times, domains),
        ):
            if finding.judgement is Judgement.BAD:
                return finding
            if finding.judgement is Judgement.SUSPICIOUS:
                worst = finding
        beside = times.counts.get((route, OLD), _NOTHING)
        slow = _highest_rate(beside.slow, beside.answers)
        for target, tally in new.items():
            if not before.answers:
                break
            paired = times.counts.get((route, target), _NOTHING)
            expected = failing * tally.answers + slow * paired.answers
            variance += expected
            bad = tally.failed + paired.slow
            excess[target] = excess.get(target, 0.0) + bad - expected
            answers[target] = answers.get(target, 0) + tally.answers
        seen = sum(tally.answers for tally in new.values())
        if seen < min(min_answers, old.answers // MIN_PART):
            if worst.judgement is Judgement.GOOD:
                worst = Finding(
                    Judgement.UNKNOWN,
                    route,
                    answers=seen,
                    old_answers=old.answers,
                )
    for finding in (
        _compare_all(counts, 'failed', domains, usual),
        _compare_all(times.counts, 'slow', domains, times.counts),
    ):
        if finding.judgement is Judgement.BAD:
            return finding
        if finding.judgement is Judgement.SUSPICIOUS:
            worst = finding
    total = sum(excess.values())
    limit = max(MAX_EXCESS, EXCESS_DEVIATIONS * math.sqrt(variance))
    if total >= limit and not _one_place_alone(excess, answers, domains):
        bad = sum(t.failed + t.slow for k, t in counts.items() if k[1] != OLD)
        return Finding(Judgement.BAD, '', 'excess', bad, sum(answers.values()))
    return worst


def _compare_slow(
    route: str, times: PairedTimes, domains: Mapping[str, str]
) -> Finding:
    new = {
        target: tally
        for (name, target), tally in times.counts.items()
        if name == route and target != OLD and tally.answers
    }
    answers = sum(tally.answers for tally in new.values())
    rate = times.expected.get(route, 0.0) / answers if answers else 0.0
    old = times.counts.get((route, OLD), _NOTHING)
    return _compare(route, 'slow', old, new, domains, min(1.0, rate))


def _compare_all(
    counts: Counts, kind: str, domains: Mapping[str, str], usual: Counts
) -> Finding:
    """Compare one kind of bad answers on all routes together.

    With few requests, no route alone has enough. Each route counts with the
    rate of the old versions there, in `counts` or `usual`.
    """
    old = Tally()
    new: dict[str, Tally] = {}
    expected = 0.0
    for (route, target), tally in counts.items():
        if target == OLD:
            old.add(tally)
            continue
        new.setdefault(target, Tally()).add(tally)
        expected += tally.answers * max(
            (getattr(there, kind) + 1.0) / (there.answers + 2.0)
            for there in (
                counts.get((route, OLD), _NOTHING),
                usual.get((route, OLD), _NOTHING),
            )
        )
    answers = sum(tally.answers for tally in new.values())
    usual_rate = expected / answers if answers else 0.0
    return _compare('', kind, old, new, domains, usual_rate)


def _compare(
    route: str,
    kind: str,
    old: Tally,
    new: Mapping[str, Tally],
    domains: Mapping[str, str],
    usual_rate: float = 0.0,
) -> Finding:
    """Compare one kind of bad answers on one route.

    The old versions' rate counts as at least `usual_rate`. The difference must
    remain without the worst target and without the worst failure domain.
    """
    bad = {target: getattr(tally, kind) for target, tally in new.items()}
    answers = {target: tally.answers for target, tally in new.items()}
    old_bad = getattr(old, kind)
    rate = max(usual_rate, _highest_rate(old_bad, old.answers))
    chance = _tail(sum(bad.values()), sum(answers.values()), rate)
    judgement = Judgement.GOOD
    if chance < SUSPICIOUS_CHANCE:
        others = [
            rest
            for rest in _without_worst(bad, domains)
            if any(answers[target] for target in rest)
        ]
        other_chances = [
            _tail(
                sum(bad[target] for target in rest),
                sum(answers[target] for target in rest),
                rate,
            )
            for rest in others
        ]
        if (
            other_chances
            and chance < CONVICTING_CHANCE
            and max(other_chances) < OTHERS_CHANCE
        ):
            judgement = Judgement.BAD
        elif (
            not other_chances
            or max(other_chances) < SUSPICIOUS_CHANCE
            or min(sum(answers[t] for t in rest) for rest in others)
            < MIN_OTHER_ANSWERS
        ):
            judgement = Judgement.SUSPICIOUS
    return Finding(
        judgement,
        route,
        kind,
        sum(bad.values()),
        sum(answers.values()),
        old_bad,
        old.answers,
    )


def _without_worst(
    bad: Mapping[str, float], domains: Mapping[str, str]
) -> list[list[str]]:
    """Return the targets without the worst one, and without its domain.

    The domain is the worst one. It is left out only if there are others.
    """
    if not bad:
        return []
    worst = max(bad, key=lambda target: (bad[target], target))
    by_domain: dict[str, float] = {}
    for target, count in bad.items():
        domain = domains.get(target, '')
        by_domain[domain] = by_domain.get(domain, 0.0) + count
    worst_domain = max(by_domain, key=lambda name: (by_domain[name], name))
    rests = [[target for target in bad if target != worst]]
    if len(by_domain) > 1:
        rests.append([t for t in bad if domains.get(t, '') != worst_domain])
    return [rest for rest in rests if rest]


def _one_place_alone(
    excess: Mapping[str, float],
    answers: Mapping[str, int],
    domains: Mapping[str, str],
) -> bool:
    """Whether one machine or domain makes the excess, as far as known."""
    return any(
        sum(answers[target] for target in rest) >= MIN_OTHER_ANSWERS
        and sum(excess[target] for target in rest) < MIN_OTHER_EXCESS
        for rest in _without_worst(excess, domains)
    )


def _is_proven(counts: Counts, routes: Collection[str]) -> bool:
    """Whether a bad version would show more bad answers on these routes."""
    old, new = Tally(), Tally()
    for (route, target), tally in counts.items():
        if route in routes:
            (old if target == OLD else new).add(tally)
    usual = (old.failed + old.slow) / old.answers if old.answers else 0.0
    good = new.answers - new.failed - new.slow
    good_rate = (1.0 - min(1.0, usual)) * (1.0 - BAD_PART)
    return _tail(good, new.answers, good_rate) < MISSED_CHANCE


def _highest_rate(bad: int, answers: int) -> float:
    """Return the highest rate that the old versions plausibly have."""
    return min(1.0, (bad + 1.0 + math.sqrt(bad + 1.0)) / (answers + 3.0))


def _tail(bad: int, answers: int, rate: float) -> float:
    """Return the chance of at least `bad` of `answers` at this rate."""
    if bad <= 0 or rate >= 1.0:
        return 1.0
    if bad <= rate * answers:
        return 1.0
    if rate <= 0.0:
        return 0.0
    log_rate, log_rest = math.log(rate), math.log1p(-rate)
    total = 0.0
    for count in range(bad, answers + 1):
        term = math.exp(
            math.lgamma(answers + 1)
            - math.lgamma(count + 1)
            - math.lgamma(answers - count + 1)
            + count * log_rate
            + (answers - count) * log_rest
        )
        total += term
        if term < total * 1e-6:
            break
    return min(1.0, total)


def _median(weighted: Iterable[tuple[float, int]]) -> float:
    """Return the weighted median of some values."""
    ordered = sorted(weighted)
    half = sum(weight for _value, weight in ordered) / 2.0
    passed = 0
    for value, weight in ordered:
        passed += weight
        if passed >= half:
            return value
    return ordered[-1][0]


def _answers(counts: Counts) -> int:
    return sum(tally.answers for tally in counts.values())
