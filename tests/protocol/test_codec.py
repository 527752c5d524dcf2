from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.protocol.codec import decode_body
from wigeonmill.protocol.codec import decode_length
from wigeonmill.protocol.codec import encode_frame
from wigeonmill.protocol.codec import LENGTH_BYTES
from wigeonmill.protocol.gen.inner.ttypes import Chunk
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind


def make_frame(text: bytes, offset: int) -> bytes:
    chunk = Chunk('run', offset, text, 1)
    return encode_frame(Envelope(Kind.CHUNK, 7, 3, chunk=chunk))


@given(st.binary(max_size=200), st.integers(0, 2**62))
def test_frames_survive_the_round_trip(text, offset):
    frame = make_frame(text, offset)
    length = decode_length(frame[:LENGTH_BYTES]).unwrap()
    assert length == len(frame) - LENGTH_BYTES
    envelope = decode_body(frame[LENGTH_BYTES:]).unwrap()
    assert (envelope.chunk.text, envelope.chunk.offset) == (text, offset)


@given(st.binary(max_size=200))
def test_any_bytes_give_an_envelope_or_an_error(body):
    outcome = decode_body(body)
    assert outcome.is_err() or outcome.unwrap().kind is not None


@given(st.data())
def test_cut_frames_are_errors(data):
    body = make_frame(b'some text', 12)[LENGTH_BYTES:]
    cut = data.draw(st.integers(0, len(body) - 1))
    assert decode_body(body[:cut]).is_err()


def test_lengths_out_of_range_are_errors():
    assert decode_length(b'\xff\xff\xff\xff').is_err()
    assert decode_length(b'\0\0\0\0').is_err()
    assert decode_length(b'\0').is_err()
