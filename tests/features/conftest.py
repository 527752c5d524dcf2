"""Fixtures of the feature tests."""

import pytest

from tests.features.harness import SystemHarness


@pytest.fixture
def harness():
    """Return a harness, which ends its processes after the test."""
    created = SystemHarness()
    yield created
    created.close()
