"""Counters, gauges and histograms in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

# Histograms record microseconds, from 1 us to 1 hour, with 2 significant
# digits.
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)


class Histogram:
    """A histogram of durations in milliseconds."""

    __slots__ = ('name', '_hist', 'sum_ms')

    def __init__(self, name: str) -> None:
        self.name = name
        self._hist = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self.sum_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Add one duration in milliseconds."""
        micros = min(max(int(value_ms * 1000), _LOWEST_US), _HIGHEST_US)
        self._hist.record_value(micros)
        self.sum_ms += value_ms

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return int(self._hist.get_total_count())

    def percentile(self, percent: float) -> float:
        """Return the duration in milliseconds at `percent` (0 to 100)."""
        return float(self._hist.get_value_at_percentile(percent)) / 1000.0


class Metrics:
    """All metrics of one process."""

    __slots__ = ('_counters', '_gauges', '_hists')

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str, str], int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._hists: dict[str, Histogram] = {}

    def count(
        self, name: str, reason: str = '', by: int = 1, label: str = 'reason'
    ) -> None:
        """Add `by` to the counter `name`, split by `reason` if given."""
        key = (name, label if reason else '', reason)
        self._counters[key] = self._counters.get(key, 0) + by

    def value(self, name: str, reason: str = '', label: str = 'reason') -> int:
        """Return the current value of a counter."""
        key = (name, label if reason else '', reason)
        return self._counters.get(key, 0)

    def reasons(self, name: str) -> dict[str, int]:
        """Return the counts of the counter `name` by reason."""
        found: dict[str, int] = {}
        for (counter, _label, reason), value in self._counters.items():
            if counter == name and reason:
                found[reason] = value
        return found

    def counters(self) -> dict[str, int]:
        """Return every counter as `name` or `name.reason` with its value."""
        return {
            f'{name}.{reason}' if reason else name: value
            for (name, _label, reason), value in self._counters.items()
        }

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; `read` is called each time it is rendered."""
        self._gauges[name] = read

    def histogram(self, name: str) -> Histogram:
        """Return the histogram `name`, creating it on first use."""
        hist = self._hists.get(name)
        if hist is None:
            hist = Histogram(name)
            self._hists[name] = hist
        return hist

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        return '\n'.join(self._render_lines()) + '\n'

    def _render_lines(self) -> Iterator[str]:
        last_name = ''
        for name, label, reason in sorted(self._counters):
            if name != last_name:
                yield f'# TYPE wigeonmill_{name}_total counter'
                last_name = name
            value = self._counters[(name, label, reason)]
            labels = f'{{{label}="{_escape(reason)}"}}' if reason else ''
            yield f'wigeonmill_{name}_total{labels} {value}'
        for name in sorted(self._gauges):
            yield f'# TYPE wigeonmill_{name} gauge'
            yield f'wigeonmill_{name} {self._gauges[name]()}'
        for name in sorted(self._hists):
            yield from _histogram_lines(self._hists[name])


def _histogram_lines(hist: Histogram) -> Iterator[str]:
    full_name = f'wigeonmill_{hist.name}_ms'
    yield f'# TYPE {full_name} summary'
    for percent in _PERCENTILES:
        value = hist.percentile(percent) if hist.count else 0.0
        yield f'{full_name}{{quantile="{percent / 100}"}} {value}'
    yield f'{full_name}_sum {hist.sum_ms}'
    yield f'{full_name}_count {hist.count}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
