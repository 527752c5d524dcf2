"""What callers may make a process hold follows from its machine."""

from wigeonmill.gateway.machine_limits import caller_conns_limit


def test_the_process_keeps_descriptors_for_itself():
    assert caller_conns_limit(4_100) == 2_925
    assert caller_conns_limit(600) == 300
    assert caller_conns_limit(100) > 0
