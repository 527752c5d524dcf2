import importlib.resources
import json

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from tests.config import samples
from wigeonmill.config.acceptance import find_faults
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import decode_record
from wigeonmill.config.model import encode_record
from wigeonmill.config.reader import parse_document
from wigeonmill.config.reader import read_document
from wigeonmill.config.schema import SCHEMA_FILE
from wigeonmill.config.schema import schema_text


def fault_lines(tree):
    return [f.line() for f in parse_document(json.dumps(tree).encode()).err()]


def test_all_faults_are_reported_at_once_with_their_places():
    tree = samples.load_tree()
    tree['teams'][0]['weight'] = 'many'
    tree['teams'][1]['waight'] = 3
    tree['limits']['max_body_bytes'] = 1
    tree['services'][1]['kind'] = 'simple'
    del tree['services'][0]['targets']
    reported = fault_lines(tree)
    pointers = [line.partition(':')[0] for line in reported]
    assert pointers == [
        '/limits/max_body_bytes',
        '/services/0',
        '/services/1/kind',
        '/teams/0/weight',
        '/teams/1/waight',
    ]
    assert 'at least 1024' in reported[0]
    assert "Add 'targets'" in reported[1]
    assert '"model", "plain"' in reported[2]
    assert '"many"' in reported[3] and 'a whole number' in reported[3]


def test_malformed_json_has_line_and_column():
    (fault,) = parse_document(b'{\n  "teams": [,]\n}').err()
    assert 'line 2, column 13' in fault.problem


@pytest.mark.parametrize(
    'data, words',
    [
        (b'\xff', 'not UTF-8'),
        (b'[' * 100_000, 'unusable JSON'),
        (b'[' * 50 + b']' * 50, 'nested deeper'),
        (b'{"teams": NaN}', 'not a JSON number'),
        (b'{"teams": [], "teams": []}', 'twice'),
        (b'[]', 'wrong type'),
    ],
)
def test_unusable_text_is_a_fault(data, words):
    assert any(words in fault.problem for fault in parse_document(data).err())


def test_plain_key_in_place_of_its_hash_is_not_shown():
    tree = samples.load_tree()
    tree['teams'][0]['key_hashes'] = 'sk-very-secret'
    assert 'very-secret' not in ''.join(fault_lines(tree))


def test_file_that_cannot_be_read_is_a_fault(tmp_path):
    (fault,) = read_document(tmp_path / 'none.json').err()
    assert 'No such file' in fault.problem


def test_committed_schema_is_up_to_date():
    package = importlib.resources.files('wigeonmill.config')
    assert (package / SCHEMA_FILE).read_text() == schema_text()


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_text_gives_a_document_or_faults(data):
    assert parse_document(data).is_err()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(JSON_VALUES, st.randoms(use_true_random=False))
def test_any_value_at_any_place_gives_a_document_or_faults(value, rng):
    tree = samples.load_tree()
    place = tree
    while True:
        keys = range(len(place)) if isinstance(place, list) else list(place)
        key = rng.choice(keys)
        child = place[key]
        if not isinstance(child, list | dict) or not child:
            break
        if rng.random() < 0.2:
            break
        place = child
    place[key] = value
    parsed = parse_document(json.dumps(tree).encode())
    if parsed.is_err():
        assert parsed.err() and all(f.line() for f in parsed.err())
    else:
        assert all(f.line() for f in find_faults(None, parsed.ok()))


def test_example_is_read():
    path = samples.EXAMPLES / 'isoko.json'
    assert read_document(path).unwrap() == samples.load_example()


def test_record_survives_encoding_and_corruption_is_detected():
    record = ConfigRecord(3, 'id', 'me', 5, samples.load_example())
    data = encode_record(record)
    assert decode_record(data) == record
    for corrupted in (data[:-9], b'x' + data, b''):
        with pytest.raises(msgspec.DecodeError):
            decode_record(corrupted)
