"""Checks that targets which asked an entry for rest get it."""

from tests.platform.soak.handlers import SilenceForm

# An entry sends a target no more than this many requests later than
# `CLOSING_S` after its first refusal with a time, until the time is over.
CLOSING_S = 0.5
MAX_WHILE_CLOSED = 2
# The time that an answer takes to an entry on the same machine.
ARRIVAL_S = 0.005


def find_late_arrivals(attempts, journal):
    """Yield an answer that asked an entry for rest in vain, and details.

    Each answer's span counts by itself, as one answer may follow another.
    """
    by_id = {attempt.id: attempt for attempt in attempts}
    entries = {attempt.id: attempt.entry for attempt in attempts}
    arrived_at = {}
    for arrival in journal.arrivals:
        key = entries.get(arrival.request_id), arrival.target
        arrived_at.setdefault(key, []).append(arrival.at)
    worst = {}
    for closing in journal.closings:
        target, answered_at = closing.target, closing.refused_at
        key = entries.get(closing.request_id), target
        if _left_before(by_id.get(closing.request_id), answered_at):
            continue
        late = [
            at
            for at in arrived_at.get(key, ())
            if answered_at + CLOSING_S < at < closing.until
        ]
        if len(late) > MAX_WHILE_CLOSED and not (
            journal.had_fault(key[0], answered_at, closing.until)
            or journal.had_fault(target, answered_at, closing.until)
            or stood_still(journal, target, answered_at, closing.until)
        ):
            if len(late) > worst.get(key, (0,))[0]:
                worst[key] = len(late), closing
    for (entry, target), (count, closing) in worst.items():
        stated_s = closing.until - closing.refused_at
        yield (
            closing.request_id,
            f'{count} came to {target} from {entry} after the answer at '
            f'{closing.refused_at:.2f} that asked for {stated_s:.2f} s',
        )


def _left_before(attempt, answered_at):
    """Whether a caller left before the answer had reached its entry."""
    return (
        attempt is not None
        and attempt.disconnected
        and not attempt.left_answered
        and attempt.ended_at < answered_at + ARRIVAL_S
    )


def stood_still(journal, target, start, end):
    """Whether requests may have waited in front of a target."""
    return any(
        silence.target == target
        and silence.form == SilenceForm.FROZEN.value
        and silence.began_at <= end
        and silence.ended_at >= start
        for silence in journal.silences
    )
