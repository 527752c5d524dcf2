"""The workloads of the two users, generated from a seed."""

from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import random

from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.model import EngineSpec
from bench.policy_sim.model import Fleet
from bench.policy_sim.model import SimRequest
from bench.policy_sim.model import SimTeam
from bench.policy_sim.model import StoreSpec

DEADLINE_MS = 15_000.0
URGENT = 1
# A follow-up over a long prompt arrives after this many seconds.
RETURN_AFTER_S = (8.0, 40.0)


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    A prompt consists of the team's preamble, the start of a recurring
    document and tokens of its own. The share `return_share` of the requests
    is followed by one of kind `return_kind` over the whole prompt.
    """

    name: str
    share: float
    priority: int
    document_blocks: tuple[int, int]
    own_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    return_share: float = 0.0
    return_kind: str = ''


@dataclass(slots=True, frozen=True)
class Phase:
    """The load from a time on, as a share of capacity.

    `long_factor` multiplies the share of the kinds that have follow-ups.
    `documents` is the range of each team's documents in use, as shares.
    """

    from_s: float
    load: float
    long_factor: float = 1.0
    documents: tuple[float, float] = (0.0, 1.0)


@dataclass(slots=True, frozen=True)
class Workload:
    """A user's fleet and mix of requests.

    `capacity_rps` is the rate, without follow-ups, that the oracle sustains
    with 95 in 100 first tokens within the goal.
    """

    name: str
    fleet: Fleet
    teams: tuple[SimTeam, ...]
    kinds: tuple[Kind, ...]
    returns: tuple[Kind, ...]
    preamble_blocks: int
    documents: int
    capacity_rps: float
    phases: tuple[Phase, ...]


def make_teams(large: Sequence[float], small: int) -> tuple[SimTeam, ...]:
    """Return large teams with the given shares and small ones for the rest."""
    rest = (1.0 - sum(large)) / small
    teams = [SimTeam(f'large-{i}', s, True) for i, s in enumerate(large)]
    teams += [SimTeam(f'small-{i}', rest, False) for i in range(small)]
    return tuple(teams)


def alliance() -> Workload:
    """Return the Alliance's workload: short price checks and long invoices."""
    engine = EngineSpec(16_000, 512, 12.0, 0.15, 400, 64, 2, 16, 2000.0)
    store = StoreSpec(4_000_000, 250e6, 200e6, 6000, 2.0)
    domains = ('mobile-bay', 'baton-rouge', 'biloxi')
    fleet = Fleet(domains, 9, 3, 0.5, 3, engine, store)
    price_check = Kind(
        'price_check', 0.65, URGENT, (2, 2), (50, 400), (40, 80)
    )
    invoice = Kind(
        'invoice', 0.35, 0, (5, 5), (2000, 7000), (150, 300), 0.4, 'follow_up'
    )
    follow_up = Kind('follow_up', 0.0, 0, (0, 0), (100, 300), (60, 120))
    return Workload(
        'alliance',
        fleet,
        make_teams((0.2, 0.17, 0.13), 7),
        (price_check, invoice),
        (follow_up,),
        1,
        500,
        46.0,
        (Phase(0.0, 0.8),),
    )


def isoko() -> Workload:
    """Return Isoko's workload: note tags, and a dawn burst of manifests."""
    engine = EngineSpec(20_000, 512, 12.0, 0.15, 400, 64, 2, 16, 800.0)
    store = StoreSpec(4_000_000, 250e6, 200e6, 6000, 2.0)
    domains = ('nyarugenge', 'gasabo', 'kicukiro')
    fleet = Fleet(domains, 6, 3, 1.4, 2, engine, store)
    note_tag = Kind('note_tag', 0.7, URGENT, (1, 1), (100, 300), (8, 20))
    manifest = Kind(
        'manifest', 0.3, 0, (0, 0), (5000, 13000), (200, 350), 0.6, 'reconcile'
    )
    reconcile = Kind('reconcile', 0.0, 0, (0, 0), (300, 1200), (100, 200))
    return Workload(
        'isoko',
        fleet,
        make_teams((0.22, 0.16, 0.12), 7),
        (note_tag, manifest),
        (reconcile,),
        2,
        300,
        33.0,
        (Phase(0.0, 0.55), Phase(35.0, 0.8, 1.5), Phase(70.0, 0.6)),
    )


WORKLOADS = {'alliance': alliance, 'isoko': isoko}


class TraceMaker:
    """Generates requests; the same seed gives the same trace."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._rng = rng
        self._ids = itertools.count(1)
        self._returns = {kind.name: kind for kind in workload.returns}

    def make(
        self,
        phases: Sequence[Phase],
        duration_s: float,
        scale: float = 1.0,
        teams: Sequence[SimTeam] | None = None,
    ) -> list[SimRequest]:
        """Return requests ordered by arrival; `scale` scales their rate."""
        requests: list[SimRequest] = []
        teams = teams or self._workload.teams
        at_s = 0.0
        while True:
            phase = _phase_at(phases, at_s)
            rate = self._workload.capacity_rps * phase.load * scale
            at_s += self._rng.expovariate(rate / self._work_factor(phase))
            if at_s >= duration_s:
                break
            requests += self._arrival(at_s, phase, teams)
        kept = [r for r in requests if r.arrival_ms < duration_s * 1000.0]
        return sorted(kept, key=lambda req: (req.arrival_ms, req.id))

    def _work_factor(self, phase: Phase) -> float:
        base = _mean_work(self._workload.kinds, 1.0)
        return _mean_work(self._workload.kinds, phase.long_factor) / base

    def _arrival(
        self, at_s: float, phase: Phase, teams: Sequence[SimTeam]
    ) -> list[SimRequest]:
        rng = self._rng
        team = rng.choices(teams, [team.share for team in teams])[0]
        kinds = self._workload.kinds
        shares = [kind.share * _length_factor(kind, phase) for kind in kinds]
        kind = rng.choices(kinds, shares)[0]
        first = self._request(at_s, team, kind, self._document(team, phase))
        requests = [first]
        if kind.return_kind and rng.random() < kind.return_share:
            later = at_s + rng.uniform(*RETURN_AFTER_S)
            follow_up = self._returns[kind.return_kind]
            requests.append(
                self._request(later, team, follow_up, first.blocks)
            )
        return requests

    def _document(self, team: SimTeam, phase: Phase) -> tuple[str, ...]:
        count = max(4, int(self._workload.documents * team.share))
        low, high = phase.documents
        skewed = self._rng.random() ** 1.5
        number = int(count * (low + (high - low) * skewed))
        return tuple(f'document-{number}.{block}' for block in range(8))

    def _request(
        self, at_s: float, team: SimTeam, kind: Kind, start: tuple[str, ...]
    ) -> SimRequest:
        rng = self._rng
        number = next(self._ids)
        if kind.name in self._returns:
            shared = start
        else:
            preamble = range(self._workload.preamble_blocks)
            used = start[: rng.randint(*kind.document_blocks)]
            shared = tuple(f'preamble.{block}' for block in preamble) + used
        own = rng.randint(*kind.own_tokens)
        fresh = [f'own-{number}.{b}' for b in range(own // BLOCK_TOKENS)]
        return SimRequest(
            number,
            at_s * 1000.0,
            team,
            kind.name,
            kind.priority,
            shared + tuple(fresh),
            len(shared) * BLOCK_TOKENS + own,
            rng.randint(*kind.answer_tokens),
            at_s * 1000.0 + DEADLINE_MS,
        )


def _phase_at(phases: Sequence[Phase], at_s: float) -> Phase:
    return [phase for phase in phases if phase.from_s <= at_s][-1]


def _length_factor(kind: Kind, phase: Phase) -> float:
    return phase.long_factor if kind.return_kind else 1.0


def _mean_work(kinds: Sequence[Kind], long_factor: float) -> float:
    shares = [
        kind.share * (long_factor if kind.return_kind else 1.0)
        for kind in kinds
    ]
    work = [sum(kind.own_tokens) / 2.0 for kind in kinds]
    total = sum(share * tokens for share, tokens in zip(shares, work))
    return total / sum(shares)
