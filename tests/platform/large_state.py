"""Desired states of many routes, as operators write them to the store."""

import json


def make_large_state(version, route_count):
    """Return a state whose routes are named, so that they compress badly."""
    routes = [
        {
            'name': f'r-{_word(number)}',
            'host': f'{_word(number // 7)}.example',
            'prefix': f'/{_word(number * 31 + 5)}/',
            'kind': 'safe',
            'timeoutMs': 4000,
            'sloMs': 400,
            'priority': 2,
            'service': 'ledger',
            'attempts': 1,
            'public': True,
            'sticky': False,
            'canResume': False,
            'gapAimMs': 0,
        }
        for number in range(route_count)
    ]
    state = {
        'version': version,
        'routes': routes,
        'services': [{'name': 'ledger', 'healthPath': '/health'}],
        'tenants': [],
    }
    return json.dumps(state, separators=(',', ':')).encode()


def _word(number):
    return f'{number * 2_654_435_761 % 2**32:x}'
