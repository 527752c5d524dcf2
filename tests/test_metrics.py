from wigeonmill.metrics import Metrics


def test_counters_are_rendered_with_escaped_reasons():
    metrics = Metrics()
    metrics.count('refusals', 'quota "x"')
    metrics.count('refusals', 'quota "x"', by=2)
    text = metrics.render()
    assert 'wigeonmill_refusals_total{reason="quota \\"x\\""} 3' in text


def test_histogram_percentile_is_in_milliseconds():
    hist = Metrics().histogram('ttft')
    for value in range(1, 101):
        hist.record(float(value))
    assert 49.0 <= hist.percentile(50.0) <= 51.0
    assert hist.count == 100
