"""Memory and descriptors of this process and its machine."""

import resource

from wigeonmill.process_memory import machine_bytes
from wigeonmill.process_memory import max_descriptors
from wigeonmill.process_memory import resident_bytes
from wigeonmill.process_memory import return_free_memory


def test_the_process_fits_into_its_machine():
    assert 1_000_000 < resident_bytes() < machine_bytes()


def test_resident_memory_is_known_without_a_status_file(monkeypatch):
    monkeypatch.setattr('wigeonmill.process_memory._STATUS', '/nowhere')
    assert resident_bytes() > 1_000_000


def test_the_limit_of_descriptors_is_the_system_s():
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert soft in (max_descriptors(), resource.RLIM_INFINITY)


def test_free_memory_is_returned():
    """Failure: none. Blocks between others stayed with the process."""
    blocks = [bytearray(60_000) for _number in range(2_000)]
    kept = blocks[::50]
    del blocks
    before = resident_bytes()
    return_free_memory()
    assert resident_bytes() <= before
    assert len(kept) == 40
