"""Requests, offers, tickets, outcomes and settings of the admission."""

from dataclasses import dataclass
from dataclasses import field
import enum

from wigeonmill.cache.tiers import TierPlan


class RefusalReason(enum.Enum):
    """Why a target refuses a request; a refused request was not run."""

    # The agent does not know yet which requests are quarantined.
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
    # The target refused the run because it is overloaded.
    OVERLOADED = 'overloaded'
    # The target was not reached and has not received the run.
    UNREACHABLE = 'unreachable'
    # The connection broke while the run was in flight.
    CRASHED = 'crashed'


class TicketState(enum.Enum):
    """State of an admitted request."""

    # Waits for blocks from the store and is not in the queue yet.
    IMPORTING = 'importing'
    QUEUED = 'queued'
    # Holds a slot, but has not been sent to the target yet.
    RUNNABLE = 'runnable'
    # Has been sent to the target.
    STARTED = 'started'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal; `retry_after_ms` is 0 if a retry here would not help."""

    reason: RefusalReason
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunRequest:
    """The properties of a request that admission depends on.

    `deadline_ms` is a time of the agent's clock. An empty `weight_version`
    accepts any version (plain services).
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
    """A target's offer to run a request, from its current load.

    `reservation` (0: none) reserves a place until `expires_ms`.
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

    `alone` is set for a suspect, which starts only beside settled suspects.
    Two counts hold the prefill that the target had completed when this run
    started: `computed_tokens_at_start` without the tokens that were expected
    in the cache, and `prompt_tokens_at_start` for whole prompts. `blamed` is
    set once the run was considered for the blame of a crash.
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
        """Expected prefill in tokens, at least 1."""
        return max(1, self.plan.recompute_tokens)


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class RefusedTicket:
    """A ticket that was refused while it waited; it was not run."""

    ticket: Ticket
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of one target.

    Runs of up to `short_tokens` of prefill share `short_limit_tokens` of
    prefill in flight, and longer runs share `long_limit_tokens`, so that
    requests wait in the fair queue and not at the target. One run of either
    class is allowed whatever its size. Of every `slots_per_short_slot` slots,
    one is reserved for short runs. Short requests overtake a waiting long one
    if their team is at most `overtake_tokens` of weighted service ahead of
    the long one's team. `cold_queue` bounds the number of requests that wait
    at a cold target.

    Once a suspect has waited for `alone_wait_ms`, other starts are postponed.
    A suspect runs alone until it has streamed for `suspect_settle_ms`.

    The latency of a first token is healthy up to `healthy_factor` times the
    expected one plus `healthy_floor_ms`. After `relearn_after_slow` unhealthy
    ones in a row at a cold target, the estimate of its speed is reset. An
    idle target that has not answered for `max_silence_ms` may have become
    cold unnoticed and gets only its cold limit. After a failed connection a
    target gets no requests for `unreachable_retry_ms`, unless it answers a
    health request before.
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
