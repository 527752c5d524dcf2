import pytest

from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import MAX_ERA
from wigeonmill.gateway.revisions import MAX_REVISION
from wigeonmill.gateway.revisions import position
from wigeonmill.gateway.revisions import revision_of


def test_every_change_of_an_era_follows_those_of_earlier_eras():
    assert position(2, 1) > position(1, MAX_REVISION) > position(1, 5)


@pytest.mark.parametrize('era', [0, 1, MAX_ERA])
@pytest.mark.parametrize('revision', [0, 1, MAX_REVISION])
def test_a_position_has_both_parts_and_fits_into_64_bits(era, revision):
    at = position(era, revision)
    assert (era_of(at), revision_of(at)) == (era, revision)
    assert at < 2**63


def test_a_service_without_eras_keeps_its_revisions():
    assert position(0, 77) == 77


@pytest.mark.parametrize(
    ('era', 'revision'),
    [(-1, 0), (0, -1), (MAX_ERA + 1, 0), (0, MAX_REVISION + 1)],
)
def test_a_number_out_of_range_is_an_error(era, revision):
    with pytest.raises(ValueError, match='no position'):
        position(era, revision)
