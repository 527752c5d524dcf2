"""Counts what each team asks for and is served, over all entries.

Totals decay, so that a lost update only ages what is known of another entry.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from math import isfinite

from wigeonmill.clock import Clock

# Half-life of the totals.
HALF_LIFE_MS = 2_000.0
# What another entry told is dropped after this time.
PEER_TTL_MS = 6_000.0
# A team is above its fair share only if it was served this much more.
TOLERANCE = 1.1
# Time for which a computed fair share is used.
LEVEL_TTL_MS = 100.0
# Time after a shortage in which the totals of a service are told.
TOLD_AFTER_SHORTAGE_MS = 4_000.0
# Limits of what is told and of what is kept, so that neither grows with the
# number of teams. Those that ask for most are told.
MAX_TOLD_TEAMS = 16
MAX_TEAMS = 1_024
MAX_SESSIONS = 4_096
# Each search for idle teams goes through all of them.
DROP_INTERVAL_MS = 1_000.0
# Smaller totals are dropped.
MIN_WORK = 0.05


@dataclass(frozen=True, slots=True)
class TeamWork:
    """The decayed work of a team at a service: asked for, and served.

    Work is counted in requests, or in tokens if they have any.
    """

    service: str
    team: str
    asked: float
    served: float


class _Total:
    """A total that halves in every half-life."""

    __slots__ = ('_amount', '_at_ms')

    def __init__(self) -> None:
        self._amount = 0.0
        self._at_ms = 0.0

    def at(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self._at_ms)
        return self._amount * float(0.5 ** (age_ms / HALF_LIFE_MS))

    def add(self, work: float, now_ms: float) -> None:
        self._amount = self.at(now_ms) + work
        self._at_ms = now_ms


class _Account:
    """What one entry knows of one team at one service."""

    __slots__ = ('asked', 'served')

    def __init__(self) -> None:
        self.asked = _Total()
        self.served = _Total()


class _Told:
    """What another entry has told last, and when."""

    __slots__ = ('rows', 'at_ms')

    def __init__(self, rows: Mapping[str, list[TeamWork]], at_ms: float):
        self.rows = rows
        self.at_ms = at_ms

    def factor(self, now_ms: float) -> float:
        age_ms = now_ms - self.at_ms
        if age_ms > PEER_TTL_MS:
            return 0.0
        return float(0.5 ** (age_ms / HALF_LIFE_MS))


class TeamShares:
    """Tells whether a team was served more than its fair share lately.

    The fair share is the highest level up to which every team could have been
    served what it asked for, with the work that was served in all. While all
    get what they ask for, no team is above it.
    """

    __slots__ = (
        '_clock',
        '_own',
        '_told',
        '_short_ms',
        '_levels',
        '_dropped_ms',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, dict[str, _Account]] = {}
        self._told: dict[str, _Told] = {}
        # By service, when it was last short of room.
        self._short_ms: dict[str, float] = {}
        self._levels: dict[str, tuple[float, dict[str, float], float]] = {}
        # By service, when idle teams were dropped last.
        self._dropped_ms: dict[str, float] = {}

    def record_asked(self, service: str, team: str, work: float) -> None:
        """Count a request that has arrived."""
        account = self._account(service, team)
        if account is not None:
            account.asked.add(work, self._clock.now_ms())

    def record_served(self, service: str, team: str, work: float) -> None:
        """Count a request whose caller has its answer."""
        account = self._account(service, team)
        if account is not None:
            account.served.add(work, self._clock.now_ms())

    def record_shortage(self, service: str) -> None:
        """Note that a service lacks room now."""
        self._short_ms[service] = self._clock.now_ms()

    def is_short(self, service: str) -> bool:
        """Whether a service lacked room lately."""
        at_ms = self._short_ms.get(service, -inf)
        return self._clock.now_ms() - at_ms < TOLD_AFTER_SHORTAGE_MS

    def ratio(self, service: str, team: str) -> float:
        """Return what a team was served, as a multiple of its fair share."""
        level, served = self._level(service)
        return served.get(team, 0.0) / level if level > 0 else 0.0

    def is_above(self, service: str, team: str) -> bool:
        """Whether a team was served more than its fair share."""
        return self.ratio(service, team) > TOLERANCE

    def to_tell(self) -> list[TeamWork]:
        """Return the own totals of the services that are short of room."""
        rows = []
        for service in list(self._own):
            if self.is_short(service):
                own = self._own_rows(service)
                own.sort(key=lambda row: -row.asked)
                rows += own[:MAX_TOLD_TEAMS]
        return rows

    def apply(self, sender: str, rows: Iterable[TeamWork]) -> None:
        """Replace what another entry has told; invalid rows are left out."""
        by_service: dict[str, list[TeamWork]] = {}
        for row in rows:
            if _is_amount(row.asked) and _is_amount(row.served):
                by_service.setdefault(row.service, []).append(row)
        now_ms = self._clock.now_ms()
        self._told = {
            other: told
            for other, told in self._told.items()
            if other != sender and told.factor(now_ms) > 0
        }
        if by_service:
            self._told[sender] = _Told(by_service, now_ms)

    def _account(self, service: str, team: str) -> _Account | None:
        accounts = self._own.setdefault(service, {})
        account = accounts.get(team)
        if account is None:
            if len(accounts) >= MAX_TEAMS:
                self._drop_idle(service, accounts)
            if len(accounts) >= MAX_TEAMS:
                return None
            account = accounts[team] = _Account()
        return account

    def _drop_idle(self, service: str, accounts: dict[str, _Account]) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._dropped_ms.get(service, -inf) < DROP_INTERVAL_MS:
            return
        self._dropped_ms[service] = now_ms
        for team, account in list(accounts.items()):
            if account.asked.at(now_ms) < MIN_WORK:
                del accounts[team]

    def _own_rows(self, service: str) -> list[TeamWork]:
        now_ms = self._clock.now_ms()
        return [
            TeamWork(
                service,
                team,
                account.asked.at(now_ms),
                account.served.at(now_ms),
            )
            for team, account in self._own.get(service, {}).items()
            if account.asked.at(now_ms) >= MIN_WORK
        ]

    def _level(self, service: str) -> tuple[float, dict[str, float]]:
        """Return the fair share and what each team was served."""
        now_ms = self._clock.now_ms()
        cached = self._levels.get(service)
        if cached is not None and now_ms - cached[2] < LEVEL_TTL_MS:
            return cached[0], cached[1]
        asked: dict[str, float] = {}
        served: dict[str, float] = {}
        for row, factor in self._rows(service, now_ms):
            asked[row.team] = asked.get(row.team, 0.0) + row.asked * factor
            served[row.team] = served.get(row.team, 0.0) + row.served * factor
        # A run that was asked for before the others decays with them.
        for team, work in served.items():
            asked[team] = max(asked[team], work)
        level = fair_level(asked.values(), sum(served.values()))
        self._levels[service] = (level, served, now_ms)
        return level, served

    def _rows(
        self, service: str, now_ms: float
    ) -> Iterable[tuple[TeamWork, float]]:
        for row in self._own_rows(service):
            yield row, 1.0
        for sender, told in list(self._told.items()):
            factor = told.factor(now_ms)
            if factor <= 0:
                del self._told[sender]
                continue
            for row in told.rows.get(service, ()):
                yield row, factor


class ServedSessions:
    """The sessions that this entry has answered, up to a limit."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        # The one that was served last is the last one.
        self._known: dict[str, None] = {}

    def record(self, session: str) -> None:
        """Record an answer to a session ('': none)."""
        if not session:
            return
        self._known.pop(session, None)
        self._known[session] = None
        if len(self._known) > MAX_SESSIONS:
            del self._known[next(iter(self._known))]

    def has(self, session: str) -> bool:
        """Whether the session has had an answer."""
        return session in self._known


def fair_level(asked: Iterable[float], served: float) -> float:
    """Return the level up to which each request for work could be met.

    The sum of all that is asked for, cut at this level, is `served`.
    """
    left = sorted(asked)
    remaining = served
    for number, amount in enumerate(left):
        level = remaining / (len(left) - number)
        if amount >= level:
            return level
        remaining -= amount
    return left[-1] if left else 0.0


def _is_amount(value: float) -> bool:
    return isfinite(value) and value >= 0
