from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.cache.frames import decode_frame
from wigeonmill.cache.frames import encode_frame
from wigeonmill.cache.frames import FrameId
from wigeonmill.cache.frames import FrameMiss

ID = FrameId(b'k' * 16, 'team', 'v1', 7)
FRAME = encode_frame(ID, b'payload' * 9)


@given(st.binary(max_size=200), st.integers(0, 2**64 - 1))
def test_an_encoded_frame_decodes_to_its_payload(payload, generation):
    frame_id = replace(ID, generation=generation)
    frame = encode_frame(frame_id, payload)
    assert decode_frame(frame, frame_id).unwrap() == payload
    assert decode_frame(frame, replace(ID, generation=0)).is_ok()


@given(st.integers(0, len(FRAME) - 1))
def test_a_short_frame_is_a_miss(length):
    assert decode_frame(FRAME[:length], ID).is_err()


@given(st.integers(0, len(FRAME) - 1), st.integers(1, 255))
def test_an_altered_frame_is_a_miss(at, change):
    altered = bytearray(FRAME)
    altered[at] ^= change
    assert decode_frame(bytes(altered), ID).is_err()


@given(st.binary(max_size=300))
def test_any_bytes_are_a_miss(data):
    assert decode_frame(data, ID).is_err()
    assert decode_frame(FRAME + data + b'x', ID).is_err()


@pytest.mark.parametrize(
    'requested, miss',
    [
        (replace(ID, key=b'j' * 16), FrameMiss.OTHER_KEY),
        (replace(ID, team='other'), FrameMiss.OTHER_TEAM),
        (replace(ID, weight_version='v2'), FrameMiss.OTHER_WEIGHT_VERSION),
        (replace(ID, generation=8), FrameMiss.OTHER_GENERATION),
    ],
)
def test_another_block_is_a_miss(requested, miss):
    assert decode_frame(FRAME, requested).unwrap_err() is miss
