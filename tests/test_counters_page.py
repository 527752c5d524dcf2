import pathlib
import re

from wigeonmill.claims import journal
from wigeonmill.claims import model
from wigeonmill.claims import opener

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'COUNTERS.md'
METRIC_CALL = re.compile(
    r"(?:\.count|\.gauge|\bgauge|\.histogram)\(\s*'(\w+)'"
)
# Metrics whose name is a constant at the place of use.
CONSTANTS = {
    model.OUTCOMES,
    model.REFUSALS,
    model.RETRIES,
    journal.FLUSHES,
    opener.TAKEOVERS,
}


def test_every_metric_is_on_the_page():
    sources = (ROOT / 'wigeonmill').rglob('*.py')
    used = {
        name for s in sources for name in METRIC_CALL.findall(s.read_text())
    }
    assert len(used) > 50
    described = set(re.findall(r'`(\w+)`', PAGE.read_text()))
    assert used | CONSTANTS <= described, (used | CONSTANTS) - described
