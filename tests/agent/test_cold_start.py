from wigeonmill.agent.cold_start import ColdSign
from wigeonmill.agent.cold_start import ColdStartDetector


def test_reports_reveal_cold_starts():
    detector = ColdStartDetector()
    assert detector.on_report('a', 9000.0) is ColdSign.AGENT_STARTED
    assert detector.on_report('a', 9500.0) is None
    assert detector.on_report('a', 20.0) is ColdSign.UPTIME_WENT_BACK
    assert detector.on_report('b', 30.0) is ColdSign.NEW_INCARNATION
    assert detector.on_report('b', 40.0) is None


def test_only_a_first_token_far_above_its_estimate_is_a_sign():
    detector = ColdStartDetector()
    assert detector.on_first_token(250.0, 10.0) is None
    assert detector.on_first_token(1500.0, 1000.0) is None
    slow = detector.on_first_token(3500.0, 1000.0)
    assert slow is ColdSign.SLOW_FIRST_TOKEN


def test_failed_connection_is_a_sign():
    sign = ColdStartDetector().on_connection_failed()
    assert sign is ColdSign.CONNECTION_FAILED
