"""Large values are sent as their differences from earlier ones."""

import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.platform.large_state import make_large_state
from wigeonmill.gateway.record_delta import decode_value
from wigeonmill.gateway.record_delta import encode_value

TEXTS = st.binary(max_size=200) | st.lists(
    st.sampled_from(
        [b'{"name":"first-route"},', b'{"name":"second-route"},', b'x\n', b'{']
    ),
    max_size=30,
).map(b''.join)


@given(value=TEXTS, basis=st.none() | TEXTS)
def test_a_value_is_decoded_as_it_was(value, basis):
    assert decode_value(encode_value(value, basis), basis) == value


def test_a_small_change_of_a_large_value_is_short():
    basis = make_large_state(1, 4_000)
    value = make_large_state(2, 4_001)
    encoded = encode_value(value, basis)
    assert decode_value(encoded, basis) == value
    assert len(encoded) < len(encode_value(value, None)) / 50


@given(data=st.binary(max_size=100))
def test_malformed_data_is_an_error(data):
    with pytest.raises(ValueError):
        decode_value(data, None)


def test_data_that_is_cut_off_is_an_error():
    encoded = encode_value(make_large_state(1, 40), None)
    with pytest.raises(ValueError):
        decode_value(encoded[:-1], None)


def test_a_range_outside_the_basis_is_an_error():
    value = b'{"name":"a-route-of-some-length"}'
    encoded = encode_value(value * 2, value)
    with pytest.raises(ValueError):
        decode_value(encoded, value[:8])


def test_a_value_that_inflates_too_far_is_an_error():
    with pytest.raises(ValueError):
        decode_value(zlib.compress(bytes(64 * 1024 * 1024)), None)
