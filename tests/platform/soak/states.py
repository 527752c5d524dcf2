"""Builds the desired states of a soak."""

from dataclasses import dataclass

PLAIN_SERVICE = 'ledger'
STREAM_SERVICE = 'streams'
TIMEOUT_MS = 4_000
MAX_ATTEMPTS = 3


@dataclass
class Variation:
    """What a change alters; the defaults are the state without changes.

    A `second_weight` also sends plain requests to the other service, and
    `plain_weight` 0 with none takes all services from their routes.
    """

    timeout_ms: int = TIMEOUT_MS
    attempts: int = MAX_ATTEMPTS
    idle_ms: int | None = None
    plain_weight: float = 1.0
    second_weight: float | None = None
    added_routes: int = 0
    added_keys: int = 0


def draw_variation(rng):
    """Return a state that differs from the usual one in some places."""
    drawn = Variation()
    if rng.random() < 0.5:
        drawn.timeout_ms = rng.randint(1_500, TIMEOUT_MS)
    if rng.random() < 0.3:
        drawn.attempts = rng.randint(1, MAX_ATTEMPTS)
    if rng.random() < 0.5:
        drawn.idle_ms = rng.choice((500, 1_000, 3_000, 15_000))
    if rng.random() < 0.4:
        drawn.plain_weight, drawn.second_weight = rng.choice(
            ((1.0, 0.0), (0.5, 0.5), (0.0, 1.0), (0.0, 0.0))
        )
    drawn.added_routes = rng.randint(0, 3)
    drawn.added_keys = rng.randint(0, 2)
    return drawn


def make_state(version, teams, variation):
    """Return the desired state of this version, for keys by team."""
    routes = [
        _route('safe', 'safe', variation) | _backends(variation),
        _route('unsafe', 'unsafe', variation) | _backends(variation),
        _route('stream', 'streaming', variation)
        | {'service': STREAM_SERVICE, 'canResume': True},
    ]
    routes += [
        _route(f'added{n}', 'safe', variation) | {'service': PLAIN_SERVICE}
        for n in range(variation.added_routes)
    ]
    state = {
        'version': version,
        'routes': routes,
        'services': [
            {'name': PLAIN_SERVICE},
            {
                'name': STREAM_SERVICE,
                'engine': {
                    'capacity': 16,
                    'kvTokens': 100_000,
                    'kvBytes': 1_000,
                },
            },
        ],
        'tenants': [
            {
                'name': name,
                'apiKeys': [key]
                + [f'{key}-added{n}' for n in range(variation.added_keys)],
            }
            for name, key in teams.items()
        ],
    }
    if variation.idle_ms is not None:
        state['limits'] = {'idleMs': variation.idle_ms}
    return state


def _route(name, kind, variation):
    return {
        'name': name,
        'host': 'soak.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'attempts': variation.attempts,
        'timeoutMs': variation.timeout_ms,
        'sloMs': 400,
        'gapAimMs': 400,
    }


def _backends(variation):
    if variation.second_weight is None:
        return {'service': PLAIN_SERVICE}
    return {
        'backends': [
            {'service': PLAIN_SERVICE, 'weight': variation.plain_weight},
            {'service': STREAM_SERVICE, 'weight': variation.second_weight},
        ]
    }
