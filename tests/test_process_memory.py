"""Memory and descriptors of this process and its machine."""

from pathlib import Path
import platform
import resource
import subprocess
import sys

from wigeonmill.process_memory import LARGE_BYTES
from wigeonmill.process_memory import machine_bytes
from wigeonmill.process_memory import max_descriptors
from wigeonmill.process_memory import resident_bytes
from wigeonmill.process_memory import return_free_memory

ROOT = Path(__file__).parent.parent


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


# Keeps small blocks between large ones, which are freed.
FREE_LARGE_BLOCKS = """
import sys
from wigeonmill.process_memory import LARGE_BYTES
from wigeonmill.process_memory import resident_bytes
from wigeonmill.process_memory import separate_large_blocks

if sys.argv[1] == 'separate':
    separate_large_blocks()
# The allocator raises its own limit to the size of a block that was freed.
first = bytearray(100 * LARGE_BYTES)
del first
before = resident_bytes()
kept, blocks = [], []
for _number in range(200):
    blocks.append(b'x' * (2 * LARGE_BYTES + _number))
    kept.append(b'y' * (1_000 + _number))
blocks.clear()
print(resident_bytes() - before)
"""


def kept_bytes(*args):
    command = [sys.executable, '-c', FREE_LARGE_BLOCKS, *args]
    done = subprocess.run(command, check=True, capture_output=True, cwd=ROOT)
    return int(done.stdout)


# Guards against LOST: the memory of large answers stayed with the process
# between smaller blocks.
def test_large_blocks_are_returned_once_they_are_free():
    assert kept_bytes('separate') < 20 * LARGE_BYTES
    # What the option is for, where the allocator has it.
    if platform.libc_ver()[0] == 'glibc':
        assert kept_bytes('as it is') > 200 * LARGE_BYTES
