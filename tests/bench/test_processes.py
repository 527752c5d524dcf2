"""The addresses that the processes of a test are given."""

from bench.chaos_parts.ports import RANGE_FILE
from bench.processes import free_address


# Guards against a system whose start waits in vain, as two of its processes
# were given the same port.
def test_no_address_is_handed_out_twice():
    addresses = [free_address() for _ in range(900)]
    assert len(set(addresses)) == 900


# Guards against a system whose start waits in vain, as an outgoing connection
# of another process had taken the port of one that was still starting.
def test_no_outgoing_connection_is_given_a_port_that_was_handed_out():
    first = int(RANGE_FILE.read_text().split()[0])
    ports = [int(free_address().rpartition(':')[2]) for _ in range(50)]
    assert max(ports) < first
