"""How the end of a call counts for the target of a plain service."""

import pytest

from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.calls import CallEnd
from wigeonmill.agent.calls import CallEndKind
from wigeonmill.agent.plain_service import call_outcome


@pytest.mark.parametrize(
    ('end', 'outcome'),
    [
        (CallEndKind.ANSWERED, OutcomeKind.COMPLETED),
        (CallEndKind.UNREACHABLE, OutcomeKind.UNREACHABLE),
        (CallEndKind.UNKNOWN, OutcomeKind.FAILED),
    ],
)
def test_a_refused_connection_is_not_a_crash_of_the_calls_in_flight(
    end, outcome
):
    assert call_outcome(CallEnd(end)) is outcome
