import hashlib
import pathlib

import msgspec
import pytest

from wigeonmill.config.model import Document
from wigeonmill.config.model import ServiceKind

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize(
    'name, engines, loads', [('alliance', 9, 3), ('isoko', 6, 2)]
)
def test_example_has_the_stated_sizes(name, engines, loads):
    data = (EXAMPLES / f'{name}.json').read_bytes()
    document = msgspec.json.decode(data, type=Document)
    by_kind = {s.kind: s for s in document.services}
    model_service = by_kind[ServiceKind.MODEL]
    assert len(model_service.targets) == engines
    assert model_service.concurrent_loads == loads
    assert len(by_kind[ServiceKind.PLAIN].targets) == 3
    assert len(document.failure_domains) == 3
    assert len(document.teams) == 10


def test_example_keys_are_the_documented_ones():
    data = (EXAMPLES / 'alliance.json').read_bytes()
    document = msgspec.json.decode(data, type=Document)
    for team in document.teams:
        key = f'example-key-{team.name}'
        assert team.key_hashes == [hashlib.sha256(key.encode()).hexdigest()]
