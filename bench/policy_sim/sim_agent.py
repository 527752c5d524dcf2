"""A simulated agent that runs the real admission beside one engine."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from bench.policy_sim.agent_cache import AgentCache
from bench.policy_sim.engine import EngineRun
from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.engine import RunEnd
from bench.policy_sim.model import SimRequest
from bench.policy_sim.simulation import Simulation
from wigeonmill.agent.admission import make_admission
from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Offer
from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunOutcome
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.quarantine import decode_state
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine import QuarantineState
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.routing.retries import RetryReason

REPORT_EVERY_MS = 250.0
REPORT_LAG_MS = 100.0
QUARANTINE_LAG_MS = 500.0


@dataclass(slots=True, eq=False)
class AgentRun:
    """A request that the agent admitted, and the callback for its end."""

    req: SimRequest
    keys: tuple[bytes, ...]
    ticket: Ticket
    on_end: Callable[['AgentRun', RetryReason | RefusalReason | None], None]
    engine_run: EngineRun | None = None


class SimAgent:
    """Runs the real admission and cache code for one engine."""

    def __init__(self, sim: Simulation, engine: FakeEngine) -> None:
        self.engine = engine
        self.peers: list['SimAgent'] = []
        self._sim = sim
        settings = AdmissionSettings(
            cold_concurrency=engine.spec.cold_capacity,
            max_concurrency=engine.spec.max_batch,
        )
        self.admission = make_admission(
            sim.loop.clock, settings, Quarantine(source=engine.name)
        )
        self.admission.set_weight_version(engine.version)
        self.cache = AgentCache(sim, engine, self.admission)
        self._runs: dict[int, AgentRun] = {}
        self._shared_changes = 0
        sim.loop.after(0.0, self._send_report)

    def offer(self, req: SimRequest) -> Result[Offer, Refusal]:
        """Return an offer for a request of an entry, or a refusal."""
        keys = req.keys(self.admission.weight_version)
        plan = self.cache.plan(keys, req.prompt_tokens)
        return self.admission.offer(self._run_request(req), plan)

    def run(
        self,
        req: SimRequest,
        reservation: int,
        on_end: Callable[[AgentRun, RetryReason | RefusalReason | None], None],
    ) -> Result[AgentRun, Refusal]:
        """Admit a request with the reservation of an offer."""
        keys = req.keys(self.admission.weight_version)
        plan = self.cache.plan(keys, req.prompt_tokens)
        importing = plan.import_blocks > 0
        importing = importing or self.cache.probe(keys) is not None
        admitted = self.admission.admit(
            self._run_request(req),
            plan,
            reservation,
            importing=importing,
        )
        if admitted.is_err():
            return Err(admitted.unwrap_err())
        ticket = admitted.unwrap().ticket
        run = AgentRun(req, keys, ticket, on_end)
        self._runs[ticket.id] = run
        self._share_quarantine()
        self.cache.record_admitted(keys, req.team.name)
        if importing:
            self.cache.fetch(
                ticket, keys, lambda plan: self._on_imported(run, plan)
            )
        self.pump()
        return Ok(run)

    def load_version(self, version: str) -> None:
        """Load weights; no run is started meanwhile."""
        load_ms = self.engine.spec.load_ms
        self.admission.set_weight_version('')
        self.engine.load_version(version, load_ms)
        self._sim.loop.after(load_ms, self._on_loaded, version)

    def set_in_service(self, in_service: bool) -> None:
        """Apply the operators' configuration."""
        self.admission.set_in_service(in_service)
        self.pump()

    def merge_quarantine(self, state: QuarantineState) -> None:
        """Merge another agent's record of crashing requests."""
        wall_ms = self._sim.loop.clock.wall_ms()
        self.admission.quarantine.merge(state, wall_ms)

    def _run_request(self, req: SimRequest) -> RunRequest:
        return RunRequest(
            req.team.name,
            self.admission.weight_version,
            req.prompt_tokens,
            req.deadline_ms,
            priority=req.priority,
            fingerprint=req.fingerprint,
        )

    def _send_report(self) -> None:
        loop = self._sim.loop
        loop.after(REPORT_EVERY_MS, self._send_report)
        if self.engine.up:
            incarnation = str(self.engine.incarnation)
            uptime_ms = self.engine.uptime_ms()
            loop.after(REPORT_LAG_MS, self._on_report, incarnation, uptime_ms)

    def _on_report(self, incarnation: str, uptime_ms: float) -> None:
        self.admission.health.on_report(incarnation, uptime_ms)
        self.pump()

    def _on_loaded(self, version: str) -> None:
        self.admission.set_weight_version(version)
        self.cache.reset_view()
        self.pump()

    def pump(self) -> None:
        """Start runnable requests and report refused ones."""
        while True:
            ticket = self.admission.next_runnable()
            if ticket is None:
                break
            self._start(self._runs[ticket.id])
        for refused in self.admission.take_refused():
            run = self._runs.pop(refused.ticket.id)
            run.on_end(run, refused.refusal.reason)

    def _on_imported(self, run: AgentRun, plan: TierPlan) -> None:
        if self.admission.imported(run.ticket.id, plan):
            self.pump()

    def _start(self, run: AgentRun) -> None:
        started = self.admission.started(run.ticket.id)
        if started.is_err():
            del self._runs[run.ticket.id]
            self._sim.loop.after(
                0.0, run.on_end, run, started.unwrap_err().reason
            )
            return
        run.engine_run = self._sim.submit(
            self.engine,
            run.req,
            run.keys,
            lambda _run: self._on_first_token(run),
            lambda _run, end: self._on_end(run, end),
        )
        if run.engine_run is None:
            self._finish(run, OutcomeKind.UNREACHABLE)
            run.on_end(run, RetryReason.UNREACHABLE)

    def _on_first_token(self, run: AgentRun) -> None:
        self.admission.first_token(run.ticket.id)
        self.cache.update_speeds()
        self._sim.record_first_token(run.req)
        self.pump()

    def _on_end(self, run: AgentRun, end: RunEnd) -> None:
        if end is RunEnd.DONE:
            self._finish(run, OutcomeKind.COMPLETED)
            run.on_end(run, None)
        elif end is RunEnd.LOST:
            self._on_crash(run)
            run.on_end(run, RetryReason.CONNECTION_LOST)
        elif end is RunEnd.REFUSED:
            self._finish(run, OutcomeKind.OVERLOADED)
            run.on_end(run, RetryReason.REFUSED)
        else:
            self._finish(run, OutcomeKind.CANCELLED)
            run.on_end(run, RetryReason.STALLED_FIRST_TOKEN)
        self.pump()

    def _on_crash(self, run: AgentRun) -> None:
        self._finish(run, OutcomeKind.CRASHED)
        self.cache.reset_view()
        self._share_quarantine()

    def _share_quarantine(self) -> None:
        quarantine = self.admission.quarantine
        if quarantine.changes == self._shared_changes:
            return
        self._shared_changes = quarantine.changes
        data = encode_state(quarantine.state)
        for peer in self.peers:
            self._sim.loop.after(
                QUARANTINE_LAG_MS, peer.merge_quarantine, decode_state(data)
            )

    def _finish(self, run: AgentRun, kind: OutcomeKind) -> None:
        del self._runs[run.ticket.id]
        tokens = run.req.answer_tokens if kind is OutcomeKind.COMPLETED else 0
        self.admission.finished(run.ticket.id, RunOutcome(kind, tokens))
        self._share_quarantine()
