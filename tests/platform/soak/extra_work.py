"""Attempts beside slow answers, and the check that they keep the bounds."""

from tests.platform.soak.states import MAX_ATTEMPTS

# A large share, so that many requests are sent to a second target.
EXTRA_WORK_SHARE = 0.3


def find_excess(attempts, journal):
    """Yield attempts that ran at more targets than any route allows."""
    for attempt in attempts:
        targets = {run.target for run in journal.runs.get(attempt.id, [])}
        if len(targets) > MAX_ATTEMPTS:
            yield attempt, ', '.join(sorted(targets))
