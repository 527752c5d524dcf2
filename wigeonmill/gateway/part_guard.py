"""Finds prompt parts that crash targets, and blocks requests with them.

When a target ends, every run on it is lost, and each entry knows only its own.
A sound part is lost now and then, but it is also served. A part that crashes
targets is only lost, at one target after the other.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import logging

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.loss_events import count_events
from wigeonmill.gateway.loss_events import LossTimes
from wigeonmill.gateway.loss_events import LossWitness
from wigeonmill.gateway.loss_log import LOSS_TTL_MS
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.loss_log import RunOutcome
from wigeonmill.gateway.request import Generation
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# A part is quarantined after at least this many events in which targets were
# lost under it, without a run that was served, and if the chance that a sound
# part was lost as often is this small.
MIN_CRASHES = 3
MAX_CHANCE = 0.002
# The same by the runs at the services that lost the targets, which are fewer.
MAX_CHANCE_AT_SERVICES = 0.05
# Of several parts that were lost together, one is blamed alone if it crashes
# this many more targets without the others.
MIN_CRASHES_ALONE = 2
MAX_CHANCE_ALONE = 0.005
QUARANTINE_MS = 600_000.0
# Age of a quarantine from which the first entry may send one request with its
# parts; the last one may this much later, unless another entry did.
PROBE_AFTER_MS = 2_000.0
PROBE_SPREAD_MS = 6_000.0
# After a quarantine, a single crash quarantines again within this time.
PROBATION_MS = 600_000.0
# Maximum time for which a report is under way. Its age does not include it, so
# that what it reports seems to have begun later by as much.
MAX_TRANSIT_MS = 10_000.0
MAX_SUSPECTS = 4096
MAX_LIFETIMES = 32
MAX_QUARANTINES = 64
# Parts of a request that are considered, and old suspects that are compared
# when one must be evicted.
MAX_PARTS = 64
EVICTION_SAMPLE = 64


def part_keys(generation: Generation | None) -> tuple[bytes, ...]:
    """Return the keys of the parts that a request shares with others.

    The last part belongs to the request alone.
    """
    if generation is None:
        return ()
    keys = (
        xxhash.xxh3_128_digest(f'{generation.model}\n{part.id}'.encode())
        for part in generation.shared_parts[:MAX_PARTS]
    )
    return tuple(dict.fromkeys(keys))


@dataclass(frozen=True, slots=True)
class _Loss:
    """The loss of a target under a part.

    `keys` are the parts of the requests with this one that it was running.
    """

    times: LossTimes
    keys: frozenset[bytes]

    @property
    def at_ms(self) -> float:
        """When the target was lost."""
        return self.times.at_ms

    def including(self, other: '_Loss') -> '_Loss':
        """Return the same loss, noticed under another run as well."""
        times, keys = self.times, self.keys
        if other.times.began_ms < times.began_ms:
            times = replace(times, began_ms=other.times.began_ms)
        if len(keys) < MAX_PARTS:
            keys |= other.keys
        return _Loss(times, keys)


@dataclass(frozen=True, slots=True)
class _Runs:
    """Numbers of an entry's runs of one group."""

    lost: int = 0
    served: int = 0


@dataclass(slots=True)
class _Suspect:
    """A part under which targets were lost, by their lifetimes.

    `runs_before` are the entry's runs by group before the first loss that
    counts; `own_losses` are those of this part since then.
    """

    losses: dict[str, _Loss] = field(default_factory=dict)
    served_ms: float = float('-inf')
    told_ms: float = float('-inf')
    runs_before: dict[str | None, _Runs] = field(default_factory=dict)
    own_losses: int = 0

    @property
    def last_ms(self) -> float:
        """The time of the last loss."""
        times = (loss.at_ms for loss in self.losses.values())
        return max(times, default=float('-inf'))


@dataclass(slots=True)
class Quarantine:
    """Parts that requests must not have in common.

    If several parts were always lost together, `parts` holds all of them, and
    requests with only some of them are still sent. `lifetimes` are the targets
    that were lost under them. `probed` is set once a request was admitted in
    spite of it, and `probe_sent` once it was sent by any entry.
    """

    parts: frozenset[bytes]
    since_ms: float
    lifetimes: set[str] = field(default_factory=set)
    probed: bool = False
    probe_sent: bool = False


class PartGuard:
    """Tracks which prompt parts are lost with their targets."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_log',
        '_suspects',
        '_quarantines',
        '_probations',
        '_runs',
        '_service_of',
        '_witness',
        '_position',
        '_started_ms',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: LossLog,
        position: Callable[[], float],
        service_of: Callable[[str], str],
        witness: LossWitness,
    ) -> None:
        """Create the guard of an entry.

        `position` returns that of the entry among all of them, from 0 to 1,
        and `service_of` the service of a lifetime, which is empty if the
        target is not known.
        """
        self._position = position
        self._service_of = service_of
        self._witness = witness
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._metrics = metrics
        self._log = log
        self._suspects: dict[bytes, _Suspect] = {}
        self._quarantines: list[Quarantine] = []
        # The end of each probation.
        self._probations: dict[frozenset[bytes], float] = {}
        # By service; those without shared parts, which may be of another
        # kind, are under None.
        self._runs: dict[str | None, _Runs] = {}

    def find(self, keys: Collection[bytes]) -> Quarantine | None:
        """Return the quarantine that forbids a request with these parts."""
        if any(self._is_suspicious(key) for key in keys):
            self._judge(tuple(keys))
        if not self._quarantines:
            return None
        self._expire()
        for quarantine in self._quarantines:
            if quarantine.parts.issubset(keys):
                return quarantine
        return None

    def peek(self, keys: Collection[bytes]) -> Quarantine | None:
        """Return the quarantine in force for these parts; change nothing."""
        for quarantine in self._quarantines:
            if self.remaining_ms(quarantine) > 0 and quarantine.parts.issubset(
                keys
            ):
                return quarantine
        return None

    def admit(self, keys: Collection[bytes]) -> Quarantine | None:
        """Return the quarantine that forbids a new request, if any does.

        One request is admitted in spite of a quarantine. If its parts were
        blamed wrongly, it is served and releases them; nothing else could,
        because no request with them is sent. As callers may reach some of the
        entries only, each of them may admit it, but at another time.
        """
        quarantine = self.find(keys)
        if quarantine is None or quarantine.probed:
            return quarantine
        age_ms = self._clock.now_ms() - quarantine.since_ms
        if age_ms < PROBE_AFTER_MS + self._position() * PROBE_SPREAD_MS:
            return quarantine
        quarantine.probed = True
        self._metrics.count('gateway_part_quarantines', 'probed')
        logger.info(
            'prompt parts probed',
            extra={'parts': sorted(key.hex() for key in quarantine.parts)},
        )
        return None

    def record_probe_sent(self, probe: Quarantine) -> None:
        """Record that the admitted request was sent to a target."""
        probe.probe_sent = True

    def give_back(self, probe: Quarantine) -> None:
        """Let another request probe, as the admitted one was not sent."""
        probe.probed = False

    def _is_suspicious(self, key: bytes) -> bool:
        suspect = self._suspects.get(key)
        return suspect is not None and len(suspect.losses) >= MIN_CRASHES

    def remaining_ms(self, quarantine: Quarantine) -> float:
        """Return the time until a quarantine ends."""
        return quarantine.since_ms + QUARANTINE_MS - self._clock.now_ms()

    def quarantines(self) -> list[Quarantine]:
        """Return all quarantines in force."""
        self._expire()
        return list(self._quarantines)

    def record_lost(
        self, keys: Collection[bytes], lifetime: str, ran_ms: float = 0.0
    ) -> None:
        """Record that a target was lost, with a request of `ran_ms`."""
        service = self._service_of(lifetime) if keys else None
        runs = self._runs.get(service, _Runs())
        self._runs[service] = _Runs(runs.lost + 1, runs.served)
        outcome = RunOutcome(tuple(keys), lifetime, ran_ms)
        self._add_losses(outcome, self._clock.now_ms(), local=True)

    def record_served(
        self, keys: Collection[bytes], service: str = '', domain: str = ''
    ) -> None:
        """Record that a target lived on while it served."""
        self._witness.record_served(domain)
        group = service if keys else None
        runs = self._runs.get(group, _Runs())
        self._runs[group] = _Runs(runs.lost, runs.served + 1)
        now_ms = self._clock.now_ms()
        to_tell = []
        for key in keys:
            released = self._clear(key, now_ms)
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            # A part that was lost once is not quarantined soon.
            repeated = len(suspect.losses) > 1
            if released or (repeated and suspect.last_ms > suspect.told_ms):
                suspect.told_ms = now_ms
                to_tell.append(key)
        if to_tell:
            self._log.add_parts(RunOutcome(tuple(to_tell)), now_ms, True)

    def record_remote(self, outcome: RunOutcome, age_ms: float) -> None:
        """Record what another entry observed `age_ms` ago."""
        at_ms = self._clock.now_ms() - age_ms
        if outcome.lifetime:
            self._add_losses(outcome, at_ms, local=False)
            return
        cleared = []
        for key in outcome.keys:
            suspect = self._suspects.get(key)
            is_news = suspect is not None and suspect.served_ms < at_ms
            if self._clear(key, at_ms) or is_news:
                cleared.append(key)
        if cleared:
            self._log.add_parts(RunOutcome(tuple(cleared)), at_ms, False)

    def adopt(
        self,
        parts: Iterable[bytes],
        age_ms: float,
        source: str,
        probe_sent: bool = False,
    ) -> None:
        """Put a quarantine in force that began `age_ms` ago elsewhere."""
        group = frozenset(parts)
        since_ms = self._clock.now_ms() - age_ms
        served_since = any(
            self._is_released(key, since_ms, self._suspects[key].served_ms)
            for key in group
            if key in self._suspects
        )
        if group and not served_since and age_ms < QUARANTINE_MS:
            self._quarantine(Quarantine(group, since_ms), source)
        for known in self._quarantines:
            if probe_sent and known.parts == group:
                known.probed = known.probe_sent = True

    def _add_losses(
        self, outcome: RunOutcome, at_ms: float, local: bool
    ) -> None:
        new = False
        times = self._witness.times(outcome.lifetime, at_ms, outcome.ran_ms)
        loss = _Loss(times, frozenset(outcome.keys))
        for key in outcome.keys:
            new = self._add_loss(key, outcome.lifetime, loss, local) or new
        if not new:
            return
        self._log.add_parts(outcome, at_ms, local)
        for quarantine in self._quarantines:
            if quarantine.parts.issubset(outcome.keys):
                quarantine.lifetimes.add(outcome.lifetime)
        if not self._renews_quarantine(outcome.keys):
            self._judge(outcome.keys)

    def _renews_quarantine(self, keys: tuple[bytes, ...]) -> bool:
        """Quarantine again what was lost in its probation."""
        now_ms = self._clock.now_ms()
        for group, until_ms in self._probations.items():
            if group.issubset(keys) and now_ms < until_ms:
                self._quarantine(Quarantine(group, now_ms), 'probation')
                return True
        return False

    def _add_loss(
        self, key: bytes, lifetime: str, loss: _Loss, local: bool
    ) -> bool:
        """Record the loss of a target under one part, unless it is known."""
        # A process that has just started does not know what was served after
        # earlier losses. Its peers tell it which parts are to blame.
        oldest_ms = max(self._started_ms, self._clock.now_ms() - LOSS_TTL_MS)
        if loss.at_ms < oldest_ms:
            return False
        suspect = self._suspects.pop(key, None) or _Suspect()
        self._suspects[key] = suspect
        self._evict()
        known = suspect.losses.get(lifetime)
        if known is not None:
            suspect.losses[lifetime] = known.including(loss)
            suspect.own_losses += local
            return False
        if not self._counting_losses(suspect):
            suspect.runs_before = dict(self._runs)
            suspect.own_losses = 0
        elif local:
            suspect.own_losses += 1
        suspect.losses[lifetime] = loss
        if len(suspect.losses) > MAX_LIFETIMES:
            del suspect.losses[next(iter(suspect.losses))]
        return True

    def _evict(self) -> None:
        """Evict a suspect if there are too many, one that was lost once."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        oldest = list(
            zip(range(EVICTION_SAMPLE), self._suspects, strict=False)
        )
        evicted = oldest[0][1]
        for _number, key in oldest:
            if len(self._suspects[key].losses) <= 1:
                evicted = key
                break
        del self._suspects[evicted]

    def _counting_losses(self, suspect: _Suspect) -> set[str]:
        """Return the lifetimes that count against a part.

        They were lost since it was served and have not expired, and were not
        lost together with parts that are quarantined.
        """
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        return {
            lifetime
            for lifetime, loss in suspect.losses.items()
            if loss.at_ms > suspect.served_ms
            and loss.at_ms >= oldest_ms
            and not self._is_explained(loss)
        }

    def _is_explained(self, loss: _Loss) -> bool:
        """Whether quarantined parts were lost with the target, too."""
        return any(
            quarantine.parts <= loss.keys for quarantine in self._quarantines
        )

    def _judge(self, keys: tuple[bytes, ...]) -> None:
        """Quarantine the parts of a lost request that are to blame."""
        blamed = {
            key: lifetimes
            for key in keys
            if (lifetimes := self._blamed_for(key, keys))
        }
        if not blamed:
            return
        worst = max(blamed, key=lambda key: (len(blamed[key]), key))
        group = frozenset(
            key
            for key, lifetimes in blamed.items()
            if key == worst
            or self._events(key, lifetimes & blamed[worst]) >= MIN_CRASHES
        )
        quarantine = Quarantine(group, self._clock.now_ms())
        self._quarantine(quarantine, 'crashes')

    def _blamed_for(self, key: bytes, keys: tuple[bytes, ...]) -> set[str]:
        """Return the lifetimes that a part has ended, if it is to blame."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return set()
        lifetimes = self._counting_losses(suspect)
        needed, max_chance = MIN_CRASHES, MAX_CHANCE
        if self._is_lost_without_others(key, keys):
            needed, max_chance = MIN_CRASHES_ALONE, MAX_CHANCE_ALONE
        if self._events(key, lifetimes) < needed:
            return set()
        if self._may_be_chance(key, suspect, lifetimes, max_chance):
            return set()
        if self._are_explained(key, lifetimes):
            return set()
        return lifetimes

    def _events(self, key: bytes, lifetimes: Iterable[str]) -> int:
        """Return in how many events these targets were lost under a part."""
        losses = self._suspects[key].losses
        return count_events(losses[lifetime].times for lifetime in lifetimes)

    def _is_lost_without_others(
        self, key: bytes, keys: tuple[bytes, ...]
    ) -> bool:
        """Whether other parts are quarantined together with this one."""
        return any(
            key in quarantine.parts and not quarantine.parts.issubset(keys)
            for quarantine in self._quarantines
        )

    def _are_explained(self, key: bytes, lifetimes: set[str]) -> bool:
        """Whether these lifetimes, but for one event, ended under others.

        Those parts are quarantined. A request that goes on at other targets
        may be lost with each that the same other one ends.
        """
        return any(
            self._events(key, lifetimes - quarantine.lifetimes)
            < MIN_CRASHES_ALONE
            for quarantine in self._quarantines
            if key not in quarantine.parts
        )

    def _may_be_chance(
        self,
        key: bytes,
        suspect: _Suspect,
        lifetimes: set[str],
        max_chance: float,
    ) -> bool:
        """Whether a sound part may well have been lost as often.

        It may if nothing else was served since the first of the losses at the
        services that lost the targets. A service that goes on tells nothing of
        one that is down, nor does a request without a prompt of one with it.
        """
        crashes = self._events(key, lifetimes)
        services: set[str | None] = set(map(self._service_of, lifetimes))
        at_services = self._chance(suspect, crashes, services)
        overall = self._chance(suspect, crashes, self._runs.keys())
        return overall > max_chance or at_services > MAX_CHANCE_AT_SERVICES

    def _chance(
        self, suspect: _Suspect, crashes: int, services: Collection[str | None]
    ) -> float:
        """Return the chance that a sound part would be lost as often.

        It is 1 if no other runs were served since the first of the losses:
        then nothing tells this part from the others.
        """
        lost, served = -suspect.own_losses, 0
        for service in services:
            runs = self._runs.get(service, _Runs())
            before = suspect.runs_before.get(service, _Runs())
            lost += runs.lost - before.lost
            served += runs.served - before.served
        lost = max(0, lost) + 1
        return float((lost / (lost + served)) ** crashes)

    def _quarantine(self, quarantine: Quarantine, source: str) -> None:
        group = quarantine.parts
        if any(known.parts <= group for known in self._quarantines):
            return
        quarantine.lifetimes |= self._common_lifetimes(group)
        self._quarantines = [
            known for known in self._quarantines if not known.parts > group
        ]
        self._quarantines.append(quarantine)
        del self._quarantines[:-MAX_QUARANTINES]
        self._probations.pop(group, None)
        self._metrics.count('gateway_part_quarantines', source)
        logger.warning(
            'prompt parts quarantined',
            extra={
                'parts': sorted(key.hex() for key in group),
                'source': source,
                'age_ms': round(self._clock.now_ms() - quarantine.since_ms),
                'targets': sorted(quarantine.lifetimes),
                'runs_lost': sum(runs.lost for runs in self._runs.values()),
                'runs_served': sum(
                    runs.served for runs in self._runs.values()
                ),
            },
        )

    def _common_lifetimes(self, group: frozenset[bytes]) -> set[str]:
        """Return the lifetimes that were lost under all of some parts."""
        lost = [
            set(self._suspects[key].losses) if key in self._suspects else set()
            for key in group
        ]
        return set.intersection(*lost)

    def _is_released(
        self, key: bytes, since_ms: float, served_ms: float
    ) -> bool:
        """Whether a run with a part was served after its quarantine began.

        The quarantine may have begun earlier than reported; one that follows
        the run has a loss after it.
        """
        if since_ms <= served_ms:
            return True
        if since_ms > served_ms + MAX_TRANSIT_MS:
            return False
        suspect = self._suspects.get(key)
        return suspect is None or suspect.last_ms <= served_ms

    def _clear(self, key: bytes, at_ms: float) -> bool:
        """Clear a part of its losses up to a run that was served.

        Return whether this releases it from a quarantine.
        """
        suspect = self._suspects.get(key)
        if suspect is not None:
            suspect.served_ms = max(suspect.served_ms, at_ms)
        released = False
        for group in [g for g in self._probations if key in g]:
            del self._probations[group]
        for quarantine in list(self._quarantines):
            if key not in quarantine.parts:
                continue
            if not self._is_released(key, quarantine.since_ms, at_ms):
                continue
            released = True
            self._quarantines.remove(quarantine)
            rest = quarantine.parts - {key}
            if rest:
                self._quarantines.append(
                    Quarantine(rest, quarantine.since_ms, quarantine.lifetimes)
                )
            self._metrics.count('gateway_part_quarantines', 'released')
            logger.warning(
                'prompt part released',
                extra={
                    'part': key.hex(),
                    'parts': sorted(other.hex() for other in rest),
                },
            )
        if released:
            # Peers that have not been told yet still report the quarantine.
            suspect = self._suspects.setdefault(key, _Suspect())
            suspect.served_ms = max(suspect.served_ms, at_ms)
        return released

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for quarantine in list(self._quarantines):
            if self.remaining_ms(quarantine) <= 0:
                self._quarantines.remove(quarantine)
                self._probations[quarantine.parts] = now_ms + PROBATION_MS
        for group, until_ms in list(self._probations.items()):
            if now_ms >= until_ms:
                del self._probations[group]
