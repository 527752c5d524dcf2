"""The addresses that the processes of a test are given."""

from bench.processes import free_address


# Guards against a system whose start waits in vain, as two of its processes
# were given the same port.
def test_no_address_is_handed_out_twice():
    addresses = [free_address() for _ in range(900)]
    assert len(set(addresses)) == 900
