"""A simulated entry that runs the real choice of candidates and offers."""

from dataclasses import dataclass
from dataclasses import field
import random

from bench.policy_sim.model import SimRequest
from bench.policy_sim.sim_agent import AgentRun
from bench.policy_sim.sim_agent import SimAgent
from bench.policy_sim.simulation import Simulation
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.routing.candidates import CandidatePicker
from wigeonmill.routing.candidates import RoutableTarget
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import Refusal
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.offers import TargetRefusal
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryBudget
from wigeonmill.routing.retries import RetryReason

RETRY_DELAY_MS = (20.0, 100.0)


@dataclass(slots=True, eq=False)
class EntryRequest:
    """A request at an entry with its attempts and the targets tried."""

    req: SimRequest
    attempts: Attempts
    tried: set[str] = field(default_factory=set)


class SimEntry:
    """Requests offers, runs the best one and retries within the budget."""

    def __init__(
        self, sim: Simulation, agents: dict[str, SimAgent], rng: random.Random
    ) -> None:
        self._sim = sim
        self._agents = agents
        self._rng = rng
        self._budget = RetryBudget()
        self._breakers = CircuitBreakers(sim.loop.clock, rng)
        self._drained: set[str] = set()
        self._picker = self._make_picker()

    def arrive(self, req: SimRequest) -> None:
        """Handle a request that has just arrived."""
        attempts = Attempts(req.deadline_ms, idempotent=True)
        self._request_offers(EntryRequest(req, attempts))

    def domain_changed(self, domain: str, in_service: bool) -> None:
        """Apply the operators' configuration."""
        (self._drained.discard if in_service else self._drained.add)(domain)
        self._picker = self._make_picker()

    def _make_picker(self) -> CandidatePicker:
        targets = [
            RoutableTarget(
                name,
                agent.engine.domain,
                in_service=agent.engine.domain not in self._drained,
            )
            for name, agent in self._agents.items()
        ]
        return CandidatePicker(targets, self._rng)

    def _request_offers(self, entry_req: EntryRequest) -> None:
        keys = entry_req.req.keys('v1')
        names = self._picker.pick(
            keys, entry_req.tried, self._breakers.blocked
        )
        if not names:
            names = self._picker.pick(keys, (), self._breakers.blocked)
        hop_ms = self._sim.fleet.hop_ms
        self._sim.loop.after(hop_ms, self._collect_offers, entry_req, names)

    def _collect_offers(
        self, entry_req: EntryRequest, names: list[str]
    ) -> None:
        offers: list[TargetOffer] = []
        refusals: list[TargetRefusal] = []
        req = entry_req.req
        for name in names:
            answer = self._agents[name].offer(req)
            if answer.is_err():
                refusal = answer.unwrap_err()
                reason = refusal.reason.value
                refusals.append(
                    TargetRefusal(name, reason, refusal.retry_after_ms)
                )
                continue
            offer = answer.unwrap()
            offers.append(
                TargetOffer(
                    name,
                    req.prompt_tokens,
                    offer.cached_tokens,
                    offer.fetchable_tokens,
                    offer.expected_wait_ms,
                    offer.expected_first_token_ms,
                    offer.reservation,
                    names.index(name) >= self._picker.count,
                )
            )
        # One hop for the offers, and one for the run and the released offers.
        hop_ms = 2 * self._sim.fleet.hop_ms
        self._sim.loop.after(hop_ms, self._choose, entry_req, offers, refusals)

    def _choose(
        self,
        entry_req: EntryRequest,
        offers: list[TargetOffer],
        refusals: list[TargetRefusal],
    ) -> None:
        choice = choose_offer(offers, refusals)
        if choice.is_err():
            self._on_refusal(entry_req, choice.unwrap_err())
            return
        best = choice.unwrap()
        for offer in offers:
            if offer is not best:
                admission = self._agents[offer.target].admission
                admission.release(offer.reservation)
        self._run(entry_req, best)

    def _run(self, entry_req: EntryRequest, offer: TargetOffer) -> None:
        entry_req.tried.add(offer.target)
        self._breakers.record_dispatch(offer.target)

        def ended(
            run: AgentRun, reason: RetryReason | RefusalReason | None
        ) -> None:
            self._on_end(entry_req, offer.target, reason)

        agent = self._agents[offer.target]
        admitted = agent.run(entry_req.req, offer.reservation, ended)
        if admitted.is_err():
            refusal = admitted.unwrap_err()
            self._on_refusal(
                entry_req,
                Refusal(refusal.reason.value, refusal.retry_after_ms),
            )

    def _on_end(
        self,
        entry_req: EntryRequest,
        target: str,
        reason: RetryReason | RefusalReason | None,
    ) -> None:
        if reason is None:
            self._breakers.record_success(target)
            self._budget.record_success()
            self._sim.record_finished(entry_req.req)
        elif isinstance(reason, RefusalReason):
            self._on_refusal(entry_req, Refusal(reason.value, 0))
        else:
            self._breakers.record_failure(target)
            if reason is RetryReason.CONNECTION_LOST:
                entry_req.attempts.crashes += 1
            self._retry(entry_req, reason, reason.value, 0.0)

    def _on_refusal(self, entry_req: EntryRequest, refusal: Refusal) -> None:
        final = (
            RefusalReason.QUARANTINED.value,
            RefusalReason.DEADLINE.value,
        )
        if refusal.reason in final:
            self._give_up(entry_req, refusal.reason)
            return
        self._retry(
            entry_req,
            RetryReason.REFUSED,
            refusal.reason,
            float(refusal.retry_after_ms),
        )

    def _retry(
        self,
        entry_req: EntryRequest,
        reason: RetryReason,
        detail: str,
        delay_ms: float,
    ) -> None:
        stats = self._sim.stats
        allowed = may_retry(
            reason,
            entry_req.attempts,
            self._budget,
            self._sim.loop.clock,
            delay_ms,
        )
        if allowed.is_err():
            stats.denials[allowed.unwrap_err().value] += 1
            self._give_up(entry_req, detail)
            return
        stats.retries[f'{reason.value}'] += 1
        entry_req.attempts.attempts += 1
        delay_ms = max(delay_ms, self._rng.uniform(*RETRY_DELAY_MS))
        self._sim.loop.after(delay_ms, self._request_offers, entry_req)

    def _give_up(self, entry_req: EntryRequest, reason: str) -> None:
        self._sim.stats.refuse(entry_req.req, reason)
