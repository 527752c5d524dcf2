"""Messages between the agent and its admission decisions."""

from dataclasses import dataclass
from dataclasses import field
import enum

from wigeonmill.cache.tiers import TierPlan


class RefusalReason(enum.Enum):
    """Why a target takes no request; in all cases it was not run."""

    # The agent has not learned yet which requests are quarantined.
    STARTING = 'starting'
    DRAINING = 'draining'
    NOT_IN_SERVICE = 'not_in_service'
    UNREACHABLE = 'unreachable'
    WEIGHT_VERSION = 'weight_version'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    COLD = 'cold'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class OutcomeKind(enum.Enum):
    """How a started run ended at its target."""

    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
    # The target refused the run as too much.
    OVERLOADED = 'overloaded'
    # The target was not reached and has not seen the run.
    UNREACHABLE = 'unreachable'
    # The connection broke while the run was in flight.
    CRASHED = 'crashed'


class TicketState(enum.Enum):
    """Where an admitted request stands."""

    # Waits for blocks from the store; not in the queue yet.
    IMPORTING = 'importing'
    QUEUED = 'queued'
    # Holds a slot; the target has not seen it yet.
    RUNNABLE = 'runnable'
    # The target has it.
    STARTED = 'started'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal; `retry_after_ms` is 0 if waiting here doesn't help."""

    reason: RefusalReason
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunRequest:
    """What admission needs to know of a request.

    `deadline_ms` is on the agent's clock. An empty `weight_version` accepts
    whatever the target serves (plain services).
    """

    team: str
    weight_version: str
    prompt_tokens: int
    deadline_ms: float
    team_weight: int = 1
    priority: int = 0
    fingerprint: bytes = b''


@dataclass(frozen=True, slots=True)
class Offer:
    """What the target would give a request, as of now.

    `reservation` (0: none) holds a place until `expires_ms`.
    """

    reservation: int
    expires_ms: float
    cached_tokens: int
    fetchable_tokens: int
    expected_wait_ms: float
    expected_first_token_ms: float


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The end of a started run."""

    kind: OutcomeKind
    answer_tokens: int = 0


@dataclass(slots=True, eq=False)
class Ticket:
    """An admitted request; its weight version never changes.

    `computed_before` and `prompted_before` count the prefill, in tokens as
    planned and as prompts, that the target had done when this run started.
    """

    id: int
    request: RunRequest
    plan: TierPlan
    weight_version: str
    alone: bool
    admitted_ms: float
    state: TicketState = TicketState.QUEUED
    runnable_ms: float = 0.0
    started_ms: float = 0.0
    first_token_ms: float = 0.0
    computed_tokens_at_start: int = 0
    prompt_tokens_at_start: int = 0
    first_token_healthy: bool = True
    blamed: bool = False

    @property
    def cost(self) -> int:
        """Prefill in tokens, at least 1."""
        return max(1, self.plan.recompute_tokens)


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class RefusedTicket:
    """A ticket that left the queue without having run."""

    ticket: Ticket
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of one target.

    Runs of up to `short_tokens` of prefill share `short_limit_tokens` of
    prefill in flight, longer ones `long_limit_tokens`, so that requests
    wait in the fair queue and not at the target; one of each class may
    always run. Longer ones leave one slot in `slots_per_short_slot` to
    shorter ones. Short ones pass a longer one that waits if their team is
    at most `pass_tokens` ahead of its team in what it has got. `cold_queue`
    bounds the places given out by a cold target.

    A suspect that has waited for `alone_wait_ms` holds back other starts. It
    runs alone until it has streamed for `suspect_settle_ms`.

    A first token up to `healthy_factor` times the expected time plus
    `healthy_floor_ms` is healthy; after `relearn_after` others in a row the
    target's speed is learned anew. An idle target that hasn't answered for
    `fresh_ms` may have turned cold unseen and gets its cold limit only. One
    that failed a connection is left alone for `unreachable_ms`, unless it
    reports before.
    """

    cold_concurrency: int = 1
    max_concurrency: int = 64
    max_queue: int = 256
    cold_queue: int = 4
    reservation_ms: float = 250.0
    short_tokens: int = 2_048
    short_limit_tokens: int = 2_048
    long_limit_tokens: int = 4_096
    overtake_tokens: int = 4_096
    slots_per_short_slot: int = 8
    alone_wait_ms: float = 8_000.0
    suspect_settle_ms: float = 1_000.0
    healthy_factor: float = 2.0
    healthy_floor_ms: float = 150.0
    relearn_after_slow: int = 32
    max_silence_ms: float = 1_500.0
    unreachable_retry_ms: float = 1_000.0


@dataclass(slots=True)
class AdmissionCounts:
    """Totals for invariant checks and metrics."""

    offers: int = 0
    admitted: int = 0
    started: int = 0
    finished: int = 0
    expired_reservations: int = 0
    refusals: dict[RefusalReason, int] = field(default_factory=dict)
    outcomes: dict[OutcomeKind, int] = field(default_factory=dict)
