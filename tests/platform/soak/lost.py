"""Checks that whole requests get a whole answer of any status."""

import math

from tests.platform.soak.callers import DEADLINE_MS
from tests.platform.soak.callers import Outcome

# Time limits pass this much early at most.
TIMER_SLACK_S = 0.15
# A request that crosses the close of its connection and isn't passed on is
# closed within this time of its last byte.
CROSSING_S = 0.2
# Another target is sought for this long after a target broke off its run.
BREAK_S = 1.0
# A shorter time limit may have been in force this long before the version.
CONFIG_S = 3.0
# What is named in the details of a breach.
NEAR_S = 1.5


def find_lost(attempts, journal):
    """Yield each whole request that ended without an answer, and details."""
    for attempt in attempts:
        if (
            attempt.outcome in (Outcome.CLOSED, Outcome.CUT)
            and not attempt.disconnected
            and not _is_excused(attempt, journal)
        ):
            yield attempt, describe(attempt, journal)


def find_endless(attempts, journal):
    """Yield each request without an end long after its deadline."""
    for attempt in attempts:
        if (
            attempt.outcome is Outcome.TIMED_OUT
            and not attempt.disconnected
            and not _was_interrupted(attempt, journal)
        ):
            yield attempt, describe(attempt, journal)


def _is_excused(attempt, journal):
    return (
        _crossed_a_close(attempt, journal)
        or _was_interrupted(attempt, journal)
        or _reached_its_time_limit(attempt, journal)
        or _was_broken_off(attempt, journal)
    )


def _crossed_a_close(attempt, journal):
    return (
        attempt.outcome is Outcome.CLOSED
        and attempt.id not in journal.runs
        and attempt.ended_at
        <= attempt.written_at + CROSSING_S + _stalled_s(attempt, journal)
    )


def _stalled_s(attempt, journal):
    """Return for how long the caller could not see the end of a request."""
    return journal.stalled_s(attempt.written_at, attempt.ended_at)


def _was_interrupted(attempt, journal):
    return any(
        start <= attempt.ended_at and end >= attempt.sent_at
        for start, end in journal.interrupted.get(attempt.entry, ())
    )


def _reached_its_time_limit(attempt, journal):
    limit_s = DEADLINE_MS / 1000.0
    since = attempt.sent_at - CONFIG_S
    in_force = [
        (at, timeout_s)
        for at, timeout_s in journal.timeouts
        if at <= attempt.ended_at
    ]
    for number, (_, timeout_s) in enumerate(in_force):
        replaced_at = (
            in_force[number + 1][0] if number + 1 < len(in_force) else math.inf
        )
        if replaced_at >= since:
            limit_s = min(limit_s, timeout_s)
    return attempt.ended_at - attempt.sent_at >= limit_s - TIMER_SLACK_S


def _was_broken_off(attempt, journal):
    """Whether a target ended the newest run, or some run just before."""
    runs = journal.runs.get(attempt.id, [])
    for run in runs:
        since = run.started_at
        if run is not runs[-1]:
            since = max(since, attempt.ended_at - BREAK_S)
        if any(
            found.target == run.target
            and found.request_id in (None, attempt.id)
            and since <= found.at <= attempt.ended_at
            for found in journal.breaks
        ):
            return True
    return False


def describe(attempt, journal):
    """Return how a request ended, and what was going on around it."""
    runs = journal.runs.get(attempt.id, [])
    age_s = attempt.ended_at - attempt.sent_at
    text = f'{attempt.outcome.value}, {attempt.kind.value}'
    if attempt.body:
        text += f' after event {attempt.last_event}'
    text += f', {age_s:.2f} s, {attempt.entry}'
    text += f', {len(runs)} runs' if len(runs) != 1 else ''
    for run in runs:
        text += f'; at {run.target} from {run.started_at:.2f}'
        for silence in journal.silences:
            if (
                silence.target == run.target
                and silence.began_at <= attempt.ended_at
                and silence.ended_at >= run.started_at
            ):
                text += (
                    f' silent {silence.form} {silence.began_at:.2f}'
                    f' to {silence.ended_at:.2f}'
                )
        for start, end in journal.faults.get(run.target, ()):
            if start <= attempt.ended_at and end >= run.started_at:
                text += f' in trouble {start:.2f} to {end:.2f}'
    stalled_s = _stalled_s(attempt, journal)
    text += f', the soak stalled {stalled_s:.2f} s' if stalled_s else ''
    near = [
        work
        for work in journal.works
        if work.entry in ('', attempt.entry)
        and attempt.sent_at - NEAR_S <= work.at <= attempt.ended_at
    ]
    for kind in sorted({work.kind for work in near}):
        times = [work.at for work in near if work.kind == kind]
        text += f'; {len(times)} {kind} up to {times[-1]:.2f}'
    return f'{text}; ended at {attempt.ended_at:.2f}'
