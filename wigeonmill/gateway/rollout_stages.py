"""The stages by which the leader moves a service to a new version.

The leader may be lost at any of them: a stage follows from the last one, the
time since the order and the evidence, and the next leader goes on from there.
"""

from dataclasses import dataclass
import enum

from wigeonmill.gateway.rollout_evidence import Judgement

# Parts of an order's time. The version stays a canary for long, so that one
# that turns bad later shows while it gets few requests. The steps above it
# are so short that a version that turns bad in them stays below the limit.
CANARY_TIME = 0.52
# Bad or not, a move that begins later would not be complete in time.
LAST_START = 0.62
# A version about which there are doubts after that goes back.
LAST_DOUBT = 0.8
# The first step is long: with few requests, it shows most.
FIRST_STEP_TIME = 0.1
STEP_TIME = 0.06
# At full share, what turns bad under load shows while it can still go back.
FULL_TIME = 0.12
# Minimum time of a step: the entries have to learn of it.
MIN_STEP_MS = 400.0
# A move that was deferred goes on in steps if both still have their time.
LAST_THIRD = 0.8
# A step that begins later has no time to show anything.
LAST_STEP = 0.91
# A move that was deferred begins by then, so that there is time to see it.
LAST_MOVE = 0.92
# The old versions end by then, although they have open work. The last step is
# still a whole one, if there is any time for that.
LAST_DONE = 0.93
NEARLY_OVER = 0.97


class Stage(enum.Enum):
    """How far a rollout is."""

    CANARY = 'canary'
    EIGHTH = 'eighth'
    THIRD = 'third'
    # Each entry moves all its requests once what is left of the order's time
    # fits within what a bad version may get.
    DEFERRED = 'deferred'
    FULL = 'full'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the rollout is over."""
        return self in (Stage.DONE, Stage.ROLLED_BACK)

    @property
    def share(self) -> float | None:
        """The share of the new version; None: as few as a canary gets.

        In `DEFERRED` that goes for entries that have not moved all.
        """
        return _SHARES.get(self)


_SHARES = {
    Stage.EIGHTH: 0.125,
    Stage.THIRD: 0.35,
    Stage.FULL: 1.0,
    Stage.DONE: 1.0,
    Stage.ROLLED_BACK: 0.0,
}
_STEP_TIMES = {Stage.EIGHTH: FIRST_STEP_TIME, Stage.FULL: FULL_TIME}
_NEXT = {
    Stage.CANARY: Stage.EIGHTH,
    Stage.EIGHTH: Stage.THIRD,
    Stage.THIRD: Stage.FULL,
}


@dataclass(frozen=True, slots=True)
class Progress:
    """The state of a rollout as the leader knows it; times in ms.

    `new_targets` and `old_targets` are those in service, `old_runs` the open
    requests of all entries at the old ones. `proven` is set if a bad version
    would have shown by now. While the move is deferred, `moved` is set if the
    leader has sent all requests to the new version for a step, `fits` if what
    is left for all entries fits within what a bad version may get.
    """

    stage: Stage
    elapsed_ms: float
    in_stage_ms: float
    duration_ms: float
    judgement: Judgement
    new_targets: int
    old_targets: int
    old_runs: int
    proven: bool
    moved: bool
    fits: bool


def next_stage(progress: Progress) -> tuple[Stage, str]:
    """Return the stage that follows now, which may be the same, and why."""
    stage = progress.stage
    if stage.is_final:
        return stage, ''
    if progress.judgement is Judgement.BAD:
        return Stage.ROLLED_BACK, 'the version is bad'
    elapsed = progress.elapsed_ms / progress.duration_ms
    if stage is Stage.CANARY:
        return _after_canary(progress, elapsed)
    if not progress.new_targets:
        if elapsed >= LAST_DONE:
            return Stage.ROLLED_BACK, 'no target of the version is left'
        return stage, 'no target of the version is left'
    doubtful = progress.judgement is Judgement.SUSPICIOUS
    part = _STEP_TIMES.get(stage, STEP_TIME)
    step_ms = max(MIN_STEP_MS, part * progress.duration_ms)
    settled = progress.in_stage_ms >= step_ms
    if stage is Stage.FULL:
        return _after_full(progress, elapsed, settled, doubtful)
    if doubtful and elapsed >= LAST_DOUBT:
        return Stage.ROLLED_BACK, 'the answers look worse until the last'
    if doubtful:
        return stage, 'the answers look worse'
    if stage is Stage.DEFERRED:
        return _after_deferred(progress, elapsed)
    if not settled:
        return stage, 'the step lasts'
    if not progress.proven:
        return Stage.DEFERRED, 'too few answers to move all'
    if elapsed >= LAST_STEP:
        return Stage.DEFERRED, 'too late for another step'
    return _NEXT[stage], 'the version is good so far'


def _after_deferred(progress: Progress, elapsed: float) -> tuple[Stage, str]:
    if progress.moved and (elapsed >= LAST_DONE or not progress.old_runs):
        return Stage.DONE, 'nothing speaks against the version'
    if elapsed >= NEARLY_OVER:
        if progress.moved or progress.fits or not progress.old_targets:
            return Stage.DONE, 'nothing speaks against the version'
        return Stage.ROLLED_BACK, 'too few answers to move all'
    if progress.proven and not progress.moved and elapsed < LAST_THIRD:
        return Stage.THIRD, 'the version is good so far'
    return Stage.DEFERRED, 'all requests are not within the limit'


def _after_full(
    progress: Progress, elapsed: float, settled: bool, doubtful: bool
) -> tuple[Stage, str]:
    is_last = elapsed >= (LAST_DONE if settled else NEARLY_OVER)
    if doubtful:
        if is_last:
            return Stage.ROLLED_BACK, 'the answers look worse until the last'
        return Stage.FULL, 'the answers look worse'
    if is_last:
        return Stage.DONE, 'the time is nearly over'
    if settled and not progress.old_runs:
        return Stage.DONE, 'the old versions have no open work'
    return Stage.FULL, 'the old versions have open work'


def _after_canary(progress: Progress, elapsed: float) -> tuple[Stage, str]:
    if not progress.new_targets:
        if elapsed >= LAST_DONE:
            return Stage.ROLLED_BACK, 'no target of the version came'
        return Stage.CANARY, 'no target of the version is there'
    if not progress.old_targets and elapsed >= CANARY_TIME:
        return Stage.FULL, 'there is no other version'
    suspicious = progress.judgement is Judgement.SUSPICIOUS
    if elapsed >= LAST_START and suspicious:
        return Stage.ROLLED_BACK, 'the answers look worse until the last'
    if elapsed >= LAST_DONE:
        return Stage.ROLLED_BACK, 'the time is nearly over'
    if elapsed < CANARY_TIME:
        return Stage.CANARY, 'the canary is observed'
    if suspicious:
        return Stage.CANARY, 'the answers look worse'
    if progress.judgement is Judgement.UNKNOWN and elapsed < LAST_START:
        return Stage.CANARY, 'too few answers'
    return Stage.EIGHTH, 'the version is good'
