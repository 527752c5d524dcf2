"""What must hold of a soak, from what callers and targets saw."""

from collections.abc import Iterable
from dataclasses import dataclass
import json

from tests.platform.soak.callers import Attempt
from tests.platform.soak.callers import End
from tests.platform.soak.callers import Kind
from tests.platform.soak.targets import EVENTS
from tests.platform.soak.targets import Journal

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# A target that leaves gets no request later than this.
DRAIN_S = 3.0
# Share of the attempts after the last fault that is to succeed; a few fail
# by their targets.
RECOVERED = 0.85


@dataclass(frozen=True)
class Breach:
    """A promise that was broken, by which request."""

    promise: str
    request_id: str
    detail: str


def breaches(
    attempts: Iterable[Attempt], journal: Journal, calm_from: float
) -> list[Breach]:
    """Return every broken promise; faults ended at `calm_from`."""
    attempts = list(attempts)
    found = [
        Breach(promise, attempt.id, str(detail))
        for attempt in attempts
        for promise, detail in _of_attempt(attempt, journal)
    ]
    found += _of_targets(attempts, journal)
    found += _of_orders(journal)
    calm = [
        a
        for a in attempts
        if a.sent_at >= calm_from and not a.left and a.end is not End.SILENT
    ]
    served = sum(1 for a in calm if a.status == 200 and a.end is End.WHOLE)
    if not calm or served < RECOVERED * len(calm):
        found.append(Breach('recovery', '', f'{served} of {len(calm)}'))
    return found


def _of_attempt(attempt, journal):
    runs = journal.runs.get(attempt.id, [])
    if attempt.kind is Kind.UNSAFE and len(runs) > 1:
        yield 'at most once', len(runs)
    whole = attempt.end is End.WHOLE
    if whole and attempt.status in PROMISES and runs:
        yield 'not run is true', attempt.status
    if any(run.team != attempt.team for run in runs):
        yield 'own team', [run.team for run in runs]
    if any(run.path != attempt.path for run in runs):
        yield 'unchanged request', [run.path for run in runs]
    if whole and attempt.status == 200:
        yield from _of_success(attempt, runs)
    if attempt.kind is Kind.STREAM and attempt.body:
        yield from _of_stream(attempt, whole)


def _of_success(attempt, runs):
    sealed = {f'{run.target}.{run.request_id}' for run in runs}
    if attempt.headers.get('server-seal') not in sealed:
        yield 'answer of its own target', attempt.headers.get('server-seal')
    if attempt.kind is Kind.STREAM:
        return
    body = json.loads(attempt.body)
    if body['id'] != attempt.id:
        yield 'answer to its own request', body['id']


def _of_stream(attempt, whole):
    if attempt.status != 200:
        return
    events = attempt.body.decode().split('\n\n')
    expected = [
        f'id: {n}\ndata: {attempt.id} {n}' for n in range(1, EVENTS + 1)
    ]
    complete = events[:-1]
    if complete != expected[: len(complete)]:
        yield 'events in order', complete
    if whole and len(complete) != EVENTS:
        yield 'whole streams only', len(complete)


def _of_orders(journal):
    last = {}
    holders = {}
    for order in journal.orders:
        before = last.get(order.target)
        last[order.target] = order
        if before is not None and order.fence < before.fence:
            yield Breach('fences only rise', '', f'{before} then {order}')
        holder = holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            yield Breach('one holder a fence', '', f'{holder}, {order}')


def _of_targets(attempts, journal):
    known = {attempt.id for attempt in attempts}
    for request_id, runs in journal.runs.items():
        if request_id not in known:
            yield Breach('asked by a caller', request_id, runs[0].target)
        for run in runs:
            left = journal.left.get(run.target)
            if left is not None and run.at > left + DRAIN_S:
                late_s = run.at - left
                yield Breach('drained', request_id, f'{late_s:.1f} s late')
