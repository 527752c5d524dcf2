"""Tells where a request would go now and why, without sending it."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import math

from result import Err

from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Progress
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.request import PromptPart
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.gateway.targets import Target

MAX_DIGITS = 9
DEFAULT_DEADLINE_MS = 10_000.0
MAX_PARTS = 64

Explanation = dict[str, object]


@dataclass(frozen=True, slots=True)
class Question:
    """A request as an operator describes it.

    `parts` are those of its prompt, of which the last one is its own. Without
    a `model` it is no model request.
    """

    host: str
    path: str
    team: str = ''
    model: str = ''
    parts: tuple[PromptPart, ...] = ()
    answer_tokens: int = 0
    deadline_ms: float = DEFAULT_DEADLINE_MS


class Explainer:
    """Answers questions from the state of this entry, which stays as it is."""

    __slots__ = ('_ctx', '_client', '_picker', '_planner')

    def __init__(
        self,
        ctx: GatewayContext,
        client: TargetClient,
        picker: Picker,
        planner: CachePlanner,
    ) -> None:
        self._ctx = ctx
        self._client = client
        self._picker = picker
        self._planner = planner

    def explain(self, question: Question) -> Explanation:
        """Return the choice or the refusal, with the targets considered."""
        desired = self._ctx.desired
        if desired.state is None:
            return _refused(
                Refusal(Reason.NO_CONFIGURATION, 'no configuration is known')
            )
        route = desired.table.match(question.host, question.path)
        if route is None:
            return _refused(Refusal(Reason.NO_ROUTE, 'no such route'))
        team = next(
            (t for t in desired.state.teams if t.name == question.team), None
        )
        if team is None and (
            question.team or (desired.table.needs_key and not route.public)
        ):
            return _refused(Refusal(Reason.UNKNOWN_KEY, 'no such team'))
        state = self._ctx.rng.getstate()
        try:
            with self._picker.hypothetical():
                return self._explain(question, route, team)
        finally:
            self._ctx.rng.setstate(state)

    def _explain(
        self, question: Question, route: Route, team: Team | None
    ) -> Explanation:
        run = RequestRun(
            self._ctx,
            self._client,
            self._picker,
            self._planner,
            self._request(question),
            route,
            team,
            _NoChannel(),
        )
        picked, hold_ms, demand = run.preview()
        if isinstance(picked, Err):
            answer = _refused(picked.err_value)
        else:
            answer = {'target': picked.ok_value.target.id}
            if hold_ms > 0:
                answer['held_up_to_ms'] = round(hold_ms, 1)
        considered = {
            pick.target.id: pick for pick in self._picker.evaluate_all(demand)
        }
        targets = [
            self._describe(target, considered.get(target.id), demand)
            for target in self._ctx.directory.of_service(demand.service)
        ]
        return answer | {
            'route': route.name,
            'service': demand.service,
            'config': run.config_version,
            'priority': demand.priority,
            'fetchable_tokens': demand.fetchable_tokens,
            'targets': targets,
        }

    def _request(self, question: Question) -> CallerRequest:
        generation = None
        if question.model:
            tokens = sum(part.tokens for part in question.parts)
            generation = Generation(
                question.model,
                tokens,
                question.answer_tokens,
                question.parts,
            )
        return CallerRequest(
            id='where',
            method='POST',
            target=question.path,
            host=question.host,
            key='',
            deadline_ms=question.deadline_ms,
            arrived_ms=self._ctx.clock.now_ms(),
            fields=(),
            generation=generation,
        )

    def _describe(
        self, target: Target, pick: Pick | None, demand: Demand
    ) -> Explanation:
        load = target.load
        described: Explanation = {
            'target': target.id,
            'domain': target.failure_domain,
            'open': load.occupied(),
            'slots': target.slots,
            'restrictions': self._restrictions(target, demand),
        }
        if pick is None:
            return described
        return described | {
            'expected_ms': round(pick.expected_ms, 1),
            'prefill_tokens': pick.prefill_tokens,
            'cost': round(pick.cost, 4),
            'lateness_cost': round(pick.lateness_cost, 4),
            'other_cost': round(pick.cost - pick.lateness_cost, 4),
            'failure_share': round(load.failure_share(), 3),
            'waits': pick.waits,
        }

    def _restrictions(self, target: Target, demand: Demand) -> list[str]:
        """Return why the target gets less than others, or nothing."""
        now_ms = self._ctx.clock.now_ms()
        per_s = target.limit.accepted_per_s
        found = {
            'domain_out_of_service': self._ctx.desired.is_domain_closed(
                target.failure_domain
            ),
            'cold': target.is_cold(now_ms),
            'closed': target.is_closed(now_ms),
            'opening': target.is_opening(now_ms),
            'loading_weights': target.is_loading(now_ms),
            'refusing': target.refusing_until_ms > now_ms,
            f'limited_to_{per_s:g}_per_s': per_s < math.inf,
            'circuit_open': self._ctx.circuits.blocked(target.id),
            'silent': target.load.is_silent(),
            'full': 0 < target.slots <= target.load.occupied(),
        }
        return [name for name, applies in found.items() if applies]


def parse_question(
    fields: Mapping[str, Sequence[str]],
) -> Question | str:
    """Return the question in the fields of a query, or what is wrong."""

    def first(name: str) -> str:
        return (fields.get(name) or [''])[0]

    parts = []
    for text in (fields.get('part') or ())[:MAX_PARTS]:
        id_, _, tokens = text.rpartition(':')
        if not id_ or not _is_number(tokens):
            return f'write a part as ID:TOKENS, not {text!r}'
        parts.append(PromptPart(id_, int(tokens)))
    answer = first('answer_tokens') or '0'
    deadline = first('deadline_ms') or f'{DEFAULT_DEADLINE_MS:.0f}'
    if not _is_number(answer) or not _is_number(deadline):
        return 'answer_tokens and deadline_ms are numbers of up to 9 digits'
    if not first('host') or not first('path').startswith('/'):
        return 'name a host and a path that begins with /'
    return Question(
        first('host'),
        first('path'),
        first('team'),
        first('model'),
        tuple(parts),
        int(answer),
        float(deadline),
    )


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_DIGITS


def _refused(refusal: Refusal) -> Explanation:
    return {
        'refusal': refusal.reason.value,
        'message': refusal.message,
        'retry_after_ms': refusal.retry_after_ms,
    }


class _NoChannel:
    """The channel of a request that nobody waits for."""

    closed = False
    unsent_bytes = 0
    holding = Holding(lambda _why: None, lambda: 0)

    def track(self, progress: Callable[[], Progress]) -> None:
        pass

    def refuse(self, refusal: Refusal) -> None:
        raise AssertionError('nothing is answered')

    def answer(self, head: AnswerHead, body: bytes) -> None:
        raise AssertionError('nothing is answered')

    def begin(self, head: AnswerHead) -> None:
        raise AssertionError('nothing is answered')

    def send(self, data: bytes) -> None:
        raise AssertionError('nothing is answered')

    def finish(self) -> None:
        raise AssertionError('nothing is answered')

    def abort(self) -> None:
        raise AssertionError('nothing is answered')
