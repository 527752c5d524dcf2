"""Fixtures of the features."""

import pytest

from tests.features.world import World


@pytest.fixture
def world():
    """Return a world that ends its processes after the scenario."""
    made = World()
    yield made
    made.close()
