"""Checks the guarantees in a soak against what callers and targets saw."""

from collections.abc import Iterable
from dataclasses import dataclass
import json
import math

from tests.platform.soak.callers import Attempt
from tests.platform.soak.callers import Kind
from tests.platform.soak.callers import Outcome
from tests.platform.soak.callers import SOUND_PART
from tests.platform.soak.closings import find_late_arrivals
from tests.platform.soak.extra_work import find_excess
from tests.platform.soak.handlers import CRASHING_PART
from tests.platform.soak.handlers import EVENT_COUNT
from tests.platform.soak.journal import Journal
from tests.platform.soak.limits import find_exceeded
from tests.platform.soak.lost import find_endless
from tests.platform.soak.lost import find_lost
from tests.platform.soak.rollouts import find_exposed

# Statuses that guarantee that a request was not run and never will be.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A target gets no request later than this after it was listed as draining.
DRAIN_S = 3.0
# A caller's request that is sent later than this after its entry has passed
# on that a target leaves does not reach the target.
LEAVING_S = 0.5
# The minimum share of successful attempts after the last fault. A few attempts
# fail because of their targets.
MIN_SERVED_SHARE = 0.85
# Later than this after the fifth crash under a part, no more than
# `MAX_LATE_ARRIVALS` requests with it reach targets, from entries that had no
# fault for this time.
CONTACT_S = 3.0
MAX_CRASHES = 5
MAX_LATE_ARRIVALS = 3
# After twice that time, sound requests that share its other parts are served
# at least this much as often as others, if there are enough of both.
MIN_SOUND_SHARE = 0.5
MIN_SOUND_COUNT = 20


@dataclass(frozen=True)
class Breach:
    """A broken guarantee and the id of the request that broke it."""

    promise: str
    request_id: str
    detail: str


def find_breaches(
    attempts: Iterable[Attempt], journal: Journal, fault_free_from: float
) -> list[Breach]:
    """Return every broken guarantee; faults end by `fault_free_from`."""
    attempts = list(attempts)
    found = [
        Breach(promise, attempt.id, str(detail))
        for attempt in attempts
        for promise, detail in _check_attempt(attempt, journal)
    ]
    found += _check_targets(attempts, journal)
    found += _check_orders(journal)
    found += _check_leaving(attempts, journal)
    found += [
        Breach('closed', request_id, detail)
        for request_id, detail in find_late_arrivals(attempts, journal)
    ]
    found += [
        Breach('limited', limit.target, detail)
        for limit, detail in find_exceeded(attempts, journal)
    ]
    found += [
        Breach('targets of a request', attempt.id, detail)
        for attempt, detail in find_excess(attempts, journal)
    ]
    found += [
        Breach('exposed', version, detail)
        for version, detail in find_exposed(attempts, journal)
    ]
    found += _check_crashing_part(attempts, journal)
    found += [
        Breach('process ended by itself', '', detail)
        for detail in journal.own_ends
    ]
    found += [
        Breach('process ends in time', '', name) for name in journal.hung_ends
    ]
    found += [
        Breach('lost', attempt.id, detail)
        for attempt, detail in find_lost(attempts, journal)
    ]
    found += [
        Breach('an end in time', attempt.id, detail)
        for attempt, detail in find_endless(attempts, journal)
    ]
    final_attempts = [
        a
        for a in attempts
        if a.part != CRASHING_PART
        and a.sent_at >= fault_free_from
        and not a.disconnected
        and a.outcome is not Outcome.TIMED_OUT
    ]
    served = sum(
        1
        for a in final_attempts
        if a.status == 200 and a.outcome is Outcome.COMPLETE
    )
    if not final_attempts or served < MIN_SERVED_SHARE * len(final_attempts):
        found.append(
            Breach('recovery', '', f'{served} of {len(final_attempts)}')
        )
    return found


def _check_attempt(attempt, journal):
    runs = journal.runs.get(attempt.id, [])
    if attempt.kind is Kind.UNSAFE and len(runs) > 1:
        yield 'at most once', len(runs)
    whole = attempt.outcome is Outcome.COMPLETE
    if whole and attempt.status in NOT_RUN_STATUSES and runs:
        yield 'not run is true', attempt.status
    if any(run.team != attempt.team for run in runs):
        yield 'own team', [run.team for run in runs]
    if any(run.path != attempt.path for run in runs):
        yield 'unchanged request', [run.path for run in runs]
    if whole and attempt.status == 200:
        yield from _check_success(attempt, runs)
    if attempt.kind is Kind.STREAM and attempt.body:
        yield from _check_stream(attempt, whole)
        yield from _check_software(attempt, runs, journal)


def _check_success(attempt, runs):
    sealed = {f'{run.target}.{run.request_id}' for run in runs}
    if attempt.headers.get('server-seal') not in sealed:
        yield 'answer of its own target', attempt.headers.get('server-seal')
    if attempt.kind is Kind.STREAM:
        return
    body = json.loads(attempt.body)
    if body['id'] != attempt.id:
        yield 'answer to its own request', body['id']


def _check_stream(attempt, whole):
    if attempt.status != 200:
        return
    events = attempt.body.decode().split('\n\n')
    expected = [
        f'id: {n}\ndata: {attempt.id} {n}'
        for n in range(attempt.from_event + 1, EVENT_COUNT + 1)
    ]
    complete = events[:-1]
    if complete != expected[: len(complete)]:
        yield 'events in order', complete
    if whole and attempt.last_event != EVENT_COUNT:
        yield 'whole streams only', len(complete)


def _check_software(attempt, runs, journal):
    """Check that a stream goes on at the software that began it."""
    if attempt.status != 200:
        return
    first = attempt.resumes or attempt
    began_at = first.headers.get('server-seal', '').partition('.')[0]
    versions = {journal.software.get(began_at)} | {
        journal.software.get(run.target) for run in runs if run.from_event
    }
    if len(versions) > 1:
        yield 'one software version', sorted(map(str, versions))


def _check_orders(journal):
    last = {}
    holders = {}
    for order in journal.orders:
        previous = last.get(order.target)
        last[order.target] = order
        if previous is not None and order.fence < previous.fence:
            yield Breach('fences only rise', '', f'{previous} then {order}')
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            yield Breach('one holder a fence', '', f'{holder}, {order}')


def _check_targets(attempts, journal):
    known = {attempt.id for attempt in attempts}
    for request_id, runs in journal.runs.items():
        if request_id not in known:
            yield Breach('asked by a caller', request_id, runs[0].target)
        for run in runs:
            drained_at = journal.drained_at.get(run.target)
            if (
                drained_at is not None
                and run.started_at > drained_at + DRAIN_S
            ):
                late_s = run.started_at - drained_at
                yield Breach('drained', request_id, f'{late_s:.1f} s late')


def _check_leaving(attempts, journal):
    passed_on = {}
    for attempt in attempts:
        if attempt.outcome is Outcome.COMPLETE and (
            attempt.headers.get('server-leaving') == '1'
        ):
            # A resumed stream has the head of its first target.
            target, _, _id = attempt.headers['server-seal'].rpartition('.')
            at = passed_on.get((attempt.entry, target), attempt.ended_at)
            passed_on[attempt.entry, target] = min(at, attempt.ended_at)
    for attempt in attempts:
        for run in journal.runs.get(attempt.id, []):
            at = passed_on.get((attempt.entry, run.target), math.inf)
            if attempt.sent_at <= at + LEAVING_S:
                continue
            if not journal.had_fault(attempt.entry, at, run.started_at):
                late_s = attempt.sent_at - at
                yield Breach('left alone', attempt.id, f'{late_s:.1f} s late')


def _check_crashing_part(attempts, journal):
    if len(journal.part_crashes) < MAX_CRASHES:
        return
    fifth_at = journal.part_crashes[MAX_CRASHES - 1]
    late = [
        run
        for attempt in attempts
        if attempt.part == CRASHING_PART
        for run in journal.runs.get(attempt.id, [])
        if run.started_at > fifth_at + CONTACT_S
        and not journal.had_fault(
            attempt.entry,
            run.started_at - CONTACT_S,
            run.started_at,
        )
    ]
    if len(late) > MAX_LATE_ARRIVALS:
        yield Breach('crashing part', late[-1].request_id, f'{len(late)} came')
    streams = [
        a
        for a in attempts
        if a.kind is Kind.STREAM
        and a.sent_at > fifth_at + 2 * CONTACT_S
        and not a.disconnected
        and a.resumes is None
    ]
    sound = [a for a in streams if a.part == SOUND_PART]
    others = [a for a in streams if not a.part]
    if min(len(sound), len(others)) < MIN_SOUND_COUNT:
        return
    shares = [
        sum(a.status == 200 for a in group) / len(group)
        for group in (sound, others)
    ]
    if shares[0] < MIN_SOUND_SHARE * shares[1]:
        yield Breach('sound requests beside a crashing part', '', shares)
