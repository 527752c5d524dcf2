import pytest

from wigeonmill.gateway.settings import admits_fairly
from wigeonmill.gateway.settings import GatewaySettings


@pytest.mark.parametrize(
    ('changes', 'fair'),
    [
        ({}, False),
        ({'fair_admission': True}, True),
        ({'policies': ['base', 'p'], 'fair_admission_policy': 'p'}, True),
        ({'policies': ['base'], 'fair_admission_policy': 'p'}, False),
        # A template may leave both empty.
        ({'policies': ['base']}, False),
    ],
)
def test_the_policy_that_calls_for_fair_admission(changes, fair):
    settings = GatewaySettings(
        process='entry-1',
        failure_domain='d1',
        region='r1',
        regions={'d1': 'r1'},
        callers='127.0.0.1:0',
        ready='127.0.0.1:0',
        inner='127.0.0.1:0',
        key_value='127.0.0.1:4',
        **changes,
    )
    assert admits_fairly(settings) is fair
