from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.cache.keys import chain_block_keys
from wigeonmill.cache.keys import count_tokens
from wigeonmill.cache.keys import KEY_BYTES

OWNER = st.tuples(st.text(max_size=6), st.text(max_size=6))
PROMPT = st.binary(min_size=8, max_size=80)


@given(OWNER, OWNER, PROMPT, PROMPT)
def test_two_owners_never_share_a_key(one, other, first, second):
    keys = chain_block_keys(*one, first, 2)
    others = chain_block_keys(*other, second, 2)
    if one != other:
        assert not set(keys) & set(others)


def test_team_and_version_are_not_ambiguous():
    assert chain_block_keys('ab', 'c', b'x' * 8, 2) != chain_block_keys(
        'a', 'bc', b'x' * 8, 2
    )


@given(PROMPT, PROMPT)
def test_equal_prefixes_share_exactly_the_common_blocks(one, other):
    keys = chain_block_keys('t', 'v', one, 2)
    others = chain_block_keys('t', 'v', other, 2)
    for at, (key, other_key) in enumerate(zip(keys, others)):
        end = (at + 1) * 8
        assert (key == other_key) == (one[:end] == other[:end])


def test_only_whole_blocks_have_keys():
    keys = chain_block_keys('t', 'v', b'x' * 23, 2)
    assert [len(key) for key in keys] == [KEY_BYTES, KEY_BYTES]
    assert count_tokens(b'x' * 23) == 6
    with pytest.raises(ValueError):
        chain_block_keys('t', 'v', b'', 0)
