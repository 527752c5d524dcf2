"""Limits of this process."""

import resource

from wigeonmill.process_memory import max_descriptors


def test_the_limit_of_descriptors_is_the_system_s():
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert soft in (max_descriptors(), resource.RLIM_INFINITY)
